package workertest

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// newCrashFleet returns a fleet of two workers. Tasks of job "c" crash their worker after 10 ms,
// others take 50 ms.
func newCrashFleet(gang bool) (*Fleet, *[]Event, time.Time) {
	now := time.Unix(1000, 0)
	seen := &[]Event{}
	f := &Fleet{
		Limits: Limits{MaxLease: time.Minute, StopTimeout: time.Second, GangTimeout: time.Second},
		Step: func(id workload.TaskID) (workload.Step, bool) {
			return workload.Step{Count: 2, Gang: gang && id.Job != "c", Need: workload.Resources{Accelerators: 1}}, true
		},
		Work: func(id workload.TaskID, _ int64, _ string) Work {
			return Work{Takes: 50 * time.Millisecond, Crashes: id.Job == "c", CrashAfter: 10 * time.Millisecond}
		},
		OnEvent: func(e Event) { *seen = append(*seen, e) },
	}
	for _, id := range []string{"w1", "w2"} {
		f.Add(id, workload.Resources{Accelerators: 8}, 1, now)
	}
	return f, seen, now
}

func startRun(f *Fleet, worker string, id workload.TaskID, now time.Time) control.Result {
	w := f.Workers[worker]
	return w.Start(control.StartOrder{Task: id, Run: 1, DeadlineMS: w.ClockMS(now) + 30_000}, now).Result
}

// A start that arrives after its worker was due to crash must start nothing. A run that the
// dead worker accepted never ended, so that the task's next run overlapped with it (soak: run-lost
// lasted_ms=26, then a start elsewhere, four of fifty seeds).
func TestCrashedWorkerStartsNothing(t *testing.T) {
	f, _, now := newCrashFleet(false)
	startRun(f, "w1", workload.TaskID{Job: "c"}, now)
	if v := startRun(f, "w1", workload.TaskID{Job: "a"}, now.Add(20*time.Millisecond)); v != control.Unanswered || f.Workers["w1"].Running() != 0 {
		t.Fatalf("the start on the crashed worker returned %s, it has %d runs", v, f.Workers["w1"].Running())
	}
}

// An end that the worker had not reported when a task crashed the worker is void: the planner can
// only restart the task. In five of fifty soak seeds, a run of 598 ms was lost with its worker
// (another-life) and restarted. A gang's end is not void while the worker of another member is
// alive.
func TestUnacknowledgedEndsAreVoidAfterCrash(t *testing.T) {
	for name, c := range map[string]struct {
		gang, acked bool
		void        int
	}{
		"not reported": {void: 1},
		"acknowledged": {acked: true},
		"of a gang whose other member's worker is alive": {gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, seen, now := newCrashFleet(c.gang)
			startRun(f, "w1", workload.TaskID{Job: "a"}, now)
			if c.gang {
				startRun(f, "w2", workload.TaskID{Job: "a", Index: 1}, now)
			}
			now = now.Add(100 * time.Millisecond)
			f.Advance(now)
			if c.acked {
				f.Workers["w1"].Renew(control.RenewalOrder{AcknowledgedEnd: 1}, now)
			}
			startRun(f, "w1", workload.TaskID{Job: "c"}, now)
			f.Advance(now.Add(20 * time.Millisecond))
			void := 0
			for _, e := range *seen {
				if e.End == EndVoid {
					void++
				}
			}
			if void != c.void || !f.Workers["w1"].Dead {
				t.Errorf("%d ends are void, want %d: %v", void, c.void, *seen)
			}
		})
	}
}
