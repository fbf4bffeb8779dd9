package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/port"
)

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
		return mem.state != port.TaskAbsent
	case Arming:
		return mem.state == port.TaskArmed
	case Releasing:
		return mem.state != port.TaskArmed
	case Checkpointing:
		return mem.saved
	case Stopping:
		// A reserve may have taken effect although its answer was lost.
		asked := mem.state == port.TaskAbsent && mem.boot != "" && !mem.gone.IsZero()
		return !mem.state.Live() && !asked
	}
	return true
}

// mustWait holds all stops back while any release may still take effect: a
// member that runs then does so beside all the others.
func (m *Machine) mustWait(now time.Time) bool {
	return m.phase == Stopping && m.any(func(mem *member) bool {
		return mem.state == port.TaskArmed && now.Before(mem.releasable)
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
	if m.all(func(mem *member) bool { return mem.state == port.TaskFinished }) {
		m.phase = Ended
		m.cause = CauseFinished
		return
	}
	for _, mem := range m.members {
		switch {
		case mem.state == port.TaskFailed:
			m.stop(CauseTaskFailed)
		case mem.state == port.TaskStopped, mem.state == port.TaskAbsent:
			m.stop(CauseMemberLost)
		case mem.state == port.TaskRunning && now.After(mem.surely):
			m.stop(CauseMemberLost)
		}
	}
}

func (m *Machine) checkStopped(now time.Time) {
	ended := m.all(func(mem *member) bool {
		return !mem.state.Live() && !(mem.state == port.TaskAbsent && now.Before(mem.gone)) || now.After(mem.gone)
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
