package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload/control"
)

// The planner's calls to workers and to the advice service. Each call runs in its own
// goroutine.

const (
	stopTimeout = 600 * time.Millisecond
	// renewalMargin is the time that a lease renewal may take in addition to its requested wait.
	renewalMargin = 700 * time.Millisecond
	// RenewalRetryDelay is the time after the end of a renewal's wait at which an unanswered renewal
	// is followed by the next one.
	RenewalRetryDelay = renewalMargin + control.RenewalRetryPause
)

func (p *planner) sendStart(ctx context.Context, o control.StartOrder) {
	if !p.canOrderNow() {
		// The order is sent again after this planner's next write, as one that was delayed by a
		// suspension of its sender.
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, p.orderTimeout.Timeout())
	sent := time.Now()
	answer := p.s.workers.Start(callCtx, o)
	cancel()
	p.orderTimeout.Observe(time.Since(sent))
	p.s.metrics.Observe(telemetry.StartAnswer, time.Since(sent))
	p.mu.Lock()
	p.core.HandleStartAnswer(o, answer, p.s.clock.Now())
	p.mu.Unlock()
	if answer.Result != control.Accepted {
		p.wakeAll()
	}
}

func (p *planner) sendStop(ctx context.Context, o control.StopOrder) {
	answer := control.Answer{Result: control.Unreachable}
	if p.canOrderNow() {
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		answer = p.s.workers.Stop(callCtx, o)
		cancel()
	}
	p.mu.Lock()
	p.core.HandleStopAnswer(o, answer, p.s.clock.Now())
	p.mu.Unlock()
	p.wakeAll()
}

func (p *planner) sendThrottle(ctx context.Context, o control.ThrottleOrder) {
	callCtx, cancel := context.WithTimeout(ctx, p.orderTimeout.Timeout())
	answer := p.s.workers.Throttle(callCtx, o)
	cancel()
	p.mu.Lock()
	p.core.HandleThrottleAnswer(o, answer, p.s.clock.Now())
	p.mu.Unlock()
}

// adviceMargin is the time that a call for advice may take in addition to its own time: calls
// of other instances may be queued before it at the service.
const adviceMargin = time.Second

func (p *planner) requestAdvice(ctx context.Context, o control.AdviceOrder) {
	callCtx, cancel := context.WithTimeout(ctx, o.ExpectedTime+adviceMargin)
	sent := p.s.clock.Now()
	answer := p.s.workers.Advise(callCtx, o)
	cancel()
	p.s.metrics.Observe(telemetry.AdviceAnswer, p.s.clock.Since(sent))
	p.mu.Lock()
	p.core.HandleAdvice(o, answer, sent, p.s.clock.Now())
	p.mu.Unlock()
	p.wakeAll()
}

// renewLease keeps one worker's lease alive and receives its reports, in consecutive calls
// without a pause, while there is a lease to renew.
func (p *planner) renewLease(ctx context.Context, o control.RenewalOrder) {
	for again := true; again && ctx.Err() == nil; {
		sent := p.s.clock.Now()
		answer := control.RenewalAnswer{Result: control.Unreachable}
		if p.canOrderNow() {
			callCtx, cancel := context.WithTimeout(ctx, o.Wait+renewalMargin)
			answer = p.s.workers.Renew(callCtx, o)
			cancel()
		}
		o, again = p.handleRenewalAnswer(o, answer, sent)
		if len(answer.Ended) > 0 || answer.Result != control.Accepted {
			p.wakeAll()
		}
	}
}

// handleRenewalAnswer processes an answer and returns the worker's next renewal, if it is due now.
func (p *planner) handleRenewalAnswer(o control.RenewalOrder, answer control.RenewalAnswer, sent time.Time) (control.RenewalOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	p.core.HandleRenewal(o, answer, sent, now)
	if !p.canOrder(now) {
		return control.RenewalOrder{}, false
	}
	return p.core.NextRenewal(o.Worker, now)
}
