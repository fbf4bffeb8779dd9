package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A worker that is out of reach until its lease ends, and whose entry has expired, may have crashed,
// but may also be cut off and run on, or may have left. So the loss of its runs limits how often their
// tasks are started, but counts as a crash only once an incarnation that started before the lease
// ended answers at its address. One that started later proves nothing: the runs may have lapsed before.

// lapsedCrash is a worker whose lease has ended, and that may have crashed.
type lapsedCrash struct {
	id string
	// startMS is when the incarnation started, in Unix milliseconds.
	startMS  int64
	leaseEnd time.Time
	crash    crash
	// runs are those that were lost with it and whose tasks its crash would count against.
	runs []*activeRun
}

// countLapsed counts the loss of a run whose worker's lease has ended.
func (c *Core) countLapsed(r *activeRun, t *workload.Task, now time.Time) {
	r.crashWeight = crashLapsed
	t.Lapsed++
	c.recordLoss(r, t, now)
}

// recordLapsedCrash keeps a possible crash until an incarnation answers at the worker's address.
func (c *Core) recordLapsedCrash(w *worker, cr crash, runs []*activeRun) {
	if len(runs) == 0 || w.Address == "" {
		return
	}
	for address, l := range c.lapsedCrashes {
		if cr.noticedAt.Sub(l.crash.noticedAt) > endedRetention {
			delete(c.lapsedCrashes, address)
		}
	}
	end := cr.noticedAt
	if w.everReached {
		end = w.leaseEnd()
	}
	c.lapsedCrashes[w.Address] = &lapsedCrash{id: w.ID, startMS: cmp.Or(w.startMS, w.Listing.StartMS), leaseEnd: end, crash: cr, runs: runs}
}

// judgeLapsedCrash counts the crash of the worker whose lease has ended at the address of one that
// has answered, if the answer proves it.
func (c *Core) judgeLapsedCrash(answering *worker, now time.Time) {
	l := c.lapsedCrashes[answering.Address]
	if l == nil {
		return
	}
	delete(c.lapsedCrashes, answering.Address)
	survived := answering.ID == l.id && !startsDiffer(answering.startMS, l.startMS)
	crashed := !survived && c.startedBefore(answering, l, now)
	for _, r := range l.runs {
		t := c.task(r)
		if c.jobs[r.id.Job] != r.job || t == nil || t.Lapsed == 0 || t.CrashRun < r.run || !(survived || crashed) {
			continue
		}
		t.Lapsed--
		c.markDirty(r.job)
		if crashed {
			c.countProvenCrash(r, l, now)
		}
	}
}

// startedBefore reports whether an incarnation started before the lease ended, both by its reported
// start and by its own clock: a wall clock may have been stepped.
func (c *Core) startedBefore(w *worker, l *lapsedCrash, now time.Time) bool {
	reported := c.roundAt.Add(-time.Duration(c.wallMS-w.startMS) * time.Millisecond)
	started := now.Add(-time.Duration(w.clockMS) * time.Millisecond)
	return w.startMS != 0 && reported.Before(l.leaseEnd) && started.Before(l.leaseEnd)
}

// forgetLapsed removes a task that was cleared from the possible crashes.
func (c *Core) forgetLapsed(id workload.TaskID) {
	for _, l := range c.lapsedCrashes {
		l.runs = slices.DeleteFunc(l.runs, func(r *activeRun) bool { return r.id == id })
	}
}

// countProvenCrash counts the crash of a worker whose lease had ended against the task of a run there.
func (c *Core) countProvenCrash(r *activeRun, l *lapsedCrash, now time.Time) {
	t := c.task(r)
	latest := t.CrashRun
	c.countCrashAgainst(r, c.crashHistory.find(&l.crash), now)
	t.CrashRun = max(latest, r.run)
	c.emit(Event{Name: EventCrashProven, Job: r.id.Job, Task: r.id.String(), Worker: l.id, Run: r.run, Reason: string(r.crashWeight), Detail: crashDetail(t)})
	if t.PossibleCrashes() > maxCrashes && mayGiveUp(t) {
		c.failForCrashes(r)
	}
}
