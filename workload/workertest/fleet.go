// Package workertest models workers for tests, the demo and the platform's stand-in: leases on
// each worker's own clock, fencing tokens, gangs that start together, checkpoints, and stops that
// take time. Its callers supply the time, and it reports every start and end of a run as an event.
package workertest

import (
	"slices"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Limits are the time limits that workers apply.
type Limits struct {
	MaxLease, StopTimeout, GangTimeout, CheckpointEvery, Restore time.Duration
}

// Work describes how long a run takes on a healthy worker and how it ends. A run with Hangs set
// never ends, one with Fails set fails once its work is done.
type Work struct {
	Takes time.Duration
	Fails bool
	Hangs bool
	// TailMS is the undisturbed tail latency of a run that serves; DisturbsMS is what the run adds
	// to the tail latency of others on its worker at full pace.
	TailMS, DisturbsMS int
	// A run with Crashes set kills its worker, with all runs on it, CrashAfter its start.
	Crashes    bool
	CrashAfter time.Duration
}

// Event is the start or end of a run on a worker.
type Event struct {
	At         time.Time
	Worker     string
	Task       workload.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	// End is empty for a start.
	End   control.End
	Token int64
}

// Fleet is a set of workers, across which gangs run.
type Fleet struct {
	Limits Limits
	// Step returns a task's step; ok is false for unknown tasks.
	Step func(workload.TaskID) (step workload.Step, ok bool)
	// Work returns what a run does on a worker.
	Work func(id workload.TaskID, run int64, worker string) Work
	// Speed is the current speed of a worker as a factor; nil means 1 for all. Each member of a
	// gang has its own speed, and the gang ends when the slowest member has done its work.
	Speed func(worker string) float64
	// FailTogether has the members of a gang that are due to fail at the same time all end as failed.
	// Otherwise the end of the first one ends the others as broken.
	FailTogether bool
	// OnEvent is called with every event.
	OnEvent func(Event)
	// OnCrash, if not nil, is called after a run has crashed a worker.
	OnCrash func(worker string, by workload.TaskID, at time.Time)
	Workers map[string]*Worker
	now     time.Time
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID       string
	Capacity workload.Resources
	// ClockRate is the speed of the worker's clock, 0.98 to 1.
	ClockRate float64
	// IgnoresCapacity makes the worker accept starts without checking its capacity.
	IgnoresCapacity bool
	Dead            bool

	// StartMS is the reported start time of the incarnation in Unix milliseconds; 0 reports none.
	StartMS int64

	fleet *Fleet
	// clockZero is when the worker's clock showed 0.
	clockZero     time.Time
	token         int64
	deadlineMS    int64
	runs          map[workload.TaskID]*run
	lastBarredRun map[workload.TaskID]int64
	ended         []control.EndedRow
	lastEnd       int64
	ackedEnd      int64
	// lastVoidEnd is the number of the last end before the lease last expired.
	lastVoidEnd int64
}

type run struct {
	id workload.TaskID
	// name is the formatted id, by which runs are sorted.
	name         string
	run          int64
	step         workload.Step
	startedAt    time.Time
	workingSince time.Time
	workDone     time.Duration
	work         Work
	saved        string
	stopAt       time.Time
	gangDeadline time.Time
	// members are the members of the run's gang, including itself, once the gang is complete.
	members []*run
	// throttledPercent is the reduction by throttle orders, in percent.
	throttledPercent int
}

// initialUptime is how long a worker has been running when it is added.
const initialUptime = time.Hour

// Add adds a worker without runs to the fleet.
func (f *Fleet) Add(id string, capacity workload.Resources, rate float64, now time.Time) *Worker {
	w := &Worker{
		ID: id, Capacity: capacity, ClockRate: rate, StartMS: now.Add(-initialUptime).UnixMilli(), fleet: f, clockZero: now.Add(-initialUptime),
		runs: map[workload.TaskID]*run{}, lastBarredRun: map[workload.TaskID]int64{},
	}
	if f.Workers == nil {
		f.Workers = map[string]*Worker{}
	}
	f.Workers[id] = w
	return w
}

// Kill ends a worker's incarnation and all runs on it.
func (f *Fleet) Kill(id string, now time.Time) {
	w := f.Workers[id]
	w.Dead = true
	f.emitVoidEnds(w, now)
	for _, r := range w.sortedRuns() {
		w.remove(r, control.EndLapsed, now)
	}
}

// Restart starts a new incarnation under the id of a dead worker. It has no runs, and its token,
// clock and end numbers restart.
func (f *Fleet) Restart(id string, now time.Time) *Worker {
	before := f.Workers[id]
	w := f.Add(id, before.Capacity, before.ClockRate, now.Add(initialUptime))
	w.IgnoresCapacity = before.IgnoresCapacity
	return w
}

// EndVoid is the end of a run that was done on a worker which died before the end was
// acknowledged, so that it can't be acknowledged any more.
const EndVoid control.End = "void"

// emitVoidEnds reports the ends as done that are lost with a worker. One member's end stands for
// its gang, so it is not lost while the worker of another ended member is alive.
func (f *Fleet) emitVoidEnds(w *Worker, now time.Time) {
	for _, row := range w.ended {
		step, known := f.Step(row.Task)
		if row.End != control.EndDone || row.Number <= w.ackedEnd || !known || (step.Gang && f.hasEndOnLiveWorker(row)) {
			continue
		}
		w.emitVoid(row, step, now)
	}
}

// emitVoid reports a lost end and those of all members of the same gang's run: the last remaining
// end stood for all of them, including members whose workers died earlier.
func (w *Worker) emitVoid(row control.EndedRow, step workload.Step, now time.Time) {
	id := row.Task
	first, end := id.Index, id.Index+1
	if step.Gang {
		first, end = 0, step.Count
	}
	for id.Index = first; id.Index < end; id.Index++ {
		w.emit(Event{At: now, Worker: w.ID, Task: id, Run: row.Run, End: EndVoid})
	}
}

// hasEndOnLiveWorker reports whether another member of a gang's run has ended on a worker that is
// alive.
func (f *Fleet) hasEndOnLiveWorker(row control.EndedRow) bool {
	for _, w := range f.Workers {
		for id, run := range w.lastBarredRun {
			if !w.Dead && sameStep(id, row.Task) && run >= row.Run {
				return true
			}
		}
	}
	return false
}

// ClockMS returns the time on the worker's own clock.
func (w *Worker) ClockMS(now time.Time) int64 {
	return int64(float64(now.Sub(w.clockZero).Milliseconds()) * w.ClockRate)
}

// Running returns the number of runs on the worker.
func (w *Worker) Running() int { return len(w.runs) }

func (w *Worker) sortedRuns() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	if len(out) > 1 {
		slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.name, b.name) })
	}
	return out
}

// Allocated returns the resources that the runs on the worker occupy.
func (w *Worker) Allocated() workload.Resources {
	held := workload.Resources{}
	for _, r := range w.runs {
		held = held.Add(r.step.CapacityNeed())
	}
	return held
}

func (w *Worker) free() workload.Resources { return w.Capacity.Sub(w.Allocated()) }

// acceptToken applies an order's token and returns false if a newer one was seen.
func (w *Worker) acceptToken(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *Worker) extendLease(deadlineMS int64, now time.Time) {
	limit := w.ClockMS(now) + w.fleet.Limits.MaxLease.Milliseconds()
	w.deadlineMS = max(w.deadlineMS, min(deadlineMS, limit))
}

// Start handles a start order.
func (w *Worker) Start(o control.StartOrder, now time.Time) control.Answer {
	w.fleet.Advance(now)
	answer := control.Answer{ClockMS: w.ClockMS(now)}
	answer.Result = w.start(o, now)
	return answer
}

func (w *Worker) start(o control.StartOrder, now time.Time) control.Result {
	if w.Dead {
		// Advancing to now killed the worker.
		return control.Unanswered
	}
	if !w.acceptToken(o.Token) {
		return control.Fenced
	}
	if o.DeadlineMS <= w.ClockMS(now) {
		return control.Late
	}
	w.extendLease(o.DeadlineMS, now)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return control.Accepted
	}
	if o.Run <= w.lastBarredRun[o.Task] {
		return control.Superseded
	}
	step, ok := w.fleet.Step(o.Task)
	if !ok {
		return control.Invalid
	}
	if !w.IgnoresCapacity && !step.CapacityNeed().FitsIn(w.free()) {
		return control.Full
	}
	r := &run{id: o.Task, name: o.Task.String(), run: o.Run, step: step, startedAt: now, saved: o.Checkpoint, work: w.fleet.Work(o.Task, o.Run, w.ID)}
	if o.Checkpoint != "" {
		r.workDone = checkpointedWork(o.Checkpoint)
	}
	w.runs[o.Task] = r
	w.emit(Event{At: now, Worker: w.ID, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Token: o.Token})
	w.fleet.startWork(r, now)
	return control.Accepted
}

func (w *Worker) emit(e Event) {
	if w.fleet.OnEvent != nil {
		w.fleet.OnEvent(e)
	}
}

// Stop handles a stop order.
func (w *Worker) Stop(o control.StopOrder, now time.Time) control.Answer {
	w.fleet.Advance(now)
	answer := control.Answer{Result: control.Accepted, ClockMS: w.ClockMS(now)}
	if !w.acceptToken(o.Token) {
		answer.Result = control.Fenced
		return answer
	}
	w.lastBarredRun[o.Task] = max(w.lastBarredRun[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(w.fleet.Limits.StopTimeout)
	}
	return answer
}

// maxEndsPerAnswer limits the ends that one answer lists.
const maxEndsPerAnswer = 500

// Renew handles a lease renewal and answers at once.
func (w *Worker) Renew(o control.RenewalOrder, now time.Time) control.RenewalAnswer {
	w.fleet.Advance(now)
	answer := control.RenewalAnswer{Result: control.Accepted, ClockMS: w.ClockMS(now), StartMS: w.StartMS}
	if !w.acceptToken(o.Token) {
		answer.Result = control.Fenced
		return answer
	}
	if o.DeadlineMS > 0 {
		w.extendLease(o.DeadlineMS, now)
	}
	w.ackedEnd = max(w.ackedEnd, o.AcknowledgedEnd)
	for len(w.ended) > 0 && w.ended[0].Number <= w.ackedEnd {
		w.ended = w.ended[1:]
	}
	for _, r := range w.sortedRuns() {
		answer.Running = append(answer.Running, control.RunningRow{Task: r.id, Run: r.run, Checkpoint: r.saved, Percent: r.percent(now), Metric: w.metric(r)})
	}
	answer.Ended = append(answer.Ended, w.ended[:min(len(w.ended), maxEndsPerAnswer)]...)
	answer.More = len(w.ended) > maxEndsPerAnswer
	return answer
}

// ExtendLease applies the lease and the token of a renewal that waits for new ends.
func (w *Worker) ExtendLease(o control.RenewalOrder, now time.Time) {
	if w.acceptToken(o.Token) && o.DeadlineMS > 0 {
		w.extendLease(o.DeadlineMS, now)
	}
}

// Throttle handles a throttle order; it takes effect at once.
func (w *Worker) Throttle(o control.ThrottleOrder, now time.Time) control.Answer {
	w.fleet.Advance(now)
	answer := control.Answer{Result: control.Accepted, ClockMS: w.ClockMS(now)}
	if !w.acceptToken(o.Token) {
		answer.Result = control.Fenced
		return answer
	}
	r := w.runs[o.Task]
	if r == nil || r.run != o.Run {
		answer.Result = control.Superseded
		return answer
	}
	r.throttledPercent = fullPercent - o.Percent
	return answer
}

// fullPercent is all of a run's work, or its full pace, in percent.
const fullPercent = 100

// metric returns the tail latency of a run that serves, and the processor use of any other
// run.
func (w *Worker) metric(r *run) int {
	if r.work.TailMS == 0 {
		return int(r.step.Need.MilliCPU) * (fullPercent - r.throttledPercent) / fullPercent
	}
	tail := r.work.TailMS
	for _, other := range w.runs {
		if other != r {
			tail += other.work.DisturbsMS * (fullPercent - other.throttledPercent) / fullPercent
		}
	}
	return tail
}

// TailLatencies returns the tail latencies of the runs that serve on the worker, in milliseconds.
func (w *Worker) TailLatencies() []int {
	var out []int
	for _, r := range w.sortedRuns() {
		if r.work.TailMS > 0 {
			out = append(out, w.metric(r))
		}
	}
	return out
}

// ThrottledPercents returns the throttling of each run with BestEffortCPU set, in percent.
func (w *Worker) ThrottledPercents() []int {
	var out []int
	for _, r := range w.sortedRuns() {
		if r.step.BestEffortCPU {
			out = append(out, r.throttledPercent)
		}
	}
	return out
}

func (r *run) progress(now time.Time) time.Duration {
	if r.workingSince.IsZero() {
		return r.workDone
	}
	return r.workDone + now.Sub(r.workingSince)
}

func (r *run) percent(now time.Time) int {
	if r.step.Perpetual && !r.workingSince.IsZero() {
		return fullPercent
	}
	if r.work.Hangs || r.work.Takes <= 0 {
		return 0
	}
	if r.step.Gang && !r.workingSince.IsZero() && r.finishedWork(now) {
		return fullPercent
	}
	return int(min(99, 100*r.progress(now)/r.work.Takes))
}

// Ended returns the ends that are currently listed.
func (w *Worker) Ended() []control.EndedRow { return append([]control.EndedRow(nil), w.ended...) }

// AcknowledgedEnd returns the number of the last end that was acknowledged.
func (w *Worker) AcknowledgedEnd() int64 { return w.ackedEnd }

// LastVoidEnd returns the number of the last end that was listed before the worker's lease last
// expired. Acknowledging such an end has no effect any more.
func (w *Worker) LastVoidEnd() int64 { return w.lastVoidEnd }
