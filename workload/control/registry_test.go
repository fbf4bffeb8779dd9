package control_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// heartbeatInterval is about how often a worker writes its entry.
const heartbeatInterval = 1500 * time.Millisecond

// registry simulates the platform's worker list. Workers write their entries by heartbeats. An
// entry is removed once its worker has left, or after three missed heartbeats. Planners read the
// list late.
type registry struct {
	entries map[string]registryEntry
	// nextHeartbeat is when each worker writes next, unreachableUntil until when it can't reach
	// the store.
	nextHeartbeat, unreachableUntil map[string]time.Time
	// downUntil is until when the store is down for all.
	downUntil time.Time
	// history are the states of the store since the one that was read last, oldest first.
	history []snapshot
	// readLag is by how much it is read late.
	readLag time.Duration
	// unreadable is set while it can't be read, gaps counts how often it became readable again.
	unreadable bool
	gaps       int
	// losesEntries is set if the store loses all entries when it goes down.
	losesEntries bool
	// firstReadings are the first readings of each worker's newest entry.
	firstReadings map[string]clockReading
	// heldUp are heartbeats that a cut has held up.
	heldUp []heldUpHeartbeat
	// dataCentre is the data centre of all workers; "" is none.
	dataCentre string
	// lastSequence is the sequence number of the last entry of any worker.
	lastSequence int64
}

// heldUpHeartbeat is a heartbeat that arrives after the cut that has held it up, also if its sender
// has ended.
type heldUpHeartbeat struct {
	arrivesAt time.Time
	listing   control.Listing
}

// registryEntry is a worker's entry and when it was written.
type registryEntry struct {
	control.Listing
	writtenAt time.Time
}

// snapshot is the state of the store from a time on.
type snapshot struct {
	at   time.Time
	list []control.Listing
}

// clockReading is the worker's clock as an entry shows it, and when the entry was first read.
type clockReading struct{ writtenMS, readAtMS int64 }

func newRegistry() *registry {
	return &registry{
		entries: map[string]registryEntry{}, nextHeartbeat: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
		history: []snapshot{{}}, firstReadings: map[string]clockReading{},
	}
}

// updateRegistry expires, writes and reads entries.
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

// expire removes entries whose workers have missed three heartbeats, also while the store is down.
func (r *registry) expire(now time.Time) bool {
	before := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, e registryEntry) bool { return now.Sub(e.writtenAt) >= entryLifetime })
	return len(r.entries) < before
}

// writeEntries writes the entries that are due.
func (sim *simulation) writeEntries() bool {
	changed := sim.deliverHeldUp()
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if sim.fleet.Workers[id].Dead || sim.now.Before(sim.registry.nextHeartbeat[id]) {
			continue
		}
		if healsAt := sim.registry.unreachableUntil[id]; sim.now.Before(healsAt) {
			sim.holdUp(id, healsAt)
			continue
		}
		sim.registry.entries[id] = registryEntry{sim.listing(id), sim.now}
		sim.registry.nextHeartbeat[id] = sim.nextHeartbeatAt()
		changed = true
	}
	return changed
}

func (sim *simulation) nextHeartbeatAt() time.Time {
	return sim.now.Add(heartbeatInterval * time.Duration(90+sim.rng.Intn(21)) / 100)
}

// maxHoldUpMS is how long after a cut a heartbeat arrives at the latest that was sent before its end.
const maxHoldUpMS = 2000

// holdUp sends a heartbeat that a cut holds up. The worker writes its next entry when the cut ends.
func (sim *simulation) holdUp(id string, healsAt time.Time) {
	r := sim.registry
	r.heldUp = append(r.heldUp, heldUpHeartbeat{healsAt.Add(sim.randomDuration(0, maxHoldUpMS)), sim.listing(id)})
	r.nextHeartbeat[id] = healsAt
}

// deliverHeldUp writes the entries of the held-up heartbeats that arrive.
func (sim *simulation) deliverHeldUp() (changed bool) {
	r := sim.registry
	r.heldUp = slices.DeleteFunc(r.heldUp, func(h heldUpHeartbeat) bool {
		arrives := !sim.now.Before(h.arrivesAt)
		if arrives {
			r.entries[h.listing.ID] = registryEntry{h.listing, sim.now}
			changed = true
		}
		return arrives
	})
	return changed
}

// racks are the racks of workers with an even and an odd number.
var racks = []string{"r0", "r1"}

func (sim *simulation) listing(id string) control.Listing {
	worker := sim.fleet.Workers[id]
	sent := time.Duration(sim.rng.Intn(300)) * time.Millisecond
	sim.registry.lastSequence++
	address, rack := sim.crashes.location(id, racks[id[len(id)-1]%2])
	return control.Listing{
		ID: id, Address: address, Rack: rack, DataCentre: sim.registry.dataCentre, Capacity: worker.Capacity, Sequence: sim.registry.lastSequence, StartMS: worker.StartMS,
		ClockMS: worker.ClockMS(sim.now.Add(-sent)), Draining: sim.drainRemainingMS[id] > 0, RemainingMS: sim.drainRemainingMS[id],
	}
}

// record adds the current entries to the history.
func (r *registry) record(now time.Time) {
	state := snapshot{at: now}
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		state.list = append(state.list, r.entries[id].Listing)
	}
	r.history = append(r.history, state)
}

// read advances the history to the state that planners have read by now.
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

// updateList passes the list to a planner as it reads it now.
func (sim *simulation) updateList(p *planner) {
	if sim.registry == nil {
		p.core.SetWorkers(sim.listings(), sim.now)
		return
	}
	if p.seenGaps != sim.registry.gaps && !sim.mutant.hiddenGaps {
		p.seenGaps = sim.registry.gaps
		p.core.RecordListGap(sim.now)
	}
	list := sim.registry.currentList(sim)
	p.core.SetWorkers(list, sim.now)
	sim.mutant.endUnlisted(sim, p, list)
}

// currentList returns the list as it was last read.
func (r *registry) currentList(sim *simulation) []control.Listing {
	list := r.history[0].list
	if !sim.mutant.datedByRead {
		return list
	}
	out := slices.Clone(list)
	for i, l := range out {
		if r.firstReadings[l.ID].writtenMS != l.ClockMS {
			r.firstReadings[l.ID] = clockReading{l.ClockMS, sim.fleet.Workers[l.ID].ClockMS(sim.now)}
		}
		out[i].ClockMS = r.firstReadings[l.ID].readAtMS
	}
	return out
}

// takeStoreDown takes the store down for a while.
func (sim *simulation) takeStoreDown(duration time.Duration) {
	r := sim.registry
	r.downUntil = sim.now.Add(duration)
	r.unreadable = true
	if r.losesEntries {
		clear(r.entries)
		r.record(sim.now)
	}
}

// checkDeparture checks that a worker which a planner takes to have left or ended is not running.
func (sim *simulation) checkDeparture(n control.Event) {
	if n.Name != control.EventWorkerGone {
		return
	}
	if n.Reason == "worker-left" {
		sim.departures++
	}
	if !sim.fleet.Workers[n.Worker].Dead {
		sim.violation("%s is taken to have ended (%s), but is still running", n.Worker, n.Reason)
	}
}

// cutOff makes the store and the planners unreachable for a worker, each for a while.
func (sim *simulation) cutOff(id string, fromStore, fromPlanners time.Duration) {
	sim.registry.unreachableUntil[id] = sim.now.Add(fromStore)
	sim.unreachableUntil[id] = sim.now.Add(fromPlanners)
}

// departAsPlanned shuts a worker down as planned: its entry is removed at once if the store is
// reachable.
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

// crash ends a worker without removing its entry, which expires. A new worker replaces it.
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

// clearRegistryFaults ends all faults of the list, and all draining: those workers stay.
func (sim *simulation) clearRegistryFaults() {
	if sim.registry == nil {
		return
	}
	clear(sim.registry.unreachableUntil)
	sim.registry.downUntil, sim.registry.readLag = sim.now, 0
	clear(sim.drainRemainingMS)
}
