package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// fullPercent is the progress that a perpetual task reports while it is running, and that any
// other task reports once its work is done.
const fullPercent = 100

// isRunning reports whether a perpetual task is known to be running, from a report no older than
// maxAge.
func (r *activeRun) isRunning(now time.Time, maxAge time.Duration) bool {
	return r.confirmed && !r.stopping && !r.settled && r.worker.reachable && r.percent >= fullPercent && now.Sub(r.reportedAt) <= maxAge
}

// allowedDisruptions returns how many more of the running tasks of a step may be stopped now.
// Tasks that are not known to be running count as unavailable.
func (c *Core) allowedDisruptions(j *job, key decide.UnitKey, now time.Time) int {
	step := &j.Steps[key.Step]
	running := 0
	for _, r := range j.runsOf(key) {
		if r.isRunning(now, c.reportMaxAge()) {
			running++
		}
	}
	return step.MaxUnavailable - (step.Count - running)
}

// reportMaxAge is the age at which a worker's report of a run is no longer used.
func (c *Core) reportMaxAge() time.Duration { return 2 * c.bounds.PollWait }

// hasBudget reports whether runs of a step may only be stopped within its disruption budget.
func hasBudget(step *workload.Step) bool { return step.Perpetual && step.MaxUnavailable > 0 }

// disruptionBudget tracks how many tasks of each step may still be stopped in the current round.
type disruptionBudget struct {
	c         *Core
	now       time.Time
	remaining map[decide.UnitKey]int
}

func (c *Core) newDisruptionBudget(now time.Time) *disruptionBudget {
	return &disruptionBudget{c: c, now: now, remaining: map[decide.UnitKey]int{}}
}

// take reports whether the run may be stopped, and if so charges it to the budget.
func (b *disruptionBudget) take(r *activeRun) bool {
	if !hasBudget(r.step) || !r.isRunning(b.now, b.c.reportMaxAge()) {
		return true
	}
	remaining, known := b.remaining[r.key]
	if !known {
		remaining = b.c.allowedDisruptions(r.job, r.key, b.now)
	}
	if remaining <= 0 {
		return false
	}
	b.remaining[r.key] = remaining - 1
	return true
}
