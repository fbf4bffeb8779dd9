// Package workertest has a model of workers for tests, the demo and the
// platform's stand-in: leases on clocks of their own, fencing tokens, gangs
// that wait for each other, checkpoints, stops that take time. It is driven by
// the time that its caller gives and records everything that began and ended.
package workertest

import (
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Limits are the times that workers keep.
type Limits struct {
	HoldMax, StopTimeout, GangTimeout, CheckpointEvery, Restore time.Duration
}

// Work says how long a run would take on a sound worker, and whether it fails
// at its end. Hang runs never end.
type Work struct {
	Takes time.Duration
	Fails bool
	Hang  bool
	// TailMS is the latency tail of a run that serves, while nothing disturbs it;
	// DisturbsMS is what the run adds to those of others on its worker, at its
	// full pace.
	TailMS, DisturbsMS int
	// Crashes runs end their worker's life once they have been at work for CrashAfter,
	// and with it everything on that worker.
	Crashes    bool
	CrashAfter time.Duration
}

// Event is something that began or ended on a worker.
type Event struct {
	At     time.Time
	Worker string
	Task   workload.TaskID
	Run    int64
	Spec   string
	Saved  string
	// How is empty for a beginning.
	How   control.End
	Token int64
}

// Fleet is a set of workers that share gangs.
type Fleet struct {
	Limits Limits
	// Step describes a task's step; ok is false for tasks that nobody knows.
	Step func(workload.TaskID) (step workload.Step, ok bool)
	// Work says what a run does on a worker.
	Work func(id workload.TaskID, run int64, worker string) Work
	// Speed is a worker's now, as a factor; nil is 1 for all. A gang's members have each
	// their own, and end when the slowest has done its share.
	Speed func(worker string) float64
	// Seen takes every event.
	Seen func(Event)
	// Crashed is told of each worker that a run has crashed, after its life has ended;
	// nil tells nobody.
	Crashed func(worker string, by workload.TaskID, at time.Time)
	Workers map[string]*Worker
	now     time.Time
}

// Worker is one life of a worker.
type Worker struct {
	ID       string
	Capacity workload.Resources
	// Rate is the speed of its clock, 0.98 to 1.
	Rate float64
	// Unguarded workers start whatever they are told.
	Unguarded bool
	Dead      bool

	// Born is when it says that it was born, in Unix milliseconds; 0 says nothing.
	Born int64

	fleet *Fleet
	// began is when its clock showed 0.
	began      time.Time
	token      int64
	deadlineMS int64
	runs       map[workload.TaskID]*run
	barred     map[workload.TaskID]int64
	ended      []control.EndedRow
	next       int64
	acked      int64
	// void is the number of the last end before the lease last lapsed.
	void int64
}

type run struct {
	id       workload.TaskID
	run      int64
	step     workload.Step
	began    time.Time
	working  time.Time
	done     time.Duration
	work     Work
	saved    string
	stopping time.Time
	gangBy   time.Time
	// members are those of its gang, itself among them, once that is whole.
	members []*run
	// slowed is what orders on pace took away, in percent.
	slowed int
}

// age is how long a worker has been up when it is added.
const age = time.Hour

// Add puts an empty worker into the fleet.
func (f *Fleet) Add(id string, capacity workload.Resources, rate float64, now time.Time) *Worker {
	w := &Worker{
		ID: id, Capacity: capacity, Rate: rate, Born: now.Add(-age).UnixMilli(), fleet: f, began: now.Add(-age),
		runs: map[workload.TaskID]*run{}, barred: map[workload.TaskID]int64{},
	}
	if f.Workers == nil {
		f.Workers = map[string]*Worker{}
	}
	f.Workers[id] = w
	return w
}

// Kill ends a worker's life with everything on it.
func (f *Fleet) Kill(id string, now time.Time) {
	w := f.Workers[id]
	w.Dead = true
	f.voidEnds(w, now)
	for _, r := range w.sorted() {
		w.forget(r, control.EndLapsed, now)
	}
}

// Restart begins another life under the id of a worker whose life is over: it holds and
// knows nothing, and its token, its clock and the numbers of its ends begin anew.
func (f *Fleet) Restart(id string, now time.Time) *Worker {
	before := f.Workers[id]
	w := f.Add(id, before.Capacity, before.Rate, now.Add(age))
	w.Unguarded = before.Unguarded
	return w
}

// EndVoid is the end of a run that ended as done on a worker whose life is over, and that
// nobody took note of: nobody can any more.
const EndVoid control.End = "void"

// voidEnds tells of the ends as done that are lost with a worker. One member's end stands for
// its gang, so that it is not lost while another one's worker lives.
func (f *Fleet) voidEnds(w *Worker, now time.Time) {
	for _, row := range w.ended {
		step, known := f.Step(row.Task)
		if row.How != control.EndDone || row.Number <= w.acked || !known || (step.Gang && f.endedElsewhere(row)) {
			continue
		}
		w.seeVoid(row, step, now)
	}
}

// seeVoid tells of an end that is lost, and of those of the same gang's run: the last of them
// that was left stood for all, also for those whose workers were lost before.
func (w *Worker) seeVoid(row control.EndedRow, step workload.Step, now time.Time) {
	id := row.Task
	first, end := id.Index, id.Index+1
	if step.Gang {
		first, end = 0, step.Count
	}
	for id.Index = first; id.Index < end; id.Index++ {
		w.see(Event{At: now, Worker: w.ID, Task: id, Run: row.Run, How: EndVoid})
	}
}

// endedElsewhere tells whether another member of a gang's run has ended on a worker that lives.
func (f *Fleet) endedElsewhere(row control.EndedRow) bool {
	for _, w := range f.Workers {
		for id, run := range w.barred {
			if !w.Dead && sameStep(id, row.Task) && run >= row.Run {
				return true
			}
		}
	}
	return false
}

// ClockMS is the worker's own clock.
func (w *Worker) ClockMS(now time.Time) int64 {
	return int64(float64(now.Sub(w.began).Milliseconds()) * w.Rate)
}

// Running counts the runs on the worker.
func (w *Worker) Running() int { return len(w.runs) }

func (w *Worker) sorted() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id.String() < out[b].id.String() })
	return out
}

// Held is what the runs on the worker hold of it.
func (w *Worker) Held() workload.Resources {
	held := workload.Resources{}
	for _, r := range w.runs {
		held = held.Add(r.step.Counted())
	}
	return held
}

func (w *Worker) free() workload.Resources { return w.Capacity.Sub(w.Held()) }

// admit applies an order's token; false means that a newer one was seen.
func (w *Worker) admit(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *Worker) extend(deadlineMS int64, now time.Time) {
	most := w.ClockMS(now) + w.fleet.Limits.HoldMax.Milliseconds()
	w.deadlineMS = max(w.deadlineMS, min(deadlineMS, most))
}

// Start carries a start out.
func (w *Worker) Start(o control.StartOrder, now time.Time) control.Answer {
	w.fleet.Advance(now)
	answer := control.Answer{ClockMS: w.ClockMS(now)}
	answer.Verdict = w.start(o, now)
	return answer
}

func (w *Worker) start(o control.StartOrder, now time.Time) control.Verdict {
	if w.Dead {
		// What was due until now has ended its life.
		return control.Unanswered
	}
	if !w.admit(o.Token) {
		return control.Fenced
	}
	if o.DeadlineMS <= w.ClockMS(now) {
		return control.Late
	}
	w.extend(o.DeadlineMS, now)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return control.Accepted
	}
	if o.Run <= w.barred[o.Task] {
		return control.Superseded
	}
	step, ok := w.fleet.Step(o.Task)
	if !ok {
		return control.Invalid
	}
	if !w.Unguarded && !step.Counted().Fits(w.free()) {
		return control.Full
	}
	r := &run{id: o.Task, run: o.Run, step: step, began: now, saved: o.Saved, work: w.fleet.Work(o.Task, o.Run, w.ID)}
	if o.Saved != "" {
		r.done = savedWork(o.Saved)
	}
	w.runs[o.Task] = r
	w.see(Event{At: now, Worker: w.ID, Task: o.Task, Run: o.Run, Spec: o.Spec, Saved: o.Saved, Token: o.Token})
	w.fleet.assemble(r, now)
	return control.Accepted
}

func (w *Worker) see(e Event) {
	if w.fleet.Seen != nil {
		w.fleet.Seen(e)
	}
}

// Stop carries a stop out.
func (w *Worker) Stop(o control.StopOrder, now time.Time) control.Answer {
	w.fleet.Advance(now)
	answer := control.Answer{Verdict: control.Accepted, ClockMS: w.ClockMS(now)}
	if !w.admit(o.Token) {
		answer.Verdict = control.Fenced
		return answer
	}
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopping.IsZero() {
		r.stopping = now.Add(w.fleet.Limits.StopTimeout)
	}
	return answer
}

// mostEnds is how many ends one answer lists.
const mostEnds = 500

// Hold carries a hold out; it does not wait.
func (w *Worker) Hold(o control.HoldOrder, now time.Time) control.HoldAnswer {
	w.fleet.Advance(now)
	answer := control.HoldAnswer{Verdict: control.Accepted, ClockMS: w.ClockMS(now), Born: w.Born}
	if !w.admit(o.Token) {
		answer.Verdict = control.Fenced
		return answer
	}
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS, now)
	}
	w.acked = max(w.acked, o.Cursor)
	for len(w.ended) > 0 && w.ended[0].Number <= w.acked {
		w.ended = w.ended[1:]
	}
	for _, r := range w.sorted() {
		answer.Running = append(answer.Running, control.RunningRow{Task: r.id, Run: r.run, Saved: r.saved, Percent: r.percent(now), Figure: w.figure(r)})
	}
	answer.Ended = append(answer.Ended, w.ended[:min(len(w.ended), mostEnds)]...)
	answer.More = len(w.ended) > mostEnds
	return answer
}

// Keep takes the lease and the token of a hold that waits for news.
func (w *Worker) Keep(o control.HoldOrder, now time.Time) {
	if w.admit(o.Token) && o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS, now)
	}
}

// Pace carries an order on pace out, at once.
func (w *Worker) Pace(o control.PaceOrder, now time.Time) control.Answer {
	w.fleet.Advance(now)
	answer := control.Answer{Verdict: control.Accepted, ClockMS: w.ClockMS(now)}
	if !w.admit(o.Token) {
		answer.Verdict = control.Fenced
		return answer
	}
	r := w.runs[o.Task]
	if r == nil || r.run != o.Run {
		answer.Verdict = control.Superseded
		return answer
	}
	r.slowed = whole - o.Percent
	return answer
}

// whole is all of a run's work or pace, in percent.
const whole = 100

// figure is the tail of a run that serves, and the processor use of any other.
func (w *Worker) figure(r *run) int {
	if r.work.TailMS == 0 {
		return int(r.step.Need.MilliCPU) * (whole - r.slowed) / whole
	}
	tail := r.work.TailMS
	for _, other := range w.runs {
		if other != r {
			tail += other.work.DisturbsMS * (whole - other.slowed) / whole
		}
	}
	return tail
}

// Tails lists the tails of the runs that serve on the worker.
func (w *Worker) Tails() []int {
	var out []int
	for _, r := range w.sorted() {
		if r.work.TailMS > 0 {
			out = append(out, w.figure(r))
		}
	}
	return out
}

// Slowed lists what orders on pace took away from each run that fills.
func (w *Worker) Slowed() []int {
	var out []int
	for _, r := range w.sorted() {
		if r.step.Fills {
			out = append(out, r.slowed)
		}
	}
	return out
}

func (r *run) progress(now time.Time) time.Duration {
	if r.working.IsZero() {
		return r.done
	}
	return r.done + now.Sub(r.working)
}

func (r *run) percent(now time.Time) int {
	if r.step.Perpetual && !r.working.IsZero() {
		return whole
	}
	if r.work.Hang || r.work.Takes <= 0 {
		return 0
	}
	if r.step.Gang && !r.working.IsZero() && r.worked(now) {
		return whole
	}
	return int(min(99, 100*r.progress(now)/r.work.Takes))
}

// Ended returns the ends that are listed now.
func (w *Worker) Ended() []control.EndedRow { return append([]control.EndedRow(nil), w.ended...) }

// Acked is the number of the last end that the worker was told to forget.
func (w *Worker) Acked() int64 { return w.acked }

// Void is the number of the last end that was listed before the worker's lease
// last lapsed. Noting such an end no longer counts.
func (w *Worker) Void() int64 { return w.void }
