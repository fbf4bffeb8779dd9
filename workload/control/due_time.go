package control

import "time"

// maxPickupDelay is how soon after its acceptance a planner that has been running for a while
// learns of a job. A larger difference in wall-clock time is attributed to clock skew.
const maxPickupDelay = 500 * time.Millisecond

// due returns when an occurrence was due, on the planner's monotonic clock. An unscheduled job
// was due when it was accepted. That is computed once, from the wall clocks of two instances, and
// limited to what is possible. Otherwise, while the wall clock of the planner's machine is off by
// seconds, all waiting jobs would look late, or seem to have time that they don't have.
func (c *Core) due(j *job, k int, now time.Time, wallMS int64) time.Time {
	if j.Repetitions > 0 {
		return now.Add(time.Duration(j.DueMS(k)-wallMS) * time.Millisecond)
	}
	if !j.dueAt.IsZero() {
		return j.dueAt
	}
	j.dueAt = now.Add(time.Duration(j.AcceptedMS-wallMS) * time.Millisecond)
	if j.dueAt.After(now) {
		j.dueAt = now
	}
	settled := !j.inherited && now.Sub(c.startedAt) > c.bounds.AuthorityPeriod
	if settled && now.Sub(j.dueAt) > maxPickupDelay {
		j.dueAt = now.Add(-maxPickupDelay)
	}
	return j.dueAt
}
