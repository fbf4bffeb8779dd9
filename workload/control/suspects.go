package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// A task under which a worker has crashed is a suspect until it has been at work for
// longer than that took. Suspects of different jobs are kept apart, and what is new comes
// beside none, so that the next crash tells whose it is.

// suspect tells whether a worker has crashed under a task since it was last reset. Crashes that
// are no evidence count: tasks that crash their workers in one moment look like an outage. So do
// those for which another job was given up, since each costs the task one of its last starts.
func suspect(t *workload.Task) bool { return t.TotalCrashes() > 0 }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// aloneFor is how long a task that two workers have crashed under waits for a worker where
// nothing else is. A job that waits for three seconds beside free room counts as forgotten.
const aloneFor = 2 * time.Second

// watched tells whether what comes to a run's worker would blur whose crash the next one is:
// while a suspect's run is as young as its earlier ones were. After a single crash, runs that
// had been at work for long then say little of it, and would keep others off for long.
func (c *Core) watched(l *live, now time.Time) bool {
	if !l.job.suspected {
		return false
	}
	t := c.task(l)
	if t == nil || !suspect(t) || l.over {
		return false
	}
	if t.TotalCrashes() < crashesAlone && time.Duration(t.CrashMS)*time.Millisecond > c.soon(l) {
		return false
	}
	took, known := l.lasted(now)
	return !known || took <= c.steady(l, t)
}

// knowSuspects notes which jobs have suspects. Rounds look at nothing of the kind where there
// are none.
func (c *Core) knowSuspects() {
	c.suspects = false
	for _, j := range c.jobs {
		j.suspected = j.suspected && j.hasSuspect()
		c.suspects = c.suspects || j.suspected
	}
}

func (j *job) hasSuspect() bool {
	for _, o := range j.progress.Open {
		for _, tasks := range o.Steps {
			if slices.ContainsFunc(tasks, func(t workload.Task) bool { return suspect(&t) }) {
				return true
			}
		}
	}
	return false
}

// beginsThere tells the plan who is being watched on a worker, and whether anything there
// has begun so lately that it would be a suspect beside another.
func (c *Core) beginsThere(one *decide.Worker, w *worker, now time.Time) {
	if c.bounds.Without[decide.SuspectsApart] {
		return
	}
	for _, l := range w.tasks {
		one.Shared = one.Shared || (one.Occupant != "" && one.Occupant != l.id.Job)
		one.Occupant = l.id.Job
		if !c.suspects {
			continue
		}
		if c.watched(l, now) && (one.Watched == "" || l.id.Job < one.Watched) {
			one.Watched = l.id.Job
		}
		if took, known := l.lasted(now); !known || took <= 2*c.soon(l) {
			one.Unsettled = true
		}
	}
}

// split takes the tasks of a step that are suspects apart from the others. A gang is one
// suspect.
func (c *Core) split(u decide.Unit, j *job, tasks []workload.Task, now time.Time) []decide.Unit {
	if !j.suspected || c.bounds.Without[decide.SuspectsApart] {
		return []decide.Unit{u}
	}
	suspects, others := u, u
	suspects.Indexes, others.Indexes = nil, nil
	for _, i := range u.Indexes {
		suspects.Alone = suspects.Alone || (tasks[i].TotalCrashes() >= crashesAlone && now.Sub(latest(j.crashedAt, j.unsettledAt)) < aloneFor)
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
		u.Suspect, u.Alone = true, suspects.Alone
		return []decide.Unit{u}
	case len(others.Indexes) == 0:
		return []decide.Unit{suspects}
	}
	return []decide.Unit{suspects, others}
}

// soundPlaces keeps a suspect off places where workers crash anyway, while most are sound.
func (c *Core) soundPlaces(u *decide.Unit, now time.Time) {
	if !u.Suspect || len(c.unstable) == 0 {
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
