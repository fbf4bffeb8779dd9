package scheduler

import (
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// consolidate moves borrowers off a large job's reserved block if that saves more than it
// costs: the idle accelerator time until the block would drain by itself, compared with
// the work that the borrowers lose. The borrowers continue elsewhere. There is no other
// defragmentation; gangs within their guarantee and non-preemptible gangs are never moved.
func consolidate(c *cycle, w *WaitingJob) decision {
	r, ok := c.reserved[w.Job.ID]
	if !ok || !c.policy.Guarantees || c.policy.ConsolidateGain == 0 {
		return pass
	}
	gain := c.idleAcceleratorSeconds(r)
	cost, stable := c.relocationCost(r)
	if !stable || gain < c.policy.ConsolidateGain*cost {
		return pass
	}
	c.makeExclusive(w.Job.ID)
	available := func(n *placement.Node) domain.Resources {
		if !slices.Contains(r.Workers, n.Worker.ID) {
			return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
		}
		return c.excludeAvoided(w, n, c.reclaimableBy(w, n, isMovable))
	}
	return c.reclaim(w, available, false, isMovable)
}

// idleAcceleratorSeconds returns the accelerator seconds for which the block's free
// accelerators stay idle until its expected start.
func (c *cycle) idleAcceleratorSeconds(r Reservation) float64 {
	free := 0
	for _, id := range r.Workers {
		if n := c.cluster.Node(id); n != nil {
			free += max(0, n.Free().Accelerators)
		}
	}
	return float64(free) * r.Start.Sub(c.Now).Seconds()
}

// relocationCost returns the work, in accelerator seconds, that the borrowers on the block
// lose if they are moved now. stable is false if one of them has run for less than
// Policy.ConsolidateAfter.
func (c *cycle) relocationCost(r Reservation) (cost float64, stable bool) {
	seen := map[int]bool{}
	for _, id := range r.Workers {
		for _, i := range c.preemptibleOn[id] {
			g := &c.gangs[i]
			if seen[i] || !isMovable(g) {
				continue
			}
			seen[i] = true
			if c.Now.Sub(g.Started) < c.policy.ConsolidateAfter {
				return 0, false
			}
			cost += c.lostWork(g)
		}
	}
	return cost, true
}
