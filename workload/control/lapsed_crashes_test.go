package control

import (
	"fmt"
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

// Guards against missing an outage of workers on which tasks run that earlier outages made suspects:
// a crash in an outage explains no other crash.
func TestOutageOfWorkersWithSuspectsIsNoticed(t *testing.T) {
	const workers = 2 * outageLeast
	s := newCutOffScenario(false)
	var list []Listing
	for i := range workers {
		list = append(list, Listing{ID: fmt.Sprint("w", i), Address: fmt.Sprint(i), Rack: "r", Capacity: workload.Resources{Accelerators: 1}, ClockMS: 1})
	}
	s.c = New(s.c.bounds, 1, s.now)
	s.c.Configure(Configuration{Queues: map[string]workload.QueueSettings{"q": {Priority: 1, MaxAttempts: 3, Stretch: 3, TargetMS: 1000}}})
	s.c.SetWorkers(list, s.now)
	for _, l := range list {
		s.renew(l.ID, nil, nil)
	}
	var tasks []workload.TaskID
	for i := range workers {
		id := workload.JobID(fmt.Sprintf("%016x", i+1))
		s.c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 1, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}, State: workload.Queued})
		tasks = append(tasks, workload.TaskID{Job: id})
	}
	if n := len(s.round()); n != workers {
		t.Fatalf("%d tasks were started, want %d", n, workers)
	}
	for _, id := range tasks {
		task := s.c.jobs[id.Job].progress.FindTask(id)
		task.Crashes, task.Excluded, task.CrashMS = isolateAfterCrashes, isolateAfterCrashes, 2000
	}
	s.now = s.now.Add(100 * time.Millisecond)
	for _, l := range list {
		s.c.HandleRenewal(RenewalOrder{Worker: l.ID, Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	}
	s.c.Round(s.now, s.now.UnixMilli())
	convicting := 0
	for _, id := range tasks {
		if s.c.jobs[id.Job].progress.FindTask(id).Evidence() > 0 {
			convicting++
		}
	}
	if convicting > 0 {
		t.Errorf("the crash of all %d workers at once is evidence against %d of %d tasks", workers, convicting, len(tasks))
	}
}

// Guards against keeping a crash as evidence that was proven only after its lease had ended, when the
// rest of its outage is noticed later.
func TestProvenCrashIsExcludedOnceItsOutageIsNoticed(t *testing.T) {
	s := newCutOffScenario(false)
	silentAt := s.loseLease()
	s.answerAsSuccessor(silentAt.Add(500 * time.Millisecond))
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	if task.Evidence() != 1 {
		t.Fatalf("%d crashes are evidence before the outage is noticed, want 1", task.Evidence())
	}
	for range outageLeast {
		s.c.crashHistory.add(crash{silentAt: silentAt, noticedAt: s.now}, nil)
	}
	s.round()
	if task.Evidence() != 0 {
		t.Errorf("%d crashes are evidence after the outage was noticed, want 0: %+v", task.Evidence(), *task)
	}
}

// Guards against keeping a proven crash as evidence against a task after another job failed as its cause.
func TestProvenCrashIsExoneratedByVerdict(t *testing.T) {
	s := newCutOffScenario(false)
	other := workload.JobID("00000000000000bb")
	s.c.Adopt(other, workload.Entry{Job: &workload.Job{ID: other, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 1, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}, State: workload.Queued})
	silentAt := s.loseLease()
	s.answerAsSuccessor(silentAt.Add(500 * time.Millisecond))
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	if task.Evidence() != 1 {
		t.Fatalf("%d crashes are evidence, want 1", task.Evidence())
	}
	s.c.exonerateOthers(other)
	if task.Evidence() != 0 || task.Exonerated != 1 {
		t.Errorf("%d crashes are evidence and %d exonerated after the job beside it failed for the crash, want 0 and 1", task.Evidence(), task.Exonerated)
	}
}

// Guards against taking a crash for evidence because the outage that it was part of is no longer
// remembered when the crash is proven.
func TestProvenCrashOfEarlierOutageIsNoEvidence(t *testing.T) {
	for _, later := range []time.Duration{0, 30 * time.Second} {
		s := newCutOffScenario(false)
		s.round()
		silentAt := s.now.Add(time.Second)
		for range outageLeast {
			s.c.crashHistory.add(crash{silentAt: silentAt, noticedAt: silentAt}, nil)
		}
		s.loseLease()
		s.now = s.now.Add(later)
		// Another worker crashes meanwhile, which drops the crashes of the outage.
		s.c.crashHistory.expire(s.now.Add(-s.c.unstablePeriod()))
		s.answerAsSuccessor(silentAt.Add(500 * time.Millisecond))
		if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Crashes != 1 || task.Evidence() != 0 {
			t.Errorf("proven %v after the lease ended: %d crashes, %d of them evidence; want 1 and 0", later, task.Crashes, task.Evidence())
		}
	}
}

// Guards against counting a crash from before its task was cleared: the lease that ended since then is
// taken for the one of the crash.
func TestProvenCrashFromBeforeTaskWasClearedDoesNotCount(t *testing.T) {
	s := newCutOffScenario(false)
	silentAt := s.loseLease()
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	task.ResetCrashes()
	// Another lease ends under the next run.
	task.Lapsed = 1
	s.answerAsSuccessor(silentAt.Add(500 * time.Millisecond))
	if task.Crashes != 0 || task.Lapsed != 1 {
		t.Errorf("%d crashes and %d ended leases are counted, want 0 and 1", task.Crashes, task.Lapsed)
	}
}

// Guards against taking a worker that started after the lease had ended for proof of a crash because the
// planner's wall clock was set forward before the lease ended.
func TestClockStepProvesNoCrash(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.now = s.now.Add(time.Second)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
	s.c.SetWorkers([]Listing{s.c.workers["w1"].Listing}, s.now)
	s.now = s.now.Add(8 * time.Second)
	s.c.Round(s.now, s.now.Add(30*time.Second).UnixMilli())
	s.now = s.now.Add(10 * time.Second)
	s.c.Round(s.now, s.now.UnixMilli())
	s.answerAsSuccessor(s.now.Add(-time.Second))
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Crashes != 0 {
		t.Errorf("%d crashes are counted for a worker that started 9 s after the lease had ended, want 0", task.Crashes)
	}
}

// Guards against counting one lost worker twice as a sign of an outage: its lease ends, and a call that
// was sent before is then answered by its successor.
func TestLostWorkerIsOneSignOfOutage(t *testing.T) {
	s := newCutOffScenario(false)
	s.loseLease()
	if n := len(s.c.crashHistory.silences); n != 1 {
		t.Fatalf("%d workers are counted when the lease has ended, want 1", n)
	}
	s.now = s.now.Add(100 * time.Millisecond)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Address: "0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if n := len(s.c.crashHistory.silences); n != 1 {
		t.Errorf("%d workers are counted after its successor answered, want 1", n)
	}
}

// Guards against limiting the starts of a task for good after a worker was cut off: a planner that is
// replaced before the worker answers no longer knows which run had lapsed there.
func TestEndedLeaseIsUncountedAfterSuccession(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].Listing.StartMS = s.now.UnixMilli() - 5000
	s.c.workers["w0"].startMS = s.c.workers["w0"].Listing.StartMS
	listing := s.c.workers["w0"].Listing
	s.loseLease()
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Lapsed != 1 {
		t.Fatalf("%d ended leases count before the succession, want 1", task.Lapsed)
	}
	progress := marshalProgress(t, s.c.jobs[s.id].progress)
	j := s.c.jobs[s.id].Job
	s.c = New(s.c.bounds, 2, s.now)
	s.c.SetWorkers([]Listing{listing}, s.now)
	s.c.Adopt(s.id, workload.Entry{Job: j, State: workload.Running, Started: true, Progress: progress})
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Address: "0", Token: s.c.workers["w0"].token}, RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000, StartMS: listing.StartMS}, s.now, s.now)
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Lapsed != 0 {
		t.Errorf("%d ended leases still count after the worker has answered a new planner, want 0", task.Lapsed)
	}
}

// Guards against failing a job at the end of a run that neither failed nor was lost, because a lease
// that ended makes up the third crash.
func TestEndedLeaseIsNoThirdCrash(t *testing.T) {
	s := newCutOffScenario(true)
	s.round()
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: 1, Crashes: maxCrashes - 1, Lapsed: 1, CrashMS: 2000}
	s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndGangIncomplete}})
	if state := s.c.jobs[s.id].progress.State; state == workload.Failed {
		t.Errorf("the job is %s after %d crashes, a lease that ended and a run that ended alone", state, maxCrashes-1)
	}
}
