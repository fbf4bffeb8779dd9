package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// A task that a worker has crashed under is a suspect until it has been running for longer than
// it had at the crash. Suspects of different jobs are not placed on the same worker, and new runs
// are not placed beside a suspect, so that the next crash shows which task caused it.

// isSuspect reports whether a worker has crashed under a task since its crashes were last reset.
// Crashes that are excluded as evidence count too: tasks that crash their workers at the same
// moment look like an outage. So do crashes for which another job failed, since each costs the
// task one of its last runs.
func isSuspect(t *workload.Task) bool { return t.PossibleCrashes() > 0 }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxAloneWait is how long a task that two workers have crashed under waits for an empty worker.
// A job that waits for three seconds beside free capacity counts as forgotten.
const maxAloneWait = 2 * time.Second

// isWatched reports whether new runs on a run's worker would obscure the cause of its next crash.
// That is so while a suspect has been running for no longer than at its earlier crashes. If a
// task's only crash came long after its start, it is weak evidence, and watching the task would
// keep others off its worker for long.
func (c *Core) isWatched(r *activeRun, now time.Time) bool {
	if !r.job.suspected {
		return false
	}
	t := c.task(r)
	if t == nil || !isSuspect(t) || r.settled {
		return false
	}
	if t.PossibleCrashes() < isolateAfterCrashes && time.Duration(t.CrashMS)*time.Millisecond > c.earlyWindow(r) {
		return false
	}
	took, known := r.runTime(now)
	return !known || took <= c.clearAfter(r, t)
}

// updateSuspects updates which jobs have suspects, so that rounds without suspects can skip the
// checks for them.
func (c *Core) updateSuspects() {
	c.hasSuspects = false
	for _, j := range c.jobs {
		j.suspected = j.suspected && j.hasSuspect()
		c.hasSuspects = c.hasSuspects || j.suspected
	}
}

func (j *job) hasSuspect() bool {
	for _, o := range j.progress.Open {
		for _, tasks := range o.Steps {
			if slices.ContainsFunc(tasks, func(t workload.Task) bool { return isSuspect(&t) }) {
				return true
			}
		}
	}
	return false
}

// describeOccupants sets in the snapshot which job is watched on a worker, and whether a run
// there started so recently that a crash would make it a suspect as well.
func (c *Core) describeOccupants(out *decide.Worker, w *worker, now time.Time) {
	if c.bounds.Disabled[decide.IsolateSuspects] {
		return
	}
	for _, r := range w.runs {
		out.HasSeveralJobs = out.HasSeveralJobs || (out.RunningJob != "" && out.RunningJob != r.id.Job)
		out.RunningJob = r.id.Job
		if !c.hasSuspects {
			continue
		}
		if c.isWatched(r, now) && (out.SuspectJob == "" || r.id.Job < out.SuspectJob) {
			out.SuspectJob = r.id.Job
		}
		if took, known := r.runTime(now); !known || took <= 2*c.earlyWindow(r) {
			out.HasRecentStart = true
		}
	}
}

// splitSuspects splits a unit into the suspects among its tasks and the others. A gang is one
// suspect.
func (c *Core) splitSuspects(u decide.Unit, j *job, tasks []workload.Task, now time.Time) []decide.Unit {
	if !j.suspected || c.bounds.Disabled[decide.IsolateSuspects] {
		return []decide.Unit{u}
	}
	suspects, others := u, u
	suspects.Indexes, others.Indexes = nil, nil
	for _, i := range u.Indexes {
		suspects.Exclusive = suspects.Exclusive || (tasks[i].PossibleCrashes() >= isolateAfterCrashes && now.Sub(latest(j.crashedAt, j.waitedUnsettledAt)) < maxAloneWait)
		if isSuspect(&tasks[i]) {
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
		u.Suspect, u.Exclusive = true, suspects.Exclusive
		return []decide.Unit{u}
	case len(others.Indexes) == 0:
		return []decide.Unit{suspects}
	}
	return []decide.Unit{suspects, others}
}

// avoidUnstableWorkers keeps suspects off addresses where workers have crashed, unless these are
// the majority.
func (c *Core) avoidUnstableWorkers(u *decide.Unit, now time.Time) {
	if !u.Suspect || len(c.lastCrashAt) == 0 {
		return
	}
	avoid := map[string]bool{}
	maps.Copy(avoid, u.Avoid)
	listed, unstable := 0, 0
	for id, w := range c.workers {
		if !w.listed {
			continue
		}
		listed++
		if c.isUnstable(w, now) {
			unstable++
			avoid[id] = true
		}
	}
	if 2*unstable <= listed {
		u.Avoid = avoid
	}
}
