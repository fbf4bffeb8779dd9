package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

const (
	// HoldRetry is the pause after a hold without an answer.
	HoldRetry = 200 * time.Millisecond
	// ackPause is how long the next hold waits for ends to reach the log, so that
	// it can tell the worker to forget them.
	ackPause = 400 * time.Millisecond
	// lookPause is the pause after a hold that did not wait.
	lookPause = 50 * time.Millisecond
)

// Held takes the answer to a hold that was sent at the given time.
func (c *Core) Held(order HoldOrder, answer HoldAnswer, sent, now time.Time) {
	w := c.workers[order.Worker]
	if w == nil || (order.Number != 0 && order.Number != w.asked) {
		return
	}
	w.holding = false
	switch answer.Verdict {
	case Accepted:
		c.answers(w, now)
		c.news(w, order, answer, sent, now)
	case Fenced:
		c.fenced(w, order.Token)
		w.holdAt = now.Add(HoldRetry)
	case Gone:
		c.goneFrom(w, order.Address, now)
	default:
		c.unreadable(w, answer.Problem)
		c.stray(w, sent)
		c.mute(w, sent.Add(order.Wait), now)
		c.silence(w, now)
		w.holdAt = now.Add(HoldRetry)
	}
}

// fenced takes a refusal for a newer token. One that this planner has raised itself since
// tells nothing of others.
func (c *Core) fenced(w *worker, token int64) {
	if token < w.token {
		return
	}
	if !c.deposed {
		c.note(Note{Event: EventTokenRefused, Worker: w.ID})
	}
	c.deposed = true
}

func (c *Core) news(w *worker, order HoldOrder, answer HoldAnswer, sent, now time.Time) {
	if w.anotherLife(answer) {
		c.restart(w, order, answer, now)
	}
	if answer.Born != 0 {
		w.born = answer.Born
	}
	c.unreadable(w, answer.Problem)
	w.doubt = false
	if !w.ever {
		// Its entry may have shown the clock of a life before.
		w.clockMS = 0
	}
	w.heard(sent)
	w.anchor(answer.ClockMS, sent)
	c.readClock(w, answer.ClockMS, now)
	if !w.met {
		c.note(Note{Event: EventWorkerAnswers, Worker: w.ID, Detail: fmt.Sprintf("born=%d", answer.Born)})
	}
	if !w.ever {
		// An earlier planner may have given it a lease until then.
		w.deadlineMS = max(w.deadlineMS, answer.ClockMS+c.bounds.Lease.Milliseconds())
	}
	w.met = true
	w.ever = true
	w.connections = max(w.connections, answer.Connections)
	if order.Life == w.number {
		w.told = max(w.told, order.Cursor)
	}
	listed := c.takeRunning(w, answer.Running, answer.ClockMS, now)
	for _, row := range answer.Ended {
		c.takeEnd(w, row, now)
	}
	if !answer.More {
		c.missing(w, listed, order.Token, sent)
	}
	c.controlPace(w, now)
	switch {
	case w.seen > w.cursor:
		w.holdAt = now.Add(ackPause)
	case order.Wait == 0:
		w.holdAt = now.Add(lookPause)
	}
}

// unreadable notes what is wrong with a worker's answer, once.
func (c *Core) unreadable(w *worker, problem string) {
	if problem != "" && problem != w.problem {
		c.note(Note{Event: EventWorkerUnreadable, Worker: w.ID, Why: problem})
	}
	w.problem = problem
}

// takeRunning compares what runs with what should, and returns what was listed.
func (c *Core) takeRunning(w *worker, rows []RunningRow, clockMS int64, now time.Time) map[workload.TaskID]bool {
	listed := make(map[workload.TaskID]bool, len(rows))
	strange := map[workload.TaskID]int64{}
	for _, row := range rows {
		l := w.tasks[row.Task]
		if l == nil || l.run != row.Run {
			strange[row.Task] = row.Run
			continue
		}
		listed[row.Task] = true
		c.seenRunning(l, row, now)
		c.clearOf(l, clockMS, row.Percent)
	}
	for _, row := range rows {
		id, run := row.Task, row.Run
		if strange[id] != run {
			continue
		}
		c.note(Note{Event: EventStrangeRun, Job: id.Job, Task: id.String(), Worker: w.ID, Run: run})
		c.stops = append(c.stops, stopOrder(w, id, run))
	}
	w.strange = strange
	return listed
}

func (c *Core) seenRunning(l *live, row RunningRow, now time.Time) {
	l.life = l.worker.number
	if !l.confirmed {
		l.confirmed = true
		if l.orderedAt.IsZero() {
			l.orderedAt = now
		}
	}
	// A gap in which it was not shown starts the observation anew.
	gap := !l.seenAt.IsZero() && now.Sub(l.seenAt) > 2*c.bounds.Wait
	l.seenAt = now
	if l.firstAt.IsZero() && row.Percent > 0 {
		l.firstPercent = row.Percent
		l.firstAt = now
	}
	if row.Percent > l.percent || l.movedAt.IsZero() || gap {
		l.percent = row.Percent
		l.movedAt = now
	}
	if row.Saved != "" {
		l.saved = row.Saved
	}
	l.rate()
	l.figure = row.Figure
	if l.step.Perpetual {
		l.percent = row.Percent
	}
}

// takeEnd takes one end in. Its worker may forget it once it is in the log.
func (c *Core) takeEnd(w *worker, row EndedRow, now time.Time) {
	if row.Number <= w.seen && !w.unapplied[row.Number] {
		if row.Number <= w.told {
			c.note(Note{Event: EventEndPassedOver, Job: row.Task.Job, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Why: string(row.How), Detail: fmt.Sprintf("number=%d seen=%d told=%d", row.Number, w.seen, w.told)})
		}
		return
	}
	w.seen = max(w.seen, row.Number)
	c.unwritten[w] = true
	if c.keepsUnknown(w, row, now) {
		w.unapplied[row.Number] = true
		return
	}
	delete(w.unapplied, row.Number)
	l := w.tasks[row.Task]
	if l == nil || l.run != row.Run {
		c.lateEnd(w, row)
		return
	}
	c.note(Note{Event: EventRunEnded, Job: l.id.Job, Task: l.id.String(), Worker: w.ID, Run: l.run, Why: string(row.How), Detail: fmt.Sprintf("number=%d", row.Number)})
	c.learn(w, l, row.How, now)
	l.job.worked(l, row.How, now)
	c.ended(l, row.How, row.Saved)
}

// missing settles tasks that the worker neither runs nor has ended. A task that
// an earlier planner ordered, or that was ordered before the worker's token was raised,
// can't start any more, because the worker has seen the newer token. One that this planner
// ordered since may be on its way, unless the worker had confirmed it before it was asked.
func (c *Core) missing(w *worker, listed map[workload.TaskID]bool, token int64, sent time.Time) {
	for _, l := range w.sortedTasks() {
		id := l.id
		if listed[id] {
			continue
		}
		switch {
		case l.life != 0 && l.life != w.number:
			// Lost with the life before; it stays in its place until no order can begin it.
			if l.token < token {
				c.ended(l, EndLapsed, "")
			}
		case !l.ordered && !c.inBatch(l):
			c.note(Note{Event: EventRunNeverBegan, Job: id.Job, Task: id.String(), Worker: w.ID, Run: l.run})
			l.unbegun = true
			c.ended(l, EndLapsed, "")
		case (l.answered && l.answeredAt.Before(sent)) || (l.confirmed && l.token < token):
			c.note(Note{Event: EventRunVanished, Job: id.Job, Task: id.String(), Worker: w.ID, Run: l.run, Detail: fmt.Sprintf("seen=%d cursor=%d", w.seen, w.cursor)})
			c.ended(l, EndLapsed, "")
		case l.barred && l.stopAt.Before(sent):
			c.ended(l, EndStopped, "")
		default:
			c.watchUnsettled(l, sent)
		}
	}
}

// watchUnsettled tells of a run that its worker, which answers, has not shown for longer than any
// order to start it can be on its way: nothing that is known settles it, so that its task, or its
// whole gang, would wait for ever.
func (c *Core) watchUnsettled(l *live, sent time.Time) {
	if l.sentAt.IsZero() || l.unsettled || sent.Sub(l.sentAt) < c.strayFor() {
		return
	}
	l.unsettled = true
	c.note(Note{Event: EventRunUnsettled, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Detail: fmt.Sprintf("tries=%d answered=%t confirmed=%t stopping=%t", l.tries, l.answered, l.confirmed, l.stopping)})
}

func (c *Core) inBatch(l *live) bool {
	for _, list := range [][]*live{c.batch, c.starts} {
		for _, other := range list {
			if other == l {
				return true
			}
		}
	}
	return false
}

// ended settles a run. The room is free from here on.
func (c *Core) ended(l *live, how End, saved string) {
	c.dropLive(l)
	j := l.job
	t := c.task(l)
	if t == nil || l.over {
		c.settle(j)
		return
	}
	l.over = true
	c.change(j)
	if saved == "" {
		saved = l.saved
	}
	if how == EndDone && !l.step.Perpetual {
		c.finish(l)
		return
	}
	c.back(l, t, how, saved)
}

// finish takes a task, or with one member the whole gang, as done.
func (c *Core) finish(l *live) {
	j := l.job
	for _, o := range j.progress.Open {
		if o.K != l.id.K {
			continue
		}
		if !l.step.Gang {
			o.Steps[l.id.Step][l.id.Index] = workload.Task{Phase: workload.Done}
			break
		}
		for i := range o.Steps[l.id.Step] {
			o.Steps[l.id.Step][i] = workload.Task{Phase: workload.Done}
		}
		c.settleGang(l)
	}
	c.advance(j)
}

// settleGang marks the other members of a gang as over; they keep their room
// until their ends are listed.
func (c *Core) settleGang(l *live) {
	for _, other := range l.job.livesOf(l.key) {
		other.over = true
	}
}

// back puts a task in line again, or ends its job where it has failed too often.
func (c *Core) back(l *live, t *workload.Task, how End, saved string) {
	t.Phase = workload.Waiting
	t.Worker = ""
	if saved != "" && l.step.Checkpoint {
		t.Saved = saved
	}
	if l.step.Gang {
		if l.percent > 0 || how == EndFailed {
			// It had begun whole, so that its wait begins anew: counted from its first one
			// a guaranteed gang would take any place at once, and run over racks at three
			// times its time.
			delete(l.job.since, l.key)
		}
		c.breakGang(l, how, t.Saved)
	}
	if took, known := l.lasted(c.at); how == EndFailed && known && took > c.steady(l, t) {
		c.reset(l, t)
	}
	if how == EndFailed && !l.step.Perpetual {
		c.fail(l)
	}
	if l.spent(t) {
		c.giveUp(l)
	}
	c.settle(l.job)
}

// gangStop begins the reasons for which a gang's members are stopped: one of them has ended.
const gangStop = "gang-"

// breakGang stops what is left of a gang's run.
func (c *Core) breakGang(l *live, how End, saved string) {
	for _, other := range l.job.livesOf(l.key) {
		c.stop(other, gangStop+string(how))
	}
	if saved == "" {
		return
	}
	for _, o := range l.job.progress.Open {
		if o.K != l.id.K {
			continue
		}
		for i := range o.Steps[l.id.Step] {
			o.Steps[l.id.Step][i].Saved = saved
		}
	}
}

// fail counts a failure against the task, or once a run against its gang.
func (c *Core) fail(l *live) {
	counted := c.task(l)
	if l.step.Gang {
		first := l.id
		first.Index = 0
		counted = l.job.progress.Find(first)
		if counted.FailedRun == l.run {
			return
		}
		counted.FailedRun = l.run
	}
	counted.Fails++
	l.job.avoid[l.worker.ID] = true
	attempts := max(1, c.terms(l.job).Attempts)
	if counted.Fails < attempts || l.job.progress.State.Final() {
		return
	}
	c.note(Note{Event: EventJobFailed, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Why: "attempts-used"})
	c.failJob(l.job)
}

// advance closes occurrences that are done, and the job after its last.
func (c *Core) advance(j *job) {
	open := j.progress.Open[:0]
	for _, o := range j.progress.Open {
		if !o.Done() {
			open = append(open, o)
		}
	}
	j.progress.Open = open
	if len(open) == 0 && j.progress.Next >= j.Occurrences() && !j.progress.State.Final() {
		j.progress.State = workload.Completed
		c.complete(j)
	}
	c.settle(j)
}
