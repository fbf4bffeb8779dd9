package control_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Each line of what a job may ask for has a test here, on a calm world in which
// one job or a few are submitted and the workers' events are looked at.

type scenario struct {
	*simulation
	events []workertest.Event
}

// newScene has six workers of 8 accelerators in two racks, and no faults.
func newScenario() *scenario {
	s := &scenario{simulation: newSimulation(1, false)}
	seen := s.fleet.Seen
	s.fleet.Seen = func(e workertest.Event) {
		s.events = append(s.events, e)
		seen(e)
	}
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work {
		return workertest.Work{Takes: 400 * time.Millisecond}
	}
	s.startPlanner(nil)
	return s
}

func (s *scenario) add(id workload.JobID, change func(*workload.Job), steps ...workload.Step) workload.JobID {
	j := &workload.Job{
		ID: id, Queue: "q", Spec: "spec of " + string(id), AcceptedMS: s.now.UnixMilli(), Steps: steps,
		Terms: workload.Terms{Priority: 1, Attempts: maxAttempts, Stretch: 3, TargetMS: 1000},
	}
	if change != nil {
		change(j)
	}
	s.jobs[id] = j
	s.jobIDs = append(s.jobIDs, string(id))
	return id
}

func (s *scenario) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick(20 * time.Millisecond)
	}
}

func (s *scenario) starts(id workload.JobID) []workertest.Event {
	var out []workertest.Event
	for _, e := range s.events {
		if e.Task.Job == id && e.How == "" {
			out = append(out, e)
		}
	}
	return out
}

func (s *scenario) ends(id workload.JobID, how control.End) int {
	n := 0
	for _, e := range s.events {
		if e.Task.Job == id && e.How == how {
			n++
		}
	}
	return n
}

func (s *scenario) check(t *testing.T) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Fatal(s.violations)
	}
}

const jobA, jobB = workload.JobID("aaaaaaaaaaaaaaaa"), workload.JobID("bbbbbbbbbbbbbbbb")

func need(accelerators int64) workload.Resources {
	return workload.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: accelerators}
}

func TestStepsRunInTheirOrder(t *testing.T) {
	s := newScenario()
	s.add(jobA, nil, workload.Step{Count: 3, Need: need(1)}, workload.Step{Count: 2, Need: need(1), DependsOn: []int{0}})
	s.advance(3 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed || len(s.starts(jobA)) != 5 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(s.starts(jobA)))
	}
}

func TestATaskThatFailsIsRetriedElsewhereAsOftenAsItsQueueSays(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work {
		return workertest.Work{Takes: 100 * time.Millisecond, Fails: true}
	}
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(1)})
	s.advance(5 * time.Second)
	s.check(t)
	workers := map[string]bool{}
	for _, e := range s.starts(jobA) {
		workers[e.Worker] = true
	}
	if s.jobState(jobA) != workload.Failed || len(s.starts(jobA)) != maxAttempts || len(workers) != maxAttempts {
		t.Fatalf("%s after %d starts on %d workers", s.jobState(jobA), len(s.starts(jobA)), len(workers))
	}
}

func TestAGangFailsOnceARun(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(_ workload.TaskID, run int64, _ string) workertest.Work {
		return workertest.Work{Takes: 100 * time.Millisecond, Fails: run < maxAttempts}
	}
	s.add(jobA, nil, workload.Step{Count: 4, Need: need(2), Gang: true})
	s.advance(6 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed {
		t.Fatalf("%s: a run of a gang was counted more than once", s.jobState(jobA))
	}
}

func TestSpreadBoundsTheTasksOnAWorker(t *testing.T) {
	s := newScenario()
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(1), Spread: 1})
	s.advance(2 * time.Second)
	s.check(t)
	per := map[string]int{}
	for _, e := range s.starts(jobA) {
		per[e.Worker]++
	}
	if len(per) != 6 {
		t.Fatalf("%v", per)
	}
}

func TestWorkersOfAnotherServiceGetNothing(t *testing.T) {
	s := newScenario()
	s.add(jobA, func(j *workload.Job) { j.Terms.Service = "another" }, workload.Step{Count: 1, Need: need(1)})
	s.advance(2 * time.Second)
	if n := len(s.starts(jobA)); n != 0 {
		t.Fatalf("%d starts", n)
	}
}

func TestOccurrencesBeginWhenTheyAreDueAndNotBefore(t *testing.T) {
	s := newScenario()
	first := s.now.Add(700 * time.Millisecond)
	s.add(jobA, func(j *workload.Job) {
		j.Repetitions, j.FirstMS, j.IntervalMS = 3, first.UnixMilli(), 300
	}, workload.Step{Count: 2, Need: need(1)})
	s.advance(4 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed || len(s.starts(jobA)) != 6 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(s.starts(jobA)))
	}
	for _, e := range s.starts(jobA) {
		due := first.Add(time.Duration(e.Task.K) * 300 * time.Millisecond)
		if e.At.Before(due) || e.At.After(due.Add(time.Second)) {
			t.Fatalf("occurrence %d begins %v after its time", e.Task.K, e.At.Sub(due))
		}
	}
}

// A schedule that is faster than its work must not make a record that the log
// can't hold.
func TestOccurrencesThatPileUpStayWithinOneRecord(t *testing.T) {
	const recordBytes = 262_144
	s := newScenario()
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Hour} }
	s.add(jobA, func(j *workload.Job) {
		j.Repetitions, j.FirstMS, j.IntervalMS = workload.MaxRepetitions, s.now.UnixMilli(), 1
	}, workload.Step{Count: 700, Need: need(1)})
	s.add(jobB, nil, workload.Step{Count: workload.MaxTasks, Need: workload.Resources{}, Checkpoint: true})
	s.advance(200 * time.Millisecond)
	for _, id := range []workload.JobID{jobA, jobB} {
		if n := len(s.log[workload.ProgressKey(id)]); n == 0 || n > recordBytes {
			t.Fatalf("the progress of %s has %d bytes", id, n)
		}
	}
}

func TestTasksThatLastAreRestartedHoweverTheyEnd(t *testing.T) {
	s := newScenario()
	s.add(jobA, nil, workload.Step{Count: 2, Need: need(1), Perpetual: true})
	s.advance(2 * time.Second)
	for id := range s.fleet.Workers {
		if s.fleet.Workers[id].Running() > 0 {
			s.fleet.Kill(id, s.now)
			break
		}
	}
	s.advance(20 * time.Second)
	s.check(t)
	running := 0
	for _, w := range s.fleet.Workers {
		running += w.Running()
	}
	if running != 2 {
		t.Fatalf("%d tasks run", running)
	}
	s.cancelledAt[jobA] = s.now
	s.advance(2 * time.Second)
	if s.jobState(jobA) != workload.Cancelled {
		t.Fatalf("%s after its cancellation", s.jobState(jobA))
	}
}

func TestACancelledJobStopsAndStartsNoMore(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
	s.add(jobA, nil, workload.Step{Count: 3, Need: need(1)}, workload.Step{Count: 1, Need: need(1), DependsOn: []int{0}})
	s.advance(time.Second)
	s.cancelledAt[jobA] = s.now
	s.advance(time.Second)
	s.check(t)
	if len(s.starts(jobA)) != 3 || s.ends(jobA, control.EndStopped) != 3 || s.jobState(jobA) != workload.Cancelled {
		t.Fatalf("%d starts, %d stopped, %s", len(s.starts(jobA)), s.ends(jobA, control.EndStopped), s.jobState(jobA))
	}
}

func TestGuaranteedWorkBeginsInTimeAndBorrowersGoOnFromWhatTheySaved(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Job == jobA {
			return workertest.Work{Takes: 5 * time.Second}
		}
		return workertest.Work{Takes: 500 * time.Millisecond}
	}
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Checkpoint: true, EstimateMS: 5000})
	s.advance(2 * time.Second)
	s.add(jobB, func(j *workload.Job) { j.Terms.Priority = 0 }, workload.Step{Count: 2, Need: need(8), Gang: true, SameRack: true, EstimateMS: 500})
	asked := s.now
	s.advance(15 * time.Second)
	s.check(t)
	for _, e := range s.starts(jobB) {
		if e.At.Sub(asked) > simBounds.ReclaimWithin {
			t.Fatalf("guaranteed work began after %v", e.At.Sub(asked))
		}
	}
	if len(s.starts(jobB)) != 2 || s.jobState(jobA) != workload.Completed || s.jobState(jobB) != workload.Completed {
		t.Fatalf("%d starts, %s, %s", len(s.starts(jobB)), s.jobState(jobA), s.jobState(jobB))
	}
	resumed := 0
	for _, e := range s.starts(jobA) {
		if e.Run > 1 && e.Saved != "" {
			resumed++
		}
	}
	if resumed != 2 {
		t.Fatalf("%d borrowers went on from what they had saved", resumed)
	}
}

func TestADrainingWorkerGetsNothingNew(t *testing.T) {
	s := newScenario()
	c := control.New(simBounds, 1, s.now)
	c.Configure(control.Configuration{Version: 1})
	list := s.listings()
	for i := range list {
		list[i].Draining = i != 3
	}
	c.List(list, s.now)
	for _, l := range list {
		c.Held(control.HoldOrder{Worker: l.ID, Token: 1}, control.HoldAnswer{Verdict: control.Accepted, ClockMS: l.ClockMS}, s.now, s.now)
	}
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 12, Need: need(1)}}}})
	c.Round(s.now, s.now.UnixMilli())
	c.Changes()
	orders := c.Persisted(s.now)
	for _, o := range orders {
		if o.Worker != list[3].ID {
			t.Fatalf("%s is leaving and is given %v", o.Worker, o.Task)
		}
	}
	if len(orders) != 8 {
		t.Fatalf("%d starts, want the 8 that fit", len(orders))
	}
}

func TestRunsAreMovedOffAWorkerThatWillNotStayForThem(t *testing.T) {
	for name, c := range map[string]struct {
		takes      time.Duration
		checkpoint bool
		starts     int
		saved      bool
	}{
		"ends in time":             {takes: time.Second, starts: 1},
		"is lost anyway":           {takes: 8 * time.Second, starts: 2},
		"saves at the last moment": {takes: 8 * time.Second, checkpoint: true, starts: 2, saved: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: c.takes} }
			s.add(jobA, nil, workload.Step{Count: 1, Need: need(8), EstimateMS: c.takes.Milliseconds(), Checkpoint: c.checkpoint})
			s.advance(500 * time.Millisecond)
			s.drainRemainingMS = map[string]int64{s.starts(jobA)[0].Worker: 2000}
			s.advance(12 * time.Second)
			s.check(t)
			got := s.starts(jobA)
			if len(got) != c.starts || s.jobState(jobA) != workload.Completed || (got[len(got)-1].Saved != "") != c.saved {
				t.Fatalf("%d starts, %s, saved %q", len(got), s.jobState(jobA), got[len(got)-1].Saved)
			}
		})
	}
}

// A planner that has just met a worker does not know what lease an earlier one
// gave it, and must not take it for over when the worker falls silent.
func TestAFirstAnswerMayHideAnOlderLease(t *testing.T) {
	now := time.Unix(5000, 0)
	c := control.New(simBounds, 2, now)
	c.Configure(control.Configuration{Version: 1})
	placed := []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w"}]]}]}`)
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 1, Need: need(1)}}}, Progress: placed})
	c.List([]control.Listing{{ID: "w", Address: "w", Capacity: need(8)}}, now)
	id := workload.TaskID{Job: jobA}
	runs := []control.RunningRow{{Task: id, Run: 1}}
	c.Held(control.HoldOrder{Worker: "w", Token: 2}, control.HoldAnswer{Verdict: control.Accepted, ClockMS: 100_000, Running: runs}, now, now)
	c.Held(control.HoldOrder{Worker: "w", Token: 2}, control.HoldAnswer{Verdict: control.Unanswered}, now, now.Add(time.Second))
	lost := func(after time.Duration) bool {
		c.Round(now.Add(after), now.Add(after).UnixMilli())
		for _, n := range c.Notes() {
			if n.Event == control.EventRunLost {
				return true
			}
		}
		return false
	}
	if lost(simBounds.Lease - 100*time.Millisecond) {
		t.Fatal("the run was given up while an older lease may hold it")
	}
	if !lost(simBounds.Lease + simBounds.Lease/10) {
		t.Fatal("the run is never given up")
	}
}

// An order that its sender lost, for instance because it was frozen until it was
// no longer entitled to send, is sent again.
func TestAnOrderOfWhichNothingIsHeardIsSentAgain(t *testing.T) {
	now := time.Unix(5000, 0)
	c := control.New(simBounds, 1, now)
	c.List([]control.Listing{{ID: "w", Address: "w", Capacity: need(8)}}, now)
	c.Held(control.HoldOrder{Worker: "w", Token: 1}, control.HoldAnswer{Verdict: control.Accepted, ClockMS: 1000}, now, now)
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 1, Need: need(1)}}}})
	c.Round(now, now.UnixMilli())
	c.Changes()
	first := c.Persisted(now)
	if again := c.Due(now.Add(100 * time.Millisecond)); len(first) != 1 || len(again) != 0 {
		t.Fatalf("%v, then %v", first, again)
	}
	again := c.Due(now.Add(3 * time.Second))
	if len(again) != 1 || again[0].Task != first[0].Task || again[0].Run != first[0].Run {
		t.Fatalf("%v", again)
	}
	c.Started(again[0], control.Answer{Verdict: control.Accepted}, now.Add(3*time.Second))
	if more := c.Due(now.Add(9 * time.Second)); len(more) != 0 {
		t.Fatalf("%v after its answer", more)
	}
}

func TestOneAccountsGuaranteeIsNotAnothers(t *testing.T) {
	now := time.Unix(5000, 0)
	c := control.New(simBounds, 1, now)
	c.Configure(control.Configuration{Version: 1, Guaranteed: map[domain.AccountID]int64{"has": 8}})
	list := []control.Listing{{ID: "w", Address: "w", Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}}}
	c.List(list, now)
	c.Held(control.HoldOrder{Worker: "w", Token: 1}, control.HoldAnswer{Verdict: control.Accepted, ClockMS: 1000}, now, now)
	for i, account := range []domain.AccountID{"has-not", "has"} {
		id := workload.JobID(fmt.Sprintf("%016d", i))
		c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Account: account, AcceptedMS: int64(i), Steps: []workload.Step{{Count: 1, Need: need(8), Gang: true}}}})
	}
	c.Round(now, now.UnixMilli())
	c.Changes()
	orders := c.Persisted(now)
	if len(orders) != 1 || orders[0].Task.Job != "0000000000000001" {
		t.Fatalf("%+v", orders)
	}
}

// A planner that ends between writing that a job is over and stopping its runs
// leaves the stops to its successor.
func TestASuccessorStopsWhatItsPredecessorMeantToStop(t *testing.T) {
	for _, state := range []workload.State{workload.Cancelled, workload.Failed} {
		t.Run(string(state), func(t *testing.T) {
			s := newScenario()
			s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
			s.add(jobA, nil, workload.Step{Count: 3, Need: need(2)})
			s.advance(time.Second)
			progress := workload.NewProgress()
			if err := json.Unmarshal(s.log[workload.ProgressKey(jobA)], progress); err != nil {
				t.Fatal(err)
			}
			progress.State = state
			value, err := json.Marshal(progress)
			if err != nil {
				t.Fatal(err)
			}
			s.log[workload.ProgressKey(jobA)] = value
			if state == workload.Cancelled {
				s.cancelledAt[jobA] = s.now
			}
			s.planners[0].dead = true
			s.startPlanner(nil)
			s.advance(3 * time.Second)
			s.check(t)
			if n := s.ends(jobA, control.EndStopped); n != 3 {
				t.Fatalf("%d of 3 runs were stopped", n)
			}
		})
	}
}
