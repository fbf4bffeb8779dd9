package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

const (
	// orderRetry is the pause before an order without an answer is repeated; a
	// repeated start of the same run has no further effect on its worker.
	orderRetry = 50 * time.Millisecond
	// orderLost is the time after which an order of which nothing was heard at
	// all, not even that it had no answer, is sent again.
	orderLost = 1500 * time.Millisecond
	// stopRetry is the pause before a stop is repeated.
	stopRetry = 500 * time.Millisecond
)

func (c *Core) startOrder(l *live, now time.Time) StartOrder {
	l.tries++
	l.sentAt = now
	l.life, l.token = l.worker.number, l.worker.token
	l.worker.orderToken = l.token
	return StartOrder{
		Worker: l.worker.ID, Address: l.worker.Address, Life: l.worker.number, Task: l.id, Run: l.run, Spec: l.job.Spec,
		Saved: l.saved, Ticket: c.ticketFor(l), DeadlineMS: c.deadline(l.worker, now), Token: l.worker.token, Try: l.tries,
		To: l.worker.recipient(now),
	}
}

func stopOrder(w *worker, task workload.TaskID, run int64) StopOrder {
	return StopOrder{Worker: w.ID, Address: w.Address, Life: w.number, Task: task, Run: run, Token: w.token}
}

// Started takes the answer to a start.
func (c *Core) Started(order StartOrder, answer Answer, now time.Time) {
	l := c.live[order.Task]
	w := c.workers[order.Worker]
	if w != nil && order.Life == w.number {
		c.readClock(w, answer.ClockMS, now)
		w.connections = max(w.connections, answer.Connections)
	}
	if w != nil && answer.Verdict == Unanswered {
		c.stray(w, now)
	}
	if l == nil || l.run != order.Run || l.worker != w {
		return
	}
	if order.Life != w.number && answer.Verdict != Fenced {
		// What the next life lists tells what came of it.
		return
	}
	switch answer.Verdict {
	case Accepted:
		c.answers(w, l.sentAt)
		l.answered = true
		if l.answeredAt.IsZero() {
			l.answeredAt = now
		}
		if l.workMS == 0 && !l.step.Gang {
			l.workMS = answer.ClockMS
		}
	case Fenced:
		c.fenced(w, order.Token)
		l.retryAt = now
	case Gone:
		c.goneFrom(w, order.Address, now)
	case Superseded:
		c.superseded(l, now)
	case Unanswered:
		c.unanswered(l, now)
	case Unreached:
		c.unreached(l, now)
	default:
		c.refused(l, answer.Verdict, now)
	}
}

// superseded: a stop of this run was carried out, or it has ended. Its end is in
// the worker's list, unless the run never was there.
func (c *Core) superseded(l *live, now time.Time) {
	l.answered = true
	if l.answeredAt.IsZero() {
		l.answeredAt = now
	}
}

// unanswered: the start may have been carried out, or may be later. It is
// repeated until the worker answers or its lease must have lapsed; a gang that
// waits for one member is given up before the others give up themselves.
func (c *Core) unanswered(l *live, now time.Time) {
	c.note(Note{Event: EventStartUnanswered, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run})
	c.silence(l.worker, now)
	c.mute(l.worker, l.sentAt, now)
	l.retryAt = now.Add(orderRetry)
	if l.step.Gang && now.Sub(l.orderedAt) > c.bounds.GangTimeout/3 {
		c.breakGang(l, EndAlone, "")
	}
}

// unreached: the start went nowhere. Where no earlier try may still be carried out its task
// goes elsewhere at once, and what happened to the worker says nothing of it.
func (c *Core) unreached(l *live, now time.Time) {
	if l.tries > 1 {
		c.unanswered(l, now)
		return
	}
	c.note(Note{Event: EventStartRefused, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: string(Unreached)})
	c.silence(l.worker, now)
	c.mute(l.worker, l.sentAt, now)
	l.unbegun = true
	c.ended(l, EndStopped, "")
}

// refused: the worker has done nothing, and this order has no effect any more
// once the run is barred.
func (c *Core) refused(l *live, verdict Verdict, now time.Time) {
	c.note(Note{Event: EventStartRefused, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: string(verdict)})
	if verdict == Unhealthy {
		l.worker.trust.refuse(now)
	}
	if verdict == Full {
		l.worker.trust.full(now)
	}
	if verdict == NoTicket {
		c.refuseTicket(l)
	}
	if l.tries == 1 {
		l.unbegun = true
		c.ended(l, EndStopped, "")
		return
	}
	// An earlier try had no answer and may still be carried out.
	c.stop(l, "refused-"+string(verdict))
}

// stop tells a worker to stop a run, and to refuse it where it is not there yet.
func (c *Core) stop(l *live, why string) {
	if l.stopping {
		return
	}
	if c.inBatch(l) {
		// It has not been ordered and will not be.
		c.note(Note{Event: EventRunWithdrawn, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: why})
		l.unbegun = true
		c.ended(l, EndStopped, "")
		return
	}
	l.stopping = true
	l.ceded = !strings.HasPrefix(why, gangStop)
	detail := ""
	if !l.over {
		detail = fmt.Sprintf("core_s=%.1f", c.lost(l, c.at))
	}
	c.note(Note{Event: EventRunStopping, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: why, Detail: detail})
	c.stops = append(c.stops, stopOrder(l.worker, l.id, l.run))
}

// Stopped takes the answer to a stop.
func (c *Core) Stopped(order StopOrder, answer Answer, now time.Time) {
	w := c.workers[order.Worker]
	if w == nil {
		return
	}
	if order.Life == w.number {
		c.readClock(w, answer.ClockMS, now)
	}
	switch answer.Verdict {
	case Fenced:
		c.fenced(w, order.Token)
	case Gone:
		c.goneFrom(w, order.Address, now)
		return
	}
	l := c.live[order.Task]
	if l == nil || l.run != order.Run || l.worker != w {
		return
	}
	if order.Life != w.number || answer.Verdict == Fenced {
		l.retryAt = now
		return
	}
	if answer.Verdict == Accepted {
		l.barred = true
		l.stopAt = now
		return
	}
	l.retryAt = now.Add(stopRetry)
	if answer.Verdict == Unanswered || answer.Verdict == Unreached {
		c.silence(w, now)
	}
}

// Due hands out the orders that are to be repeated.
func (c *Core) Due(now time.Time) []StartOrder {
	var out []StartOrder
	for _, l := range c.allLives() {
		if l.retryAt.IsZero() || now.Before(l.retryAt) {
			continue
		}
		l.retryAt = time.Time{}
		switch {
		case l.stopping && !l.barred:
			c.stops = append(c.stops, stopOrder(l.worker, l.id, l.run))
		case l.stopping || !l.ordered || l.answered || l.confirmed || (l.life != 0 && l.life != l.worker.number):
		case c.takeBack(l):
			// A repetition may be what begins it.
		case !l.worker.met:
			// Whoever answers next may be another life, which a start that crashed the one
			// before would crash too: a hold asks first.
			l.retryAt = now.Add(orderRetry)
		default:
			out = append(out, c.startOrder(l, now))
		}
	}
	return out
}

// expire releases what workers without an answer must have lost.
func (c *Core) expire(now time.Time) {
	for _, w := range c.inOrder {
		switch {
		case len(w.tasks) == 0:
		case w.departed && !w.met:
			c.lose(w, whyLeft, now)
		case c.lapsed(w, now):
			c.release(w, whyLeaseOver, now)
			w.clockMS = 0
			w.deadlineMS = 0
		}
	}
}

func (c *Core) terms(j *job) workload.Terms {
	if t, ok := c.config.Queues[j.Queue]; ok {
		return t
	}
	return j.Terms
}

func (c *Core) guaranteed() map[workload.JobID]bool {
	claims := map[string]int64{}
	for _, j := range c.jobs {
		if c.claims(j) {
			claims[string(j.Account)] += j.ClaimAccelerators()
		}
	}
	out := map[workload.JobID]bool{}
	for id, j := range c.jobs {
		if c.claims(j) && claims[string(j.Account)] <= c.config.Guaranteed[j.Account] {
			out[id] = true
		}
	}
	return out
}

// claims tells whether a job counts against its account's guarantee.
func (c *Core) claims(j *job) bool {
	return !j.cancelled && !j.progress.State.Final() && c.terms(j).Priority == 0
}

func unitKey(id workload.JobID, k, step int) decide.UnitKey {
	return decide.UnitKey{Job: id, K: k, Step: step}
}
