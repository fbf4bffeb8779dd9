package decide

import (
	"sort"

	"github.com/cobalttide/cobalttide/workload"
)

// accepts reports whether the unit's constraints allow the worker, whatever its free capacity.
func (u *Unit) accepts(w *workerState) bool {
	if w.Service != u.Service || !w.isolationAllows(u) {
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

// fitCount returns how many more of the unit's tasks fit on the worker, given the free capacity
// there, up to limit.
func (p *planner) fitCount(u *Unit, w *workerState, free workload.Resources, limit int) int {
	if (w.reserved && p.skipsReserved) || !u.accepts(w) {
		return 0
	}
	if u.Step.PerWorker > 0 {
		limit = min(limit, u.Step.PerWorker-u.Placed[w.ID])
	}
	if limit <= 0 {
		return 0
	}
	return free.Count(u.Step.CapacityNeed(), limit)
}

// capacityKind selects the capacity that is considered.
type capacityKind int

const (
	// freeCapacity is what no task holds.
	freeCapacity capacityKind = iota
	// freeingCapacity is free capacity plus that of tasks ordered to stop.
	freeingCapacity
	// searchedCapacity is that plus what the current victim search would free.
	searchedCapacity
	// totalCapacity is all that a worker has.
	totalCapacity
)

// on returns the worker's capacity of this kind.
func (kind capacityKind) on(w *workerState) workload.Resources {
	switch kind {
	case freeCapacity:
		return w.free
	case totalCapacity:
		return w.Capacity
	}
	capacity := w.free.Add(w.freeing)
	if kind == searchedCapacity && w.candidate != nil {
		capacity = capacity.Add(w.candidate.freed)
	}
	return capacity
}

// placeSingles starts as many of the unit's tasks as fit, near their data first, each on the
// worker with the least free capacity.
func (p *planner) placeSingles(i int, u *Unit) {
	remaining := u.Indexes
	shape := p.shapeOf(u, anySpeed)
	if u.Step.DataRack != "" {
		remaining = p.fillByClass(i, u, remaining, p.rackWorkersIn(u.Step.DataRack), false)
		if len(remaining) > 0 && p.waitsForData(u) {
			p.deferUnit(i, NoRack)
			return
		}
	}
	if p.freeLimits.get(shape).total > 0 {
		remaining = p.fillByClass(i, u, remaining, p.workersIn, u.Step.DataRack != "")
	}
	if len(remaining) == 0 {
		return
	}
	if u.isUnconstrained() {
		p.freeLimits.lowerTotal(shape, 1)
	}
	if u.Priority == 0 && p.reserveOrPreempt(u, remaining) {
		p.deferUnit(i, WaitsForStop)
		return
	}
	p.deferUnit(i, NoCapacity)
}

// reserveOrPreempt reserves capacity that is being freed for the remaining tasks of a unit, or
// preempts others for them.
func (p *planner) reserveOrPreempt(u *Unit, remaining []int) bool {
	partial := *u
	partial.Indexes = remaining
	return p.reserveGang(&partial, freeingCapacity) || p.preempt(&partial)
}

// waitsForData reports whether a task waits for the rack of its data rather than run elsewhere at
// once: while it is worth waiting and the rack has workers that could run it.
func (p *planner) waitsForData(u *Unit) bool {
	if !p.waitsForLocality(u) {
		return false
	}
	for _, w := range p.racks[u.Step.DataRack] {
		if p.fitCount(u, w, w.Capacity, 1) > 0 {
			return true
		}
	}
	return false
}

// fillByClass fills the workers of each speed class in the unit's class order.
func (p *planner) fillByClass(i int, u *Unit, remaining []int, workersIn func(speedClass) []*workerState, remote bool) []int {
	for _, class := range p.classOrder(u) {
		if len(remaining) > 0 {
			remaining = p.fill(i, u, remaining, workersIn(class), remote)
		}
	}
	return remaining
}

// fill starts tasks on the given workers, those with the least free capacity first, and returns
// the tasks that are left. A worker that got a task has even less free capacity, so it is filled
// before the next one is tried.
func (p *planner) fill(i int, u *Unit, remaining []int, workers []*workerState, remote bool) []int {
	need := u.Step.CapacityNeed()
	for _, m := range p.fittingWorkers(u, workers, freeCapacity, len(remaining)) {
		for range min(m.count, len(remaining)) {
			m.w.allocate(need)
			if u.Step.PerWorker > 0 {
				u.countPlaced(m.w.ID)
			}
			p.assign(i, remaining[0], m.w, remote && m.w.Rack != u.Step.DataRack)
			remaining = remaining[1:]
		}
	}
	return remaining
}

// countPlaced counts one more task of the unit on a worker.
func (u *Unit) countPlaced(worker string) {
	if u.Placed == nil {
		u.Placed = map[string]int{}
	}
	u.Placed[worker]++
}

// hasLessFree orders workers by free capacity, least first, so that large blocks stay whole.
func hasLessFree(a, b *workerState) bool {
	if a.free.Accelerators != b.free.Accelerators {
		return a.free.Accelerators < b.free.Accelerators
	}
	return a.free.MilliCPU < b.free.MilliCPU
}

// placement is a number of tasks of a unit on one worker.
type placement struct {
	w     *workerState
	count int
}

// placeGang starts the whole gang or none of it.
func (p *planner) placeGang(i int, u *Unit) {
	if p.startGang(i, u, freeCapacity) {
		return
	}
	if p.reserveGang(u, freeingCapacity) {
		p.deferUnit(i, WaitsForStop)
		return
	}
	if p.preempt(u) {
		p.deferUnit(i, WaitsForStop)
		return
	}
	p.deferUnit(i, NoCapacity)
}

func (p *planner) startGang(i int, u *Unit, kind capacityKind) bool {
	placements, remote := p.findGang(u, kind)
	if placements == nil {
		return false
	}
	next := 0
	for _, m := range placements {
		for range m.count {
			m.w.allocate(u.Step.CapacityNeed())
			p.assign(i, u.Indexes[next], m.w, remote)
			next++
		}
	}
	return true
}

func (p *planner) reserveGang(u *Unit, kind capacityKind) bool {
	placements, _ := p.findGang(u, kind)
	if placements == nil {
		return false
	}
	p.reserve(u, placements)
	return true
}

func (p *planner) reserve(u *Unit, placements []placement) {
	for _, m := range placements {
		p.allocated += m.count
		for range m.count {
			m.w.allocate(u.Step.CapacityNeed())
		}
	}
}

// findGang looks for capacity for the whole gang: in the rack of its data, in any one rack, and
// across racks if that does no harm or waiting would cost more. In each case it tries one speed
// class after the other.
func (p *planner) findGang(u *Unit, kind capacityKind) (placements []placement, remote bool) {
	n := len(u.Indexes)
	if u.Step.DataRack != "" {
		workersIn := p.rackWorkersIn(u.Step.DataRack)
		for _, class := range p.classOrder(u) {
			if placements = p.findPlacements(u, workersIn(class), n, kind); placements != nil {
				return placements, false
			}
		}
	}
	if u.Step.SameRack {
		for _, class := range p.classOrder(u) {
			if placements = p.findInOneRack(u, n, kind, class); placements != nil {
				return placements, u.Step.DataRack != ""
			}
		}
	}
	if (u.Step.SameRack || u.Step.DataRack != "") && p.waitsForRack(u, n) {
		return nil, false
	}
	for _, class := range p.classOrder(u) {
		if placements = p.findAnywhere(u, n, kind, class); placements != nil {
			return placements, u.Step.SameRack || u.Step.DataRack != ""
		}
	}
	return nil, false
}

// findInOneRack is tightestRack, skipped if the gang is known not to fit.
func (p *planner) findInOneRack(u *Unit, n int, kind capacityKind, class speedClass) []placement {
	limits, shape := p.limits(kind), p.shapeOf(u, class)
	if limits.get(shape).perRack < n {
		return nil
	}
	placements := p.tightestRack(u, n, kind, class)
	if placements == nil && u.isUnconstrained() {
		limits.lowerPerRack(shape, n)
	}
	return placements
}

// findAnywhere is findPlacements over all workers of a speed class, skipped if the gang is known
// not to fit.
func (p *planner) findAnywhere(u *Unit, n int, kind capacityKind, class speedClass) []placement {
	limits, shape := p.limits(kind), p.shapeOf(u, class)
	if limits.get(shape).total < n {
		return nil
	}
	placements := p.findPlacements(u, p.workersIn(class), n, kind)
	if placements == nil && u.isUnconstrained() {
		limits.lowerTotal(shape, n)
	}
	return placements
}

// tightestRack returns placements in the rack that has the least capacity to spare.
func (p *planner) tightestRack(u *Unit, n int, kind capacityKind, class speedClass) []placement {
	var best []placement
	bestSpare := 0
	for _, rack := range p.rackNames {
		workers := p.rackWorkersIn(rack)(class)
		spare := p.countFits(u, workers, kind, n+1000) - n
		if spare < 0 || (best != nil && spare >= bestSpare) {
			continue
		}
		if found := p.findPlacements(u, workers, n, kind); found != nil {
			best, bestSpare = found, spare
		}
	}
	return best
}

// countFits returns how many of n tasks fit on the workers. It stops counting at n, so a result of
// n or more means at least that many.
func (p *planner) countFits(u *Unit, workers []*workerState, kind capacityKind, n int) int {
	total := 0
	for _, w := range workers {
		if total += p.fitCount(u, w, kind.on(w), n); total >= n {
			break
		}
	}
	return total
}

// waitsForRack reports whether the gang would fit into one empty rack and there is time to wait
// for one.
func (p *planner) waitsForRack(u *Unit, n int) bool {
	if !p.waitsForLocality(u) {
		return false
	}
	shape := p.shapeOf(u, anySpeed)
	if p.totalLimits.get(shape).perRack < n {
		return false
	}
	for _, rack := range p.rackNames {
		if p.countFits(u, p.racks[rack], totalCapacity, n) >= n {
			return true
		}
	}
	if u.isUnconstrained() {
		p.totalLimits.lowerPerRack(shape, n)
	}
	return false
}

// findPlacements finds capacity for n tasks on the workers, using those with the least free
// capacity first so that large blocks stay whole; nil if there is not enough.
func (p *planner) findPlacements(u *Unit, workers []*workerState, n int, kind capacityKind) []placement {
	if p.countFits(u, workers, kind, n) < n {
		return nil
	}
	return limitTo(p.fittingWorkers(u, workers, kind, n), n)
}

// fittingWorkers returns the workers on which tasks of the unit fit, with how many of n; the
// workers with the least free capacity come first, except for suspects.
func (p *planner) fittingWorkers(u *Unit, workers []*workerState, kind capacityKind, n int) []placement {
	var found []placement
	for _, w := range workers {
		if k := p.fitCount(u, w, kind.on(w), n); k > 0 {
			found = append(found, placement{w, k})
		}
	}
	less := hasLessFree
	if u.Suspect {
		less = isSaferForSuspect
	}
	sort.SliceStable(found, func(a, b int) bool { return less(found[a].w, found[b].w) })
	return found
}

func limitTo(found []placement, n int) []placement {
	for i := range found {
		if found[i].count >= n {
			found[i].count = n
			return found[:i+1]
		}
		n -= found[i].count
	}
	return found
}
