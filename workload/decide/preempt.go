package decide

import "time"

// preempt chooses the groups whose stop makes room for the unit at the least work lost, marks them
// as stopping and reserves their capacity for the unit. Only top-priority work may preempt; beyond
// its account's guarantee only while it is in time and does more work than it throws away.
func (p *planner) preempt(u *Unit) bool {
	if u.Priority > 0 || (!u.Guaranteed && u.lateness(p.snapshot.Now) != inTime) {
		return false
	}
	if !u.Guaranteed && p.snapshot.Disabled[StopBeyondGuarantee] {
		return false
	}
	victims := p.findVictims(u, hasLowerPriority)
	if victims == nil && u.Guaranteed {
		// Work of the same priority has the same value, so it is stopped last.
		victims = p.findVictims(u, isBorrower)
	}
	if victims == nil || (!u.Guaranteed && victims.lost > u.totalWork()) {
		return false
	}
	for _, group := range victims.groups {
		p.stop(group)
	}
	p.reserve(u, victims.placements)
	return true
}

// stopOverhead is the time for a decision, its delivery and the report of the end.
const stopOverhead = 300 * time.Millisecond

// minStopOverhead is the least that a stop takes beyond its timeout: a decision and the delivery
// of the order. With all of stopOverhead, a quarter of the units would count as urgent merely for
// their short estimates where a stop takes a fifth of a second.
const minStopOverhead = 100 * time.Millisecond

// IsUrgent reports whether a unit with this much time left to start can't wait for a stop.
func IsUrgent(slack, stopTimeout time.Duration) bool { return slack < stopTimeout+minStopOverhead }

// totalWork is all the work of the unit, in core-seconds. Beyond a guarantee no more work than
// that is thrown away for it.
func (u *Unit) totalWork() float64 {
	return u.RunTime.Seconds() * u.Step.Need.CoreEquivalent() * float64(len(u.Indexes))
}

type victimSet struct {
	groups     []int
	lost       float64
	placements []placement
}

// victimFilter reports whether a group may be stopped for a unit.
type victimFilter func(u *Unit, g *Group) bool

// hasLowerPriority allows groups of a lower priority that are not guaranteed.
func hasLowerPriority(u *Unit, g *Group) bool { return !g.Guaranteed && g.Priority > u.Priority }

// isBorrower allows all groups of the same or a lower priority that are not guaranteed.
func isBorrower(u *Unit, g *Group) bool { return !g.Guaranteed && g.Priority >= u.Priority }

// findVictims tries each rack if the unit is a gang that wants one, then all workers, each time in
// the unit's class order.
func (p *planner) findVictims(u *Unit, canStop victimFilter) *victimSet {
	if u.Step.SameRack {
		for _, class := range p.classOrder(u) {
			if victims := p.findVictimsInOneRack(u, canStop, class); victims != nil {
				return victims
			}
		}
	}
	for _, class := range p.classOrder(u) {
		if victims := p.victimsOn(u, p.workersIn(class), canStop); victims != nil {
			return victims
		}
	}
	return nil
}

func (p *planner) findVictimsInOneRack(u *Unit, canStop victimFilter, class speedClass) *victimSet {
	var best *victimSet
	for _, rack := range p.rackNames {
		best = cheaper(best, p.victimsOn(u, p.rackWorkersIn(rack)(class), canStop))
	}
	return best
}

func cheaper(a, b *victimSet) *victimSet {
	if a == nil || (b != nil && b.lost < a.lost) {
		return b
	}
	return a
}

func (p *planner) stop(group int) {
	p.stopped[group] = true
	p.plan.Stops = append(p.plan.Stops, group)
	for _, alloc := range p.groups.workersOf(group) {
		alloc.w.freeing = alloc.w.freeing.Add(alloc.Resources)
	}
	clear(p.freeingLimits)
}
