package control

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Workers that crash together have one cause: a rack, a link or a power feed. No task can have
// ended the lives of workers that never ran it, so such a crash is no evidence against the tasks
// that were there. Idle workers are noticed later than busy ones, so evidence is weighed again
// in each round until all of an outage has been noticed.

const (
	// outageShare is the part of all workers that crash together in an outage. Fewer than
	// outageLeast, all without a job, are no proof of one: several jobs that crash their workers
	// may start in one moment. Fewer than unsettledLeast don't make a task wait either.
	outageShare    = 8
	outageLeast    = 6
	unsettledLeast = 3
	// outageWaits is how many waits of a hold apart the crashes of one outage are noticed at the
	// most.
	outageWaits = 2
	// calmWaits is for how many waits of a hold a pool has to be without an outage before it
	// tells anything of a task: longer than noticing one takes.
	calmWaits = 4
)

// crash is a worker's, with the tasks that it is evidence against.
type crash struct {
	// at is when the worker fell silent, noticed when its life was known to be over.
	at, noticed time.Time
	tasks       []workload.TaskID
}

// crashHistory holds the crashes of the last leases.
type crashHistory struct {
	// crashes are in the order in which they were noticed, silences sorted, and of each job
	// those of the workers that it had runs on.
	crashes  []crash
	silences []time.Time
	ofJob    map[workload.JobID][]crash
	// changed tells that crashes were added since they were last weighed.
	changed bool
}

func newCrashHistory() crashHistory { return crashHistory{ofJob: map[workload.JobID][]crash{}} }

// add notes a crash of a worker that had runs of these jobs.
func (h *crashHistory) add(one crash, jobs []workload.JobID) {
	h.crashes = append(h.crashes, one)
	at, _ := slices.BinarySearchFunc(h.silences, one.at, time.Time.Compare)
	h.silences = slices.Insert(h.silences, at, one.at)
	for _, job := range jobs {
		h.ofJob[job] = append(h.ofJob[job], crash{at: one.at, noticed: one.noticed})
	}
	h.changed = true
}

// expire forgets what was noticed before a time.
func (h *crashHistory) expire(before time.Time) {
	if len(h.crashes) == 0 || !h.crashes[0].noticed.Before(before) {
		return
	}
	old := func(one crash) bool { return one.noticed.Before(before) }
	h.crashes = slices.DeleteFunc(h.crashes, old)
	h.silences = h.silences[:0]
	for _, one := range h.crashes {
		h.silences = append(h.silences, one.at)
	}
	slices.SortFunc(h.silences, time.Time.Compare)
	for job, crashes := range h.ofJob {
		if crashes = slices.DeleteFunc(crashes, old); len(crashes) == 0 {
			delete(h.ofJob, job)
			continue
		}
		h.ofJob[job] = crashes
	}
}

// around counts the workers without runs of a job that fell silent within a span of a time.
func (h *crashHistory) around(at time.Time, job workload.JobID, span time.Duration) int {
	from, _ := slices.BinarySearchFunc(h.silences, at.Add(-span), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(h.silences, at.Add(span+1), time.Time.Compare)
	count := to - from
	for _, own := range h.ofJob[job] {
		if own.at.Sub(at).Abs() <= span {
			count--
		}
	}
	return count
}

// since counts the workers without runs of a job whose crash was noticed after a time.
func (h *crashHistory) since(after time.Time, job workload.JobID) int {
	from, _ := slices.BinarySearchFunc(h.crashes, after, func(one crash, at time.Time) int { return one.noticed.Compare(at) })
	count := len(h.crashes) - from
	for _, own := range h.ofJob[job] {
		if !own.noticed.Before(after) {
			count--
		}
	}
	return count
}

// drop takes a task whose crashes were reset off all that are held.
func (h *crashHistory) drop(id workload.TaskID) {
	for i := range h.crashes {
		h.crashes[i].tasks = slices.DeleteFunc(h.crashes[i].tasks, func(other workload.TaskID) bool { return other == id })
	}
}

// countAlive counts the workers that an outage is held against: entries of those that have
// crashed stay in the list for some heartbeats.
func (c *Core) countAlive() {
	c.alive = c.listed
	if len(c.crashes.crashes) == 0 {
		return
	}
	for _, w := range c.inOrder {
		if w.listed && w.gone {
			c.alive--
		}
	}
}

// inOutage tells whether a worker fell silent together with many that never ran a job.
func (c *Core) inOutage(at time.Time, job workload.JobID) bool {
	return c.crashes.around(at, job, outageWaits*c.bounds.Wait) >= max(outageLeast, c.alive/outageShare)
}

// weighCrashes excludes the crashes that turned out to be part of an outage.
func (c *Core) weighCrashes() {
	c.countAlive()
	if !c.crashes.changed {
		return
	}
	c.crashes.changed = false
	for i := range c.crashes.crashes {
		one := &c.crashes.crashes[i]
		one.tasks = slices.DeleteFunc(one.tasks, func(id workload.TaskID) bool {
			if !c.inOutage(one.at, id.Job) {
				return false
			}
			c.exclude(id)
			return true
		})
	}
}

// exclude takes one of the crashes under a task for no evidence against it.
func (c *Core) exclude(id workload.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	if t := j.progress.Find(id); t != nil && t.Evidence() > 0 {
		t.Excluded++
		c.change(j)
	}
}

// poolSettled tells whether the pool has been without an outage for long enough to start a task
// under which several workers have crashed: while many workers crash, another crash tells nothing
// of the task and costs it one of its last starts. The more workers have crashed under it the
// longer it takes. A planner that has just begun does not know what crashed before.
func (c *Core) poolSettled(j *job, step *workload.Step, t *workload.Task, now time.Time) bool {
	if t.TotalCrashes() < crashesAlone {
		return true
	}
	calm := calmWaits * c.bounds.Wait
	if t.TotalCrashes() > crashesAlone && !step.Perpetual {
		calm *= 2
	}
	if now.Sub(c.began) < calm {
		return false
	}
	return c.crashes.since(now.Add(-calm), j.ID) < max(unsettledLeast, c.alive/outageShare)
}

// awaitSettled leaves the tasks out of a unit that the pool is no place for yet; a gang waits
// whole. It returns whether anything is left.
func (c *Core) awaitSettled(u *decide.Unit, j *job, tasks []workload.Task, now time.Time) bool {
	if !j.suspected {
		return true
	}
	unsettled := func(i int) bool { return !c.poolSettled(j, u.Step, &tasks[i], now) }
	switch {
	case !slices.ContainsFunc(u.Indexes, unsettled):
		return true
	case u.Step.Gang:
		u.Indexes = nil
	default:
		u.Indexes = slices.DeleteFunc(u.Indexes, unsettled)
	}
	j.unsettledAt = now
	c.noteWait(u.Key, j, decide.PoolUnsettled)
	return len(u.Indexes) > 0
}
