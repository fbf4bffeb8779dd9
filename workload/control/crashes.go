package control

import (
	"fmt"
	"maps"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// A task may crash each worker that starts it. One such crash does not tell which of the
// runs on the worker did it, so each counts against its task, in the record of progress,
// where a successor finds it. A task that has been at work for longer than it ever was when a
// worker crashed under it is cleared. Without the count a task was started, and a worker
// lost, every 3.4 s until the end (27 starts of one task in 90 s, planner's log).

const (
	// crashesSure is how many crashes give a task up where nothing else explains them: each
	// soon after its start, the last with nothing else beside it that had just begun.
	crashesSure = 2
	// crashesMost is how many give it up whatever else may explain them. An innocent task
	// is under so many only where it meets one sick worker after the other; one that
	// crashes workers, and a planner that dies before it has counted, stay below the
	// three starts that may follow the third crash.
	crashesMost = 4
	// crashNoticed is what noticing a crash takes: the pause between holds, and a call that
	// is refused.
	crashNoticed = 200 * time.Millisecond
	// soonShare is the part of its expected time that a run has been at work at the most
	// when a crash counts as soon after its start. One of itself falls there one time in ten.
	soonShare = 10
	// shakyLeases is for how many leases an address at which a worker has crashed is no
	// place for a task under which another has.
	shakyLeases = 4
)

// What proves that a life of a worker is over.
const (
	whyLeaseOver   = "lease-over"
	whyAnotherLife = "another-life"
	whyTakenOver   = "address-taken-over"
)

// crashed tells whether a worker's life ended by a crash: it did not leave by a plan, and
// either another life is at its address, or its lease is over, it is gone from the list, and
// its data centre answers. In doubt it was cut off, which says nothing of its tasks.
func (c *Core) crashed(w *worker, why string) bool {
	if w.Draining || c.vacating[w.ID] {
		return false
	}
	if why == whyLeaseOver {
		return !w.listed && !c.cutOff(w)
	}
	return true
}

// lasted is how long a run was at work at the most when its worker fell silent; ok is
// false where this planner does not know when it began.
func (l *live) lasted(now time.Time) (took time.Duration, ok bool) {
	if l.orderedAt.IsZero() {
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

// soon is how long after its start a crash still points at a run.
func (c *Core) soon(l *live) time.Duration {
	return max(c.pace.expected(l.job, l.id.Step)/soonShare, crashNoticed)
}

// steady is for how long a run has to be at work to be cleared of the crashes under its
// task: twice as long as it ever was when one came.
func (c *Core) steady(l *live, t *workload.Task) time.Duration {
	return 2 * max(time.Duration(t.CrashMS)*time.Millisecond, c.soon(l))
}

// clearOf takes a task that its worker shows at work for what it is.
func (c *Core) clearOf(l *live) {
	t := c.task(l)
	if t == nil || t.Crashes == 0 || l.over || t.Run != l.run {
		return
	}
	if took, ok := l.lasted(l.seenAt); !ok || took <= c.steady(l, t) {
		return
	}
	t.Crashes, t.CrashMS = 0, 0
	c.change(l.job)
}

// blame counts a worker's crash against the tasks that it has ended, and returns the runs
// whose tasks are given up for it.
func (c *Core) blame(w *worker, lost []*live, why string, now time.Time) []*live {
	if !c.crashed(w, why) {
		return nil
	}
	var convicted []*live
	for _, l := range lost {
		t := c.task(l)
		if t == nil || l.over || t.Run != l.run || l.cameTooLate() {
			continue
		}
		t.Crashes++
		took, known := l.lasted(now)
		if !known {
			took = c.pace.expected(l.job, l.id.Step)
		}
		t.CrashMS = max(t.CrashMS, took.Milliseconds(), 1)
		c.change(l.job)
		if t.Crashes >= crashesMost || (t.Crashes >= crashesSure && why != whyLeaseOver && c.pointsAt(l, t, lost, now)) {
			convicted = append(convicted, l)
		}
	}
	c.shake(w, now)
	return convicted
}

// pointsAt tells whether a crash points at a run: it always came soon after its start, the
// worker's place is sound, and whatever else was there had been at work for longer.
func (c *Core) pointsAt(l *live, t *workload.Task, lost []*live, now time.Time) bool {
	if time.Duration(t.CrashMS)*time.Millisecond > c.soon(l) || c.isShaky(l.worker, now) {
		return false
	}
	steady := c.steady(l, t)
	for _, other := range lost {
		if took, known := other.lasted(now); other.job != l.job && (!known || took <= steady) {
			return false
		}
	}
	return true
}

// shake notes that a worker has crashed at its address.
func (c *Core) shake(w *worker, now time.Time) {
	for address, at := range c.shaky {
		if now.Sub(at) > c.shakyFor() {
			delete(c.shaky, address)
		}
	}
	if w.Address != "" {
		c.shaky[w.Address] = now
	}
}

func (c *Core) shakyFor() time.Duration { return shakyLeases * c.bounds.Lease }

func (c *Core) isShaky(w *worker, now time.Time) bool {
	at, ok := c.shaky[w.Address]
	return ok && now.Sub(at) <= c.shakyFor()
}

// giveUp ends the job of a task that crashes its workers.
func (c *Core) giveUp(l *live) {
	t := c.task(l)
	if t == nil || l.job.progress.State.Final() {
		return
	}
	c.note(Note{Event: EventJobFailed, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: "crashes-workers", Detail: fmt.Sprintf("crashes=%d within_ms=%d", t.Crashes, t.CrashMS)})
	c.failJob(l.job)
}

// failJob ends a job as failed, with what runs of it.
func (c *Core) failJob(j *job) {
	j.progress.State = workload.Failed
	c.change(j)
	c.stopAll(j)
	c.settle(j)
}

// release takes all tasks of a worker as ended without an outcome.
func (c *Core) release(w *worker, why string, now time.Time) {
	lost := w.sortedTasks()
	convicted := c.blame(w, lost, why, now)
	for _, l := range lost {
		c.noteLost(l, why, len(lost)-1, now)
	}
	for _, l := range lost {
		c.ended(l, EndLapsed, "")
	}
	for _, l := range convicted {
		c.giveUp(l)
	}
	w.strange = map[workload.TaskID]int64{}
}

func (c *Core) noteLost(l *live, why string, beside int, now time.Time) {
	detail := fmt.Sprintf("beside=%d", beside)
	if took, known := l.lasted(now); known {
		detail += fmt.Sprintf(" lasted_ms=%d", took.Milliseconds())
	}
	if t := c.task(l); t != nil && t.Crashes > 0 {
		detail += fmt.Sprintf(" crashes=%d", t.Crashes)
	}
	c.note(Note{Event: EventRunLost, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: why, Detail: detail})
}

// A task under which a worker has crashed is a suspect until it has been at work for
// longer than that took. Suspects of different jobs are kept apart, and what is new comes
// beside none, so that the next crash tells whose it is.

// suspect tells whether a worker has crashed under a task since it was last cleared.
func suspect(t *workload.Task) bool { return t.Crashes > 0 }

// watched tells whether what comes to a run's worker would blur whose crash the next one is:
// while a suspect's run is as young as its earlier ones were. Runs that had been at work for
// long when a worker crashed say little of it, and would keep others off for long.
func (c *Core) watched(l *live, now time.Time) bool {
	t := c.task(l)
	if t == nil || !suspect(t) || l.over || time.Duration(t.CrashMS)*time.Millisecond > c.soon(l) {
		return false
	}
	took, known := l.lasted(now)
	return !known || took <= c.steady(l, t)
}

// beginsThere tells the plan who is being watched on a worker, and whether anything there
// has begun so lately that it would be a suspect beside another.
func (c *Core) beginsThere(one *decide.Worker, w *worker, now time.Time) {
	if c.bounds.Without[decide.SuspectsApart] {
		return
	}
	for _, l := range w.sortedTasks() {
		if one.Watched == "" && c.watched(l, now) {
			one.Watched = l.id.Job
		}
		if took, known := l.lasted(now); !known || took <= 2*c.soon(l) {
			one.Unsettled = true
		}
	}
}

// split takes the tasks of a step that are suspects apart from the others. A gang is one
// suspect.
func (c *Core) split(u decide.Unit, tasks []workload.Task) []decide.Unit {
	if c.bounds.Without[decide.SuspectsApart] {
		return []decide.Unit{u}
	}
	suspects, others := u, u
	suspects.Indexes, others.Indexes = nil, nil
	for _, i := range u.Indexes {
		if suspect(&tasks[i]) {
			suspects.Indexes = append(suspects.Indexes, i)
		} else {
			others.Indexes = append(others.Indexes, i)
		}
	}
	suspects.Suspect = true
	switch {
	case len(suspects.Indexes) == 0:
		return []decide.Unit{u}
	case u.Step.Gang:
		u.Suspect = true
		return []decide.Unit{u}
	case len(others.Indexes) == 0:
		return []decide.Unit{suspects}
	}
	return []decide.Unit{suspects, others}
}

// soundPlaces keeps a suspect off places where workers crash anyway, while most are sound.
func (c *Core) soundPlaces(u *decide.Unit, now time.Time) {
	if !u.Suspect || len(c.shaky) == 0 {
		return
	}
	avoid := maps.Clone(u.Avoid)
	listed, shaky := 0, 0
	for id, w := range c.workers {
		if !w.listed {
			continue
		}
		listed++
		if c.isShaky(w, now) {
			shaky++
			avoid[id] = true
		}
	}
	if 2*shaky <= listed {
		u.Avoid = avoid
	}
}
