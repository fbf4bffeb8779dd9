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
const heartbeatInterval = 1500 * time.Millisecond

// registry is the platform's list as workers and planners meet it. Workers write their entries by
// heartbeats; an entry is removed once its worker has left, or after three heartbeats of silence;
// planners read it late.
type registry struct {
	entries map[string]registryEntry
	// beats is when each worker writes next, cut until when it does not reach the store.
	nextHeartbeat, unreachableUntil map[string]time.Time
	// down is until when the store is down for all.
	downUntil time.Time
	// history is what the store has had since it was read last, oldest first.
	history []snapshot
	// lag is by how much it is read late.
	readLag time.Duration
	// unread tells that it can't be read, gaps counts the times at which it could be again.
	unreadable bool
	gaps       int
	// drops has the store lose all entries when it goes down.
	losesEntries bool
	// readAt is when each entry was first read as it is.
	firstReadings map[string]clockReading
}

// registered is an entry, written at a time.
type registryEntry struct {
	control.Listing
	writtenAt time.Time
}

type snapshot struct {
	at   time.Time
	list []control.Listing
}

// firstReading is what the worker's clock showed when an entry that shows written was read.
type clockReading struct{ writtenMS, readAtMS int64 }

func newRegistry() *registry {
	return &registry{
		entries: map[string]registryEntry{}, nextHeartbeat: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
		history: []snapshot{{}}, firstReadings: map[string]clockReading{},
	}
}

// keepRegistry lets entries be written, expire, and be read.
func (sim *simulation) updateRegistry() {
	r := sim.registry
	if r == nil {
		return
	}
	changed := r.expire(sim.now)
	if !sim.now.Before(r.downUntil) {
		changed = sim.writeEntries() || changed
	}
	if changed {
		r.record(sim.now)
	}
	r.read(sim.now)
}

// expire removes entries whose workers were silent for three heartbeats; so it does while the
// store is down.
func (r *registry) expire(now time.Time) bool {
	before := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, e registryEntry) bool { return now.Sub(e.writtenAt) >= entryLifetime })
	return len(r.entries) < before
}

// beat writes the entries that are due.
func (sim *simulation) writeEntries() bool {
	changed := false
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if sim.fleet.Workers[id].Dead || sim.now.Before(sim.registry.nextHeartbeat[id]) || sim.now.Before(sim.registry.unreachableUntil[id]) {
			continue
		}
		sim.registry.entries[id] = registryEntry{sim.listing(id), sim.now}
		sim.registry.nextHeartbeat[id] = sim.now.Add(heartbeatInterval * time.Duration(90+sim.rng.Intn(21)) / 100)
		changed = true
	}
	return changed
}

// racks are those of workers with an even and an odd number.
var racks = []string{"r0", "r1"}

func (sim *simulation) listing(id string) control.Listing {
	worker := sim.fleet.Workers[id]
	sent := time.Duration(sim.rng.Intn(300)) * time.Millisecond
	return control.Listing{
		ID: id, Address: id, Rack: racks[id[len(id)-1]%2], Capacity: worker.Capacity, Born: worker.Born,
		ClockMS: worker.ClockMS(sim.now.Add(-sent)), Draining: sim.drainRemainingMS[id] > 0, RemainingMS: sim.drainRemainingMS[id],
	}
}

func (r *registry) record(now time.Time) {
	v := snapshot{at: now}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		v.list = append(v.list, r.entries[id].Listing)
	}
	r.history = append(r.history, v)
}

// read moves on to what planners can have read by now.
func (r *registry) read(now time.Time) {
	if now.Before(r.downUntil) {
		return
	}
	if r.unreadable {
		r.unreadable = false
		r.gaps++
	}
	for len(r.history) > 1 && !r.history[1].at.After(now.Add(-r.readLag)) {
		r.history = r.history[1:]
	}
}

// takeList has a planner take over what it can have read of the list.
func (sim *simulation) updateList(p *planner) {
	if sim.registry == nil {
		p.core.List(sim.listings(), sim.now)
		return
	}
	if p.seenGaps != sim.registry.gaps && !sim.mutant.hiddenGaps {
		p.seenGaps = sim.registry.gaps
		p.core.ListInterrupted(sim.now)
	}
	p.core.List(sim.registry.currentList(sim), sim.now)
}

// shown is the list as it was read last.
func (r *registry) currentList(w *simulation) []control.Listing {
	list := r.history[0].list
	if !w.mutant.datedByRead {
		return list
	}
	out := slices.Clone(list)
	for i, l := range out {
		if r.firstReadings[l.ID].writtenMS != l.ClockMS {
			r.firstReadings[l.ID] = clockReading{l.ClockMS, w.fleet.Workers[l.ID].ClockMS(w.now)}
		}
		out[i].ClockMS = r.firstReadings[l.ID].readAtMS
	}
	return out
}

// goDown takes the store down for a while.
func (sim *simulation) takeStoreDown(lasts time.Duration) {
	r := sim.registry
	r.downUntil = sim.now.Add(lasts)
	r.unreadable = true
	if r.losesEntries {
		clear(r.entries)
		r.record(sim.now)
	}
}

// seeGone holds what a planner says of a worker that has left against whether it lives.
func (sim *simulation) checkDeparture(n control.Note) {
	if n.Event != control.EventWorkerGone || n.Why != "worker-left" {
		return
	}
	sim.departures++
	if !sim.fleet.Workers[n.Worker].Dead {
		sim.violation("%s is taken for one that has left, and runs on", n.Worker)
	}
}

// cutOff keeps a worker from the store and from planners, each for a while.
func (sim *simulation) cutOff(id string, fromStore, fromPlanners time.Duration) {
	sim.registry.unreachableUntil[id] = sim.now.Add(fromStore)
	sim.unreachableUntil[id] = sim.now.Add(fromPlanners)
}

// leave ends a worker's life as planned: its entry goes at once, where it reaches the store.
func (sim *simulation) departAsPlanned(id string) {
	if sim.fleet.Workers[id].Dead {
		return
	}
	sim.crash(id)
	if r := sim.registry; !sim.now.Before(r.downUntil) && !sim.now.Before(r.unreachableUntil[id]) {
		delete(r.entries, id)
		r.record(sim.now)
	}
}

// crash ends a worker's life, and its entry expires; a new worker comes for it.
func (sim *simulation) crash(id string) {
	if sim.fleet.Workers[id].Dead {
		return
	}
	sim.fleet.Kill(id, sim.now)
	sim.schedule(500*time.Millisecond, sim.addWorker)
}

func (sim *simulation) addWorker() {
	sim.fleet.Add(fmt.Sprintf("w%02d", len(sim.fleet.Workers)), workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 1-0.02*sim.rng.Float64(), sim.now)
}

// calmRegistry ends all troubles of the list; workers that drain stay.
func (sim *simulation) clearRegistryFaults() {
	if sim.registry == nil {
		return
	}
	clear(sim.registry.unreachableUntil)
	sim.registry.downUntil, sim.registry.readLag = sim.now, 0
	clear(sim.drainRemainingMS)
}
