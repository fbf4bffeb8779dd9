package control_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// carryOutLate lets a worker carry out the first order for a task that never
// had an answer.
func (s *scenario) deliverLateStart(t *testing.T, token int64) {
	t.Helper()
	task := workload.TaskID{Job: jobA}
	progress := workload.NewProgress()
	if err := json.Unmarshal(s.log[workload.ProgressKey(jobA)], progress); err != nil {
		t.Fatal(err)
	}
	placed := progress.Find(task)
	if placed == nil || placed.Worker == "" {
		t.Fatal("the task was not placed")
	}
	w := s.fleet.Workers[placed.Worker]
	order := control.StartOrder{Worker: w.ID, Task: task, Run: placed.Run, Spec: s.jobs[jobA].Spec, Token: token, DeadlineMS: w.ClockMS(s.now) + 5000}
	if a := w.Start(order, s.now); a.Verdict != control.Accepted {
		t.Fatalf("the worker answered %s", a.Verdict)
	}
}

// newCutScene has a job that was ordered a second ago while all workers are cut
// off for four: the order got lost.
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

// A worker carries a start out long after its caller has cancelled the job, out
// of touch with the planner: the run is found and stopped as soon as the worker
// can be reached.
func TestARunThatAWorkerStartedLateIsStoppedOnceItsJobIsCancelled(t *testing.T) {
	s := newUnreachableScenario()
	token := s.planners[0].lastStartToken
	s.deliverLateStart(t, token)
	s.cancelledAt[jobA] = s.now
	s.advance(3*time.Second + simLimits.StopTimeout + time.Second)
	s.check(t)
	if s.ends(jobA, control.EndStopped) != 1 {
		t.Fatalf("the run goes on: %+v", s.events)
	}
}

// The same where the planner that sent the order was removed for good before:
// its successor finds the run on a worker that it has no order for.
func TestARunWhoseStarterIsGoneIsStoppedOnceItsJobIsCancelled(t *testing.T) {
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
		t.Fatalf("the run goes on: %+v", s.events)
	}
}
