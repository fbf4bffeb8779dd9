package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Guards against evicting more tasks of a perpetual step at once than it may miss. The step runs on
// all workers, and guaranteed jobs need them one by one.
func TestEvictionsOfAPerpetualStepStayWithinMayMiss(t *testing.T) {
	for _, mayMiss := range []int{1, 2} {
		s := newScenario()
		s.add(jobA, func(j *workload.Job) { j.Account = "lent" }, workload.Step{Count: 6, Need: need(8), Perpetual: true, MaxUnavailable: mayMiss})
		s.advance(2 * time.Second)
		if n := len(s.starts(jobA)); n != 6 {
			t.Fatalf("%d starts, want 6", n)
		}
		s.planners[0].core.Configure(control.Configuration{Version: 2, Guaranteed: map[domain.AccountID]int64{"urgent": 48}})
		for _, id := range []workload.JobID{"bbbbbbbbbbbbbbb1", "bbbbbbbbbbbbbbb2", "bbbbbbbbbbbbbbb3"} {
			s.add(id, func(j *workload.Job) { j.QueueSettings.Priority = 0; j.Account = "urgent" }, workload.Step{Count: 1, Need: need(8), EstimateMS: 60_000})
		}
		s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
		s.advance(10 * time.Second)
		s.check(t)
		if n := s.ends(jobA, control.EndStopped); n != mayMiss {
			t.Fatalf("%d tasks were evicted, %d may be missed", n, mayMiss)
		}
	}
}

func TestFillersAreThrottledBeforeTheyHarmAndUseSpareCapacity(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Job == jobA {
			return workertest.Work{Takes: time.Hour, TailMS: 50}
		}
		return workertest.Work{Takes: time.Hour, DisturbsMS: 100}
	}
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Perpetual: true, LatencyTargetMS: 100})
	s.advance(2 * time.Second)
	s.add(jobB, nil, workload.Step{Count: 6, Need: workload.Resources{MilliCPU: 32000}, BestEffortCPU: true, PerWorker: 1, EstimateMS: 3_600_000})
	overTargetFor := map[string]time.Duration{}
	for range 1500 {
		s.advance(20 * time.Millisecond)
		for id, w := range s.fleet.Workers {
			for _, tail := range w.TailLatencies() {
				if tail <= 100 {
					overTargetFor[id] = 0
					continue
				}
				if overTargetFor[id] += 20 * time.Millisecond; overTargetFor[id] > simBounds.MaxOverTarget {
					t.Fatalf("a serving task on %s has exceeded its latency target for %v", id, overTargetFor[id])
				}
			}
		}
	}
	s.check(t)
	for id, w := range s.fleet.Workers {
		for _, throttled := range w.ThrottledPercents() {
			if throttled > 90 {
				t.Errorf("the filler on %s is throttled by %d percent, though a third of its pace does no harm", id, throttled)
			}
		}
	}
}

func TestFillersThatHarmAtAnyPaceAreHalted(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Job == jobA {
			return workertest.Work{Takes: time.Hour, TailMS: 40}
		}
		return workertest.Work{Takes: time.Hour, DisturbsMS: 10_000}
	}
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Perpetual: true, LatencyTargetMS: 100})
	s.advance(2 * time.Second)
	s.add(jobB, nil, workload.Step{Count: 6, Need: workload.Resources{MilliCPU: 32000}, BestEffortCPU: true, PerWorker: 1, EstimateMS: 3_600_000})
	s.advance(6 * time.Second)
	throttled := 0
	for _, w := range s.fleet.Workers {
		for _, tail := range w.TailLatencies() {
			if tail > 100 {
				t.Errorf("tail latency of %d ms, want at most 100", tail)
			}
		}
		for _, n := range w.ThrottledPercents() {
			throttled += n
		}
	}
	if throttled < 500 {
		t.Fatalf("throttled by %d percent in total over six workers, want at least 500", throttled)
	}
}
