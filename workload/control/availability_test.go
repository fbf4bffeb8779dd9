package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Guaranteed jobs want workers one by one; a step that lasts is on all of them,
// and lets go of no more tasks at once than it may miss.
func TestNoMoreTasksThatLastAreTakenAwayAtOnceThanTheirStepMayMiss(t *testing.T) {
	for _, mayMiss := range []int{1, 2} {
		s := newScenario()
		s.add(jobA, func(j *workload.Job) { j.Account = "lent" }, workload.Step{Count: 6, Need: need(8), Perpetual: true, MayMiss: mayMiss})
		s.advance(2 * time.Second)
		if n := len(s.starts(jobA)); n != 6 {
			t.Fatalf("%d starts", n)
		}
		s.planners[0].core.Configure(control.Configuration{Version: 2, Guaranteed: map[domain.AccountID]int64{"urgent": 48}})
		for _, id := range []workload.JobID{"bbbbbbbbbbbbbbb1", "bbbbbbbbbbbbbbb2", "bbbbbbbbbbbbbbb3"} {
			s.add(id, func(j *workload.Job) { j.Terms.Priority = 0; j.Account = "urgent" }, workload.Step{Count: 1, Need: need(8), EstimateMS: 60_000})
		}
		s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
		s.advance(10 * time.Second)
		s.check(t)
		if n := s.ends(jobA, control.EndStopped); n != mayMiss {
			t.Fatalf("%d tasks were taken away, %d may be missed", n, mayMiss)
		}
	}
}

func TestWhatFillsIsSlowedBeforeItHarmsAndUsesWhatIsLeft(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Job == jobA {
			return workertest.Work{Takes: time.Hour, TailMS: 50}
		}
		return workertest.Work{Takes: time.Hour, DisturbsMS: 100}
	}
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Perpetual: true, TargetMS: 100})
	s.advance(2 * time.Second)
	s.add(jobB, nil, workload.Step{Count: 6, Need: workload.Resources{MilliCPU: 32000}, Fills: true, Spread: 1, EstimateMS: 3_600_000})
	over := map[string]time.Duration{}
	for range 1500 {
		s.advance(20 * time.Millisecond)
		for id, w := range s.fleet.Workers {
			for _, tail := range w.Tails() {
				if tail <= 100 {
					over[id] = 0
					continue
				}
				if over[id] += 20 * time.Millisecond; over[id] > simBounds.Harm {
					t.Fatalf("%s is over its target for %v", id, over[id])
				}
			}
		}
	}
	s.check(t)
	for id, w := range s.fleet.Workers {
		for _, slowed := range w.Slowed() {
			if slowed > 90 {
				t.Errorf("what fills on %s is slowed by %d percent, though a third of its pace does no harm", id, slowed)
			}
		}
	}
}

func TestWhatFillsIsHaltedWhereItHarmsAtAnyPace(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Job == jobA {
			return workertest.Work{Takes: time.Hour, TailMS: 40}
		}
		return workertest.Work{Takes: time.Hour, DisturbsMS: 10_000}
	}
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Perpetual: true, TargetMS: 100})
	s.advance(2 * time.Second)
	s.add(jobB, nil, workload.Step{Count: 6, Need: workload.Resources{MilliCPU: 32000}, Fills: true, Spread: 1, EstimateMS: 3_600_000})
	s.advance(6 * time.Second)
	slowed := 0
	for _, w := range s.fleet.Workers {
		for _, tail := range w.Tails() {
			if tail > 100 {
				t.Errorf("a tail of %d ms", tail)
			}
		}
		for _, n := range w.Slowed() {
			slowed += n
		}
	}
	if slowed < 500 {
		t.Fatalf("slowed by %d percent over six workers", slowed)
	}
}
