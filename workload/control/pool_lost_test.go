package control_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// poolLoss is a pool of which a part crashes at once, again and again.
type poolLoss struct {
	share  float64
	times  int
	apart  time.Duration
	sameID bool
}

func poolLosses() []poolLoss {
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

// someLosses are the cells that CI plays.
func someLosses() []poolLoss {
	return slices.DeleteFunc(poolLosses(), func(loss poolLoss) bool {
		return loss.times == 4 || loss.share == 0.5 || loss.share == 0.6 || loss.share == 0.9 || loss.apart == 1500*time.Millisecond
	})
}

// play loses a part of the pool again and again while ten jobs that crash nothing and two
// that do run, and holds what became of them against what must hold. A planner follows another
// each so often; 0 is never.
func (loss poolLoss) play(t *testing.T, seed int64, succession time.Duration) {
	const takes = 6 * time.Second
	s := newLargeScenario(takes)
	s.rng.Seed(seed)
	s.enableCrashes(map[workload.JobID]time.Duration{crashingJob(0): 800 * time.Millisecond, crashingJob(1): 800 * time.Millisecond}, 800*time.Millisecond)
	var innocent []workload.JobID
	for i := range 10 {
		innocent = append(innocent, s.add(workload.JobID(fmt.Sprintf("a%015x", i)), nil, workload.Step{Count: 4, Need: need(4), EstimateMS: takes.Milliseconds()}))
	}
	for i := range 2 {
		s.add(crashingJob(i), nil, workload.Step{Count: 1, Need: need(1), EstimateMS: takes.Milliseconds()})
	}
	succeeded := s.now
	for range loss.times {
		s.advance(loss.apart)
		s.crashShare(loss.share, loss.sameID)
		if succession > 0 && s.now.Sub(succeeded) >= succession {
			succeeded = s.now
			s.schedule(300*time.Millisecond, func() { s.startPlanner(nil) })
		}
	}
	for i := 0; i < 60 && !s.allFinal(); i++ {
		s.advance(time.Second)
	}
	s.check(t)
	for i := range 2 {
		if state := s.jobState(crashingJob(i)); state != workload.Failed {
			t.Errorf("a job whose task crashed %d workers is %s", s.crashes.crashCount[workload.TaskID{Job: crashingJob(i)}], state)
		}
	}
	for _, id := range innocent {
		if state := s.jobState(id); state != workload.Completed {
			t.Errorf("job %s, whose tasks crash nothing, is %s", id, state)
		}
	}
}

// Guards against jobs that crash nothing being given up where a part of the pool is lost several
// times, and against jobs that do being started without a bound behind such losses.
// CI plays a part of the cells; POOL_SEEDS=20 plays all, each so often.
func TestOnlyJobsThatCrashWorkersAreGivenUpWhereAPoolIsLostAgainAndAgain(t *testing.T) {
	losses, seeds := someLosses(), 1
	if asked := os.Getenv("POOL_SEEDS"); asked != "" {
		losses = poolLosses()
		if _, err := fmt.Sscan(asked, &seeds); err != nil {
			t.Fatal(err)
		}
	}
	for i := range seeds * len(losses) {
		loss, seed := losses[i%len(losses)], int64(1+i/len(losses))
		t.Run(fmt.Sprintf("seed %d, share %v, %d times, %v apart, same id %t", seed, loss.share, loss.times, loss.apart, loss.sameID), func(t *testing.T) {
			t.Parallel()
			loss.play(t, seed, 0)
		})
	}
}

// Guards against the same where planners follow one another: a successor knows of the crashes
// before it what the record says.
func TestOnlyJobsThatCrashWorkersAreGivenUpWhereThePlannersAreLostToo(t *testing.T) {
	for _, loss := range someLosses() {
		t.Run(fmt.Sprintf("share %v, %v apart, same id %t", loss.share, loss.apart, loss.sameID), func(t *testing.T) {
			t.Parallel()
			loss.play(t, 1, 4*time.Second)
		})
	}
}
