package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/port"
)

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// leasesValidUntil returns the time until which every member's lease is certainly valid. A
// release is valid only until then, on the worker's own clock, so that no member runs
// after the lease of another may have ended unnoticed.
func (m *Machine) leasesValidUntil() time.Time {
	end := m.members[0].validUntil
	for _, mem := range m.members[1:] {
		if mem.validUntil.Before(end) {
			end = mem.validUntil
		}
	}
	return end
}

// releaseEnd returns the end of a release's validity. It is short, so that a gang that is
// stopped while it is being released does not have to wait long.
func (m *Machine) releaseEnd(now time.Time) time.Time {
	end := now.Add(m.timing.ReleaseValidity)
	if validUntil := m.leasesValidUntil(); validUntil.Before(end) {
		return validUntil
	}
	return end
}

// isSettled reports whether the member has reached the target state of the phase.
func (m *Machine) isSettled(mem *member) bool {
	switch m.phase {
	case Reserving:
		return mem.state != port.TaskAbsent
	case Arming:
		return mem.state == port.TaskArmed
	case Releasing:
		return mem.state != port.TaskArmed
	case Checkpointing:
		return mem.checkpointed
	case Stopping:
		// A reserve may have taken effect although its answer was lost.
		unconfirmed := mem.state == port.TaskAbsent && mem.boot != "" && !mem.expiredAt.IsZero()
		return !mem.state.HoldsResources() && !unconfirmed
	}
	return true
}

// mustDelayStop reports whether stops must wait because a release may still take effect: a
// member that is released after others were stopped would run without them.
func (m *Machine) mustDelayStop(now time.Time) bool {
	return m.phase == Stopping && m.anyMember(func(mem *member) bool {
		return mem.state == port.TaskArmed && now.Before(mem.releaseExpiredAt)
	})
}

// updatePhase moves to the next phase if the time and the members' states allow it.
func (m *Machine) updatePhase(now time.Time) {
	switch m.phase {
	case Reserving, Arming, Releasing:
		m.updateStart(now)
	case Recording:
		m.checkLeases(now)
	case Running:
		m.updateRunning(now)
	case Checkpointing:
		if now.After(m.deadline) || m.allMembers(func(mem *member) bool { return mem.checkpointed }) {
			m.phase = Stopping
		}
	}
	if m.phase == Stopping {
		m.updateStopped(now)
	}
}

func (m *Machine) updateStart(now time.Time) {
	if now.After(m.deadline) {
		m.stop(CauseStartTimeout)
		return
	}
	if m.phase != Reserving && !m.unorderedStart && !m.checkLeases(now) {
		return
	}
	early := m.unorderedStart && m.phase != Releasing && m.anyMember(m.isSettled)
	if !m.allMembers(m.isSettled) && !early {
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
		m.LastCheckpoint = now
	}
}

// checkLeases stops the gang if the planner can't be sure that every lease is valid,
// because it was paused or a worker became silent.
func (m *Machine) checkLeases(now time.Time) bool {
	if now.Add(m.timing.Margin).After(m.leasesValidUntil()) {
		m.stop(CauseMemberLost)
		return false
	}
	return true
}

func (m *Machine) updateRunning(now time.Time) {
	if m.allMembers(func(mem *member) bool { return mem.state == port.TaskFinished }) {
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
		case mem.state == port.TaskRunning && now.After(mem.validUntil):
			m.stop(CauseMemberLost)
		}
	}
}

func (m *Machine) updateStopped(now time.Time) {
	ended := m.allMembers(func(mem *member) bool {
		return !mem.state.HoldsResources() && !(mem.state == port.TaskAbsent && now.Before(mem.expiredAt)) || now.After(mem.expiredAt)
	})
	if ended {
		m.phase = Ended
	}
}

func (m *Machine) allMembers(test func(*member) bool) bool {
	for _, mem := range m.members {
		if !test(mem) {
			return false
		}
	}
	return true
}

func (m *Machine) anyMember(test func(*member) bool) bool {
	return !m.allMembers(func(mem *member) bool { return !test(mem) })
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

// SetRecorded processes the outcome of recording the start; ok means that it is durable.
// Members are armed only after that.
func (m *Machine) SetRecorded(ok bool) {
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

// Preempt checkpoints the gang within the grace period, then stops it. A gang that is not
// running or not checkpointable is stopped at once.
func (m *Machine) Preempt(now time.Time, grace time.Duration) {
	if m.phase != Running || !m.Class.Checkpointable {
		m.stop(CausePreempted)
		return
	}
	m.cause = CausePreempted
	m.phase = Checkpointing
	m.deadline = now.Add(grace)
	for _, mem := range m.members {
		mem.checkpointed = false
	}
}
