package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// rooms are what each worker of a world had, and when: a worker's capacity shrinks and grows
// while it runs, and its entry in the list shows it a little later.
type capacityModel struct {
	history map[string][]capacityAt
	readLag time.Duration
}

type capacityAt struct {
	at time.Time
	workload.Resources
}

// shownFor is how long a room that has shrunk may still be counted on.
const staleCapacityLimit = 3*time.Second + 1500*time.Millisecond

// newRoomWorld has workers that start whatever they are told, and whose rooms change.
func newCapacitySimulation(seed int64) *simulation {
	sim := newSimulation(seed, true)
	sim.capacities = capacityModel{history: map[string][]capacityAt{}, readLag: time.Duration(sim.rng.Intn(1500)) * time.Millisecond}
	for id, one := range sim.fleet.Workers {
		one.Unguarded = true
		sim.capacities.history[id] = []capacityAt{{sim.now, one.Capacity}}
	}
	return sim
}

// changeRooms lets a worker's room shrink or grow now and then.
func (sim *simulation) changeCapacity() {
	if sim.capacities.history == nil || sim.rng.Intn(15) > 0 {
		return
	}
	id := sim.randomWorker()
	one := sim.fleet.Workers[id]
	part := int64(sim.rng.Intn(5))
	if len(sim.capacities.history[id]) == 0 {
		sim.capacities.history[id] = []capacityAt{{time.Unix(0, 0), one.Capacity}}
	}
	one.Unguarded = true
	one.Capacity = workload.Resources{MilliCPU: 8000 * part, MemoryMiB: 16000 * part, Accelerators: 2 * part}
	sim.capacities.history[id] = append(sim.capacities.history[id], capacityAt{sim.now, one.Capacity})
}

// wholeRooms gives every worker all of its room again.
func (sim *simulation) restoreCapacities() {
	for id, history := range sim.capacities.history {
		one := sim.fleet.Workers[id]
		one.Capacity = workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
		sim.capacities.history[id] = append(history, capacityAt{sim.now, one.Capacity})
	}
}

// logTakes is how long the log takes to answer a planner in a world of rooms.
func (sim *simulation) logWriteTime() time.Duration {
	if sim.maxWriteTime > 0 {
		return time.Duration(sim.rng.Int63n(int64(sim.maxWriteTime)))
	}
	if sim.capacities.history == nil || !sim.faulty || sim.rng.Intn(4) > 0 {
		return 0
	}
	return time.Duration(sim.rng.Intn(8000)) * time.Millisecond
}

// shown is the capacity that the list shows of a worker.
func (m *capacityModel) listed(id string, now workload.Resources, at time.Time) workload.Resources {
	shown := now
	for i, room := range m.history[id] {
		if i == 0 || !room.at.After(at.Add(-m.readLag)) {
			shown = room.Resources
		}
	}
	return shown
}

// seeRoom checks a start against the rooms that it may count on.
func (sim *simulation) checkCapacity(e workertest.Event) {
	if sim.capacities.history == nil {
		return
	}
	one := sim.fleet.Workers[e.Worker]
	history := sim.capacities.history[e.Worker]
	for i, room := range history {
		over := i+1 < len(history) && history[i+1].at.Before(sim.now.Add(-staleCapacityLimit))
		if !over && one.Held().Fits(room.Resources) {
			return
		}
	}
	if len(history) > 0 && !sim.delayedStarts[e.Worker+e.Task.String()] {
		sim.violation("%v run %d begins on %s, which has %v and holds %v", e.Task, e.Run, e.Worker, one.Capacity, one.Held())
	}
}

// A worker that does not guard its room is not brought over it by a start, whatever it had
// before. An order that is repeated until it has an answer may be what begins a run long after
// it was decided; and a decision may wait for its record while a room shrinks.
func TestNothingStartsBeyondARoomThatHasShrunk(t *testing.T) {
	worlds := 150
	if testing.Short() {
		worlds = 20
	}
	starts := 0
	for seed := range worlds {
		w := newCapacitySimulation(int64(seed))
		w.run(nil)
		starts += w.startCount
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations)
		}
	}
	t.Logf("%d worlds, %d starts", worlds, starts)
}
