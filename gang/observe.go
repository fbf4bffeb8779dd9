package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/platform"
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
