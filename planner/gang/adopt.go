package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Found is a member that a claim has reported.
type Found struct {
	Worker  domain.WorkerID
	Member  port.Member
	Reading Reading
}

// Adopt takes over a gang that an earlier planner started, from what the
// workers report. A gang of which anything is missing is stopped.
func Adopt(job domain.Job, class domain.Class, gang domain.Incarnation, found []Found, guaranteed bool, timing Timing, now time.Time) *Machine {
	m := &Machine{Job: job, Class: class, Gang: gang, Guaranteed: guaranteed, timing: timing, Began: now, Released: now, Saved: now, mayRun: true}
	complete := true
	for _, f := range found {
		state := f.Member.State
		complete = complete && len(found) == f.Member.Members
		complete = complete && (state == port.TaskRunning || state == port.TaskFinished)
		m.Placement = append(m.Placement, domain.Assignment{Worker: f.Worker, Tasks: f.Member.Tasks})
		lease := f.Reading.Until(timing.Lease)
		m.members = append(m.members, &member{
			worker: f.Worker, tasks: f.Member.Tasks, state: state, boot: f.Reading.Boot, result: f.Member.Result,
			// A live member's lease is not known. Nothing rests on it until the
			// first renewal is answered: an adopted gang releases no member.
			surely: now.Add(timing.Lease), gone: f.Reading.Gone(lease, timing),
		})
	}
	m.phase = Running
	if !complete {
		m.phase = Stopping
		m.cause = CausePartial
	}
	return m
}
