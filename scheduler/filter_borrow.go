package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// searchMode distinguishes the searches whose failures are cached within one plan.
type searchMode int

const (
	modeEmpty searchMode = iota
	modePreemptible
	modePinned
)

// searchKey identifies a search whose failure is cached. Free amounts only shrink within
// one plan, so a shape that did not fit once does not fit later.
type searchKey struct {
	shape domain.Shape
	mode  searchMode
}

type searchFailure struct {
	failed  bool
	largest int
}

// borrow places a job on any free capacity. A preemptible job may use cells; a
// non-preemptible job must leave the capacity that the cells need. A job may use workers
// that are reserved for a large job only if it is expected to end before they are needed.
func borrow(c *cycle, w *WaitingJob) decision {
	key := searchKey{shape: w.Job.Shape, mode: modePinned}
	if w.Class.Preemptible() {
		key.mode = modePreemptible
	}
	reusable := len(w.Avoid) == 0 && c.reserved[w.Job.ID].Job == ""
	if reusable && c.failures[key].failed && !c.canBackfill(w) {
		return c.waitForBlock(w, c.failures[key].largest)
	}
	expectedEnd := c.Now.Add(w.Expected)
	available := func(n *placement.Node) domain.Resources {
		if n.ReservedFor != "" && n.ReservedFor != w.Job.ID && expectedEnd.After(n.ReservedUntil) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.excludeAvoided(w, n, c.borrowable(w, n))
	}
	p, ok := c.finder.Find(c.cluster, w.Job.Shape, c.policy.Strategy, available)
	if ok {
		c.start(w, p, false)
		return done
	}
	if w.Class.Urgent {
		return pass
	}
	largest := c.finder.LargestBlock(c.cluster, w.Job.Shape, available)
	if reusable {
		c.failures[key] = searchFailure{failed: true, largest: largest}
	}
	return c.waitForBlock(w, largest)
}

// canBackfill reports whether the job is expected to end before a reserved block is
// needed. It may then use reserved workers that were excluded from the cached search.
func (c *cycle) canBackfill(w *WaitingJob) bool {
	expectedEnd := c.Now.Add(w.Expected)
	for _, r := range c.reserved {
		if !expectedEnd.After(r.Start) {
			return true
		}
	}
	return false
}

func (c *cycle) borrowable(w *WaitingJob, n *placement.Node) domain.Resources {
	if w.Class.Preemptible() {
		return n.Free()
	}
	return minResources(n.Free(), n.Worker.Capacity.Sub(n.CellTotal).Sub(n.Pinned))
}

// waitForBlock gives the job a reservation if it is eligible for one.
func (c *cycle) waitForBlock(w *WaitingJob, largest int) decision {
	if !c.ensureReservation(w) {
		c.addHeld(w, HeldNoBlock, w.Job.Shape.Tasks, largest)
		return wait
	}
	return pass // the following filters may free its block
}

// ensureReservation keeps the job's reservation and updates its expected start, or
// reserves a block if the job is next in line for one. The block stays the same from plan
// to plan: if a gang overruns its estimate, the expected start moves, but the capacity
// that has drained so far is not given away.
func (c *cycle) ensureReservation(w *WaitingJob) bool {
	old, held := c.reserved[w.Job.ID]
	if !held && (len(c.reserved) >= c.maxReservations() || (c.candidates != nil && !c.candidates[w.Job.ID])) {
		return false
	}
	workers := make(map[domain.WorkerID]bool, len(old.Workers))
	for _, id := range old.Workers {
		workers[id] = true
	}
	var p domain.Placement
	var start time.Time
	ok := false
	if held {
		if _, start, ok = c.earliestBlock(w, searchScope{workers: workers}); !ok {
			start = c.Now // gangs started by this plan occupy the block
		}
		c.addReservation(Reservation{Job: w.Job.ID, Workers: old.Workers, Start: start})
		return true
	}
	// Capacity outside all cells can't be reclaimed while it drains, so cells are used
	// only for a gang that would not fit outside them even on an empty fleet.
	p, start, ok = c.earliestBlock(w, searchScope{outsideCells: c.fitsOutsideCells(w)})
	if !ok {
		return false
	}
	r := Reservation{Job: w.Job.ID, Start: start}
	for _, a := range p {
		r.Workers = append(r.Workers, a.Worker)
	}
	c.addReservation(r)
	return true
}

// addReservation marks the block as reserved and adds it to the plan.
func (c *cycle) addReservation(r Reservation) {
	c.markReserved(r)
	c.plan.Reservations = append(c.plan.Reservations, r)
}

// fitsOutsideCells reports whether the gang would fit outside all cells if nothing else
// ran.
func (c *cycle) fitsOutsideCells(w *WaitingJob) bool {
	outsideCells := func(n *placement.Node) domain.Resources { return n.Worker.Capacity.Sub(n.CellTotal) }
	_, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, outsideCells)
	return ok
}

// searchScope restricts where a block may lie.
type searchScope struct {
	// workers, if not nil, are the only workers that may be used.
	workers map[domain.WorkerID]bool
	// outsideCells excludes the capacity of the guarantees' cells.
	outsideCells bool
}

// earliestBlock returns where and when the job will first fit if gangs end as expected.
// Workers that are reserved for other jobs are excluded.
func (c *cycle) earliestBlock(w *WaitingJob, scope searchScope) (domain.Placement, time.Time, bool) {
	byEnd := c.gangsByEnd()
	lo, hi := 0, len(byEnd)
	var best domain.Placement
	found := false
	for lo <= hi {
		mid := (lo + hi) / 2
		p, ok := c.findAfterEnds(w, byEnd[:mid], scope)
		if ok {
			best, found = p, true
			hi = mid - 1
			continue
		}
		lo = mid + 1
	}
	if !found {
		return nil, time.Time{}, false
	}
	start := c.Now
	if lo > 0 {
		start = c.Now.Add(c.gangs[byEnd[lo-1]].Remaining)
	}
	return best, start, true
}

// gangsByEnd returns the indices of the gangs, ordered by their expected end.
func (c *cycle) gangsByEnd() []int {
	out := make([]int, len(c.gangs))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(i, j int) int {
		return cmp.Compare(c.gangs[i].Remaining, c.gangs[j].Remaining)
	})
	return out
}

func (c *cycle) findAfterEnds(w *WaitingJob, ended []int, scope searchScope) (domain.Placement, bool) {
	freed := map[domain.WorkerID]domain.Resources{}
	for _, i := range ended {
		g := &c.gangs[i]
		for _, a := range g.Placement {
			freed[a.Worker] = freed[a.Worker].Add(g.Job.Shape.PerTask.Times(a.Tasks))
		}
	}
	available := func(n *placement.Node) domain.Resources {
		reservedForOther := n.ReservedFor != "" && n.ReservedFor != w.Job.ID
		if reservedForOther || (scope.workers != nil && !scope.workers[n.Worker.ID]) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		free := n.Free().Add(freed[n.Worker.ID])
		if scope.outsideCells || !w.Class.Preemptible() {
			free = minResources(free, n.Worker.Capacity.Sub(n.CellTotal))
		}
		return c.excludeAvoided(w, n, free)
	}
	return c.finder.Find(c.cluster, w.Job.Shape, placement.BestFit, available)
}

// preemptForUrgent lets an urgent job that is outside its account's guarantee preempt
// borrowers that are not urgent.
func preemptForUrgent(c *cycle, w *WaitingJob) decision {
	if !w.Class.Urgent || !c.policy.Guarantees {
		return pass
	}
	available := func(n *placement.Node) domain.Resources {
		return c.excludeAvoided(w, n, c.reclaimable(w, n))
	}
	return c.reclaim(w, available, false, w.canPreempt)
}

func (c *cycle) reclaimable(w *WaitingJob, n *placement.Node) domain.Resources {
	return c.reclaimableBy(w, n, w.canPreempt)
}

// reclaimableBy returns the amount that the job could use of a worker after the gangs that
// may be preempted for it have stopped.
func (c *cycle) reclaimableBy(w *WaitingJob, n *placement.Node, canPreempt func(*Gang) bool) domain.Resources {
	have := n.Free().Add(n.Stopping).Add(c.preemptibleUse(n, canPreempt))
	if w.Class.Preemptible() {
		return have
	}
	return minResources(have, n.Worker.Capacity.Sub(n.CellTotal).Sub(n.Pinned))
}

// preemptibleUse returns the amount of a worker that is held by gangs that may be
// preempted.
func (c *cycle) preemptibleUse(n *placement.Node, canPreempt func(*Gang) bool) domain.Resources {
	var sum domain.Resources
	for _, i := range c.preemptibleOn[n.Worker.ID] {
		g := &c.gangs[i]
		if !canPreempt(g) {
			continue
		}
		for _, a := range g.Placement {
			if a.Worker == n.Worker.ID {
				sum = sum.Add(g.Job.Shape.PerTask.Times(a.Tasks))
			}
		}
	}
	return sum
}

// canPreempt reports whether w may preempt the gang g. Urgent jobs may preempt any
// borrower that is not urgent; a starved job may preempt those that were submitted later.
// Urgent gangs are never preempted here, because they would take the place back in the
// next plan: a gang is preempted only for a job that goes before it.
func (w *WaitingJob) canPreempt(g *Gang) bool {
	if !isMovable(g) {
		return false
	}
	return w.Class.Urgent || g.Job.Submitted.After(w.Since)
}

// isMovable reports whether a gang may be preempted for anything but a guarantee.
func isMovable(g *Gang) bool { return g.isPreemptible() && !g.Class.Urgent }

// preemptForStarved lets a job that has waited longer than Policy.StarveAfter take its
// reserved block back from borrowers that were submitted after it. It bounds the wait of a
// large job, however many small jobs arrive.
func preemptForStarved(c *cycle, w *WaitingJob) decision {
	r, ok := c.reserved[w.Job.ID]
	if !ok || !c.policy.Guarantees || !c.isStarved(w) {
		return pass
	}
	c.makeExclusive(w.Job.ID)
	available := func(n *placement.Node) domain.Resources {
		if !slices.Contains(r.Workers, n.Worker.ID) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.excludeAvoided(w, n, c.reclaimable(w, n))
	}
	return c.reclaim(w, available, false, w.canPreempt)
}

// makeExclusive closes a reserved block to backfilling at once, because it is about to be
// reclaimed.
func (c *cycle) makeExclusive(job domain.JobID) {
	for i := range c.plan.Reservations {
		if c.plan.Reservations[i].Job == job {
			c.plan.Reservations[i].Start = c.Now
			c.markReserved(c.plan.Reservations[i])
		}
	}
}
