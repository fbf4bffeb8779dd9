package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// loseLease has the lease of w0 end while its data centre answers, and its entry expire. It returns when
// the worker fell silent.
func (s *cutOffScenario) loseLease() time.Time {
	s.round()
	s.now = s.now.Add(time.Second)
	silentAt := s.now
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
	s.c.SetWorkers([]Listing{s.c.workers["w1"].Listing}, s.now)
	s.now = s.now.Add(8 * time.Second)
	s.round()
	return silentAt
}

// answerAsSuccessor has another worker answer at the address of w0 that started at the given time.
func (s *cutOffScenario) answerAsSuccessor(started time.Time) {
	s.c.UpdateWorker(Listing{ID: "w9", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}, s.now)
	s.c.HandleRenewal(RenewalOrder{Worker: "w9", Address: "0", Token: s.c.workers["w9"].token}, RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000, StartMS: started.UnixMilli()}, s.now, s.now)
}

// Guards against failing a job under which a single worker crashed: starts without an answer, which
// may never have arrived, are no crashes under its task.
func TestJobDoesNotFailForOneCrashBesideUnansweredStarts(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	task.Crashes, task.Unproven, task.CrashMS = maxCrashes+1, maxCrashes+1, 2000
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if task.AttributableCrashes() != 1 {
		t.Fatalf("%d crashes are attributable, want 1", task.AttributableCrashes())
	}
	if state := s.c.jobs[s.id].progress.State; state == workload.Failed {
		t.Errorf("the job is %s after a single crash under a run that had begun", state)
	}
}
