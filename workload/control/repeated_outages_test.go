package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// These tests guard against wide gangs that wait for ever after many workers have restarted at once
// several times. They were still waiting 36 s after four tenths of 350 workers had restarted for the
// last time. Jobs never ended with 4 of 4 seeds when incarnations were told apart by id alone
// (the first ends of each incarnation were skipped, and tasks were restarted again and again), and
// with 2 of 4 seeds when a start order that was sent while its worker was silent counted as one that
// the next incarnation may still carry out.

// runRepeatedOutages simulates 120 workers in racks of eight up to the horizon. Each of six outages
// in the first 72 s restarts four tenths of the workers under their ids. For 80 s wide gangs, small
// jobs and jobs of two steps arrive.
func runRepeatedOutages(t *testing.T, seed int64, horizon time.Duration) *scenario {
	s := &scenario{simulation: newSimulation(seed, false)}
	for i := 6; i < 120; i++ {
		id := fmt.Sprintf("w%03d", i)
		s.listedBorn[id] = s.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 128000, Accelerators: 8}, 1, s.now).StartMS
	}
	s.fleet.Work = func(id workload.TaskID, run int64, _ string) workertest.Work {
		step, _ := s.lookUpStep(id)
		return workertest.Work{Takes: time.Duration(step.EstimateMS) * time.Millisecond, Fails: (int64(id.Index)+run)%50 == 0}
	}
	s.maxWriteTime, s.longPoll = 150*time.Millisecond, true
	s.startPlanner(nil)
	outages := []time.Duration{5500 * time.Millisecond, 19 * time.Second, 34 * time.Second, 43 * time.Second, 57 * time.Second, 72 * time.Second}
	startedAt := s.now
	for i := 0; s.now.Sub(startedAt) < horizon; i++ {
		if s.now.Sub(startedAt) < 80*time.Second {
			s.addMixedJob(i)
		}
		if len(outages) > 0 && s.now.Sub(startedAt) > outages[0] {
			outages = outages[1:]
			for _, id := range sortedIDs(s.fleet.Workers) {
				if s.rng.Float64() < 0.4 {
					s.unreachableUntil[id] = s.now.Add(time.Second)
					s.restartWorker(id, time.Duration(400+s.rng.Intn(600))*time.Millisecond)
				}
			}
		}
		s.advance(400 * time.Millisecond)
	}
	return s
}

// addMixedJob adds the i-th job of the load.
func (s *scenario) addMixedJob(i int) {
	id := workload.JobID(fmt.Sprintf("%c%015x", 'a'+i%6, i))
	big := workload.Resources{MilliCPU: 13000, MemoryMiB: 53000, Accelerators: 8}
	small := workload.Resources{MilliCPU: 2800, MemoryMiB: 11000, Accelerators: 1}
	priority := func(p int) func(*workload.Job) {
		return func(j *workload.Job) { j.QueueSettings.Priority, j.QueueSettings.MaxAttempts = p, 4 }
	}
	switch {
	case i%20 == 3:
		s.add(id, priority(1), workload.Step{Count: 15 + s.rng.Intn(15), Need: big, EstimateMS: 9000, Gang: i%40 == 3, Checkpoint: i%60 == 3})
	case i%5 == 0:
		s.add(id, priority(2), workload.Step{Count: 20, Need: small, EstimateMS: 7000}, workload.Step{Count: 10 + s.rng.Intn(20), Need: small, EstimateMS: 7000, DependsOn: []int{0}, Gang: i%10 == 0, SameRack: i%10 == 0})
	default:
		s.add(id, priority(0), workload.Step{Count: 1 + s.rng.Intn(6), Need: workload.Resources{MilliCPU: 3700, MemoryMiB: 9000, Accelerators: int64(1 + s.rng.Intn(4))}, EstimateMS: 2500, Gang: i%2 == 0, SameRack: i%4 == 0})
	}
}

func TestAllJobsEndAfterRepeatedOutages(t *testing.T) {
	t.Parallel()
	for seed := range int64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := runRepeatedOutages(t, seed, 110*time.Second)
			if len(s.violations) > 0 {
				t.Error(s.violations)
			}
			if len(s.unsettledRuns) > 0 {
				t.Errorf("unsettled runs: %v", s.unsettledRuns)
			}
			if open := s.unfinished(); len(open) > 0 {
				t.Errorf("jobs have not ended 38 s after the last outage: %v", open)
			}
		})
	}
}
