package control

import (
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

const (
	// orderRetryPause is the pause before an unanswered order is repeated. A repeated start of
	// the same run has no further effect on its worker.
	orderRetryPause = 50 * time.Millisecond
	// orderTimeout is the time after which a start order is sent again if its call has not
	// returned.
	orderTimeout = 1500 * time.Millisecond
	// stopRetryPause is the pause before a stop is repeated.
	stopRetryPause = 500 * time.Millisecond
)

func (c *Core) newStartOrder(r *activeRun, now time.Time) StartOrder {
	r.attempts++
	r.sentAt = now
	r.incarnation, r.token = r.worker.number, r.worker.token
	return StartOrder{
		Worker: r.worker.ID, Address: r.worker.Address, Incarnation: r.worker.number, Task: r.id, Run: r.run, Spec: r.job.Spec,
		Checkpoint: r.saved, Ticket: c.ticketFor(r), DeadlineMS: c.nextDeadline(r.worker, now), Token: r.worker.token, Try: r.attempts,
		To: r.worker.recipient(now),
	}
}

func newStopOrder(w *worker, task workload.TaskID, run int64) StopOrder {
	return StopOrder{Worker: w.ID, Address: w.Address, Incarnation: w.number, Task: task, Run: run, Token: w.token}
}

// HandleStartAnswer handles the answer to a start order.
func (c *Core) HandleStartAnswer(order StartOrder, answer Answer, now time.Time) {
	r := c.runs[order.Task]
	w := c.workers[order.Worker]
	if w != nil && order.Incarnation == w.number {
		c.readClock(w, answer.ClockMS, now)
		w.newestConnection = max(w.newestConnection, answer.NewestConnection)
	}
	if w != nil && answer.Result == Unanswered {
		c.recordStrayOrder(w, now)
	}
	if answer.Result == Gone || answer.Result == Unreachable {
		c.retractCrash(order)
	}
	if r == nil || r.run != order.Run || r.worker != w {
		return
	}
	if order.Incarnation != w.number && answer.Result != Fenced {
		// The next incarnation's list of runs and ends will show whether the order was carried out.
		return
	}
	switch answer.Result {
	case Accepted:
		c.recordAnswer(w, r.sentAt)
		r.answered = true
		if r.answeredAt.IsZero() {
			r.answeredAt = now
		}
		if r.runningSinceMS == 0 && !r.step.Gang {
			r.runningSinceMS = answer.ClockMS
		}
	case Fenced:
		c.handleFenced(w, order.Token)
		r.retryAt = now
	case Gone:
		// Only an earlier attempt can have been carried out.
		r.unstarted = r.attempts == 1
		c.handleGone(w, order.Address, now)
		if !w.gone {
			r.unstarted = false
			r.retryAt = now.Add(orderRetryPause)
		}
	case Superseded:
		c.handleSuperseded(r, now)
	case Unanswered:
		c.handleUnanswered(r, now)
	case Unreachable:
		c.handleUnreached(r, now)
	default:
		c.handleRefused(r, answer.Result, now)
	}
}

// handleSuperseded handles the answer that the worker has already stopped or ended the run. The
// worker lists the run's end, unless the run never started there.
func (c *Core) handleSuperseded(r *activeRun, now time.Time) {
	r.superseded = r.superseded || !r.answered
	r.answered = true
	if r.answeredAt.IsZero() {
		r.answeredAt = now
	}
}

// handleUnanswered handles a start order without an answer: it may have been carried out, or may
// still be. It is repeated until the worker answers or its lease must have expired. A gang that
// waits for one member is stopped before the other members time out.
func (c *Core) handleUnanswered(r *activeRun, now time.Time) {
	c.emit(Event{Name: EventStartUnanswered, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run})
	c.markSilent(r.worker, now)
	c.recordNoAnswer(r.worker, r.sentAt, now)
	r.retryAt = now.Add(orderRetryPause)
	if r.step.Gang && now.Sub(r.orderedAt) > c.bounds.GangTimeout/3 {
		c.stopGang(r, EndGangIncomplete, "")
	}
}

// handleUnreached handles a start that was never sent. If no earlier attempt may still be carried
// out, the task is placed elsewhere at once, and a crash of the worker does not count against the
// task.
func (c *Core) handleUnreached(r *activeRun, now time.Time) {
	if r.attempts > 1 {
		c.handleUnanswered(r, now)
		return
	}
	c.emit(Event{Name: EventStartRefused, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: string(Unreachable)})
	c.markSilent(r.worker, now)
	c.recordNoAnswer(r.worker, r.sentAt, now)
	r.unstarted = true
	c.settleRun(r, EndStopped, "")
}

// handleRefused handles a start order that the worker refused. If an earlier attempt was not
// answered, it may still be carried out, so the run is stopped first: once the worker has accepted
// the stop, the order has no later effect. Otherwise the run is settled at once.
func (c *Core) handleRefused(r *activeRun, result Result, now time.Time) {
	c.emit(Event{Name: EventStartRefused, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: string(result)})
	if result == Unhealthy {
		r.worker.trust.recordRefusal(now)
	}
	if result == Full {
		r.worker.trust.recordFull(now)
	}
	if result == NoTicket {
		c.dropTicket(r)
	}
	if r.attempts == 1 {
		r.unstarted = true
		c.settleRun(r, EndStopped, "")
		return
	}
	c.stop(r, "refused-"+string(result))
}

// stop orders a worker to stop a run, and to refuse its start if that arrives later.
func (c *Core) stop(r *activeRun, reason string) {
	if r.stopping {
		return
	}
	if c.inBatch(r) {
		// The start order has not been sent and will not be.
		c.emit(Event{Name: EventRunWithdrawn, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: reason})
		r.unstarted = true
		c.settleRun(r, EndStopped, "")
		return
	}
	r.stopping = true
	r.evicted = !strings.HasPrefix(reason, gangStopPrefix)
	lost := 0.0
	if !r.settled {
		lost = c.lostWork(r, c.roundAt)
	}
	c.emitStop(r, reason, lost)
	c.pendingStops = append(c.pendingStops, newStopOrder(r.worker, r.id, r.run))
}

// HandleStopAnswer handles the answer to a stop order.
func (c *Core) HandleStopAnswer(order StopOrder, answer Answer, now time.Time) {
	w := c.workers[order.Worker]
	if w == nil {
		return
	}
	if order.Incarnation == w.number {
		c.readClock(w, answer.ClockMS, now)
	}
	switch answer.Result {
	case Fenced:
		c.handleFenced(w, order.Token)
	case Gone:
		if order.Incarnation == w.number {
			c.handleGone(w, order.Address, now)
		}
	}
	r := c.runs[order.Task]
	if r == nil || r.run != order.Run || r.worker != w {
		return
	}
	if order.Incarnation != w.number || answer.Result == Fenced {
		r.retryAt = now
		return
	}
	if answer.Result == Accepted {
		r.stopAccepted = true
		r.stopAcceptedAt = now
		return
	}
	r.retryAt = now.Add(stopRetryPause)
	if answer.Result == Unanswered || answer.Result == Unreachable {
		c.markSilent(w, now)
	}
}

// RetryOrders returns the start orders that are to be repeated, and queues repeated stop orders.
func (c *Core) RetryOrders(now time.Time) []StartOrder {
	var out []StartOrder
	for _, r := range c.allRuns() {
		if r.retryAt.IsZero() || now.Before(r.retryAt) {
			continue
		}
		r.retryAt = time.Time{}
		switch {
		case r.stopping && !r.stopAccepted:
			c.pendingStops = append(c.pendingStops, newStopOrder(r.worker, r.id, r.run))
		case r.stopping || !r.ordered || r.answered || r.confirmed || (r.incarnation != 0 && r.incarnation != r.worker.number):
			// There is nothing to repeat.
		case c.withdrawIfClosed(r):
			// The worker may start nothing more or is full, so the run was given up: the repeated
			// order might be the one that starts it.
		case !r.worker.reachable || c.isHeld(r.worker):
			// The next answer may come from another incarnation. A start that crashed the
			// previous one would crash it too, so wait for a lease renewal first.
			r.retryAt = now.Add(orderRetryPause)
		default:
			out = append(out, c.newStartOrder(r, now))
		}
	}
	return out
}

// expireLeases settles the runs of unreachable workers whose leases must have expired or that
// have left the list.
func (c *Core) expireLeases(now time.Time) {
	for _, w := range c.workersByID {
		switch {
		case len(w.runs) == 0:
		case w.departed && !w.reachable:
			c.declareGone(w, reasonLeft, now)
		case c.hasLapsed(w, now):
			c.releaseRuns(w, reasonLeaseOver, now)
			w.clockMS = 0
			w.deadlineMS, w.grantedMS = 0, 0
		}
	}
}

// queueSettings returns the configured settings of the job's queue, or those recorded with the job.
func (c *Core) queueSettings(j *job) workload.QueueSettings {
	if t, ok := c.config.Queues[j.Queue]; ok {
		return t
	}
	return j.QueueSettings
}

// guaranteedJobs returns the first-priority jobs of the accounts whose such jobs together need no
// more accelerators than the account is guaranteed. Cancelled and final jobs do not count.
func (c *Core) guaranteedJobs() map[workload.JobID]bool {
	claimed := map[string]int64{}
	for _, j := range c.jobs {
		if c.countsAgainstGuarantee(j) {
			claimed[string(j.Account)] += j.ClaimAccelerators()
		}
	}
	out := map[workload.JobID]bool{}
	for id, j := range c.jobs {
		if c.countsAgainstGuarantee(j) && claimed[string(j.Account)] <= c.config.Guaranteed[j.Account] {
			out[id] = true
		}
	}
	return out
}

// countsAgainstGuarantee reports whether a job uses up its account's guarantee: first-priority jobs
// do until they are cancelled or final.
func (c *Core) countsAgainstGuarantee(j *job) bool {
	return !j.cancelled && !j.progress.State.IsFinal() && c.queueSettings(j).Priority == 0
}

func unitKey(id workload.JobID, occurrence, step int) decide.UnitKey {
	return decide.UnitKey{Job: id, Occurrence: occurrence, Step: step}
}
