package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// FoundMember is a member that a worker has reported in answer to a claim.
type FoundMember struct {
	Worker  domain.WorkerID
	Member  port.Member
	Reading Reading
}

// Adopt takes over a gang that an earlier planner started, from what the workers report.
// An incomplete gang is stopped.
func Adopt(job domain.Job, class domain.Class, incarnation domain.Incarnation, found []FoundMember, guaranteed bool, timing Timing, now time.Time) *Machine {
	m := &Machine{Job: job, Class: class, Incarnation: incarnation, Guaranteed: guaranteed, timing: timing, Created: now, Released: now, LastCheckpoint: now, mayHaveRun: true}
	complete := true
	for _, f := range found {
		state := f.Member.State
		complete = complete && len(found) == f.Member.Members
		complete = complete && (state == port.TaskRunning || state == port.TaskFinished)
		m.Placement = append(m.Placement, domain.Assignment{Worker: f.Worker, Tasks: f.Member.Tasks})
		lease := f.Reading.LeaseEnd(timing.Lease)
		m.members = append(m.members, &member{
			worker: f.Worker, tasks: f.Member.Tasks, state: state, boot: f.Reading.Boot, result: f.Member.Result,
			// A live member's lease is not known. Nothing depends on it until the first
			// renewal is answered: an adopted gang releases no member.
			validUntil: now.Add(timing.Lease), expiredAt: f.Reading.ExpiredAt(lease, timing),
		})
	}
	m.phase = Running
	if !complete {
		m.phase = Stopping
		m.cause = CauseIncomplete
	}
	return m
}
