package control

import (
	"testing"
	"time"
)

// Guards against leases that are counted by the clock of a life before: the worker's entry shows
// a clock that the life which answers first has not reached.
func TestTheFirstAnswerTellsTheClockWhateverTheEntryShowed(t *testing.T) {
	s := newUnknownEndsScenario()
	const shown, answered = 3_600_000, 500
	s.c.List([]Listing{{ID: "w0", Address: "0", Rack: "r", ClockMS: shown}}, s.now)
	s.now = s.now.Add(100 * time.Millisecond)
	order, ok := s.c.Hold("w0", s.now)
	if !ok {
		t.Fatal("the worker is not asked")
	}
	s.c.Held(order, HoldAnswer{Verdict: Accepted, ClockMS: answered}, s.now, s.now)
	w := s.c.workers["w0"]
	if got, want := s.c.nextDeadline(w, s.now), int64(answered+6000); got != want {
		t.Errorf("the next order's deadline is %d, want %d", got, want)
	}
	s.now = s.now.Add(time.Second)
	if order, ok = s.c.Hold("w0", s.now); ok {
		s.c.Held(order, HoldAnswer{Verdict: Accepted, ClockMS: answered + 1000}, s.now, s.now)
	}
	if w.number != 1 {
		t.Errorf("a life that goes on is taken for life %d", w.number)
	}
}
