package scheduler

import (
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// consolidate moves borrowers off a large job's reserved block when that saves
// more than it costs: the block's idle accelerators until it would drain by
// itself, against the work that the borrowers lose. They continue elsewhere.
// This is the only defragmentation there is; gangs within their guarantee and
// gangs that can't be preempted are never moved.
func consolidate(c *cycle, w *Waiting) verdict {
	r, ok := c.reserved[w.Job.ID]
	if !ok || !c.policy.Guarantees || c.policy.ConsolidateGain == 0 {
		return pass
	}
	gain := c.idle(r)
	cost, settled := c.movingCost(r)
	if !settled || gain < c.policy.ConsolidateGain*cost {
		return pass
	}
	c.closeBlock(w.Job.ID)
	available := func(n *placement.Node) domain.Resources {
		if !slices.Contains(r.Workers, n.Worker.ID) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.avoiding(w, n, c.reclaimableBy(w, n, movable))
	}
	return c.reclaim(w, available, false, movable)
}

// idle is the accelerator seconds that the block stands idle until its start.
func (c *cycle) idle(r Reservation) float64 {
	free := 0
	for _, id := range r.Workers {
		if n := c.cluster.Node(id); n != nil {
			free += max(0, n.Free().Accelerators)
		}
	}
	return float64(free) * r.Start.Sub(c.Now).Seconds()
}

// movingCost is the work that the borrowers on the block lose if they are moved
// now. Settled is false while one of them has only just begun.
func (c *cycle) movingCost(r Reservation) (cost float64, settled bool) {
	seen := map[int]bool{}
	for _, id := range r.Workers {
		for _, i := range c.onNode[id] {
			g := &c.gangs[i]
			if seen[i] || !movable(g) {
				continue
			}
			seen[i] = true
			if c.Now.Sub(g.Started) < c.policy.ConsolidateAfter {
				return 0, false
			}
			cost += c.loss(g)
		}
	}
	return cost, true
}
