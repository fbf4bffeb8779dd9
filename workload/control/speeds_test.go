package control_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// restoreState passes the state records in the log to a new planner.
func (sim *simulation) restoreState(core *control.Core) {
	for _, key := range slices.Sorted(maps.Keys(sim.log)) {
		if control.IsStateKey(key) && len(sim.log[key]) > 0 {
			core.RestoreState(key, sim.log[key])
		}
	}
}

// newSingleTaskSpeedScenario returns a scenario in which speeds were measured from single tasks.
func newSingleTaskSpeedScenario() *scenario { return newSpeedScenario(false) }

// newSpeedScenario runs gangs or single tasks on workers of which w0 takes half as long as the
// others and w5 twice as long.
func newSpeedScenario(gangs bool) *scenario {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, worker string) workertest.Work {
		takes := 4 * time.Second
		if id.Job == jobB {
			takes = time.Second
		}
		switch worker {
		case "w0":
			takes /= 2
		case "w5":
			takes *= 2
		}
		return workertest.Work{Takes: takes}
	}
	for i := range 6 {
		s.add(workload.JobID("aaaaaaaaaaaaaaa"+string(rune('0'+i))), nil, workload.Step{Count: 12, Gang: gangs, Need: need(2), EstimateMS: 4000, PerWorker: 2})
	}
	s.advance(30 * time.Second)
	return s
}

func TestFirstPriorityRunsOnWorkersMeasuredAsFaster(t *testing.T) {
	s := newSingleTaskSpeedScenario()
	s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = 0 }, workload.Step{Count: 1, Need: need(4), EstimateMS: 1000})
	s.advance(5 * time.Second)
	s.check(t)
	if got := s.starts(jobB); len(got) != 1 || got[0].Worker != "w0" {
		t.Fatalf("%+v", got)
	}
}

// Guards against speeds that are only measured from single tasks, since most work may be in gangs.
// A gang's members progress at their own pace, and wait at the end for the slowest.
func TestSpeedsAreMeasuredFromGangs(t *testing.T) {
	t.Parallel()
	s := newSpeedScenario(true)
	s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = 0 }, workload.Step{Count: 2, Gang: true, Need: need(4), EstimateMS: 1000})
	s.advance(8 * time.Second)
	s.check(t)
	for _, got := range s.starts(jobB) {
		if got.Worker != "w0" {
			t.Fatalf("%+v", got)
		}
	}
}

func TestLowerPriorityLeavesFasterWorkersFree(t *testing.T) {
	s := newSingleTaskSpeedScenario()
	s.add(jobB, nil, workload.Step{Count: 1, Need: need(4), EstimateMS: 1000})
	s.advance(5 * time.Second)
	s.check(t)
	if got := s.starts(jobB); len(got) != 1 || got[0].Worker != "w5" {
		t.Fatalf("%+v", got)
	}
}

// Guards against a successor that places a first-priority gang on slow workers because what its
// predecessor had measured was lost with it.
func TestSuccessorKnowsTheSpeedsOfItsPredecessor(t *testing.T) {
	t.Parallel()
	for _, gangs := range []bool{false, true} {
		s := newSpeedScenario(gangs)
		s.planners[len(s.planners)-1].dead = true
		s.startPlanner(nil)
		s.advance(3 * time.Second)
		s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = 0 }, workload.Step{Count: 2, Gang: true, Need: need(4), EstimateMS: 1000})
		s.advance(5 * time.Second)
		s.check(t)
		for _, got := range s.starts(jobB) {
			if got.Worker != "w0" {
				t.Fatalf("measured from gangs %t: %+v", gangs, got)
			}
		}
	}
}
