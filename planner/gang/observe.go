package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// RenewalSent notes that a renewal up to until may reach the worker.
func (m *Machine) RenewalSent(worker domain.WorkerID, reading Reading, until time.Duration) {
	if mem := m.member(worker); mem != nil {
		mem.gone = later(mem.gone, reading.Gone(until, m.timing))
	}
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
func (m *Machine) Observe(worker domain.WorkerID, command port.Command, report port.Report, granted Reading) {
	mem := m.member(worker)
	if mem == nil {
		return
	}
	own := command.Verb != port.VerbRenew && command.Verb != port.VerbClaim && command.Gang == m.Gang
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
	if own && command.Verb == port.VerbCheckpoint {
		mem.saved = true
	}
}

func extends(c port.Command, gang domain.Incarnation) bool {
	if c.Verb == port.VerbReserve {
		return c.Gang == gang
	}
	if c.Verb != port.VerbRenew {
		return false
	}
	for _, g := range c.Gangs {
		if g == gang {
			return true
		}
	}
	return false
}

func (m *Machine) liveIn(report port.Report) bool {
	for _, reported := range report.Members {
		if reported.Gang == m.Gang {
			return reported.State.Live()
		}
	}
	return false
}

func (m *Machine) observeState(mem *member, report port.Report) {
	if mem.boot != "" && report.Boot != mem.boot {
		mem.state = port.TaskAbsent
		mem.gone = time.Time{}
		switch {
		case m.mayRun:
			m.stop(CauseWorkerCrashed)
		case m.phase != Reserving:
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
var rank = map[port.TaskState]int{
	port.TaskAbsent: 0, port.TaskReserved: 1, port.TaskArmed: 2, port.TaskRunning: 3,
	port.TaskFinished: 4, port.TaskFailed: 4, port.TaskStopped: 4,
}

func advance(from, to port.TaskState) port.TaskState {
	if rank[to] > rank[from] {
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
		m.stop(CauseRefused)
	case port.VerbArm, port.VerbRelease:
		m.stop(CauseMemberLost)
	case port.VerbCheckpoint:
		mem.saved = true // nothing runs there that could be saved
	case port.VerbStop:
		mem.state = port.TaskStopped
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
