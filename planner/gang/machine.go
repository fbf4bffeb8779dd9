package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Phase is where a gang is on its way.
type Phase string

// The phases, in the order of a gang's life.
const (
	Reserving Phase = "reserving"
	// Recording waits for the start to be durable in the log.
	Recording     Phase = "recording"
	Arming        Phase = "arming"
	Releasing     Phase = "releasing"
	Running       Phase = "running"
	Checkpointing Phase = "checkpointing"
	Stopping      Phase = "stopping"
	Ended         Phase = "ended"
)

// Cause is why a gang was stopped or has ended; a stable code.
type Cause string

// The causes.
const (
	CauseFinished   Cause = "finished"
	CauseTaskFailed Cause = "task-failed"
	CauseRefused    Cause = "reserve-refused"
	CauseStartSlow  Cause = "start-timeout"
	CauseMemberLost Cause = "member-lost"
	// CauseWorkerCrashed: a worker has restarted that had begun the gang's work.
	CauseWorkerCrashed Cause = "worker-crashed"
	CausePreempted     Cause = "preempted"
	CauseCancelled     Cause = "cancelled"
	CauseNotRecorded   Cause = "start-not-recorded"
	CauseMemory        Cause = "memory-exceeded"
	CausePartial       Cause = "found-incomplete"
)

type member struct {
	worker domain.WorkerID
	tasks  int
	state  port.TaskState
	boot   string
	// surely is the holder's time up to which the lease is certainly valid;
	// gone the time from which it certainly is not.
	surely, gone time.Time
	busy         bool
	saved        bool
	// releasable is the holder's time from which no release that was asked for
	// can take effect any more.
	releasable time.Time
	result     string
	memory     int
}

// Machine is one gang under one lease. Not safe for concurrent use.
type Machine struct {
	Job        domain.Job
	Class      domain.Class
	Gang       domain.Incarnation
	Placement  domain.Placement
	Guaranteed bool
	// Began is when the machine was made; Released when all members ran.
	Began, Released time.Time
	// Saved is the time of the last complete checkpoint.
	Saved time.Time

	timing   Timing
	phase    Phase
	cause    Cause
	members  []*member
	deadline time.Time
	// mayRun is set once a release may have reached any worker.
	mayRun bool
	// unordered starts members as they come: a broken variant that exists so
	// that tests can show that they notice.
	unordered bool
}

// New returns a machine that will start the job on the placement.
func New(job domain.Job, class domain.Class, gang domain.Incarnation, p domain.Placement, guaranteed bool, timing Timing, now time.Time) *Machine {
	m := &Machine{
		Job: job, Class: class, Gang: gang, Placement: p, Guaranteed: guaranteed, Began: now,
		timing: timing, phase: Reserving, deadline: now.Add(timing.Start),
	}
	for _, a := range p {
		m.members = append(m.members, &member{worker: a.Worker, tasks: a.Tasks, state: port.TaskAbsent})
	}
	return m
}

// StartMembersUnordered turns the machine into a broken variant that releases
// each member without waiting for the others. Tests of tests use it.
func (m *Machine) StartMembersUnordered() { m.unordered = true }

// Phase returns where the gang is.
func (m *Machine) Phase() Phase { return m.phase }

// Cause returns why the gang is stopping or has ended.
func (m *Machine) Cause() Cause { return m.cause }

// MayHaveRun tells whether a member may ever have done work.
func (m *Machine) MayHaveRun() bool { return m.mayRun }

// Result returns the first member's result.
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

// Ask is one command for one worker.
type Ask struct {
	Worker  domain.WorkerID
	Command port.Command
}

// verbs maps each phase to what it asks of members that are not there yet.
var verbs = map[Phase]port.Verb{
	Reserving:     port.VerbReserve,
	Arming:        port.VerbArm,
	Releasing:     port.VerbRelease,
	Checkpointing: port.VerbCheckpoint,
	Stopping:      port.VerbStop,
}

// Next returns what to ask now. Each ask is answered by Observe or Unanswered;
// until then the worker is not asked again.
func (m *Machine) Next(now time.Time, clocks Clocks) []Ask {
	m.check(now)
	verb, asks := verbs[m.phase]
	if !asks || m.mustWait(now) {
		return nil
	}
	var out []Ask
	for _, mem := range m.members {
		if mem.busy || m.settled(mem) {
			continue
		}
		if ask, ok := m.ask(verb, mem, now, clocks); ok {
			mem.busy = true
			out = append(out, ask)
		}
	}
	return out
}

func (m *Machine) ask(verb port.Verb, mem *member, now time.Time, clocks Clocks) (Ask, bool) {
	reading, ok := clocks.Reading(mem.worker)
	if !ok {
		return Ask{}, false
	}
	until := reading.Until(m.timing.Lease)
	command := port.Command{Verb: verb, Gang: m.Gang, Members: len(m.members), Boot: mem.boot}
	switch verb {
	case port.VerbReserve:
		mem.boot = reading.Boot
		command.Boot = reading.Boot
		command.Tasks = mem.tasks
		command.PerTask = m.Job.Shape.PerTask
		mem.gone = later(mem.gone, reading.Gone(until, m.timing))
	case port.VerbArm:
		command.Payload = m.Job.Payload
	case port.VerbRelease:
		m.mayRun = true
		if !m.unordered {
			until = reading.At(m.releaseEnd(now), m.timing)
		}
		mem.releasable = later(mem.releasable, reading.Gone(until, m.timing))
	}
	command.Until = domain.Duration(until)
	return Ask{Worker: mem.worker, Command: command}, true
}

// WantsRenewal tells whether a member's lease is to be renewed. While any other
// member has not been heard of for half a lease, the healthy ones are not
// renewed: after a death the rest of a gang goes on for one and a half leases
// at most, even if its planner dies too.
func (m *Machine) WantsRenewal(worker domain.WorkerID, now time.Time) bool {
	if m.phase == Stopping || m.phase == Ended {
		return false
	}
	fresh := true
	for _, mem := range m.members {
		switch {
		case mem.state == port.TaskFinished:
		case mem.state == port.TaskAbsent && m.phase == Reserving:
		case !mem.state.Live() || now.After(mem.surely):
			return false
		case now.Add(m.timing.Lease / 2).After(mem.surely):
			fresh = false
			if mem.worker == worker {
				return true
			}
		}
	}
	return fresh
}

func (m *Machine) member(worker domain.WorkerID) *member {
	for _, mem := range m.members {
		if mem.worker == worker {
			return mem
		}
	}
	return nil
}

// Workers returns the members' workers with the boots that they were seen in.
func (m *Machine) Workers() []domain.WorkerID {
	out := make([]domain.WorkerID, len(m.members))
	for i, mem := range m.members {
		out[i] = mem.worker
	}
	return out
}
