package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// RenewalSent records that a renewal up to leaseEnd may reach the worker.
func (m *Machine) RenewalSent(worker domain.WorkerID, reading Reading, leaseEnd time.Duration) {
	if mem := m.member(worker); mem != nil {
		mem.expiredAt = laterTime(mem.expiredAt, reading.ExpiredAt(leaseEnd, m.timing))
	}
}

// HandleUnanswered records that a request was not answered. Whether it took effect is not
// known; it is sent again, which is safe.
func (m *Machine) HandleUnanswered(worker domain.WorkerID) {
	if mem := m.member(worker); mem != nil {
		mem.pending = false
	}
}

// Observe processes a worker's report. command is the command that it answers; granted is
// the reading from which the command's lease was computed.
func (m *Machine) Observe(worker domain.WorkerID, command port.Command, report port.Report, granted Reading) {
	mem := m.member(worker)
	if mem == nil {
		return
	}
	own := command.Verb != port.VerbRenew && command.Verb != port.VerbClaim && command.Gang == m.Incarnation
	if own {
		mem.pending = false
	}
	m.observeState(mem, report)
	if report.Refused != "" {
		m.observeRefusal(mem, own, command)
		return
	}
	// A renewal that overtook the reserve found no lease to extend. Only a report that
	// contains the member shows that its lease was extended.
	if extendsLease(command, m.Incarnation) && m.isLiveIn(report) {
		mem.validUntil = laterTime(mem.validUntil, granted.ValidUntil(command.ValidUntil.Std(), m.timing))
	}
	if own && command.Verb == port.VerbCheckpoint {
		mem.checkpointed = true
	}
}

func extendsLease(c port.Command, incarnation domain.Incarnation) bool {
	if c.Verb == port.VerbReserve {
		return c.Gang == incarnation
	}
	if c.Verb != port.VerbRenew {
		return false
	}
	for _, g := range c.Gangs {
		if g == incarnation {
			return true
		}
	}
	return false
}

func (m *Machine) isLiveIn(report port.Report) bool {
	for _, reported := range report.Members {
		if reported.Gang == m.Incarnation {
			return reported.State.HoldsResources()
		}
	}
	return false
}

func (m *Machine) observeState(mem *member, report port.Report) {
	if mem.boot != "" && report.Boot != mem.boot {
		mem.state = port.TaskAbsent
		mem.expiredAt = time.Time{}
		switch {
		case m.mayHaveRun:
			m.stop(CauseWorkerCrashed)
		case m.phase != Reserving:
			m.stop(CauseMemberLost)
		}
		return
	}
	for _, reported := range report.Members {
		if reported.Gang != m.Incarnation {
			continue
		}
		mem.state = laterState(mem.state, reported.State)
		if reported.Result != "" {
			mem.result = reported.Result
		}
		mem.memoryMiB = reported.UsedMemoryMiB
		return
	}
}

// stateRank orders a member's states; a delayed report never moves a member back.
var stateRank = map[port.TaskState]int{
	port.TaskAbsent: 0, port.TaskReserved: 1, port.TaskArmed: 2, port.TaskRunning: 3,
	port.TaskFinished: 4, port.TaskFailed: 4, port.TaskStopped: 4,
}

func laterState(from, to port.TaskState) port.TaskState {
	if stateRank[to] > stateRank[from] {
		return to
	}
	return from
}

func (m *Machine) observeRefusal(mem *member, own bool, command port.Command) {
	if !own {
		return
	}
	switch command.Verb {
	case port.VerbReserve:
		m.stop(CauseReserveRefused)
	case port.VerbArm, port.VerbRelease:
		m.stop(CauseMemberLost)
	case port.VerbCheckpoint:
		mem.checkpointed = true // no task runs there that could be checkpointed
	case port.VerbStop:
		mem.state = port.TaskStopped
	}
}

// PeakMemoryMiB returns the highest measured memory of a task, in MiB.
func (m *Machine) PeakMemoryMiB() int {
	peak := 0
	for _, mem := range m.members {
		peak = max(peak, mem.memoryMiB)
	}
	return peak
}
