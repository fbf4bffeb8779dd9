package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// A worker that has just started, or is back after its data centre was evacuated, is
// slow for a while and says for how long. Until then it is placed like a slow worker:
// gangs of the first priority, whose time is short, go elsewhere while there is room,
// and single tasks, of which each has its own pace, go there first. What runs there
// teaches nothing of estimates.

// coldSpeed is what a cold worker's speed counts as; any below that of a slow worker
// has the same effect.
const coldSpeed = 0.5

// warming notes until when a worker is cold. Entries are read again with each change
// of others, so that only a figure that has changed begins the time anew.
func (w *worker) warming(l Listing, now time.Time) {
	switch {
	case l.ColdMS == 0:
		w.coldUntil = time.Time{}
	case l.ColdMS != w.ColdMS:
		w.coldUntil = now.Add(time.Duration(l.ColdMS) * time.Millisecond)
	}
}

// paceOf returns a worker's speed as a factor of the average.
func (c *Core) paceOf(w *worker, now time.Time) float64 {
	factor := c.speeds[w.ID].factor()
	if now.Before(w.coldUntil) && !c.bounds.Without[decide.MindCold] {
		return min(factor, coldSpeed)
	}
	return factor
}
