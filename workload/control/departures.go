package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// stopMargin allows for the delivery of a stop order and of the resulting end.
const stopMargin = 500 * time.Millisecond

// perpetualTime is the remaining time that is assumed for perpetual runs.
const perpetualTime = time.Hour

// updateLeavesAt updates the earliest time at which a draining worker may leave.
func (c *Core) updateLeavesAt(w *worker, l Listing, now time.Time) {
	if !l.Draining {
		w.leavesAt = time.Time{}
		delete(c.departures.leaving, w.ID)
		return
	}
	c.departures.leaving[w.ID] = true
	if !w.leavesAt.IsZero() && l.RemainingMS == w.RemainingMS {
		return
	}
	leavesAt := now.Add(time.Duration(l.RemainingMS) * time.Millisecond)
	if c.plansUnitDepartures() && !w.leavesAt.IsZero() && leavesAt.After(w.leavesAt) && leavesAt.Sub(w.leavesAt) < stopMargin {
		// An entry that was read later than the one before shows the same departure. Only a larger
		// difference is a longer notice.
		return
	}
	w.leavesAt = leavesAt
}

// stopOnLeavingWorkers stops runs that would not end before their worker leaves, so that they
// restart elsewhere instead of being lost. Runs with checkpoints continue until the last moment
// at which a stop still saves their progress.
func (c *Core) stopOnLeavingWorkers(now time.Time) {
	if c.bounds.Disabled[decide.StopBeforeDeparture] {
		return
	}
	if c.plansUnitDepartures() {
		c.planDepartures(now)
		return
	}
	for _, r := range c.allRuns() {
		w := r.worker
		if !w.Draining || w.leavesAt.IsZero() || r.stopping || r.settled || !r.confirmed {
			continue
		}
		remaining := w.leavesAt.Sub(now)
		if c.remainingTime(r, now) <= remaining {
			continue
		}
		if r.step.Checkpoint && !r.step.Perpetual && remaining > c.bounds.StopTimeout+stopMargin {
			continue
		}
		c.stop(r, "worker-leaves")
	}
}

// remainingTime returns the time until the run is expected to end.
func (c *Core) remainingTime(r *activeRun, now time.Time) time.Duration {
	if r.step.Perpetual {
		return perpetualTime
	}
	if left := r.remainingByProgress(now); left > 0 {
		return left
	}
	return c.remainingByEstimate(r, now.Sub(r.orderedAt))
}

// remainingByEstimate returns the rest of a run's expected run time; it is negative past that.
func (c *Core) remainingByEstimate(r *activeRun, ran time.Duration) time.Duration {
	return c.estimates.expected(r.job, r.id.Step) - ran
}
