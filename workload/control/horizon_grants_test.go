package control

import (
	"testing"
	"time"
)

// horizonScenario is a planner with a horizon of 8 s and leases of 6 s that inherits a run on a
// worker. The worker's clock shows the time since the planner started.
type horizonScenario struct {
	*unknownEndsScenario
	began time.Time
}

func newHorizonScenario(t *testing.T) *horizonScenario {
	s := &horizonScenario{unknownEndsScenario: newUnknownEndsScenario()}
	s.began = s.now
	s.c.bounds.Horizon = 8 * time.Second
	s.c.RecordWrite(s.now)
	s.adopt(t)
	return s
}

// clockMS is what the worker's clock shows after the given time.
func (s *horizonScenario) clockMS(after time.Duration) int64 { return 1000 + after.Milliseconds() }

// renewAt sends a lease renewal at the given time and returns its deadline as a time since the
// planner's start. A worker that does not answer falls silent.
func (s *horizonScenario) renewAt(t *testing.T, at time.Duration, answered bool) time.Duration {
	t.Helper()
	now := s.began.Add(at)
	order, ok := s.c.NextRenewal("w0", now)
	if !ok {
		t.Fatalf("no lease renewal is due after %v", at)
	}
	answer := RenewalAnswer{Result: Unanswered}
	if answered {
		answer = RenewalAnswer{Result: Accepted, ClockMS: s.clockMS(at)}
		for i := range 2 {
			answer.Running = append(answer.Running, RunningRow{Task: s.task(i), Run: 1})
		}
	}
	s.c.HandleRenewal(order, answer, now, now)
	if order.DeadlineMS == 0 {
		return 0
	}
	return time.Duration(order.DeadlineMS-s.clockMS(0)) * time.Millisecond
}

// Guards against leases that outlast the bound on which a successor relies: what an order adds ends
// at the horizon, and the lease that an earlier planner may have granted is not granted again.
func TestNoOrderGrantsALeaseBeyondTheHorizon(t *testing.T) {
	s := newHorizonScenario(t)
	if got := s.renewAt(t, 5*time.Second, true); got != 0 {
		t.Errorf("the first renewal grants a lease until %v", got)
	}
	if got := s.renewAt(t, 5500*time.Millisecond, true); got > 8*time.Second || got < 7900*time.Millisecond {
		t.Errorf("a renewal 5.5 s after the last write grants a lease until %v, want the horizon at 8 s", got)
	}
	s.renewAt(t, 6*time.Second, false)
	if got := s.renewAt(t, 7*time.Second, false); got > 8*time.Second {
		t.Errorf("a silent worker is sent the deadline %v, want at most the horizon at 8 s", got)
	}
	s.c.RecordWrite(s.began.Add(7200 * time.Millisecond))
	s.renewAt(t, 7400*time.Millisecond, true)
	if got := s.renewAt(t, 7500*time.Millisecond, true); got < 13*time.Second {
		t.Errorf("a renewal after a write grants a lease until %v, want 6 s", got)
	}
}

// Guards against a restart while the first run goes on under a lease of an earlier planner that this
// one has not granted and must not count as its own.
func TestInheritedLeaseOfASilentWorkerIsWaitedFor(t *testing.T) {
	s := newHorizonScenario(t)
	s.renewAt(t, 5*time.Second, true)
	s.renewAt(t, 5500*time.Millisecond, false)
	w := s.c.workers["w0"]
	if s.c.hasLapsed(w, s.began.Add(11*time.Second)) {
		t.Error("the lease is over 6 s after the answer of a worker that an earlier planner may have given 6 s")
	}
	if !s.c.hasLapsed(w, s.began.Add(11300*time.Millisecond)) {
		t.Error("the lease is not over although 6 s have passed by the slowest clock")
	}
}

// Guards against a restart before the workers could answer for the first time, if the leases of
// earlier planners ended long ago.
func TestInheritedLeasesEndNoSoonerThanTheFirstContact(t *testing.T) {
	began := time.Unix(1000, 0)
	c := New(Bounds{Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, Horizon: 8 * time.Second}, 2, began)
	c.LimitInheritedLeases(began.Add(5 * time.Second))
	if got := c.InheritedLeasesEnd().Sub(began); got != 5*time.Second {
		t.Errorf("inherited leases end after %v", got)
	}
	c.LimitInheritedLeases(began.Add(-time.Minute))
	if got := c.InheritedLeasesEnd().Sub(began); got != firstContactTime {
		t.Errorf("inherited leases end after %v", got)
	}
	c.LimitInheritedLeases(began.Add(20 * time.Second))
	if got := c.InheritedLeasesEnd().Sub(began); got != firstContactTime {
		t.Errorf("a later bound replaced an earlier one: %v", got)
	}
}
