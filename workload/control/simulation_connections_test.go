package control_test

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// connections are a planner's connections to workers. Each leads to the incarnation that was
// running when it was made, and ends with it. Half of those that lease renewals make are kept. If
// there is none, an order with a recipient makes a connection, on which the incarnation first
// identifies itself.
type connections struct {
	last int64
	kept map[string]connection
}

type connection struct {
	number      int64
	incarnation *workertest.Worker
}

// connectTime is how soon it is detected that a connection can't be made, or leads to another
// incarnation than the order is meant for.
const connectTime = 5 * time.Millisecond

// add records the connection of a lease renewal that has arrived, and returns the number of the
// newest connection.
func (c *connections) add(worker string, incarnation *workertest.Worker) int64 {
	c.last++
	if c.kept == nil {
		c.kept = map[string]connection{}
	}
	if c.last%2 == 0 {
		c.kept[worker] = connection{c.last, incarnation}
	}
	return c.last
}

// connectionTo returns the incarnation that an order with a recipient reaches, if any. Whether it
// is dead or unreachable is detected on delivery.
func (sim *simulation) connectionTo(p *planner, worker string, to control.Recipient) (incarnation *workertest.Worker, reached bool) {
	if kept, ok := p.connections.kept[worker]; ok && kept.number <= to.NewestConnection {
		return kept.incarnation, true
	}
	target := sim.fleet.Workers[worker]
	if sim.isUnreachable(worker) || target == nil || target.Dead {
		return target, true
	}
	p.connections.add(worker, target)
	answer := sim.mutant.alterAnswer(control.RenewalAnswer{StartMS: target.StartMS, ClockMS: target.ClockMS(sim.now)}, sim.now)
	return target, to.Is(answer.StartMS, answer.ClockMS)
}
