package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A worker that was cut off, left as planned or was taken down must not count as crashed, since this
// says nothing about its tasks.
func TestOnlyCrashesCountAgainstTasks(t *testing.T) {
	other := Listing{ID: "w9", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}
	remaining := Listing{ID: "w1", Address: "1", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}
	fallSilent := func(s *cutOffScenario) {
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
	}
	succeed := func(s *cutOffScenario) {
		s.c.SetWorkers([]Listing{remaining, other}, s.now)
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	}
	expireLease := func(s *cutOffScenario) {
		s.now = s.now.Add(8 * time.Second)
		s.round()
	}
	for name, c := range map[string]struct {
		happens func(s *cutOffScenario)
		counts  int
	}{
		"another incarnation answers": {func(s *cutOffScenario) {
			s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
		}, 1},
		"another incarnation is listed":             {func(s *cutOffScenario) { s.c.SetWorkers([]Listing{remaining, other}, s.now) }, 0},
		"another incarnation is listed and answers": {succeed, 1},
		"run lasted for many leases": {func(s *cutOffScenario) {
			for range 6 {
				s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: 1, Percent: 1}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
				s.now = s.now.Add(5 * time.Second)
			}
			s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
		}, 0},
		"worker was draining": {func(s *cutOffScenario) {
			s.c.workers["w0"].Draining = true
			succeed(s)
		}, 0},
		"host is in maintenance": {func(s *cutOffScenario) {
			s.c.vacating["w0"] = true
			succeed(s)
		}, 0},
		"lease expired, still listed": {func(s *cutOffScenario) { fallSilent(s); expireLease(s) }, 0},
		"lease expired, no longer listed": {func(s *cutOffScenario) {
			fallSilent(s)
			s.c.SetWorkers([]Listing{remaining}, s.now)
			expireLease(s)
		}, 1},
		"data centre unreachable": {func(s *cutOffScenario) {
			s.c.workers["w0"].DataCentre = "dc"
			s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now.Add(time.Second))
			s.c.SetWorkers([]Listing{remaining}, s.now)
			expireLease(s)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			if n := len(s.round()); n != 2 {
				t.Fatalf("%d tasks were started, want 2", n)
			}
			s.now = s.now.Add(100 * time.Millisecond)
			c.happens(s)
			if got := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)).Crashes; got != c.counts {
				t.Errorf("%d crashes are counted, want %d", got, c.counts)
			}
		})
	}
}

// A task must be cleared once its worker reports it as running for longer than it had at any crash.
// A delayed answer must not clear it.
func TestLongRunClearsTaskOfCrashes(t *testing.T) {
	for name, reported := range map[string]struct {
		from, to int64
		cleared  bool
	}{
		"long run":  {from: 1_100, to: 2_000, cleared: true},
		"short run": {from: 1_100, to: 1_300, cleared: false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			s.round()
			task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
			task.Crashes, task.CrashMS, task.CrashRun = 2, 100, 0
			for _, clock := range []int64{reported.from, reported.to} {
				s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Accepted, ClockMS: clock, Running: []RunningRow{{Task: s.firstStepTask(0), Run: 1}}}, s.now, s.now.Add(time.Minute))
			}
			if cleared := task.Crashes == 0; cleared != reported.cleared {
				t.Errorf("%d crashes are left", task.Crashes)
			}
		})
	}
}

// A crash for which another job failed must not stay counted against the tasks that were running
// beside that job's.
func TestFailedJobExoneratesTasksBesideIt(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	otherJob := workload.JobID("00000000000000bb")
	s.c.Adopt(otherJob, workload.Entry{Job: &workload.Job{ID: otherJob, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 1, Need: workload.Resources{Accelerators: 1}, EstimateMS: 2000}}}, State: workload.Queued})
	s.round()
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	task := s.c.jobs[otherJob].progress.FindTask(workload.TaskID{Job: otherJob})
	if task.Crashes != 1 {
		t.Fatalf("%d crashes are counted", task.Crashes)
	}
	s.c.exonerateOthers(s.id)
	if task.Crashes != 0 {
		t.Errorf("%d crashes are left although another job failed for them", task.Crashes)
	}
}

// Workers that crash repeatedly do so under harmless tasks too, sometimes twice soon after a start:
// with 3,000 workers four jobs failed in this way in one day, after their second crash. If all
// crashes came that soon, a job must not fail before the third.
func TestTwoEarlyCrashesDoNotFailJob(t *testing.T) {
	for before, want := range map[int]workload.State{1: workload.Running, 2: workload.Failed} {
		s := newCutOffScenario(false)
		s.round()
		task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
		task.Crashes, task.CrashMS = before, 20
		s.now = s.now.Add(20 * time.Millisecond)
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
		if state := s.c.jobs[s.id].progress.State; state != want {
			t.Errorf("after %d crashes the job is %s, want %s", before+1, state, want)
		}
	}
}

// Adopted runs were running before the planner first saw them. Learning from them would make the
// estimates shrink with each planner.
func TestEstimatesIgnoreAdoptedRuns(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	r := s.c.runs[s.firstStepTask(0)]
	r.ordered, r.orderedAt, r.confirmed = false, time.Time{}, false
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: task.Run, Percent: 90}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
	s.now = s.now.Add(100 * time.Millisecond)
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(1), Run: 1, Percent: 1}}, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndDone}})
	if got, want := s.c.estimates.expected(s.c.jobs[s.id], 0), 2*time.Second; got != want {
		t.Errorf("expected run time is %v, want %v", got, want)
	}
}
