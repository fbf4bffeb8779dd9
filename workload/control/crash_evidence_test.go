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
		}, 0},
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

// startMeetingAnswers has the job's tasks started on w0 until the planner starts no more, and answers
// each start. After that, another incarnation answers for w0, which is then listed as the next one.
// It returns the number of rounds.
func (s *cutOffScenario) startMeetingAnswers(t *testing.T, answer Result) int {
	t.Helper()
	for startMS := int64(1); startMS <= 8; startMS++ {
		s.c.UpdateWorker(Listing{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: startMS}, s.now)
		s.answerAsIncarnation(t, "w0", startMS, 10)
		s.now = s.now.Add(s.c.unstablePeriod() + time.Second)
		s.c.Round(s.now, s.now.UnixMilli())
		s.c.Changes()
		orders := s.c.Persisted(s.now)
		if len(orders) == 0 {
			return int(startMS) - 1
		}
		for _, o := range orders {
			s.c.HandleStartAnswer(o, Answer{Result: answer}, s.now)
		}
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	}
	return 8
}

// Guards against failing a job, no run of which has begun, because its starts met workers that had
// ended: other incarnations answered 421 at their addresses, or nobody answered.
func TestStartsThatMeetEndedWorkersDoNotFailJob(t *testing.T) {
	for answer, wantCrashes := range map[Result]bool{Gone: false, Unreachable: false, Unanswered: true} {
		t.Run(string(answer), func(t *testing.T) {
			s := newCutOffScenario(false)
			j := s.c.jobs[s.id]
			rounds := s.startMeetingAnswers(t, answer)
			if j.progress.State == workload.Failed {
				t.Fatalf("the job failed after %d starts, none of which was carried out", rounds)
			}
			task := j.progress.FindTask(s.firstStepTask(0))
			if task.AttributableCrashes() != 0 || (task.TotalCrashes() > 0) != wantCrashes {
				t.Errorf("%d crashes are counted, %d of them under runs that had begun", task.TotalCrashes(), task.AttributableCrashes())
			}
		})
	}
}

// A run that is planned and not sent yet is no evidence when its worker crashes.
func TestCrashBeforeStartIsSentDoesNotCount(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.TotalCrashes() != 0 || task.Phase != workload.Waiting {
		t.Errorf("%d crashes are counted under a run that was not sent: %+v", task.TotalCrashes(), *task)
	}
}

// Crashes under runs that are not known to have begun must not fail a job alone, but must count
// towards the limit on the starts of a task under which two workers have crashed.
func TestUnprovenCrashesCountOnlyBesideProvenOnes(t *testing.T) {
	for _, c := range []struct {
		crashes, unproven int
		fails             bool
	}{
		{crashes: 3, unproven: 3},
		{crashes: 6, unproven: 6},
		{crashes: 4, unproven: 3},
		{crashes: 5, unproven: 4, fails: true},
		{crashes: 2, unproven: 1},
		{crashes: 3, unproven: 1, fails: true},
		{crashes: 4, unproven: 2, fails: true},
	} {
		s := newCutOffScenario(true)
		s.round()
		task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
		*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: 1, Crashes: c.crashes, Unproven: c.unproven, CrashMS: 2000}
		s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndBroken}})
		if failed := s.c.jobs[s.id].progress.State == workload.Failed; failed != c.fails {
			t.Errorf("%d crashes, %d of them unproven: the job failed %t, want %t", c.crashes, c.unproven, failed, c.fails)
		}
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
