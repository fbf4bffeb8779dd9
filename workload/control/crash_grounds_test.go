package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// Guards against failing a job for crashes none of which is evidence against its task: all of them
// were part of outages.
func TestJobDoesNotFailForCrashesInOutages(t *testing.T) {
	for _, end := range []End{EndBroken, EndFailed, EndGangIncomplete, EndLapsed} {
		s := newCutOffScenario(true)
		s.round()
		task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
		*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: 1, Crashes: maxCrashes, Excluded: maxCrashes, CrashMS: 2000}
		s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: end}})
		if state := s.c.jobs[s.id].progress.State; state == workload.Failed {
			t.Errorf("the job is %s after a run that ended %s and %d crashes in outages", state, end, maxCrashes)
		}
	}
}

// Guards against failing a job for a crash in an outage beside crashes in other outages.
func TestJobDoesNotFailForAnotherOutage(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	task.Crashes, task.Excluded, task.CrashMS = maxCrashes, maxCrashes, 2000
	for range outageLeast {
		s.c.crashHistory.add(crash{silentAt: s.now, noticedAt: s.now}, nil)
	}
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if task.Excluded != maxCrashes+1 || s.c.jobs[s.id].progress.State == workload.Failed {
		t.Errorf("the job is %s after %d crashes, %d of them in outages", s.c.jobs[s.id].progress.State, task.Crashes, task.Excluded)
	}
}

// Guards against failing a job whose workers were cut off one after the other for longer than their
// leases, until their entries expired, and ran on: none of them crashed.
func TestJobDoesNotFailForWorkersThatAreCutOff(t *testing.T) {
	s := newCutOffScenario(false)
	listings := []Listing{
		{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: 5},
		{ID: "w1", Address: "1", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: 6},
	}
	s.c.SetWorkers(listings, s.now)
	for cut := range 2 * maxCrashes {
		s.now = s.now.Add(time.Minute)
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: s.c.workers["w0"].token}, RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000, StartMS: 5}, s.now, s.now)
		s.round()
		if len(s.eventDetails(EventJobFailed)) > 0 {
			t.Fatalf("the job failed after its worker was cut off %d times and never crashed", cut)
		}
		s.now = s.now.Add(time.Second)
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
		s.c.SetWorkers(listings[1:], s.now)
		s.now = s.now.Add(8 * time.Second)
		s.round()
		s.c.SetWorkers(listings, s.now)
	}
}

// A lease that has ended must count as a crash only if another incarnation shows that the worker had
// crashed before.
func TestEndedLeaseCountsAsCrashOnlyIfProven(t *testing.T) {
	for _, c := range []struct {
		what, id string
		// startMS is the start of the incarnation that answers, relative to the planner's start.
		startMS      int64
		want, lapsed int
	}{
		{"the same incarnation answers", "w0", -5000, 0, 0},
		{"its next incarnation started before the lease ended", "w0", 1500, 1, 0},
		{"its next incarnation started after the lease had ended", "w0", 9000, 0, 1},
		{"its successor started before the lease ended", "w9", 1500, 1, 0},
		{"its successor started after the lease had ended", "w9", 9000, 0, 1},
		{"the start of its successor is unknown", "w9", 0, 0, 1},
		{"the same worker answers and shows no start", "w0", 0, 0, 0},
	} {
		s := newCutOffScenario(false)
		startedMS := s.now.UnixMilli()
		s.c.workers["w0"].startMS = startedMS - 5000
		s.round()
		s.now = s.now.Add(time.Second)
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
		s.c.SetWorkers([]Listing{s.c.workers["w1"].Listing}, s.now)
		s.now = s.now.Add(8 * time.Second)
		s.round()
		task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
		if task.Crashes != 0 || task.Lapsed != 1 {
			t.Errorf("%s: %d crashes and %d ended leases are counted before the answer", c.what, task.Crashes, task.Lapsed)
		}
		s.c.UpdateWorker(Listing{ID: c.id, Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}, s.now)
		answer := RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000}
		if c.startMS != 0 {
			answer.StartMS = startedMS + c.startMS
		}
		s.c.HandleRenewal(RenewalOrder{Worker: c.id, Token: s.c.workers[c.id].token}, answer, s.now, s.now)
		if task.Crashes != c.want || task.Lapsed != c.lapsed {
			t.Errorf("%s: %d crashes and %d ended leases are counted, want %d and %d", c.what, task.Crashes, task.Lapsed, c.want, c.lapsed)
		}
	}
}
