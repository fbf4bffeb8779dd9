package control

import (
	"testing"
	"time"
)

// Guards against lease deadlines by the clock of an earlier incarnation: the worker's entry shows a
// clock that the incarnation which answers first has not reached.
func TestFirstAnswerSetsTheClockWhateverTheEntryShowed(t *testing.T) {
	s := newUnknownEndsScenario()
	const shown, answered = 3_600_000, 500
	s.c.SetWorkers([]Listing{{ID: "w0", Address: "0", Rack: "r", ClockMS: shown}}, s.now)
	s.now = s.now.Add(100 * time.Millisecond)
	order, ok := s.c.NextRenewal("w0", s.now)
	if !ok {
		t.Fatal("no lease renewal for the worker")
	}
	s.c.HandleRenewal(order, RenewalAnswer{Result: Accepted, ClockMS: answered}, s.now, s.now)
	w := s.c.workers["w0"]
	if got, want := s.c.nextDeadline(w, s.now), int64(answered+6000); got != want {
		t.Errorf("the next order's deadline is %d, want %d", got, want)
	}
	s.now = s.now.Add(time.Second)
	if order, ok = s.c.NextRenewal("w0", s.now); ok {
		s.c.HandleRenewal(order, RenewalAnswer{Result: Accepted, ClockMS: answered + 1000}, s.now, s.now)
	}
	if w.number != 1 {
		t.Errorf("the same incarnation is counted as number %d", w.number)
	}
}
