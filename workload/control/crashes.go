package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A task may crash each worker that starts it. One such crash does not tell which of the
// runs on the worker did it, so each counts against its task, in the record of progress,
// where a successor finds it. A task that has been at work for longer than it ever was when a
// worker crashed under it is cleared. Without the count one task loses a
// worker after the other, without end.

const (
	// crashesAlone is from how many crashes on a task runs alone.
	crashesAlone = 2
	// crashesMost is how many crashes that point at a task give it up at once where each came
	// soon after its start, the last with nothing else beside it that had just begun. So many
	// of any kind leave it runsLeft, and it is given up if the last of these ends without a
	// reset, or if a worker crashes under it before: a task may crash its workers in the moments
	// of outages, and a gang's member is stopped by the crashes of others. An innocent task is
	// under so many only where it meets one sick worker after the other, or is started into one
	// outage after the other.
	crashesMost = 3
	// runsLeft is how many runs the most crashes leave a task, runsLeftExonerated where another
	// job was given up for one of them. The task may have caused that crash all the same, and
	// with a third run it would be over the bound on its starts.
	runsLeft           = 1
	runsLeftExonerated = 2
	// crashNoticed is what noticing a crash takes: the pause between holds, and a call that
	// is refused.
	crashNoticed = 200 * time.Millisecond
	// soonShare is the part of its expected time that a run has been at work at the most
	// when a crash counts as soon after its start. One of itself falls there one time in ten.
	soonShare = 10
	// unstableLeases is for how many leases an address at which a worker has crashed is no
	// place for a task under which another has.
	unstableLeases = 4
)

// What proves that a life of a worker is over.
const (
	whyLeaseOver   = "lease-over"
	whyAnotherLife = "another-life"
	whyTakenOver   = "address-taken-over"
	whyRestarted   = "worker-restarted"
	whyLeft        = "worker-left"
)

// crashed tells whether a worker's life ended by a crash: it did not leave by a plan, and
// either another life is at its address, or its lease is over, it is gone from the list, and
// its data centre answers. In doubt it was cut off, which says nothing of its tasks.
func (c *Core) crashed(w *worker, why string) bool {
	if w.Draining || w.left || c.vacating[w.ID] {
		return false
	}
	if why == whyLeaseOver {
		return !w.listed && !c.cutOff(w)
	}
	return true
}

// lasted is how long a run was at work at the most when its worker fell silent; ok is
// false where this planner does not know when it began. Of one that an earlier planner ordered
// it knows only when it saw it first.
func (l *live) lasted(now time.Time) (took time.Duration, ok bool) {
	if l.orderedAt.IsZero() || !l.ordered {
		return 0, false
	}
	until := now
	if w := l.worker; !w.met && !w.silent.IsZero() {
		until = w.silent
	}
	return max(0, until.Sub(l.orderedAt)), true
}

// cameTooLate tells whether a run was ordered only after its worker had fallen silent.
func (l *live) cameTooLate() bool {
	w := l.worker
	return !w.met && !l.orderedAt.IsZero() && !w.silent.IsZero() && l.orderedAt.After(w.silent)
}

// outlived tells whether a run had been at work for so long when its worker crashed that it
// is not what crashed it: work of hours would otherwise be under suspicion for hours, and
// keep others off its worker.
func (c *Core) outlived(l *live, now time.Time) bool {
	took, known := l.lasted(now)
	return known && l.confirmed && took > c.unstableFor()
}

// soon is how long after its start a crash still points at a run.
func (c *Core) soon(l *live) time.Duration {
	return max(c.pace.expected(l.job, l.id.Step)/soonShare, crashNoticed)
}

// steady is for how long a run has to be at work to be cleared of the crashes under its
// task: twice as long as it ever was when one came.
func (c *Core) steady(l *live, t *workload.Task) time.Duration {
	return 2 * max(time.Duration(t.CrashMS)*time.Millisecond, c.soon(l))
}

// clearOf clears a task of the crashes under it once its worker, at a time of the worker's
// own clock, shows it at work for long enough. Answers may be on their way for seconds, so
// that their arrival says nothing of how long the run lived; and a gang's member that waits
// for the others is not at work: it shows no percentage.
func (c *Core) clearOf(l *live, clockMS int64, percent int) {
	if l.step.Gang && percent == 0 {
		return
	}
	if l.workMS == 0 {
		l.workMS = clockMS
	}
	if t := c.task(l); t != nil && !l.over && l.workMS != 0 && time.Duration(clockMS-l.workMS)*time.Millisecond > c.steady(l, t) {
		c.reset(l, t)
	}
}

// reset forgets the crashes under a task whose run its worker has outlived.
func (c *Core) reset(l *live, t *workload.Task) {
	if t.TotalCrashes() == 0 || t.Run != l.run {
		return
	}
	t.ResetCrashes()
	c.crashes.drop(l.id)
	c.change(l.job)
}

// countCrash counts a worker's crash under the tasks that it has ended, and returns the runs
// whose tasks are given up for it.
func (c *Core) countCrash(w *worker, lost []*live, why string, now time.Time) []*live {
	if !c.crashed(w, why) {
		return nil
	}
	one := crash{at: now, noticed: now}
	if !w.met && !w.silent.IsZero() {
		one.at = w.silent
	}
	var jobs []workload.JobID
	var givenUp []*live
	for _, l := range lost {
		jobs = append(jobs, l.id.Job)
		t := c.task(l)
		if t == nil || l.over || t.Run != l.run || l.cameTooLate() {
			continue
		}
		if c.outlived(l, now) {
			c.reset(l, t)
			continue
		}
		c.count(l, t, now)
		if c.inOutage(one.at, l.id.Job) {
			c.exclude(l.id)
		} else {
			one.tasks = append(one.tasks, l.id)
		}
		if t.TotalCrashes() > crashesMost || (why != whyLeaseOver && c.sure(l, t, lost, now)) {
			givenUp = append(givenUp, l)
		}
	}
	c.crashes.expire(now.Add(-c.unstableFor()))
	c.crashes.add(one, slices.Compact(jobs))
	c.noteUnstable(w, now)
	return givenUp
}

func (c *Core) count(l *live, t *workload.Task, now time.Time) {
	took, known := l.lasted(now)
	if !known {
		took = c.pace.expected(l.job, l.id.Step)
	}
	t.Crashes++
	t.CrashRun = l.run
	l.job.crashedAt, l.job.suspected = now, true
	t.CrashMS = max(t.CrashMS, min(took, c.unstableFor()).Milliseconds(), 1)
	c.change(l.job)
}

// exhausted tells whether a run is the last that the most crashes leave its task.
func (l *live) exhausted(t *workload.Task) bool {
	left := int64(runsLeft)
	if t.Exonerated > 0 {
		left = runsLeftExonerated
	}
	return t.TotalCrashes() >= crashesMost && l.run-t.CrashRun >= left
}

// spent tells whether the end of a run gives its task up. A run that never began, or that was
// stopped for others, has shown nothing.
func (l *live) spent(t *workload.Task) bool { return l.exhausted(t) && !l.unbegun && !l.ceded }

// sure tells whether a crash gives a run's task up at once: all came so soon, and the last points at
// it, at a place that is sound.
func (c *Core) sure(l *live, t *workload.Task, lost []*live, now time.Time) bool {
	soon := time.Duration(t.CrashMS)*time.Millisecond <= c.soon(l)
	return t.Evidence() >= crashesMost && soon && !c.isUnstable(l.worker, now) && c.pointsAt(l, lost, now)
}

// pointsAt tells whether a crash points at a run: it is known to have begun, the crash came
// soon after its start, and whatever else was there had been at work for longer.
func (c *Core) pointsAt(l *live, lost []*live, now time.Time) bool {
	if took, known := l.lasted(now); !known || took > c.soon(l) || (!l.answered && !l.confirmed) {
		return false
	}
	for _, other := range lost {
		if at, known := other.lasted(now); other.job != l.job && (!known || at <= 2*c.soon(l)) {
			return false
		}
	}
	return true
}

// noteUnstable notes that a worker has crashed at its address.
func (c *Core) noteUnstable(w *worker, now time.Time) {
	for address, at := range c.unstable {
		if now.Sub(at) > c.unstableFor() {
			delete(c.unstable, address)
		}
	}
	if w.Address != "" {
		c.unstable[w.Address] = now
	}
}

func (c *Core) unstableFor() time.Duration { return unstableLeases * c.bounds.Lease }

func (c *Core) isUnstable(w *worker, now time.Time) bool {
	at, ok := c.unstable[w.Address]
	return ok && now.Sub(at) <= c.unstableFor()
}

// release takes all tasks of a worker as ended without an outcome.
func (c *Core) release(w *worker, why string, now time.Time) {
	lost := w.sortedTasks()
	givenUp := c.countCrash(w, lost, why, now)
	for _, l := range lost {
		c.noteLost(l, why, len(lost)-1, now)
	}
	for _, l := range lost {
		c.ended(l, EndLapsed, "")
	}
	for _, l := range givenUp {
		c.giveUp(l)
	}
	w.strange = map[workload.TaskID]int64{}
}

func (c *Core) noteLost(l *live, why string, beside int, now time.Time) {
	detail := fmt.Sprintf("beside=%d", beside)
	if took, known := l.lasted(now); known {
		detail += fmt.Sprintf(" lasted_ms=%d", took.Milliseconds())
	}
	if t := c.task(l); t != nil && t.TotalCrashes() > 0 {
		detail += " " + crashDetail(t)
	}
	c.note(Note{Event: EventRunLost, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: why, Detail: detail})
}

func crashDetail(t *workload.Task) string {
	return fmt.Sprintf("crashes=%d excluded=%d exonerated=%d", t.Crashes, t.Excluded, t.Exonerated)
}
