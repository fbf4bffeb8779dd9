package service

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// A world is a pool of whole instances, with their readers, claims and books, in virtual
// time. Instances are lost, come back and are added, data centres are cut off, the log is
// slow, away, loses answers and drops its history, and workers carry orders out late, while
// jobs come. Held is what workers see: nothing runs twice, nothing that is done begins
// again once its end was taken note of, and all that was accepted ends.
type world struct {
	*pool
	// rng draws the jobs and the troubles, fate what becomes of each call.
	rng, fate *rand.Rand

	mu sync.Mutex
	// Until when a data centre reaches nothing outside of it; the log does not answer, or
	// refuses, an instance; the log is down for all; answers of a worker are lost.
	cut, deaf, refused, down, mute map[string]time.Time
	// loses is until when appends are lost, late at the most how long after they are done.
	loses time.Time
	late  time.Duration
	// slowOrders is until when orders are late, or lost.
	slowOrders time.Time
	// under are calls that are carried out later.
	under sync.WaitGroup

	// What workers saw, guarded by the pool's workers.
	running  map[workload.TaskID]map[string]int64
	ended    map[workload.TaskID]int64
	noted    map[workload.TaskID]bool
	again    map[worldRun]bool
	problems []string
	starts   int

	steps map[workload.JobID][]workload.Step
	names int
	// standbys is how many instances follow the plans, pace how often troubles come.
	standbys, pace int
	lines          *bytes.Buffer
	logs           []*events.Log
	lock           sync.Mutex
}

type worldRun struct {
	task workload.TaskID
	run  int64
}

const (
	worldInstances = 6
	worldWorkerN   = 12
	worldCentres   = 3
	worldLoad      = 22 * time.Second
	worldRest      = 45 * time.Second
)

var worldBounds = control.Bounds{
	Lease: 6 * time.Second, Authority: 6 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second,
	ReclaimWithin: 2700 * time.Millisecond, FarFactor: 3, Restore: 100 * time.Millisecond, Wait: time.Second,
}

func newWorld(t *testing.T, seed int64) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), fate: rand.New(rand.NewSource(seed + 1)),
		cut: map[string]time.Time{}, deaf: map[string]time.Time{}, refused: map[string]time.Time{}, down: map[string]time.Time{}, mute: map[string]time.Time{},
		running: map[workload.TaskID]map[string]int64{}, ended: map[workload.TaskID]int64{}, noted: map[workload.TaskID]bool{}, again: map[worldRun]bool{},
		steps: map[workload.JobID][]workload.Step{}, lines: &bytes.Buffer{},
	}
	w.pool = &pool{t: t, log: newShared(poolRate), workers: &poolWorkers{}}
	w.workers.fleet = &workertest.Fleet{
		Limits: workertest.Limits{HoldMax: worldBounds.Lease, StopTimeout: worldBounds.StopTimeout, GangTimeout: worldBounds.GangTimeout, CheckpointEvery: time.Second, Restore: worldBounds.Restore},
		Step:   w.step, Work: w.work, Seen: w.see,
	}
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	for i := range worldWorkerN {
		id := fmt.Sprintf("w%02d", i)
		w.workers.fleet.Add(id, capacity, 1-0.02*w.rng.Float64(), time.Now())
		value, err := json.Marshal(control.Listing{ID: id, Address: id, Service: "pool", DataCentre: worldCentre(i), Rack: fmt.Sprint(i / 4), Capacity: capacity})
		if err != nil {
			t.Fatal(err)
		}
		w.put(WorkerList, id, value)
	}
	w.put(Declarations, "config", []byte("{}"))
	w.standbys, w.pace = 1+w.rng.Intn(5), 1+w.rng.Intn(4)
	for range worldInstances {
		w.add()
	}
	return w
}

func worldCentre(i int) string { return fmt.Sprint("centre-", i%worldCentres) }

// add begins an instance of a new name.
func (w *world) add() {
	w.mu.Lock()
	w.names++
	n := w.names
	w.mu.Unlock()
	w.revive(fmt.Sprintf("edge-%02d", n), worldCentre(n))
}

// named is how many names were given to instances.
func (w *world) named() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.names
}

// Write keeps what an instance writes.
func (w *world) Write(line []byte) (int, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.lines.Write(line)
}

// revive begins an instance of a name.
func (w *world) revive(name, centre string) {
	lines := events.New(w, events.Fields{"instance": name}, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logs = append(w.logs, lines)
	w.begin(Settings{
		Instance: name, Address: name, Bounds: worldBounds, Patience: time.Second, Stale: 2 * time.Second, Stretch: 5 * time.Second,
		Power: 0.4, DataCentre: centre, Standbys: w.standbys,
	}, &worldLog{w, name, centre}, &worldWorkers{w, centre}, lines)
}

// is tells whether a trouble lasts.
func (w *world) is(until map[string]time.Time, what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(until[what])
}

func (w *world) last(until map[string]time.Time, what string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	until[what] = time.Now().Add(d)
}

// append is what becomes of an append: whether its answer is lost, and how late it is done.
func (w *world) append() (lost bool, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().Before(w.loses) || w.fate.Intn(100) >= 35 {
		return false, 0
	}
	return true, time.Duration(w.fate.Int63n(int64(w.late) + 1))
}

// order is what becomes of an order: whether it gets there and when, and whether its answer
// comes back.
func (w *world) order(centre, worker string) (there, answered bool, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	at := worldCentre(int(worker[1]-'0')*10 + int(worker[2]-'0'))
	if centre != at && (now.Before(w.cut[centre]) || now.Before(w.cut[at])) {
		return false, false, 0
	}
	if now.Before(w.mute[worker]) {
		return true, false, time.Millisecond
	}
	if now.Before(w.slowOrders) {
		switch w.fate.Intn(12) {
		case 0:
			return true, false, 2*time.Second + time.Duration(w.fate.Int63n(int64(10*time.Second)))
		case 1:
			return true, false, time.Millisecond
		case 2:
			return false, false, 0
		}
	}
	return true, true, time.Duration(1+w.fate.Intn(5)) * time.Millisecond
}

func (w *world) step(id workload.TaskID) (workload.Step, bool) {
	steps := w.steps[id.Job]
	if id.Step >= len(steps) {
		return workload.Step{}, false
	}
	return steps[id.Step], true
}

// work: a run's length and luck depend on the task and the run alone.
func (w *world) work(id workload.TaskID, run int64, _ string) workertest.Work {
	h := fnv.New64a()
	fmt.Fprint(h, id, run)
	n := h.Sum64()
	return workertest.Work{Takes: time.Duration(200+n%3000) * time.Millisecond, Fails: n/3000%20 == 0}
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// see holds what workers see against what must hold.
func (w *world) see(e workertest.Event) {
	if e.How != "" {
		delete(w.running[e.Task], e.Worker)
		if e.How == control.EndDone {
			w.ended[e.Task] = e.Run
		}
		return
	}
	w.starts++
	if len(w.running[e.Task]) > 0 {
		w.problem("%v runs twice: run %d on %s beside %v", e.Task, e.Run, e.Worker, w.running[e.Task])
	}
	if w.noted[e.Task] {
		w.problem("%v run %d begins on %s after its end was noted, token %d", e.Task, e.Run, e.Worker, e.Token)
	}
	if last := w.ended[e.Task]; last > 0 {
		w.again[worldRun{e.Task, last}] = true
	}
	if w.running[e.Task] == nil {
		w.running[e.Task] = map[string]int64{}
	}
	w.running[e.Task][e.Worker] = e.Run
}

// noteEnds notes the ends as done that a worker has been told to forget.
func (w *world) noteEnds(one *workertest.Worker, rows []control.EndedRow, cursor int64) {
	for _, row := range rows {
		if row.Number > max(cursor, one.Acked()) || row.How != control.EndDone || row.Number <= one.Void() {
			continue
		}
		step, ok := w.step(row.Task)
		if !ok {
			continue
		}
		id := row.Task
		first, end := id.Index, id.Index+1
		if step.Gang {
			first, end = 0, step.Count
		}
		for id.Index = first; id.Index < end; id.Index++ {
			w.noted[id] = true
		}
		if w.again[worldRun{row.Task, row.Run}] {
			w.problem("%v began again although its end was noted later", row.Task)
		}
	}
}

// submitSome hands a job in, at one instance after the other until one accepts it.
func (w *world) submitSome(n int) {
	id := workload.JobID(fmt.Sprintf("%016x", n))
	steps := make([]workload.Step, 1+w.rng.Intn(2))
	for s := range steps {
		steps[s] = workload.Step{Count: 1 + w.rng.Intn(6), Need: workload.Resources{MilliCPU: 3000, Accelerators: int64(1 + w.rng.Intn(4))}, EstimateMS: 1500, Gang: w.rng.Intn(3) == 0, Checkpoint: w.rng.Intn(2) == 0}
		if s > 0 {
			steps[s].DependsOn = []int{0}
		}
	}
	terms := poolTerms
	terms.Priority = w.rng.Intn(3)
	job := &workload.Job{ID: id, Queue: "q", Spec: "s", Steps: steps, AcceptedMS: time.Now().UnixMilli(), Terms: terms}
	w.workers.mu.Lock()
	w.steps[id] = steps
	w.workers.mu.Unlock()
	at := w.rng.Intn(100)
	w.under.Go(func() {
		for try := range 6 {
			living := w.living()
			if len(living) == 0 {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := living[(at+try)%len(living)].Submit(ctx, job)
			cancel()
			if err == nil {
				w.mu.Lock()
				w.jobs = append(w.jobs, job)
				w.mu.Unlock()
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// living lists the instances that were not killed.
func (w *world) living() (out []*poolInstance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.instances {
		if !one.killed {
			out = append(out, one)
		}
	}
	return out
}

// broken tells whether something was seen that must not be.
func (w *world) broken() bool {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	return len(w.problems) > 0
}

// play plays the world and returns what was broken.
func (w *world) play() []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clock sync.WaitGroup
	clock.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, 10*time.Millisecond)
			w.workers.mu.Lock()
			w.workers.fleet.Advance(time.Now())
			w.workers.mu.Unlock()
		}
	})
	time.Sleep(6 * time.Second)
	until := time.Now().Add(worldLoad)
	for n := 0; time.Now().Before(until) && !w.broken(); n++ {
		if n%3 == 0 {
			w.submitSome(n / 3)
		}
		if n%w.pace == 0 {
			w.disturb()
		}
		time.Sleep(200*time.Millisecond + w.span(200))
	}
	w.heal()
	w.awaitAll()
	cancel()
	clock.Wait()
	w.under.Wait()
	for _, one := range w.instances {
		one.stop()
	}
	for _, one := range w.logs {
		one.Close(time.Second)
	}
	return w.problems
}

// awaitAll waits until all jobs that were accepted have ended.
func (w *world) awaitAll() {
	until := time.Now().Add(worldRest)
	open := map[workload.JobID]bool{}
	for time.Now().Before(until) && !w.broken() {
		time.Sleep(time.Second)
		clear(open)
		w.mu.Lock()
		jobs := slices.Clone(w.jobs)
		w.mu.Unlock()
		for _, job := range jobs {
			if !w.over(job.ID) {
				open[job.ID] = true
			}
		}
		if len(open) == 0 {
			return
		}
	}
	if !w.broken() {
		w.workers.mu.Lock()
		w.problem("not ended: %v", open)
		w.workers.mu.Unlock()
	}
}

// over tells whether some instance shows a job as ended.
func (w *world) over(id workload.JobID) bool {
	for _, one := range w.living() {
		if e, ok := one.book.Get(id); ok && e.State.Final() {
			return true
		}
	}
	return false
}

var (
	worldSeeds = flag.Int("service.worlds", 16, "how many random worlds of whole instances are played")
	worldFirst = flag.Int64("service.seed", 0, "the seed of the first one")
	worldLines = flag.String("service.lines", "", "the folder for the logs of worlds that break")
)

func TestWholeInstancesUnderRandomTroubles(t *testing.T) {
	for n := range *worldSeeds {
		seed := *worldFirst + int64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed)
				problems := w.play()
				t.Logf("%d jobs, %d starts, %d terms", len(w.jobs), w.starts, bytes.Count(w.lines.Bytes(), []byte("planner-begins")))
				if len(problems) > 0 {
					t.Errorf("%d problems in %d starts: %v", len(problems), w.starts, problems[:min(3, len(problems))])
					if *worldLines != "" {
						_ = os.WriteFile(fmt.Sprintf("%s/%d.log", *worldLines, seed), w.lines.Bytes(), 0o600)
					}
				}
			})
		})
	}
}
