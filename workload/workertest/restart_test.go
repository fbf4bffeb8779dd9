package workertest

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Two members of a gang ended as done on two workers that crashed one after the other before
// anybody had read it (soak, seed 47002, twelve workers in one moment). While the second lived
// its end stood for both; with it the ends of both are void, not only its own: the gang can only
// begin again.
func TestTheLastEndOfAGangIsLostForAllItsMembers(t *testing.T) {
	f, seen, now := crashFleet(true)
	begin(f, "w1", workload.TaskID{Job: "a"}, now)
	begin(f, "w2", workload.TaskID{Job: "a", Index: 1}, now)
	now = now.Add(time.Second)
	f.Advance(now)
	f.Kill("w1", now)
	f.Kill("w2", now)
	void := map[int]bool{}
	for _, e := range *seen {
		if e.How == EndVoid {
			void[e.Task.Index] = true
		}
	}
	if len(void) != 2 {
		t.Fatalf("the ends of members %v are void", void)
	}
}

// A worker that starts again under its id holds and knows nothing of before.
func TestARestartedWorkerKnowsNothingOfBefore(t *testing.T) {
	f, _, now := crashFleet(false)
	w := f.Workers["w1"]
	begin(f, "w1", workload.TaskID{Job: "a"}, now)
	w.Hold(control.HoldOrder{Token: 9, Cursor: 5}, now)
	f.Kill("w1", now)
	now = now.Add(time.Second)
	next := f.Restart("w1", now)
	if next.Born != now.UnixMilli() || next.ClockMS(now) != 0 || next.Running() != 0 || next.Acked() != 0 {
		t.Fatalf("born %d, clock %d, %d runs, ends forgotten up to %d", next.Born, next.ClockMS(now), next.Running(), next.Acked())
	}
	if v := begin(f, "w1", workload.TaskID{Job: "a"}, now); v != control.Accepted {
		t.Fatalf("a start under an older token is %s", v)
	}
}
