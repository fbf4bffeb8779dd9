package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

const (
	// RenewalRetryPause is the pause after an unanswered lease renewal.
	RenewalRetryPause = 200 * time.Millisecond
	// ackPause is how long the next lease renewal waits for ends to reach the log, so that it can
	// acknowledge them, or for the record without a held worker. Either may take as long as the log
	// is out of reach.
	ackPause = 400 * time.Millisecond
	// pollPause is the pause after a lease renewal that returned at once.
	pollPause = 50 * time.Millisecond
)

// HandleRenewal handles the answer to a lease renewal that was sent at the given time.
func (c *Core) HandleRenewal(order RenewalOrder, answer RenewalAnswer, sent, now time.Time) {
	w := c.workers[order.Worker]
	if w == nil || (order.Number != 0 && order.Number != w.renewalNumber) {
		return
	}
	w.renewalInFlight = false
	switch answer.Result {
	case Accepted:
		w.unansweredSince = time.Time{}
		c.recordAnswer(w, now)
		c.handleAccepted(w, order, answer, sent, now)
	case Fenced:
		c.handleFenced(w, order.Token)
		w.nextRenewalAt = now.Add(RenewalRetryPause)
	case Gone:
		c.handleGone(w, order.Address, now)
	default:
		c.recordProblem(w, answer.Problem)
		c.recordStrayOrder(w, sent)
		if w.unansweredSince.IsZero() {
			// A long poll is answered after its wait. A call may also fail before.
			w.unansweredSince = earlier(sent.Add(order.Wait), now)
		}
		c.recordNoAnswer(w, sent.Add(order.Wait), now)
		c.markSilent(w, now)
		w.nextRenewalAt = now.Add(RenewalRetryPause)
	}
}

// handleFenced handles a refusal because of a newer token. If this planner has raised the token
// itself since, no other planner is involved.
func (c *Core) handleFenced(w *worker, token int64) {
	if token < w.token {
		return
	}
	if !c.deposed {
		c.emit(Event{Name: EventTokenRefused, Worker: w.ID})
	}
	c.deposed = true
}

func (c *Core) handleAccepted(w *worker, order RenewalOrder, answer RenewalAnswer, sent, now time.Time) {
	if w.isAnotherIncarnation(answer) {
		c.replaceIncarnation(w, order, answer, now)
	}
	if answer.StartMS != 0 {
		w.startMS = answer.StartMS
	}
	c.compareSpeedIncarnation(w)
	c.recordProblem(w, answer.Problem)
	w.endSuspected = false
	if !w.everReached {
		// Its entry may have shown the clock of an earlier incarnation.
		w.clockMS = 0
	}
	w.recordAnswerSent(sent)
	w.updateClockAnchor(answer.ClockMS, sent)
	c.readClock(w, answer.ClockMS, now)
	c.judgeLapsedCrash(w, now)
	if !w.reachable {
		c.emit(Event{Name: EventWorkerAnswers, Worker: w.ID, Detail: fmt.Sprintf("born=%d", answer.StartMS)})
	}
	if !w.everReached {
		// An earlier planner may have given it a lease until then.
		w.deadlineMS = max(w.deadlineMS, answer.ClockMS+c.bounds.Lease.Milliseconds())
	}
	w.reachable, w.lossRecorded = true, false
	w.everReached = true
	w.answeredAddress = order.Address
	w.newestConnection = max(w.newestConnection, answer.NewestConnection)
	if order.Incarnation == w.number {
		w.acknowledgedEnd = max(w.acknowledgedEnd, order.AcknowledgedEnd)
	}
	reported := c.reconcileRunning(w, answer.Running, answer.ClockMS, now)
	for _, row := range answer.Ended {
		c.handleEnd(w, row, now)
	}
	if !answer.More {
		c.settleMissing(w, reported, order.Token, sent)
	}
	c.updateSpell(w, now)
	c.adjustThrottling(w, now)
	switch {
	case w.receivedEnd > w.persistedEnd || c.isHeld(w):
		w.nextRenewalAt = now.Add(ackPause)
	case order.Wait == 0:
		w.nextRenewalAt = now.Add(pollPause)
	}
}

// recordProblem reports what is wrong with a worker's answer, once.
func (c *Core) recordProblem(w *worker, problem string) {
	if problem != "" && problem != w.problem {
		c.emit(Event{Name: EventWorkerUnreadable, Worker: w.ID, Reason: problem})
	}
	w.problem = problem
}

// reconcileRunning compares the reported runs with the planned ones, and returns the tasks that
// were reported as planned.
func (c *Core) reconcileRunning(w *worker, rows []RunningRow, clockMS int64, now time.Time) map[workload.TaskID]bool {
	reported := make(map[workload.TaskID]bool, len(rows))
	unexpected := map[workload.TaskID]int64{}
	for _, row := range rows {
		r := w.runs[row.Task]
		if r == nil || r.run != row.Run {
			unexpected[row.Task] = row.Run
			continue
		}
		reported[row.Task] = true
		c.updateRun(r, row, now)
		c.clearIfStable(r, clockMS, row.Percent)
	}
	for _, row := range rows {
		id, run := row.Task, row.Run
		if unexpected[id] != run {
			continue
		}
		c.emit(Event{Name: EventStrangeRun, Job: id.Job, Task: id.String(), Worker: w.ID, Run: run})
		c.pendingStops = append(c.pendingStops, newStopOrder(w, id, run))
	}
	w.unexpectedRuns = unexpected
	return reported
}

func (c *Core) updateRun(r *activeRun, row RunningRow, now time.Time) {
	r.incarnation = r.worker.number
	if !r.confirmed {
		r.confirmed = true
		if r.orderedAt.IsZero() {
			r.orderedAt = now
		}
	}
	// Restart the observation after a gap in the reports.
	gap := !r.reportedAt.IsZero() && now.Sub(r.reportedAt) > 2*c.bounds.PollWait
	r.reportedAt = now
	if r.firstAt.IsZero() && row.Percent > 0 {
		r.firstPercent = row.Percent
		r.firstAt = now
	}
	if row.Percent > r.percent || r.progressedAt.IsZero() || gap {
		r.percent = row.Percent
		r.progressedAt = now
	}
	if row.Checkpoint != "" {
		if row.Checkpoint != r.saved {
			r.savedAt = now
		}
		r.saved = row.Checkpoint
	}
	if r.isRated() {
		if gap {
			r.rateCheck.restart(row.Percent, now)
		}
		r.rateCheck.observe(row.Percent, c.spells[r.worker.ID] != nil, now)
		r.updateRating()
	}
	r.metric = row.Metric
	if r.step.Perpetual {
		r.percent = row.Percent
	}
}

// handleEnd handles one reported end. The worker may forget it once it is in the log.
func (c *Core) handleEnd(w *worker, row EndedRow, now time.Time) {
	if row.Number <= w.receivedEnd && !w.unappliedEnds[row.Number] {
		if row.Number <= w.acknowledgedEnd {
			c.emit(Event{Name: EventEndPassedOver, Job: row.Task.Job, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Reason: string(row.End), Detail: fmt.Sprintf("number=%d seen=%d told=%d", row.Number, w.receivedEnd, w.acknowledgedEnd)})
		}
		return
	}
	w.receivedEnd = max(w.receivedEnd, row.Number)
	c.unpersisted[w] = true
	if c.deferUnknownEnd(w, row, now) {
		w.unappliedEnds[row.Number] = true
		return
	}
	delete(w.unappliedEnds, row.Number)
	r := w.runs[row.Task]
	if r == nil || r.run != row.Run {
		c.handleLateEnd(w, row)
		return
	}
	c.emitRunEnd(r, row, now)
	c.learnFromEnd(w, r, row.End, now)
	r.job.recordRunTime(r, row.End, now)
	c.recordOwedTime(r, row.End, now)
	c.settleRun(r, row.End, row.Checkpoint)
}

// settleMissing settles runs that the worker neither runs nor lists as ended. A run that an
// earlier planner ordered, or that was ordered before the worker's token was raised, can't start
// any more, because the worker has seen the newer token. The order for a run that this planner
// ordered since may still be in transit, unless the worker had confirmed the run before this
// lease renewal was sent.
func (c *Core) settleMissing(w *worker, reported map[workload.TaskID]bool, token int64, sent time.Time) {
	for _, r := range w.sortedRuns() {
		id := r.id
		if reported[id] {
			continue
		}
		switch {
		case r.incarnation != 0 && r.incarnation != w.number:
			// Lost with the previous incarnation. The run keeps its place until no order can
			// start it any more.
			if r.token < token {
				c.settleRun(r, EndLapsed, "")
			}
		case !r.ordered && !c.inBatch(r):
			c.emit(Event{Name: EventRunNeverBegan, Job: id.Job, Task: id.String(), Worker: w.ID, Run: r.run})
			r.unstarted = true
			c.settleRun(r, EndLapsed, "")
		case (r.answered && r.answeredAt.Before(sent)) || (r.confirmed && r.token < token):
			c.emit(Event{Name: EventRunVanished, Job: id.Job, Task: id.String(), Worker: w.ID, Run: r.run, Detail: fmt.Sprintf("seen=%d cursor=%d", w.receivedEnd, w.persistedEnd)})
			c.settleRun(r, EndLapsed, "")
		case r.stopAccepted && r.stopAcceptedAt.Before(sent):
			c.settleRun(r, EndStopped, "")
		default:
			c.reportUnsettled(r, sent)
		}
	}
}

// reportUnsettled reports a run that its worker has not listed for longer than a start order can
// be in transit, although it answers. Nothing settles such a run, so that its task, or its whole
// gang, would wait forever.
func (c *Core) reportUnsettled(r *activeRun, sent time.Time) {
	if r.sentAt.IsZero() || r.unsettledReported || sent.Sub(r.sentAt) < c.maxOrderDelay() {
		return
	}
	r.unsettledReported = true
	c.emit(Event{Name: EventRunUnsettled, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Detail: fmt.Sprintf("tries=%d answered=%t confirmed=%t stopping=%t", r.attempts, r.answered, r.confirmed, r.stopping)})
}

func (c *Core) inBatch(r *activeRun) bool {
	for _, list := range [][]*activeRun{c.batchStarts, c.pendingStarts} {
		for _, other := range list {
			if other == r {
				return true
			}
		}
	}
	return false
}

// settleRun settles a run and frees its capacity.
func (c *Core) settleRun(r *activeRun, end End, saved string) {
	c.dropRun(r)
	j := r.job
	t := c.task(r)
	if t == nil || r.settled {
		c.finalize(j)
		return
	}
	r.settled = true
	c.markDirty(j)
	savedByStop := saved != "" && end == EndStopped
	if saved == "" {
		saved = r.saved
	}
	if r.step.Checkpoint && !c.takesProgress(r, savedByStop) {
		saved = ""
	}
	if end == EndDone && !r.step.Perpetual {
		c.completeTask(r)
		return
	}
	c.requeue(r, t, end, saved)
}

// completeTask marks a task as done, or the whole gang at its first member's end.
func (c *Core) completeTask(r *activeRun) {
	j := r.job
	for _, o := range j.progress.Open {
		if o.Number != r.id.Occurrence {
			continue
		}
		if !r.step.Gang {
			o.Steps[r.id.Step][r.id.Index] = workload.Task{Phase: workload.Done}
			break
		}
		for i := range o.Steps[r.id.Step] {
			o.Steps[r.id.Step][i] = workload.Task{Phase: workload.Done}
		}
		c.settleGangMembers(r)
	}
	c.closeOccurrences(j)
}

// settleGangMembers marks the other members of a gang as settled. They keep their capacity until
// their ends are listed.
func (c *Core) settleGangMembers(r *activeRun) {
	for _, other := range r.job.runsOf(r.key) {
		other.settled = true
	}
}

// requeue returns a task to the queue, or fails its job after too many failures.
func (c *Core) requeue(r *activeRun, t *workload.Task, end End, saved string) {
	t.Phase = workload.Waiting
	t.Worker = ""
	if saved != "" && r.step.Checkpoint {
		t.LastCheckpoint = saved
	}
	if r.step.Gang {
		if r.percent > 0 || end == EndFailed {
			// The gang had started as a whole, so its waiting time restarts. If it were counted
			// from the first start, a guaranteed gang would take any place at once, spread over
			// racks, and run for three times as long.
			delete(r.job.waitingSince, r.key)
		}
		c.stopGang(r, end, t.LastCheckpoint)
	}
	if took, known := r.runTime(c.roundAt); end == EndFailed && known && took > c.clearAfter(r, t) {
		c.resetCrashes(r, t)
	}
	if end == EndFailed && !r.step.Perpetual {
		c.countFailure(r)
	}
	if r.isSpent(t) {
		c.failForCrashes(r)
	}
	c.finalize(r.job)
}

// gangStopPrefix begins the reasons for stopping a gang's members because one of them has ended.
const gangStopPrefix = "gang-"

// stopGang stops the remaining members of a gang's run.
func (c *Core) stopGang(r *activeRun, end End, saved string) {
	for _, other := range r.job.runsOf(r.key) {
		c.stop(other, gangStopPrefix+string(end))
	}
	if saved == "" {
		return
	}
	for _, o := range r.job.progress.Open {
		if o.Number != r.id.Occurrence {
			continue
		}
		for i := range o.Steps[r.id.Step] {
			o.Steps[r.id.Step][i].LastCheckpoint = saved
		}
	}
}

// countFailure counts a failure of the task, or one failure per run of its gang.
func (c *Core) countFailure(r *activeRun) {
	counted := r.job.failureCounter(r.id)
	if r.step.Gang && counted.FailedRun == r.run {
		return
	}
	counted.FailedRun = r.run
	counted.Failures++
	r.job.avoidedWorkers[r.worker.ID] = true
	attempts := max(1, c.queueSettings(r.job).MaxAttempts)
	detail := fmt.Sprintf("failures=%d allowed=%d", counted.Failures, attempts)
	c.emit(Event{Name: EventAttemptCounted, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Detail: detail})
	if counted.Failures < attempts || r.job.progress.State.IsFinal() {
		return
	}
	c.emit(Event{Name: EventJobFailed, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: "attempts-used", Detail: detail})
	c.failJob(r.job)
}

// failureCounter returns the record in which the failures of a task are counted: its own, or that of
// its gang's first task.
func (j *job) failureCounter(id workload.TaskID) *workload.Task {
	if j.Steps[id.Step].Gang {
		id.Index = 0
	}
	return j.progress.FindTask(id)
}

// closeOccurrences closes occurrences that are done, and completes the job after its last one.
func (c *Core) closeOccurrences(j *job) {
	open := j.progress.Open[:0]
	for _, o := range j.progress.Open {
		if !o.IsDone() {
			open = append(open, o)
		}
	}
	j.progress.Open = open
	if len(open) == 0 && j.progress.NextOccurrence >= j.Occurrences() && !j.progress.State.IsFinal() {
		j.progress.State = workload.Completed
		c.emitCompletion(j)
	}
	c.finalize(j)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
