package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// These tests guard against failing jobs for crashes that they did not cause. Four tenths of 350
// workers crashed at the same moment, three times in 18 s, and 16 jobs failed in four simulations
// of two such days, with three or four crashes each, 3.7 s to 13.6 s after their starts. Each crash
// counted against all tasks on the worker, regardless of how many workers that had never run the
// task fell silent at the same moment.

// newLargeScenario returns a scenario with 48 workers, on which each run takes the given time.
func newLargeScenario(takes time.Duration) *scenario {
	s := newScenario()
	for i := 6; i < 48; i++ {
		id := fmt.Sprintf("w%02d", i)
		s.listedBorn[id] = s.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 1, s.now).StartMS
	}
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: takes} }
	return s
}

// runWithOutages adds a harmless job every 400 ms and crashes a share of the workers at once every 6 s.
// It returns the harmless jobs.
func (s *scenario) runWithOutages(takes time.Duration, share float64, outages int, crash func(id string)) []workload.JobID {
	var jobs []workload.JobID
	for i := range 60 {
		jobs = append(jobs, s.add(workload.JobID(fmt.Sprintf("a%015x", i)), nil, workload.Step{Count: 4, Need: need(4), EstimateMS: takes.Milliseconds()}))
		if i%15 == 14 && i/15 < outages {
			for _, id := range sortedIDs(s.fleet.Workers) {
				if !s.fleet.Workers[id].Dead && s.rng.Float64() < share {
					crash(id)
				}
			}
		}
		s.advance(400 * time.Millisecond)
	}
	s.advance(60 * time.Second)
	return jobs
}

func TestJobsDoNotFailForSimultaneousCrashes(t *testing.T) {
	t.Parallel()
	for _, takes := range []time.Duration{400 * time.Millisecond, 2500 * time.Millisecond, 9 * time.Second} {
		for _, sameID := range []bool{true, false} {
			t.Run(fmt.Sprintf("runs of %v, same id %t", takes, sameID), func(t *testing.T) {
				t.Parallel()
				s := newLargeScenario(takes)
				s.enableCrashes(nil, 800*time.Millisecond)
				jobs := s.runWithOutages(takes, 0.4, 4, func(id string) {
					if sameID {
						s.restartWorker(id, 800*time.Millisecond)
						return
					}
					s.fleet.Kill(id, s.now)
					s.onCrash(id, workload.TaskID{}, s.now)
				})
				s.check(t)
				for _, id := range jobs {
					if state := s.jobState(id); state != workload.Completed {
						t.Errorf("job %s is %s, want completed", id, state)
					}
				}
			})
		}
	}
}

// Guards against failing harmless jobs when all workers restart at once several times within
// seconds, so that runs that take longer are lost each time. Jobs failed with four and five crashes
// each, since only one crash of a task was excluded as part of an outage (soak seed 72006, 8 of 24
// runs with two of the ways in which it failed).
func TestJobsDoNotFailWhenPoolIsLostRepeatedly(t *testing.T) {
	t.Parallel()
	for _, share := range []float64{0.8, 1} {
		for _, sameID := range []bool{true, false} {
			t.Run(fmt.Sprintf("share %v, same id %t", share, sameID), func(t *testing.T) {
				t.Parallel()
				const takes = 6 * time.Second
				s := newLargeScenario(takes)
				s.enableCrashes(nil, 800*time.Millisecond)
				var jobs []workload.JobID
				for i := range 12 {
					jobs = append(jobs, s.add(workload.JobID(fmt.Sprintf("a%015x", i)), nil, workload.Step{Count: 4, Need: need(4), EstimateMS: takes.Milliseconds()}))
				}
				for range 7 {
					s.advance(2500 * time.Millisecond)
					s.crashShare(share, sameID)
				}
				s.advance(60 * time.Second)
				s.check(t)
				for _, id := range jobs {
					if state := s.jobState(id); state != workload.Completed {
						t.Errorf("job %s is %s, want completed", id, state)
					}
				}
			})
		}
	}
}

// crashShare crashes a share of the workers at once. They restart under their ids, or are followed
// by workers with new ids.
func (s *scenario) crashShare(share float64, sameID bool) {
	for _, id := range sortedIDs(s.fleet.Workers) {
		switch {
		case s.fleet.Workers[id].Dead || s.rng.Float64() >= share:
		case sameID:
			s.restartWorker(id, 800*time.Millisecond)
		default:
			s.fleet.Kill(id, s.now)
			s.onCrash(id, workload.TaskID{}, s.now)
		}
	}
}

// Jobs that crash their workers must fail, and not be started more often than allowed, during such
// outages too.
func TestCrashingTasksFailDespiteOutages(t *testing.T) {
	t.Parallel()
	for _, after := range crashDelays {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			const takes = 2500 * time.Millisecond
			s := newLargeScenario(takes)
			crashAfter := map[workload.JobID]time.Duration{}
			for i := range 5 {
				crashAfter[crashingJob(i)] = after
			}
			s.enableCrashes(crashAfter, 800*time.Millisecond)
			for i := range 5 {
				s.add(crashingJob(i), nil, workload.Step{Count: 1, Need: need(1), EstimateMS: takes.Milliseconds()})
			}
			s.runWithOutages(takes, 0.4, 4, func(id string) { s.restartWorker(id, 800*time.Millisecond) })
			s.check(t)
			for i := range 5 {
				if state := s.jobState(crashingJob(i)); state != workload.Failed {
					t.Errorf("a job whose task crashed %d workers is %s, want failed", s.crashes.crashCount[workload.TaskID{Job: crashingJob(i)}], state)
				}
			}
		})
	}
}
