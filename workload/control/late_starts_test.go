package control_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// deliverLateStart delivers the first, unanswered start order for a task to its worker.
func (s *scenario) deliverLateStart(t *testing.T, token int64) {
	t.Helper()
	task := workload.TaskID{Job: jobA}
	progress := workload.NewProgress()
	if err := json.Unmarshal(s.log[workload.ProgressKey(jobA)], progress); err != nil {
		t.Fatal(err)
	}
	placed := progress.FindTask(task)
	if placed == nil || placed.Worker == "" {
		t.Fatal("the task was not placed")
	}
	w := s.fleet.Workers[placed.Worker]
	order := control.StartOrder{Worker: w.ID, Task: task, Run: placed.Run, Spec: s.jobs[jobA].Spec, Token: token, DeadlineMS: w.ClockMS(s.now) + 5000}
	if a := w.Start(order, s.now); a.Result != control.Accepted {
		t.Fatalf("the worker answered %s", a.Result)
	}
}

// newUnreachableScenario returns a scenario in which all workers are unreachable for four seconds
// and the start order of a job was lost in the first of these.
func newUnreachableScenario() *scenario {
	s := newScenario()
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
	s.advance(time.Second)
	for id := range s.fleet.Workers {
		s.unreachableUntil[id] = s.now.Add(4 * time.Second)
	}
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(1)})
	s.advance(time.Second)
	return s
}

// Guards against a run of a cancelled job that is never stopped because its worker, while
// unreachable, carried out the start order long after the cancellation. The run must be found and
// stopped as soon as the worker is reachable.
func TestLateStartedRunOfACancelledJobIsStopped(t *testing.T) {
	s := newUnreachableScenario()
	token := s.planners[0].lastStartToken
	s.deliverLateStart(t, token)
	s.cancelledAt[jobA] = s.now
	s.advance(3*time.Second + simLimits.StopTimeout + time.Second)
	s.check(t)
	if s.ends(jobA, control.EndStopped) != 1 {
		t.Fatalf("the run was not stopped: %+v", s.events)
	}
}

// Guards against the same if the planner that sent the order is gone: its successor finds the run
// on a worker to which it has sent no order.
func TestLateStartedRunIsStoppedAfterItsPlannerIsGone(t *testing.T) {
	s := newUnreachableScenario()
	old := s.planners[0]
	old.dead = true
	s.cancelledAt[jobA] = s.now
	s.startPlanner(nil)
	s.advance(time.Second)
	s.deliverLateStart(t, old.lastStartToken)
	s.advance(2*time.Second + simLimits.StopTimeout + time.Second)
	s.check(t)
	if s.ends(jobA, control.EndStopped) != 1 {
		t.Fatalf("the run was not stopped: %+v", s.events)
	}
}
