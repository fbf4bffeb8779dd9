package decide

import "sort"

// reserveRacks chooses the racks that are reserved: those with the least non-checkpointed work,
// until they could hold the accelerators that top-priority work is expected to need. Stopping
// non-checkpointed work throws it away, so that preemption loses nothing in racks without it. It
// returns the number of racks chosen.
func (p *planner) reserveRacks() int {
	nonCheckpointed := map[string]int64{}
	capacity := map[string]int64{}
	for _, w := range p.workers {
		nonCheckpointed[w.Rack] += w.NonCheckpointed
		capacity[w.Rack] += w.Capacity.Accelerators
	}
	racks := append([]string(nil), p.rackNames...)
	sort.SliceStable(racks, func(a, b int) bool { return nonCheckpointed[racks[a]] < nonCheckpointed[racks[b]] })
	if p.snapshot.Disabled[ReserveRacks] {
		return 0
	}
	count := 0
	available := int64(0)
	for _, rack := range racks {
		if available >= p.snapshot.Headroom {
			break
		}
		count++
		for _, w := range p.racks[rack] {
			w.reserved = true
		}
		available += capacity[rack] - nonCheckpointed[rack]
	}
	return count
}

// avoidsReserved reports whether the unit may not use reserved racks: this applies to work below
// the top priority that still has time and that would be in the way of top-priority work.
func (p *planner) avoidsReserved(u *Unit) bool {
	if u.Priority == 0 || !p.canWait(u) || !p.isInTime(u) {
		return false
	}
	return !u.Step.Checkpoint || p.keepsReservedIdle()
}

// minUrgentShare is the share of top-priority units that can't wait for a stop from which on
// reserved racks are closed to work that saves its progress, too. Below it such work is stopped
// for those few units, which costs a moment.
const minUrgentShare = 0.2

// keepsReservedIdle reports whether the reserved racks stay idle. This helps short top-priority
// work that arrives while the pool is full: a stop takes longer than the time that such work has,
// whereas it starts at once in a rack that was kept idle. If stops are quick or the work has time,
// idle racks would be wasted.
func (p *planner) keepsReservedIdle() bool {
	return !p.snapshot.Disabled[KeepReservedIdle] && p.snapshot.UrgentShare >= minUrgentShare
}
