package scheduler

import (
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// placeOutsideCells places a job that is smaller than every guarantee of its account on
// free capacity outside all cells. It can't be reclaimed there, and its account's cells
// stay whole for the shapes that they are made for. It takes no precedence: urgent and
// large jobs are offered that capacity first.
func placeOutsideCells(c *cycle, w *WaitingJob) decision {
	p, ok := c.findOutsideCells(w)
	if !ok {
		return pass
	}
	c.start(w, p, false)
	return done
}

// findOutsideCells searches for a placement for placeOutsideCells.
func (c *cycle) findOutsideCells(w *WaitingJob) (domain.Placement, bool) {
	if !c.policy.Guarantees || !c.isSmallerThanGuarantees(w) {
		return nil, false
	}
	if c.usage.CheckAccountCeiling(w.Job, c.Accounts[w.Job.Account]) != nil {
		return nil, false
	}
	expectedEnd := c.Now.Add(w.Expected)
	available := func(n *placement.Node) domain.Resources {
		if n.ReservedFor != "" && expectedEnd.After(n.ReservedUntil) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.excludeAvoided(w, n, minResources(n.Free(), n.FreeOutsideCells()))
	}
	return c.finder.Find(c.cluster, w.Job.Shape, c.policy.Strategy, available)
}

// isSmallerThanGuarantees reports whether every block that the account is guaranteed in
// this data centre is larger than the job. It returns false for an account without
// guarantees, which has no cells to keep whole.
func (c *cycle) isSmallerThanGuarantees(w *WaitingJob) bool {
	size := w.Job.Shape.Accelerators()
	found := false
	for _, g := range c.Accounts[w.Job.Account].Guarantees {
		if g.DataCentre != c.DataCentre {
			continue
		}
		if g.Shape.Accelerators() <= size {
			return false
		}
		found = true
	}
	return found
}
