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

// adopt takes over what the claims have found.
func (c *Core) adopt(in Inputs) {
	c.adopted = true
	c.binding = in.Binding
	c.found = c.foundGangs()
}

// takeOver takes the found gangs of jobs that are known. The newest attempt of a
// job that has not ended goes on if it is whole; all others are stopped. A gang
// whose job has not been read yet is left as it is: workers forget what is
// stopped, and its result would be lost.
func (c *Core) takeOver(in Inputs) {
	if len(c.found) == 0 {
		return
	}
	jobs := map[domain.JobID]state.Status{}
	for _, status := range in.Jobs {
		jobs[status.Job.ID] = status
	}
	newest := map[domain.JobID]domain.Incarnation{}
	for id := range c.found {
		if old, ok := newest[id.Job]; !ok || id.Newer(old) {
			newest[id.Job] = id
		}
	}
	for _, id := range sortedGangs(c.found) {
		status, active := jobs[id.Job]
		if !active && !in.Ended(id.Job) {
			continue
		}
		c.takeGang(id, status, in, active && newest[id.Job] == id && !status.Gang.Newer(id))
		delete(c.found, id)
	}
}

func (c *Core) takeGang(id domain.Incarnation, status state.Status, in Inputs, goesOn bool) {
	local := c.localOf(id.Job)
	local.attempt = max(local.attempt, id.Attempt)
	class := in.Classes[status.Job.Class]
	m := gang.Adopt(status.Job, class, id, c.found[id], status.Guaranteed, c.options.Timing, in.Now)
	if goesOn {
		c.machines[id.Job] = m
		return
	}
	m.Cancel(gang.CausePartial)
	c.orphans[id] = m
}

func (c *Core) foundGangs() map[domain.Incarnation][]gang.Found {
	out := map[domain.Incarnation][]gang.Found{}
	for _, spec := range c.order {
		w := c.workers[spec.ID]
		for _, member := range w.found {
			out[member.Gang] = append(out[member.Gang], gang.Found{Worker: spec.ID, Member: member, Reading: w.reading})
		}
		w.found = nil
	}
	return out
}

// cancelRequested ends jobs whose callers asked for it.
func (c *Core) cancelRequested(in Inputs) {
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

// end notes a job's final state.
func (c *Core) end(id domain.JobID, final domain.JobState, cause, result string, now time.Time) {
	c.localOf(id).ended = true
	c.dirty = true
	c.emit("ended/"+string(id), state.KindEnded, state.Ended{Job: id, State: final, Cause: cause, Result: result, At: now})
}

// advance moves every gang on and deals with those that have ended.
func (c *Core) advance(in Inputs) {
	mayStart := c.mayStart(in.Now)
	for _, id := range sortedJobs(c.machines) {
		m := c.machines[id]
		c.stopIfOverMemory(m)
		if starting(m.Phase()) && !mayStart {
			continue
		}
		before := m.Phase()
		c.ask(m, in.Now)
		if m.Phase() == gang.Recording && before != gang.Recording {
			c.emitStarted(m, in.Now)
		}
		if m.Phase() == gang.Ended {
			c.conclude(m, in)
		}
	}
	for _, id := range sortedGangs(c.orphans) {
		m := c.orphans[id]
		c.ask(m, in.Now)
		if m.Phase() == gang.Ended {
			delete(c.orphans, id)
			c.close(m, false)
		}
	}
}

// sortedGangs gives the keys in a fixed order, so that a planner does the same
// on the same inputs.
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

// starting tells whether the phase is one that only an authorised planner may
// move on from.
func starting(p gang.Phase) bool {
	return p == gang.Reserving || p == gang.Arming || p == gang.Releasing
}

func (c *Core) ask(m *gang.Machine, now time.Time) {
	for _, ask := range m.Next(now, c) {
		w := c.workers[ask.Worker]
		ask.Command.Token = c.Token
		c.out.Calls = append(c.out.Calls, Call{Worker: w.spec, Command: ask.Command, Granted: w.reading})
	}
}

// emitStarted records the attempt. A class that must not run twice waits for
// the record; the others go on at once, and the record follows.
func (c *Core) emitStarted(m *gang.Machine, now time.Time) {
	started := state.Started{Gang: m.Gang, Placement: m.Placement, Guaranteed: m.Guaranteed, At: now}
	emission := Emission{ID: recordID("started", m.Gang), Kind: state.KindStarted, Payload: started}
	if m.Class.Idempotent {
		c.out.Emissions = append(c.out.Emissions, emission)
		m.Recorded(true)
		return
	}
	await := m.Gang
	emission.Await = &await
	c.out.Emissions = append(c.out.Emissions, emission)
}

func (c *Core) stopIfOverMemory(m *gang.Machine) {
	declared := m.Job.Shape.PerTask.MemoryMiB
	if declared == 0 || m.Phase() != gang.Running {
		return
	}
	if allowed := declared + declared*c.options.MemoryAllowancePercent/100; m.OverMemory() > allowed {
		m.Cancel(gang.CauseMemory)
	}
}

// conclude decides what becomes of the job whose gang has ended.
func (c *Core) conclude(m *gang.Machine, in Inputs) {
	id := m.Job.ID
	delete(c.machines, id)
	c.localOf(id).concluded = m.Gang
	c.dirty = true
	c.noteHealth(m, in.Now)
	final, again := c.outcome(m, in)
	c.close(m, !again)
	if !again {
		if m.Cause() == gang.CauseTaskFailed && m.Class.Idempotent {
			// It failed wherever it was tried: the job is at fault.
			c.book.Forgive(id)
		}
		c.end(id, final, string(m.Cause()), m.Result(), in.Now)
		return
	}
	c.localOf(id).notBefore = in.Now.Add(c.pauseAfter(m.Cause()))
	c.emit(recordID("requeued", m.Gang), state.KindRequeued,
		state.Requeued{Gang: m.Gang, Cause: string(m.Cause()), FailedOn: m.FailedOn(), Crashed: m.Cause() == gang.CauseWorkerCrashed})
}

// restartPause keeps a gang that could not start from trying at once again.
const restartPause = 500 * time.Millisecond

func (c *Core) pauseAfter(cause gang.Cause) time.Duration {
	if cause == gang.CausePreempted {
		return 0
	}
	return restartPause
}

func (c *Core) outcome(m *gang.Machine, in Inputs) (final domain.JobState, again bool) {
	switch m.Cause() {
	case gang.CauseFinished:
		return domain.JobCompleted, false
	case gang.CauseCancelled:
		return domain.JobCancelled, false
	case gang.CauseMemory:
		return domain.JobFailed, false
	case gang.CauseTaskFailed:
		return domain.JobFailed, m.Class.Idempotent && c.statusOf(m, in).Failures+1 < c.options.MaxFailures
	case gang.CauseWorkerCrashed:
		if m.Class.Idempotent && c.crashesTooOften(m, c.statusOf(m, in).Crashes, in.Now) {
			return domain.JobFailed, false
		}
	}
	if m.Class.Idempotent || !m.MayHaveRun() {
		return "", true
	}
	return domain.JobUnknown, false
}

// statusOf is what the log has of a gang's job; the zero status where it has nothing.
func (c *Core) statusOf(m *gang.Machine, in Inputs) state.Status {
	for _, status := range in.Jobs {
		if status.Job.ID == m.Job.ID {
			return status
		}
	}
	return state.Status{}
}

// noteHealth learns from how a gang ended: run times, and workers that fail.
func (c *Core) noteHealth(m *gang.Machine, now time.Time) {
	switch m.Cause() {
	case gang.CauseFinished:
		c.estimates.Learn(m.Job, now.Sub(m.Released))
		for _, worker := range m.Workers() {
			c.book.Succeeded(worker)
		}
	case gang.CauseTaskFailed:
		for _, worker := range m.FailedOn() {
			c.book.Failed(worker, m.Job.ID, now)
		}
	}
}

// close has the workers forget a gang, after its job's end is in the log when
// the gang was its last.
func (c *Core) close(m *gang.Machine, final bool) {
	closing := &closing{workers: map[domain.WorkerID]bool{}, asked: map[domain.WorkerID]bool{}, job: m.Job.ID, final: final}
	for _, worker := range m.Workers() {
		closing.workers[worker] = true
	}
	c.closing[m.Gang] = closing
}

func (c *Core) forget(in Inputs) {
	if len(c.closing) == 0 {
		return
	}
	active := make(map[domain.JobID]bool, len(in.Jobs))
	for _, status := range in.Jobs {
		active[status.Job.ID] = true
	}
	for _, id := range sortedGangs(c.closing) {
		closing := c.closing[id]
		if closing.final && active[closing.job] {
			continue // its end is not in the log yet
		}
		for _, worker := range slices.Sorted(maps.Keys(closing.workers)) {
			c.askToForget(id, worker, closing)
		}
		if len(closing.workers) == 0 {
			delete(c.closing, id)
		}
	}
	for id, local := range c.local {
		if local.ended && !active[id] {
			delete(c.local, id)
		}
	}
}

func (c *Core) askToForget(id domain.Incarnation, worker domain.WorkerID, closing *closing) {
	w, ok := c.workers[worker]
	if !ok || !w.listed || !w.claimed {
		delete(closing.workers, worker)
		return
	}
	if closing.asked[worker] {
		return
	}
	closing.asked[worker] = true
	c.call(w, port.Command{
		Verb: port.VerbForget, Gang: id, Boot: w.reading.Boot,
		Until: domain.Duration(w.reading.Until(c.options.Timing.Lease)),
	})
}

func (c *Core) forgotten(id domain.Incarnation, worker domain.WorkerID, report port.Report) {
	closing, ok := c.closing[id]
	if !ok {
		return
	}
	delete(closing.asked, worker)
	if report.Refused == "" || report.Boot != "" {
		delete(closing.workers, worker)
	}
}

// stoppingOrphan tells whether an older attempt of the job, found when this
// planner took over, still has to stop. Until then nothing of the job starts.
func (c *Core) stoppingOrphan(job domain.JobID) bool {
	for id := range c.orphans {
		if id.Job == job {
			return true
		}
	}
	return false
}

// recoverLost deals with attempts that the log shows as under way, but of which
// no gang is left: an earlier planner started them. Everything that could still
// run has been taken over or has ended before (see Core).
func (c *Core) recoverLost(in Inputs) {
	for _, status := range in.Jobs {
		id := status.Job.ID
		local := c.localOf(id)
		if local.ended || c.machines[id] != nil || c.stoppingOrphan(id) {
			continue
		}
		lost := status.State == domain.JobRunning && status.Gang.Newer(local.concluded)
		idempotent := in.Classes[status.Job.Class].Idempotent
		switch {
		case !idempotent && (lost || status.Contended):
			c.end(id, domain.JobUnknown, string(gang.CauseMemberLost), "", in.Now)
		case lost:
			local.concluded = status.Gang
			local.attempt = max(local.attempt, status.Gang.Attempt)
			c.emit(recordID("requeued", status.Gang), state.KindRequeued,
				state.Requeued{Gang: status.Gang, Cause: string(gang.CauseMemberLost)})
		}
	}
}
