package scheduler

import (
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// beside places a job that is smaller than what its account is guaranteed on
// capacity that no guarantee needs, if any is free. There nobody can reclaim
// it, and its account's cells stay whole for the shapes they are made for. It
// is no claim: urgent and large jobs have their turn at that capacity first.
func beside(c *cycle, w *Waiting) verdict {
	p, ok := c.findBeside(w)
	if !ok {
		return pass
	}
	c.start(w, p, false)
	return done
}

// findBeside looks for such a place.
func (c *cycle) findBeside(w *Waiting) (domain.Placement, bool) {
	if !c.policy.Guarantees || !c.smallerThanGuarantees(w) {
		return nil, false
	}
	if c.usage.BorrowBlock(w.Job, c.Accounts[w.Job.Account]) != nil {
		return nil, false
	}
	ends := c.Now.Add(w.Expected)
	available := func(n *placement.Node) domain.Resources {
		if n.ReservedFor != "" && ends.After(n.ReservedUntil) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.avoiding(w, n, least(n.Free(), n.Beside()))
	}
	return c.finder.Find(c.cluster, w.Job.Shape, c.policy.Strategy, available)
}

// smallerThanGuarantees tells whether every block that the account is
// guaranteed here is larger than the job. An account without guarantees has
// nothing to spare.
func (c *cycle) smallerThanGuarantees(w *Waiting) bool {
	size := w.Job.Shape.Accelerators()
	any := false
	for _, g := range c.Accounts[w.Job.Account].Guarantees {
		if g.DataCentre != c.DataCentre {
			continue
		}
		if g.Shape.Accelerators() <= size {
			return false
		}
		any = true
	}
	return any
}
