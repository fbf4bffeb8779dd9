package control_test

import (
	"math/rand"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// failedEndPool is the number of workers in a simulation of failed ends.
const failedEndPool = 10

// gangWork returns work in which all members of a gang's run are due at the same time, and each of
// them may fail, so that several members fail in one run.
func (sim *simulation) gangWork(load *loadModel, failShare int) func(workload.TaskID, int64, string) workertest.Work {
	return func(id workload.TaskID, run int64, worker string) workertest.Work {
		out := load.work(id, run, worker)
		fails := rand.New(rand.NewSource(int64(out.Takes) + load.seed))
		out.Fails = fails.Intn(failShare) == 0
		if step, _ := sim.lookUpStep(id); step.Gang {
			id.Index = 0
			out.Takes = load.work(id, run, worker).Takes
		}
		return out
	}
}

// newFailedEndSimulation returns a simulation in which several members of a gang fail in one run, and in
// which failed ends are listed late, are read again by successors since the planner is lost before it
// acknowledges them, or are lost because their worker restarts under its id.
func newFailedEndSimulation(seed int64) *simulation {
	rng := rand.New(rand.NewSource(seed))
	sim := newSimulation(seed, rng.Intn(2) == 0)
	sim.keepsWorkers = true
	period := time.Duration(20+rng.Intn(20)) * time.Second
	load := sim.addWork(rng, period)
	sim.fleet.Work = sim.gangWork(load, 3+rng.Intn(8))
	sim.fleet.FailTogether = true
	crashShare := 0
	if rng.Intn(2) == 0 {
		crashShare = 7 + rng.Intn(10)
	}
	sim.addCrashingJobs(rng, crashShare)
	sim.addWorkers(rng, failedEndPool)
	sim.longPoll = rng.Intn(2) == 0
	if rng.Intn(2) == 0 {
		sim.maxWriteTime = 150 * time.Millisecond
	}
	restarts := rng.Intn(2) == 0
	seen := sim.fleet.OnEvent
	sim.fleet.OnEvent = func(e workertest.Event) {
		seen(e)
		if e.End == control.EndFailed && sim.now.Sub(time.Unix(1_000_000, 0)) < period {
			sim.disturbEnd(rng, e.Worker, restarts)
		}
	}
	return sim
}

// disturbEnd draws what happens right after a failed end, before or after the planner has read it.
func (sim *simulation) disturbEnd(rng *rand.Rand, worker string, restarts bool) {
	soon := time.Duration(rng.Intn(300)) * time.Millisecond
	takes := time.Duration(200+rng.Intn(4000)) * time.Millisecond
	switch rng.Intn(12) {
	case 0, 1:
		sim.schedule(soon, func() { sim.losePlanner(takes / 2) })
	case 2:
		sim.schedule(soon, func() {
			p := sim.planners[len(sim.planners)-1]
			p.frozenUntil = sim.now.Add(takes)
			sim.schedule(takes/2, func() { sim.startPlanner(nil) })
		})
	case 3, 4:
		// Its ends are listed late.
		sim.unreachableUntil[worker] = sim.now.Add(takes)
	case 5:
		sim.unreachableUntil[worker] = sim.now.Add(2 * takes)
		sim.schedule(soon, func() { sim.losePlanner(takes / 2) })
	case 6:
		if restarts {
			sim.schedule(soon, func() { sim.restartWorker(worker, takes/4) })
		}
	}
}
