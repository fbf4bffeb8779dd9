package control_test

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
)

// playCrowded plays crowded worlds at once, and returns them by their seeds.
func playCrowded(seeds []int64, gangs bool) map[int64]*simulation {
	worlds := make([]*simulation, len(seeds))
	var group sync.WaitGroup
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		group.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			worlds[i] = newCrowdedCrashSimulation(seed, gangs)
			worlds[i].run(nil)
		})
	}
	group.Wait()
	out := map[int64]*simulation{}
	for i, seed := range seeds {
		out[seed] = worlds[i]
	}
	return out
}

// Guards against innocent jobs being given up for crashes for which another job was given up: the
// worlds in which that was seen.
func TestVerdictsSpareWhatWasBesideInACrowdedPool(t *testing.T) {
	for gangs, seeds := range map[bool][]int64{false: {1377, 1828, 1956}, true: {173}} {
		for seed, w := range playCrowded(seeds, gangs) {
			if innocent := w.wronglyFailedJobs(); len(innocent) > 0 || len(w.violations) > 0 {
				t.Errorf("gangs %t, seed %d: given up though innocent: %v; %v", gangs, seed, innocent, w.violations)
			}
		}
	}
}

// Verdicts that exonerate a task that crashes its workers, since it was beside another one, don't
// take it over its bound. CROWDED_WORLDS=2000 plays so many of each kind, from the seed
// CROWDED_FROM on, and tells how many jobs were given up though innocent.
func TestVerdictsKeepTheBoundInACrowdedPool(t *testing.T) {
	worlds, from := 8, int64(1)
	for name, value := range map[string]any{"CROWDED_WORLDS": &worlds, "CROWDED_FROM": &from} {
		if asked := os.Getenv(name); asked != "" {
			if _, err := fmt.Sscan(asked, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, gangs := range []bool{false, true} {
		seeds := make([]int64, worlds)
		for i := range seeds {
			seeds[i] = from + int64(i)
		}
		innocent, atBound := 0, 0
		for seed, w := range playCrowded(seeds, gangs) {
			if len(w.violations) > 0 {
				t.Errorf("gangs %t, seed %d: %v", gangs, seed, w.violations)
			}
			if jobs := w.wronglyFailedJobs(); len(jobs) > 0 {
				innocent += len(jobs)
				t.Logf("gangs %t, seed %d: given up though innocent: %v", gangs, seed, jobs)
			}
			atBound += w.tasksAtLimit()
		}
		t.Logf("gangs %t, %d worlds, %d jobs given up though innocent, %d tasks at their bound", gangs, worlds, innocent, atBound)
	}
}

// tasksAtBound counts the tasks that one start more would have taken over their bound.
func (sim *simulation) tasksAtLimit() int {
	count := 0
	for _, more := range sim.crashes.startsAfterLimit {
		if more == maxStartsAfterLimit {
			count++
		}
	}
	return count
}

// Guards against a gang waiting for ever since its job keeps off the workers on which its tasks
// have failed, and the others have no room for it.
func TestAGangWhoseTasksHaveFailedFindsRoomInASmallPool(t *testing.T) {
	for seed, w := range playCrowded([]int64{1001, 1729}, false) {
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations)
		}
	}
}
