package scheduler

import (
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// claimCells places a job in its account's cells, unless it fits outside all cells: it is
// then considered with the spare capacity. While urgent or large jobs wait, which are
// offered the spare capacity first, the job uses its cells and leaves that capacity to
// them.
func claimCells(c *cycle, w *WaitingJob) decision {
	if !c.hasUrgentOrLarge {
		if _, ok := c.findOutsideCells(w); ok {
			return pass
		}
	}
	return placeInCells(c, w)
}

// placeInCells places a job within its account's cells: on free capacity, else on capacity
// that stopping gangs are freeing, else by preempting the borrowers that use the cells.
// The invariant of package guarantee makes the last always possible.
func placeInCells(c *cycle, w *WaitingJob) decision {
	if !c.policy.Guarantees {
		return pass
	}
	account := w.Job.Account
	cell := func(n *placement.Node) domain.Resources { return c.excludeAvoided(w, n, n.CellFree(account)) }
	return c.reclaim(w, cell, true, (*Gang).isPreemptible)
}

// reclaim starts the job if the available capacity is free. Otherwise it allocates a place
// that borrowers hold and preempts those that are not stopping yet; the job starts in a
// later plan, after they have stopped.
func (c *cycle) reclaim(w *WaitingJob, available placement.Available, guaranteed bool, canPreempt func(*Gang) bool) decision {
	free := func(n *placement.Node) domain.Resources { return minResources(available(n), n.Free()) }
	if p, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.BestFit, free); ok {
		c.start(w, p, guaranteed)
		return done
	}
	freeOrStopping := func(n *placement.Node) domain.Resources {
		return minResources(available(n), n.Free().Add(n.Stopping))
	}
	p, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.EmptiestFirst, freeOrStopping)
	if !ok {
		p, ok = c.finder.Find(c.cluster, w.Job.Shape, placement.EmptiestFirst, available)
	}
	if !ok {
		return pass
	}
	c.preemptFor(w, p, canPreempt)
	c.allocate(w, p, guaranteed)
	c.addHeld(w, HeldReclaiming, w.Job.Shape.Tasks, w.Job.Shape.Tasks)
	return done
}

// preemptFor preempts on each worker the borrowers that lose the least work, until the
// placement fits.
func (c *cycle) preemptFor(w *WaitingJob, p domain.Placement, canPreempt func(*Gang) bool) {
	for _, a := range p {
		n := c.cluster.Node(a.Worker)
		need := w.Job.Shape.PerTask.Times(a.Tasks)
		for !need.FitsIn(n.Free().Add(n.Stopping)) {
			victim := c.cheapestVictim(n, canPreempt)
			if victim < 0 {
				break
			}
			c.preempt(victim, w)
		}
	}
}

func (c *cycle) cheapestVictim(n *placement.Node, canPreempt func(*Gang) bool) int {
	best := -1
	var bestLoss float64
	for _, i := range c.preemptibleOn[n.Worker.ID] {
		g := &c.gangs[i]
		if !canPreempt(g) {
			continue
		}
		if loss := c.lostWork(g); best < 0 || loss < bestLoss {
			best, bestLoss = i, loss
		}
	}
	return best
}

// lostWork returns the work that is lost if a gang is stopped, in accelerator seconds. A
// checkpointable gang saves its work and loses only the time that this takes.
func (c *cycle) lostWork(g *Gang) float64 {
	accelerators := float64(max(1, g.Job.Shape.Accelerators()))
	if g.Class.Checkpointable {
		return g.Class.Grace.Std().Seconds() * accelerators
	}
	return c.Now.Sub(g.LastCheckpoint).Seconds() * accelerators
}

func (c *cycle) preempt(i int, w *WaitingJob) {
	g := &c.gangs[i]
	for _, a := range g.Placement {
		n := c.cluster.Node(a.Worker)
		if n == nil {
			continue
		}
		amount := g.Job.Shape.PerTask.Times(a.Tasks)
		n.Stopping = n.Stopping.Add(amount)
	}
	g.Stopping = true
	grace := g.Class.Grace.Std()
	if w.Class.Urgent {
		grace = min(grace, c.policy.UrgentGrace)
	}
	c.plan.Preemptions = append(c.plan.Preemptions, Preemption{Job: g.Job.ID, For: w.Job.ID, Grace: grace})
}

func minResources(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		CPU:          min(a.CPU, b.CPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
	}
}

// excludeAvoided returns -1 for every resource of a worker that the job avoids because it
// has failed there, and otherwise the given amount.
func (c *cycle) excludeAvoided(w *WaitingJob, n *placement.Node, have domain.Resources) domain.Resources {
	if c.avoidsFailed[w.Job.ID] && slices.Contains(w.Avoid, n.Worker.ID) {
		return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
	}
	return have
}
