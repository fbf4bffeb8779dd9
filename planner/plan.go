package planner

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/gang"
	"github.com/cobalttide/cobalttide/scheduler"
	"github.com/cobalttide/cobalttide/state"
)

// planIfDue plans if something has changed or PlanInterval has passed.
func (c *Core) planIfDue(in Inputs) {
	if !c.canStart(in.Now) {
		return
	}
	due := c.planNeeded || in.InputVersion != c.lastVersion || in.Now.Sub(c.lastPlan) >= c.options.PlanInterval
	if !due {
		return
	}
	c.planNeeded = false
	c.lastVersion = in.InputVersion
	c.lastPlan = in.Now
	snapshot := c.snapshot(in)
	c.apply(scheduler.MakePlan(snapshot, c.options.Policy), snapshot, in)
}

// snapshot returns the input of the scheduler.
func (c *Core) snapshot(in Inputs) scheduler.Snapshot {
	s := scheduler.Snapshot{
		Now: in.Now, DataCentre: c.DataCentre, Accounts: in.Accounts, Workers: c.listed,
		Unschedulable: c.unschedulable(in), Binding: c.binding, Reservations: c.reservations,
	}
	for _, id := range sortedJobs(c.machines) {
		s.Gangs = append(s.Gangs, c.gangView(c.machines[id], in.Now))
	}
	for _, id := range sortedGangs(c.orphans) {
		m := c.orphans[id]
		s.Gangs = append(s.Gangs, c.gangView(m, in.Now))
	}
	for _, status := range in.Jobs {
		if c.isWaiting(status, in) {
			s.Waiting = append(s.Waiting, scheduler.WaitingJob{
				Job: status.Job, Class: in.Classes[status.Job.Class], Since: status.Job.Submitted,
				Expected: c.estimates.Expect(status.Job), Avoid: status.FailedOn,
			})
		}
	}
	return s
}

func (c *Core) isWaiting(status state.Status, in Inputs) bool {
	local := c.localOf(status.Job.ID)
	if status.CancelRequested || local.ended || c.machines[status.Job.ID] != nil || c.hasOrphan(status.Job.ID) {
		return false
	}
	if in.LogDown && !in.Classes[status.Job.Class].Idempotent {
		return false
	}
	// A job that is running according to the log is an attempt that this planner has
	// concluded and whose end it has not read from the log yet.
	return !in.Now.Before(local.notBefore)
}

func (c *Core) gangView(m *gang.Machine, now time.Time) scheduler.Gang {
	return scheduler.Gang{
		Job: m.Job, Class: m.Class, Placement: m.Placement, Guaranteed: m.Guaranteed,
		Stopping: m.Phase() == gang.Checkpointing || m.Phase() == gang.Stopping,
		Started:  m.Created, LastCheckpoint: m.LastCheckpoint,
		Remaining: c.estimates.Remaining(m.Job, now.Sub(m.Created)),
	}
}

// unschedulable returns the workers that are silent, draining, evacuated, quarantined, or
// not trusted after a restart.
func (c *Core) unschedulable(in Inputs) map[domain.WorkerID]bool {
	out := c.quarantine.Quarantined(c.listed, in.Now)
	for _, spec := range c.listed {
		w := c.workers[spec.ID]
		silent := !w.claimed || in.Now.Sub(w.lastAck) > c.options.Authority
		if silent || in.Evacuated || in.Draining[spec.ID] || !c.isTrusted(w) {
			out[spec.ID] = true
		}
	}
	return out
}

// apply carries out a plan. Nothing has changed since the snapshot, because Core runs one
// step at a time; the workers check each command again.
func (c *Core) apply(plan scheduler.Plan, snapshot scheduler.Snapshot, in Inputs) {
	c.reservations = plan.Reservations
	c.held = make(map[domain.JobID]scheduler.Held, len(plan.Held))
	for _, held := range plan.Held {
		c.held[held.Job] = held
	}
	if !plan.Binding.Equal(c.binding) {
		id := fmt.Sprintf("binding/%d/%s/%d", c.Token.Epoch, c.Token.Holder, in.Now.UnixNano())
		c.emit(id, state.KindBinding, state.BindingChanged{Binding: plan.Binding})
	}
	c.binding = plan.Binding
	for _, p := range plan.Preemptions {
		if m, ok := c.machines[p.Job]; ok {
			m.Preempt(in.Now, p.Grace)
		}
	}
	c.start(plan.Starts, snapshot, in)
	c.preemptDraining(in)
}

func (c *Core) start(starts []scheduler.Start, snapshot scheduler.Snapshot, in Inputs) {
	waiting := make(map[domain.JobID]*scheduler.WaitingJob, len(snapshot.Waiting))
	for i := range snapshot.Waiting {
		waiting[snapshot.Waiting[i].Job.ID] = &snapshot.Waiting[i]
	}
	attempts := make(map[domain.JobID]uint64, len(in.Jobs))
	for _, status := range in.Jobs {
		attempts[status.Job.ID] = status.Incarnation.Attempt
	}
	for _, s := range starts {
		w := waiting[s.Job]
		local := c.localOf(s.Job)
		local.attempt = max(local.attempt, attempts[s.Job]) + 1
		id := domain.Incarnation{Job: s.Job, Attempt: local.attempt, Holder: c.Token.Holder}
		m := gang.New(w.Job, w.Class, id, s.Placement, s.Guaranteed, c.options.Timing, in.Now)
		if c.options.UnorderedStart {
			m.StartMembersUnordered()
		}
		c.machines[s.Job] = m
	}
}

// preemptDraining preempts the gangs on draining workers if their class is preemptible;
// the others run to their end.
func (c *Core) preemptDraining(in Inputs) {
	if len(in.Draining) == 0 {
		return
	}
	for _, m := range c.machines {
		if m.Phase() != gang.Running || !m.Class.Preemptible() {
			continue
		}
		for _, worker := range m.Workers() {
			if in.Draining[worker] {
				m.Preempt(in.Now, m.Class.Grace.Std())
				break
			}
		}
	}
}
