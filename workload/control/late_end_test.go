package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// cutOffScenario has a job of two steps. The first one runs on a worker that falls silent until its
// lease must have expired.
type cutOffScenario struct {
	c   *Core
	now time.Time
	id  workload.JobID
}

func newCutOffScenario(gang bool) *cutOffScenario {
	s := &cutOffScenario{now: time.Unix(1000, 0), id: "00000000000000aa"}
	s.c = New(Bounds{Lease: 6 * time.Second, AuthorityPeriod: time.Hour, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second, ReclaimWithin: 3 * time.Second, RemoteFactor: 3, PollWait: time.Second}, 1, s.now)
	s.c.Configure(Configuration{Queues: map[string]workload.QueueSettings{"q": {Priority: 1, MaxAttempts: 3, Stretch: 3, TargetMS: 1000}}})
	var list []Listing
	for i := range 2 {
		list = append(list, Listing{ID: fmt.Sprint("w", i), Address: fmt.Sprint(i), Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1})
	}
	s.c.SetWorkers(list, s.now)
	s.renew("w0", nil, nil)
	s.c.workers["w1"].reachable = false
	steps := []workload.Step{{Count: 2, Gang: gang, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}, {Count: 3, DependsOn: []int{0}, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}
	s.c.Adopt(s.id, workload.Entry{Job: &workload.Job{ID: s.id, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: steps}, State: workload.Queued})
	return s
}

func (s *cutOffScenario) renew(worker string, running []RunningRow, ended []EndedRow) {
	s.c.HandleRenewal(RenewalOrder{Worker: worker, Token: 1}, RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000, Running: running, Ended: ended}, s.now, s.now)
}

// round runs a round, has all start orders accepted and returns them.
func (s *cutOffScenario) round() []StartOrder {
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	out := s.c.Persisted(s.now)
	for _, o := range out {
		s.c.HandleStartAnswer(o, Answer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000}, s.now)
	}
	return out
}

func (s *cutOffScenario) firstStepTask(index int) workload.TaskID {
	return workload.TaskID{Job: s.id, Step: 0, Index: index}
}

// expireLease makes the worker unreachable until its lease must have expired.
func (s *cutOffScenario) expireLease(t *testing.T) {
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
	s.now = s.now.Add(8 * time.Second)
	s.round()
	if len(s.c.runs) != 0 {
		t.Fatalf("%d runs are still taken to be running", len(s.c.runs))
	}
}

// Guards against repeating a done task because its run had been written off with its worker's
// lease. The steps that depend on it must start at once.
func TestWrittenOffRunListedAsDoneIsNotRunAgain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%t", gang), func(t *testing.T) {
			s := newCutOffScenario(gang)
			if n := len(s.round()); n != 2 {
				t.Fatalf("%d tasks were started, want 2", n)
			}
			s.now = s.now.Add(time.Second)
			s.expireLease(t)
			s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndDone}, {Number: 2, Task: s.firstStepTask(1), Run: 1, End: EndDone}})
			starts := s.round()
			if len(starts) != 3 {
				t.Fatalf("%d of the next step's 3 tasks were started", len(starts))
			}
			for _, o := range starts {
				if o.Task.Step != 1 {
					t.Fatalf("%v was started again although it is done", o.Task)
				}
			}
		})
	}
}

// Guards against a replacement of a done run that runs on, or whose end changes the task's record.
func TestReplacementOfADoneRunIsStopped(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.now = s.now.Add(time.Second)
	s.expireLease(t)
	s.renew("w1", nil, nil)
	if n := len(s.round()); n != 2 {
		t.Fatalf("%d tasks were started again, want 2", n)
	}
	s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndDone}, {Number: 2, Task: s.firstStepTask(1), Run: 1, End: EndDone}})
	if stops := s.c.StopOrders(); len(stops) != 2 {
		t.Fatalf("%d stop orders, want 2", len(stops))
	}
	if n := len(s.round()); n != 3 {
		t.Fatalf("%d of the next step's 3 tasks were started", n)
	}
	s.renew("w1", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 2, End: EndStopped}, {Number: 2, Task: s.firstStepTask(1), Run: 2, End: EndFailed}})
	for i := range 2 {
		if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(i)); task.Phase != workload.Done || task.Failures != 0 {
			t.Fatalf("%+v", task)
		}
	}
}

// Guards against late ends that change a task's record although they are not the done ends of runs
// that were ordered.
func TestOtherLateEndsChangeNothing(t *testing.T) {
	for name, row := range map[string]EndedRow{
		"failed":        {Number: 1, Run: 1, End: EndFailed},
		"lapsed":        {Number: 1, Run: 1, End: EndLapsed},
		"never ordered": {Number: 1, Run: 7, End: EndDone},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			s.round()
			s.now = s.now.Add(time.Second)
			s.expireLease(t)
			row.Task = s.firstStepTask(0)
			s.renew("w0", nil, []EndedRow{row})
			if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Phase == workload.Done || task.Failures != 0 {
				t.Fatalf("%+v", task)
			}
		})
	}
}
