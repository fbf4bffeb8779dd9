package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// Guards against placing work in an unreachable data centre. It gets no new work from the first
// unanswered call until any of its workers answers a call that was sent later.
func TestUnreachableDataCentreIsClosedUntilItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Bounds{PollWait: time.Second}, 1, now)
	c.SetWorkers([]Listing{{ID: "a1", Address: "x", DataCentre: "a"}, {ID: "a2", Address: "y", DataCentre: "a"}, {ID: "b1", Address: "z", DataCentre: "b"}}, now)
	renew := func(id string, verdict Result, sent, at time.Time) {
		c.HandleRenewal(RenewalOrder{Worker: id, Wait: time.Second}, RenewalAnswer{Result: verdict, ClockMS: 1}, sent, at)
	}
	for _, id := range []string{"a1", "a2", "b1"} {
		renew(id, Accepted, now, now)
	}
	closed := func(id string) bool { return c.cutOff(c.workers[id]) }
	at := func(d time.Duration) time.Time { return now.Add(d) }

	renew("a1", Unreachable, at(time.Second), at(time.Second+10*time.Millisecond))
	if closed("a2") {
		t.Fatal("closed by a call that failed at once")
	}
	renew("a1", Unanswered, at(time.Second), at(3*time.Second))
	if !closed("a2") || closed("b1") {
		t.Fatalf("after an unanswered call to data centre a: a closed %t, b closed %t", closed("a2"), closed("b1"))
	}
	if ids := c.WorkersToRenew(at(4 * time.Second)); len(ids) != 2 {
		t.Fatalf("%v are probed, want 2 workers", ids)
	}
	renew("a2", Accepted, at(4*time.Second), at(4*time.Second))
	if closed("a2") {
		t.Fatal("closed although a worker has answered")
	}
	c.bounds.Disabled = decide.DisabledMechanisms{decide.CloseSilentCentres: true}
	renew("a1", Unanswered, at(6*time.Second), at(8*time.Second))
	if closed("a2") {
		t.Fatal("closed although the mechanism is disabled")
	}
}

// Guards against an urgency estimate that does not follow the share of first-priority units that
// can't wait for a stop.
func TestUrgentShareFollowsArrivals(t *testing.T) {
	h := urgency{}
	for range 20 {
		h.observe(true)
		h.observe(false)
	}
	if h.share < 0.4 || h.share > 0.6 {
		t.Fatalf("share %.2f, though half of the units are urgent", h.share)
	}
	for range 200 {
		h.observe(false)
	}
	if h.share > 0.05 {
		t.Fatalf("share %.2f, though none of the last 200 units was urgent", h.share)
	}
}

// Guards against reporting quiet arrivals while jobs arrive. It is quiet once no job has arrived
// for many times the usual interval, until the next one does.
func TestArrivalsAreQuietOnlyAfterAPause(t *testing.T) {
	a, now := arrivals{}, time.Unix(1000, 0)
	if a.isQuiet(now) {
		t.Fatal("quiet before the first job")
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
			t.Fatal("quiet while jobs arrive")
		}
	}
	if step(minQuiet-time.Millisecond, 0) || !step(2*time.Millisecond, 0) {
		t.Fatal("quiet too early or not at all after the last job")
	}
	if step(100*time.Millisecond, 1) {
		t.Fatal("quiet although a job arrived")
	}
}
