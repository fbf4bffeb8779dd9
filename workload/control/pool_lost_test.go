package control_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// poolLoss is a repeated loss of a part of the pool: each time the share of the workers crashes at
// once. If sameID is set, they restart under their ids.
type poolLoss struct {
	share    float64
	count    int
	interval time.Duration
	sameID   bool
}

// allPoolLosses returns all combinations of the parameters.
func allPoolLosses() []poolLoss {
	var out []poolLoss
	for _, share := range []float64{0.4, 0.5, 0.6, 0.7, 0.9, 1} {
		for _, times := range []int{4, 7} {
			for _, apart := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
				for _, sameID := range []bool{true, false} {
					out = append(out, poolLoss{share, times, apart, sameID})
				}
			}
		}
	}
	return out
}

// ciPoolLosses returns the combinations that CI runs.
func ciPoolLosses() []poolLoss {
	return slices.DeleteFunc(allPoolLosses(), func(loss poolLoss) bool {
		return loss.count == 4 || loss.share == 0.5 || loss.share == 0.6 || loss.share == 0.9 || loss.interval == 1500*time.Millisecond
	})
}

// run runs the losses while ten harmless jobs and two that crash their workers are running, and
// checks that the harmless jobs complete and the others fail. It replaces the planner at the
// interval; 0 is never.
func (loss poolLoss) run(t *testing.T, seed int64, plannerInterval time.Duration) {
	const takes = 6 * time.Second
	s := newLargeScenario(takes)
	s.rng.Seed(seed)
	s.enableCrashes(map[workload.JobID]time.Duration{crashingJob(0): 800 * time.Millisecond, crashingJob(1): 800 * time.Millisecond}, 800*time.Millisecond)
	var harmless []workload.JobID
	for i := range 10 {
		harmless = append(harmless, s.add(workload.JobID(fmt.Sprintf("a%015x", i)), nil, workload.Step{Count: 4, Need: need(4), EstimateMS: takes.Milliseconds()}))
	}
	for i := range 2 {
		s.add(crashingJob(i), nil, workload.Step{Count: 1, Need: need(1), EstimateMS: takes.Milliseconds()})
	}
	plannerStartedAt := s.now
	for range loss.count {
		s.advance(loss.interval)
		s.crashShare(loss.share, loss.sameID)
		if plannerInterval > 0 && s.now.Sub(plannerStartedAt) >= plannerInterval {
			plannerStartedAt = s.now
			s.schedule(300*time.Millisecond, func() { s.startPlanner(nil) })
		}
	}
	for i := 0; i < 60 && !s.allFinal(); i++ {
		s.advance(time.Second)
	}
	s.check(t)
	for i := range 2 {
		if state := s.jobState(crashingJob(i)); state != workload.Failed {
			t.Errorf("a job whose task crashed %d workers is %s, want failed", s.crashes.crashCount[workload.TaskID{Job: crashingJob(i)}], state)
		}
	}
	for _, id := range harmless {
		if state := s.jobState(id); state != workload.Completed {
			t.Errorf("harmless job %s is %s, want completed", id, state)
		}
	}
}

// Guards against harmless jobs that fail when a part of the pool is lost several times, and against
// unlimited starts of crashing jobs during such losses. CI runs some of the combinations once;
// POOL_SEEDS=20 runs all of them with 20 seeds.
func TestOnlyCrashingJobsFailWhenPoolIsLostRepeatedly(t *testing.T) {
	t.Parallel()
	losses, seeds := ciPoolLosses(), 1
	if value := os.Getenv("POOL_SEEDS"); value != "" {
		losses = allPoolLosses()
		if _, err := fmt.Sscan(value, &seeds); err != nil {
			t.Fatal(err)
		}
	}
	for i := range seeds * len(losses) {
		loss, seed := losses[i%len(losses)], int64(1+i/len(losses))
		t.Run(fmt.Sprintf("seed %d, share %v, %d times, %v apart, same id %t", seed, loss.share, loss.count, loss.interval, loss.sameID), func(t *testing.T) {
			t.Parallel()
			loss.run(t, seed, 0)
		})
	}
}

// Guards against the same failures when planners are replaced as well: of earlier crashes, a
// successor knows only what is recorded.
func TestOnlyCrashingJobsFailWhenPlannersAreLostToo(t *testing.T) {
	t.Parallel()
	for _, loss := range ciPoolLosses() {
		t.Run(fmt.Sprintf("share %v, %v apart, same id %t", loss.share, loss.interval, loss.sameID), func(t *testing.T) {
			t.Parallel()
			loss.run(t, 1, 4*time.Second)
		})
	}
}
