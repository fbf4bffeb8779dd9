package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/platform"
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
	CauseFinished    Cause = "finished"
	CauseTaskFailed  Cause = "task-failed"
	CauseRefused     Cause = "reserve-refused"
	CauseStartSlow   Cause = "start-timeout"
	CauseMemberLost  Cause = "member-lost"
	CausePreempted   Cause = "preempted"
	CauseCancelled   Cause = "cancelled"
	CauseNotRecorded Cause = "start-not-recorded"
	CauseMemory      Cause = "memory-exceeded"
	CausePartial     Cause = "found-incomplete"
)

type member struct {
	worker domain.WorkerID
	tasks  int
	state  platform.TaskState
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
		m.members = append(m.members, &member{worker: a.Worker, tasks: a.Tasks, state: platform.TaskAbsent})
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
		if mem.state == platform.TaskFailed {
			out = append(out, mem.worker)
		}
	}
	return out
}

// Ask is one command for one worker.
type Ask struct {
	Worker  domain.WorkerID
	Command platform.Command
}

// verbs maps each phase to what it asks of members that are not there yet.
var verbs = map[Phase]platform.Verb{
	Reserving:     platform.VerbReserve,
	Arming:        platform.VerbArm,
	Releasing:     platform.VerbRelease,
	Checkpointing: platform.VerbCheckpoint,
	Stopping:      platform.VerbStop,
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

func (m *Machine) ask(verb platform.Verb, mem *member, now time.Time, clocks Clocks) (Ask, bool) {
	reading, ok := clocks.Reading(mem.worker)
	if !ok {
		return Ask{}, false
	}
	until := reading.Until(m.timing.Lease)
	command := platform.Command{Verb: verb, Gang: m.Gang, Members: len(m.members), Boot: mem.boot}
	switch verb {
	case platform.VerbReserve:
		mem.boot = reading.Boot
		command.Boot = reading.Boot
		command.Tasks = mem.tasks
		command.PerTask = m.Job.Shape.PerTask
		mem.gone = later(mem.gone, reading.Gone(until, m.timing))
	case platform.VerbArm:
		command.Payload = m.Job.Payload
	case platform.VerbRelease:
		m.mayRun = true
		if !m.unordered {
			until = reading.At(m.releaseEnd(now), m.timing)
		}
		mem.releasable = later(mem.releasable, reading.Gone(until, m.timing))
	}
	command.Until = domain.Duration(until)
	return Ask{Worker: mem.worker, Command: command}, true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// allSurely is the time up to which every member's lease certainly holds. A
// release is valid only up to then, on the worker's own clock, so that no
// member runs after another may have lapsed unseen.
func (m *Machine) allSurely() time.Time {
	end := m.members[0].surely
	for _, mem := range m.members[1:] {
		if mem.surely.Before(end) {
			end = mem.surely
		}
	}
	return end
}

// releaseEnd is the end of a release's validity. It is short, so that a gang
// that is stopped while it is being released need not wait long.
func (m *Machine) releaseEnd(now time.Time) time.Time {
	end := now.Add(m.timing.Release)
	if surely := m.allSurely(); surely.Before(end) {
		return surely
	}
	return end
}

// settled tells whether the member is where the phase wants it.
func (m *Machine) settled(mem *member) bool {
	switch m.phase {
	case Reserving:
		return mem.state != platform.TaskAbsent
	case Arming:
		return mem.state == platform.TaskArmed
	case Releasing:
		return mem.state != platform.TaskArmed
	case Checkpointing:
		return mem.saved
	case Stopping:
		// A reserve may have taken effect although its answer was lost.
		asked := mem.state == platform.TaskAbsent && mem.boot != "" && !mem.gone.IsZero()
		return !mem.state.Live() && !asked
	}
	return true
}

// mustWait holds all stops back while any release may still take effect: a
// member that runs then does so beside all the others.
func (m *Machine) mustWait(now time.Time) bool {
	return m.phase == Stopping && m.any(func(mem *member) bool {
		return mem.state == platform.TaskArmed && now.Before(mem.releasable)
	})
}

// check moves on by what is known: time, and the members' states.
func (m *Machine) check(now time.Time) {
	switch m.phase {
	case Reserving, Arming, Releasing:
		m.checkStart(now)
	case Recording:
		m.checkHeld(now)
	case Running:
		m.checkRunning(now)
	case Checkpointing:
		if now.After(m.deadline) || m.all(func(mem *member) bool { return mem.saved }) {
			m.phase = Stopping
		}
	}
	if m.phase == Stopping {
		m.checkStopped(now)
	}
}

func (m *Machine) checkStart(now time.Time) {
	if now.After(m.deadline) {
		m.stop(CauseStartSlow)
		return
	}
	if m.phase != Reserving && !m.unordered && !m.checkHeld(now) {
		return
	}
	early := m.unordered && m.phase != Releasing && m.any(m.settled)
	if !m.all(m.settled) && !early {
		return
	}
	switch m.phase {
	case Reserving:
		m.phase = Recording
	case Arming:
		m.phase = Releasing
	case Releasing:
		m.phase = Running
		m.Released = now
		m.Saved = now
	}
}

// checkHeld stops the gang when the holder can't be sure of every lease: it
// was paused, or a worker went silent.
func (m *Machine) checkHeld(now time.Time) bool {
	if now.Add(m.timing.Margin).After(m.allSurely()) {
		m.stop(CauseMemberLost)
		return false
	}
	return true
}

func (m *Machine) checkRunning(now time.Time) {
	if m.all(func(mem *member) bool { return mem.state == platform.TaskFinished }) {
		m.phase = Ended
		m.cause = CauseFinished
		return
	}
	for _, mem := range m.members {
		switch {
		case mem.state == platform.TaskFailed:
			m.stop(CauseTaskFailed)
		case mem.state == platform.TaskStopped, mem.state == platform.TaskAbsent:
			m.stop(CauseMemberLost)
		case mem.state == platform.TaskRunning && now.After(mem.surely):
			m.stop(CauseMemberLost)
		}
	}
}

func (m *Machine) checkStopped(now time.Time) {
	ended := m.all(func(mem *member) bool {
		return !mem.state.Live() && !(mem.state == platform.TaskAbsent && now.Before(mem.gone)) || now.After(mem.gone)
	})
	if ended {
		m.phase = Ended
	}
}

func (m *Machine) all(test func(*member) bool) bool {
	for _, mem := range m.members {
		if !test(mem) {
			return false
		}
	}
	return true
}

func (m *Machine) any(test func(*member) bool) bool {
	return !m.all(func(mem *member) bool { return !test(mem) })
}

func (m *Machine) stop(cause Cause) {
	if m.phase == Stopping || m.phase == Ended {
		return
	}
	if m.phase != Checkpointing {
		m.cause = cause
	}
	m.phase = Stopping
}

// Recorded says whether the start is durable. Only then is anything armed.
func (m *Machine) Recorded(ok bool) {
	if m.phase != Recording {
		return
	}
	if !ok {
		m.stop(CauseNotRecorded)
		return
	}
	m.phase = Arming
}

// Cancel stops the gang at once.
func (m *Machine) Cancel(cause Cause) { m.stop(cause) }

// Preempt checkpoints the gang within the grace, then stops it.
func (m *Machine) Preempt(now time.Time, grace time.Duration) {
	if m.phase != Running || !m.Class.Checkpointable {
		m.stop(CausePreempted)
		return
	}
	m.cause = CausePreempted
	m.phase = Checkpointing
	m.deadline = now.Add(grace)
	for _, mem := range m.members {
		mem.saved = false
	}
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
		case mem.state == platform.TaskFinished:
		case mem.state == platform.TaskAbsent && m.phase == Reserving:
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

// RenewalSent notes that a renewal up to until may reach the worker.
func (m *Machine) RenewalSent(worker domain.WorkerID, reading Reading, until time.Duration) {
	if mem := m.member(worker); mem != nil {
		mem.gone = later(mem.gone, reading.Gone(until, m.timing))
	}
}

func (m *Machine) member(worker domain.WorkerID) *member {
	for _, mem := range m.members {
		if mem.worker == worker {
			return mem
		}
	}
	return nil
}

// Unanswered says that an ask had no answer; whether it took effect is not
// known, and it is asked again, which is safe.
func (m *Machine) Unanswered(worker domain.WorkerID) {
	if mem := m.member(worker); mem != nil {
		mem.busy = false
	}
}

// Observe takes in a worker's report. command is what it answers; granted is
// the reading that the command's lease was computed from.
func (m *Machine) Observe(worker domain.WorkerID, command platform.Command, report platform.Report, granted Reading) {
	mem := m.member(worker)
	if mem == nil {
		return
	}
	own := command.Verb != platform.VerbRenew && command.Verb != platform.VerbClaim && command.Gang == m.Gang
	if own {
		mem.busy = false
	}
	m.observeState(mem, report)
	if report.Refused != "" {
		m.observeRefusal(mem, own, command)
		return
	}
	// A renewal that overtook the reserve found nothing to extend; only a
	// report that shows the member says that its lease was.
	if extends(command, m.Gang) && m.liveIn(report) {
		mem.surely = later(mem.surely, granted.Surely(command.Until.Std(), m.timing))
	}
	if own && command.Verb == platform.VerbCheckpoint {
		mem.saved = true
	}
}

func extends(c platform.Command, gang domain.Incarnation) bool {
	if c.Verb == platform.VerbReserve {
		return c.Gang == gang
	}
	if c.Verb != platform.VerbRenew {
		return false
	}
	for _, g := range c.Gangs {
		if g == gang {
			return true
		}
	}
	return false
}

func (m *Machine) liveIn(report platform.Report) bool {
	for _, reported := range report.Members {
		if reported.Gang == m.Gang {
			return reported.State.Live()
		}
	}
	return false
}

func (m *Machine) observeState(mem *member, report platform.Report) {
	if mem.boot != "" && report.Boot != mem.boot {
		mem.state = platform.TaskAbsent
		mem.gone = time.Time{}
		if m.phase != Reserving {
			m.stop(CauseMemberLost)
		}
		return
	}
	for _, reported := range report.Members {
		if reported.Gang != m.Gang {
			continue
		}
		mem.state = advance(mem.state, reported.State)
		if reported.Result != "" {
			mem.result = reported.Result
		}
		mem.memory = reported.UsedMemoryMiB
		return
	}
}

// rank orders a member's states; a report that was delayed never takes a
// member back.
var rank = map[platform.TaskState]int{
	platform.TaskAbsent: 0, platform.TaskReserved: 1, platform.TaskArmed: 2, platform.TaskRunning: 3,
	platform.TaskFinished: 4, platform.TaskFailed: 4, platform.TaskStopped: 4,
}

func advance(from, to platform.TaskState) platform.TaskState {
	if rank[to] > rank[from] {
		return to
	}
	return from
}

func (m *Machine) observeRefusal(mem *member, own bool, command platform.Command) {
	if !own {
		return
	}
	switch command.Verb {
	case platform.VerbReserve:
		m.stop(CauseRefused)
	case platform.VerbArm, platform.VerbRelease:
		m.stop(CauseMemberLost)
	case platform.VerbCheckpoint:
		mem.saved = true // nothing runs there that could be saved
	case platform.VerbStop:
		mem.state = platform.TaskStopped
	}
}

// OverMemory returns the highest measured memory of a task, in MiB.
func (m *Machine) OverMemory() int {
	most := 0
	for _, mem := range m.members {
		most = max(most, mem.memory)
	}
	return most
}

// Workers returns the members' workers with the boots that they were seen in.
func (m *Machine) Workers() []domain.WorkerID {
	out := make([]domain.WorkerID, len(m.members))
	for i, mem := range m.members {
		out[i] = mem.worker
	}
	return out
}

// Found is a member that a claim has reported.
type Found struct {
	Worker  domain.WorkerID
	Member  platform.Member
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
		complete = complete && (state == platform.TaskRunning || state == platform.TaskFinished)
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
