package control

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

const (
	// distrustAfter is the number of consecutive failures, of different jobs, after which a
	// worker gets no new work for a while.
	distrustAfter = 2
	// distrustFor is how long that lasts the first time. It doubles each time.
	distrustFor = 2 * time.Second
	// maxDistrust limits it.
	maxDistrust = 16 * time.Second
	// fullPause is how long a worker that reported it was full gets no new work.
	fullPause = 500 * time.Millisecond
)

// trust tracks the failures of a worker.
type trust struct {
	failures        int
	jobs            map[string]bool
	distrustedUntil time.Time
	periods         int
}

func (t *trust) isClosed(now time.Time) bool { return now.Before(t.distrustedUntil) }

func (t *trust) recordSuccess() {
	t.failures = 0
	t.periods = 0
	t.jobs = nil
}

// recordFailure counts a failure and reports whether the worker is distrusted from now on.
// Several failures of one job count once, because a job that can't succeed fails everywhere.
func (t *trust) recordFailure(job string, now time.Time) bool {
	if t.jobs == nil {
		t.jobs = map[string]bool{}
	}
	if t.jobs[job] {
		return false
	}
	t.jobs[job] = true
	t.failures++
	if t.failures < distrustAfter {
		return false
	}
	t.distrust(now, maxDistrust)
	return true
}

func (t *trust) recordRefusal(now time.Time) { t.distrust(now, maxDistrust) }

func (t *trust) recordFull(now time.Time) {
	if now.Add(fullPause).After(t.distrustedUntil) {
		t.distrustedUntil = now.Add(fullPause)
	}
}

func (t *trust) distrust(now time.Time, limit time.Duration) {
	d := min(distrustFor<<min(t.periods, 3), limit)
	t.periods++
	t.distrustedUntil = now.Add(d)
}

// learnFromEnd updates the run time estimates and the worker's trust from the end of a run.
func (c *Core) learnFromEnd(w *worker, r *activeRun, end End, now time.Time) {
	switch end {
	case EndDone:
		w.trust.recordSuccess()
		if !c.bounds.Disabled[decide.LearnEstimates] && r.confirmed && r.ordered && r.saved == "" && !r.remote && !r.slow && !r.orderedAt.IsZero() {
			c.estimates.observe(r.job.Queue, time.Duration(r.step.EstimateMS)*time.Millisecond, now.Sub(r.orderedAt))
		}
	case EndFailed:
		if !c.bounds.Disabled[decide.Distrust] && w.trust.recordFailure(string(r.id.Job), now) {
			c.emit(Event{Name: EventWorkerDistrusted, Worker: w.ID})
		}
	}
}

// stopStalled stops runs without progress.
func (c *Core) stopStalled(now time.Time) {
	unfinished := unfinishedGangs{}
	for _, r := range c.allRuns() {
		if !r.confirmed || r.stopping || r.settled || r.progressedAt.IsZero() || r.step.Perpetual {
			continue
		}
		// Compare report times only: a worker that was not polled has reported nothing.
		if r.reportedAt.Sub(r.progressedAt) < c.maxStall(r) {
			continue
		}
		if r.step.Gang && r.percent >= fullPercent && unfinished.has(r) {
			continue
		}
		c.emit(Event{Name: EventRunStandsStill, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run})
		r.worker.trust.recordRefusal(now)
		r.job.avoidedWorkers[r.worker.ID] = true
		c.stop(r, "stands-still")
	}
}

// unfinishedGangs caches for each gang whether a member has not finished its share yet. The
// members that have finished show no progress until the gang ends, which is neither their fault
// nor their workers'.
type unfinishedGangs map[decide.UnitKey]bool

func (g unfinishedGangs) has(r *activeRun) bool {
	unfinished, ok := g[r.key]
	if !ok {
		unfinished = slices.ContainsFunc(r.job.runsOf(r.key), func(member *activeRun) bool { return member.percent < fullPercent })
		g[r.key] = unfinished
	}
	return unfinished
}

// maxStall returns how long a run may show no progress: many times what a hundredth of its work
// takes, and at least two lease renewals plus the start of a gang.
func (c *Core) maxStall(r *activeRun) time.Duration {
	hundredth := c.estimates.expected(r.job, r.id.Step) / 100
	return max(20*hundredth, 2*c.bounds.PollWait+c.bounds.GangTimeout)
}
