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

// world is a pool of complete instances in virtual time. While jobs are submitted, instances
// are killed, restarted and added, data centres are cut off, the log is slow or unavailable,
// loses answers and drops its history, and workers execute orders late. The test checks what
// the workers observe: no task runs twice at the same time, no task that is done starts again
// once its end was acknowledged, and every accepted job ends.
type world struct {
	*pool
	// rng draws the jobs and the faults, callRNG the outcome of each call.
	rng, callRNG *rand.Rand

	mu sync.Mutex
	// Each map holds the end of a fault: a data centre reaches nothing outside of it; the log
	// does not answer an instance; the log refuses an instance; the log is down for all; the
	// answers of a worker are lost.
	cutOff, unanswered, refused, down, answersLost map[string]time.Time
	// appendsLostUntil is the end of the time in which answers to appends are lost;
	// maxAppendDelay limits how much later such an append is carried out.
	appendsLostUntil time.Time
	maxAppendDelay   time.Duration
	// ordersLateUntil is the end of the time in which orders are late or lost.
	ordersLateUntil time.Time
	// background counts the calls that are carried out later.
	background sync.WaitGroup

	// What the workers observed, guarded by the mutex of the pool's workers.
	running            map[workload.TaskID]map[string]int64
	ended              map[workload.TaskID]int64
	acknowledged       map[workload.TaskID]bool
	restartedAfterDone map[worldRun]bool
	violations         []string
	starts             int

	steps     map[workload.JobID][]workload.Step
	nameCount int
	// standbys is the number of instances that follow the plans. A fault is injected at every
	// faultInterval-th step.
	standbys, faultInterval int
	output                  *bytes.Buffer
	logs                    []*events.Log
	outputMu                sync.Mutex
}

type worldRun struct {
	task workload.TaskID
	run  int64
}

const (
	worldInstances   = 6
	worldWorkerCount = 12
	worldCentres     = 3
	worldLoadTime    = 22 * time.Second
	worldSettleTime  = 45 * time.Second
)

var worldBounds = control.Bounds{
	Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, Horizon: 8 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second,
	ReclaimWithin: 2700 * time.Millisecond, RemoteFactor: 3, RestoreCost: 100 * time.Millisecond, PollWait: time.Second,
}

func newWorld(t *testing.T, seed int64) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), callRNG: rand.New(rand.NewSource(seed + 1)),
		cutOff: map[string]time.Time{}, unanswered: map[string]time.Time{}, refused: map[string]time.Time{}, down: map[string]time.Time{}, answersLost: map[string]time.Time{},
		running: map[workload.TaskID]map[string]int64{}, ended: map[workload.TaskID]int64{}, acknowledged: map[workload.TaskID]bool{}, restartedAfterDone: map[worldRun]bool{},
		steps: map[workload.JobID][]workload.Step{}, output: &bytes.Buffer{},
	}
	w.pool = &pool{t: t, log: newSharedLog(poolReadRate), workers: &poolWorkers{}}
	w.workers.fleet = &workertest.Fleet{
		Limits: workertest.Limits{MaxLease: worldBounds.Lease, StopTimeout: worldBounds.StopTimeout, GangTimeout: worldBounds.GangTimeout, CheckpointEvery: time.Second, Restore: worldBounds.RestoreCost},
		Step:   w.step, Work: w.work, OnEvent: w.observe,
	}
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	for i := range worldWorkerCount {
		id := fmt.Sprintf("w%02d", i)
		w.workers.fleet.Add(id, capacity, 1-0.02*w.rng.Float64(), time.Now())
		value, err := json.Marshal(control.Listing{ID: id, Address: id, Service: "pool", DataCentre: worldCentre(i), Rack: fmt.Sprint(i / 4), Capacity: capacity})
		if err != nil {
			t.Fatal(err)
		}
		w.put(WorkerList, id, value)
	}
	w.put(Declarations, "config", []byte("{}"))
	w.standbys, w.faultInterval = 1+w.rng.Intn(5), 1+w.rng.Intn(4)
	for range worldInstances {
		w.startNew()
	}
	return w
}

func worldCentre(i int) string { return fmt.Sprint("centre-", i%worldCentres) }

// startNew starts an instance with a new name.
func (w *world) startNew() {
	w.mu.Lock()
	w.nameCount++
	n := w.nameCount
	w.mu.Unlock()
	w.startNamed(fmt.Sprintf("edge-%02d", n), worldCentre(n))
}

// namesUsed returns the number of names that were given to instances.
func (w *world) namesUsed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nameCount
}

// Write collects the log output of the instances.
func (w *world) Write(line []byte) (int, error) {
	w.outputMu.Lock()
	defer w.outputMu.Unlock()
	return w.output.Write(line)
}

// startNamed starts an instance with the given name.
func (w *world) startNamed(name, centre string) {
	eventLog := events.New(w, events.Fields{"instance": name}, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logs = append(w.logs, eventLog)
	w.startInstance(Settings{
		Instance: name, Address: name, Bounds: worldBounds, PlannerTimeout: time.Second, StaleAfter: 2 * time.Second, PartialOutageGrace: 5 * time.Second,
		EffectiveCores: 0.4, DataCentre: centre, Standbys: w.standbys,
	}, &worldLog{w, name, centre}, &worldWorkers{w, centre}, eventLog)
}

// isActive reports whether a fault is still active.
func (w *world) isActive(until map[string]time.Time, key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(until[key])
}

// setFault makes a fault active for a time.
func (w *world) setFault(until map[string]time.Time, key string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	until[key] = time.Now().Add(d)
}

// drawAppend draws the outcome of an append: whether its answer is lost, and how late it is
// carried out.
func (w *world) drawAppend() (lost bool, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().Before(w.appendsLostUntil) || w.callRNG.Intn(100) >= 35 {
		return false, 0
	}
	return true, time.Duration(w.callRNG.Int63n(int64(w.maxAppendDelay) + 1))
}

// drawOrder draws the outcome of an order: whether it is delivered and when, and whether its
// answer is received.
func (w *world) drawOrder(centre, worker string) (delivered, answered bool, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	workerCentre := worldCentre(int(worker[1]-'0')*10 + int(worker[2]-'0'))
	if centre != workerCentre && (now.Before(w.cutOff[centre]) || now.Before(w.cutOff[workerCentre])) {
		return false, false, 0
	}
	if now.Before(w.answersLost[worker]) {
		return true, false, time.Millisecond
	}
	if now.Before(w.ordersLateUntil) {
		switch w.callRNG.Intn(12) {
		case 0:
			return true, false, 2*time.Second + time.Duration(w.callRNG.Int63n(int64(10*time.Second)))
		case 1:
			return true, false, time.Millisecond
		case 2:
			return false, false, 0
		}
	}
	return true, true, time.Duration(1+w.callRNG.Intn(5)) * time.Millisecond
}

func (w *world) step(id workload.TaskID) (workload.Step, bool) {
	steps := w.steps[id.Job]
	if id.Step >= len(steps) {
		return workload.Step{}, false
	}
	return steps[id.Step], true
}

// work returns the duration and the outcome of a run, which depend only on the task and the
// run.
func (w *world) work(id workload.TaskID, run int64, _ string) workertest.Work {
	h := fnv.New64a()
	fmt.Fprint(h, id, run)
	n := h.Sum64()
	return workertest.Work{Takes: time.Duration(200+n%3000) * time.Millisecond, Fails: n/3000%20 == 0}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// observe checks an event of a worker.
func (w *world) observe(e workertest.Event) {
	if e.End != "" {
		delete(w.running[e.Task], e.Worker)
		if e.End == control.EndDone {
			w.ended[e.Task] = e.Run
		}
		return
	}
	w.starts++
	if len(w.running[e.Task]) > 0 {
		w.addViolation("%v runs twice: run %d on %s while it runs on %v", e.Task, e.Run, e.Worker, w.running[e.Task])
	}
	if w.acknowledged[e.Task] {
		w.addViolation("%v run %d starts on %s after the end of the task was acknowledged, token %d", e.Task, e.Run, e.Worker, e.Token)
	}
	if lastDone := w.ended[e.Task]; lastDone > 0 {
		w.restartedAfterDone[worldRun{e.Task, lastDone}] = true
	}
	if w.running[e.Task] == nil {
		w.running[e.Task] = map[string]int64{}
	}
	w.running[e.Task][e.Worker] = e.Run
}

// recordAcknowledged records the tasks that are done whose ends were acknowledged to a worker.
func (w *world) recordAcknowledged(worker *workertest.Worker, rows []control.EndedRow, cursor int64) {
	for _, row := range rows {
		if row.Number > max(cursor, worker.AcknowledgedEnd()) || row.End != control.EndDone || row.Number <= worker.LastVoidEnd() {
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
			w.acknowledged[id] = true
		}
		if w.restartedAfterDone[worldRun{row.Task, row.Run}] {
			w.addViolation("%v was started again although its end was acknowledged later", row.Task)
		}
	}
}

// submitJob submits a job to one instance after the other until one accepts it.
func (w *world) submitJob(n int) {
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
	job := &workload.Job{ID: id, Queue: "q", Spec: "s", Steps: steps, AcceptedMS: time.Now().UnixMilli(), QueueSettings: terms}
	w.workers.mu.Lock()
	w.steps[id] = steps
	w.workers.mu.Unlock()
	first := w.rng.Intn(100)
	w.background.Go(func() {
		for try := range 6 {
			live := w.liveInstances()
			if len(live) == 0 {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := live[(first+try)%len(live)].Submit(ctx, job)
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

// liveInstances returns the instances that were not killed.
func (w *world) liveInstances() (out []*poolInstance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, instance := range w.instances {
		if !instance.killed {
			out = append(out, instance)
		}
	}
	return out
}

// hasViolations reports whether a violation was observed.
func (w *world) hasViolations() bool {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	return len(w.violations) > 0
}

// run runs the world and returns the violations.
func (w *world) run() []string {
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
	deadline := time.Now().Add(worldLoadTime)
	for n := 0; time.Now().Before(deadline) && !w.hasViolations(); n++ {
		if n%3 == 0 {
			w.submitJob(n / 3)
		}
		if n%w.faultInterval == 0 {
			w.injectFault()
		}
		time.Sleep(200*time.Millisecond + w.randomDuration(200))
	}
	w.clearFaults()
	w.awaitAllEnded()
	cancel()
	clock.Wait()
	w.background.Wait()
	for _, instance := range w.instances {
		instance.stop()
	}
	for _, instance := range w.logs {
		instance.Close(time.Second)
	}
	return w.violations
}

// awaitAllEnded waits until all accepted jobs have ended.
func (w *world) awaitAllEnded() {
	deadline := time.Now().Add(worldSettleTime)
	open := map[workload.JobID]bool{}
	for time.Now().Before(deadline) && !w.hasViolations() {
		time.Sleep(time.Second)
		clear(open)
		w.mu.Lock()
		jobs := slices.Clone(w.jobs)
		w.mu.Unlock()
		for _, job := range jobs {
			if !w.hasEnded(job.ID) {
				open[job.ID] = true
			}
		}
		if len(open) == 0 {
			return
		}
	}
	if !w.hasViolations() {
		w.workers.mu.Lock()
		w.addViolation("jobs that have not ended: %v", open)
		w.workers.mu.Unlock()
	}
}

// hasEnded reports whether some instance shows a job as ended.
func (w *world) hasEnded(id workload.JobID) bool {
	for _, instance := range w.liveInstances() {
		if e, ok := instance.book.Get(id); ok && e.State.IsFinal() {
			return true
		}
	}
	return false
}

var (
	worldCount     = flag.Int("service.worlds", 16, "the number of random worlds to run")
	worldFirstSeed = flag.Int64("service.seed", 0, "the seed of the first world")
	worldLogFolder = flag.String("service.lines", "", "the folder for the logs of worlds with violations")
)

// Guards against tasks that run twice, tasks that start again after their end was acknowledged,
// and accepted jobs that never end, under random faults of instances, data centres, the log and
// orders.
func TestInstancesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for n := range *worldCount {
		seed := *worldFirstSeed + int64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, seed)
				problems := w.run()
				t.Logf("%d jobs, %d starts, %d terms", len(w.jobs), w.starts, bytes.Count(w.output.Bytes(), []byte("planner-begins")))
				if len(problems) > 0 {
					t.Errorf("%d violations in %d starts: %v", len(problems), w.starts, problems[:min(3, len(problems))])
					if *worldLogFolder != "" {
						_ = os.WriteFile(fmt.Sprintf("%s/%d.log", *worldLogFolder, seed), w.output.Bytes(), 0o600)
					}
				}
			})
		})
	}
}
