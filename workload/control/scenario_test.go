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

// Tests of each term that a job may ask for, with one job or a few in a simulation without faults.
// They check the events on the workers.

// scenario is a simulation with the events on its workers.
type scenario struct {
	*simulation
	events []workertest.Event
}

// newScenario returns a scenario with six workers of 8 accelerators in two racks, and no faults.
func newScenario() *scenario {
	s := &scenario{simulation: newSimulation(1, false)}
	seen := s.fleet.OnEvent
	s.fleet.OnEvent = func(e workertest.Event) {
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
		QueueSettings: workload.QueueSettings{Priority: 1, MaxAttempts: maxAttempts, Stretch: 3, TargetMS: 1000},
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
		if e.Task.Job == id && e.End == "" {
			out = append(out, e)
		}
	}
	return out
}

func (s *scenario) ends(id workload.JobID, how control.End) int {
	n := 0
	for _, e := range s.events {
		if e.Task.Job == id && e.End == how {
			n++
		}
	}
	return n
}

func (s *scenario) check(t *testing.T) {
	t.Helper()
	s.checkFailedJobs()
	if len(s.violations) > 0 {
		t.Fatal(s.violations)
	}
}

const jobA, jobB = workload.JobID("aaaaaaaaaaaaaaaa"), workload.JobID("bbbbbbbbbbbbbbbb")

func need(accelerators int64) workload.Resources {
	return workload.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: accelerators}
}

func TestStepsRunInDependencyOrder(t *testing.T) {
	s := newScenario()
	s.add(jobA, nil, workload.Step{Count: 3, Need: need(1)}, workload.Step{Count: 2, Need: need(1), DependsOn: []int{0}})
	s.advance(3 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed || len(s.starts(jobA)) != 5 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(s.starts(jobA)))
	}
}

func TestFailedTaskIsRetriedOnOtherWorkersUpToItsAttempts(t *testing.T) {
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

func TestGangFailureCountsOncePerRun(t *testing.T) {
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

func TestSpreadLimitsTasksPerWorker(t *testing.T) {
	s := newScenario()
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(1), PerWorker: 1})
	s.advance(2 * time.Second)
	s.check(t)
	startsByWorker := map[string]int{}
	for _, e := range s.starts(jobA) {
		startsByWorker[e.Worker]++
	}
	if len(startsByWorker) != 6 {
		t.Fatalf("starts by worker: %v, want one on each of 6", startsByWorker)
	}
}

func TestNoStartsOnWorkersOfAnotherService(t *testing.T) {
	s := newScenario()
	s.add(jobA, func(j *workload.Job) { j.QueueSettings.Service = "another" }, workload.Step{Count: 1, Need: need(1)})
	s.advance(2 * time.Second)
	if n := len(s.starts(jobA)); n != 0 {
		t.Fatalf("%d starts, want 0", n)
	}
}

func TestOccurrencesStartWhenDueAndNotBefore(t *testing.T) {
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
		due := first.Add(time.Duration(e.Task.Occurrence) * 300 * time.Millisecond)
		if e.At.Before(due) || e.At.After(due.Add(time.Second)) {
			t.Fatalf("occurrence %d starts %v after it was due", e.Task.Occurrence, e.At.Sub(due))
		}
	}
}

// Guards against progress records that are too large for the log, with a schedule that is faster
// than its work and with a job of the maximum number of tasks.
func TestBacklogOfOccurrencesFitsInOneRecord(t *testing.T) {
	t.Parallel()
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
			t.Fatalf("the progress record of %s has %d bytes", id, n)
		}
	}
}

func TestPerpetualTasksAreRestartedHoweverTheyEnd(t *testing.T) {
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
		t.Fatalf("%d tasks are running, want 2", running)
	}
	s.cancelledAt[jobA] = s.now
	s.advance(2 * time.Second)
	if s.jobState(jobA) != workload.Cancelled {
		t.Fatalf("%s after its cancellation", s.jobState(jobA))
	}
}

func TestCancelledJobStopsItsRunsAndStartsNoMore(t *testing.T) {
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

func TestGuaranteedWorkStartsInTimeAndBorrowersResumeFromCheckpoints(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Job == jobA {
			return workertest.Work{Takes: 5 * time.Second}
		}
		return workertest.Work{Takes: 500 * time.Millisecond}
	}
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Checkpoint: true, EstimateMS: 5000})
	s.advance(2 * time.Second)
	s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = 0 }, workload.Step{Count: 2, Need: need(8), Gang: true, SameRack: true, EstimateMS: 500})
	submitted := s.now
	s.advance(15 * time.Second)
	s.check(t)
	for _, e := range s.starts(jobB) {
		if e.At.Sub(submitted) > simBounds.ReclaimWithin {
			t.Fatalf("guaranteed work started after %v", e.At.Sub(submitted))
		}
	}
	if len(s.starts(jobB)) != 2 || s.jobState(jobA) != workload.Completed || s.jobState(jobB) != workload.Completed {
		t.Fatalf("%d starts, %s, %s", len(s.starts(jobB)), s.jobState(jobA), s.jobState(jobB))
	}
	resumed := 0
	for _, e := range s.starts(jobA) {
		if e.Run > 1 && e.Checkpoint != "" {
			resumed++
		}
	}
	if resumed != 2 {
		t.Fatalf("%d borrowers resumed from their checkpoints, want 2", resumed)
	}
}

func TestNoStartsOnDrainingWorkers(t *testing.T) {
	s := newScenario()
	c := control.New(simBounds, 1, s.now)
	c.Configure(control.Configuration{Version: 1})
	list := s.listings()
	for i := range list {
		list[i].Draining = i != 3
	}
	c.SetWorkers(list, s.now)
	for _, l := range list {
		c.HandleRenewal(control.RenewalOrder{Worker: l.ID, Token: 1}, control.RenewalAnswer{Result: control.Accepted, ClockMS: l.ClockMS}, s.now, s.now)
	}
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 12, Need: need(1)}}}})
	c.Round(s.now, s.now.UnixMilli())
	c.Changes()
	orders := c.Persisted(s.now)
	for _, o := range orders {
		if o.Worker != list[3].ID {
			t.Fatalf("%s is draining but got a start of %v", o.Worker, o.Task)
		}
	}
	if len(orders) != 8 {
		t.Fatalf("%d starts, want the 8 that fit", len(orders))
	}
}

func TestRunsThatOutlastADrainingWorkerAreMoved(t *testing.T) {
	for name, c := range map[string]struct {
		takes      time.Duration
		checkpoint bool
		starts     int
		saved      bool
	}{
		"ends in time":                {takes: time.Second, starts: 1},
		"has no checkpoint":           {takes: 8 * time.Second, starts: 2},
		"resumes from its checkpoint": {takes: 8 * time.Second, checkpoint: true, starts: 2, saved: true},
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
			if len(got) != c.starts || s.jobState(jobA) != workload.Completed || (got[len(got)-1].Checkpoint != "") != c.saved {
				t.Fatalf("%d starts, %s, saved %q", len(got), s.jobState(jobA), got[len(got)-1].Checkpoint)
			}
		})
	}
}

// Guards against writing off a run while its worker may still have a lease from an earlier planner.
// A planner that has polled a worker once does not know that lease, and must wait for its longest
// possible duration when the worker falls silent.
func TestRunIsNotWrittenOffWhileAnEarlierLeaseMayBeValid(t *testing.T) {
	now := time.Unix(5000, 0)
	c := control.New(simBounds, 2, now)
	c.Configure(control.Configuration{Version: 1})
	placed := []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w"}]]}]}`)
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 1, Need: need(1)}}}, Progress: placed})
	c.SetWorkers([]control.Listing{{ID: "w", Address: "w", Capacity: need(8)}}, now)
	id := workload.TaskID{Job: jobA}
	runs := []control.RunningRow{{Task: id, Run: 1}}
	c.HandleRenewal(control.RenewalOrder{Worker: "w", Token: 2}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 100_000, Running: runs}, now, now)
	c.HandleRenewal(control.RenewalOrder{Worker: "w", Token: 2}, control.RenewalAnswer{Result: control.Unanswered}, now, now.Add(time.Second))
	writtenOff := func(after time.Duration) bool {
		c.Round(now.Add(after), now.Add(after).UnixMilli())
		for _, n := range c.Events() {
			if n.Name == control.EventRunLost {
				return true
			}
		}
		return false
	}
	if writtenOff(simBounds.Lease - 100*time.Millisecond) {
		t.Fatal("the run was written off while an earlier lease may still be valid")
	}
	if !writtenOff(simBounds.Lease + simBounds.Lease/10) {
		t.Fatal("the run was not written off after all leases must have expired")
	}
}

// Guards against a start that is never carried out because its order was lost, for instance because
// the planner was frozen until it was no longer allowed to send it.
func TestUnansweredStartOrderIsSentAgain(t *testing.T) {
	now := time.Unix(5000, 0)
	c := control.New(simBounds, 1, now)
	c.SetWorkers([]control.Listing{{ID: "w", Address: "w", Capacity: need(8)}}, now)
	c.HandleRenewal(control.RenewalOrder{Worker: "w", Token: 1}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1000}, now, now)
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 1, Need: need(1)}}}})
	c.Round(now, now.UnixMilli())
	c.Changes()
	first := c.Persisted(now)
	if again := c.RetryOrders(now.Add(100 * time.Millisecond)); len(first) != 1 || len(again) != 0 {
		t.Fatalf("first orders %v, want 1; repeated after 100ms %v, want none", first, again)
	}
	again := c.RetryOrders(now.Add(3 * time.Second))
	if len(again) != 1 || again[0].Task != first[0].Task || again[0].Run != first[0].Run {
		t.Fatalf("repeated after 3s: %v, want the first order", again)
	}
	c.HandleStartAnswer(again[0], control.Answer{Result: control.Accepted}, now.Add(3*time.Second))
	if more := c.RetryOrders(now.Add(9 * time.Second)); len(more) != 0 {
		t.Fatalf("repeated after its answer: %v", more)
	}
}

func TestGuaranteeAppliesOnlyToItsClientAccount(t *testing.T) {
	now := time.Unix(5000, 0)
	c := control.New(simBounds, 1, now)
	c.Configure(control.Configuration{Version: 1, Guaranteed: map[domain.AccountID]int64{"has": 8}})
	list := []control.Listing{{ID: "w", Address: "w", Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}}}
	c.SetWorkers(list, now)
	c.HandleRenewal(control.RenewalOrder{Worker: "w", Token: 1}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1000}, now, now)
	for i, account := range []domain.AccountID{"has-not", "has"} {
		id := workload.JobID(fmt.Sprintf("%016d", i))
		c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Account: account, AcceptedMS: int64(i), Steps: []workload.Step{{Count: 1, Need: need(8), Gang: true}}}})
	}
	c.Round(now, now.UnixMilli())
	c.Changes()
	orders := c.Persisted(now)
	if len(orders) != 1 || orders[0].Task.Job != "0000000000000001" {
		t.Fatalf("starts %+v, want only the job with a guarantee", orders)
	}
}

// Guards against runs that go on after their job has ended because the planner died between writing
// the job's end and stopping the runs.
func TestSuccessorStopsRunsOfJobsItsPredecessorEnded(t *testing.T) {
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
			s.failedInLog = map[workload.JobID]bool{jobA: state == workload.Failed}
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
