package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// mode tells apart the searches whose failure is remembered within one plan.
type mode int

const (
	modeEmpty mode = iota
	modePreemptible
	modePinned
)

// failedKey identifies a search: in one plan free amounts only shrink, so that
// what did not fit once does not fit later.
type failedKey struct {
	shape domain.Shape
	mode  mode
}

type placementFailure struct {
	failed  bool
	largest int
}

// borrow places a job on whatever is free. A preemptible job may use cells; a
// job that can't be taken back stays off the capacity that the cells need. On
// workers reserved for a large job it may stay only as long as they are not
// expected to be needed.
func borrow(c *cycle, w *Waiting) verdict {
	key := failedKey{shape: w.Job.Shape, mode: modePinned}
	if w.Class.Preemptible() {
		key.mode = modePreemptible
	}
	memo := len(w.Avoid) == 0 && c.reserved[w.Job.ID].Job == ""
	if memo && c.failed[key].failed && !c.mightBackfill(w) {
		return c.waitForBlock(w, c.failed[key].largest)
	}
	ends := c.Now.Add(w.Expected)
	available := func(n *placement.Node) domain.Resources {
		if n.ReservedFor != "" && n.ReservedFor != w.Job.ID && ends.After(n.ReservedUntil) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.avoiding(w, n, c.borrowable(w, n))
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
	if memo {
		c.failed[key] = placementFailure{failed: true, largest: largest}
	}
	return c.waitForBlock(w, largest)
}

// mightBackfill tells whether the job could use a reserved worker that the job
// which failed before it could not: it is expected to end in time.
func (c *cycle) mightBackfill(w *Waiting) bool {
	ends := c.Now.Add(w.Expected)
	for _, r := range c.reserved {
		if !ends.After(r.Start) {
			return true
		}
	}
	return false
}

func (c *cycle) borrowable(w *Waiting, n *placement.Node) domain.Resources {
	if w.Class.Preemptible() {
		return n.Free()
	}
	return least(n.Free(), n.Worker.Capacity.Sub(n.CellTotal).Sub(n.Pinned))
}

// waitForBlock gives the job a reservation where it is due one.
func (c *cycle) waitForBlock(w *Waiting, largest int) verdict {
	if !c.renewReservation(w) {
		c.holdBack(w, HeldNoBlock, w.Job.Shape.Tasks, largest)
		return hold
	}
	return pass // the filters that follow may free its block
}

// renewReservation keeps the job's block, with the start expected now, or
// chooses one when the job is next in turn for it. The block itself stays the
// same from plan to plan: a gang that overruns its estimate moves the expected
// start, but what has drained so far is not given away.
func (c *cycle) renewReservation(w *Waiting) bool {
	old, held := c.reserved[w.Job.ID]
	if !held && (len(c.reserved) >= c.maxReservations() || (c.candidates != nil && !c.candidates[w.Job.ID])) {
		return false
	}
	within := make(map[domain.WorkerID]bool, len(old.Workers))
	for _, id := range old.Workers {
		within[id] = true
	}
	var p domain.Placement
	var start time.Time
	ok := false
	if held {
		if _, start, ok = c.earliestBlock(w, search{within: within}); !ok {
			start = c.Now // gangs of this very plan are in the way
		}
		c.reserve(Reservation{Job: w.Job.ID, Workers: old.Workers, Start: start})
		return true
	}
	// Ground that no guarantee needs can't be taken back while it drains. Only a
	// gang that would not fit there even alone waits on cells.
	p, start, ok = c.earliestBlock(w, search{beside: c.fitsBeside(w)})
	if !ok {
		return false
	}
	r := Reservation{Job: w.Job.ID, Start: start}
	for _, a := range p {
		r.Workers = append(r.Workers, a.Worker)
	}
	c.reserve(r)
	return true
}

// reserve marks a block and keeps it for the next plan.
func (c *cycle) reserve(r Reservation) {
	c.mark(r)
	c.plan.Reservations = append(c.plan.Reservations, r)
}

// fitsBeside tells whether the gang would fit beside all cells if nothing else
// ran.
func (c *cycle) fitsBeside(w *Waiting) bool {
	ground := func(n *placement.Node) domain.Resources { return n.Worker.Capacity.Sub(n.CellTotal) }
	_, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, ground)
	return ok
}

// search restricts where a block may lie.
type search struct {
	// within, if not nil, are the only workers.
	within map[domain.WorkerID]bool
	// beside leaves the guarantees' cells out.
	beside bool
}

// earliestBlock finds when, and where, the job will fit if gangs end as
// expected. Workers reserved for others are left out.
func (c *cycle) earliestBlock(w *Waiting, where search) (domain.Placement, time.Time, bool) {
	ends := c.ends()
	lo, hi := 0, len(ends)
	var best domain.Placement
	found := false
	for lo <= hi {
		mid := (lo + hi) / 2
		p, ok := c.findAfter(w, ends[:mid], where)
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
		start = c.Now.Add(c.gangs[ends[lo-1]].Remaining)
	}
	return best, start, true
}

// ends returns the indices of gangs in the order in which they should end.
func (c *cycle) ends() []int {
	out := make([]int, len(c.gangs))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(i, j int) int {
		return cmp.Compare(c.gangs[i].Remaining, c.gangs[j].Remaining)
	})
	return out
}

func (c *cycle) findAfter(w *Waiting, ended []int, where search) (domain.Placement, bool) {
	back := map[domain.WorkerID]domain.Resources{}
	for _, i := range ended {
		g := &c.gangs[i]
		for _, a := range g.Placement {
			back[a.Worker] = back[a.Worker].Add(g.Job.Shape.PerTask.Times(a.Tasks))
		}
	}
	available := func(n *placement.Node) domain.Resources {
		taken := n.ReservedFor != "" && n.ReservedFor != w.Job.ID
		if taken || (where.within != nil && !where.within[n.Worker.ID]) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		free := n.Free().Add(back[n.Worker.ID])
		if where.beside || !w.Class.Preemptible() {
			free = least(free, n.Worker.Capacity.Sub(n.CellTotal))
		}
		return c.avoiding(w, n, free)
	}
	return c.finder.Find(c.cluster, w.Job.Shape, placement.BestFit, available)
}

// urgent lets urgent work that is outside its account's guarantee take the
// place of borrowers that are not urgent themselves.
func urgent(c *cycle, w *Waiting) verdict {
	if !w.Class.Urgent || !c.policy.Guarantees {
		return pass
	}
	available := func(n *placement.Node) domain.Resources {
		return c.avoiding(w, n, c.reclaimable(w, n))
	}
	return c.reclaim(w, available, false, w.mayStop)
}

func (c *cycle) reclaimable(w *Waiting, n *placement.Node) domain.Resources {
	return c.reclaimableBy(w, n, w.mayStop)
}

// reclaimableBy returns what the job could have of a worker once the gangs that
// may be stopped for it have gone.
func (c *cycle) reclaimableBy(w *Waiting, n *placement.Node, mayStop func(*Gang) bool) domain.Resources {
	have := n.Free().Add(n.Stopping).Add(c.victimsOn(n, mayStop))
	if w.Class.Preemptible() {
		return have
	}
	return least(have, n.Worker.Capacity.Sub(n.CellTotal).Sub(n.Pinned))
}

// victimsOn returns what the gangs that may be stopped hold of a worker.
func (c *cycle) victimsOn(n *placement.Node, mayStop func(*Gang) bool) domain.Resources {
	var sum domain.Resources
	for _, i := range c.onNode[n.Worker.ID] {
		g := &c.gangs[i]
		if !mayStop(g) {
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

// mayStop tells whether a borrower gives way to w: to urgent work, and to a
// starved job that was submitted earlier. Urgent gangs give way to neither, or
// they would take the place back in the next plan: a gang is stopped only for
// one that has its turn before it.
func (w *Waiting) mayStop(g *Gang) bool {
	if !movable(g) {
		return false
	}
	return w.Class.Urgent || g.Job.Submitted.After(w.Since)
}

// movable tells whether a gang may be stopped for anything but a guarantee.
func movable(g *Gang) bool { return g.preemptible() && !g.Class.Urgent }

// starved lets a job that has waited past the bound take back its reserved
// block from borrowers that were submitted after it. It bounds the wait of a
// large job however many small ones arrive.
func starved(c *cycle, w *Waiting) verdict {
	r, ok := c.reserved[w.Job.ID]
	if !ok || !c.policy.Guarantees || !c.isStarved(w) {
		return pass
	}
	c.closeBlock(w.Job.ID)
	available := func(n *placement.Node) domain.Resources {
		if !slices.Contains(r.Workers, n.Worker.ID) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.avoiding(w, n, c.reclaimable(w, n))
	}
	return c.reclaim(w, available, false, w.mayStop)
}

// closeBlock keeps everybody else off a block from now on, however briefly: a
// starved job is taking it back.
func (c *cycle) closeBlock(job domain.JobID) {
	for i := range c.plan.Reservations {
		if c.plan.Reservations[i].Job == job {
			c.plan.Reservations[i].Start = c.Now
			c.mark(c.plan.Reservations[i])
		}
	}
}
