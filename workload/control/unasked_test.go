package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// The task of a cancelled job must not run on, whoever started it and whenever its worker
// carried the order out. An order of a predecessor may come after the successor's only look at
// a worker: on one that is idle, and of which nothing is remembered, nobody would find the run.

// touch is how long after a late start its run may go on: by then whoever plans is in touch.
const maxLateRun = 4 * time.Second

// playLateStart has a planner order a job's only task, fall silent before the order arrives,
// and its successor cancel the job. It returns for how long the task ran.
func runLateStart(m mutant, late, storeAway time.Duration, cut bool) time.Duration {
	s := newScenario()
	s.mutant = m
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: time.Minute} }
	s.advance(time.Second)
	s.startDelays = map[workload.JobID]time.Duration{jobA: late}
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(1)})
	s.advance(100 * time.Millisecond)
	s.planners[0].dead = true
	s.cancelledAt[jobA] = s.now
	s.startPlanner(nil)
	if cut {
		for id := range s.fleet.Workers {
			s.unreachableUntil[id] = s.now.Add(maxLateRun / 2)
		}
	}
	s.planners[1].writingUntil = s.now.Add(storeAway)
	s.advance(late + maxLateRun + simLimits.StopTimeout + time.Second)
	ran := time.Duration(0)
	for _, e := range s.events {
		if e.Task.Job != jobA {
			continue
		}
		if e.How == "" {
			ran -= e.At.Sub(s.now)
		} else {
			ran += e.At.Sub(s.now)
		}
	}
	return ran
}

func TestARunThatBeginsAfterTheSuccessorsLookDoesNotGoOn(t *testing.T) {
	for name, late := range map[string]time.Duration{"before the look": 50 * time.Millisecond, "after it": 3 * time.Second, "after the lease": 9 * time.Second} {
		for _, cut := range []bool{false, true} {
			for _, away := range []time.Duration{0, 2 * time.Second} {
				if ran := runLateStart(mutant{}, late, away, cut); ran > maxLateRun+simLimits.StopTimeout {
					t.Errorf("%s, cut %t, store away for %v: it ran for %v", name, cut, away, ran)
				}
			}
		}
	}
}

// Two things keep it: the worker has seen the successor's token at the look, and the successor
// finds the start in the log and has it barred. Without both the run goes on.
func TestARunThatNothingKeptOffIsCaught(t *testing.T) {
	for _, m := range []mutant{{sameToken: true, unfencedLog: true}, {noLog: true}} {
		if ran := runLateStart(m, 200*time.Millisecond, 0, false); ran > maxLateRun+simLimits.StopTimeout {
			t.Errorf("%+v: it ran for %v", m, ran)
		}
	}
	if ran := runLateStart(mutant{sameToken: true, unfencedLog: true, noLog: true}, 200*time.Millisecond, 0, false); ran <= maxLateRun+simLimits.StopTimeout {
		t.Fatalf("it ran for %v", ran)
	}
}
