package control_test

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Delivery of the simulation's orders and their answers, and the checks when ends are
// acknowledged.

// drawDelivery draws the delay of an order and whether the order or its answer gets lost.
func (sim *simulation) drawDelivery(worker string) (delay time.Duration, answered bool, lost bool) {
	delay = time.Duration(1+sim.rng.Intn(20)) * time.Millisecond
	if sim.isUnreachable(worker) {
		return 0, false, true
	}
	if !sim.faulty {
		return delay, true, false
	}
	switch sim.rng.Intn(25) {
	case 0:
		return time.Duration(2000+sim.rng.Intn(10000)) * time.Millisecond, false, false
	case 1:
		return delay, false, false
	case 2:
		return 0, false, true
	}
	return delay, true, false
}

// isUnreachable reports whether no planner reaches the address of a worker.
func (sim *simulation) isUnreachable(worker string) bool {
	return sim.now.Before(sim.unreachableUntil[sim.crashes.occupant(worker)])
}

// answerTimeout is how long a sender waits for the answer to an order.
const answerTimeout = 600 * time.Millisecond

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.deliveries = append(sim.deliveries, delivery{sim.now.Add(d), f})
}

// send delivers an order and its answer, or reports a timeout to the sender. An order over a
// connection reaches the given incarnation or none; with a nil incarnation it reaches the one that
// is running when the order arrives.
func (sim *simulation) send(worker string, p *planner, incarnation *workertest.Worker, carryOut func(*workertest.Worker) func(), fail func(control.Result)) {
	delay, answered, lost := sim.drawDelivery(worker)
	if p.cutOff[worker] {
		answered, lost = false, true
	}
	reportTimeout := func() { fail(control.Unanswered) }
	if !lost {
		sim.schedule(delay, func() {
			target := sim.fleet.Workers[worker]
			if target == nil || target.Dead || (incarnation != nil && target != incarnation) {
				if answered {
					result, after := sim.callResult(worker)
					sim.schedule(after, func() { sim.deliver(p, func() { fail(result) }) })
				}
				return
			}
			reply := carryOut(target)
			if answered {
				sim.schedule(time.Duration(1+sim.rng.Intn(20))*time.Millisecond, func() { sim.deliver(p, reply) })
			}
		})
	}
	if lost || !answered {
		sim.schedule(answerTimeout, func() { sim.deliver(p, reportTimeout) })
	}
}

func (sim *simulation) deliver(p *planner, reply func()) {
	if p.dead {
		return
	}
	if sim.now.Before(p.frozenUntil) {
		sim.schedule(p.frozenUntil.Sub(sim.now), func() { sim.deliver(p, reply) })
		return
	}
	reply()
}

func (sim *simulation) sendStart(p *planner, o control.StartOrder) {
	sent := sim.now
	sim.checkHorizon(p, o.Worker, o.DeadlineMS)
	p.lastStartToken = o.Token
	o.Token = sim.mutant.token(o.Token)
	o.DeadlineMS += sim.mutant.extraLease.Milliseconds()
	if d := sim.startDelays[o.Task.Job]; d > 0 {
		sim.schedule(d, func() { sim.fleet.Workers[o.Worker].Start(o, sim.now) })
		sim.schedule(answerTimeout, func() {
			sim.deliver(p, func() { p.core.HandleStartAnswer(o, control.Answer{Result: control.Unanswered}, sim.now) })
		})
		return
	}
	var incarnation *workertest.Worker
	reached := true
	if !sim.mutant.unboundStarts {
		incarnation, reached = sim.connectionTo(p, o.Worker, o.To)
	}
	if !reached {
		sim.schedule(connectTime, func() {
			sim.deliver(p, func() { p.core.HandleStartAnswer(o, control.Answer{Result: control.Unreachable}, sim.now) })
		})
		return
	}
	sim.send(o.Worker, p, incarnation, func(target *workertest.Worker) func() {
		sim.delayedStarts[o.Worker+o.Task.String()] = sim.now.Sub(sent) > time.Second
		a := target.Start(o, sim.now)
		if sim.unansweredJobs[o.Task.Job] {
			a.Result = control.Unanswered
		}
		return func() { p.core.HandleStartAnswer(o, a, sim.now) }
	}, func(result control.Result) {
		if sim.mutant.unansweredBegan {
			p.core.HandleStartAnswer(o, control.Answer{Result: control.Accepted}, sim.now)
			p.core.HandleRenewal(control.RenewalOrder{Worker: o.Worker}, control.RenewalAnswer{Result: result}, sent, sim.now)
			return
		}
		p.core.HandleStartAnswer(o, control.Answer{Result: sim.mutant.alterResult(result, control.Full)}, sim.now)
	})
}

func (sim *simulation) sendStop(p *planner, o control.StopOrder) {
	sim.send(o.Worker, p, nil, func(target *workertest.Worker) func() {
		a := target.Stop(o, sim.now)
		return func() { p.core.HandleStopAnswer(o, a, sim.now) }
	}, func(result control.Result) {
		p.core.HandleStopAnswer(o, control.Answer{Result: sim.mutant.alterResult(result, control.Accepted)}, sim.now)
	})
}

func (sim *simulation) sendThrottle(p *planner, o control.ThrottleOrder) {
	sim.send(o.Worker, p, nil, func(target *workertest.Worker) func() {
		answer := target.Throttle(o, sim.now)
		return func() { p.core.HandleThrottleAnswer(o, answer, sim.now) }
	}, func(result control.Result) { p.core.HandleThrottleAnswer(o, control.Answer{Result: result}, sim.now) })
}

func (sim *simulation) sendRenewal(p *planner, o control.RenewalOrder) {
	sim.checkHorizon(p, o.Worker, o.DeadlineMS)
	sent := sim.now
	if o.DeadlineMS > 0 {
		o.DeadlineMS += sim.mutant.extraLease.Milliseconds()
	}
	o.Token = sim.mutant.token(o.Token)
	if sim.mutant.earlyAck {
		o.AcknowledgedEnd = 1 << 40
	}
	if sim.mutant.reusedAcknowledgements {
		sim.maxAcknowledged[o.Worker] = max(sim.maxAcknowledged[o.Worker], o.AcknowledgedEnd)
		o.AcknowledgedEnd = sim.maxAcknowledged[o.Worker]
	}
	var incarnation *workertest.Worker
	if o.AcknowledgedEnd > 0 && !sim.mutant.reusedAcknowledgements && !sim.mutant.earlyAck && !sim.mutant.unboundAcknowledgements {
		reached := true
		if incarnation, reached = sim.connectionTo(p, o.Worker, o.To); !reached {
			sim.schedule(connectTime, func() {
				sim.deliver(p, func() { p.core.HandleRenewal(o, control.RenewalAnswer{Result: control.Unreachable}, sent, sim.now) })
			})
			return
		}
	}
	sim.send(o.Worker, p, incarnation, func(target *workertest.Worker) func() {
		connections := p.connections.add(o.Worker, target)
		if sim.longPoll && o.Wait > 0 && len(target.Ended()) == 0 {
			target.ExtendLease(o, sim.now)
			sim.awaitEnd(p, target, o, connections, sent, sim.now.Add(o.Wait))
			return func() {}
		}
		before := target.Ended()
		if sim.trace != nil {
			sim.trace("worker renewal %s deadline %d clock %d void %d cursor %d token %d", o.Worker, o.DeadlineMS, target.ClockMS(sim.now), target.LastVoidEnd(), o.AcknowledgedEnd, o.Token)
		}
		a := sim.mutant.alterAnswer(target.Renew(o, sim.now), sim.now)
		a.NewestConnection = connections
		sim.recordAcknowledged(target, before, o.AcknowledgedEnd)
		return func() { p.core.HandleRenewal(o, a, sent, sim.now) }
	}, func(res control.Result) { p.core.HandleRenewal(o, control.RenewalAnswer{Result: res}, sent, sim.now) })
}

// awaitEnd answers a delayed lease renewal once a run has ended or its wait is over. If the worker
// dies meanwhile, the planner gets Unanswered.
func (sim *simulation) awaitEnd(p *planner, target *workertest.Worker, o control.RenewalOrder, connections int64, sent, until time.Time) {
	sim.schedule(10*time.Millisecond, func() {
		switch {
		case target.Dead:
			sim.deliver(p, func() { p.core.HandleRenewal(o, control.RenewalAnswer{Result: control.Unanswered}, sent, sim.now) })
		case len(target.Ended()) > 0 || !sim.now.Before(until):
			before := target.Ended()
			a := sim.mutant.alterAnswer(target.Renew(o, sim.now), sim.now)
			a.NewestConnection = connections
			sim.recordAcknowledged(target, before, o.AcknowledgedEnd)
			sim.schedule(5*time.Millisecond, func() { sim.deliver(p, func() { p.core.HandleRenewal(o, a, sent, sim.now) }) })
		default:
			sim.awaitEnd(p, target, o, connections, sent, until)
		}
	})
}

// recordAcknowledged records the completed tasks whose ends the worker dropped because a lease
// renewal acknowledged them.
func (sim *simulation) recordAcknowledged(target *workertest.Worker, rows []control.EndedRow, acknowledged int64) {
	for _, row := range rows {
		if row.Number > max(acknowledged, target.AcknowledgedEnd()) || row.Number <= target.LastVoidEnd() {
			continue
		}
		sim.recordNoted(target, row)
		if row.End != control.EndDone {
			continue
		}
		sim.recordDone(row.Task)
		if sim.restartedAfterDone[runKey{row.Task, row.Run}] {
			sim.violation("%v was started again after a completed run whose end was acknowledged later", row.Task)
		}
	}
}

func (sim *simulation) recordDone(id workload.TaskID) {
	step, ok := sim.lookUpStep(id)
	if !ok {
		return
	}
	sim.acknowledgedDone[id] = true
	if !step.Gang {
		return
	}
	for i := range step.Count {
		id.Index = i
		sim.acknowledgedDone[id] = true
	}
}
