package scheduler

import (
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// claimed settles a job's claim to its account's cells, unless it can do without
// them: then its turn comes with the spare capacity. While urgent or large jobs
// wait, who would have their turn there first, it uses its cells and leaves that
// capacity to them.
func claimed(c *cycle, w *Waiting) verdict {
	if !c.crowded {
		if _, ok := c.findBeside(w); ok {
			return pass
		}
	}
	return guaranteed(c, w)
}

// guaranteed places a job within its account's cells: on what is free there,
// else on what stopping gangs are about to give back, else by stopping the
// borrowers that are in the way. The cells' invariant makes the last always
// possible.
func guaranteed(c *cycle, w *Waiting) verdict {
	if !c.policy.Guarantees {
		return pass
	}
	account := w.Job.Account
	cell := func(n *placement.Node) domain.Resources { return c.avoiding(w, n, n.CellFree(account)) }
	return c.reclaim(w, cell, true, (*Gang).preemptible)
}

// reclaim starts the job on what is free of the place at hand. Else it books a
// place that borrowers hold, and stops those of them that are not stopping yet;
// the job then starts in a later plan, once they are gone.
func (c *cycle) reclaim(w *Waiting, available placement.Available, guaranteed bool, mayStop func(*Gang) bool) verdict {
	free := func(n *placement.Node) domain.Resources { return least(available(n), n.Free()) }
	if p, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.BestFit, free); ok {
		c.start(w, p, guaranteed)
		return done
	}
	soon := func(n *placement.Node) domain.Resources {
		return least(available(n), n.Free().Add(n.Stopping))
	}
	p, ok := c.finder.Find(c.cluster, w.Job.Shape, placement.EmptiestFirst, soon)
	if !ok {
		p, ok = c.finder.Find(c.cluster, w.Job.Shape, placement.EmptiestFirst, available)
	}
	if !ok {
		return pass
	}
	c.preemptFor(w, p, mayStop)
	c.occupy(w, p, guaranteed)
	c.holdBack(w, HeldReclaiming, w.Job.Shape.Tasks, w.Job.Shape.Tasks)
	return done
}

// preemptFor stops, worker by worker, the borrowers whose loss is least until
// the placement fits.
func (c *cycle) preemptFor(w *Waiting, p domain.Placement, mayStop func(*Gang) bool) {
	for _, a := range p {
		n := c.cluster.Node(a.Worker)
		need := w.Job.Shape.PerTask.Times(a.Tasks)
		for !need.Fits(n.Free().Add(n.Stopping)) {
			victim := c.cheapestVictim(n, mayStop)
			if victim < 0 {
				break
			}
			c.stop(victim, w)
		}
	}
}

func (c *cycle) cheapestVictim(n *placement.Node, mayStop func(*Gang) bool) int {
	best := -1
	var bestLoss float64
	for _, i := range c.onNode[n.Worker.ID] {
		g := &c.gangs[i]
		if !mayStop(g) {
			continue
		}
		if loss := c.loss(g); best < 0 || loss < bestLoss {
			best, bestLoss = i, loss
		}
	}
	return best
}

// loss is the work that stopping a gang throws away, in accelerator seconds.
// A checkpointable gang saves its work and loses only the time to do so.
func (c *cycle) loss(g *Gang) float64 {
	accelerators := float64(max(1, g.Job.Shape.Accelerators()))
	if g.Class.Checkpointable {
		return g.Class.Grace.Std().Seconds() * accelerators
	}
	return c.Now.Sub(g.Saved).Seconds() * accelerators
}

func (c *cycle) stop(i int, w *Waiting) {
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

func least(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		CPU:          min(a.CPU, b.CPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
	}
}

// avoiding returns nothing for workers on which the job has failed, unless it
// could run nowhere else.
func (c *cycle) avoiding(w *Waiting, n *placement.Node, have domain.Resources) domain.Resources {
	if c.avoids[w.Job.ID] && slices.Contains(w.Avoid, n.Worker.ID) {
		return domain.Resources{Accelerators: -1, CPU: -1, MemoryMiB: -1}
	}
	return have
}
