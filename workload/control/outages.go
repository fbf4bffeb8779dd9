package control

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Workers that crash together have a common cause: a rack, a link or a power feed. No task can
// have crashed workers that never ran it, so such crashes are no evidence against the tasks that
// were running there. Crashes of idle workers are noticed later than those of busy ones, so the
// evidence is re-evaluated in each round until the whole outage has been noticed.

const (
	// outageShare: an outage is a crash of at least an eighth of all workers together. Fewer than
	// outageLeast workers that never ran the job don't prove an outage, since several jobs that
	// crash their workers may start at the same moment. Fewer than unsettledLeast don't make a
	// task wait either.
	outageShare    = 8
	outageLeast    = 6
	unsettledLeast = 3
	// outageSpanWaits is how far apart the crashes of one outage are noticed at most, in units of
	// Bounds.PollWait.
	outageSpanWaits = 2
	// calmWaits is how long the pool has to be without an outage before a crash is evidence
	// against a task, in units of Bounds.PollWait. It is longer than it takes to notice an outage.
	calmWaits = 4
)

// crash is the crash of a worker, with the tasks that it is evidence against.
type crash struct {
	// silentAt is when the worker fell silent, noticedAt when its incarnation was known to have
	// ended.
	silentAt, noticedAt time.Time
	tasks               []workload.TaskID
	// explained is set if a task was running there that several workers have crashed under, and that
	// may have caused this crash too. Such a crash is no sign of an outage.
	explained bool
}

// crashHistory holds the recent crashes.
type crashHistory struct {
	// crashes are in the order in which they were noticed. Of those that are not explained, noticed and
	// silences have the sorted times, and byJob those of workers on which a job had runs.
	crashes           []crash
	noticed, silences []time.Time
	byJob             map[workload.JobID][]crash
	// changed is set if crashes were added since the last evaluation.
	changed bool
}

func newCrashHistory() crashHistory { return crashHistory{byJob: map[workload.JobID][]crash{}} }

// add adds a crash of a worker that had runs of the given jobs.
func (h *crashHistory) add(cr crash, jobs []workload.JobID) {
	h.crashes = append(h.crashes, cr)
	h.changed = true
	if cr.explained {
		return
	}
	h.noticed = append(h.noticed, cr.noticedAt)
	at, _ := slices.BinarySearchFunc(h.silences, cr.silentAt, time.Time.Compare)
	h.silences = slices.Insert(h.silences, at, cr.silentAt)
	for _, job := range jobs {
		h.byJob[job] = append(h.byJob[job], crash{silentAt: cr.silentAt, noticedAt: cr.noticedAt})
	}
}

// find returns the recorded crash that was noticed with the given one, or that one if it has expired.
func (h *crashHistory) find(cr *crash) *crash {
	for i := range h.crashes {
		if h.crashes[i].noticedAt.Equal(cr.noticedAt) && h.crashes[i].silentAt.Equal(cr.silentAt) {
			return &h.crashes[i]
		}
	}
	return cr
}

// expire drops crashes that were noticed before the given time.
func (h *crashHistory) expire(before time.Time) {
	if len(h.crashes) == 0 || !h.crashes[0].noticedAt.Before(before) {
		return
	}
	old := func(cr crash) bool { return cr.noticedAt.Before(before) }
	h.crashes = slices.DeleteFunc(h.crashes, old)
	h.noticed, h.silences = h.noticed[:0], h.silences[:0]
	for _, cr := range h.crashes {
		if !cr.explained {
			h.noticed = append(h.noticed, cr.noticedAt)
			h.silences = append(h.silences, cr.silentAt)
		}
	}
	slices.SortFunc(h.silences, time.Time.Compare)
	for job, crashes := range h.byJob {
		if crashes = slices.DeleteFunc(crashes, old); len(crashes) == 0 {
			delete(h.byJob, job)
			continue
		}
		h.byJob[job] = crashes
	}
}

// countAround counts the unexplained crashes of workers without runs of the job that fell silent
// within the span before or after the given time.
func (h *crashHistory) countAround(at time.Time, job workload.JobID, span time.Duration) int {
	from, _ := slices.BinarySearchFunc(h.silences, at.Add(-span), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(h.silences, at.Add(span+1), time.Time.Compare)
	count := to - from
	for _, cr := range h.byJob[job] {
		if cr.silentAt.Sub(at).Abs() <= span {
			count--
		}
	}
	return count
}

// countSince counts the unexplained crashes of workers without runs of the job that were noticed after
// the given time.
func (h *crashHistory) countSince(after time.Time, job workload.JobID) int {
	from, _ := slices.BinarySearchFunc(h.noticed, after, time.Time.Compare)
	count := len(h.noticed) - from
	for _, own := range h.byJob[job] {
		if !own.noticedAt.Before(after) {
			count--
		}
	}
	return count
}

// dropTask removes a task whose crashes were reset from all crashes.
func (h *crashHistory) dropTask(id workload.TaskID) {
	for i := range h.crashes {
		h.crashes[i].tasks = slices.DeleteFunc(h.crashes[i].tasks, func(other workload.TaskID) bool { return other == id })
	}
}

// countAlive counts the workers that the size of an outage is compared with. Entries of crashed
// workers stay in the list for some heartbeats.
func (c *Core) countAlive() {
	c.aliveCount = c.listedCount
	if len(c.crashHistory.crashes) == 0 {
		return
	}
	for _, w := range c.workersByID {
		if w.listed && w.gone {
			c.aliveCount--
		}
	}
}

// isInOutage reports whether a worker fell silent together with many workers that never ran the
// job.
func (c *Core) isInOutage(silentAt time.Time, job workload.JobID) bool {
	return c.crashHistory.countAround(silentAt, job, outageSpanWaits*c.bounds.PollWait) >= max(outageLeast, c.aliveCount/outageShare)
}

// reweighCrashes excludes the crashes that turned out to be part of an outage.
func (c *Core) reweighCrashes() {
	c.countAlive()
	if !c.crashHistory.changed {
		return
	}
	c.crashHistory.changed = false
	for i := range c.crashHistory.crashes {
		cr := &c.crashHistory.crashes[i]
		cr.tasks = slices.DeleteFunc(cr.tasks, func(id workload.TaskID) bool {
			if !c.isInOutage(cr.silentAt, id.Job) {
				return false
			}
			c.excludeCrash(id)
			return true
		})
	}
}

// excludeCrash marks one of the crashes of a task as no evidence against it.
func (c *Core) excludeCrash(id workload.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	if t := j.progress.FindTask(id); t != nil && t.Evidence() > 0 {
		t.Excluded++
		c.markDirty(j)
		c.emit(Event{Name: EventCrashExcluded, Job: id.Job, Task: id.String(), Run: t.CrashRun, Detail: crashDetail(t)})
	}
}

// isPoolSettled reports whether the pool has been without an outage for long enough to start a
// task that several workers have crashed under. While many workers crash, another crash proves
// nothing about the task, but uses up one of its last runs. The wait is longer if more workers
// have crashed under it. A planner that has just started does not know which workers crashed
// before.
func (c *Core) isPoolSettled(j *job, step *workload.Step, t *workload.Task, now time.Time) bool {
	if t.PossibleCrashes() < isolateAfterCrashes {
		return true
	}
	quietPeriod := calmWaits * c.bounds.PollWait
	if t.PossibleCrashes() > isolateAfterCrashes && !step.Perpetual {
		quietPeriod *= 2
	}
	if now.Sub(c.startedAt) < quietPeriod {
		return false
	}
	return c.crashHistory.countSince(now.Add(-quietPeriod), j.ID) < max(unsettledLeast, c.aliveCount/outageShare)
}

// dropUnsettled removes the tasks from a unit that have to wait for the pool to settle. A gang
// waits as a whole. It reports whether any tasks are left.
func (c *Core) dropUnsettled(u *decide.Unit, j *job, tasks []workload.Task, now time.Time) bool {
	if !j.suspected {
		return true
	}
	unsettled := func(i int) bool { return !c.isPoolSettled(j, u.Step, &tasks[i], now) }
	switch {
	case !slices.ContainsFunc(u.Indexes, unsettled):
		return true
	case u.Step.Gang:
		u.Indexes = nil
	default:
		u.Indexes = slices.DeleteFunc(u.Indexes, unsettled)
	}
	j.waitedUnsettledAt = now
	c.emitWaitReason(u.Key, j, decide.PoolUnstable)
	return len(u.Indexes) > 0
}
