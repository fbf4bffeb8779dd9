package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// planAfterFailure runs a guaranteed gang whose first run fails after the given time. It returns
// the time of the next plan, and the gang's unit that the plan is made from.
func planAfterFailure(t *testing.T, runTime time.Duration) (now time.Time, u decide.Unit) {
	var last *decide.Snapshot
	now = time.Unix(1000, 0)
	wall := func() int64 { return now.UnixMilli() }
	bounds := Bounds{
		Lease: time.Minute, AuthorityPeriod: time.Minute, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second, ReclaimWithin: 3 * time.Second, RemoteFactor: 3, PollWait: time.Second,
		Plan: func(s *decide.Snapshot) decide.Plan { last = s; return decide.MakePlan(s) },
	}
	c := New(bounds, 1, now)
	c.Configure(Configuration{Queues: map[string]workload.QueueSettings{"q": {MaxAttempts: 3, Stretch: 1.5, TargetMS: 250}}, Guaranteed: map[domain.AccountID]int64{"a": 8}})
	capacity := workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8}
	c.SetWorkers([]Listing{{ID: "w1", Address: "1", Rack: "r", Capacity: capacity, ClockMS: 1}, {ID: "w2", Address: "2", Rack: "r", Capacity: capacity, ClockMS: 1}}, now)
	id := workload.JobID("00000000000000aa")
	job := &workload.Job{ID: id, Account: "a", Queue: "q", AcceptedMS: wall(), Steps: []workload.Step{{Count: 1, Gang: true, SameRack: true, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
	c.Adopt(id, workload.Entry{Job: job, State: workload.Queued})
	renew := func(ended []EndedRow, running []RunningRow) {
		for _, w := range []string{"w1", "w2"} {
			c.HandleRenewal(RenewalOrder{Worker: w, Token: 1}, RenewalAnswer{Result: Accepted, ClockMS: 1}, now, now)
		}
		if r := c.runs[workload.TaskID{Job: id}]; r != nil {
			c.HandleRenewal(RenewalOrder{Worker: r.worker.ID, Token: 1}, RenewalAnswer{Result: Accepted, ClockMS: 1, Ended: ended, Running: running}, now, now)
		}
	}
	renew(nil, nil)
	c.Round(now, wall())
	c.Changes()
	starts := c.Persisted(now)
	if len(starts) != 1 {
		t.Fatalf("%d starts", len(starts))
	}
	c.HandleStartAnswer(starts[0], Answer{Result: Accepted, ClockMS: 1}, now)
	now = now.Add(runTime)
	r := c.runs[workload.TaskID{Job: id}]
	c.HandleRenewal(RenewalOrder{Worker: r.worker.ID, Token: 1}, RenewalAnswer{Result: Accepted, ClockMS: 1, Ended: []EndedRow{{Number: 1, Task: workload.TaskID{Job: id}, Run: 1, End: EndFailed}}}, now, now)
	c.Round(now, wall())
	if len(last.Waiting) != 1 {
		t.Fatalf("%d units wait", len(last.Waiting))
	}
	return now, last.Waiting[0]
}

// Guards against treating a job as too late for its objective after a failure. Its objective is
// extended by the time of its failed runs, so it can still be met if the job restarts at once.
func TestFailedRunExtendsTheJobsLatestStart(t *testing.T) {
	const runTime = 2 * time.Second
	now, u := planAfterFailure(t, runTime)
	// The objective is 1.5 times both runs and 0.25 s. The second run has to fit in.
	want := now.Add(-runTime).Add(3*(runTime+2*time.Second)/2 + 250*time.Millisecond - 2*time.Second)
	if off := u.LatestStart.Sub(want); off < -50*time.Millisecond || off > 50*time.Millisecond {
		t.Fatalf("latest start is in %v, want %v", u.LatestStart.Sub(now), want.Sub(now))
	}
}

// Guards against a retried guaranteed gang that counts its first run as waiting time. It may wait
// for a good placement as long as it could at first.
func TestRetriedGangRestartsItsWaitingTime(t *testing.T) {
	now, u := planAfterFailure(t, 10*time.Second)
	if !u.ReadySince.Equal(now) {
		t.Fatalf("the gang counts %v as waiting time, want 0", now.Sub(u.ReadySince))
	}
}
