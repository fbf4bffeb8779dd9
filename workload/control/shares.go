package control

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload/decide"
	"github.com/cobalttide/cobalttide/workload/share"
)

// accountShares are the client accounts' shares of the pool beyond their guarantees.
type accountShares struct {
	weights share.Weights
	usage   *share.Usage
}

func newAccountShares() accountShares {
	return accountShares{weights: share.NewWeights(nil, nil), usage: share.NewUsage(share.DefaultHalfLife)}
}

// dividesCapacity reports whether capacity beyond guarantees is divided by weights.
func (c *Core) dividesCapacity() bool {
	return c.shares.weights.AreUnequal() && !c.bounds.Disabled[decide.FairShares]
}

// updateShares records what accounts hold beyond their guarantees and adds the shares to the
// snapshot, of which the running groups must be complete.
func (c *Core) updateShares(s *decide.Snapshot, now time.Time) {
	if !c.dividesCapacity() {
		return
	}
	capacity := c.poolCapacity()
	used := map[domain.AccountID]share.Resources{}
	for i := range s.Running {
		g := &s.Running[i]
		if g.Guaranteed {
			continue
		}
		account := c.jobs[g.Key.Job].Account
		sum := used[account]
		for _, a := range g.Allocations {
			sum = sum.Add(decide.ShareResources(a.Resources))
		}
		used[account] = sum
	}
	held := make(map[domain.AccountID]float64, len(used))
	for id, amount := range used {
		// A pool that has shrunk may hold less than its runs take.
		held[id] = min(1, share.Dominant(amount, capacity))
	}
	c.shares.usage.Hold(held, now)
	s.Shares = &share.Levels{Weights: c.shares.weights, Use: c.shares.usage.Use(), Capacity: capacity}
}

// poolCapacity is the capacity of all listed workers. Closed ones count, so that shares do not jump
// while a data centre is unreachable.
func (c *Core) poolCapacity() share.Resources {
	sum := share.Resources{}
	for _, w := range c.workersByID {
		if !w.gone && w.listed {
			sum = sum.Add(decide.ShareResources(w.Capacity))
		}
	}
	return sum
}
