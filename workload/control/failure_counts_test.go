package control_test

import (
	"encoding/json"
	"testing"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// failedRuns are the runs of each task, or of each gang under its first task, that have ended as
// failed on a worker.
type failedRuns map[workload.TaskID]map[int64]bool

// watchFailures checks each recorded number of failures, and each verdict for used attempts, against
// the runs that have failed. It returns these and the number of verdicts.
func watchFailures(t *testing.T, sim *simulation) (failed failedRuns, verdicts *int) {
	failed, verdicts = failedRuns{}, new(int)
	seen := sim.fleet.OnEvent
	sim.fleet.OnEvent = func(e workertest.Event) {
		seen(e)
		if e.End != control.EndFailed {
			return
		}
		id := e.Task
		if sim.jobs[id.Job].Steps[id.Step].Gang {
			id.Index = 0
		}
		if failed[id] == nil {
			failed[id] = map[int64]bool{}
		}
		failed[id][e.Run] = true
	}
	sim.trace = func(_ string, args ...any) {
		if len(args) != 7 || args[1] != control.EventJobFailed || args[4] != "attempts-used" {
			return
		}
		*verdicts++
		id, err := workload.ParseTaskID(args[2].(string))
		if err != nil {
			t.Fatal(err)
		}
		if sim.jobs[id.Job].Steps[id.Step].Gang {
			id.Index = 0
		}
		if n := len(failed[id]); n < maxAttempts {
			t.Errorf("the job of %v failed after %d failed runs, of %d allowed ones", id, n, maxAttempts)
		}
	}
	return failed, verdicts
}

// checkRecords checks that no task is recorded with more failures than it has failed runs.
func (f failedRuns) checkRecords(t *testing.T, sim *simulation) {
	for _, id := range sim.jobIDs {
		progress := workload.Progress{}
		value := sim.log[workload.ProgressKey(workload.JobID(id))]
		if len(value) == 0 || json.Unmarshal(value, &progress) != nil {
			continue
		}
		for _, o := range progress.Open {
			for step, tasks := range o.Steps {
				for i := range tasks {
					task := workload.TaskID{Job: workload.JobID(id), Occurrence: o.Number, Step: step, Index: i}
					if n := len(f[task]); tasks[i].Failures > n {
						t.Errorf("%v is recorded with %d failures after %d failed runs", task, tasks[i].Failures, n)
					}
				}
			}
		}
	}
}

// Guards against counting an end as a failure that is none, or one failed run of a task or gang twice:
// with lost answers, late orders, restarts under the same id, and planners that die, freeze and read
// ends again.
func TestEachFailedRunIsCountedOnce(t *testing.T) {
	seeds := int64(20)
	if testing.Short() {
		seeds = 8
	}
	for name, create := range map[string]func(seed int64) *simulation{
		"faults":   func(seed int64) *simulation { return newSimulation(seed, true) },
		"restarts": func(seed int64) *simulation { return newRestartSimulation(seed, true) },
		"crashes":  newCrashSimulation,
	} {
		t.Run(name, func(t *testing.T) {
			runs, total := 0, 0
			for seed := range seeds {
				sim := create(seed)
				work := sim.fleet.Work
				sim.fleet.Work = func(id workload.TaskID, run int64, worker string) workertest.Work {
					out := work(id, run, worker)
					out.Fails = out.Fails || (run+int64(id.Index))%2 == 0
					return out
				}
				failed, verdicts := watchFailures(t, sim)
				onEvent := sim.fleet.OnEvent
				sim.fleet.OnEvent = func(e workertest.Event) {
					onEvent(e)
					if e.End == "" {
						failed.checkRecords(t, sim)
					}
				}
				sim.run(nil)
				total += *verdicts
				for _, of := range failed {
					runs += len(of)
				}
			}
			if total == 0 {
				t.Error("no job has used its attempts")
			}
			t.Logf("%d failed runs, %d jobs failed for used attempts", runs, total)
		})
	}
}
