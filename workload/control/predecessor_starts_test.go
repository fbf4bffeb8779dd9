package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// The task of a cancelled job must not run on, whichever planner sent the start order and whenever
// the worker carried it out. A predecessor's order may arrive after the successor's only poll of a
// worker. If the worker is idle and the planner has no record of the run, nothing would find it.

// maxLateRun is how long a run may go on after a late start. By then a planner reaches the worker.
const maxLateRun = 4 * time.Second

// runLateStart has a planner send a start order for a job's only task and die before the order
// arrives, and its successor cancel the job. It returns how long the task ran.
func runLateStart(m mutant, delay, logUnavailable time.Duration, unreachable bool) time.Duration {
	s := newScenario()
	s.mutant = m
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
	s.advance(time.Second)
	s.startDelays = map[workload.JobID]time.Duration{jobA: delay}
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(1)})
	s.advance(100 * time.Millisecond)
	s.planners[0].dead = true
	s.cancelledAt[jobA] = s.now
	s.startPlanner(nil)
	if unreachable {
		for id := range s.fleet.Workers {
			s.unreachableUntil[id] = s.now.Add(maxLateRun / 2)
		}
	}
	s.planners[1].writingUntil = s.now.Add(logUnavailable)
	s.advance(delay + maxLateRun + simLimits.StopTimeout + time.Second)
	ran := time.Duration(0)
	for _, e := range s.events {
		if e.Task.Job != jobA {
			continue
		}
		if e.End == "" {
			ran -= e.At.Sub(s.now)
		} else {
			ran += e.At.Sub(s.now)
		}
	}
	return ran
}

func TestRunStartedAfterTheSuccessorsPollIsStopped(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"before the poll": 50 * time.Millisecond, "after the poll": 3 * time.Second, "after the lease": 9 * time.Second} {
		for _, unreachable := range []bool{false, true} {
			for _, logUnavailable := range []time.Duration{0, 2 * time.Second} {
				if ran := runLateStart(mutant{}, delay, logUnavailable, unreachable); ran > maxLateRun+simLimits.StopTimeout {
					t.Errorf("start %s, workers unreachable %t, log unavailable for %v: the task ran for %v", name, unreachable, logUnavailable, ran)
				}
			}
		}
	}
}

// Shows that the test above detects a missing protection. Either of two rules stops the run: the
// worker has seen the successor's token at the poll, and the successor finds the start in the log
// and sends a stop order, after which the worker refuses it. Without both the run goes on.
func TestLateRunGoesOnOnlyWithoutTokenAndLogRules(t *testing.T) {
	for _, m := range []mutant{{sameToken: true, unfencedLog: true}, {noLog: true}} {
		if ran := runLateStart(m, 200*time.Millisecond, 0, false); ran > maxLateRun+simLimits.StopTimeout {
			t.Errorf("%+v: the task ran for %v", m, ran)
		}
	}
	if ran := runLateStart(mutant{sameToken: true, unfencedLog: true, noLog: true}, 200*time.Millisecond, 0, false); ran <= maxLateRun+simLimits.StopTimeout {
		t.Fatalf("the task ran for only %v without both rules", ran)
	}
}
