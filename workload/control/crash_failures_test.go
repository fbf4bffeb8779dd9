package control_test

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
)

// runCrowdedSimulations runs crowded crash simulations in parallel, and returns them by seed.
func runCrowdedSimulations(seeds []int64, gangs bool) map[int64]*simulation {
	sims := make([]*simulation, len(seeds))
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			sims[i] = newCrowdedCrashSimulation(seed, gangs)
			sims[i].run(nil)
		})
	}
	group.Wait()
	bySeed := map[int64]*simulation{}
	for i, seed := range seeds {
		bySeed[seed] = sims[i]
	}
	return bySeed
}

// Guards against harmless jobs that fail for crashes for which another job failed, with the seeds
// that showed it.
func TestHarmlessJobsDoNotFailInCrowdedPool(t *testing.T) {
	t.Parallel()
	for gangs, seeds := range map[bool][]int64{false: {1377, 1828, 1956}, true: {173}} {
		for seed, sim := range runCrowdedSimulations(seeds, gangs) {
			if wronglyFailed := sim.wronglyFailedJobs(); len(wronglyFailed) > 0 || len(sim.violations) > 0 {
				t.Errorf("gangs %t, seed %d: wrongly failed jobs: %v; violations: %v", gangs, seed, wronglyFailed, sim.violations)
			}
		}
	}
}

// A task that crashes its workers may be exonerated because the job of a task beside it failed. It
// must not be started more often than allowed nevertheless. CROWDED_WORLDS=2000 runs 2,000
// simulations of each kind, with the seeds from CROWDED_FROM, and logs how many jobs failed wrongly.
func TestExonerationsKeepStartLimitInCrowdedPool(t *testing.T) {
	t.Parallel()
	count, from := 8, int64(1)
	for name, value := range map[string]any{"CROWDED_WORLDS": &count, "CROWDED_FROM": &from} {
		if env := os.Getenv(name); env != "" {
			if _, err := fmt.Sscan(env, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, gangs := range []bool{false, true} {
		seeds := make([]int64, count)
		for i := range seeds {
			seeds[i] = from + int64(i)
		}
		wronglyFailed, atLimit := 0, 0
		for seed, sim := range runCrowdedSimulations(seeds, gangs) {
			if len(sim.violations) > 0 {
				t.Errorf("gangs %t, seed %d: %v", gangs, seed, sim.violations)
			}
			if jobs := sim.wronglyFailedJobs(); len(jobs) > 0 {
				wronglyFailed += len(jobs)
				t.Logf("gangs %t, seed %d: wrongly failed jobs: %v", gangs, seed, jobs)
			}
			atLimit += sim.tasksAtLimit()
		}
		t.Logf("gangs %t, %d simulations, %d wrongly failed jobs, %d tasks at their start limit", gangs, count, wronglyFailed, atLimit)
	}
}

// tasksAtLimit counts the tasks that were started as often as allowed after crashLimit crashes.
func (sim *simulation) tasksAtLimit() int {
	count := 0
	for _, starts := range sim.crashes.startsAfterLimit {
		if starts == maxStartsAfterLimit {
			count++
		}
	}
	return count
}

// Guards against a gang that waits for ever because its job avoids the workers on which its tasks
// have failed, and the other workers have no capacity for it.
func TestGangWithFailedTasksIsPlacedInSmallPool(t *testing.T) {
	t.Parallel()
	for seed, sim := range runCrowdedSimulations([]int64{1001, 1729}, false) {
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %v", seed, sim.violations)
		}
	}
}
