package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Round plans and applies one round of decisions. wallMS is the wall-clock time, to which
// schedules refer.
func (c *Core) Round(now time.Time, wallMS int64) {
	c.wallMS = wallMS
	c.roundAt = now
	c.adviceWanted = nil
	c.expireLeases(now)
	c.forgetFinished(now)
	c.reweighCrashes()
	c.updateSuspects()
	c.createOccurrences(wallMS)
	c.stopStalled(now)
	c.stopOnLeavingWorkers(now)
	c.advanceWaves(now)
	c.learnSpeeds(now)
	c.expireSpells(now)
	s, units := c.snapshot(now, wallMS)
	c.sortAdviceWanted()
	plan := decide.Plan{}
	if len(units) > 0 {
		plan = c.makePlan(s)
	}
	for _, index := range plan.Stops {
		c.preempt(s.Running[index], now)
	}
	c.applyStarts(s, units, plan.Starts, now)
	c.emitWaitReasons(s, units, plan.Deferred)
	c.emitLoad(plan, s, now)
	c.reportShares(s, now)
	c.measureBacklogs(plan, s, now)
}

// loadInterval is how often the pool's load is emitted.
const loadInterval = time.Second

func (c *Core) emitLoad(plan decide.Plan, s *decide.Snapshot, now time.Time) {
	if len(plan.Deferred) == 0 || now.Sub(c.loadReportedAt) < loadInterval {
		return
	}
	c.loadReportedAt = now
	l := plan.Load
	c.emit(Event{Name: EventLoad, Detail: fmt.Sprintf("used=%.2f idle=%t kept=%d closed=%d hurried=%.2f waiting=%d", l.Utilization, l.Underused, l.ReservedRacks, l.ClosedWorkers, s.UrgentShare, len(plan.Deferred))})
}

// createOccurrences opens the occurrences that are due, up to the limit on tasks in a job's
// progress.
func (c *Core) createOccurrences(wallMS int64) {
	for _, j := range c.jobs {
		if j.cancelled || j.progress.State.IsFinal() {
			continue
		}
		tasks := j.TaskCount()
		for j.progress.NextOccurrence < j.Occurrences() && wallMS >= j.DueMS(j.progress.NextOccurrence) {
			if len(j.progress.Open) > 0 && (len(j.progress.Open)+1)*tasks > workload.MaxTasks {
				break
			}
			j.progress.AddOccurrence(j.Job)
			if j.Repetitions == 0 {
				break
			}
		}
	}
}

// waitingStep is a waiting step with its job and occurrence.
type waitingStep struct {
	job  *job
	open *workload.Occurrence
	step int
}

func (c *Core) snapshot(now time.Time, wallMS int64) (*decide.Snapshot, []waitingStep) {
	s := &decide.Snapshot{Now: now, ReclaimWithin: c.bounds.ReclaimWithin, StopTimeout: c.bounds.StopTimeout, RemoteFactor: c.bounds.RemoteFactor, Disabled: c.bounds.Disabled}
	guaranteed := c.guaranteedJobs()
	c.addRunning(s, guaranteed, now)
	units := c.addWaiting(s, guaranteed, now, wallMS)
	if len(units) > 0 {
		// The workers are only needed if something may start.
		c.addWorkers(s, now)
	}
	c.updateShares(s, now)
	s.NoRecentArrivals = c.arrivals.isQuiet(now)
	s.Headroom = c.headroom.observe(c.topPriorityDemand(s), s.NoRecentArrivals, now)
	s.UrgentShare = c.urgency.share
	if len(units) > 0 {
		c.addReservations(s, guaranteed, now, wallMS)
	}
	return s, units
}

func (c *Core) addWorkers(s *decide.Snapshot, now time.Time) {
	s.Workers = make([]decide.Worker, 0, len(c.workersByID))
	for _, w := range c.workersByID {
		if w.gone || !w.listed {
			continue
		}
		out := decide.Worker{ID: w.ID, Rack: w.Rack, Service: w.Service, Labels: w.labels, Capacity: w.Capacity, Free: w.Capacity, Speed: c.speedFactor(w, now), Slowed: c.spells[w.ID] != nil}
		reason := c.closedReason(w, now)
		out.Closed = reason != notClosed
		out.Evacuated = reason == closedEvacuated
		c.describeOccupants(&out, w, now)
		for _, r := range w.runs {
			need := r.step.CapacityNeed()
			out.Free = out.Free.Sub(need)
			if !r.step.Checkpoint && c.queueSettings(r.job).Priority > 0 {
				out.NonCheckpointed += need.Accelerators
			}
			if r.stopping || r.settled {
				out.Freeing = out.Freeing.Add(need)
			}
		}
		s.Workers = append(s.Workers, out)
	}
}

// addRunning adds what is running: gangs as one group each, other tasks as single groups.
func (c *Core) addRunning(s *decide.Snapshot, guaranteed map[workload.JobID]bool, now time.Time) {
	gangs := map[decide.UnitKey]int{}
	budget := c.newDisruptionBudget(now)
	for _, r := range c.allRuns() {
		index, known := gangs[r.key]
		if !r.step.Gang || !known {
			index = len(s.Running)
			s.Running = append(s.Running, c.newGroup(r, guaranteed))
			if r.step.Gang {
				gangs[r.key] = index
			}
		}
		g := &s.Running[index]
		g.Add(r.worker.ID, r.step.CapacityNeed())
		g.LostWork += c.lostWork(r, now)
		g.RemainingTime = max(g.RemainingTime, r.remainingByProgress(now))
		g.Stopping = g.Stopping || r.stopping || r.settled
		g.NonPreemptible = g.NonPreemptible || !budget.take(r)
	}
}

func lessTask(a, b workload.TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Occurrence != b.Occurrence {
		return a.Occurrence < b.Occurrence
	}
	if a.Step != b.Step {
		return a.Step < b.Step
	}
	return a.Index < b.Index
}

func (c *Core) newGroup(r *activeRun, guaranteed map[workload.JobID]bool) decide.Group {
	return decide.Group{
		Key: r.key, Index: r.id.Index,
		Priority: c.queueSettings(r.job).Priority, Guaranteed: guaranteed[r.id.Job],
	}
}

// timePerPercent returns the time per percent of progress observed so far, or 0 if there is none.
func (r *activeRun) timePerPercent() time.Duration {
	if r.percent <= r.firstPercent || !r.progressedAt.After(r.firstAt) {
		return 0
	}
	return r.progressedAt.Sub(r.firstAt) / time.Duration(r.percent-r.firstPercent)
}

// remainingByProgress returns the time until the run ends at the progress rate observed so far,
// or 0 if there is none.
func (r *activeRun) remainingByProgress(now time.Time) time.Duration {
	each := r.timePerPercent()
	if each == 0 {
		return 0
	}
	return max(time.Millisecond, each*time.Duration(100-r.percent)-now.Sub(r.progressedAt))
}

// lostWork returns the work in core-seconds that would be lost if the run was stopped.
func (c *Core) lostWork(r *activeRun, now time.Time) float64 {
	if r.orderedAt.IsZero() {
		return 0
	}
	ran := now.Sub(r.orderedAt)
	if r.step.Checkpoint {
		ran = min(ran, c.bounds.RestoreCost)
	}
	return ran.Seconds() * r.step.Need.CoreEquivalent()
}

func (c *Core) addWaiting(s *decide.Snapshot, guaranteed map[workload.JobID]bool, now time.Time, wallMS int64) []waitingStep {
	var units []waitingStep
	for _, j := range c.jobsInOrder() {
		if j.cancelled || j.progress.State.IsFinal() {
			continue
		}
		for _, o := range j.progress.Open {
			for step := range j.Steps {
				u, ok := c.waitingUnit(j, o, step, guaranteed[j.ID], now, wallMS)
				if !ok {
					continue
				}
				for _, part := range c.splitSuspects(u, j, o.Steps[step], now) {
					c.avoidUnstableWorkers(&part, now)
					s.Waiting = append(s.Waiting, part)
					units = append(units, waitingStep{j, o, step})
				}
			}
		}
	}
	return units
}

// waitingUnit returns a unit of the step's tasks that may start. ok is false if there are none.
func (c *Core) waitingUnit(j *job, o *workload.Occurrence, step int, guaranteed bool, now time.Time, wallMS int64) (decide.Unit, bool) {
	key := unitKey(j.ID, o.Number, step)
	spec := &j.Steps[step]
	if spec.Gang && len(j.runsOf(key)) > 0 {
		return decide.Unit{}, false
	}
	if !o.IsStepReady(j.Job, step) {
		return decide.Unit{}, false
	}
	u := decide.Unit{Key: key, Account: j.Account, Step: spec, Guaranteed: guaranteed}
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != workload.Waiting {
			continue
		}
		if len(j.runs) == 0 || c.runs[workload.TaskID{Job: j.ID, Occurrence: o.Number, Step: step, Index: i}] == nil {
			u.Indexes = append(u.Indexes, i)
		}
	}
	if len(u.Indexes) == 0 {
		return decide.Unit{}, false
	}
	if !c.dropUnsettled(&u, j, o.Steps[step], now) {
		return decide.Unit{}, false
	}
	c.describeUnit(&u, j, o, now, wallMS)
	c.avoidFailedWorkers(&u, j)
	return u, true
}

func (c *Core) describeUnit(u *decide.Unit, j *job, o *workload.Occurrence, now time.Time, wallMS int64) {
	first := j.waitingSince[u.Key].IsZero()
	if first {
		j.waitingSince[u.Key] = now
	}
	u.ReadySince = j.waitingSince[u.Key]
	c.describeTerms(u, j, o, now, wallMS)
	if first && u.Priority == 0 {
		c.urgency.observe(decide.IsUrgent(u.LatestStart.Sub(now), c.bounds.StopTimeout))
	}
}

// describeTerms sets the terms of a unit's queue and its latest starts.
func (c *Core) describeTerms(u *decide.Unit, j *job, o *workload.Occurrence, now time.Time, wallMS int64) {
	terms := c.queueSettings(j)
	u.Priority = terms.Priority
	u.Service = terms.Service
	due := c.due(j, o.Number, now, wallMS)
	expectedTotal := c.estimates.expectedWithFailures(j)
	expectedRest := c.estimates.expectedChain(j, u.Key.Step)
	objective := time.Duration(terms.Stretch*float64(expectedTotal)) + time.Duration(terms.TargetMS)*time.Millisecond
	u.RunTime = c.estimates.expected(j, u.Key.Step)
	u.LatestStart = due.Add(objective - expectedRest)
	u.WorthlessAfter = due.Add(lateFactor*objective - expectedRest)
	if u.Step.PerWorker > 0 {
		u.Placed = j.runsPerWorker(u.Key)
	}
	c.restrictToAllowed(u, terms, now)
}

// lateFactor is the multiple of its objective up to which a job is still worth something.
const lateFactor = admission.LateFactor

func (j *job) runsPerWorker(key decide.UnitKey) map[string]int {
	out := map[string]int{}
	for _, r := range j.runsOf(key) {
		out[r.worker.ID]++
	}
	return out
}

// applyStarts places the tasks that the plan starts. The orders are sent once the placement is in
// the log.
func (c *Core) applyStarts(s *decide.Snapshot, units []waitingStep, starts []decide.Assignment, now time.Time) {
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
		id := workload.TaskID{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: a.Index}
		r := c.addRun(u.job, id, t)
		r.remote = a.Remote
		r.slow = decide.IsSlow(c.speedFactor(r.worker, now)) || c.spells[r.worker.ID] != nil
		slow[key] = slow[key] || r.slow
		c.pendingStarts = append(c.pendingStarts, r)
		u.job.progress.Started = true
		if u.job.progress.State == workload.Queued {
			u.job.progress.State = workload.Running
		}
		c.markDirty(u.job)
		c.emitStart(&s.Waiting[a.Unit], now, a, run)
	}
	for _, r := range c.pendingStarts {
		r.slow = r.slow || (r.step.Gang && slow[r.key])
	}
}

// emitStart emits the start of a unit, as one event for all of its tasks that start in one round.
func (c *Core) emitStart(u *decide.Unit, now time.Time, a decide.Assignment, run int64) {
	step := workload.TaskID{Job: u.Key.Job, Occurrence: u.Key.Occurrence, Step: u.Key.Step}.StepID()
	task := fmt.Sprintf(" %d:%d@%s", a.Index, run, a.Worker)
	if n := len(c.pendingEvents); n > 0 && c.pendingEvents[n-1].Name == EventUnitStarted && c.pendingEvents[n-1].Task == step {
		c.pendingEvents[n-1].Detail += task
		return
	}
	why := fmt.Sprintf("priority=%d guaranteed=%t slack_ms=%d waited_ms=%d far=%t", u.Priority, u.Guaranteed, u.LatestStart.Sub(now).Milliseconds(), now.Sub(u.ReadySince).Milliseconds(), a.Remote)
	c.emit(Event{Name: EventUnitStarted, Job: u.Key.Job, Task: step, Reason: why, Detail: task[1:]})
}

func highestRun(tasks []workload.Task) int64 {
	highest := int64(0)
	for i := range tasks {
		highest = max(highest, tasks[i].Run)
	}
	return highest
}

func (c *Core) preempt(g decide.Group, now time.Time) {
	for _, r := range c.jobs[g.Key.Job].runsOf(g.Key) {
		if r.step.Gang || r.id.Index == g.Index {
			c.stop(r, "preempted")
		}
	}
}

// emitWaitReasons emits why units wait, if the reason has changed.
func (c *Core) emitWaitReasons(s *decide.Snapshot, units []waitingStep, held []decide.DeferredUnit) {
	for _, h := range held {
		if u := &s.Waiting[h.Unit]; u.Allowed != nil && len(u.Allowed) == 0 {
			h.Reason = decide.WaitsForAdvice
		}
		c.emitWaitReason(s.Waiting[h.Unit].Key, units[h.Unit].job, h.Reason)
	}
}

// emitWaitReason emits why a unit waits, if the reason has changed.
func (c *Core) emitWaitReason(key decide.UnitKey, j *job, reason decide.Reason) {
	if j.waitReasons[key] == reason {
		return
	}
	j.waitReasons[key] = reason
	c.emit(Event{Name: EventUnitWaits, Job: key.Job, Task: workload.TaskID{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}.StepID(), Reason: string(reason)})
}
