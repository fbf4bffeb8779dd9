package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/state"
)

// adopt starts the takeover from the members that the claims have reported.
func (c *Core) adopt(in Inputs) {
	c.adopted = true
	c.binding = in.Binding
	c.foundMembers = c.groupFound()
}

// takeOver takes over the reported gangs whose jobs have been read. The newest attempt of
// a job that has not ended continues if it is complete; all others are stopped. A gang
// whose job has not been read yet is left alone: workers forget what is stopped, and its
// result would be lost.
func (c *Core) takeOver(in Inputs) {
	if len(c.foundMembers) == 0 {
		return
	}
	jobs := map[domain.JobID]state.Status{}
	for _, status := range in.Jobs {
		jobs[status.Job.ID] = status
	}
	newest := map[domain.JobID]domain.Incarnation{}
	for id := range c.foundMembers {
		if old, ok := newest[id.Job]; !ok || id.Newer(old) {
			newest[id.Job] = id
		}
	}
	for _, id := range sortedGangs(c.foundMembers) {
		status, active := jobs[id.Job]
		if !active && !in.HasEnded(id.Job) {
			continue
		}
		c.takeOverGang(id, status, in, active && newest[id.Job] == id && !status.Incarnation.Newer(id))
		delete(c.foundMembers, id)
	}
}

func (c *Core) takeOverGang(id domain.Incarnation, status state.Status, in Inputs, resume bool) {
	local := c.localOf(id.Job)
	local.attempt = max(local.attempt, id.Attempt)
	class := in.Classes[status.Job.Class]
	m := gang.Adopt(status.Job, class, id, c.foundMembers[id], status.Guaranteed, c.options.Timing, in.Now)
	if resume {
		c.machines[id.Job] = m
		return
	}
	m.Cancel(gang.CauseIncomplete)
	c.orphans[id] = m
}

func (c *Core) groupFound() map[domain.Incarnation][]gang.FoundMember {
	out := map[domain.Incarnation][]gang.FoundMember{}
	for _, spec := range c.listed {
		w := c.workers[spec.ID]
		for _, member := range w.foundMembers {
			out[member.Gang] = append(out[member.Gang], gang.FoundMember{Worker: spec.ID, Member: member, Reading: w.reading})
		}
		w.foundMembers = nil
	}
	return out
}

// cancelJobs ends the jobs whose callers have requested it.
func (c *Core) cancelJobs(in Inputs) {
	for _, status := range in.Jobs {
		if !status.CancelRequested || c.localOf(status.Job.ID).ended {
			continue
		}
		if m, ok := c.machines[status.Job.ID]; ok {
			m.Cancel(gang.CauseCancelled)
			continue
		}
		c.end(status.Job.ID, domain.JobCancelled, string(gang.CauseCancelled), "", in.Now)
	}
}

// end records a job's final state.
func (c *Core) end(id domain.JobID, final domain.JobState, cause, result string, now time.Time) {
	c.localOf(id).ended = true
	c.planNeeded = true
	c.emit("ended/"+string(id), state.KindEnded, state.Ended{Job: id, State: final, Cause: cause, Result: result, At: now})
}

// advanceGangs advances every gang and concludes those that have ended.
func (c *Core) advanceGangs(in Inputs) {
	canStart := c.canStart(in.Now)
	for _, id := range sortedJobs(c.machines) {
		m := c.machines[id]
		c.stopIfOverMemory(m)
		if isStarting(m.Phase()) && !canStart {
			continue
		}
		before := m.Phase()
		c.sendRequests(m, in.Now)
		if m.Phase() == gang.Recording && before != gang.Recording {
			c.emitStarted(m, in.Now)
		}
		if m.Phase() == gang.Ended {
			c.conclude(m, in)
		}
	}
	for _, id := range sortedGangs(c.orphans) {
		m := c.orphans[id]
		c.sendRequests(m, in.Now)
		if m.Phase() == gang.Ended {
			delete(c.orphans, id)
			c.startClosing(m, false)
		}
	}
}

// sortedGangs returns the keys in a fixed order, so that a planner is deterministic.
func sortedGangs[V any](gangs map[domain.Incarnation]V) []domain.Incarnation {
	ids := slices.Collect(maps.Keys(gangs))
	slices.SortFunc(ids, func(a, b domain.Incarnation) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Holder, b.Holder))
	})
	return ids
}

func sortedJobs(machines map[domain.JobID]*gang.Machine) []domain.JobID {
	return slices.Sorted(maps.Keys(machines))
}

// isStarting reports whether the phase may be left only by a planner that may start gangs.
func isStarting(p gang.Phase) bool {
	return p == gang.Reserving || p == gang.Arming || p == gang.Releasing
}

func (c *Core) sendRequests(m *gang.Machine, now time.Time) {
	for _, req := range m.Next(now, c) {
		w := c.workers[req.Worker]
		req.Command.Token = c.Token
		c.out.Calls = append(c.out.Calls, Call{Worker: w.spec, Command: req.Command, Granted: w.reading})
	}
}

// emitStarted records the attempt. A gang of a class that must not run twice waits for the
// record; the others continue at once, and the record follows.
func (c *Core) emitStarted(m *gang.Machine, now time.Time) {
	started := state.Started{Incarnation: m.Incarnation, Placement: m.Placement, Guaranteed: m.Guaranteed, At: now}
	emission := Emission{ID: recordID("started", m.Incarnation), Kind: state.KindStarted, Payload: started}
	if m.Class.Idempotent {
		c.out.Emissions = append(c.out.Emissions, emission)
		m.SetRecorded(true)
		return
	}
	await := m.Incarnation
	emission.Await = &await
	c.out.Emissions = append(c.out.Emissions, emission)
}

func (c *Core) stopIfOverMemory(m *gang.Machine) {
	declared := m.Job.Shape.PerTask.MemoryMiB
	if declared == 0 || m.Phase() != gang.Running {
		return
	}
	if allowed := declared + declared*c.options.MemoryAllowancePercent/100; m.PeakMemoryMiB() > allowed {
		m.Cancel(gang.CauseMemoryExceeded)
	}
}

// conclude decides whether the job of an ended gang ends or is requeued.
func (c *Core) conclude(m *gang.Machine, in Inputs) {
	id := m.Job.ID
	delete(c.machines, id)
	c.localOf(id).lastConcluded = m.Incarnation
	c.planNeeded = true
	c.recordOutcome(m, in.Now)
	final, retry := c.outcome(m, in)
	c.startClosing(m, !retry)
	if !retry {
		if m.Cause() == gang.CauseTaskFailed && m.Class.Idempotent {
			// It failed on every worker that it was tried on, so the job is at fault.
			c.quarantine.ClearJob(id)
		}
		c.end(id, final, string(m.Cause()), m.Result(), in.Now)
		return
	}
	c.localOf(id).notBefore = in.Now.Add(c.pauseAfter(m.Cause()))
	c.emit(recordID("requeued", m.Incarnation), state.KindRequeued,
		state.Requeued{Incarnation: m.Incarnation, Cause: string(m.Cause()), FailedOn: m.FailedOn(), Crashed: m.Cause() == gang.CauseWorkerCrashed})
}

// startRetryPause is the pause before a gang that could not start is tried again.
const startRetryPause = 500 * time.Millisecond

func (c *Core) pauseAfter(cause gang.Cause) time.Duration {
	if cause == gang.CausePreempted {
		return 0
	}
	return startRetryPause
}

func (c *Core) outcome(m *gang.Machine, in Inputs) (final domain.JobState, retry bool) {
	switch m.Cause() {
	case gang.CauseFinished:
		return domain.JobCompleted, false
	case gang.CauseCancelled:
		return domain.JobCancelled, false
	case gang.CauseMemoryExceeded:
		return domain.JobFailed, false
	case gang.CauseTaskFailed:
		return domain.JobFailed, m.Class.Idempotent && c.statusOf(m, in).Failures+1 < c.options.MaxFailures
	case gang.CauseWorkerCrashed:
		if m.Class.Idempotent && c.exceedsCrashLimit(m, c.statusOf(m, in).Crashes, in.Now) {
			return domain.JobFailed, false
		}
	}
	if m.Class.Idempotent || !m.MayHaveRun() {
		return "", true
	}
	return domain.JobUnknown, false
}

// statusOf returns the status of a gang's job from the log, or the zero status if the log
// has none.
func (c *Core) statusOf(m *gang.Machine, in Inputs) state.Status {
	for _, status := range in.Jobs {
		if status.Job.ID == m.Job.ID {
			return status
		}
	}
	return state.Status{}
}

// recordOutcome records a gang's run time for estimates, and its success or failure for
// quarantine.
func (c *Core) recordOutcome(m *gang.Machine, now time.Time) {
	switch m.Cause() {
	case gang.CauseFinished:
		c.estimates.Observe(m.Job, now.Sub(m.Released))
		for _, worker := range m.Workers() {
			c.quarantine.RecordSuccess(worker)
		}
	case gang.CauseTaskFailed:
		for _, worker := range m.FailedOn() {
			c.quarantine.RecordFailure(worker, m.Job.ID, now)
		}
	}
}

// startClosing schedules that the workers forget a gang. If the gang was its job's last,
// they do so only after the job's end is in the log.
func (c *Core) startClosing(m *gang.Machine, endsJob bool) {
	closing := &closingGang{workers: map[domain.WorkerID]bool{}, pending: map[domain.WorkerID]bool{}, job: m.Job.ID, endsJob: endsJob}
	for _, worker := range m.Workers() {
		closing.workers[worker] = true
	}
	c.closing[m.Incarnation] = closing
}

func (c *Core) forgetClosing(in Inputs) {
	if len(c.closing) == 0 {
		return
	}
	active := make(map[domain.JobID]bool, len(in.Jobs))
	for _, status := range in.Jobs {
		active[status.Job.ID] = true
	}
	for _, id := range sortedGangs(c.closing) {
		closing := c.closing[id]
		if closing.endsJob && active[closing.job] {
			continue // its end is not in the log yet
		}
		for _, worker := range slices.Sorted(maps.Keys(closing.workers)) {
			c.requestForget(id, worker, closing)
		}
		if len(closing.workers) == 0 {
			delete(c.closing, id)
		}
	}
	for id, local := range c.localStates {
		if local.ended && !active[id] {
			delete(c.localStates, id)
		}
	}
}

func (c *Core) requestForget(id domain.Incarnation, worker domain.WorkerID, closing *closingGang) {
	w, ok := c.workers[worker]
	if !ok || !w.listed || !w.claimed {
		delete(closing.workers, worker)
		return
	}
	if closing.pending[worker] {
		return
	}
	closing.pending[worker] = true
	c.call(w, port.Command{
		Verb: port.VerbForget, Gang: id, Boot: w.reading.Boot,
		ValidUntil: domain.Duration(w.reading.LeaseEnd(c.options.Timing.Lease)),
	})
}

func (c *Core) handleForgotten(id domain.Incarnation, worker domain.WorkerID, report port.Report) {
	closing, ok := c.closing[id]
	if !ok {
		return
	}
	delete(closing.pending, worker)
	if report.Refused == "" || report.Boot != "" {
		delete(closing.workers, worker)
	}
}

// hasOrphan reports whether an older attempt of the job, found at the takeover, has not
// stopped yet. Until then the job is not started.
func (c *Core) hasOrphan(job domain.JobID) bool {
	for id := range c.orphans {
		if id.Job == job {
			return true
		}
	}
	return false
}

// recoverLost concludes attempts that are running according to the log but of which no
// gang is left: an earlier planner started them. Whatever could still run has been taken
// over or has ended by then (see Core).
func (c *Core) recoverLost(in Inputs) {
	for _, status := range in.Jobs {
		id := status.Job.ID
		local := c.localOf(id)
		if local.ended || c.machines[id] != nil || c.hasOrphan(id) {
			continue
		}
		lost := status.State == domain.JobRunning && status.Incarnation.Newer(local.lastConcluded)
		idempotent := in.Classes[status.Job.Class].Idempotent
		switch {
		case !idempotent && (lost || status.MayOverlap):
			c.end(id, domain.JobUnknown, string(gang.CauseMemberLost), "", in.Now)
		case lost:
			local.lastConcluded = status.Incarnation
			local.attempt = max(local.attempt, status.Incarnation.Attempt)
			c.emit(recordID("requeued", status.Incarnation), state.KindRequeued,
				state.Requeued{Incarnation: status.Incarnation, Cause: string(gang.CauseMemberLost)})
		}
	}
}
