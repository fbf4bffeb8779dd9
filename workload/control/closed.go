package control

import "time"

// closedReason is why a worker gets no new work. The effect is the same for every reason: its
// capacity is not available to the plan, and no unit waits for it. Leases of the runs there are
// still renewed, and each run ends or is stopped by the rules of that reason.
type closedReason string

// The reasons, the longest-lasting first. A worker with several is counted under the first.
const (
	notClosed closedReason = ""
	// closedEvacuated: operators have asked that its data centre gets no new work.
	closedEvacuated closedReason = "evacuated"
	// closedDraining: the worker is shutting down.
	closedDraining closedReason = "draining"
	// closedUnreadable: its entry in the worker list can't be decoded.
	closedUnreadable closedReason = "unreadable"
	// closedVacated: its host's maintenance is about to begin.
	closedVacated closedReason = "vacated"
	// closedCentreSilent: calls to its data centre are not answered.
	closedCentreSilent closedReason = "centre-silent"
	// closedSilent: the worker does not answer, or a record in the log still says so.
	closedSilent closedReason = "silent"
	// closedRestarted: the worker list shows another incarnation under its id or at its address than
	// the one that has answered.
	closedRestarted closedReason = "restarted"
	// closedUnexpectedRuns: it runs tasks that the planner has not placed there.
	closedUnexpectedRuns closedReason = "strange-runs"
	// closedOverCapacity: its capacity has shrunk below what its runs take.
	closedOverCapacity closedReason = "room-shrunk"
	// closedDistrusted: it failed or refused several tasks in a row.
	closedDistrusted closedReason = "distrusted"
)

// closedReason returns why a worker gets no new work, or notClosed.
func (c *Core) closedReason(w *worker, now time.Time) closedReason {
	if reason := c.removedReason(w); reason != notClosed {
		return reason
	}
	switch {
	case c.vacating[w.ID]:
		return closedVacated
	case c.cutOff(w):
		return closedCentreSilent
	case !w.reachable || c.isHeld(w):
		return closedSilent
	case w.endSuspected:
		return closedRestarted
	case len(w.unexpectedRuns) > 0:
		return closedUnexpectedRuns
	case w.freeCapacity().HasNegative():
		return closedOverCapacity
	case w.trust.isClosed(now):
		return closedDistrusted
	}
	return notClosed
}

// removedReason returns why no run may start on a worker any more, or notClosed. For these
// reasons, starts that are already planned are withdrawn too; the others only prevent new ones.
func (c *Core) removedReason(w *worker) closedReason {
	switch {
	case c.isEvacuated(w):
		return closedEvacuated
	case w.Draining:
		return closedDraining
	case w.Unreadable:
		return closedUnreadable
	}
	return notClosed
}

// withdrawStarts withdraws the starts of the batch on workers that were closed for good while the
// batch was written. On a slow log the write takes seconds, and the start would come later than a
// drain or an evacuation allows. A gang that has lost a member this way is restarted elsewhere.
// The records that were written do no harm: a successor finds that the runs never started.
func (c *Core) withdrawStarts() {
	for _, r := range c.batchStarts {
		if c.runs[r.id] == r && !r.stopping {
			c.withdrawIfClosed(r)
		}
	}
}

// withdrawIfClosed gives up a run that has not started if its worker may start nothing any more
// or has no capacity left for it. A worker that does not check its own capacity would be
// overcommitted by a start order that was delayed by the log write, or by a repeated one. It
// reports whether the run was given up.
func (c *Core) withdrawIfClosed(r *activeRun) bool {
	reason := c.removedReason(r.worker)
	if reason == notClosed && r.worker.listed && r.worker.freeCapacity().HasNegative() {
		reason = closedOverCapacity
	}
	if reason == notClosed {
		return false
	}
	if r.step.Gang {
		c.stopGang(r, EndStopped, "")
		return true
	}
	c.stop(r, "place-"+string(reason))
	return true
}
