package replay

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// orders sends what the planner has decided and what is due.
func (w *world) orders() {
	for _, o := range w.core.Stops() {
		w.sendStop(w.core, o)
	}
	for _, o := range w.core.Due(w.now()) {
		w.sendStart(w.core, o)
	}
	for _, id := range w.core.NeedsHold(w.now()) {
		if o, ok := w.core.Hold(id, w.now()); ok {
			w.sendHold(w.core, o)
		}
	}
}

// reached tells whether an order comes through to a worker now.
func (w *world) reached(worker string) bool {
	h := w.workers[worker]
	return h != nil && !h.gone && w.at >= h.cutUntil
}

// send carries an order there, and its answer back or silence in its place.
func (w *world) send(core *control.Core, worker string, do func() func(), silence func()) {
	way := time.Duration(1+w.rng.IntN(2)) * ms(w.p.Bounds.OrderMS)
	w.after(way, func() {
		if !w.reached(worker) {
			w.after(orderTime, func() { w.deliver(core, silence) })
			return
		}
		answer := do()
		w.after(way, func() { w.deliver(core, answer) })
	})
}

// deliver gives an answer to the planner that asked, if it still plans.
func (w *world) deliver(core *control.Core, answer func()) {
	if core != w.core || w.at < w.plannerAway {
		return
	}
	answer()
	w.woken = true
}

func (w *world) sendStart(core *control.Core, o control.StartOrder) {
	w.m.starts++
	w.send(core, o.Worker, func() func() {
		a := w.fleet.Workers[o.Worker].Start(o, w.now())
		return func() { core.Started(o, a, w.now()) }
	}, func() { core.Started(o, control.Answer{Verdict: control.Unanswered}, w.now()) })
}

func (w *world) sendStop(core *control.Core, o control.StopOrder) {
	w.send(core, o.Worker, func() func() {
		a := w.fleet.Workers[o.Worker].Stop(o, w.now())
		return func() { core.Stopped(o, a, w.now()) }
	}, func() { core.Stopped(o, control.Answer{Verdict: control.Unanswered}, w.now()) })
}

// sendHold lets a hold wait on its worker until something ends there.
func (w *world) sendHold(core *control.Core, o control.HoldOrder) {
	w.after(ms(w.p.Bounds.OrderMS), func() {
		w.holds = append(w.holds, &pendingHold{core, o, w.at})
	})
}

func (w *world) answerHolds() {
	waiting := w.holds[:0]
	for _, h := range w.holds {
		if !w.answerHold(h) {
			waiting = append(waiting, h)
		}
	}
	w.holds = waiting
}

// answerHold answers a hold that has waited for long enough, or that has ends
// to tell; false leaves it waiting.
func (w *world) answerHold(h *pendingHold) bool {
	sent := epoch.Add(h.sent)
	if !w.reached(h.order.Worker) {
		if w.at-h.sent < h.order.Wait+orderTime {
			return false
		}
		w.deliver(h.core, func() {
			h.core.Held(h.order, control.HoldAnswer{Verdict: control.Unanswered}, sent, w.now())
		})
		return true
	}
	target := w.fleet.Workers[h.order.Worker]
	fresh := false
	for _, e := range target.Ended() {
		fresh = fresh || e.Number > h.order.Cursor
	}
	if !fresh && w.at-h.sent < h.order.Wait {
		// The lease holds from the time that the order came.
		target.Keep(h.order, w.now())
		return false
	}
	a := target.Hold(h.order, w.now())
	w.after(ms(w.p.Bounds.OrderMS), func() {
		w.deliver(h.core, func() {
			h.core.Held(h.order, a, sent, w.now())
			if next, ok := h.core.Hold(h.order.Worker, w.now()); ok {
				w.sendHold(h.core, next)
			}
		})
	})
	return true
}
