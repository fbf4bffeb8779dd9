package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// A data centre gets nothing new from the first call that is silent until any of
// its workers answers a call that was sent later.
func TestASilentDataCentreIsClosedUntilItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Bounds{Wait: time.Second}, 1, now)
	c.List([]Listing{{ID: "a1", Address: "x", DataCentre: "a"}, {ID: "a2", Address: "y", DataCentre: "a"}, {ID: "b1", Address: "z", DataCentre: "b"}}, now)
	hold := func(id string, verdict Verdict, sent, at time.Time) {
		c.Held(HoldOrder{Worker: id, Wait: time.Second}, HoldAnswer{Verdict: verdict, ClockMS: 1}, sent, at)
	}
	for _, id := range []string{"a1", "a2", "b1"} {
		hold(id, Accepted, now, now)
	}
	closed := func(id string) bool { return c.cutOff(c.workers[id]) }
	at := func(d time.Duration) time.Time { return now.Add(d) }

	hold("a1", Unreached, at(time.Second), at(time.Second+10*time.Millisecond))
	if closed("a2") {
		t.Fatal("closed by a call that was refused at once")
	}
	hold("a1", Unanswered, at(time.Second), at(3*time.Second))
	if !closed("a2") || closed("b1") {
		t.Fatalf("a silent data centre: a closed %t, b closed %t", closed("a2"), closed("b1"))
	}
	if ids := c.NeedsHold(at(4 * time.Second)); len(ids) != 2 {
		t.Fatalf("%v are asked whether they answer", ids)
	}
	hold("a2", Accepted, at(4*time.Second), at(4*time.Second))
	if closed("a2") {
		t.Fatal("closed although it answers")
	}
	c.bounds.Without = decide.Without{decide.WatchCentres: true}
	hold("a1", Unanswered, at(6*time.Second), at(8*time.Second))
	if closed("a2") {
		t.Fatal("closed although it is switched off")
	}
}

// The share of the first priority that can't wait for a stop follows what comes.
func TestTheShareThatHurriesFollowsWhatComes(t *testing.T) {
	h := urgency{}
	for range 20 {
		h.observe(true)
		h.observe(false)
	}
	if h.share < 0.4 || h.share > 0.6 {
		t.Fatalf("half of them hurry: %.2f", h.share)
	}
	for range 200 {
		h.observe(false)
	}
	if h.share > 0.05 {
		t.Fatalf("none has for long: %.2f", h.share)
	}
}

// It is quiet once nothing has come for many times the usual gap, and no longer
// as soon as something comes.
func TestItIsQuietOnceNothingNewComes(t *testing.T) {
	a, now := arrivals{}, time.Unix(1000, 0)
	if a.isQuiet(now) {
		t.Fatal("quiet before anything came")
	}
	step := func(d time.Duration, jobs int) bool {
		now = now.Add(d)
		for range jobs {
			a.record()
		}
		return a.isQuiet(now)
	}
	for range 50 {
		if step(100*time.Millisecond, 1) {
			t.Fatal("quiet while jobs come")
		}
	}
	if step(minQuiet-time.Millisecond, 0) || !step(2*time.Millisecond, 0) {
		t.Fatal("not quiet after a while without jobs")
	}
	if step(100*time.Millisecond, 1) {
		t.Fatal("quiet although a job came")
	}
}
