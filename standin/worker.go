// Package standin has small stand-ins of the platform (log service, lists,
// workers' agents) and of backend servers. Each fault that the brief names can
// be switched on while they run. They serve development and tests only.
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

// Clock returns a worker's monotonic time since its boot.
type Clock func() time.Duration

// Workload is the payload that the worker stand-in understands.
type Workload struct {
	// Run is how long the tasks work.
	Run domain.Duration `json:"run"`
	// Fail makes the tasks end with an error.
	Fail bool `json:"fail,omitempty"`
	// Crash makes the tasks end their worker's life as soon as they run.
	Crash bool `json:"crash,omitempty"`
	// UsedMemoryMiB is reported as each task's memory.
	UsedMemoryMiB int `json:"used_memory_mib,omitempty"`
}

// Encode returns the workload as a job's payload.
func (w Workload) Encode() string {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(err) // a Workload holds nothing that can't be marshalled
	}
	return string(raw)
}

// WorkerFaults are the faults of a worker that can be switched on.
type WorkerFaults struct {
	// FailTasks fails every task as soon as it runs.
	FailTasks bool `json:"fail_tasks"`
	// Unfenced accepts commands with any token. It is a broken variant that
	// exists so that tests can show that they notice.
	Unfenced bool `json:"-"`
	// IgnoreLeases keeps members whose lease has lapsed: a broken variant.
	IgnoreLeases bool `json:"-"`
}

type heldMember struct {
	port.Member
	until    time.Duration
	work     Workload
	resumed  time.Duration // clock when it was released
	progress time.Duration // saved by checkpoints
	hidden   bool          // forgotten, kept until its lease ends
}

// Worker is the state machine of one worker's agent. Safe for concurrent use.
type Worker struct {
	Spec domain.Worker

	mu      sync.Mutex
	clock   Clock
	boot    int
	bootAt  time.Duration
	seen    domain.Token
	members map[domain.Incarnation]*heldMember
	saved   map[domain.JobID]time.Duration
	faults  WorkerFaults
	starts  []domain.Incarnation
}

// NewWorker returns an agent that holds nothing.
func NewWorker(spec domain.Worker, clock Clock) *Worker {
	return &Worker{
		Spec: spec, clock: clock,
		members: map[domain.Incarnation]*heldMember{},
		saved:   map[domain.JobID]time.Duration{},
	}
}

// SetFaults switches faults on and off.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Restart loses everything that the worker held, as a crash does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

func (w *Worker) restart() {
	w.boot++
	w.bootAt = w.clock()
	w.seen = domain.Token{}
	w.members = map[domain.Incarnation]*heldMember{}
}

// Starts returns every incarnation that was ever released here, in order.
func (w *Worker) Starts() []domain.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]domain.Incarnation(nil), w.starts...)
}

// Members returns what the worker holds now.
func (w *Worker) Members() []port.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	return w.report("").Members
}

// Do carries out one command.
func (w *Worker) Do(c port.Command) port.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if refused := w.admit(c); refused != "" {
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

func (w *Worker) now() time.Duration { return w.clock() - w.bootAt }

func (w *Worker) bootName() string { return fmt.Sprintf("%s#%d", w.Spec.ID, w.boot) }

// admit fences: a token lower than the highest seen is refused, and so is a
// command meant for an earlier boot or whose lease has ended on the way.
func (w *Worker) admit(c port.Command) string {
	if w.faults.Unfenced {
		return ""
	}
	if c.Token.Less(w.seen) {
		return "token is lower than one seen"
	}
	if c.Verb == port.VerbClaim {
		w.seen = c.Token
		return ""
	}
	if c.Boot != w.bootName() {
		return "worker has restarted"
	}
	if c.Until.Std() <= w.now() && (c.Verb == port.VerbArm || c.Verb == port.VerbRelease) {
		return "its time ended on the way"
	}
	w.seen = c.Token
	return ""
}

// settle brings members up to the present: lapsed leases stop, work that has
// run its time finishes.
func (w *Worker) settle() {
	now := w.now()
	for gang, m := range w.members {
		if m.work.Crash && m.State == port.TaskRunning {
			w.restart()
			return
		}
		w.settleMember(m, now)
		if m.hidden && now > m.until {
			delete(w.members, gang)
		}
	}
}

func (w *Worker) settleMember(m *heldMember, now time.Duration) {
	if m.State == port.TaskRunning && w.endsAt(m) <= min(now, m.until) {
		w.finish(m)
		return
	}
	if m.State.Live() && now > m.until && !w.faults.IgnoreLeases {
		m.State = port.TaskStopped
	}
}

func (w *Worker) endsAt(m *heldMember) time.Duration {
	if w.faults.FailTasks {
		return m.resumed
	}
	return m.resumed + m.work.Run.Std() - m.progress
}

func (w *Worker) finish(m *heldMember) {
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
		if m.State.Live() {
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
	if !need.Fits(w.Spec.Capacity.Sub(w.used())) {
		return "resources are in use"
	}
	if c.Until.Std() <= w.now() {
		return "lease ended on the way"
	}
	w.members[c.Gang] = &heldMember{
		Member: port.Member{Gang: c.Gang, Members: c.Members, State: port.TaskReserved, Tasks: c.Tasks, PerTask: c.PerTask},
		until:  c.Until.Std(),
	}
	return ""
}

func (w *Worker) arm(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok || !m.State.Live() {
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
	if !ok || !m.State.Live() {
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
		if m, ok := w.members[gang]; ok && m.State.Live() {
			m.until = max(m.until, c.Until.Std())
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
		// Remembered, so that a reserve that is still on its way stays without
		// effect.
		w.members[c.Gang] = &heldMember{
			Member: port.Member{Gang: c.Gang, State: port.TaskStopped},
			until:  c.Until.Std(),
		}
		return ""
	}
	if m.State.Live() {
		m.State = port.TaskStopped
	}
	return ""
}

func (w *Worker) forget(c port.Command) string {
	m, ok := w.members[c.Gang]
	if !ok {
		return ""
	}
	if m.State.Live() {
		return "still live"
	}
	m.until = max(m.until, c.Until.Std())
	m.hidden = true
	return ""
}

func (w *Worker) report(refused string) port.Report {
	r := port.Report{
		Refused: refused, Seen: w.seen,
		Boot: w.bootName(), Clock: domain.Duration(w.now()),
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
