package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// newLongRunScenario returns a scenario with a list that heartbeats update and with a job whose only
// task takes a minute.
func newLongRunScenario() *scenario {
	s := newScenario()
	s.registry = newRegistry()
	s.drainRemainingMS = map[string]int64{}
	s.horizon = testHorizon
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
	s.replacePlanner()
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(1), EstimateMS: 60_000})
	s.advance(3 * time.Second)
	return s
}

// replacePlanner ends the current planner and starts its successor.
func (s *scenario) replacePlanner() {
	s.planners[len(s.planners)-1].dead = true
	s.startPlanner(nil)
}

// lastWorker returns the worker of the job's latest run.
func (s *scenario) lastWorker(id workload.JobID) string {
	starts := s.starts(id)
	return starts[len(starts)-1].Worker
}

// checkNotFailed checks that the job is not shown as failed, since none of its runs has failed and no
// worker has crashed.
func (s *scenario) checkNotFailed(t *testing.T, cycle int) {
	t.Helper()
	s.check(t)
	if s.jobState(jobA) == workload.Failed {
		t.Fatalf("the job failed in cycle %d after %d runs: %d lapsed, %d failed, and no worker has crashed", cycle, len(s.starts(jobA)), s.ends(jobA, "lapsed"), s.ends(jobA, "failed"))
	}
}

// Guards against taking workers for crashed whose entries have expired while the store was down and
// are not back yet when its successor's wait for their leases ends.
func TestJobDoesNotFailForEntriesThatExpiredWhileStoreWasDown(t *testing.T) {
	s := newLongRunScenario()
	for cycle := 1; cycle <= 5; cycle++ {
		s.planners[len(s.planners)-1].dead = true
		s.takeStoreDown(12 * time.Second)
		for id := range s.fleet.Workers {
			s.registry.nextHeartbeat[id] = s.registry.downUntil.Add(1900 * time.Millisecond)
		}
		s.advance(12 * time.Second)
		s.startPlanner(nil)
		s.advance(20 * time.Second)
		s.checkNotFailed(t, cycle)
	}
}

// Guards against taking for crashed, one after the other, workers that are cut off alone until their
// entries and leases have ended and that run on.
func TestJobDoesNotFailForWorkersCutOffByTurns(t *testing.T) {
	s := newLongRunScenario()
	for cycle := 1; cycle <= 5; cycle++ {
		s.cutOff(s.lastWorker(jobA), 10*time.Second, 10*time.Second)
		s.advance(11 * time.Second)
		s.checkNotFailed(t, cycle)
	}
}

// Guards against taking for crashed workers that have shut down as planned before a new planner could
// read that they were draining.
func TestJobDoesNotFailForWorkersThatLeftBetweenPlanners(t *testing.T) {
	s := newLongRunScenario()
	for cycle := 1; cycle <= 5; cycle++ {
		s.planners[len(s.planners)-1].dead = true
		id := s.lastWorker(jobA)
		s.drainRemainingMS[id] = 4500
		s.advance(2 * time.Second)
		delete(s.drainRemainingMS, id)
		s.departAsPlanned(id)
		s.startPlanner(nil)
		s.advance(30 * time.Second)
		s.checkNotFailed(t, cycle)
	}
}
