package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// trackedJob is a scheduled job with its progress and outcome.
type trackedJob struct {
	*scheduledJob
	objective time.Duration
	// failed counts the runs that failed by the job's own fault.
	failed map[taskIndex]int
	// startedAt is when the last task of the first step first started; notStarted counts the tasks
	// of that step that have not started.
	startedAt    time.Duration
	notStarted   int
	startedTasks map[workload.TaskID]bool
	acceptedAt   time.Duration
	// withinGuarantee is set while the job's account has not exceeded its guarantee since the job
	// was accepted.
	withinGuarantee bool
	waiting         bool
	cancelled       bool
	refused         bool
	finished        bool
	state           workload.State
	endedAt         time.Duration
}

type taskIndex struct{ step, index int }

// collector gathers the measurements of a simulation.
type collector struct {
	sim        *simulation
	open       int
	starts     int
	startTimes map[runKey]time.Duration
	// stopReasons is why runs were ordered to stop.
	stopReasons map[runKey]string
	wasted      map[string]float64
	redone      redoneWork
	claimed     map[domain.AccountID]int64
	gangs       map[*Class]gangStarts

	// Sums of the samples taken during the load: accelerators in use, free, and free but unusable
	// for a gang of half a rack.
	used, free, unusable float64
	series               Series
	nextSample           time.Duration
}

type runKey struct {
	task workload.TaskID
	run  int64
}

// Series holds samples over time, one per tenth of a second.
type Series struct {
	// Waiting is the number of jobs that have not started, Free the number of free accelerators,
	// Starts the number of runs started since the last sample.
	Waiting, Free, Starts []float64
}

const sampleInterval = 100 * time.Millisecond

func newCollector(sim *simulation) *collector {
	return &collector{sim: sim, startTimes: map[runKey]time.Duration{}, stopReasons: map[runKey]string{}, wasted: map[string]float64{}, claimed: map[domain.AccountID]int64{}, gangs: map[*Class]gangStarts{}}
}

func (m *collector) arrive(t *trackedJob) {
	m.open++
	t.waiting = true
}

func (m *collector) refuse(t *trackedJob) {
	t.refused = true
	m.finish(t)
}

func (m *collector) finish(t *trackedJob) {
	if t.finished {
		return
	}
	t.finished, t.waiting = true, false
	t.endedAt = m.sim.elapsed
	m.open--
	if t.class.Priority == 0 && t.acceptedAt > 0 {
		m.claimed[t.job.Account] -= t.job.ClaimAccelerators()
	}
}

func (m *collector) accept(t *trackedJob) {
	t.acceptedAt = m.sim.elapsed
	t.notStarted = t.job.Steps[0].Count
	t.startedTasks = map[workload.TaskID]bool{}
	t.failed = map[taskIndex]int{}
	if t.class.Priority > 0 {
		return
	}
	account := t.job.Account
	m.claimed[account] += t.job.ClaimAccelerators()
	t.withinGuarantee = m.claimed[account] <= m.guaranteed(account)
	if t.withinGuarantee {
		return
	}
	// The account exceeds its guarantee, so none of its waiting jobs counts as within it.
	for _, other := range m.sim.jobs {
		if other.job.Account == account && other.notStarted > 0 {
			other.withinGuarantee = false
		}
	}
}

func (m *collector) guaranteed(account domain.AccountID) int64 {
	for _, a := range m.sim.pattern.Accounts {
		if domain.AccountID(a.Name) == account {
			return a.Guaranteed
		}
	}
	return 0
}

func (m *collector) cancel(t *trackedJob) {
	t.cancelled = true
	m.finish(t)
}

// setState records the state of a job that callers see from now on.
func (m *collector) setState(t *trackedJob, state workload.State) {
	t.state = state
	if state.IsFinal() {
		m.finish(t)
	}
}

// recordStopReasons records why runs were ordered to stop.
func (m *collector) recordStopReasons(notes []control.Event) {
	for _, n := range notes {
		if n.Name != control.EventRunStopping {
			continue
		}
		for _, id := range control.StoppedTasks(n) {
			m.stopReasons[runKey{id, n.Run}] = n.Reason
		}
	}
}

// observe records the start or end of a run on a worker.
func (m *collector) observe(e workertest.Event) {
	name := runKey{e.Task, e.Run}
	t := m.sim.jobs[e.Task.Job]
	if e.End == "" {
		m.startTimes[name] = m.sim.elapsed
		m.redone.start(e)
		m.series.countStart()
		if e.Task.Step == 0 && !t.startedTasks[e.Task] {
			t.startedTasks[e.Task] = true
			if t.notStarted--; t.notStarted == 0 {
				t.startedAt = m.sim.elapsed
				t.waiting = false
			}
		}
		return
	}
	startedAt := m.startTimes[name]
	delete(m.startTimes, name)
	step := t.job.Steps[e.Task.Step]
	switch e.End {
	case control.EndDone, workertest.EndVoid:
		return
	case control.EndFailed:
		m.countFailure(t, e, step)
		return
	}
	reason := string(e.End)
	if stopReason, ok := m.stopReasons[name]; ok {
		reason = stopReason
	}
	m.redone.end(m.sim, e, step, m.sim.elapsed-startedAt, reason)
	m.wasted[reason] += m.wastedWork(m.sim.elapsed-startedAt, step)
}

// countFailure counts a failure of the job itself. Failures on a grey worker count as wasted work
// instead.
func (m *collector) countFailure(t *trackedJob, e workertest.Event, step workload.Step) {
	index := e.Task.Index
	if step.Gang {
		index = 0
	}
	if m.sim.elapsed >= m.sim.workers[e.Worker].greyUntil {
		t.failed[taskIndex{e.Task.Step, index}]++
		return
	}
	m.wasted["grey"] += m.wastedWork(greyRunTime, step)
}

// wastedWork returns the work in core-seconds that was lost with a run.
func (m *collector) wastedWork(ran time.Duration, step workload.Step) float64 {
	if step.Checkpoint {
		ran = min(ran, ms(m.sim.pattern.Bounds.CheckpointMS))
	}
	return ran.Seconds() * step.Need.CoreEquivalent()
}

// sample records use and free capacity, at most once per sample interval, before time advances to
// the next event.
func (m *collector) sample(next time.Duration) {
	span := (next - m.sim.elapsed).Seconds()
	if span <= 0 || m.sim.elapsed > seconds(m.sim.pattern.Seconds) || m.sim.elapsed < m.nextSample {
		return
	}
	m.nextSample = m.sim.elapsed + sampleInterval
	free, unusable, used := m.acceleratorUse()
	m.used += used
	m.free += free
	m.unusable += unusable
	waiting := 0.0
	for _, t := range m.sim.jobs {
		if t.waiting {
			waiting++
		}
	}
	m.series.sample(waiting, free)
}

// acceleratorUse returns the number of free accelerators, of those in racks in which fewer than
// half of the rack's accelerators are free, and of those in use.
func (m *collector) acceleratorUse() (free, unusable, used float64) {
	racks := map[string]int64{}
	for _, id := range m.sim.workerIDs {
		w := m.sim.workers[id]
		if w.lost {
			continue
		}
		inUse := m.sim.fleet.Workers[id].Allocated().Accelerators
		racks[w.rack] += m.sim.pattern.Workers.Accelerators - inUse
		used += float64(inUse)
	}
	half := m.sim.pattern.Workers.Accelerators * int64(m.sim.pattern.Workers.PerRack) / 2
	for _, n := range racks {
		free += float64(n)
		if n < half {
			unusable += float64(n)
		}
	}
	return free, unusable, used
}

func (s *Series) countStart() {
	if n := len(s.Starts); n > 0 {
		s.Starts[n-1]++
	}
}

func (s *Series) sample(waiting, free float64) {
	s.Waiting = append(s.Waiting, waiting)
	s.Free = append(s.Free, free)
	s.Starts = append(s.Starts, 0)
}

// newHistogram returns a histogram of milliseconds up to one hour, with two significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Milliseconds(), 2)
}
