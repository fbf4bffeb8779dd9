package decide

import (
	"sort"

	"github.com/cobalttide/cobalttide/workload"
)

// accepts tells whether the unit's constraints allow the worker at all.
func (u *Unit) accepts(w *slot) bool {
	if w.Service != u.Service || !w.mayShare(u) {
		return false
	}
	if u.Step.Label != "" && !w.Labels[u.Step.Label] {
		return false
	}
	if u.Allowed != nil && !u.Allowed[w.ID] {
		return false
	}
	return len(u.Avoid) == 0 || !u.Avoid[w.ID]
}

// fit returns how many more of the unit's tasks go on the worker, given what
// would be free there.
func (p *planner) fit(u *Unit, w *slot, free workload.Resources, limit int) int {
	if (w.kept && p.keptOff) || !u.accepts(w) {
		return 0
	}
	if u.Step.Spread > 0 {
		limit = min(limit, u.Step.Spread-u.Beside[w.ID])
	}
	if limit <= 0 {
		return 0
	}
	return free.Count(u.Step.Counted(), limit)
}

// room selects which capacity is looked at.
type room int

const (
	// isFree is what nothing holds.
	isFree room = iota
	// beingFreed is that, and what has been told to stop.
	beingFreed
	// sought is that, and what the search under way would stop.
	sought
	// empty is all that a worker has.
	empty
)

// of is a worker's room.
func (r room) of(w *slot) workload.Resources {
	switch r {
	case isFree:
		return w.free
	case empty:
		return w.Capacity
	}
	out := w.free.Add(w.coming)
	if r == sought && w.site != nil {
		out = out.Add(w.site.freed)
	}
	return out
}

// placeSingles starts as many of the unit's tasks as fit, near their data
// first, each on the worker that it fills best.
func (p *planner) placeSingles(i int, u *Unit) {
	rest := u.Indexes
	shape := p.shapeOf(u, anyPace)
	if u.Step.DataRack != "" {
		rest = p.fillByPace(i, u, rest, p.rackAt(u.Step.DataRack), false)
		if len(rest) > 0 && p.waitsForData(u) {
			p.hold(i, NoRack)
			return
		}
	}
	if p.free.of(shape).all > 0 {
		rest = p.fillByPace(i, u, rest, p.poolAt, u.Step.DataRack != "")
	}
	if len(rest) == 0 {
		return
	}
	if u.plain() {
		p.free.lower(shape, 1)
	}
	if u.Priority == 0 && p.clearFor(u, rest) {
		p.hold(i, WaitsForStop)
		return
	}
	p.hold(i, NoRoom)
}

// clearFor keeps room that is being freed for the tasks of a unit that have
// found none, or has it freed.
func (p *planner) clearFor(u *Unit, rest []int) bool {
	part := *u
	part.Indexes = rest
	return p.reserveGang(&part, beingFreed) || p.preempt(&part)
}

// waitsForData tells whether a task does better to wait for the rack of its
// data than to run elsewhere at once: while it can still be in time there and
// the rack has workers that could run it.
func (p *planner) waitsForData(u *Unit) bool {
	if !p.waitsNear(u) {
		return false
	}
	for _, w := range p.racks[u.Step.DataRack] {
		if p.fit(u, w, w.Capacity, 1) > 0 {
			return true
		}
	}
	return false
}

// fillByPace fills the workers of each pace in the unit's order.
func (p *planner) fillByPace(i int, u *Unit, rest []int, at func(pace) []*slot, far bool) []int {
	for _, each := range p.paces(u) {
		if len(rest) > 0 {
			rest = p.fill(i, u, rest, at(each), far)
		}
	}
	return rest
}

// fill starts tasks on the workers given, each on the one that has the least left,
// and returns the tasks that are left. A worker that was given a task has less
// left than before, so that it is filled before the next one is looked at.
func (p *planner) fill(i int, u *Unit, rest []int, workers []*slot, far bool) []int {
	need := u.Step.Counted()
	for _, m := range p.fits(u, workers, isFree, len(rest)) {
		for range min(m.count, len(rest)) {
			m.w.take(need)
			if u.Step.Spread > 0 {
				u.put(m.w.ID)
			}
			p.start(i, rest[0], m.w, far && m.w.Rack != u.Step.DataRack)
			rest = rest[1:]
		}
	}
	return rest
}

// put counts one more task of the unit on a worker.
func (u *Unit) put(worker string) {
	if u.Beside == nil {
		u.Beside = map[string]int{}
	}
	u.Beside[worker]++
}

// tighter orders workers: those with less left come first, so that large blocks
// stay whole.
func tighter(a, b *slot) bool {
	if a.free.Accelerators != b.free.Accelerators {
		return a.free.Accelerators < b.free.Accelerators
	}
	return a.free.MilliCPU < b.free.MilliCPU
}

// member is where one task of a gang goes.
type member struct {
	w     *slot
	count int
}

// placeGang starts the whole gang or nothing of it.
func (p *planner) placeGang(i int, u *Unit) {
	if p.startGang(i, u, isFree) {
		return
	}
	if p.reserveGang(u, beingFreed) {
		p.hold(i, WaitsForStop)
		return
	}
	if p.preempt(u) {
		p.hold(i, WaitsForStop)
		return
	}
	p.hold(i, NoRoom)
}

func (p *planner) startGang(i int, u *Unit, r room) bool {
	members, far := p.findGang(u, r)
	if members == nil {
		return false
	}
	next := 0
	for _, m := range members {
		for range m.count {
			m.w.take(u.Step.Counted())
			p.start(i, u.Indexes[next], m.w, far)
			next++
		}
	}
	return true
}

func (p *planner) reserveGang(u *Unit, r room) bool {
	members, _ := p.findGang(u, r)
	if members == nil {
		return false
	}
	p.reserve(u, members)
	return true
}

func (p *planner) reserve(u *Unit, members []member) {
	for _, m := range members {
		for range m.count {
			m.w.take(u.Step.Counted())
		}
	}
}

// findGang looks for room for the whole gang: in the rack of its data, in one
// rack, and over racks where that does no harm or waiting costs more. In each it
// looks at workers of one pace first.
func (p *planner) findGang(u *Unit, r room) (members []member, far bool) {
	n := len(u.Indexes)
	if u.Step.DataRack != "" {
		at := p.rackAt(u.Step.DataRack)
		for _, each := range p.paces(u) {
			if members = p.gather(u, at(each), n, r); members != nil {
				return members, false
			}
		}
	}
	if u.Step.SameRack {
		for _, each := range p.paces(u) {
			if members = p.anyRack(u, n, r, each); members != nil {
				return members, u.Step.DataRack != ""
			}
		}
	}
	if (u.Step.SameRack || u.Step.DataRack != "") && p.waitsForRack(u, n) {
		return nil, false
	}
	for _, each := range p.paces(u) {
		if members = p.anywhere(u, n, r, each); members != nil {
			return members, u.Step.SameRack || u.Step.DataRack != ""
		}
	}
	return nil, false
}

// anyRack is oneRack where that is worth a look.
func (p *planner) anyRack(u *Unit, n int, r room, at pace) []member {
	known, shape := p.bounds(r), p.shapeOf(u, at)
	if known.of(shape).rack < n {
		return nil
	}
	members := p.oneRack(u, n, r, at)
	if members == nil && u.plain() {
		known.lowerRack(shape, n)
	}
	return members
}

// anywhere is gather over all workers of a pace, where that is worth a look.
func (p *planner) anywhere(u *Unit, n int, r room, at pace) []member {
	known, shape := p.bounds(r), p.shapeOf(u, at)
	if known.of(shape).all < n {
		return nil
	}
	members := p.gather(u, p.poolAt(at), n, r)
	if members == nil && u.plain() {
		known.lower(shape, n)
	}
	return members
}

// oneRack returns room in the rack that has the least to spare.
func (p *planner) oneRack(u *Unit, n int, r room, at pace) []member {
	var best []member
	bestSpare := 0
	for _, rack := range p.rackList {
		workers := p.rackAt(rack)(at)
		spare := p.count(u, workers, r, n+1000) - n
		if spare < 0 || (best != nil && spare >= bestSpare) {
			continue
		}
		if found := p.gather(u, workers, n, r); found != nil {
			best, bestSpare = found, spare
		}
	}
	return best
}

// count returns how many of n tasks fit on the workers, at the least; it stops
// once all do.
func (p *planner) count(u *Unit, workers []*slot, r room, n int) int {
	total := 0
	for _, w := range workers {
		if total += p.fit(u, w, r.of(w), n); total >= n {
			break
		}
	}
	return total
}

// waitsForRack tells whether the gang could be in one rack if that were empty,
// and there is time to wait for it.
func (p *planner) waitsForRack(u *Unit, n int) bool {
	if !p.waitsNear(u) {
		return false
	}
	shape := p.shapeOf(u, anyPace)
	if p.empty.of(shape).rack < n {
		return false
	}
	for _, rack := range p.rackList {
		if p.count(u, p.racks[rack], empty, n) >= n {
			return true
		}
	}
	if u.plain() {
		p.empty.lowerRack(shape, n)
	}
	return false
}

// gather finds room for n tasks on the workers, using first those that have
// the least room, so that large blocks stay whole; nil if there is none.
func (p *planner) gather(u *Unit, workers []*slot, n int, r room) []member {
	if p.count(u, workers, r, n) < n {
		return nil
	}
	return cut(p.fits(u, workers, r, n), n)
}

// fits returns the workers that have room for tasks of the unit, and for how many
// of n; those that have the least room come first.
func (p *planner) fits(u *Unit, workers []*slot, r room, n int) []member {
	var found []member
	for _, w := range workers {
		if k := p.fit(u, w, r.of(w), n); k > 0 {
			found = append(found, member{w, k})
		}
	}
	before := tighter
	if u.Suspect {
		before = calmer
	}
	sort.SliceStable(found, func(a, b int) bool { return before(found[a].w, found[b].w) })
	return found
}

func cut(found []member, n int) []member {
	for i := range found {
		if found[i].count >= n {
			found[i].count = n
			return found[:i+1]
		}
		n -= found[i].count
	}
	return found
}
