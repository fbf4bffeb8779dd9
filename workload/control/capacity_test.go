package control_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// capacityModel records the capacities of a simulation's workers over time. A worker's capacity
// shrinks and grows while it runs, and its entry in the list shows it a little later.
type capacityModel struct {
	history map[string][]capacityAt
	readLag time.Duration
}

// capacityAt is a capacity from a time on.
type capacityAt struct {
	at time.Time
	workload.Resources
}

// staleCapacityLimit is how long a planner may still rely on a capacity that has shrunk.
const staleCapacityLimit = 3*time.Second + 1500*time.Millisecond

// newCapacitySimulation returns a simulation in which the workers' capacities change and the
// workers accept start orders that exceed them.
func newCapacitySimulation(seed int64) *simulation {
	sim := newSimulation(seed, true)
	sim.capacities = capacityModel{history: map[string][]capacityAt{}, readLag: time.Duration(sim.rng.Intn(1500)) * time.Millisecond}
	for id, worker := range sim.fleet.Workers {
		worker.IgnoresCapacity = true
		sim.capacities.history[id] = []capacityAt{{sim.now, worker.Capacity}}
	}
	return sim
}

// changeCapacity shrinks or grows a worker's capacity now and then.
func (sim *simulation) changeCapacity() {
	if sim.capacities.history == nil || sim.rng.Intn(15) > 0 {
		return
	}
	id := sim.randomWorker()
	worker := sim.fleet.Workers[id]
	quarters := int64(sim.rng.Intn(5))
	if len(sim.capacities.history[id]) == 0 {
		sim.capacities.history[id] = []capacityAt{{time.Unix(0, 0), worker.Capacity}}
	}
	worker.IgnoresCapacity = true
	worker.Capacity = workload.Resources{MilliCPU: 8000 * quarters, MemoryMiB: 16000 * quarters, Accelerators: 2 * quarters}
	sim.capacities.history[id] = append(sim.capacities.history[id], capacityAt{sim.now, worker.Capacity})
}

// restoreCapacities restores the full capacity of every worker.
func (sim *simulation) restoreCapacities() {
	for id, history := range sim.capacities.history {
		worker := sim.fleet.Workers[id]
		worker.Capacity = workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
		sim.capacities.history[id] = append(history, capacityAt{sim.now, worker.Capacity})
	}
}

// logWriteTime draws how long a write to the log takes.
func (sim *simulation) logWriteTime() time.Duration {
	if sim.maxWriteTime > 0 {
		return time.Duration(sim.rng.Int63n(int64(sim.maxWriteTime)))
	}
	if sim.capacities.history == nil || !sim.faulty || sim.rng.Intn(4) > 0 {
		return 0
	}
	return time.Duration(sim.rng.Intn(8000)) * time.Millisecond
}

// listed returns the capacity that the list shows for a worker.
func (m *capacityModel) listed(id string, now workload.Resources, at time.Time) workload.Resources {
	shown := now
	for i, past := range m.history[id] {
		if i == 0 || !past.at.After(at.Add(-m.readLag)) {
			shown = past.Resources
		}
	}
	return shown
}

// checkCapacity checks that a start fits into a capacity that the planner may rely on.
func (sim *simulation) checkCapacity(e workertest.Event) {
	if sim.capacities.history == nil {
		return
	}
	worker := sim.fleet.Workers[e.Worker]
	history := sim.capacities.history[e.Worker]
	for i, capacity := range history {
		outdated := i+1 < len(history) && history[i+1].at.Before(sim.now.Add(-staleCapacityLimit))
		if !outdated && worker.Allocated().FitsIn(capacity.Resources) {
			return
		}
	}
	if len(history) > 0 && !sim.delayedStarts[e.Worker+e.Task.String()] {
		sim.violation("%v run %d starts on %s, which has a capacity of %v and uses %v", e.Task, e.Run, e.Worker, worker.Capacity, worker.Allocated())
	}
}

// Guards against starts that exceed a worker's capacity after it has shrunk, on workers that don't
// refuse them. A start order that is repeated until it is answered may start a run long after the
// decision, and a decision may wait for its write to the log while a capacity shrinks.
func TestNoStartExceedsShrunkCapacity(t *testing.T) {
	t.Parallel()
	simulations := 150
	if testing.Short() {
		simulations = 20
	}
	violations := make([]string, simulations)
	var starts atomic.Int64
	runSeeds(simulations, func(seed int64) bool {
		sim := newCapacitySimulation(seed)
		sim.run(nil)
		starts.Add(int64(sim.startCount))
		violations[seed] = sim.allViolations()
		return true
	})
	for seed, found := range violations {
		if found != "" {
			t.Errorf("seed %d: %s", seed, found)
		}
	}
	t.Logf("%d simulations, %d starts", simulations, starts.Load())
}
