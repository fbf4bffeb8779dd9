package control

import "time"

// seenWithin is how soon after its acceptance a planner that has been at work for
// a while sees a job. What the time of day says beyond that is taken for clocks
// that differ.
const seenWithin = 500 * time.Millisecond

// due is when an occurrence was due, on the planner's steady clock. A job without
// a schedule was due when it was accepted: that is worked out once, from the time
// of day of two instances, and kept within what is possible. A time of day that
// jumps by seconds on the planner's machine would otherwise make all that waits
// late, or give it time that it does not have, for as long as it is off.
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
	settled := !j.inherited && now.Sub(c.began) > c.bounds.Authority
	if settled && now.Sub(j.dueAt) > seenWithin {
		j.dueAt = now.Add(-seenWithin)
	}
	return j.dueAt
}
