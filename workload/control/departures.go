package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// departMargin is what a stop's way and its end's way back take.
const departMargin = 500 * time.Millisecond

// leaving notes how long a draining worker stays at the least.
func (w *worker) leaving(l Listing, now time.Time) {
	if !l.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if w.leavesAt.IsZero() || l.RemainingMS != w.RemainingMS {
		w.leavesAt = now.Add(time.Duration(l.RemainingMS) * time.Millisecond)
	}
}

// depart stops runs that their worker will not stay for, so that they begin
// again elsewhere before they are lost. Those that save their progress go on
// until the last moment at which a stop still saves it.
func (c *Core) depart(now time.Time) {
	if c.bounds.Without[decide.LeaveEarly] {
		return
	}
	for _, l := range c.allLives() {
		w := l.worker
		if !w.Draining || w.leavesAt.IsZero() || l.stopping || l.over || !l.confirmed {
			continue
		}
		stays := w.leavesAt.Sub(now)
		if c.remaining(l, now) <= stays {
			continue
		}
		if l.step.Checkpoint && !l.step.Perpetual && stays > c.bounds.StopTimeout+departMargin {
			continue
		}
		c.stop(l, "worker-leaves")
	}
}

// remaining is the time until the run is expected to end.
func (c *Core) remaining(l *live, now time.Time) time.Duration {
	if l.step.Perpetual {
		return time.Hour
	}
	if left := l.left(now); left > 0 {
		return left
	}
	return c.pace.expected(l.job, l.id.Step) - now.Sub(l.orderedAt)
}
