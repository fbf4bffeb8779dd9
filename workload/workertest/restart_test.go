package workertest

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Two members of a gang ended as done on two workers that crashed one after the other before
// either end was read (soak, seed 47002, twelve workers at the same time). While the second worker
// was alive, its end stood for both members. Its crash must make the ends of both void, not only
// its own, because the gang can only be restarted.
func TestLosingLastGangEndVoidsAllMembers(t *testing.T) {
	f, seen, now := newCrashFleet(true)
	startRun(f, "w1", workload.TaskID{Job: "a"}, now)
	startRun(f, "w2", workload.TaskID{Job: "a", Index: 1}, now)
	now = now.Add(time.Second)
	f.Advance(now)
	f.Kill("w1", now)
	f.Kill("w2", now)
	void := map[int]bool{}
	for _, e := range *seen {
		if e.End == EndVoid {
			void[e.Task.Index] = true
		}
	}
	if len(void) != 2 {
		t.Fatalf("the ends of members %v are void, want those of both", void)
	}
}

// A worker that restarts under the same id keeps no runs, token, clock or ends of its earlier
// incarnation.
func TestRestartedWorkerKeepsNoState(t *testing.T) {
	f, _, now := newCrashFleet(false)
	w := f.Workers["w1"]
	startRun(f, "w1", workload.TaskID{Job: "a"}, now)
	w.Renew(control.RenewalOrder{Token: 9, AcknowledgedEnd: 5}, now)
	f.Kill("w1", now)
	now = now.Add(time.Second)
	next := f.Restart("w1", now)
	if next.StartMS != now.UnixMilli() || next.ClockMS(now) != 0 || next.Running() != 0 || next.AcknowledgedEnd() != 0 {
		t.Fatalf("start time %d, clock %d, %d runs, ends acknowledged up to %d", next.StartMS, next.ClockMS(now), next.Running(), next.AcknowledgedEnd())
	}
	if v := startRun(f, "w1", workload.TaskID{Job: "a"}, now); v != control.Accepted {
		t.Fatalf("a start with an older token returned %s", v)
	}
}
