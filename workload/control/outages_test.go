package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

func TestCrashHistoryCountsTheCrashesThatAJobHadNoPartIn(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	h := newCrashHistory()
	for i, jobs := range [][]workload.JobID{{"a"}, {"a", "b"}, nil, {"b"}, nil} {
		h.add(crash{silentAt: at(i), noticedAt: at(i + 1)}, jobs)
	}
	for _, c := range []struct {
		what      string
		got, want int
	}{
		{"around the second, without a", h.countAround(at(1), "a", time.Second), 1},
		{"around the second, without b", h.countAround(at(1), "b", time.Second), 2},
		{"around the second, all", h.countAround(at(1), "c", time.Second), 3},
		{"since the third, without b", h.countSince(at(3), "b"), 2},
		{"since the third, all", h.countSince(at(3), "c"), 3},
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

// A crash that comes with many others is no evidence, also where those are noticed after it.
func TestACrashIsWeighedAgainOnceTheOthersAreNoticed(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Gone}, s.now, s.now)
	task := s.c.jobs[s.id].progress.Find(s.firstStepTask(0))
	if task.Crashes != 1 || task.Evidence() != 1 {
		t.Fatalf("%d crashes, of which %d point at the task", task.Crashes, task.Evidence())
	}
	s.now = s.now.Add(outageSpanWaits * time.Second)
	for range outageLeast {
		s.c.crashHistory.add(crash{silentAt: s.now, noticedAt: s.now}, nil)
	}
	s.round()
	if task.Crashes != 1 || task.Evidence() != 0 {
		t.Errorf("%d crashes, of which %d point at the task", task.Crashes, task.Evidence())
	}
}

// A task under which several workers have crashed waits for a pool without outages, and no longer.
func TestATaskUnderSeveralCrashesWaitsForASettledPool(t *testing.T) {
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
				*j.progress.Find(s.firstStepTask(i)) = workload.Task{Run: 1, Crashes: c.crashes, CrashMS: 2000, CrashRun: 1, Excluded: c.crashes}
			}
			j.suspected = true
			s.c.pendingStarts = nil
			s.now = s.now.Add(time.Minute)
			for range c.others {
				s.c.crashHistory.add(crash{silentAt: s.now, noticedAt: s.now}, nil)
			}
			outage := s.now
			for len(s.round()) == 0 {
				s.renew("w0", nil, nil)
				if s.now = s.now.Add(100 * time.Millisecond); s.now.Sub(outage) > time.Minute {
					t.Fatal("nothing begins")
				}
			}
			if waited := s.now.Sub(outage); waited < c.waits || waited > c.waits+200*time.Millisecond {
				t.Errorf("it began after %v, want %v", waited, c.waits)
			}
		})
	}
}

// Guards against jobs that crash their workers in one moment taking innocent ones along: together
// they look like an outage, whose crashes are no evidence.
func TestATaskUnderExcludedCrashesIsKeptApart(t *testing.T) {
	s := newCutOffScenario(false)
	j := s.c.jobs[s.id]
	s.c.Round(s.now, s.now.UnixMilli())
	for i := range j.progress.Open[0].Steps[0] {
		s.c.settleRun(s.c.runs[s.firstStepTask(i)], EndStopped, "")
	}
	s.c.pendingStarts = nil
	*j.progress.Find(s.firstStepTask(0)) = workload.Task{Run: 1, Crashes: 2, CrashMS: 100, CrashRun: 1, Excluded: 2}
	j.suspected = true
	s.now = s.now.Add(time.Minute)
	j.waitedUnsettledAt = s.now
	snapshot, _ := s.c.snapshot(s.now, s.now.UnixMilli())
	apart := 0
	for _, u := range snapshot.Waiting {
		if u.Suspect && u.Alone && len(u.Indexes) == 1 && u.Indexes[0] == 0 {
			apart++
		}
	}
	if apart != 1 || len(snapshot.Waiting) != 2 {
		t.Errorf("%d of %d units are kept apart: %+v", apart, len(snapshot.Waiting), snapshot.Waiting)
	}
}

// Guards against a gang's member that crashes its workers in the moments of outages having a run
// more for each.
func TestAnExcludedCrashCountsAgainstTheBound(t *testing.T) {
	s := newCutOffScenario(true)
	s.round()
	task := s.c.jobs[s.id].progress.Find(s.firstStepTask(0))
	*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: 1, Crashes: maxCrashes, Excluded: maxCrashes, CrashMS: 2000}
	s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, How: EndBroken}})
	if state := s.c.jobs[s.id].progress.State; state != workload.Failed {
		t.Errorf("the job is %s after a run that followed %d crashes", state, maxCrashes)
	}
}

// Guards against an innocent task being given up for crashes that another job caused, and against
// a task whose crashes were put down to others in error being started without a bound.
func TestAnExoneratedCrashLeavesATaskOneRunMore(t *testing.T) {
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
			task := s.c.jobs[s.id].progress.Find(s.firstStepTask(0))
			*task = workload.Task{Phase: workload.Placed, Worker: "w0", Run: c.run, Crashes: c.crashes, Exonerated: c.exonerated, CrashMS: 2000, CrashRun: 3}
			s.c.runs[s.firstStepTask(0)].run = c.run
			s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: c.run, How: EndBroken}})
			if state := s.c.jobs[s.id].progress.State; state != c.want {
				t.Errorf("the job is %s, want %s", state, c.want)
			}
		})
	}
}

// The bound holds whatever verdicts say: a task under each of whose crashes another job was given
// up is given up at the fourth.
func TestVerdictsOverEachCrashDontEndTheBound(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	id := s.firstStepTask(0)
	j, l := s.c.jobs[s.id], s.c.runs[id]
	other := workload.TaskID{Job: "00000000000000bb"}
	for run := int64(1); run <= maxCrashes+1; run++ {
		task := j.progress.Find(id)
		if task == nil || j.progress.State.Final() {
			t.Fatalf("given up before run %d", run)
		}
		task.Run, l.run = run, run
		givenUp := s.c.attributeCrash(s.c.workers["w0"], []*activeRun{l}, reasonAnotherIncarnation, s.now)
		if last := run == maxCrashes+1; (len(givenUp) > 0) != last {
			t.Fatalf("run %d: %d tasks are given up: %+v", run, len(givenUp), *task)
		}
		latest := &s.c.crashHistory.crashes[len(s.c.crashHistory.crashes)-1]
		latest.tasks = append(latest.tasks, other)
		s.c.exonerateOthers(other.Job)
		if task.Crashes != 0 || task.TotalCrashes() != int(run) {
			t.Fatalf("run %d: %+v", run, *task)
		}
	}
}
