package control_test

import (
	"math/rand"
	"time"
)

const (
	// cutOffPool is the number of workers in a simulation of cuts, minCuts the minimum number of cuts.
	cutOffPool, minCuts = 12, 4
	// minCutMS is longer than a lease and the time after which a worker's entry expires.
	minCutMS = 7500
)

// newCutOffSimulation returns a simulation in which workers are cut off by turns for longer than their
// leases and run on. Their entries expire meanwhile, while other workers of their data centre answer.
// In half of the simulations no worker crashes, in the others some jobs crash their workers.
func newCutOffSimulation(seed int64) *simulation {
	rng := rand.New(rand.NewSource(seed))
	sim := newSimulation(seed, rng.Intn(2) == 0)
	sim.keepsWorkers = true
	sim.registry = newRegistry()
	sim.registry.dataCentre = "dc"
	sim.registry.readLag = readLags[rng.Intn(len(readLags)-1)]
	crashShare := 0
	if rng.Intn(2) == 0 {
		crashShare = 5 + rng.Intn(10)
	}
	period := time.Duration(40+rng.Intn(30)) * time.Second
	load := sim.addWork(rng, period)
	sim.addCrashingJobs(rng, crashShare)
	load.takesFactor = 2 + rng.Intn(6)
	sim.addWorkers(rng, cutOffPool)
	sim.longPoll = rng.Intn(2) == 0
	interval := time.Duration(2000+rng.Intn(8000)) * time.Millisecond
	targets := rng.Intn(3)
	for at := time.Second; at < period; at += interval {
		duration := time.Duration(minCutMS+rng.Intn(8000)) * time.Millisecond
		keepsEntry := rng.Intn(5) == 0
		pick := rng.Int63()
		sim.schedule(at, func() { sim.cutOffOne(rand.New(rand.NewSource(pick)), targets, duration, keepsEntry) })
	}
	for range rng.Intn(4) {
		next := time.Duration(100+rng.Intn(2000)) * time.Millisecond
		sim.schedule(time.Duration(rng.Int63n(int64(period))), func() { sim.losePlanner(next) })
	}
	return sim
}

// cutOffOne cuts off a worker that runs one of the oldest jobs, or any worker, unless a third of the
// workers are cut off.
func (sim *simulation) cutOffOne(rng *rand.Rand, targets int, duration time.Duration, keepsEntry bool) {
	var connected []string
	cut := 0
	for _, id := range sortedIDs(sim.fleet.Workers) {
		switch {
		case sim.fleet.Workers[id].Dead:
		case sim.isUnreachable(id):
			cut++
		default:
			connected = append(connected, id)
		}
	}
	if cut >= cutOffPool/3 || len(connected) == 0 {
		return
	}
	id := connected[rng.Intn(len(connected))]
	if running := sim.targetWorkers(targets); len(running) > 0 {
		id = running[rng.Intn(len(running))]
	}
	fromStore := duration
	if keepsEntry {
		fromStore = 0
	}
	sim.cutOff(id, fromStore, duration)
}
