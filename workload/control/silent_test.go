package control

import (
	"testing"
	"time"
)

// recordSilent runs a round that writes, and returns whether it wrote a record of silent workers.
// With inLog unset the write is not answered yet.
func (s *horizonScenario) recordSilent(at time.Duration, inLog bool) (value []byte, written bool) {
	s.now = s.began.Add(at)
	s.c.Round(s.now, s.now.UnixMilli())
	for _, r := range s.c.Changes() {
		if r.Key == StatePrefix+"silent" {
			value, written = r.Value, true
		}
	}
	if inLog {
		s.c.RecordWrite(s.now)
		s.c.Persisted(s.now)
	}
	return value, written
}

// newSilentScenario returns a planner whose worker has answered at 0.5 s, is silent since 1 s and
// recorded at 2.2 s.
func newSilentScenario(t *testing.T) (s *horizonScenario, record []byte) {
	s = newHorizonScenario(t)
	s.renewAt(t, 500*time.Millisecond, true)
	s.renewAt(t, 600*time.Millisecond, true)
	s.renewAt(t, time.Second, false)
	if _, written := s.recordSilent(1500*time.Millisecond, true); written {
		t.Error("a worker is recorded after half a second")
	}
	s.renewAt(t, 2*time.Second, false)
	record, written := s.recordSilent(2200*time.Millisecond, true)
	if !written {
		t.Fatal("a silent worker with runs is not recorded")
	}
	return s, record
}

// Guards against a lease that a successor does not wait for: a worker that answers again gets neither
// a longer lease nor new work before a record without it is in the log.
func TestRecordedWorkerGetsNothingBeforeTheRecordWithoutIt(t *testing.T) {
	s, _ := newSilentScenario(t)
	s.renewAt(t, 3*time.Second, true)
	// The last renewal before the silence was sent after 1 s.
	const granted = 7 * time.Second
	if got := s.renewAt(t, 3400*time.Millisecond, true); got > granted {
		t.Errorf("a recorded worker is granted a lease until %v, want no more than the %v of before", got, granted)
	}
	w := s.c.workers["w0"]
	if s.c.closedReason(w, s.now) != closedSilent {
		t.Error("a recorded worker gets new work")
	}
	for _, r := range w.runs {
		r.ordered, r.retryAt, r.confirmed = true, s.now, false
	}
	if orders := s.c.RetryOrders(s.began.Add(3500 * time.Millisecond)); len(orders) > 0 {
		t.Error("a start is repeated on a recorded worker")
	}
	if _, written := s.recordSilent(3600*time.Millisecond, false); !written {
		t.Fatal("the record without the worker is not due")
	}
	if got := s.renewAt(t, 3900*time.Millisecond, true); got > granted {
		t.Errorf("a lease until %v is granted while the record is on its way", got)
	}
	s.c.RecordWrite(s.began.Add(3600 * time.Millisecond))
	s.c.Persisted(s.began.Add(4000 * time.Millisecond))
	if got := s.renewAt(t, 4100*time.Millisecond, true); got < 9500*time.Millisecond {
		t.Errorf("the lease is granted until %v once the record is in the log, want 6 s", got)
	}
	if s.c.closedReason(w, s.now) != notClosed {
		t.Error("the worker gets no new work once the record is in the log")
	}
}

// Guards against a successor that waits too long for recorded leases, or too short: it counts from
// when it knew the end of the log, and the predecessor's clock is only known to have shown its newest
// reading by then.
func TestSuccessorWaitsForRecordedLeasesOnly(t *testing.T) {
	s, record := newSilentScenario(t)
	leaseEnd := s.c.workers["w0"].leaseEnd().Sub(s.began)
	reached := s.began.Add(time.Hour)
	began := reached.Add(2 * time.Second)
	for name, c := range map[string]struct {
		predecessor Predecessor
		want        time.Duration
	}{
		"the record's own reading":     {Predecessor{Token: 2, Reached: reached}, leaseEnd - 2200*time.Millisecond},
		"a reading in a heartbeat":     {Predecessor{Token: 2, Reached: reached, ClockMS: 4000}, leaseEnd - 4*time.Second},
		"a lease that is over":         {Predecessor{Token: 2, Reached: reached, ClockMS: 60_000}, 2*time.Second + firstContactTime},
		"a record of another planner":  {Predecessor{Token: 1, Reached: reached}, time.Minute},
		"a predecessor without a rule": {Predecessor{}, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			next := New(s.c.bounds, 3, began)
			next.inheritedLeasesEnd = reached.Add(time.Minute)
			next.SetPredecessor(c.predecessor)
			next.RestoreState(StatePrefix+"silent", record)
			got := next.inheritedLeaseEnd(next.workerFor("w0")).Sub(reached)
			if got < c.want || got > c.want+lapseSlack+2*time.Millisecond {
				t.Errorf("the successor waits %v, want %v", got, c.want)
			}
			if other := next.inheritedLeaseEnd(next.workerFor("w1")).Sub(reached); other != time.Minute {
				t.Errorf("the successor waits %v for a worker that is not recorded", other)
			}
		})
	}
}

// Guards against records, and holds on workers, under settings without a horizon.
func TestNothingIsRecordedWithoutAHorizon(t *testing.T) {
	s := newHorizonScenario(t)
	s.c.bounds.Horizon = 0
	s.renewAt(t, 500*time.Millisecond, true)
	s.renewAt(t, time.Second, false)
	if _, written := s.recordSilent(3*time.Second, true); written {
		t.Error("a silent worker is recorded")
	}
}
