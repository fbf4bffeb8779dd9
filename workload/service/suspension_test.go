package service

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// suspensions watches what a planner does after it was suspended.
type suspensions struct {
	mu sync.Mutex
	// at is when each planner was last suspended, by its token; confirmed tells that it has
	// written since.
	at        map[int64]time.Time
	confirmed map[int64]bool
	// early counts the orders that went out before.
	early, orders int
}

func watchSuspended(p *pool) *suspensions {
	s := &suspensions{at: map[int64]time.Time{}, confirmed: map[int64]bool{}}
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	p.log.appended = func(epoch int64, sent time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !sent.Before(s.at[epoch]) {
			s.confirmed[epoch] = true
		}
	}
	p.workers.ordered = func(order int64) {
		token := control.Claim(order)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.orders++
		if !s.at[token].IsZero() && !s.confirmed[token] {
			s.early++
		}
	}
	return s
}

// suspend lets the planner's clock of ages run on, as in a suspension; its timers stand.
func (s *suspensions) suspend(p *pool, lasts time.Duration, counted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range p.planners() {
		token, _ := one.succession.heldToken()
		s.at[token], s.confirmed[token] = time.Now(), false
		if counted {
			one.ahead.Add(int64(lasts))
		}
	}
}

// playSuspensions hands jobs in and suspends whoever plans now and then, for longer than
// a planner may give orders after its last write.
func playSuspensions(t *testing.T, counted bool) *suspensions {
	p := newPool(t, 3, 20)
	defer p.stopAll()
	time.Sleep(5 * time.Second)
	s := watchSuspended(p)
	for i := range 100 {
		p.submitAnyhow(i, p.instances[i%3])
		if i%5 == 4 {
			s.suspend(p, 7*time.Second, counted)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return s
}

// A planner that wakes after a suspension may have been succeeded meanwhile. It gives no
// order before a write of its own has shown that it was not. By the runtime's clock, which
// stands still in a suspension, it goes on as if nothing had happened.
func TestASuspendedPlannerOrdersNothingBeforeItHasWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := playSuspensions(t, true)
		if s.early > 0 || s.orders == 0 {
			t.Errorf("%d of %d orders went out before the planner had written", s.early, s.orders)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := playSuspensions(t, false)
		if s.early == 0 {
			t.Errorf("a clock that stands still is not caught in %d orders", s.orders)
		}
	})
}

// What an instance had read before it was suspended is told to nobody.
func TestASuspendedInstanceTellsNothingOfWhatItHadReadBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 3, 20)
		defer p.stopAll()
		time.Sleep(5 * time.Second)
		for _, one := range p.instances {
			if !one.Ready() {
				t.Fatalf("%s is not ready", one.name)
			}
			one.ahead.Add(int64(5 * time.Second))
			if err := one.CheckCurrent(); err == nil || one.Ready() {
				t.Errorf("%s (planning %t) answers from what it had read before it was suspended", one.name, one.planning.Load())
			}
		}
		time.Sleep(2 * time.Second)
		for _, one := range p.instances {
			if !one.Ready() {
				t.Errorf("%s is not ready again after 2 s", one.name)
			}
		}
	})
}
