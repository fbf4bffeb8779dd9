package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A task may crash every worker that runs it. A single crash does not show which of the runs on
// the worker caused it, so it counts against each of their tasks. The count is kept in the
// progress record, where a successor finds it. A task is cleared once it has run for longer than
// it ever had when a worker crashed. Without the count, one task could crash one worker after the
// other without end.

const (
	// isolateAfterCrashes is the number of crashes from which on a task runs alone on its worker.
	isolateAfterCrashes = 2
	// maxCrashes is the number of crashes that count as evidence against a task at which its job
	// fails at once, provided that each came soon after the start of a run, and that nothing else
	// had just started on the worker at the last one. After as many crashes of any kind, the task
	// gets runsAfterMaxCrashes more runs, and its job fails if the last of these ends without
	// clearing the task, or if a worker crashes under it before: a task may crash its workers
	// during outages, and a gang's member is stopped by the crashes of others. A harmless task
	// has so many crashes only if it meets one faulty worker after the other, or is started into
	// one outage after the other.
	maxCrashes = 3
	// minAttributableCrashes is the number of workers that must have crashed outside outages, after a
	// run of the task had begun there, before its job may fail for crashes. Once the task may not be
	// started again, one is enough, with minProvenCrashes in all.
	minAttributableCrashes = 2
	minProvenCrashes       = 2
	// runsAfterMaxCrashes is how many runs a task gets after maxCrashes, extendedRunsAfterMaxCrashes
	// if the job of another task failed for one of these crashes, or if the first of these runs
	// failed without a crash and is no gang's, whose other members may crash. The task may crash its
	// workers all the same, and a third run would exceed the limit on its starts.
	runsAfterMaxCrashes         = 1
	extendedRunsAfterMaxCrashes = 2
	// crashDetectionTime is how long it takes to notice a crash: the pause between lease
	// renewals, plus a refused call.
	crashDetectionTime = 200 * time.Millisecond
	// earlyShare: a crash counts as soon after a run's start if it comes within a tenth of the
	// expected run time. An unrelated crash falls there one time in ten.
	earlyShare = 10
	// unstableLeases is for how many lease times an address is considered unstable after a worker
	// has crashed there. Tasks that are suspected of crashing workers avoid unstable addresses.
	unstableLeases = 4
)

// The reasons why an incarnation of a worker is known to have ended.
const (
	reasonLeaseOver          = "lease-over"
	reasonAnotherIncarnation = "another-life"
	reasonEndedBefore        = "ended-before"
	reasonRestarted          = "worker-restarted"
	reasonLeft               = "worker-left"
)

// crashWeight is what the loss of a worker counts as for the task of a run there.
type crashWeight string

const (
	// The loss is no crash, or the run had not begun, was ordered too late, or was settled before.
	crashIgnored crashWeight = ""
	// The run had been running for so long that its task is cleared.
	crashClears   crashWeight = "clears"
	crashEvidence crashWeight = "evidence"
	// The crash counts towards the limit on starts, but is no evidence.
	crashInOutage crashWeight = "outage"
	crashUnproven crashWeight = "unproven"
	// The worker's lease has ended. It counts towards the limit on starts, and is no crash until the
	// worker is known to have crashed.
	crashLapsed crashWeight = "lapsed"
)

// isCrash reports whether a worker's incarnation ended by a crash: it was not drained, its host's
// maintenance was not prepared or ordered, and either another incarnation is at its address, or its
// lease has expired, it is gone from the worker list, and its data centre is reachable. In the last
// case it may also have been cut off, which says nothing about its tasks (lapsed_crashes.go).
func (c *Core) isCrash(w *worker, reason string) bool {
	if w.Draining || w.previousDrained || c.vacating[w.ID] || c.maintained[w.ID] {
		return false
	}
	if reason == reasonLeaseOver {
		return !w.listed && !c.cutOff(w)
	}
	return true
}

// runTime returns the longest time that a run can have been running when its worker fell silent.
// ok is false if this planner does not know when it started: for a run that an earlier planner
// ordered, it knows only when the run was first reported.
func (r *activeRun) runTime(now time.Time) (took time.Duration, ok bool) {
	if r.orderedAt.IsZero() || !r.ordered {
		return 0, false
	}
	until := now
	if w := r.worker; !w.reachable && !w.silentSince.IsZero() {
		until = w.silentSince
	}
	return max(0, until.Sub(r.orderedAt)), true
}

// wasOrderedTooLate reports whether a run was ordered only after its worker had fallen silent.
func (r *activeRun) wasOrderedTooLate() bool {
	w := r.worker
	return !w.reachable && !r.orderedAt.IsZero() && !w.silentSince.IsZero() && r.orderedAt.After(w.silentSince)
}

// wasLostBefore reports whether a run was lost with an earlier incarnation of its worker. It keeps its
// place until no order can start it any more, and the next incarnation may end before.
func (r *activeRun) wasLostBefore() bool {
	return r.incarnation != 0 && r.incarnation != r.worker.number
}

// hadStopped reports whether a run must have ended by a stop before the given time.
func (c *Core) hadStopped(r *activeRun, at time.Time) bool {
	return r.stopAccepted && at.Sub(r.stopAcceptedAt) > c.bounds.StopTimeout
}

// hasBegun reports whether a run is known to have begun on its worker: the worker has accepted its
// start or listed it. An order without an answer proves nothing, nor does one that was refused because
// the run had been stopped or had ended.
func (r *activeRun) hasBegun() bool { return (r.answered && !r.superseded) || r.confirmed }

// isUnproven reports whether this planner ordered a run and has no proof that it began. The planner
// that ordered an adopted run may have had the proof.
func (r *activeRun) isUnproven() bool { return r.ordered && !r.hasBegun() }

// neverBegan reports whether a run is known not to have begun on its worker.
func (c *Core) neverBegan(r *activeRun) bool { return r.unstarted || c.inBatch(r) }

// isLongRunning reports whether a run had been running for so long when its worker crashed that
// it is not the cause. Otherwise work that takes hours would be suspected for hours, and keep
// other work off its worker.
func (c *Core) isLongRunning(r *activeRun, now time.Time) bool {
	took, known := r.runTime(now)
	return known && r.confirmed && took > c.unstablePeriod()
}

// earlyWindow returns how soon after its start a crash counts as evidence against a run.
func (c *Core) earlyWindow(r *activeRun) time.Duration {
	return max(c.estimates.expected(r.job, r.id.Step)/earlyShare, crashDetectionTime)
}

// clearAfter returns how long a run has to be running to clear its task of crashes: twice as long
// as the task had been running at any of them.
func (c *Core) clearAfter(r *activeRun, t *workload.Task) time.Duration {
	return 2 * max(time.Duration(t.CrashMS)*time.Millisecond, c.earlyWindow(r))
}

// clearIfStable clears a task of its crashes once its worker reports, by the worker's own clock,
// that it has been running for long enough. Answers may be delayed for seconds, so that their
// arrival time does not show how long the run lasted. A gang's member that waits for the others
// is not running yet, and reports no percentage.
func (c *Core) clearIfStable(r *activeRun, clockMS int64, percent int) {
	if r.step.Gang && percent == 0 {
		return
	}
	if r.runningSinceMS == 0 {
		r.runningSinceMS = clockMS
	}
	if t := c.task(r); t != nil && !r.settled && r.runningSinceMS != 0 && time.Duration(clockMS-r.runningSinceMS)*time.Millisecond > c.clearAfter(r, t) {
		c.resetCrashes(r, t)
	}
}

// resetCrashes clears the crash counts of a task whose run went on without crashing its worker.
func (c *Core) resetCrashes(r *activeRun, t *workload.Task) {
	if t.PossibleCrashes() == 0 || t.Run != r.run {
		return
	}
	c.emit(Event{Name: EventCrashesReset, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Detail: crashDetail(t)})
	t.ResetCrashes()
	delete(c.unprovenStarts, r.id)
	c.forgetLapsed(r.id)
	c.crashHistory.dropTask(r.id)
	c.markDirty(r.job)
}

// attributeCrash counts a worker's crash against the tasks that were running there, and returns
// the runs whose jobs fail because of it.
func (c *Core) attributeCrash(w *worker, lost []*activeRun, reason string, now time.Time) []*activeRun {
	if !c.isCrash(w, reason) {
		return nil
	}
	cr := crash{silentAt: now, noticedAt: now}
	if !w.reachable && !w.silentSince.IsZero() {
		cr.silentAt = w.silentSince
	}
	cr.explained = c.isExplained(lost)
	var jobs []workload.JobID
	var lapsed, givenUp []*activeRun
	for _, r := range lost {
		if c.neverBegan(r) {
			r.unstarted = true
			continue
		}
		jobs = append(jobs, r.id.Job)
		t := c.task(r)
		r.crashWeight = crashIgnored
		if t == nil || r.settled || t.Run != r.run || r.wasOrderedTooLate() || r.wasLostBefore() || c.hadStopped(r, cr.silentAt) {
			continue
		}
		if c.isLongRunning(r, now) {
			r.crashWeight = crashClears
			c.resetCrashes(r, t)
			continue
		}
		if reason == reasonLeaseOver {
			lapsed = append(lapsed, r)
			c.countLapsed(r, t, now)
			continue
		}
		c.countCrashAgainst(r, &cr, now)
		if (t.PossibleCrashes() > maxCrashes && mayGiveUp(t)) || c.isConclusive(r, t, lost, now) {
			givenUp = append(givenUp, r)
		}
	}
	c.recordLapsedCrash(w, cr, lapsed)
	c.crashHistory.expire(now.Add(-c.unstablePeriod()))
	if !w.lossRecorded {
		c.crashHistory.add(cr, slices.Compact(jobs))
	}
	w.lossRecorded = reason == reasonLeaseOver
	c.markUnstable(w, now)
	return givenUp
}

// isExplained reports whether one of the runs that were lost with a worker may have crashed it: several
// workers have crashed under its task before, at least one of them outside an outage.
func (c *Core) isExplained(lost []*activeRun) bool {
	return slices.ContainsFunc(lost, func(r *activeRun) bool {
		t := c.task(r)
		return t != nil && t.PossibleCrashes() >= isolateAfterCrashes && t.AttributableCrashes() > 0 && t.Run == r.run && !r.settled && !c.neverBegan(r)
	})
}

// countCrashAgainst counts the crash of a run's worker against the run's task.
func (c *Core) countCrashAgainst(r *activeRun, cr *crash, now time.Time) {
	t := c.task(r)
	c.countCrash(r, t, now)
	r.crashWeight = c.weighCrash(r, cr, now)
	switch r.crashWeight {
	case crashUnproven:
		t.Unproven++
		if r.attempts == 1 {
			c.unprovenStarts[r.id] = r.run
		}
	case crashInOutage:
		t.Excluded++
	default:
		cr.tasks = append(cr.tasks, r.id)
	}
}

// weighCrash returns what a crash that counts against a run's task counts as.
func (c *Core) weighCrash(r *activeRun, cr *crash, now time.Time) crashWeight {
	isForgotten := now.Sub(cr.noticedAt) > c.unstablePeriod()
	switch {
	case r.isUnproven():
		return crashUnproven
	case isForgotten || c.isInOutage(cr.silentAt, r.id.Job):
		return crashInOutage
	}
	return crashEvidence
}

func (c *Core) countCrash(r *activeRun, t *workload.Task, now time.Time) {
	t.Crashes++
	c.recordLoss(r, t, now)
}

// recordLoss records when a run was lost with its worker, and how long it may have been running.
func (c *Core) recordLoss(r *activeRun, t *workload.Task, now time.Time) {
	took, known := r.runTime(now)
	if !known {
		took = c.estimates.expected(r.job, r.id.Step)
	}
	t.CrashRun = r.run
	r.job.crashedAt, r.job.suspected = now, true
	t.CrashMS = max(t.CrashMS, min(took, c.unstablePeriod()).Milliseconds(), 1)
	c.markDirty(r.job)
}

// mayGiveUp reports whether a task's job may fail for the crashes under it. Beyond one crash more than
// maxCrashes a single attributable one is enough: the starts after the third crash are limited.
func mayGiveUp(t *workload.Task) bool {
	attributable := t.AttributableCrashes()
	return attributable >= minAttributableCrashes || (attributable > 0 && t.TotalCrashes() > maxCrashes+1)
}

// retractCrash uncounts a worker's crash under a run whose only start order turns out not to have been
// carried out: its answer came after that of another order which met the worker's successor.
func (c *Core) retractCrash(order StartOrder) {
	run, known := c.unprovenStarts[order.Task]
	if !known || run != order.Run {
		return
	}
	delete(c.unprovenStarts, order.Task)
	j := c.jobs[order.Task.Job]
	if j == nil {
		return
	}
	if t := j.progress.FindTask(order.Task); t != nil && t.Unproven > 0 {
		t.Unproven--
		t.Crashes--
		c.markDirty(j)
	}
}

// runsLeft returns how many runs a task gets after maxCrashes, the given one included.
func (r *activeRun) runsLeft(t *workload.Task) int64 {
	if t.Exonerated > 0 || (!r.step.Gang && t.FailedRun == r.run) {
		return extendedRunsAfterMaxCrashes
	}
	return runsAfterMaxCrashes
}

// isSpent reports whether the end of a run fails its job, since it was the last one that its task gets
// after maxCrashes. A run that never started, or that was evicted, proves nothing. A single
// attributable crash is enough once no further run is allowed.
func (r *activeRun) isSpent(t *workload.Task) bool {
	if r.unstarted || r.evicted || t.PossibleCrashes() < maxCrashes {
		return false
	}
	since := r.run - t.CrashRun
	if since >= extendedRunsAfterMaxCrashes && t.AttributableCrashes() > 0 && t.ProvenCrashes() >= minProvenCrashes {
		return true
	}
	return mayGiveUp(t) && since >= r.runsLeft(t)
}

// isConclusive reports whether a crash fails a run's job at once: all crashes came soon after the
// start of a run, the last one implicates this run, and the worker's address is not unstable.
func (c *Core) isConclusive(r *activeRun, t *workload.Task, lost []*activeRun, now time.Time) bool {
	early := time.Duration(t.CrashMS)*time.Millisecond <= c.earlyWindow(r)
	return t.Evidence() >= maxCrashes && early && !c.isUnstable(r.worker, now) && c.implicates(r, lost, now)
}

// implicates reports whether a crash points to a run as its cause: the run is known to have
// started, the crash came soon after its start, and all other jobs' runs there had been running
// for longer.
func (c *Core) implicates(r *activeRun, lost []*activeRun, now time.Time) bool {
	if took, known := r.runTime(now); !known || took > c.earlyWindow(r) || !r.hasBegun() {
		return false
	}
	for _, other := range lost {
		if ran, known := other.runTime(now); other.job != r.job && (!known || ran <= 2*c.earlyWindow(r)) {
			return false
		}
	}
	return true
}

// markUnstable records that a worker has crashed at its address.
func (c *Core) markUnstable(w *worker, now time.Time) {
	for address, at := range c.lastCrashAt {
		if now.Sub(at) > c.unstablePeriod() {
			delete(c.lastCrashAt, address)
		}
	}
	if w.Address != "" {
		c.lastCrashAt[w.Address] = now
	}
}

func (c *Core) unstablePeriod() time.Duration { return unstableLeases * c.bounds.Lease }

func (c *Core) isUnstable(w *worker, now time.Time) bool {
	at, ok := c.lastCrashAt[w.Address]
	return ok && now.Sub(at) <= c.unstablePeriod()
}

// releaseRuns settles all runs of a worker as ended without an outcome.
func (c *Core) releaseRuns(w *worker, reason string, now time.Time) {
	lost := w.sortedRuns()
	givenUp := c.attributeCrash(w, lost, reason, now)
	for _, r := range lost {
		c.emitRunLost(r, reason, len(lost)-1, now)
	}
	for _, r := range lost {
		c.settleRun(r, EndLapsed, "")
	}
	for _, r := range givenUp {
		c.failForCrashes(r)
	}
	w.unexpectedRuns = map[workload.TaskID]int64{}
}

func (c *Core) emitRunLost(r *activeRun, reason string, others int, now time.Time) {
	detail := fmt.Sprintf("beside=%d", others)
	if took, known := r.runTime(now); known {
		detail += fmt.Sprintf(" lasted_ms=%d", took.Milliseconds())
	}
	if r.crashWeight != crashIgnored {
		detail += " counts=" + string(r.crashWeight)
	}
	if t := c.task(r); t != nil && t.PossibleCrashes() > 0 {
		detail += " " + crashDetail(t)
	}
	c.emit(Event{Name: EventRunLost, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: reason, Detail: detail})
}

func crashDetail(t *workload.Task) string {
	return fmt.Sprintf("crashes=%d excluded=%d unproven=%d exonerated=%d lapsed=%d", t.Crashes, t.Excluded, t.Unproven, t.Exonerated, t.Lapsed)
}
