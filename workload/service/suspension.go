package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
)

const (
	// wakeLook is how often it is looked whether this instance was suspended.
	suspensionCheckInterval = 100 * time.Millisecond
	// suspendedLeast is the least suspension that is told: two clocks that are read one
	// after the other differ by less.
	minSuspension = 200 * time.Millisecond
)

// watchSuspensions notices that this instance was suspended: the clock of ages ran on and
// the runtime's did not. What was known by then is old by itself; connections that were
// open may be gone without a sign, and are given up.
func (s *Service) watchSuspensions(ctx context.Context) {
	if s.clock == nil {
		return
	}
	ages, steady := s.clock.Now(), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, suspensionCheckInterval)
		slept := s.clock.Since(ages) - time.Since(steady)
		ages, steady = s.clock.Now(), time.Now()
		if slept < minSuspension {
			continue
		}
		s.events.Info(events.Suspended, events.Fields{"for_ms": slept.Milliseconds(), "planning": s.planning.Load()})
		s.metrics.Observe(telemetry.Suspension, slept)
		if s.settings.Woken != nil {
			s.settings.Woken()
		}
	}
}

// mayStillOrder tells whether an order may leave now. It is asked where the order is sent:
// the instance may have been suspended since that was decided.
func (p *planner) canOrderNow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canOrder(p.s.clock.Now())
}
