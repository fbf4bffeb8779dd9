package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload/control"
)

// The planner's calls to workers and to the advice service: one function a
// kind of order, each in a goroutine of its own while the call lasts.

const (
	stopTimeout = 600 * time.Millisecond
	// holdMargin is what a hold may take beyond the wait that it asks for.
	holdMargin = 700 * time.Millisecond
	// HoldGivenUp is the time beyond its wait after which a hold without an answer is
	// followed by the next.
	HoldGivenUp = holdMargin + control.HoldRetry
)

func (p *planner) sendStart(ctx context.Context, o control.StartOrder) {
	if !p.canOrderNow() {
		// It is sent again once this planner has written, as one whose sender was frozen.
		return
	}
	call, cancel := context.WithTimeout(ctx, p.orderTimeout.Patience())
	sent := time.Now()
	answer := p.s.workers.Start(call, o)
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
		call, cancel := context.WithTimeout(ctx, stopTimeout)
		answer = p.s.workers.Stop(call, o)
		cancel()
	}
	p.mu.Lock()
	p.core.Stopped(o, answer, p.s.clock.Now())
	p.mu.Unlock()
	p.wakeAll()
}

func (p *planner) sendPace(ctx context.Context, o control.PaceOrder) {
	call, cancel := context.WithTimeout(ctx, p.orderTimeout.Patience())
	answer := p.s.workers.Pace(call, o)
	cancel()
	p.mu.Lock()
	p.core.Paced(o, answer, p.s.clock.Now())
	p.mu.Unlock()
}

// adviceMargin is what a call for advice may take beyond its own time: calls
// of other instances may be before it in the service's line.
const adviceMargin = time.Second

func (p *planner) requestAdvice(ctx context.Context, o control.AdviceOrder) {
	call, cancel := context.WithTimeout(ctx, o.Takes+adviceMargin)
	sent := p.s.clock.Now()
	answer := p.s.workers.Advise(call, o)
	cancel()
	p.s.metrics.Observe(telemetry.AdviceAnswer, p.s.clock.Since(sent))
	p.mu.Lock()
	p.core.Advised(o, answer, sent, p.s.clock.Now())
	p.mu.Unlock()
	p.wakeAll()
}

// hold keeps one worker's lease and takes its news, call after call, while
// there is something to hold and no pause between.
func (p *planner) renewLease(ctx context.Context, o control.HoldOrder) {
	for again := true; again && ctx.Err() == nil; {
		sent := p.s.clock.Now()
		answer := control.HoldAnswer{Verdict: control.Unreached}
		if p.canOrderNow() {
			call, cancel := context.WithTimeout(ctx, o.Wait+holdMargin)
			answer = p.s.workers.Hold(call, o)
			cancel()
		}
		o, again = p.handleHoldAnswer(o, answer, sent)
		if len(answer.Ended) > 0 || answer.Verdict != control.Accepted {
			p.wakeAll()
		}
	}
}

// held takes an answer and returns the worker's next hold, if it is due now.
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
