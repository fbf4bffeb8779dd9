package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// tracked is an arrival with what became of it.
type tracked struct {
	*arrival
	objective time.Duration
	// failed counts runs that failed by the job's own fault.
	failed map[taskOf]int
	// began is when the last task of the first step first began; left counts the
	// tasks that have not.
	began    time.Duration
	left     int
	begun    map[workload.TaskID]bool
	accepted time.Duration
	// entitled jobs are within their account's guarantee, all the while.
	entitled  bool
	waiting   bool
	cancelled bool
	refused   bool
	settled   bool
	state     workload.State
	ended     time.Duration
}

type taskOf struct{ step, index int }

// measure adds up what happens in a world.
type measure struct {
	w      *world
	open   int
	starts int
	begins map[runName]time.Duration
	// stopping is why runs were told to stop.
	stopping map[runName]string
	thrown   map[string]float64
	claims   map[domain.AccountID]int64

	// Time averages over the load: accelerators in use, free, and free where they
	// are of no use to a gang of half a rack.
	used, free, unusable float64
	series               Series
	sampled              time.Duration
}

type runName struct {
	task workload.TaskID
	run  int64
}

// Series are samples over time, each tenth of a second.
type Series struct {
	// Waiting is the number of jobs that have not begun, Free the accelerators
	// that nothing holds, Starts the runs that began since the last sample.
	Waiting, Free, Starts []float64
}

const sampleEvery = 100 * time.Millisecond

func newMeasure(w *world) *measure {
	return &measure{w: w, begins: map[runName]time.Duration{}, stopping: map[runName]string{}, thrown: map[string]float64{}, claims: map[domain.AccountID]int64{}}
}

func (m *measure) arrive(t *tracked) {
	m.open++
	t.waiting = true
}

func (m *measure) refuse(t *tracked) {
	t.refused = true
	m.settle(t)
}

func (m *measure) settle(t *tracked) {
	if t.settled {
		return
	}
	t.settled, t.waiting = true, false
	t.ended = m.w.at
	m.open--
	if t.class.Priority == 0 && t.accepted > 0 {
		m.claims[t.job.Account] -= t.job.ClaimAccelerators()
	}
}

func (m *measure) accept(t *tracked) {
	t.accepted = m.w.at
	t.left = t.job.Steps[0].Count
	t.begun = map[workload.TaskID]bool{}
	t.failed = map[taskOf]int{}
	if t.class.Priority > 0 {
		return
	}
	account := t.job.Account
	m.claims[account] += t.job.ClaimAccelerators()
	t.entitled = m.claims[account] <= m.guaranteed(account)
	if t.entitled {
		return
	}
	// The account has left its guarantee: none of its waiting jobs is entitled.
	for _, other := range m.w.jobs {
		if other.job.Account == account && other.left > 0 {
			other.entitled = false
		}
	}
}

func (m *measure) guaranteed(account domain.AccountID) int64 {
	for _, a := range m.w.p.Accounts {
		if domain.AccountID(a.Name) == account {
			return a.Guaranteed
		}
	}
	return 0
}

func (m *measure) cancel(t *tracked) {
	t.cancelled = true
	m.settle(t)
}

// shown takes the state that callers are shown from here on.
func (m *measure) shown(t *tracked, state workload.State) {
	t.state = state
	if state.Final() {
		m.settle(t)
	}
}

// notes takes why runs were stopped.
func (m *measure) notes(notes []control.Note) {
	for _, n := range notes {
		if n.Event != control.EventRunStopping {
			continue
		}
		if id, err := workload.ParseTaskID(n.Task); err == nil {
			m.stopping[runName{id, n.Run}] = n.Why
		}
	}
}

// see takes what workers began and ended.
func (m *measure) see(e workertest.Event) {
	name := runName{e.Task, e.Run}
	t := m.w.jobs[e.Task.Job]
	if e.How == "" {
		m.begins[name] = m.w.at
		m.series.began()
		if e.Task.Step == 0 && !t.begun[e.Task] {
			t.begun[e.Task] = true
			if t.left--; t.left == 0 {
				t.began = m.w.at
				t.waiting = false
			}
		}
		return
	}
	began := m.begins[name]
	delete(m.begins, name)
	step := t.job.Steps[e.Task.Step]
	switch e.How {
	case control.EndDone, workertest.EndVoid:
		return
	case control.EndFailed:
		m.fail(t, e, step)
		return
	}
	why := string(e.How)
	if w, ok := m.stopping[name]; ok {
		why = w
	}
	m.thrown[why] += m.lost(m.w.at-began, step)
}

// fail counts a failure that is the job's own.
func (m *measure) fail(t *tracked, e workertest.Event, step workload.Step) {
	index := e.Task.Index
	if step.Gang {
		index = 0
	}
	if m.w.at >= m.w.workers[e.Worker].greyUntil {
		t.failed[taskOf{e.Task.Step, index}]++
		return
	}
	m.thrown["grey"] += m.lost(greyTime, step)
}

// lost is the work in core-seconds that went with a run.
func (m *measure) lost(ran time.Duration, step workload.Step) float64 {
	if step.Checkpoint {
		ran = min(ran, ms(m.w.p.Bounds.CheckpointMS))
	}
	return ran.Seconds() * step.Need.CoreEquivalent()
}

// pass adds up what is used and free until the next event.
func (m *measure) pass(next time.Duration) {
	span := (next - m.w.at).Seconds()
	if span <= 0 || m.w.at > seconds(m.w.p.Seconds) || m.w.at < m.sampled {
		return
	}
	m.sampled = m.w.at + sampleEvery
	free, unusable, used := m.room()
	m.used += used
	m.free += free
	m.unusable += unusable
	waiting := 0.0
	for _, t := range m.w.jobs {
		if t.waiting {
			waiting++
		}
	}
	m.series.sample(waiting, free)
}

// room returns the accelerators that are free, those of them in racks with less
// than half of a rack free, and those in use.
func (m *measure) room() (free, unusable, used float64) {
	racks := map[string]int64{}
	for _, id := range m.w.names {
		h := m.w.workers[id]
		if h.gone {
			continue
		}
		held := m.w.fleet.Workers[id].Held().Accelerators
		racks[h.rack] += m.w.p.Workers.Accelerators - held
		used += float64(held)
	}
	half := m.w.p.Workers.Accelerators * int64(m.w.p.Workers.PerRack) / 2
	for _, n := range racks {
		free += float64(n)
		if n < half {
			unusable += float64(n)
		}
	}
	return free, unusable, used
}

func (s *Series) began() {
	if n := len(s.Starts); n > 0 {
		s.Starts[n-1]++
	}
}

func (s *Series) sample(waiting, free float64) {
	s.Waiting = append(s.Waiting, waiting)
	s.Free = append(s.Free, free)
	s.Starts = append(s.Starts, 0)
}

// newHistogram holds milliseconds up to an hour at two digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Milliseconds(), 2)
}
