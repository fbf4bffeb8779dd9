package control_test

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// lines are one planner's connections to workers. Each leads to the life that was there when
// it was made, and ends with it. Half of those that holds make are kept; where there is none
// an order to a recipient makes one of its own, on which the life answers first.
type connections struct {
	last int64
	kept map[string]connection
}

type connection struct {
	number      int64
	incarnation *workertest.Worker
}

// lineBreaks is how soon a connection that can't be made, or that leads to another life than
// the order is meant for, is found out.
const connectTime = 5 * time.Millisecond

// made notes the connection of a hold that has arrived, and returns the newest that there is.
func (c *connections) add(worker string, life *workertest.Worker) int64 {
	c.last++
	if c.kept == nil {
		c.kept = map[string]connection{}
	}
	if c.last%2 == 0 {
		c.kept[worker] = connection{c.last, life}
	}
	return c.last
}

// lineTo finds the life that an order to a recipient reaches, if any; one that is dead, or cut
// off, is found out as such on the way.
func (sim *simulation) connectionTo(p *planner, worker string, to control.Recipient) (life *workertest.Worker, reached bool) {
	if kept, ok := p.connections.kept[worker]; ok && kept.number <= to.Connections {
		return kept.incarnation, true
	}
	target := sim.fleet.Workers[worker]
	if sim.now.Before(sim.unreachableUntil[worker]) || target == nil || target.Dead {
		return target, true
	}
	p.connections.add(worker, target)
	answer := sim.mutant.alterAnswer(control.HoldAnswer{Born: target.Born, ClockMS: target.ClockMS(sim.now)}, sim.now)
	return target, to.Is(answer.Born, answer.ClockMS)
}
