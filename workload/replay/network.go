package replay

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// sendOrders sends the planner's stops, the starts that are due and the lease renewals.
func (sim *simulation) sendOrders() {
	for _, o := range sim.core.StopOrders() {
		sim.sendStop(sim.core, o)
	}
	for _, o := range sim.core.RetryOrders(sim.now()) {
		sim.sendStart(sim.core, o)
	}
	for _, id := range sim.core.WorkersToRenew(sim.now()) {
		if o, ok := sim.core.NextRenewal(id, sim.now()); ok {
			sim.sendRenewal(sim.core, o)
		}
	}
}

// isReachable reports whether an order reaches a worker now.
func (sim *simulation) isReachable(worker string) bool {
	w := sim.workers[worker]
	return w != nil && !w.lost && sim.elapsed >= w.unreachableUntil
}

// send delivers an order to a worker after the network latency, then its answer; noAnswer is
// called instead if the worker is unreachable.
func (sim *simulation) send(core *control.Core, worker string, do func() func(), noAnswer func()) {
	latency := time.Duration(1+sim.rng.IntN(2)) * ms(sim.pattern.Bounds.OrderMS)
	sim.after(latency, func() {
		if !sim.isReachable(worker) {
			sim.after(orderTimeout, func() { sim.deliver(core, noAnswer) })
			return
		}
		answer := do()
		sim.after(latency, func() { sim.deliver(core, answer) })
	})
}

// deliver passes an answer to the planner that sent the order, if that one is still active.
func (sim *simulation) deliver(core *control.Core, answer func()) {
	if core != sim.core || sim.elapsed < sim.plannerDownUntil {
		return
	}
	answer()
	sim.roundDue = true
}

func (sim *simulation) sendStart(core *control.Core, o control.StartOrder) {
	sim.metrics.starts++
	sim.send(core, o.Worker, func() func() {
		a := sim.fleet.Workers[o.Worker].Start(o, sim.now())
		return func() { core.HandleStartAnswer(o, a, sim.now()) }
	}, func() { core.HandleStartAnswer(o, control.Answer{Result: control.Unanswered}, sim.now()) })
}

func (sim *simulation) sendStop(core *control.Core, o control.StopOrder) {
	sim.send(core, o.Worker, func() func() {
		a := sim.fleet.Workers[o.Worker].Stop(o, sim.now())
		return func() { core.HandleStopAnswer(o, a, sim.now()) }
	}, func() { core.HandleStopAnswer(o, control.Answer{Result: control.Unanswered}, sim.now()) })
}

// sendRenewal sends a lease renewal, which waits on its worker until a run ends there.
func (sim *simulation) sendRenewal(core *control.Core, o control.RenewalOrder) {
	sim.after(ms(sim.pattern.Bounds.OrderMS), func() {
		sim.renewals = append(sim.renewals, &pendingRenewal{core, o, sim.elapsed})
	})
}

func (sim *simulation) answerRenewals() {
	waiting := sim.renewals[:0]
	for _, renewal := range sim.renewals {
		if !sim.answerRenewal(renewal) {
			waiting = append(waiting, renewal)
		}
	}
	sim.renewals = waiting
}

// answerRenewal answers a renewal that has waited long enough or whose worker has new ends to
// report. It returns false if the renewal keeps waiting.
func (sim *simulation) answerRenewal(renewal *pendingRenewal) bool {
	sent := epoch.Add(renewal.sent)
	if !sim.isReachable(renewal.order.Worker) {
		if sim.elapsed-renewal.sent < renewal.order.Wait+orderTimeout {
			return false
		}
		sim.deliver(renewal.core, func() {
			renewal.core.HandleRenewal(renewal.order, control.RenewalAnswer{Result: control.Unanswered}, sent, sim.now())
		})
		return true
	}
	target := sim.fleet.Workers[renewal.order.Worker]
	newEnds := false
	for _, e := range target.Ended() {
		newEnds = newEnds || e.Number > renewal.order.AcknowledgedEnd
	}
	if !newEnds && sim.elapsed-renewal.sent < renewal.order.Wait {
		// The lease is extended when the order arrives, not when it is answered.
		target.ExtendLease(renewal.order, sim.now())
		return false
	}
	a := target.Renew(renewal.order, sim.now())
	sim.after(ms(sim.pattern.Bounds.OrderMS), func() {
		sim.deliver(renewal.core, func() {
			renewal.core.HandleRenewal(renewal.order, a, sent, sim.now())
			if next, ok := renewal.core.NextRenewal(renewal.order.Worker, sim.now()); ok {
				sim.sendRenewal(renewal.core, next)
			}
		})
	})
	return true
}
