package control

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

const (
	// distrustAfter is the number of failures in a row, of different jobs, after
	// which a worker gets nothing new for a while.
	distrustAfter = 2
	// distrustFor is how long that lasts the first time; it doubles.
	distrustFor = 2 * time.Second
	// distrustMost bounds it.
	distrustMost = 16 * time.Second
	// fullFor is how long a worker that said it was full gets nothing.
	fullFor = 500 * time.Millisecond
)

// trust is what a worker's outcomes say of it.
type trust struct {
	failures int
	jobs     map[string]bool
	until    time.Time
	times    int
}

func (t *trust) closed(now time.Time) bool { return now.Before(t.until) }

func (t *trust) succeed() {
	t.failures = 0
	t.times = 0
	t.jobs = nil
}

// fail counts a failure; failures of one job count once, because a job that can
// never be done fails everywhere.
func (t *trust) fail(job string, now time.Time) bool {
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
	t.close(now, distrustMost)
	return true
}

func (t *trust) refuse(now time.Time) { t.close(now, distrustMost) }

func (t *trust) full(now time.Time) {
	if now.Add(fullFor).After(t.until) {
		t.until = now.Add(fullFor)
	}
}

func (t *trust) close(now time.Time, most time.Duration) {
	d := min(distrustFor<<min(t.times, 3), most)
	t.times++
	t.until = now.Add(d)
}

// learn takes an end into the estimates and into the trust of its worker.
func (c *Core) learn(w *worker, l *live, how End, now time.Time) {
	switch how {
	case EndDone:
		w.trust.succeed()
		if !c.bounds.Without[decide.LearnEstimates] && l.confirmed && l.ordered && l.saved == "" && !l.far && !l.slow && !l.orderedAt.IsZero() {
			c.pace.observe(l.job.Queue, time.Duration(l.step.EstimateMS)*time.Millisecond, now.Sub(l.orderedAt))
		}
	case EndFailed:
		if !c.bounds.Without[decide.Distrust] && w.trust.fail(string(l.id.Job), now) {
			c.note(Note{Event: EventWorkerDistrusted, Worker: w.ID})
		}
	}
}

// overdue looks for tasks that stand still.
func (c *Core) overdue(now time.Time) {
	atWork := gangsAtWork{}
	for _, l := range c.allLives() {
		if !l.confirmed || l.stopping || l.over || l.movedAt.IsZero() || l.step.Perpetual {
			continue
		}
		// Only what was seen counts: a worker that was not asked shows nothing.
		if l.seenAt.Sub(l.movedAt) < c.stillFor(l) {
			continue
		}
		if l.step.Gang && l.percent >= fullWork && atWork.of(l) {
			continue
		}
		c.note(Note{Event: EventRunStandsStill, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run})
		l.worker.trust.refuse(now)
		l.job.avoid[l.worker.ID] = true
		c.stop(l, "stands-still")
	}
}

// gangsAtWork tells of gangs whether a member has not done its share yet. Those that have show
// no progress until it ends, and neither they nor their workers are at fault.
type gangsAtWork map[decide.UnitKey]bool

func (g gangsAtWork) of(l *live) bool {
	known, ok := g[l.key]
	if !ok {
		known = slices.ContainsFunc(l.job.livesOf(l.key), func(member *live) bool { return member.percent < fullWork })
		g[l.key] = known
	}
	return known
}

// stillFor is how long a task may show no progress: many times what a hundredth
// of its work takes, and no less than two holds and the start of a gang.
func (c *Core) stillFor(l *live) time.Duration {
	hundredth := c.pace.expected(l.job, l.id.Step) / 100
	return max(20*hundredth, 2*c.bounds.Wait+c.bounds.GangTimeout)
}
