package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Round decides on everything that waits. wallMS is the time of day, which
// schedules refer to.
func (c *Core) Round(now time.Time, wallMS int64) {
	c.wallMS = wallMS
	c.at = now
	c.wishes = nil
	c.expire(now)
	c.forgetOver(now)
	c.weighCrashes()
	c.knowSuspects()
	c.create(wallMS)
	c.overdue(now)
	c.depart(now)
	c.maintain(now)
	c.learnSpeeds(now)
	s, units := c.snapshot(now, wallMS)
	c.orderWishes()
	plan := decide.Plan{}
	if len(units) > 0 {
		plan = c.decide(s)
	}
	for _, index := range plan.Stops {
		c.preempt(s.Running[index], now)
	}
	c.apply(s, units, plan.Starts, now)
	c.explain(s, units, plan.Held)
	c.noteLoad(plan, s, now)
}

// loadEvery is how often the pool's load is noted.
const loadEvery = time.Second

func (c *Core) noteLoad(plan decide.Plan, s *decide.Snapshot, now time.Time) {
	if len(plan.Held) == 0 || now.Sub(c.loadAt) < loadEvery {
		return
	}
	c.loadAt = now
	l := plan.Load
	c.note(Note{Event: EventLoad, Detail: fmt.Sprintf("used=%.2f idle=%t kept=%d closed=%d hurried=%.2f waiting=%d", l.Used, l.Idle, l.Kept, l.Closed, s.Hurried, len(plan.Held))})
}

// create opens the occurrences whose time has come, as far as a job's progress
// has room for them.
func (c *Core) create(wallMS int64) {
	for _, j := range c.jobs {
		if j.cancelled || j.progress.State.Final() {
			continue
		}
		tasks := j.Tasks()
		for j.progress.Next < j.Occurrences() && wallMS >= j.DueMS(j.progress.Next) {
			if len(j.progress.Open) > 0 && (len(j.progress.Open)+1)*tasks > workload.MaxTasks {
				break
			}
			j.progress.Create(j.Job)
			if j.Repetitions == 0 {
				break
			}
		}
	}
}

// unit is a waiting step with what it stands for.
type unit struct {
	job  *job
	open *workload.Occurrence
	step int
}

func (c *Core) snapshot(now time.Time, wallMS int64) (*decide.Snapshot, []unit) {
	s := &decide.Snapshot{Now: now, ReclaimWithin: c.bounds.ReclaimWithin, StopTimeout: c.bounds.StopTimeout, FarFactor: c.bounds.FarFactor, Without: c.bounds.Without}
	guaranteed := c.guaranteed()
	c.addRunning(s, guaranteed, now)
	units := c.addWaiting(s, guaranteed, now, wallMS)
	if len(units) > 0 {
		// The pool is looked at only where something may begin there.
		c.addWorkers(s, now)
	}
	s.Quiet = c.arrivals.quiet(now)
	s.Headroom = c.headroom.observe(c.demand(s), s.Quiet, now)
	s.Hurried = c.hurry.share
	return s, units
}

func (c *Core) addWorkers(s *decide.Snapshot, now time.Time) {
	s.Workers = make([]decide.Worker, 0, len(c.inOrder))
	for _, w := range c.inOrder {
		if w.gone || !w.listed {
			continue
		}
		one := decide.Worker{ID: w.ID, Rack: w.Rack, Service: w.Service, Labels: w.labels, Capacity: w.Capacity, Free: w.Capacity, Speed: c.paceOf(w, now)}
		closure := c.closure(w, now)
		one.Closed = closure != open
		one.Removed = closure == evacuated
		c.beginsThere(&one, w, now)
		for _, l := range w.tasks {
			need := l.step.Counted()
			one.Free = one.Free.Sub(need)
			if !l.step.Checkpoint && c.terms(l.job).Priority > 0 {
				one.Firm += need.Accelerators
			}
			if l.stopping || l.over {
				one.Coming = one.Coming.Add(need)
			}
		}
		s.Workers = append(s.Workers, one)
	}
}

// addRunning groups what runs: gangs by their run, other tasks alone.
func (c *Core) addRunning(s *decide.Snapshot, guaranteed map[workload.JobID]bool, now time.Time) {
	gangs := map[decide.UnitKey]int{}
	budget := c.newBudget(now)
	for _, l := range c.allLives() {
		index, known := gangs[l.key]
		if !l.step.Gang || !known {
			index = len(s.Running)
			s.Running = append(s.Running, c.group(l, guaranteed))
			if l.step.Gang {
				gangs[l.key] = index
			}
		}
		g := &s.Running[index]
		g.Add(l.worker.ID, l.step.Counted())
		g.Lost += c.lost(l, now)
		g.Left = max(g.Left, l.left(now))
		g.Stopping = g.Stopping || l.stopping || l.over
		g.Fixed = g.Fixed || !budget.take(l)
	}
}

func lessTask(a, b workload.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.K != b.K {
		return a.K < b.K
	}
	if a.Step != b.Step {
		return a.Step < b.Step
	}
	return a.Index < b.Index
}

func (c *Core) group(l *live, guaranteed map[workload.JobID]bool) decide.Group {
	return decide.Group{
		Key: l.key, Index: l.id.Index,
		Priority: c.terms(l.job).Priority, Guaranteed: guaranteed[l.id.Job],
	}
}

// left is the time until the run ends at the pace that was seen; 0 if none was.
func (l *live) left(now time.Time) time.Duration {
	if l.percent <= l.firstPercent || !l.movedAt.After(l.firstAt) {
		return 0
	}
	each := l.movedAt.Sub(l.firstAt) / time.Duration(l.percent-l.firstPercent)
	return max(time.Millisecond, each*time.Duration(100-l.percent)-now.Sub(l.movedAt))
}

// lost is the work in core-seconds that a stop of the task would throw away.
func (c *Core) lost(l *live, now time.Time) float64 {
	if l.orderedAt.IsZero() {
		return 0
	}
	ran := now.Sub(l.orderedAt)
	if l.step.Checkpoint {
		ran = min(ran, c.bounds.Restore)
	}
	return ran.Seconds() * l.step.Need.CoreEquivalent()
}

func (c *Core) addWaiting(s *decide.Snapshot, guaranteed map[workload.JobID]bool, now time.Time, wallMS int64) []unit {
	var units []unit
	for _, j := range c.jobOrder() {
		if j.cancelled || j.progress.State.Final() {
			continue
		}
		for _, o := range j.progress.Open {
			for step := range j.Steps {
				u, ok := c.waiting(j, o, step, guaranteed[j.ID], now, wallMS)
				if !ok {
					continue
				}
				for _, part := range c.split(u, j, o.Steps[step], now) {
					c.soundPlaces(&part, now)
					s.Waiting = append(s.Waiting, part)
					units = append(units, unit{j, o, step})
				}
			}
		}
	}
	return units
}

// waiting describes a step with tasks that may start; ok is false if none may.
func (c *Core) waiting(j *job, o *workload.Occurrence, step int, guaranteed bool, now time.Time, wallMS int64) (decide.Unit, bool) {
	key := unitKey(j.ID, o.K, step)
	spec := &j.Steps[step]
	if spec.Gang && len(j.livesOf(key)) > 0 {
		return decide.Unit{}, false
	}
	if !o.Ready(j.Job, step) {
		return decide.Unit{}, false
	}
	u := decide.Unit{Key: key, Step: spec, Guaranteed: guaranteed}
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != workload.Waiting {
			continue
		}
		if len(j.lives) == 0 || c.live[workload.TaskID{Job: j.ID, K: o.K, Step: step, Index: i}] == nil {
			u.Indexes = append(u.Indexes, i)
		}
	}
	if len(u.Indexes) == 0 {
		return decide.Unit{}, false
	}
	if !c.awaitSettled(&u, j, o.Steps[step], now) {
		return decide.Unit{}, false
	}
	c.describe(&u, j, o, now, wallMS)
	c.keepOff(&u, j)
	return u, true
}

func (c *Core) describe(u *decide.Unit, j *job, o *workload.Occurrence, now time.Time, wallMS int64) {
	fresh := j.since[u.Key].IsZero()
	if fresh {
		j.since[u.Key] = now
	}
	u.Since = j.since[u.Key]
	terms := c.terms(j)
	u.Priority = terms.Priority
	u.Service = terms.Service
	due := c.due(j, o.K, now, wallMS)
	whole := c.pace.owed(j)
	rest := c.pace.chain(j, u.Key.Step)
	objective := time.Duration(terms.Stretch*float64(whole)) + time.Duration(terms.TargetMS)*time.Millisecond
	u.Run = c.pace.expected(j, u.Key.Step)
	u.LatestStart = due.Add(objective - rest)
	if fresh && u.Priority == 0 {
		c.hurry.observe(decide.Hurries(u.LatestStart.Sub(now), c.bounds.StopTimeout))
	}
	u.Worthless = due.Add(lateFactor*objective - rest)
	if u.Step.Spread > 0 {
		u.Beside = j.beside(u.Key)
	}
	c.advised(u, terms, now)
}

// lateFactor is how many times its objective a job may take and still earn.
const lateFactor = 3

func (j *job) beside(key decide.UnitKey) map[string]int {
	out := map[string]int{}
	for _, l := range j.livesOf(key) {
		out[l.worker.ID]++
	}
	return out
}

// apply places what the plan starts. Orders go out once that is in the log.
func (c *Core) apply(s *decide.Snapshot, units []unit, starts []decide.Assignment, now time.Time) {
	runs := map[decide.UnitKey]int64{}
	slow := map[decide.UnitKey]bool{}
	for _, a := range starts {
		u := units[a.Unit]
		key := s.Waiting[a.Unit].Key
		tasks := u.open.Steps[key.Step]
		t := &tasks[a.Index]
		run := t.Run + 1
		if u.job.Steps[key.Step].Gang {
			if runs[key] == 0 {
				runs[key] = highestRun(tasks) + 1
			}
			run = runs[key]
		}
		t.Run = run
		t.Phase = workload.Placed
		t.Worker = a.Worker
		id := workload.TaskID{Job: key.Job, K: key.K, Step: key.Step, Index: a.Index}
		l := c.addLive(u.job, id, t)
		l.far = a.Far
		l.slow = decide.Slow(c.paceOf(l.worker, now))
		slow[key] = slow[key] || l.slow
		c.starts = append(c.starts, l)
		u.job.progress.Begun = true
		if u.job.progress.State == workload.Queued {
			u.job.progress.State = workload.Running
		}
		c.change(u.job)
		c.noteStart(&s.Waiting[a.Unit], now, a, run)
	}
	for _, l := range c.starts {
		l.slow = l.slow || (l.step.Gang && slow[l.key])
	}
}

// noteStart notes the start of a unit, one line for all tasks that start in one
// round.
func (c *Core) noteStart(u *decide.Unit, now time.Time, a decide.Assignment, run int64) {
	step := workload.TaskID{Job: u.Key.Job, K: u.Key.K, Step: u.Key.Step}.StepName()
	task := fmt.Sprintf(" %d:%d@%s", a.Index, run, a.Worker)
	if n := len(c.notes); n > 0 && c.notes[n-1].Event == EventUnitStarted && c.notes[n-1].Task == step {
		c.notes[n-1].Detail += task
		return
	}
	why := fmt.Sprintf("priority=%d guaranteed=%t slack_ms=%d waited_ms=%d far=%t", u.Priority, u.Guaranteed, u.LatestStart.Sub(now).Milliseconds(), now.Sub(u.Since).Milliseconds(), a.Far)
	c.note(Note{Event: EventUnitStarted, Job: u.Key.Job, Task: step, Why: why, Detail: task[1:]})
}

func highestRun(tasks []workload.Task) int64 {
	most := int64(0)
	for i := range tasks {
		most = max(most, tasks[i].Run)
	}
	return most
}

func (c *Core) preempt(g decide.Group, now time.Time) {
	for _, l := range c.jobs[g.Key.Job].livesOf(g.Key) {
		if l.step.Gang || l.id.Index == g.Index {
			c.stop(l, "preempted")
		}
	}
}

// explain notes why units wait, when the reason changes.
func (c *Core) explain(s *decide.Snapshot, units []unit, held []decide.Held) {
	for _, h := range held {
		if u := &s.Waiting[h.Unit]; u.Allowed != nil && len(u.Allowed) == 0 {
			h.Reason = decide.WaitsForAdvice
		}
		c.noteWait(s.Waiting[h.Unit].Key, units[h.Unit].job, h.Reason)
	}
}

// noteWait notes why a unit waits, when the reason changes.
func (c *Core) noteWait(key decide.UnitKey, j *job, why decide.Reason) {
	if j.held[key] == why {
		return
	}
	j.held[key] = why
	c.note(Note{Event: EventUnitWaits, Job: key.Job, Task: workload.TaskID{Job: key.Job, K: key.K, Step: key.Step}.StepName(), Why: string(why)})
}
