package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Guards against giving harmless jobs up where most of the pool is lost again and again: tasks of 15 s
// do not end between outages every 12 s, and nothing but outages ends a worker.
func TestHarmlessJobsDoNotFailInRepeatedOutages(t *testing.T) {
	t.Parallel()
	for seed := range int64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newLargeOutageScenario(seed)
			failed := 0
			for _, id := range s.jobIDs {
				if s.jobState(workload.JobID(id)) == workload.Failed {
					failed++
				}
			}
			if failed > 0 {
				t.Errorf("%d of %d jobs failed, though none of their runs has", failed, len(s.jobIDs))
			}
		})
	}
}

// newLargeOutageScenario simulates 40 workers for 85 s, nine tenths of which restart every 12 s.
func newLargeOutageScenario(seed int64) *scenario {
	s := &scenario{simulation: newSimulation(seed, false)}
	for i := 6; i < 40; i++ {
		id := fmt.Sprintf("w%03d", i)
		s.listedBorn[id] = s.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 128000, Accelerators: 8}, 1, s.now).StartMS
	}
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		step, _ := s.lookUpStep(id)
		return workertest.Work{Takes: time.Duration(step.EstimateMS) * time.Millisecond}
	}
	s.maxWriteTime, s.longPoll = 150*time.Millisecond, true
	s.startPlanner(nil)
	startedAt, nextOutage := s.now, s.now.Add(8*time.Second)
	for i := 0; s.now.Sub(startedAt) < 85*time.Second; i++ {
		if i < 30 {
			id := workload.JobID(fmt.Sprintf("%c%015x", 'a'+i%6, i))
			s.add(id, nil, workload.Step{Count: 6, Need: workload.Resources{MilliCPU: 2800, MemoryMiB: 11000, Accelerators: 1}, EstimateMS: 15_000})
		}
		if s.now.After(nextOutage) {
			nextOutage = s.now.Add(12 * time.Second)
			s.restartMost()
		}
		s.advance(400 * time.Millisecond)
	}
	return s
}

// restartMost restarts nine tenths of the workers under their ids.
func (s *scenario) restartMost() {
	for _, id := range sortedIDs(s.fleet.Workers) {
		if s.rng.Float64() < 0.9 {
			s.unreachableUntil[id] = s.now.Add(time.Second)
			s.restartWorker(id, time.Duration(400+s.rng.Intn(600))*time.Millisecond)
		}
	}
}
