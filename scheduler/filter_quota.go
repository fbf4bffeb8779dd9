package scheduler

import (
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
	"github.com/cobalttide/cobalttide/scheduler/quota"
)

// checkFeasible holds a job back that would not fit on the schedulable workers even if
// they were empty. The job gives up its reservation meanwhile.
func checkFeasible(c *cycle, w *WaitingJob) decision {
	capacity := func(n *placement.Node) domain.Resources { return n.Worker.Capacity }
	key := searchKey{shape: w.Job.Shape, mode: modeEmpty}
	failure, known := c.failures[key]
	if !known {
		_, fits := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, capacity)
		if !fits {
			failure.largest = c.finder.LargestBlock(c.cluster, w.Job.Shape, capacity)
			failure.failed = true
		}
		c.failures[key] = failure
	}
	if !failure.failed && c.isPinnable(w) {
		c.decideAvoidance(w)
		return pass
	}
	c.dropReservation(w.Job.ID)
	c.addHeld(w, HeldNeverRunnable, w.Job.Shape.Tasks, failure.largest)
	return wait
}

// decideAvoidance makes the job avoid the workers on which it has failed, but only if it
// fits on the other ones.
func (c *cycle) decideAvoidance(w *WaitingJob) {
	if len(w.Avoid) == 0 {
		return
	}
	c.avoidsFailed[w.Job.ID] = true
	capacity := func(n *placement.Node) domain.Resources { return c.excludeAvoided(w, n, n.Worker.Capacity) }
	_, fits := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, capacity)
	c.avoidsFailed[w.Job.ID] = fits && c.isPinnable(w)
}

// isPinnable reports whether the job is preemptible, or fits into its own account's cells
// or outside all cells.
func (c *cycle) isPinnable(w *WaitingJob) bool {
	if w.Class.Preemptible() || !c.policy.Guarantees {
		return true
	}
	ownCells := func(n *placement.Node) domain.Resources { return c.excludeAvoided(w, n, n.CellSize(w.Job.Account)) }
	outsideCells := func(n *placement.Node) domain.Resources {
		return c.excludeAvoided(w, n, n.Worker.Capacity.Sub(n.CellTotal))
	}
	if _, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, ownCells); ok {
		return true
	}
	_, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, outsideCells)
	return ok
}

// checkTeamCeiling holds a job back if its team would exceed its ceiling.
func checkTeamCeiling(c *cycle, w *WaitingJob) decision {
	return c.checkCeiling(w, HeldTeamCeiling, c.usage.CheckTeamCeiling(w.Job, c.Accounts[w.Job.Account]))
}

// checkAccountCeiling holds a job back if its account would borrow beyond its ceiling.
func checkAccountCeiling(c *cycle, w *WaitingJob) decision {
	return c.checkCeiling(w, HeldAccountCeiling, c.usage.CheckAccountCeiling(w.Job, c.Accounts[w.Job.Account]))
}

// checkCeiling holds a job back if it exceeds a limit; the job gives up its reservation.
func (c *cycle) checkCeiling(w *WaitingJob, reason HeldReason, exceeded *quota.Exceeded) decision {
	if exceeded == nil {
		return pass
	}
	c.dropReservation(w.Job.ID)
	c.addHeld(w, reason, exceeded.Need, exceeded.Have)
	return wait
}
