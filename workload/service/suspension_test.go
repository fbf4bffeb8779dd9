package service

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// suspensionMonitor observes the orders of planners after suspensions.
type suspensionMonitor struct {
	mu sync.Mutex
	// suspendedAt is when each planner was last suspended, by its token; hasWritten is set once
	// the log has processed an append that it sent since.
	suspendedAt map[int64]time.Time
	hasWritten  map[int64]bool
	// earlyOrders counts the orders that a suspended planner sent before such an append.
	earlyOrders, orders int
}

// monitorSuspensions returns a monitor of the planners of a pool.
func monitorSuspensions(p *pool) *suspensionMonitor {
	s := &suspensionMonitor{suspendedAt: map[int64]time.Time{}, hasWritten: map[int64]bool{}}
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	p.log.onAppend = func(epoch int64, sent time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !sent.Before(s.suspendedAt[epoch]) {
			s.hasWritten[epoch] = true
		}
	}
	p.workers.onOrder = func(order int64) {
		token := control.ClaimToken(order)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.orders++
		if !s.suspendedAt[token].IsZero() && !s.hasWritten[token] {
			s.earlyOrders++
		}
	}
	return s
}

// suspend simulates a suspension of the planner: its clock of ages advances, its timers don't.
// With advanceClock unset, that clock stops as well, as the runtime's clock does.
func (s *suspensionMonitor) suspend(p *pool, duration time.Duration, advanceClock bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range p.planners() {
		token, _ := instance.succession.heldToken()
		s.suspendedAt[token], s.hasWritten[token] = time.Now(), false
		if advanceClock {
			instance.clockOffset.Add(int64(duration))
		}
	}
}

// runWithSuspensions submits jobs and suspends the planner now and then, for longer than it may
// give orders after its last write.
func runWithSuspensions(t *testing.T, advanceClock bool) *suspensionMonitor {
	p := newPool(t, 3, 20)
	defer p.stopAll()
	time.Sleep(5 * time.Second)
	s := monitorSuspensions(p)
	for i := range 100 {
		p.trySubmit(i, p.instances[i%3])
		if i%5 == 4 {
			s.suspend(p, 7*time.Second, advanceClock)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return s
}

// Guards against orders of a planner that was succeeded during a suspension: after it, a planner
// gives no order before one of its writes has succeeded. The second run shows that the test
// detects the fault: with the runtime's clock, which stops during a suspension, the planner
// continues at once.
func TestSuspendedPlannerSendsNoOrderBeforeItsNextWrite(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := runWithSuspensions(t, true)
		if s.earlyOrders > 0 || s.orders == 0 {
			t.Errorf("%d of %d orders were sent before the planner had written", s.earlyOrders, s.orders)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := runWithSuspensions(t, false)
		if s.earlyOrders == 0 {
			t.Errorf("a clock that stops during suspensions was not detected in %d orders", s.orders)
		}
	})
}

// Guards against answers from what an instance had read before it was suspended.
func TestSuspendedInstanceDoesNotAnswerFromEarlierReads(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 3, 20)
		defer p.stopAll()
		time.Sleep(5 * time.Second)
		for _, instance := range p.instances {
			if !instance.Ready() {
				t.Fatalf("%s is not ready", instance.name)
			}
			instance.clockOffset.Add(int64(5 * time.Second))
			if err := instance.CheckCurrent(); err == nil || instance.Ready() {
				t.Errorf("%s (planning %t) answers from what it had read before it was suspended", instance.name, instance.planning.Load())
			}
		}
		time.Sleep(2 * time.Second)
		for _, instance := range p.instances {
			if !instance.Ready() {
				t.Errorf("%s is not ready again after 2 s", instance.name)
			}
		}
	})
}
