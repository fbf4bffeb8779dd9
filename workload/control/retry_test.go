package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// retried plays one guaranteed gang until its first run has failed after a time, and
// returns what the next plan is made of.
func planAfterFailure(t *testing.T, ran time.Duration) (now time.Time, u decide.Unit) {
	var last *decide.Snapshot
	now = time.Unix(1000, 0)
	wall := func() int64 { return now.UnixMilli() }
	bounds := Bounds{
		Lease: time.Minute, Authority: time.Minute, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second, ReclaimWithin: 3 * time.Second, FarFactor: 3, Wait: time.Second,
		Plan: func(s *decide.Snapshot) decide.Plan { last = s; return decide.Make(s) },
	}
	c := New(bounds, 1, now)
	c.Configure(Configuration{Queues: map[string]workload.Terms{"q": {Attempts: 3, Stretch: 1.5, TargetMS: 250}}, Guaranteed: map[domain.AccountID]int64{"a": 8}})
	capacity := workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8}
	c.List([]Listing{{ID: "w1", Address: "1", Rack: "r", Capacity: capacity, ClockMS: 1}, {ID: "w2", Address: "2", Rack: "r", Capacity: capacity, ClockMS: 1}}, now)
	id := workload.JobID("00000000000000aa")
	job := &workload.Job{ID: id, Account: "a", Queue: "q", AcceptedMS: wall(), Steps: []workload.Step{{Count: 1, Gang: true, SameRack: true, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
	c.Adopt(id, workload.Entry{Job: job, State: workload.Queued})
	hold := func(ended []EndedRow, running []RunningRow) {
		for _, w := range []string{"w1", "w2"} {
			c.Held(HoldOrder{Worker: w, Token: 1}, HoldAnswer{Verdict: Accepted, ClockMS: 1}, now, now)
		}
		if l := c.runs[workload.TaskID{Job: id}]; l != nil {
			c.Held(HoldOrder{Worker: l.worker.ID, Token: 1}, HoldAnswer{Verdict: Accepted, ClockMS: 1, Ended: ended, Running: running}, now, now)
		}
	}
	hold(nil, nil)
	c.Round(now, wall())
	c.Changes()
	starts := c.Persisted(now)
	if len(starts) != 1 {
		t.Fatalf("%d starts", len(starts))
	}
	c.Started(starts[0], Answer{Verdict: Accepted, ClockMS: 1}, now)
	now = now.Add(ran)
	l := c.runs[workload.TaskID{Job: id}]
	c.Held(HoldOrder{Worker: l.worker.ID, Token: 1}, HoldAnswer{Verdict: Accepted, ClockMS: 1, Ended: []EndedRow{{Number: 1, Task: workload.TaskID{Job: id}, Run: 1, How: EndFailed}}}, now, now)
	c.Round(now, wall())
	if len(last.Waiting) != 1 {
		t.Fatalf("%d units wait", len(last.Waiting))
	}
	return now, last.Waiting[0]
}

// A job is owed the runs that fail in it: after a failure it still is in time if it
// starts at once, and is not taken for hopeless.
func TestTheTimeOfARunThatFailedIsOwedToItsJob(t *testing.T) {
	const ran = 2 * time.Second
	now, u := planAfterFailure(t, ran)
	// 1.5 times both runs and 0.25 s, less the run to come.
	want := now.Add(-ran).Add(3*(ran+2*time.Second)/2 + 250*time.Millisecond - 2*time.Second)
	if off := u.LatestStart.Sub(want); off < -50*time.Millisecond || off > 50*time.Millisecond {
		t.Fatalf("has to start %v after now, want %v", u.LatestStart.Sub(now), want.Sub(now))
	}
}

// A guaranteed gang that had begun and comes back waits for a good place as it did
// at first.
func TestAGangThatComesBackBeginsToWaitAnew(t *testing.T) {
	now, u := planAfterFailure(t, 10*time.Second)
	if !u.Since.Equal(now) {
		t.Fatalf("has waited for %v", now.Sub(u.Since))
	}
}
