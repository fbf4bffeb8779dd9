package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

func TestCrashHistoryCountsOnlyCrashesWithoutRunsOfTheJob(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	h := newCrashHistory()
	for i, jobs := range [][]workload.JobID{{"a"}, {"a", "b"}, nil, {"b"}, nil} {
		h.add(crash{silentAt: at(i), noticedAt: at(i + 1)}, jobs)
	}
	for _, c := range []struct {
		what      string
		got, want int
	}{
		{"around the second crash, without job a", h.countAround(at(1), "a", time.Second), 1},
		{"around the second crash, without job b", h.countAround(at(1), "b", time.Second), 2},
		{"around the second crash, all jobs", h.countAround(at(1), "c", time.Second), 3},
		{"since the third crash, without job b", h.countSince(at(3), "b"), 2},
		{"since the third crash, all jobs", h.countSince(at(3), "c"), 3},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d crashes, want %d", c.what, c.got, c.want)
		}
	}
	h.expire(at(3))
	if got := h.countAround(at(2), "a", time.Hour); got != 3 || len(h.byJob["a"]) != 0 || len(h.byJob["b"]) != 1 {
		t.Errorf("%d crashes are left, of jobs %v", got, h.byJob)
	}
}

// A crash that is part of an outage must be excluded from the evidence even if the other crashes are
// noticed after it.
func TestCrashIsExcludedOnceItsOutageIsNoticed(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
	if task.Crashes != 1 || task.Evidence() != 1 {
		t.Fatalf("%d crashes, of which %d are evidence against the task", task.Crashes, task.Evidence())
	}
	s.now = s.now.Add(outageSpanWaits * time.Second)
	for range outageLeast {
		s.c.crashHistory.add(crash{silentAt: s.now, noticedAt: s.now}, nil)
	}
	s.round()
	if task.Crashes != 1 || task.Evidence() != 0 {
		t.Errorf("%d crashes, of which %d are evidence against the task", task.Crashes, task.Evidence())
	}
}

// A task that several workers have crashed under must wait until the pool has been without an outage
// for some time, but no longer.
func TestTaskWithSeveralCrashesWaitsForSettledPool(t *testing.T) {
	for _, c := range []struct {
		crashes, others int
		perpetual       bool
		waits           time.Duration
	}{
		{crashes: 1, others: unsettledLeast, waits: 0},
		{crashes: 2, others: unsettledLeast - 1, waits: 0},
		{crashes: 2, others: unsettledLeast, waits: 4 * time.Second},
		{crashes: 3, others: unsettledLeast, waits: 8 * time.Second},
		{crashes: 3, others: unsettledLeast, perpetual: true, waits: 4 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d crashes, %d others, perpetual %t", c.crashes, c.others, c.perpetual), func(t *testing.T) {
			s := newCutOffScenario(false)
			j := s.c.jobs[s.id]
			j.Steps[0].Perpetual = c.perpetual
			s.c.Round(s.now, s.now.UnixMilli())
			for i := range j.progress.Open[0].Steps[0] {
				s.c.settleRun(s.c.runs[s.firstStepTask(i)], EndStopped, "")
				*j.progress.FindTask(s.firstStepTask(i)) = workload.Task{Run: 1, Crashes: c.crashes, CrashMS: 2000, CrashRun: 1, Excluded: c.crashes}
			}
			j.suspected = true
			s.c.pendingStarts = nil
			s.now = s.now.Add(time.Minute)
			for range c.others {
				s.c.crashHistory.add(crash{silentAt: s.now, noticedAt: s.now}, nil)
			}
			outageAt := s.now
			for len(s.round()) == 0 {
				s.renew("w0", nil, nil)
				if s.now = s.now.Add(100 * time.Millisecond); s.now.Sub(outageAt) > time.Minute {
					t.Fatal("no task was started within a minute")
				}
			}
			if waited := s.now.Sub(outageAt); waited < c.waits || waited > c.waits+200*time.Millisecond {
				t.Errorf("started after %v, want %v", waited, c.waits)
			}
		})
	}
}

// Jobs that crash their workers at the same moment look like an outage, so that their crashes are
// excluded. Their tasks must be isolated nevertheless, or harmless jobs would be lost with them.
func TestTaskWithExcludedCrashesIsIsolated(t *testing.T) {
	s := newCutOffScenario(false)
	j := s.c.jobs[s.id]
	s.c.Round(s.now, s.now.UnixMilli())
	for i := range j.progress.Open[0].Steps[0] {
		s.c.settleRun(s.c.runs[s.firstStepTask(i)], EndStopped, "")
	}
	s.c.pendingStarts = nil
	*j.progress.FindTask(s.firstStepTask(0)) = workload.Task{Run: 1, Crashes: 2, CrashMS: 100, CrashRun: 1, Excluded: 2}
	j.suspected = true
	s.now = s.now.Add(time.Minute)
	j.waitedUnsettledAt = s.now
	snapshot, _ := s.c.snapshot(s.now, s.now.UnixMilli())
	isolated := 0
	for _, u := range snapshot.Waiting {
		if u.Suspect && u.Exclusive && len(u.Indexes) == 1 && u.Indexes[0] == 0 {
			isolated++
		}
	}
	if isolated != 1 || len(snapshot.Waiting) != 2 {
		t.Errorf("%d of %d units are isolated suspects: %+v", isolated, len(snapshot.Waiting), snapshot.Waiting)
	}
}

// A gang's member that crashes its workers must not get another run for each of its crashes that was
// in an outage. Crashes in outages alone must not fail its job.
func TestExcludedCrashCountsTowardsRunLimit(t *testing.T) {
	for _, c := range []struct {
		crashes, excluded int
		want              workload.State
	}{
		{maxCrashes, 0, workload.Failed},
		{maxCrashes, 1, workload.Failed},
		{maxCrashes + 1, 2, workload.Failed},
		{maxCrashes + 2, 3, workload.Failed},
		{maxCrashes + 2, 4, workload.Failed},
		{maxCrashes, 2, workload.Running},
		{maxCrashes + 1, 3, workload.Running},
		{maxCrashes, 3, workload.Running},
		{maxCrashes + 2, 5, workload.Running},
	} {
		s := newCutOffScenario(true)
		s.round()
		task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
		*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: 1, Crashes: c.crashes, Excluded: c.excluded, CrashMS: 2000}
		s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndBroken}})
		if state := s.c.jobs[s.id].progress.State; state != c.want {
			t.Errorf("the job is %s after a run that followed %d crashes, %d of them in outages; want %s", state, c.crashes, c.excluded, c.want)
		}
	}
}

// A task with a single crash outside outages must not get a third run after three crashes, however the
// two before ended.
func TestRunsWithoutCrashCountTowardsRunLimit(t *testing.T) {
	for _, c := range []struct {
		run              int64
		excluded, lapsed int
		end              End
		want             workload.State
	}{
		{4, 2, 0, EndBroken, workload.Running},
		{5, 2, 0, EndBroken, workload.Failed},
		{5, 2, 0, EndFailed, workload.Failed},
		{5, 3, 0, EndBroken, workload.Running},
		// A single worker is known to have crashed.
		{5, 0, 2, EndBroken, workload.Running},
		{6, 0, 2, EndFailed, workload.Running},
	} {
		s := newCutOffScenario(false)
		s.round()
		task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
		*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: c.run, Crashes: maxCrashes - c.lapsed, Excluded: c.excluded, Lapsed: c.lapsed, CrashRun: 3, CrashMS: 2000}
		s.c.runs[s.firstStepTask(0)].run = c.run
		s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: c.run, End: c.end}})
		if state := s.c.jobs[s.id].progress.State; state != c.want {
			t.Errorf("the job is %s after run %d, which ended %s, and %+v; want %s", state, c.run, c.end, *task, c.want)
		}
	}
}

// A task that crashes its workers must fail its job at the second crash outside outages, so that it is
// started no more than twice after three crashes in outages.
func TestRunsAfterCrashesInOutagesAreLimited(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	id := s.firstStepTask(0)
	task, r := s.c.jobs[s.id].progress.FindTask(id), s.c.runs[id]
	task.Crashes, task.Excluded, task.CrashMS = maxCrashes, maxCrashes, 2000
	for run := int64(1); run <= 2; run++ {
		task.Run, r.run = run, run
		givenUp := s.c.attributeCrash(s.c.workers["w0"], []*activeRun{r}, reasonAnotherIncarnation, s.now)
		if failed := len(givenUp) > 0; failed != (run == 2) {
			t.Fatalf("run %d after %d crashes in outages: the job fails %t: %+v", run, maxCrashes, failed, *task)
		}
	}
}

// A harmless task must not fail its job for crashes that another job caused, and a task that was
// exonerated by mistake must not be started without limit.
func TestExoneratedCrashAllowsOneMoreRun(t *testing.T) {
	for _, c := range []struct {
		crashes, exonerated int
		run                 int64
		want                workload.State
	}{
		{crashes: 3, run: 4, want: workload.Failed},
		{crashes: 2, exonerated: 1, run: 4, want: workload.Running},
		{crashes: 2, exonerated: 1, run: 5, want: workload.Failed},
		{exonerated: 3, run: 4, want: workload.Running},
		{exonerated: 3, run: 5, want: workload.Failed},
		{exonerated: 2, run: 5, want: workload.Running},
	} {
		t.Run(fmt.Sprintf("%d crashes, %d exonerated, run %d", c.crashes, c.exonerated, c.run), func(t *testing.T) {
			s := newCutOffScenario(true)
			s.round()
			task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
			*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: c.run, Crashes: c.crashes, Exonerated: c.exonerated, CrashMS: 2000, CrashRun: 3}
			s.c.runs[s.firstStepTask(0)].run = c.run
			s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: c.run, End: EndBroken}})
			if state := s.c.jobs[s.id].progress.State; state != c.want {
				t.Errorf("the job is %s, want %s", state, c.want)
			}
		})
	}
}

// A task whose every crash made another job fail must still fail its own job at the fourth crash.
func TestExonerationsDoNotLiftRunLimit(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	id := s.firstStepTask(0)
	j, r := s.c.jobs[s.id], s.c.runs[id]
	other := workload.TaskID{Job: "00000000000000bb"}
	for run := int64(1); run <= maxCrashes+1; run++ {
		task := j.progress.FindTask(id)
		if task == nil || j.progress.State.IsFinal() {
			t.Fatalf("the job failed before run %d", run)
		}
		task.Run, r.run = run, run
		givenUp := s.c.attributeCrash(s.c.workers["w0"], []*activeRun{r}, reasonAnotherIncarnation, s.now)
		if last := run == maxCrashes+1; (len(givenUp) > 0) != last {
			t.Fatalf("run %d: the jobs of %d runs fail: %+v", run, len(givenUp), *task)
		}
		latest := &s.c.crashHistory.crashes[len(s.c.crashHistory.crashes)-1]
		latest.tasks = append(latest.tasks, other)
		s.c.exonerateOthers(other.Job)
		if task.Crashes != 0 || task.TotalCrashes() != int(run) {
			t.Fatalf("after run %d and the exoneration: %+v", run, *task)
		}
	}
}
