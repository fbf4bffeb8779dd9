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
	// holdMargin is the time that a hold may take in addition to its requested wait.
	holdMargin = 700 * time.Millisecond
	// HoldGivenUp is the time after the end of a hold's wait at which an unanswered hold is
	// followed by the next one.
	HoldGivenUp = holdMargin + control.HoldRetry
)

func (p *planner) sendStart(ctx context.Context, o control.StartOrder) {
	if !p.canOrderNow() {
		// The order is sent again after this planner's next write, as one that was delayed by a
		// suspension of its sender.
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, p.orderTimeout.Patience())
	sent := time.Now()
	answer := p.s.workers.Start(callCtx, o)
	cancel()
	p.orderTimeout.Observe(time.Since(sent))
	p.s.metrics.Observe(telemetry.StartAnswer, time.Since(sent))
	p.mu.Lock()
	p.core.Started(o, answer, p.s.clock.Now())
	p.mu.Unlock()
	if answer.Verdict != control.Accepted {
		p.wakeAll()
	}
}

func (p *planner) sendStop(ctx context.Context, o control.StopOrder) {
	answer := control.Answer{Verdict: control.Unreached}
	if p.canOrderNow() {
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		answer = p.s.workers.Stop(callCtx, o)
		cancel()
	}
	p.mu.Lock()
	p.core.Stopped(o, answer, p.s.clock.Now())
	p.mu.Unlock()
	p.wakeAll()
}

func (p *planner) sendPace(ctx context.Context, o control.PaceOrder) {
	callCtx, cancel := context.WithTimeout(ctx, p.orderTimeout.Patience())
	answer := p.s.workers.Pace(callCtx, o)
	cancel()
	p.mu.Lock()
	p.core.Paced(o, answer, p.s.clock.Now())
	p.mu.Unlock()
}

// adviceMargin is the time that a call for advice may take in addition to its own time: calls
// of other instances may be queued before it at the service.
const adviceMargin = time.Second

func (p *planner) requestAdvice(ctx context.Context, o control.AdviceOrder) {
	callCtx, cancel := context.WithTimeout(ctx, o.Takes+adviceMargin)
	sent := p.s.clock.Now()
	answer := p.s.workers.Advise(callCtx, o)
	cancel()
	p.s.metrics.Observe(telemetry.AdviceAnswer, p.s.clock.Since(sent))
	p.mu.Lock()
	p.core.Advised(o, answer, sent, p.s.clock.Now())
	p.mu.Unlock()
	p.wakeAll()
}

// renewLease keeps one worker's lease alive and receives its reports, in consecutive calls
// without a pause, while there is a lease to renew.
func (p *planner) renewLease(ctx context.Context, o control.HoldOrder) {
	for again := true; again && ctx.Err() == nil; {
		sent := p.s.clock.Now()
		answer := control.HoldAnswer{Verdict: control.Unreached}
		if p.canOrderNow() {
			callCtx, cancel := context.WithTimeout(ctx, o.Wait+holdMargin)
			answer = p.s.workers.Hold(callCtx, o)
			cancel()
		}
		o, again = p.handleHoldAnswer(o, answer, sent)
		if len(answer.Ended) > 0 || answer.Verdict != control.Accepted {
			p.wakeAll()
		}
	}
}

// handleHoldAnswer processes an answer and returns the worker's next hold, if it is due now.
func (p *planner) handleHoldAnswer(o control.HoldOrder, answer control.HoldAnswer, sent time.Time) (control.HoldOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	p.core.Held(o, answer, sent, now)
	if !p.canOrder(now) {
		return control.HoldOrder{}, false
	}
	return p.core.Hold(o.Worker, now)
}
