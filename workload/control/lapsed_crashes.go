package control

import (
	"cmp"
	"time"
)

// A worker that is out of reach until its lease ends, and whose entry has expired, may have crashed,
// but may also be cut off and run on, or may have left. So the loss of its runs counts as a crash
// only once an incarnation that started before the lease ended answers at its address. One that
// started later proves nothing: the runs may have lapsed before.

// lapsedCrash is a worker whose lease has ended, and that may have crashed.
type lapsedCrash struct {
	id string
	// startMS is when the incarnation started, leaseEndMS when its lease ended, in Unix milliseconds.
	startMS, leaseEndMS int64
	crash               crash
	// runs are those that were lost with it and whose tasks its crash would count against.
	runs []*activeRun
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
	c.lapsedCrashes[w.Address] = &lapsedCrash{
		id: w.ID, startMS: cmp.Or(w.startMS, w.Listing.StartMS), leaseEndMS: c.wallMS - cr.noticedAt.Sub(end).Milliseconds(),
		crash: cr, runs: runs,
	}
}

// judgeLapsedCrash counts the crash of the worker whose lease has ended at the address of one that
// has answered, if the answer proves it.
func (c *Core) judgeLapsedCrash(answering *worker, now time.Time) {
	l := c.lapsedCrashes[answering.Address]
	if l == nil || answering.startMS == 0 {
		return
	}
	delete(c.lapsedCrashes, answering.Address)
	if answering.startMS >= l.leaseEndMS || (answering.ID == l.id && !startsDiffer(answering.startMS, l.startMS)) {
		return
	}
	for _, r := range l.runs {
		j := c.jobs[r.id.Job]
		if j == nil || j != r.job || c.task(r) == nil {
			continue
		}
		c.countCrashAgainst(r, &l.crash, now)
		c.emit(Event{Name: EventCrashProven, Job: r.id.Job, Task: r.id.String(), Worker: l.id, Run: r.run, Reason: string(r.crashWeight), Detail: crashDetail(c.task(r))})
		if t := c.task(r); t.TotalCrashes() > maxCrashes && mayGiveUp(t) {
			c.failForCrashes(r)
		}
	}
}
