package control_test

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// The world plays planners, one after the other and sometimes two at once,
// against a model of workers over a network that delays, loses and repeats
// orders, and holds what workers saw against what must always hold.

var worldLimits = workertest.Limits{
	HoldMax: 6 * time.Second, StopTimeout: 300 * time.Millisecond, GangTimeout: 3 * time.Second,
	CheckpointEvery: 500 * time.Millisecond, Restore: 100 * time.Millisecond,
}

var worldBounds = control.Bounds{
	Lease: worldLimits.HoldMax, Heartbeat: worldHeartbeat, Authority: 2 * time.Second, StopTimeout: worldLimits.StopTimeout,
	GangTimeout: worldLimits.GangTimeout, ReclaimWithin: 3 * time.Second, Restore: worldLimits.Restore,
	Wait: time.Second, Pace: 100 * time.Millisecond, Harm: 4 * time.Second,
}

const worldAttempts = 3

type world struct {
	rng     *rand.Rand
	now     time.Time
	fleet   *workertest.Fleet
	jobs    map[workload.JobID]*workload.Job
	done    map[workload.JobID]bool
	log     map[string][]byte
	order   []string
	token   int64
	cancels map[workload.JobID]time.Time
	seats   []*seat
	mail    []letter
	cut     map[string]time.Time
	// leaving are workers that drain, and the time that they stay.
	leaving map[string]int64
	faulty  bool
	// What workers saw.
	running  map[workload.TaskID]map[string]int64
	ended    map[workload.TaskID]int64
	notedEnd map[workload.TaskID]bool
	fails    map[workload.TaskID]int
	// again holds tasks that began after one of their runs had ended as done.
	again map[runOf]bool
	// void holds runs whose ends were lost with their workers.
	void     map[runOf]bool
	starts   int
	problems []string
	trace    func(format string, args ...any)
	mutant   mutant
	lives    lives
	rooms    rooms
	// late are the starts that are carried out seconds after they were given up, by worker
	// and task.
	late map[string]bool
	// restarts is until when the entry of a worker that starts again stays in the list
	// without it, shownBorn the birth that its entry shows.
	restarts  map[string]time.Time
	shownBorn map[string]int64
	// unsettled are the runs that a planner told of as ones that nothing settles.
	unsettled []string
	// cursors are the highest that went to each worker, for a mutant.
	cursors map[string]int64
	// waits tells that holds wait for news.
	waits bool
	// registry is the list where it is written by heartbeats and read late; nil is a list that
	// is always as things are.
	registry *registry
	// left counts the workers that were found to have left.
	left int
	// writeMost is the longest that the log takes to answer a planner; 0 is at once.
	writeMost time.Duration
	// restarted is told of each later life; nil tells nobody.
	restarted func(*workertest.Worker)
	// unanswered are the jobs whose starts get no answer.
	unanswered map[workload.JobID]bool
	// delays are how long the starts of some jobs are on their way; they get no answer.
	delays map[workload.JobID]time.Duration
}

type seat struct {
	core  *control.Core
	lines lines
	token int64
	// ordered is the token that its last start carried.
	ordered int64
	written time.Time
	frozen  time.Time
	// writing is until when the log has not answered.
	writing time.Time
	dead    bool
	// gaps are those of the registry that it was told of.
	gaps int
}

type runOf struct {
	task workload.TaskID
	run  int64
}

// letter is something on its way.
type letter struct {
	at   time.Time
	what func()
}

func newWorld(seed int64, faulty bool) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0), faulty: faulty,
		jobs: map[workload.JobID]*workload.Job{}, done: map[workload.JobID]bool{}, log: map[string][]byte{},
		cancels: map[workload.JobID]time.Time{}, cut: map[string]time.Time{},
		running: map[workload.TaskID]map[string]int64{}, ended: map[workload.TaskID]int64{},
		notedEnd: map[workload.TaskID]bool{}, fails: map[workload.TaskID]int{}, again: map[runOf]bool{}, void: map[runOf]bool{}, late: map[string]bool{},
		restarts: map[string]time.Time{}, shownBorn: map[string]int64{}, cursors: map[string]int64{},
	}
	w.fleet = &workertest.Fleet{Limits: worldLimits, Step: w.step, Work: w.work, Seen: w.see, Crashed: w.crashed}
	for i := range 6 {
		rate := 1 - 0.02*w.rng.Float64()
		id := fmt.Sprintf("w%d", i)
		w.shownBorn[id] = w.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, rate, w.now).Born
	}
	return w
}

func (w *world) step(id workload.TaskID) (workload.Step, bool) {
	j := w.jobs[id.Job]
	if j == nil || id.Step >= len(j.Steps) {
		return workload.Step{}, false
	}
	return j.Steps[id.Step], true
}

// work: a run's length and luck depend on the task and the run alone.
func (w *world) work(id workload.TaskID, run int64, _ string) workertest.Work {
	r := rand.New(rand.NewSource(int64(len(id.Job))*7919 + int64(id.Step)*31 + int64(id.Index) + run*104729 + int64(id.Job[0])))
	takes := time.Duration(200+r.Intn(2500)) * time.Millisecond
	return workertest.Work{Takes: takes, Fails: r.Intn(10) == 0}
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf("%v ", w.now.Sub(time.Unix(1_000_000, 0)))+fmt.Sprintf(format, args...))
}

// see checks each beginning and end against what must hold.
func (w *world) see(e workertest.Event) {
	if e.How == "" {
		w.seeStart(e)
		return
	}
	delete(w.running[e.Task], e.Worker)
	switch e.How {
	case control.EndFailed:
		w.fails[e.Task]++
	case control.EndDone:
		w.ended[e.Task] = e.Run
	case workertest.EndVoid:
		// Nobody can take note of it any more. A late order may begin a run of its number on
		// the next life, whose end is another one.
		w.void[runOf{e.Task, e.Run}] = true
	}
}

func (w *world) seeStart(e workertest.Event) {
	w.starts++
	w.seeStartAfterCrashes(e.Task)
	w.seeRoom(e)
	j := w.jobs[e.Task.Job]
	if len(w.running[e.Task]) > 0 {
		w.problem("%v runs twice: run %d on %s beside %v", e.Task, e.Run, e.Worker, w.running[e.Task])
	}
	if w.notedEnd[e.Task] {
		w.problem("%v run %d begins after its end was noted", e.Task, e.Run)
	}
	if last := (runOf{e.Task, w.ended[e.Task]}); last.run > 0 && !w.void[last] {
		w.again[runOf{e.Task, w.ended[e.Task]}] = true
	}
	if w.running[e.Task] == nil {
		w.running[e.Task] = map[string]int64{}
	}
	w.running[e.Task][e.Worker] = e.Run
	if e.Spec != j.Spec {
		w.problem("%v begins with another spec", e.Task)
	}
	for _, d := range j.Steps[e.Task.Step].DependsOn {
		for i := range j.Steps[d].Count {
			if w.ended[workload.TaskID{Job: j.ID, K: e.Task.K, Step: d, Index: i}] == 0 {
				w.problem("%v begins before step %d is done", e.Task, d)
			}
		}
	}
	if at, ok := w.cancels[j.ID]; ok && w.now.Sub(at) > 20*time.Second {
		w.problem("%v begins long after its cancel", e.Task)
	}
	counted := e.Task
	if !j.Steps[e.Task.Step].Gang && w.fails[counted] >= worldAttempts {
		w.problem("%v begins after %d failures", e.Task, w.fails[counted])
	}
}

func jobName(i int) workload.JobID { return workload.JobID(fmt.Sprintf("%c%015x", 'a'+i%6, i)) }

func (w *world) submit(i int) {
	id := jobName(i)
	j := &workload.Job{ID: id, Queue: "q", Spec: string(id), AcceptedMS: w.now.UnixMilli(), Terms: workload.Terms{Priority: w.rng.Intn(3), Attempts: worldAttempts, Stretch: 3, TargetMS: 1000}}
	steps := 1 + w.rng.Intn(2)
	for s := range steps {
		step := workload.Step{Count: 1 + w.rng.Intn(4), Need: workload.Resources{MilliCPU: 2000, MemoryMiB: 4000, Accelerators: int64(1 + w.rng.Intn(4))}, EstimateMS: 1000}
		step.Gang = w.rng.Intn(2) == 0 || (w.lives.gangs && w.lives.after[id] > 0)
		step.Checkpoint = w.rng.Intn(2) == 0
		step.SameRack = w.rng.Intn(2) == 0
		if s > 0 {
			step.DependsOn = []int{0}
		}
		j.Steps = append(j.Steps, step)
	}
	w.jobs[id] = j
	w.order = append(w.order, string(id))
}

func (w *world) entry(id workload.JobID) workload.Entry {
	_, cancelled := w.cancels[id]
	return workload.Entry{Job: w.jobs[id], Cancelled: cancelled, Progress: w.log[workload.ProgressKey(id)]}
}

// claim seats a new planner. Those before it go on until they notice.
func (w *world) claim(mutate func(*control.Core)) {
	if !w.mutant.sameToken || w.token == 0 {
		w.token++
	}
	s := &seat{core: control.New(w.bounds(), w.token, w.now), token: w.token, written: w.now}
	if mutate != nil {
		mutate(s.core)
	}
	s.core.Configure(control.Configuration{Version: 1, Guaranteed: map[domain.AccountID]int64{"": 16}})
	for _, id := range w.order {
		s.core.Adopt(workload.JobID(id), w.entry(workload.JobID(id)))
	}
	w.seats = append(w.seats, s)
}

func (w *world) listings() []control.Listing {
	var out []control.Listing
	ids := make([]string, 0, len(w.fleet.Workers))
	for id := range w.fleet.Workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for i, id := range ids {
		worker := w.fleet.Workers[id]
		if worker.Dead && !w.lives.lingers(id, w.now) && !w.now.Before(w.restarts[id]) {
			continue
		}
		born := worker.Born
		if shown, restarts := w.shownBorn[id]; restarts {
			born = shown
		}
		address, rack := w.lives.place(id, fmt.Sprintf("r%d", i/3))
		out = append(out, control.Listing{ID: id, Address: address, Rack: rack, Capacity: w.rooms.shown(id, worker.Capacity, w.now), ClockMS: worker.ClockMS(w.now) - 300, Draining: w.leaving[id] > 0, RemainingMS: w.leaving[id], Born: born})
	}
	return out
}

// play runs a planner's round: decide, write, order.
func (w *world) play(s *seat) {
	if s.dead || w.now.Before(s.frozen) || s.core.Deposed() {
		return
	}
	if w.now.Before(s.writing) {
		w.orders(s)
		return
	}
	for _, id := range w.order {
		s.core.Adopt(workload.JobID(id), w.entry(workload.JobID(id)))
	}
	w.takeList(s)
	s.core.Round(w.now, w.now.UnixMilli())
	records := s.core.Changes()
	if s.token != w.token && !w.mutant.openLog {
		// The log refuses its writes; it stops here, but what it sent is under way.
		s.dead = true
		return
	}
	for _, r := range records {
		if w.mutant.noLog {
			continue
		}
		if w.mutant.lateLog {
			w.later(time.Second, func() { w.log[r.Key] = r.Value })
			continue
		}
		w.log[r.Key] = w.mutant.record(r.Value)
	}
	s.written = w.now
	if takes := w.logTakes(); takes > 0 {
		s.writing = w.now.Add(takes)
		w.later(takes, func() { w.deliver(s, func() { w.release(s) }) })
		return
	}
	w.release(s)
}

// release orders what the log has taken.
func (w *world) release(s *seat) {
	if s.dead || s.core.Deposed() {
		return
	}
	w.takeList(s)
	for _, o := range s.core.Persisted(w.now) {
		w.sendStart(s, o)
	}
	w.orders(s)
}

func (w *world) orders(s *seat) {
	for _, o := range s.core.Due(w.now) {
		w.sendStart(s, o)
	}
	for _, o := range s.core.Stops() {
		w.sendStop(s, o)
	}
	for _, o := range s.core.Paces() {
		w.sendPace(s, o)
	}
	for _, id := range s.core.NeedsHold(w.now) {
		if o, ok := s.core.Hold(id, w.now); ok {
			w.sendHold(s, o)
		}
	}
	for _, n := range s.core.Notes() {
		if n.Event == control.EventRunUnsettled {
			w.unsettled = append(w.unsettled, fmt.Sprintf("%s %s run %d %s", n.Task, n.Worker, n.Run, n.Detail))
		}
		w.seeGone(n)
		if w.trace != nil {
			w.trace("token %d: %s %s %s %s run %d %s", s.token, n.Event, n.Task, n.Worker, n.Why, n.Run, n.Detail)
		}
	}
}

// tick moves time on, delivers what is due and lets planners play.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	w.fleet.Advance(w.now)
	w.keepRegistry()
	due := w.mail
	w.mail = nil
	sort.SliceStable(due, func(a, b int) bool { return due[a].at.Before(due[b].at) })
	for _, l := range due {
		if l.at.After(w.now) {
			w.mail = append(w.mail, l)
			continue
		}
		l.what()
	}
	for _, s := range w.seats {
		w.play(s)
	}
}

// disturb brings one of the troubles about.
func (w *world) disturb(mutate func(*control.Core)) {
	switch w.rng.Intn(40) {
	case 0:
		w.claim(mutate)
	case 1:
		s := w.seats[len(w.seats)-1]
		s.frozen = w.now.Add(time.Duration(w.rng.Intn(6000)) * time.Millisecond)
		w.later(time.Duration(500+w.rng.Intn(3000))*time.Millisecond, func() { w.claim(mutate) })
	case 2:
		w.seats[len(w.seats)-1].dead = true
		w.later(time.Duration(100+w.rng.Intn(2000))*time.Millisecond, func() { w.claim(mutate) })
	case 3:
		w.cut[w.anyWorker()] = w.now.Add(time.Duration(w.rng.Intn(9000)) * time.Millisecond)
	case 4:
		if w.rng.Intn(4) == 0 {
			w.fleet.Kill(w.anyWorker(), w.now)
			n := len(w.fleet.Workers)
			w.fleet.Add(fmt.Sprintf("w%d", n), workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 0.99, w.now)
		}
	case 5:
		if len(w.order) > 0 {
			id := workload.JobID(w.order[w.rng.Intn(len(w.order))])
			if _, ok := w.cancels[id]; !ok {
				w.cancels[id] = w.now
			}
		}
	}
}

func (w *world) anyWorker() string {
	ids := make([]string, 0, len(w.fleet.Workers))
	for id := range w.fleet.Workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids[w.rng.Intn(len(ids))]
}

// run plays a world of some steps, then a calm while in which all must end.
func runWorld(seed int64, faulty bool, mutate func(*control.Core)) *world {
	w := newWorld(seed, faulty)
	w.playAll(mutate)
	return w
}

// steps is the length of a world.
const steps = 600

func (w *world) playAll(mutate func(*control.Core)) {
	w.claim(mutate)
	for i := range steps {
		if i%25 == 0 && i < steps*3/4 {
			w.submit(i / 25)
		}
		if w.faulty && i%10 == 0 {
			w.disturb(mutate)
		}
		w.changeRooms()
		w.tick(time.Duration(10+w.rng.Intn(60)) * time.Millisecond)
		if len(w.problems) > 0 {
			return
		}
	}
	w.calm(mutate)
}

func (w *world) calm(mutate func(*control.Core)) {
	w.faulty = false
	w.cut = map[string]time.Time{}
	w.calmRegistry()
	w.wholeRooms()
	w.claim(mutate)
	for range 3000 {
		w.tick(40 * time.Millisecond)
		if len(w.problems) > 0 || w.allOver() {
			return
		}
	}
	w.problem("jobs have not ended: %v", w.open())
}

func (w *world) allOver() bool { return len(w.open()) == 0 }

func (w *world) open() []string {
	var out []string
	book := workload.NewBook()
	for _, id := range w.order {
		raw := w.log[workload.ProgressKey(workload.JobID(id))]
		if raw == nil {
			out = append(out, id)
			continue
		}
		if err := book.Fold(0, workload.ProgressKey(workload.JobID(id)), raw); err != nil {
			out = append(out, id+": "+err.Error())
			continue
		}
		w.foldAccepted(book, id)
		e, _ := book.Get(workload.JobID(id))
		if !e.State.Final() {
			out = append(out, id+" "+string(e.State))
		}
	}
	return out
}

// state is a job's, as its record shows it.
func (w *world) state(id workload.JobID) workload.State {
	for _, open := range w.open() {
		if len(open) >= 16 && workload.JobID(open[:16]) == id {
			return workload.Running
		}
	}
	book := workload.NewBook()
	if err := book.Fold(0, workload.ProgressKey(id), w.log[workload.ProgressKey(id)]); err != nil {
		return ""
	}
	w.foldAccepted(book, string(id))
	e, _ := book.Get(id)
	return e.State
}

func (w *world) foldAccepted(book *workload.Book, id string) {
	value := []byte(`{"id":"` + id + `","queue":"q"}`)
	_ = book.Fold(0, workload.AcceptedKey(workload.JobID(id)), value)
}

func TestTasksRunOnceInOrderAndEndUnderRandomFaults(t *testing.T) {
	worlds, starts := 150, 0
	if testing.Short() {
		worlds = 20
	}
	for seed := range worlds {
		w := runWorld(int64(seed), true, nil)
		starts += w.starts
		if len(w.problems) > 0 {
			t.Fatalf("seed %d: %v", seed, w.problems)
		}
	}
	t.Logf("%d worlds, %d starts", worlds, starts)
}

func TestCalmWorldsEndWithoutWaste(t *testing.T) {
	for seed := range 20 {
		w := runWorld(int64(seed), false, nil)
		if len(w.problems) > 0 {
			t.Fatalf("seed %d: %v", seed, w.problems)
		}
	}
}

// bounds are those of the world, or of a mutant.
func (w *world) bounds() control.Bounds {
	b := worldBounds
	b.Lease -= w.mutant.longer
	if w.mutant.heartbeats > 0 {
		b.Heartbeat *= w.mutant.heartbeats
	}
	return b
}
