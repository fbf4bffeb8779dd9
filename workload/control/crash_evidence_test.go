package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// What is taken for a crash of a worker, and what is not: in doubt it was cut off, left, or
// was taken down, which says nothing of what ran on it.
func TestWhatCountsAsACrash(t *testing.T) {
	other := Listing{ID: "w9", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}
	rest := Listing{ID: "w1", Address: "1", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}
	silence := func(s *cutOffScenario) {
		s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Unanswered}, s.now, s.now)
	}
	lapse := func(s *cutOffScenario) {
		s.now = s.now.Add(8 * time.Second)
		s.round()
	}
	for name, c := range map[string]struct {
		happens func(s *cutOffScenario)
		counts  int
	}{
		"another life answers": {func(s *cutOffScenario) {
			s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Gone}, s.now, s.now)
		}, 1},
		"another life is listed": {func(s *cutOffScenario) { s.c.List([]Listing{rest, other}, s.now) }, 1},
		"after work for many leases": {func(s *cutOffScenario) {
			for range 6 {
				s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: 1, Percent: 1}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
				s.now = s.now.Add(5 * time.Second)
			}
			s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Gone}, s.now, s.now)
		}, 0},
		"it left by a plan": {func(s *cutOffScenario) {
			s.c.workers["w0"].Draining = true
			s.c.List([]Listing{rest, other}, s.now)
		}, 0},
		"its host has its maintenance": {func(s *cutOffScenario) {
			s.c.vacating["w0"] = true
			s.c.List([]Listing{rest, other}, s.now)
		}, 0},
		"its lease is over and it is listed": {func(s *cutOffScenario) { silence(s); lapse(s) }, 0},
		"its lease is over and it is gone": {func(s *cutOffScenario) {
			silence(s)
			s.c.List([]Listing{rest}, s.now)
			lapse(s)
		}, 1},
		"its data centre does not answer": {func(s *cutOffScenario) {
			s.c.workers["w0"].DataCentre = "dc"
			s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Unanswered}, s.now, s.now.Add(time.Second))
			s.c.List([]Listing{rest}, s.now)
			lapse(s)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			if n := len(s.round()); n != 2 {
				t.Fatalf("%d tasks began", n)
			}
			s.now = s.now.Add(100 * time.Millisecond)
			c.happens(s)
			if got := s.c.jobs[s.id].progress.Find(s.firstStepTask(0)).Crashes; got != c.counts {
				t.Errorf("%d crashes are counted, want %d", got, c.counts)
			}
		})
	}
}

// A run that its worker shows at work for longer than it ever was when a worker crashed
// clears its task; one whose answer was on its way for long does not.
func TestATaskThatWorksForLongIsCleared(t *testing.T) {
	for name, shown := range map[string]struct {
		from, to int64
		cleared  bool
	}{
		"at work for long":    {from: 1_100, to: 2_000, cleared: true},
		"at work for a while": {from: 1_100, to: 1_300, cleared: false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			s.round()
			task := s.c.jobs[s.id].progress.Find(s.firstStepTask(0))
			task.Crashes, task.CrashMS, task.CrashRun = 2, 100, 0
			for _, clock := range []int64{shown.from, shown.to} {
				s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Accepted, ClockMS: clock, Running: []RunningRow{{Task: s.firstStepTask(0), Run: 1}}}, s.now, s.now.Add(time.Minute))
			}
			if cleared := task.Crashes == 0; cleared != shown.cleared {
				t.Errorf("%d crashes are left", task.Crashes)
			}
		})
	}
}

// What was lost beside a task that was given up is not held against it.
func TestAVerdictClearsWhatWasBeside(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	beside := workload.JobID("00000000000000bb")
	s.c.Adopt(beside, workload.Entry{Job: &workload.Job{ID: beside, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 1, Need: workload.Resources{Accelerators: 1}, EstimateMS: 2000}}}, State: workload.Queued})
	s.round()
	s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Gone}, s.now, s.now)
	task := s.c.jobs[beside].progress.Find(workload.TaskID{Job: beside})
	if task.Crashes != 1 {
		t.Fatalf("%d crashes are counted", task.Crashes)
	}
	s.c.exonerateOthers(s.id)
	if task.Crashes != 0 {
		t.Errorf("%d crashes are left although another job was given up for them", task.Crashes)
	}
}

// Workers that go down and up by turns crash under innocent tasks, now and then soon after a
// start, and twice: on one day of 3,000 workers four jobs were given up so, after their second
// crash. The third is what gives a job up, where all of them came so soon.
func TestTwoCrashesSoonAfterTheStartGiveNobodyUp(t *testing.T) {
	for before, want := range map[int]workload.State{1: workload.Running, 2: workload.Failed} {
		s := newCutOffScenario(false)
		s.round()
		task := s.c.jobs[s.id].progress.Find(s.firstStepTask(0))
		task.Crashes, task.CrashMS = before, 20
		s.now = s.now.Add(20 * time.Millisecond)
		s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Gone}, s.now, s.now)
		if state := s.c.jobs[s.id].progress.State; state != want {
			t.Errorf("after %d crashes the job is %s, want %s", before+1, state, want)
		}
	}
}

// Guards against estimates that shrink with each planner: what one takes over had been at work
// before it saw it first.
func TestEstimatesLearnNothingFromRunsThatWereTakenOver(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	task := s.c.jobs[s.id].progress.Find(s.firstStepTask(0))
	l := s.c.runs[s.firstStepTask(0)]
	l.ordered, l.orderedAt, l.confirmed = false, time.Time{}, false
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: task.Run, Percent: 90}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
	s.now = s.now.Add(100 * time.Millisecond)
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(1), Run: 1, Percent: 1}}, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, How: EndDone}})
	if got, want := s.c.estimates.expected(s.c.jobs[s.id], 0), 2*time.Second; got != want {
		t.Errorf("a task is expected to take %v, want %v", got, want)
	}
}
