package control

import (
	"slices"
	"time"
)

// From when an order for a host's maintenance is in the log until the maintenance is known to have
// begun, the order may be carried out at any time: its call may have got no answer, and is repeated,
// also by a successor. The host stays closed to new work for that time, and a call is only made
// while nothing runs there.
//
// If no call is answered, the host is closed for at most dutyRetryTime + maxDutyDelay after the first
// one failed. Then the order is paused, and the host is used again. The order is resumed once the
// platform answers requests for the host list, dutyPause after the host was opened.

const (
	// dutyRetryTime is how long an order is repeated without an answer.
	dutyRetryTime = 20 * time.Second
	// maxDutyDelay is how long after a call that was not answered it may still be carried out.
	maxDutyDelay = 15 * time.Second
	// dutyPause is the minimum time for which a paused order leaves its host open.
	dutyPause = 30 * time.Second
)

// recordSilence records whether a call for a host was answered.
func (v *wave) recordSilence(host string, unanswered bool, now time.Time) {
	if !unanswered {
		delete(v.silentSince, host)
		return
	}
	if v.silentSince[host].IsZero() {
		v.silentSince[host] = now
	}
	v.silentUntil[host] = now
}

// isPaused reports whether the calls for a host have been unanswered for so long that no more are
// made.
func (v *wave) isPaused(host string, now time.Time) bool {
	since := v.silentSince[host]
	return !since.IsZero() && now.Sub(since) >= dutyRetryTime
}

// opensAt returns when no call for a host that was not answered may be carried out any more.
func (v *wave) opensAt(host string) time.Time { return v.silentUntil[host].Add(maxDutyDelay) }

// resumeOrder resumes a paused order after the host list was requested and read.
func (v *wave) resumeOrder(host string, requested time.Time) {
	if v.isPaused(host, requested) && requested.After(v.opensAt(host).Add(dutyPause)) {
		delete(v.silentSince, host)
	}
}

// workersOn returns the workers that run, or ran when the order was recorded, on an ordered host.
func (c *Core) workersOn(v *wave, host string) []string {
	ids := slices.Compact([]string{v.workers[host], c.hosts[host].Worker})
	return slices.DeleteFunc(ids, func(id string) bool { return id == "" })
}

// keepVacated keeps new work off a host whose order may be carried out, and stops what runs there
// nevertheless, as an earlier planner may have left it.
func (c *Core) keepVacated(v *wave, host string, budget *disruptionBudget, now time.Time) {
	if v.isPaused(host, now) && !now.Before(v.opensAt(host)) {
		return
	}
	for _, id := range c.workersOn(v, host) {
		c.vacating[id] = true
		if w := c.workers[id]; w != nil {
			c.maintained[id] = true
			c.stopOutlasting(v, w, budget, now)
		}
	}
}

// isHostVacated reports whether nothing runs on an ordered host.
func (c *Core) isHostVacated(v *wave, host string) bool {
	return !slices.ContainsFunc(c.workersOn(v, host), func(id string) bool { return !c.workers[id].isVacated() })
}

// isVacated reports whether nothing runs on a worker, which may be unknown.
func (w *worker) isVacated() bool {
	return w == nil || (len(w.runs) == 0 && len(w.unexpectedRuns) == 0)
}

func (r *waveRecord) addWorker(host, id string) {
	if id == "" {
		return
	}
	if r.Workers == nil {
		r.Workers = map[string]string{}
	}
	r.Workers[host] = id
}
