package control_test

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// runSeeds calls run with the seeds from 0, as many at once as there are processors. run returns
// whether to go on; once it has returned false, no further seeds are begun. As they are begun in
// order, every seed below one that has been run is run as well.
func runSeeds(count int, run func(seed int64) bool) {
	var group sync.WaitGroup
	var stopped atomic.Bool
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range count {
		slots <- struct{}{}
		if stopped.Load() {
			break
		}
		group.Go(func() {
			defer func() { <-slots }()
			if !run(int64(seed)) {
				stopped.Store(true)
			}
		})
	}
	group.Wait()
}

// firstSeed calls check with the seeds from 0, as many at once as there are processors, and returns
// the lowest seed with a finding, and the finding. If there is none, the finding is empty.
func firstSeed(count int, check func(seed int64) string) (seed int, finding string) {
	findings := make([]string, count)
	runSeeds(count, func(seed int64) bool {
		findings[seed] = check(seed)
		return findings[seed] == ""
	})
	for seed, finding := range findings {
		if finding != "" {
			return seed, finding
		}
	}
	return 0, ""
}

// allViolations returns the violations of a simulation; "" if there is none.
func (sim *simulation) allViolations() string {
	if len(sim.violations) == 0 {
		return ""
	}
	return fmt.Sprint(sim.violations)
}
