package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Phase is the phase of a gang.
type Phase string

// The phases, in the order in which a gang passes through them.
const (
	Reserving Phase = "reserving"
	// Recording waits until the start is durable in the log.
	Recording     Phase = "recording"
	Arming        Phase = "arming"
	Releasing     Phase = "releasing"
	Running       Phase = "running"
	Checkpointing Phase = "checkpointing"
	Stopping      Phase = "stopping"
	Ended         Phase = "ended"
)

// Cause is the reason for which a gang was stopped or has ended; a stable code.
type Cause string

// The causes.
const (
	CauseFinished       Cause = "finished"
	CauseTaskFailed     Cause = "task-failed"
	CauseReserveRefused Cause = "reserve-refused"
	CauseStartTimeout   Cause = "start-timeout"
	CauseMemberLost     Cause = "member-lost"
	// CauseWorkerCrashed: a worker restarted after the gang's work may have started.
	CauseWorkerCrashed  Cause = "worker-crashed"
	CausePreempted      Cause = "preempted"
	CauseCancelled      Cause = "cancelled"
	CauseNotRecorded    Cause = "start-not-recorded"
	CauseMemoryExceeded Cause = "memory-exceeded"
	CauseIncomplete     Cause = "found-incomplete"
)

type member struct {
	worker domain.WorkerID
	tasks  int
	state  port.TaskState
	boot   string
	// validUntil is the planner's time until which the lease is certainly valid; expiredAt
	// is the time from which it certainly is not.
	validUntil, expiredAt time.Time
	pending               bool
	checkpointed          bool
	// releaseExpiredAt is the planner's time from which no requested release can take
	// effect any more.
	releaseExpiredAt time.Time
	result           string
	memoryMiB        int
}

// Machine is the state machine of one gang. It is not safe for concurrent use.
type Machine struct {
	Job         domain.Job
	Class       domain.Class
	Incarnation domain.Incarnation
	Placement   domain.Placement
	Guaranteed  bool
	// Created is when the machine was created; Released is when all members ran.
	Created, Released time.Time
	// LastCheckpoint is the time of the last complete checkpoint.
	LastCheckpoint time.Time

	timing   Timing
	phase    Phase
	cause    Cause
	members  []*member
	deadline time.Time
	// mayHaveRun is set once a release may have reached any worker.
	mayHaveRun bool
	// unorderedStart releases members without waiting for the others: a deliberately
	// broken variant, which shows that the tests detect it.
	unorderedStart bool
}

// New returns a machine that starts the job on the placement.
func New(job domain.Job, class domain.Class, incarnation domain.Incarnation, p domain.Placement, guaranteed bool, timing Timing, now time.Time) *Machine {
	m := &Machine{
		Job: job, Class: class, Incarnation: incarnation, Placement: p, Guaranteed: guaranteed, Created: now,
		timing: timing, phase: Reserving, deadline: now.Add(timing.StartTimeout),
	}
	for _, a := range p {
		m.members = append(m.members, &member{worker: a.Worker, tasks: a.Tasks, state: port.TaskAbsent})
	}
	return m
}

// StartMembersUnordered makes the machine release each member without waiting for the
// others. Tests use this broken variant to show that they detect it.
func (m *Machine) StartMembersUnordered() { m.unorderedStart = true }

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Cause returns the reason for which the gang is stopping or has ended.
func (m *Machine) Cause() Cause { return m.cause }

// MayHaveRun reports whether a member may have done any work.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun }

// Result returns the first non-empty result of a member.
func (m *Machine) Result() string {
	for _, mem := range m.members {
		if mem.result != "" {
			return mem.result
		}
	}
	return ""
}

// FailedOn returns the workers whose tasks failed.
func (m *Machine) FailedOn() []domain.WorkerID {
	var out []domain.WorkerID
	for _, mem := range m.members {
		if mem.state == port.TaskFailed {
			out = append(out, mem.worker)
		}
	}
	return out
}

// Request is one command for one worker.
type Request struct {
	Worker  domain.WorkerID
	Command port.Command
}

// phaseVerbs maps each phase to the verb that is sent to members that have not reached its
// target state.
var phaseVerbs = map[Phase]port.Verb{
	Reserving:     port.VerbReserve,
	Arming:        port.VerbArm,
	Releasing:     port.VerbRelease,
	Checkpointing: port.VerbCheckpoint,
	Stopping:      port.VerbStop,
}

// Next returns the requests to send now. Each is answered by Observe or HandleUnanswered;
// until then the worker gets no other one.
func (m *Machine) Next(now time.Time, clocks Clocks) []Request {
	m.updatePhase(now)
	verb, hasVerb := phaseVerbs[m.phase]
	if !hasVerb || m.mustDelayStop(now) {
		return nil
	}
	var out []Request
	for _, mem := range m.members {
		if mem.pending || m.isSettled(mem) {
			continue
		}
		if req, ok := m.request(verb, mem, now, clocks); ok {
			mem.pending = true
			out = append(out, req)
		}
	}
	return out
}

func (m *Machine) request(verb port.Verb, mem *member, now time.Time, clocks Clocks) (Request, bool) {
	reading, ok := clocks.Reading(mem.worker)
	if !ok {
		return Request{}, false
	}
	until := reading.LeaseEnd(m.timing.Lease)
	command := port.Command{Verb: verb, Gang: m.Incarnation, Members: len(m.members), Boot: mem.boot}
	switch verb {
	case port.VerbReserve:
		mem.boot = reading.Boot
		command.Boot = reading.Boot
		command.Tasks = mem.tasks
		command.PerTask = m.Job.Shape.PerTask
		mem.expiredAt = laterTime(mem.expiredAt, reading.ExpiredAt(until, m.timing))
	case port.VerbArm:
		command.Payload = m.Job.Payload
	case port.VerbRelease:
		m.mayHaveRun = true
		if !m.unorderedStart {
			until = reading.ClockAt(m.releaseEnd(now), m.timing)
		}
		mem.releaseExpiredAt = laterTime(mem.releaseExpiredAt, reading.ExpiredAt(until, m.timing))
	}
	command.ValidUntil = domain.Duration(until)
	return Request{Worker: mem.worker, Command: command}, true
}

// NeedsRenewal reports whether a member's lease is to be renewed. If any member has not
// answered for half a lease, the leases of the other ones are not renewed: after a worker
// has failed, the rest of its gang continues for at most one and a half leases, even if
// the planner fails too.
func (m *Machine) NeedsRenewal(worker domain.WorkerID, now time.Time) bool {
	if m.phase == Stopping || m.phase == Ended {
		return false
	}
	allAnswered := true
	for _, mem := range m.members {
		switch {
		case mem.state == port.TaskFinished:
		case mem.state == port.TaskAbsent && m.phase == Reserving:
		case !mem.state.HoldsResources() || now.After(mem.validUntil):
			return false
		case now.Add(m.timing.Lease / 2).After(mem.validUntil):
			allAnswered = false
			if mem.worker == worker {
				return true
			}
		}
	}
	return allAnswered
}

func (m *Machine) member(worker domain.WorkerID) *member {
	for _, mem := range m.members {
		if mem.worker == worker {
			return mem
		}
	}
	return nil
}

// Workers returns the workers of the members.
func (m *Machine) Workers() []domain.WorkerID {
	out := make([]domain.WorkerID, len(m.members))
	for i, mem := range m.members {
		out[i] = mem.worker
	}
	return out
}
