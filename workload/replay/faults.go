package replay

import (
	"math/rand/v2"
	"time"
)

// inject starts a fault. Bursts are part of the generated load and need nothing here.
func (sim *simulation) inject(t Fault) {
	until := sim.elapsed + seconds(t.ForS)
	switch t.Kind {
	case LogDown:
		sim.logDownUntil = until
	case PlannerDown:
		sim.plannerDownUntil = until
		sim.core = nil
		sim.queue.At(until, sim.startPlanner)
	case DataCentreUnreachable:
		centre := sim.workers[sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]].centre
		sim.eachWorker(func(w *simWorker) bool { return w.centre == centre }, func(w *simWorker) { w.unreachableUntil = until })
	case RackLost:
		rack := rackName(sim.rng.IntN(sim.pattern.rackCount()))
		sim.eachWorker(func(w *simWorker) bool { return w.rack == rack }, func(w *simWorker) { sim.loseWorker(w, until) })
	case DrainNotices:
		sim.shareOfWorkers(t, func(w *simWorker) { w.draining, w.departsAt = true, until })
	case Slow:
		sim.shareOfWorkers(t, func(w *simWorker) {
			w.slowdown = max(t.Factor, 1)
			sim.queue.At(until, func() { w.slowdown = 1 })
		})
	case Grey:
		sim.shareOfWorkers(t, func(w *simWorker) { w.greyUntil = until })
	case Hang:
		sim.shareOfWorkers(t, func(w *simWorker) { w.hangUntil = until })
	case Cancel:
		for _, a := range sim.arrivals {
			if a.at < sim.elapsed && sim.rng.Float64() < t.Share {
				sim.cancel(a.job.ID)
			}
		}
	}
}

// loseWorker removes a worker; a replacement joins in the same rack at the given time.
func (sim *simulation) loseWorker(w *simWorker, until time.Duration) {
	w.lost = true
	sim.fleet.Kill(w.id, sim.now())
	sim.queue.At(until, func() {
		next := &simWorker{id: w.id + "'", rack: w.rack, centre: w.centre, speed: w.speed, slowdown: 1}
		sim.workers[next.id] = next
		sim.workerIDs = append(sim.workerIDs, next.id)
		sim.fleet.Add(next.id, sim.capacity(), 1, sim.now())
	})
}

func (sim *simulation) eachWorker(matches func(*simWorker) bool, do func(*simWorker)) {
	for _, id := range sim.workerIDs {
		if w := sim.workers[id]; !w.lost && matches(w) {
			do(w)
		}
	}
}

// shareOfWorkers applies do to a share of the workers. The choice is seeded by the fault and the
// number of workers, so that it does not depend on what the policy did.
func (sim *simulation) shareOfWorkers(t Fault, do func(*simWorker)) {
	rng := rand.New(rand.NewPCG(uint64(t.AtS*1000), uint64(len(sim.workerIDs))))
	sim.eachWorker(func(*simWorker) bool { return rng.Float64() < t.Share }, do)
}
