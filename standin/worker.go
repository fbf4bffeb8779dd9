// Package standin implements small stand-ins for the platform (log service, lists,
// workers' agents) and for backend servers. Faults can be switched on while they
// run. They are for development and tests only.
package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Clock returns a monotonic time. A worker reports the difference to its boot.
type Clock func() time.Duration

// Workload is the job payload that the worker stand-in understands.
type Workload struct {
	// Run is how long the tasks run.
	Run domain.Duration `json:"run"`
	// Fail makes the tasks end with an error.
	Fail bool `json:"fail,omitempty"`
	// Crash makes the tasks crash their worker as soon as they run.
	Crash bool `json:"crash,omitempty"`
	// UsedMemoryMiB is the memory use that is reported for each task.
	UsedMemoryMiB int `json:"used_memory_mib,omitempty"`
}

// Encode returns the workload as a job's payload.
func (w Workload) Encode() string {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(err) // a Workload holds only types that can be marshalled
	}
	return string(raw)
}

// WorkerFaults configures the faults of a worker.
type WorkerFaults struct {
	// FailTasks fails every task as soon as it runs.
	FailTasks bool `json:"fail_tasks"`
	// Unfenced accepts commands with any token. Tests use this broken variant to
	// prove that their invariants detect it.
	Unfenced bool `json:"-"`
	// IgnoreLeases keeps members whose lease has expired; a broken variant for the
	// same purpose.
	IgnoreLeases bool `json:"-"`
}

type memberState struct {
	port.Member
	until    time.Duration
	work     Workload
	resumed  time.Duration // worker time of the release or the last checkpoint
	progress time.Duration // saved by checkpoints
	hidden   bool          // forgotten, but kept until the lease ends
}

// Worker is the state machine of one worker's agent. It is safe for concurrent use.
type Worker struct {
	Spec domain.Worker

	mu       sync.Mutex
	clock    Clock
	boots    int
	bootedAt time.Duration
	maxToken domain.Token
	members  map[domain.Incarnation]*memberState
	saved    map[domain.JobID]time.Duration
	faults   WorkerFaults
	starts   []domain.Incarnation
}

// NewWorker returns an agent without members.
func NewWorker(spec domain.Worker, clock Clock) *Worker {
	return &Worker{
		Spec: spec, clock: clock,
		members: map[domain.Incarnation]*memberState{},
		saved:   map[domain.JobID]time.Duration{},
	}
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Restart restarts the worker, which loses all its members, as in a crash.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

func (w *Worker) restart() {
	w.boots++
	w.bootedAt = w.clock()
	w.maxToken = domain.Token{}
	w.members = map[domain.Incarnation]*memberState{}
}

// Starts returns every incarnation that was ever released on this worker, in order.
func (w *Worker) Starts() []domain.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]domain.Incarnation(nil), w.starts...)
}

// Members returns the worker's current members.
func (w *Worker) Members() []port.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.report("").Members
}

// Do executes one command and reports the worker's state after it.
func (w *Worker) Do(c port.Command) port.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if refused := w.rejectReason(c); refused != "" {
		return w.report(refused)
	}
	switch c.Verb {
	case port.VerbClaim:
		return w.report("")
	case port.VerbReserve:
		return w.report(w.reserve(c))
	case port.VerbArm:
		return w.report(w.arm(c))
	case port.VerbRelease:
		return w.report(w.release(c))
	case port.VerbRenew:
		return w.report(w.renew(c))
	case port.VerbCheckpoint:
		return w.report(w.checkpoint(c))
	case port.VerbStop:
		return w.report(w.stop(c))
	case port.VerbForget:
		return w.report(w.forget(c))
	}
	return w.report(fmt.Sprintf("unknown verb %q", c.Verb))
}

func (w *Worker) now() time.Duration { return w.clock() - w.bootedAt }

func (w *Worker) bootID() string { return fmt.Sprintf("%s#%d", w.Spec.ID, w.boots) }

// rejectReason returns why a command is refused before it is executed, or "". It
// refuses a token that is lower than the highest one seen, a command for an earlier
// boot, and a command whose lease has ended in transit.
func (w *Worker) rejectReason(c port.Command) string {
	if w.faults.Unfenced {
		return ""
	}
	if c.Token.Less(w.maxToken) {
		return "token is lower than one seen"
	}
	if c.Verb == port.VerbClaim {
		w.maxToken = c.Token
		return ""
	}
	if c.Boot != w.bootID() {
		return "worker has restarted"
	}
	if c.ValidUntil.Std() <= w.now() && (c.Verb == port.VerbArm || c.Verb == port.VerbRelease) {
		return "lease ended in transit"
	}
	w.maxToken = c.Token
	return ""
}

// advance updates the members to the current time: members whose lease has expired
// stop, and members that have run for their time finish.
func (w *Worker) advance() {
	now := w.now()
	for gang, m := range w.members {
		if m.work.Crash && m.State == port.TaskRunning {
			w.restart()
			return
		}
		w.advanceMember(m, now)
		if m.hidden && now > m.until {
			delete(w.members, gang)
		}
	}
}

func (w *Worker) advanceMember(m *memberState, now time.Duration) {
	if m.State == port.TaskRunning && w.finishTime(m) <= min(now, m.until) {
		w.finish(m)
		return
	}
	if m.State.HoldsResources() && now > m.until && !w.faults.IgnoreLeases {
		m.State = port.TaskStopped
	}
}

func (w *Worker) finishTime(m *memberState) time.Duration {
	if w.faults.FailTasks {
		return m.resumed
	}
	return m.resumed + m.work.Run.Std() - m.progress
}

func (w *Worker) finish(m *memberState) {
	m.State = port.TaskFinished
	m.Result = fmt.Sprintf("%s done on %s", m.Gang.Job, w.Spec.ID)
	if w.faults.FailTasks || m.work.Fail {
		m.State = port.TaskFailed
		m.Result = "task exited with status 1"
	}
}

func (w *Worker) used() domain.Resources {
	var used domain.Resources
	for _, m := range w.members {
		if m.State.HoldsResources() {
			used = used.Add(m.PerTask.Times(m.Tasks))
		}
	}
	return used
}

func (w *Worker) reserve(c port.Command) string {
	if _, known := w.members[c.Gang]; known {
		return ""
	}
	need := c.PerTask.Times(c.Tasks)
	if !need.FitsIn(w.Spec.Capacity.Sub(w.used())) {
		return "resources are in use"
	}
	if c.ValidUntil.Std() <= w.now() {
		return "lease ended in transit"
	}
	w.members[c.Gang] = &memberState{
		Member: port.Member{Gang: c.Gang, Members: c.Members, State: port.TaskReserved, Tasks: c.Tasks, PerTask: c.PerTask},
		until:  c.ValidUntil.Std(),
	}
	return ""
}

func (w *Worker) arm(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok || !m.State.HoldsResources() {
		return "nothing reserved"
	}
	if m.State != port.TaskReserved {
		return ""
	}
	if err := json.Unmarshal([]byte(c.Payload), &m.work); err != nil {
		m.work = Workload{Fail: true}
	}
	m.UsedMemoryMiB = m.work.UsedMemoryMiB
	m.progress = w.saved[c.Gang.Job]
	m.Progress = domain.Duration(m.progress)
	m.State = port.TaskArmed
	return ""
}

func (w *Worker) release(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok || !m.State.HoldsResources() {
		return "nothing armed"
	}
	if m.State == port.TaskReserved {
		return "not armed yet"
	}
	if m.State == port.TaskArmed {
		m.State = port.TaskRunning
		m.resumed = w.now()
		w.starts = append(w.starts, c.Gang)
	}
	return ""
}

func (w *Worker) renew(c port.Command) string {
	for _, gang := range c.Gangs {
		if m, ok := w.members[gang]; ok && m.State.HoldsResources() {
			m.until = max(m.until, c.ValidUntil.Std())
		}
	}
	return ""
}

func (w *Worker) checkpoint(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok || m.State != port.TaskRunning {
		return "not running"
	}
	m.progress += w.now() - m.resumed
	m.resumed = w.now()
	m.Progress = domain.Duration(m.progress)
	w.saved[c.Gang.Job] = m.progress
	return ""
}

func (w *Worker) stop(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok {
		// Recorded so that a reserve that arrives later has no effect.
		w.members[c.Gang] = &memberState{
			Member: port.Member{Gang: c.Gang, State: port.TaskStopped},
			until:  c.ValidUntil.Std(),
		}
		return ""
	}
	if m.State.HoldsResources() {
		m.State = port.TaskStopped
	}
	return ""
}

func (w *Worker) forget(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok {
		return ""
	}
	if m.State.HoldsResources() {
		return "still live"
	}
	m.until = max(m.until, c.ValidUntil.Std())
	m.hidden = true
	return ""
}

func (w *Worker) report(refused string) port.Report {
	r := port.Report{
		Refused: refused, HighestToken: w.maxToken,
		Boot: w.bootID(), Clock: domain.Duration(w.now()),
		Members: []port.Member{},
	}
	for _, m := range w.members {
		if !m.hidden {
			r.Members = append(r.Members, m.Member)
		}
	}
	sort.Slice(r.Members, func(i, j int) bool {
		a, b := r.Members[i].Gang, r.Members[j].Gang
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		return b.Newer(a)
	})
	return r
}
