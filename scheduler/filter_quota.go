package scheduler

import (
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
	"github.com/cobalttide/cobalttide/scheduler/quota"
)

// feasible parks a job that the schedulable fleet could not hold even empty.
// It holds no reservation while it is parked.
func feasible(c *cycle, w *Waiting) verdict {
	whole := func(n *placement.Node) domain.Resources { return n.Worker.Capacity }
	key := failedKey{shape: w.Job.Shape, mode: modeEmpty}
	failure, tried := c.failed[key]
	if !tried {
		_, fits := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, whole)
		if !fits {
			failure.largest = c.finder.LargestBlock(c.cluster, w.Job.Shape, whole)
			failure.failed = true
		}
		c.failed[key] = failure
	}
	if !failure.failed && c.pinnable(w) {
		c.settleAvoidance(w)
		return pass
	}
	c.unmark(w.Job.ID)
	c.holdBack(w, HeldNeverRunnable, w.Job.Shape.Tasks, failure.largest)
	return hold
}

// settleAvoidance decides whether the job keeps off the workers on which it has
// failed: only if the others could hold it.
func (c *cycle) settleAvoidance(w *Waiting) {
	if len(w.Avoid) == 0 {
		return
	}
	c.avoids[w.Job.ID] = true
	whole := func(n *placement.Node) domain.Resources { return c.avoiding(w, n, n.Worker.Capacity) }
	_, fits := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, whole)
	c.avoids[w.Job.ID] = fits && c.pinnable(w)
}

// pinnable tells whether a gang that can't be preempted has room in its own
// account's cells or beside everybody's.
func (c *cycle) pinnable(w *Waiting) bool {
	if w.Class.Preemptible() || !c.policy.Guarantees {
		return true
	}
	own := func(n *placement.Node) domain.Resources { return c.avoiding(w, n, n.CellSize(w.Job.Account)) }
	beside := func(n *placement.Node) domain.Resources {
		return c.avoiding(w, n, n.Worker.Capacity.Sub(n.CellTotal))
	}
	if _, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, own); ok {
		return true
	}
	_, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.FirstFit, beside)
	return ok
}

// teamCeiling holds a job whose team would exceed its ceiling.
func teamCeiling(c *cycle, w *Waiting) verdict {
	return c.holdAtCeiling(w, HeldTeamCeiling, c.usage.TeamBlock(w.Job, c.Accounts[w.Job.Account]))
}

// accountCeiling holds a job that would borrow beyond its account's ceiling.
func accountCeiling(c *cycle, w *Waiting) verdict {
	return c.holdAtCeiling(w, HeldAccountCeiling, c.usage.BorrowBlock(w.Job, c.Accounts[w.Job.Account]))
}

// holdAtCeiling holds a job that a quota blocks; it gives its reservation up.
func (c *cycle) holdAtCeiling(w *Waiting, reason HeldReason, block *quota.Block) verdict {
	if block == nil {
		return pass
	}
	c.unmark(w.Job.ID)
	c.holdBack(w, reason, block.Need, block.Have)
	return hold
}
