package control_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

const (
	// largePool and largeRack are the number of workers of a large pool and of each of its racks.
	largePool, largeRack = 48, 8
	// minGroupCrashes is the minimum number of crashes of several workers in a simulation,
	// maxGroupCrash the maximum number of workers that crash together.
	minGroupCrashes, maxGroupCrash = 5, 8
	// extraJobs is the number of jobs that keep a large pool busy beside those of each simulation.
	extraJobs = 60
)

// tickAverage is the average time between two steps of a simulation.
const tickAverage = 39500 * time.Microsecond

// loadModel is the work of a simulation with a large pool.
type loadModel struct {
	seed int64
	// takesFactor multiplies the duration of all runs.
	takesFactor int
	// grey are the workers that fail all runs.
	grey map[string]bool
}

// work returns a run's duration and whether it fails: all on a grey worker, a tenth elsewhere.
func (m *loadModel) work(id workload.TaskID, run int64, worker string) workertest.Work {
	hash := m.seed*1_000_003 + run*104_729 + int64(id.Step)*31 + int64(id.Index)*7
	for _, char := range string(id.Job) {
		hash = hash*131 + int64(char)
	}
	rng := rand.New(rand.NewSource(hash))
	takes := time.Duration(m.takesFactor*(200+rng.Intn(2500))) * time.Millisecond
	return workertest.Work{Takes: takes, Fails: m.grey[worker] || rng.Intn(10) == 0}
}

// addWork draws the work of a simulation of the given length.
func (sim *simulation) addWork(rng *rand.Rand, period time.Duration) *loadModel {
	sim.steps = int(period / tickAverage)
	load := &loadModel{seed: rng.Int63(), takesFactor: 1 + rng.Intn(4), grey: map[string]bool{}}
	sim.fleet.Work = load.work
	return load
}

// addCrashingJobs makes one job in as many as given crash its workers; 0 is none.
func (sim *simulation) addCrashingJobs(rng *rand.Rand, share int) {
	after := map[workload.JobID]time.Duration{}
	for i := range simSteps {
		if share > 0 && i%share == 3 {
			after[simJobID(i)] = crashDelays[rng.Intn(len(crashDelays))]
		}
	}
	sim.enableCrashes(after, time.Duration(500+rng.Intn(3500))*time.Millisecond)
}

// addWorkers adds workers up to the given number.
func (sim *simulation) addWorkers(rng *rand.Rand, count int) {
	for i := len(sim.fleet.Workers); i < count; i++ {
		id := fmt.Sprintf("w%02d", i)
		sim.listedBorn[id] = sim.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 1-0.02*rng.Float64(), sim.now).StartMS
	}
}

// addLoad fills a simulation's pool up to 48 workers in racks of eight, and draws its work, its grey
// workers, its jobs and which of them crash their workers.
func (sim *simulation) addLoad(rng *rand.Rand, maxGrey int, period time.Duration) {
	load := sim.addWork(rng, period)
	sim.addCrashingJobs(rng, 7+rng.Intn(20))
	sim.addWorkers(rng, largePool)
	ids := sortedIDs(sim.fleet.Workers)
	for i, id := range ids {
		sim.crashes.locations[id] = location{id, fmt.Sprintf("r%d", i/largeRack)}
	}
	for range rng.Intn(maxGrey + 1) {
		load.grey[ids[rng.Intn(len(ids))]] = true
	}
	for i := range extraJobs {
		sim.schedule(time.Duration(rng.Int63n(int64(period))), func() { sim.submit(simSteps/2 + i) })
	}
}

// newPlannerLossSimulation returns a simulation in which planners are lost within a second of crashes
// of one to eight workers, of a rack or of the whole pool. The workers restart under their ids or are
// succeeded at their addresses.
func newPlannerLossSimulation(seed int64) *simulation {
	rng := rand.New(rand.NewSource(seed))
	sim := newSimulation(seed, rng.Intn(2) == 0)
	period := time.Duration(20+rng.Intn(25)) * time.Second
	sim.addLoad(rng, 3, period)
	sim.longPoll = rng.Intn(2) == 0
	if rng.Intn(2) == 0 {
		sim.maxWriteTime = 150 * time.Millisecond
	}
	if rng.Intn(2) == 0 {
		sim.horizon, sim.replaced = testHorizon, map[string]bool{}
	}
	targets := rng.Intn(3)
	for range minGroupCrashes + rng.Intn(2*minGroupCrashes) {
		at := time.Second + time.Duration(rng.Int63n(int64(period-time.Second)))
		group := groupCrash{
			count: 1 + rng.Intn(maxGroupCrash), sameRack: rng.Intn(2) == 0, sameID: rng.Intn(2) == 0, together: rng.Intn(3) > 0,
			down: time.Duration(100+rng.Intn(4000)) * time.Millisecond, targets: targets, rng: rand.New(rand.NewSource(rng.Int63())),
		}
		sim.schedule(at, func() { sim.crashGroup(group) })
		if rng.Intn(4) == 0 {
			continue
		}
		lost, next := at+time.Duration(rng.Intn(2000)-1000)*time.Millisecond, time.Duration(100+rng.Intn(2000))*time.Millisecond
		sim.schedule(lost, func() { sim.losePlanner(next) })
	}
	return sim
}

// losePlanner ends the newest planner and starts its successor after the given time.
func (sim *simulation) losePlanner(next time.Duration) {
	sim.planners[len(sim.planners)-1].dead = true
	sim.schedule(next, func() { sim.startPlanner(nil) })
}

// groupCrash is a crash of several workers.
type groupCrash struct {
	count int
	// sameRack is set if all are of one rack, together if they crash at once and not within half a
	// second. With sameID they restart under their ids.
	sameRack, sameID, together bool
	down                       time.Duration
	// targets is the number of tasks of the same jobs that lose their workers in each crash.
	targets int
	rng     *rand.Rand
}

// crashGroup crashes some workers of one rack or of the whole pool.
func (sim *simulation) crashGroup(g groupCrash) {
	ids := sim.targetWorkers(g.targets)
	rack := fmt.Sprintf("r%d", g.rng.Intn(largePool/largeRack))
	if len(ids) > 0 {
		rack = sim.crashes.locations[ids[0]].rack
	}
	var alive []string
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if !sim.fleet.Workers[id].Dead && (!g.sameRack || sim.crashes.locations[id].rack == rack) {
			alive = append(alive, id)
		}
	}
	g.rng.Shuffle(len(alive), func(a, b int) { alive[a], alive[b] = alive[b], alive[a] })
	ids = append(ids, alive...)
	for _, id := range ids[:min(g.count, len(ids))] {
		delay := time.Duration(0)
		if !g.together {
			delay = time.Duration(g.rng.Intn(500)) * time.Millisecond
		}
		sim.schedule(delay, func() { sim.crashAndReturn(id, g.sameID, g.down) })
	}
}

// targetWorkers returns the workers of the first running tasks of the oldest jobs that have not ended,
// one of each job.
func (sim *simulation) targetWorkers(count int) []string {
	var out []string
	for _, id := range sim.jobIDs {
		if len(out) == count {
			break
		}
		if worker := sim.workerOf(workload.JobID(id)); worker != "" && !slices.Contains(out, worker) {
			out = append(out, worker)
		}
	}
	return out
}

// workerOf returns a worker that runs the first running task of a job; "" is none.
func (sim *simulation) workerOf(job workload.JobID) string {
	first, worker := "", ""
	for task, runs := range sim.running {
		if task.Job != job || len(runs) == 0 || (first != "" && task.String() > first) {
			continue
		}
		first, worker = task.String(), slices.Min(slices.Collect(maps.Keys(runs)))
	}
	return worker
}

// crashAndReturn crashes a worker, which restarts under its id or is succeeded at its address.
func (sim *simulation) crashAndReturn(id string, sameID bool, down time.Duration) {
	if sim.fleet.Workers[id].Dead {
		return
	}
	if sameID {
		if sim.replaced != nil {
			sim.replaced[id] = true
		}
		sim.restartWorker(id, down)
		return
	}
	rack := sim.crashes.locations[id].rack
	sim.fleet.Kill(id, sim.now)
	sim.crashes.entryExpiresAt[id] = sim.now.Add(entryLifetime)
	sim.schedule(down, func() { sim.startSuccessor(id, rack) })
}
