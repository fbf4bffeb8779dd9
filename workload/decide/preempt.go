package decide

import (
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// preempt looks for the groups whose stop makes room for the unit at the least
// work lost, marks them as stopping and keeps the room for the unit. Work of
// the first priority may preempt; beyond its account's guarantee only while that
// is in time and worth it.
func (p *planner) preempt(u *Unit) bool {
	if u.Priority > 0 || (!u.Guaranteed && u.lateness(p.s.Now) != inTime) {
		return false
	}
	if p.waitForEnds(u) {
		return true
	}
	best := p.victimsAnywhere(u, behind)
	if best == nil && u.Guaranteed {
		// Work of the same priority earns as much: it is stopped last.
		best = p.victimsAnywhere(u, borrowed)
	}
	if best == nil || (!u.Guaranteed && best.lost > u.work()) {
		return false
	}
	for _, v := range best.victims {
		p.stop(v)
	}
	p.reserve(u, best.members)
	return true
}

// stopMargin is what a decision, its way and an end's way back take.
const stopMargin = 300 * time.Millisecond

// waitForEnds keeps room for the unit where groups are about to end by
// themselves, as soon as a stop would take effect, while there is time to stop
// others if they do not.
func (p *planner) waitForEnds(u *Unit) bool {
	until := u.LatestStart
	if u.Guaranteed {
		until = earlier(until, u.Since.Add(p.s.ReclaimWithin))
	}
	left := until.Sub(p.s.Now) - p.s.StopTimeout - stopMargin
	if left <= 0 {
		return false
	}
	left = min(left, p.s.StopTimeout+stopMargin)
	soon := map[string]workload.Resources{}
	for i := range p.s.Running {
		g := &p.s.Running[i]
		if g.Left > 0 && g.Left < left && !g.Stopping && !p.stopped[i] {
			p.shift(soon, i, 1)
		}
	}
	return p.reserveGang(u, func(w *slot) workload.Resources { return comingRoom(w).Add(soon[w.ID]) })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// work is what the unit does in all, in core-seconds. Beyond a guarantee no more
// work is thrown away than that.
func (u *Unit) work() float64 {
	return u.Run.Seconds() * u.Step.Need.CoreEquivalent() * float64(len(u.Indexes))
}

type choice struct {
	victims []int
	lost    float64
	members []member
}

// victim tells whether a unit may stop a group.
type victim func(u *Unit, g *Group) bool

// behind are the groups of a later priority.
func behind(u *Unit, g *Group) bool { return !g.Guaranteed && g.Priority > u.Priority }

// borrowed are all groups that are not guaranteed.
func borrowed(u *Unit, g *Group) bool { return !g.Guaranteed && g.Priority >= u.Priority }

// victimsAnywhere tries each rack for a gang that wants one, then all workers.
func (p *planner) victimsAnywhere(u *Unit, may victim) *choice {
	var best *choice
	if u.Step.SameRack {
		for _, rack := range p.rackList {
			best = cheaper(best, p.victims(u, p.racks[rack], may))
		}
		if best != nil {
			return best
		}
	}
	return p.victims(u, p.workers, may)
}

func cheaper(a, b *choice) *choice {
	if a == nil || (b != nil && b.lost < a.lost) {
		return b
	}
	return a
}

// victims frees groups on the workers in the order of the work lost until the
// unit fits, then takes back those that were not needed.
func (p *planner) victims(u *Unit, workers []*slot, may victim) *choice {
	n := len(u.Indexes)
	freed := map[string]workload.Resources{}
	r := func(w *slot) workload.Resources { return w.free.Add(w.coming).Add(freed[w.ID]) }
	var chosen []int
	for _, g := range p.candidates(u, workers, may) {
		p.shift(freed, g, 1)
		chosen = append(chosen, g)
		if p.gather(u, workers, n, r) != nil {
			break
		}
	}
	if p.gather(u, workers, n, r) == nil {
		return nil
	}
	var kept []int
	for i := len(chosen) - 1; i >= 0; i-- {
		p.shift(freed, chosen[i], -1)
		if p.gather(u, workers, n, r) == nil {
			p.shift(freed, chosen[i], 1)
			kept = append(kept, chosen[i])
		}
	}
	out := &choice{victims: kept, members: p.gather(u, workers, n, r)}
	for _, g := range kept {
		out.lost += p.s.Running[g].Lost
	}
	return out
}

func (p *planner) shift(freed map[string]workload.Resources, group int, sign int) {
	for id, held := range p.s.Running[group].Held {
		if sign > 0 {
			freed[id] = freed[id].Add(held)
		} else {
			freed[id] = freed[id].Sub(held)
		}
	}
}

// candidates are the groups on the workers that the unit may stop, those that
// lose the least work for what they free first.
func (p *planner) candidates(u *Unit, workers []*slot, may victim) []int {
	here := map[string]bool{}
	for _, w := range workers {
		if u.accepts(w) {
			here[w.ID] = true
		}
	}
	var out []int
	for i := range p.s.Running {
		g := &p.s.Running[i]
		if g.Stopping || p.stopped[i] || g.Fixed || !may(u, g) {
			continue
		}
		if onAny(g, here) {
			out = append(out, i)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		return p.lostPerAccelerator(out[a], here) < p.lostPerAccelerator(out[b], here)
	})
	return out
}

func onAny(g *Group, here map[string]bool) bool {
	for id := range g.Held {
		if here[id] {
			return true
		}
	}
	return false
}

func (p *planner) lostPerAccelerator(group int, here map[string]bool) float64 {
	g := &p.s.Running[group]
	freed := 0.01
	for id, held := range g.Held {
		if here[id] {
			freed += float64(held.Accelerators)
		}
	}
	return g.Lost / freed
}

func (p *planner) stop(group int) {
	p.stopped[group] = true
	p.plan.Stops = append(p.plan.Stops, group)
	for _, w := range p.workers {
		if held, ok := p.s.Running[group].Held[w.ID]; ok {
			w.coming = w.coming.Add(held)
		}
	}
}
