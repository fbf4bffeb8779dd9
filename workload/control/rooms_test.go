package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// rooms are what each worker of a world had, and when: a worker's capacity shrinks and grows
// while it runs, and its entry in the list shows it a little later.
type rooms struct {
	history map[string][]roomAt
	lag     time.Duration
}

type roomAt struct {
	at time.Time
	workload.Resources
}

// shownFor is how long a room that has shrunk may still be counted on.
const shownFor = 3*time.Second + 1500*time.Millisecond

// newRoomWorld has workers that start whatever they are told, and whose rooms change.
func newRoomWorld(seed int64) *world {
	w := newWorld(seed, true)
	w.rooms = rooms{history: map[string][]roomAt{}, lag: time.Duration(w.rng.Intn(1500)) * time.Millisecond}
	for id, one := range w.fleet.Workers {
		one.Unguarded = true
		w.rooms.history[id] = []roomAt{{w.now, one.Capacity}}
	}
	return w
}

// changeRooms lets a worker's room shrink or grow now and then.
func (w *world) changeRooms() {
	if w.rooms.history == nil || w.rng.Intn(15) > 0 {
		return
	}
	id := w.anyWorker()
	one := w.fleet.Workers[id]
	part := int64(w.rng.Intn(5))
	if len(w.rooms.history[id]) == 0 {
		w.rooms.history[id] = []roomAt{{time.Unix(0, 0), one.Capacity}}
	}
	one.Unguarded = true
	one.Capacity = workload.Resources{MilliCPU: 8000 * part, MemoryMiB: 16000 * part, Accelerators: 2 * part}
	w.rooms.history[id] = append(w.rooms.history[id], roomAt{w.now, one.Capacity})
}

// wholeRooms gives every worker all of its room again.
func (w *world) wholeRooms() {
	for id, history := range w.rooms.history {
		one := w.fleet.Workers[id]
		one.Capacity = workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
		w.rooms.history[id] = append(history, roomAt{w.now, one.Capacity})
	}
}

// logTakes is how long the log takes to answer a planner in a world of rooms.
func (w *world) logTakes() time.Duration {
	if w.writeMost > 0 {
		return time.Duration(w.rng.Int63n(int64(w.writeMost)))
	}
	if w.rooms.history == nil || !w.faulty || w.rng.Intn(4) > 0 {
		return 0
	}
	return time.Duration(w.rng.Intn(8000)) * time.Millisecond
}

// shown is the capacity that the list shows of a worker.
func (r *rooms) shown(id string, now workload.Resources, at time.Time) workload.Resources {
	shown := now
	for i, room := range r.history[id] {
		if i == 0 || !room.at.After(at.Add(-r.lag)) {
			shown = room.Resources
		}
	}
	return shown
}

// seeRoom checks a start against the rooms that it may count on.
func (w *world) seeRoom(e workertest.Event) {
	if w.rooms.history == nil {
		return
	}
	one := w.fleet.Workers[e.Worker]
	history := w.rooms.history[e.Worker]
	for i, room := range history {
		over := i+1 < len(history) && history[i+1].at.Before(w.now.Add(-shownFor))
		if !over && one.Held().Fits(room.Resources) {
			return
		}
	}
	if len(history) > 0 && !w.late[e.Worker+e.Task.String()] {
		w.problem("%v run %d begins on %s, which has %v and holds %v", e.Task, e.Run, e.Worker, one.Capacity, one.Held())
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
		w := newRoomWorld(int64(seed))
		w.playAll(nil)
		starts += w.starts
		if len(w.problems) > 0 {
			t.Errorf("seed %d: %v", seed, w.problems)
		}
	}
	t.Logf("%d worlds, %d starts", worlds, starts)
}
