package scheduler

import (
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/placement"
)

// beside places a job that is smaller than what its account is guaranteed on
// capacity that no guarantee needs, if any is free. There nobody can reclaim
// it, and its account's cells stay whole for the shapes they are made for.
func beside(c *cycle, w *Waiting) verdict {
	if !c.policy.Guarantees || !c.smallerThanGuarantees(w) {
		return pass
	}
	ends := c.Now.Add(w.Expected)
	available := func(n *placement.Node) domain.Resources {
		if n.ReservedFor != "" && ends.After(n.ReservedUntil) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return avoiding(w, n, least(n.Free(), n.Beside()))
	}
	if c.usage.BorrowBlock(w.Job, c.Accounts[w.Job.Account]) != nil {
		return pass
	}
	p, ok := c.finder.Find(c.cluster, w.Job.Shape, c.policy.Strategy, available)
	if !ok {
		return pass
	}
	c.start(w, p, false)
	return done
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
