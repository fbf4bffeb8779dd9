package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// spellScenario is a scenario in which workers are slow by a factor of 7 while isSlow says so.
type spellScenario struct {
	*scenario
	isSlow func(worker string) bool
	// slowed and recovered are the events by worker.
	slowed, recovered map[string]string
}

func newSpellScenario() *spellScenario {
	s := &spellScenario{scenario: newScenario(), isSlow: func(string) bool { return false }, slowed: map[string]string{}, recovered: map[string]string{}}
	s.fleet.Speed = func(worker string) float64 {
		if s.isSlow(worker) {
			return 1.0 / 7
		}
		return 1
	}
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work {
		return workertest.Work{Takes: 12 * time.Second}
	}
	s.trace = func(format string, args ...any) {
		line := fmt.Sprintf(format, args...)
		for id := range s.fleet.Workers {
			switch {
			case !strings.Contains(line, " "+id+" "):
			case strings.Contains(line, control.EventWorkerSlowed):
				s.slowed[id] = line
			case strings.Contains(line, control.EventWorkerRecovered):
				s.recovered[id] = line
			}
		}
	}
	return s
}

// addGang adds a gang with a member on each worker.
func (s *spellScenario) addGang(id workload.JobID) {
	s.add(id, nil, workload.Step{Count: 6, Gang: true, PerWorker: 1, Need: need(2), EstimateMS: 12000})
}

// Guards against a spell of some seconds that is not noticed, or that is taken for the worker's
// speed and recorded for successors.
func TestSlowedWorkerIsReportedAndNotRatedAsSlow(t *testing.T) {
	s := newSpellScenario()
	s.addGang(jobA)
	s.advance(4 * time.Second)
	s.isSlow = func(worker string) bool { return worker == "w0" }
	s.advance(4 * time.Second)
	if len(s.slowed) != 1 || s.slowed["w0"] == "" {
		t.Fatalf("slowed workers after 4 s: %v", s.slowed)
	}
	s.isSlow = func(string) bool { return false }
	s.advance(4 * time.Second)
	if !strings.Contains(s.recovered["w0"], "rates-back") {
		t.Fatalf("after the spell: %v", s.recovered)
	}
	s.advance(20 * time.Second)
	s.check(t)
	for key, value := range s.log {
		if control.IsStateKey(key) && strings.Contains(string(value), "w0,") {
			t.Errorf("the spell was recorded as the worker's speed: %s", value)
		}
	}
}

// Guards against workers that count as slowed because of a task that takes longer than the others,
// or because a whole step makes less progress for a while.
func TestWorkersAreNotBlamedForTheirTasks(t *testing.T) {
	s := newSpellScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Index == 0 {
			return workertest.Work{Takes: stragglerFactor * 4 * time.Second}
		}
		return workertest.Work{Takes: 4 * time.Second}
	}
	s.addGang(jobA)
	s.advance(32 * time.Second)
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work {
		return workertest.Work{Takes: 12 * time.Second}
	}
	s.addGang(jobB)
	s.advance(4 * time.Second)
	s.isSlow = func(string) bool { return true }
	s.advance(4 * time.Second)
	s.check(t)
	if len(s.slowed) != 0 {
		t.Fatalf("slowed workers: %v", s.slowed)
	}
}

// Guards against workers that count as slowed while all are, since the windows of the others end
// before or because the first verdict leaves fewer to compare with.
func TestNoWorkerIsSlowedIfAllAre(t *testing.T) {
	t.Parallel()
	for _, gang := range []bool{true, false} {
		for ms := 3000; ms < 4700; ms += 100 {
			s := newSpellScenario()
			if gang {
				s.addGang(jobA)
			} else {
				for i := range 6 {
					s.add(workload.JobID(fmt.Sprintf("%016x", 100+i)), nil, workload.Step{Count: 1, Need: need(2), EstimateMS: 12000})
				}
			}
			s.advance(time.Duration(ms) * time.Millisecond)
			s.isSlow = func(string) bool { return true }
			s.advance(4 * time.Second)
			if len(s.slowed) != 0 {
				t.Errorf("gang %t, slow from %d ms: slowed workers: %v", gang, ms, s.slowed)
			}
		}
	}
}

// Guards against a verdict that outlasts the worker's incarnation, and one that a new planner needs
// its predecessor for.
func TestSpellEndsWithItsIncarnationAndItsPlanner(t *testing.T) {
	s := newSpellScenario()
	s.addGang(jobA)
	s.advance(4 * time.Second)
	s.isSlow = func(worker string) bool { return worker == "w0" }
	s.advance(4 * time.Second)
	core := s.planners[len(s.planners)-1].core
	if core.SlowedWorkers() != 1 {
		t.Fatalf("%d slowed workers", core.SlowedWorkers())
	}
	s.restartWorker("w0", 300*time.Millisecond)
	s.advance(3 * time.Second)
	if core.SlowedWorkers() != 0 {
		t.Error("the next incarnation counts as slowed")
	}
	s.planners[len(s.planners)-1].dead = true
	s.startPlanner(nil)
	s.isSlow = func(string) bool { return false }
	s.advance(40 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed {
		t.Errorf("the job is %s", s.jobState(jobA))
	}
}

// Guards against new work of any priority on a slowed worker while others have room: there it takes
// several times as long.
func TestSlowedWorkerComesLast(t *testing.T) {
	t.Parallel()
	for _, step := range []workload.Step{
		{Count: 1, Need: need(1), EstimateMS: 3000},
		{Count: 4, Gang: true, PerWorker: 1, Need: need(1), EstimateMS: 3000},
	} {
		for priority := range 3 {
			s := newSpellScenario()
			s.addGang(jobA)
			s.advance(4 * time.Second)
			s.isSlow = func(worker string) bool { return worker == "w0" }
			s.advance(3 * time.Second)
			id := s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = priority }, step)
			s.advance(time.Second)
			if s.slowed["w0"] == "" || len(s.starts(id)) != step.Count {
				t.Fatalf("priority %d, gang %t: slowed %v, starts %+v", priority, step.Gang, s.slowed, s.starts(id))
			}
			for _, e := range s.starts(id) {
				if e.Worker == "w0" {
					t.Errorf("priority %d, gang %t: a task starts on the slowed worker", priority, step.Gang)
				}
			}
		}
	}
}
