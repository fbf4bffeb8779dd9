package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
)

const (
	// suspensionCheckInterval is how often an instance checks whether it was suspended.
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is reported. Two clocks that are read one
	// after the other differ by less.
	minSuspension = 200 * time.Millisecond
)

// watchSuspensions detects suspensions of this instance: the clock of ages advances during one
// and the runtime's clock does not. What was read before is then old by its age, but open
// connections may be dead without any sign; Settings.OnResume closes them.
func (s *Service) watchSuspensions(ctx context.Context) {
	if s.clock == nil {
		return
	}
	ages, steady := s.clock.Now(), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, suspensionCheckInterval)
		suspended := s.clock.Since(ages) - time.Since(steady)
		ages, steady = s.clock.Now(), time.Now()
		if suspended < minSuspension {
			continue
		}
		s.events.Info(events.Suspended, events.Fields{"for_ms": suspended.Milliseconds(), "planning": s.planning.Load()})
		s.metrics.Observe(telemetry.Suspension, suspended)
		if s.settings.OnResume != nil {
			s.settings.OnResume()
		}
	}
}

// canOrderNow reports whether an order may be sent now. It is called right before sending,
// since the instance may have been suspended after the decision.
func (p *planner) canOrderNow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canOrder(p.s.clock.Now())
}
