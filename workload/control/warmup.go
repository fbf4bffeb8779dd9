package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// A worker that has just started, or is back after its data centre was evacuated, is slow for a
// while and reports for how long. Until then it is placed like a slow worker: urgent gangs of the
// first priority go elsewhere while there is capacity, and single tasks, each of which has its
// own pace, go there first. Runs there are not used for estimates.

// warmupSpeed is the speed factor of a cold worker. Any value below that of a slow worker has the
// same effect.
const warmupSpeed = 0.5

// updateWarmup updates until when a worker is cold. Entries are read again whenever other fields
// change, so only a changed value restarts the period.
func (w *worker) updateWarmup(l Listing, now time.Time) {
	switch {
	case l.WarmupMS == 0:
		w.warmupUntil = time.Time{}
	case l.WarmupMS != w.WarmupMS:
		w.warmupUntil = now.Add(time.Duration(l.WarmupMS) * time.Millisecond)
	}
}

// speedFactor returns a worker's speed as a factor of the average.
func (c *Core) speedFactor(w *worker, now time.Time) float64 {
	factor := c.speeds[w.ID].factor()
	if now.Before(w.warmupUntil) && !c.bounds.Disabled[decide.TreatColdAsSlow] {
		return min(factor, warmupSpeed)
	}
	return factor
}
