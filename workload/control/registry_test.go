package control_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// worldHeartbeat is about how often a worker writes its entry.
const worldHeartbeat = 1500 * time.Millisecond

// registry is the platform's list as workers and planners meet it. Workers write their entries by
// heartbeats; an entry is removed once its worker has left, or after three heartbeats of silence;
// planners read it late.
type registry struct {
	entries map[string]registered
	// beats is when each worker writes next, cut until when it does not reach the store.
	beats, cut map[string]time.Time
	// down is until when the store is down for all.
	down time.Time
	// history is what the store has had since it was read last, oldest first.
	history []version
	// lag is by how much it is read late.
	lag time.Duration
	// unread tells that it can't be read, gaps counts the times at which it could be again.
	unread bool
	gaps   int
	// drops has the store lose all entries when it goes down.
	drops bool
	// readAt is when each entry was first read as it is.
	readAt map[string]firstReading
}

// registered is an entry, written at a time.
type registered struct {
	control.Listing
	at time.Time
}

type version struct {
	at   time.Time
	list []control.Listing
}

// firstReading is what the worker's clock showed when an entry that shows written was read.
type firstReading struct{ written, shown int64 }

func newRegistry() *registry {
	return &registry{
		entries: map[string]registered{}, beats: map[string]time.Time{}, cut: map[string]time.Time{},
		history: []version{{}}, readAt: map[string]firstReading{},
	}
}

// keepRegistry lets entries be written, expire, and be read.
func (w *world) keepRegistry() {
	r := w.registry
	if r == nil {
		return
	}
	changed := r.expire(w.now)
	if !w.now.Before(r.down) {
		changed = w.beat() || changed
	}
	if changed {
		r.record(w.now)
	}
	r.read(w.now)
}

// expire removes entries whose workers were silent for three heartbeats; so it does while the
// store is down.
func (r *registry) expire(now time.Time) bool {
	before := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, e registered) bool { return now.Sub(e.at) >= entryStays })
	return len(r.entries) < before
}

// beat writes the entries that are due.
func (w *world) beat() bool {
	changed := false
	for _, id := range sortedIDs(w.fleet.Workers) {
		if w.fleet.Workers[id].Dead || w.now.Before(w.registry.beats[id]) || w.now.Before(w.registry.cut[id]) {
			continue
		}
		w.registry.entries[id] = registered{w.listing(id), w.now}
		w.registry.beats[id] = w.now.Add(worldHeartbeat * time.Duration(90+w.rng.Intn(21)) / 100)
		changed = true
	}
	return changed
}

// racks are those of workers with an even and an odd number.
var racks = []string{"r0", "r1"}

func (w *world) listing(id string) control.Listing {
	worker := w.fleet.Workers[id]
	sent := time.Duration(w.rng.Intn(300)) * time.Millisecond
	return control.Listing{
		ID: id, Address: id, Rack: racks[id[len(id)-1]%2], Capacity: worker.Capacity, Born: worker.Born,
		ClockMS: worker.ClockMS(w.now.Add(-sent)), Draining: w.leaving[id] > 0, RemainingMS: w.leaving[id],
	}
}

func (r *registry) record(now time.Time) {
	v := version{at: now}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		v.list = append(v.list, r.entries[id].Listing)
	}
	r.history = append(r.history, v)
}

// read moves on to what planners can have read by now.
func (r *registry) read(now time.Time) {
	if now.Before(r.down) {
		return
	}
	if r.unread {
		r.unread = false
		r.gaps++
	}
	for len(r.history) > 1 && !r.history[1].at.After(now.Add(-r.lag)) {
		r.history = r.history[1:]
	}
}

// takeList has a planner take over what it can have read of the list.
func (w *world) takeList(s *seat) {
	if w.registry == nil {
		s.core.List(w.listings(), w.now)
		return
	}
	if s.gaps != w.registry.gaps && !w.mutant.untoldGaps {
		s.gaps = w.registry.gaps
		s.core.ListInterrupted(w.now)
	}
	s.core.List(w.registry.shown(w), w.now)
}

// shown is the list as it was read last.
func (r *registry) shown(w *world) []control.Listing {
	list := r.history[0].list
	if !w.mutant.datedByReading {
		return list
	}
	out := slices.Clone(list)
	for i, l := range out {
		if r.readAt[l.ID].written != l.ClockMS {
			r.readAt[l.ID] = firstReading{l.ClockMS, w.fleet.Workers[l.ID].ClockMS(w.now)}
		}
		out[i].ClockMS = r.readAt[l.ID].shown
	}
	return out
}

// goDown takes the store down for a while.
func (w *world) goDown(lasts time.Duration) {
	r := w.registry
	r.down = w.now.Add(lasts)
	r.unread = true
	if r.drops {
		clear(r.entries)
		r.record(w.now)
	}
}

// seeGone holds what a planner says of a worker that has left against whether it lives.
func (w *world) seeGone(n control.Note) {
	if n.Event != control.EventWorkerGone || n.Why != "worker-left" {
		return
	}
	w.left++
	if !w.fleet.Workers[n.Worker].Dead {
		w.problem("%s is taken for one that has left, and runs on", n.Worker)
	}
}

// cutOff keeps a worker from the store and from planners, each for a while.
func (w *world) cutOff(id string, fromStore, fromPlanners time.Duration) {
	w.registry.cut[id] = w.now.Add(fromStore)
	w.cut[id] = w.now.Add(fromPlanners)
}

// leave ends a worker's life as planned: its entry goes at once, where it reaches the store.
func (w *world) leave(id string) {
	if w.fleet.Workers[id].Dead {
		return
	}
	w.crash(id)
	if r := w.registry; !w.now.Before(r.down) && !w.now.Before(r.cut[id]) {
		delete(r.entries, id)
		r.record(w.now)
	}
}

// crash ends a worker's life, and its entry expires; a new worker comes for it.
func (w *world) crash(id string) {
	if w.fleet.Workers[id].Dead {
		return
	}
	w.fleet.Kill(id, w.now)
	w.later(500*time.Millisecond, w.addWorker)
}

func (w *world) addWorker() {
	w.fleet.Add(fmt.Sprintf("w%02d", len(w.fleet.Workers)), workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 1-0.02*w.rng.Float64(), w.now)
}

// calmRegistry ends all troubles of the list; workers that drain stay.
func (w *world) calmRegistry() {
	if w.registry == nil {
		return
	}
	clear(w.registry.cut)
	w.registry.down, w.registry.lag = w.now, 0
	clear(w.leaving)
}
