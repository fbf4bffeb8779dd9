package service

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Many complete instances with one log of limited bandwidth and a pool of workers, in virtual
// time. Its tests check what fails first when there are many instances: the bytes and calls at
// the log, the age of what an instance has read, and recovery from the loss of the standbys.

// sharedLog is a log in memory that enforces fencing. All its reads share one rate.
type sharedLog struct {
	mu        sync.Mutex
	topics    map[Topic]*sharedTopic
	rate      float64
	busyUntil time.Time
	// reads and bytes count the reads and their bytes by topic.
	reads map[Topic]int
	bytes map[Topic]int
	// delay is added to callLatency for each call. Reads of the unanswered topics get no
	// answer.
	delay      time.Duration
	unanswered map[Topic]bool
	// onAppend is called for each append with an epoch and the time at which it was sent; nil
	// is allowed.
	onAppend func(epoch int64, sent time.Time)
}

func (l *sharedLog) setDelay(d time.Duration) {
	l.mu.Lock()
	l.delay = d
	l.mu.Unlock()
}

func (l *sharedLog) setUnanswered(topic Topic, unanswered bool) {
	l.mu.Lock()
	l.unanswered = map[Topic]bool{topic: unanswered}
	l.mu.Unlock()
}

// callTime returns the current duration of a call.
func (l *sharedLog) callTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return callLatency + l.delay
}

// compact drops all records of a topic except the newest of each key.
func (l *sharedLog) compact(topic Topic) {
	l.mu.Lock()
	t := l.topic(topic)
	t.firstKept = int64(len(t.records))
	l.mu.Unlock()
}

type sharedTopic struct {
	records []Entry
	changed chan struct{}
	epoch   int64
	seq     int64
	// lastAppendOffset is the first offset of the last append of a writer, which is returned
	// for a repetition of that append.
	lastAppendOffset int64
	// firstKept is the offset from which all single records are kept.
	firstKept int64
}

func newSharedLog(rate float64) *sharedLog {
	return &sharedLog{topics: map[Topic]*sharedTopic{}, rate: rate, reads: map[Topic]int{}, bytes: map[Topic]int{}}
}

func (l *sharedLog) topic(name Topic) *sharedTopic {
	t := l.topics[name]
	if t == nil {
		t = &sharedTopic{changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// callLatency is the duration of any call.
const callLatency = 4 * time.Millisecond

func (l *sharedLog) Append(ctx context.Context, topic Topic, records []control.Record, w *Writer) (int64, error) {
	began := time.Now()
	sleep(ctx, l.callTime())
	l.mu.Lock()
	defer l.mu.Unlock()
	if w != nil && l.onAppend != nil {
		defer func() { l.onAppend(w.Epoch, began) }()
	}
	t := l.topic(topic)
	end := int64(len(t.records))
	if w != nil {
		if w.Epoch == t.epoch && w.Seq == t.seq {
			return t.lastAppendOffset, nil
		}
		if w.ExpectedEnd >= 0 && w.ExpectedEnd != end {
			return 0, ErrUnexpectedEnd
		}
		if w.Epoch < t.epoch || (w.Epoch == t.epoch && w.Seq != t.seq+1) {
			return 0, ErrFenced
		}
		t.epoch, t.seq, t.lastAppendOffset = w.Epoch, w.Seq, end
	}
	for i, r := range records {
		t.records = append(t.records, Entry{Offset: end + int64(i), Key: r.Key, Value: r.Value})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return end, nil
}

// deliver counts the bytes of an answer and waits until they are transferred.
func (l *sharedLog) deliver(ctx context.Context, topic Topic, entries []Entry) {
	size := emptyAnswerBytes
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	l.mu.Lock()
	l.reads[topic]++
	l.bytes[topic] += size
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	until := l.busyUntil
	l.mu.Unlock()
	sleep(ctx, time.Until(until)+l.callTime())
}

func (l *sharedLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	l.mu.Lock()
	t := l.topic(topic)
	if l.unanswered[topic] {
		l.mu.Unlock()
		sleep(ctx, wait+unansweredMargin)
		return Page{}, ErrOutcomeUnknown
	}
	if from < t.firstKept {
		l.mu.Unlock()
		return Page{}, ErrCompacted
	}
	changed, empty := t.changed, int64(len(t.records)) <= from
	l.mu.Unlock()
	if empty && wait > 0 {
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return Page{}, ErrOutcomeUnknown
		}
		timer.Stop()
	}
	l.mu.Lock()
	page := Page{Next: int64(len(t.records)), End: int64(len(t.records))}
	page.Entries = slices.Clone(t.records[min(from, page.End):])
	l.mu.Unlock()
	l.deliver(ctx, topic, page.Entries)
	return page, ctx.Err()
}

// unansweredMargin is how long a reader waits for an answer beyond the wait that it requested.
const unansweredMargin = 500 * time.Millisecond

func (l *sharedLog) Probe(ctx context.Context, topic Topic) error {
	_, err := l.Read(ctx, topic, 0, 0)
	return err
}

func (l *sharedLog) Newest(ctx context.Context, topic Topic, _ string) (NewestPage, error) {
	l.mu.Lock()
	t := l.topic(topic)
	newest := map[string]int{}
	for i, e := range t.records {
		newest[e.Key] = i
	}
	page := NewestPage{End: int64(len(t.records))}
	for i, e := range t.records {
		if newest[e.Key] == i && len(e.Value) > 0 {
			page.Entries = append(page.Entries, e)
		}
	}
	l.mu.Unlock()
	l.deliver(ctx, topic, page.Entries)
	return page, ctx.Err()
}

// poolWorkers executes orders on a simulated fleet.
type poolWorkers struct {
	mu    sync.Mutex
	fleet *workertest.Fleet
	// running counts the runs of each task that have started and not ended, started all runs
	// that have started, done those that ended as done.
	running, started, done map[workload.TaskID]int
	duplicates             []string
	// starts holds the starts in order.
	starts []taskStart
	// onOrder is called with the token of each order; nil is allowed.
	onOrder func(token int64)
}

// taskStart is the start of a task on a worker.
type taskStart struct {
	at     time.Time
	worker string
}

func (w *poolWorkers) observe(e workertest.Event) {
	switch {
	case e.End == "":
		w.started[e.Task]++
		w.starts = append(w.starts, taskStart{time.Now(), e.Worker})
		if w.running[e.Task]++; w.running[e.Task] > 1 || w.done[e.Task] > 0 {
			w.duplicates = append(w.duplicates, e.Task.String())
		}
	default:
		w.running[e.Task]--
		if e.End == control.EndDone {
			w.done[e.Task]++
		}
	}
}

// notifyOrder calls onOrder.
func (w *poolWorkers) notifyOrder(token int64) {
	w.mu.Lock()
	onOrder := w.onOrder
	w.mu.Unlock()
	if onOrder != nil {
		onOrder(token)
	}
}

// withWorker calls f with a worker after the transit time of an order.
func (w *poolWorkers) withWorker(id string, f func(*workertest.Worker)) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.fleet.Workers[id])
}

func (w *poolWorkers) Start(_ context.Context, o control.StartOrder) (out control.Answer) {
	w.notifyOrder(o.Token)
	w.withWorker(o.Worker, func(worker *workertest.Worker) { out = worker.Start(o, time.Now()) })
	return out
}

func (w *poolWorkers) Stop(_ context.Context, o control.StopOrder) (out control.Answer) {
	w.notifyOrder(o.Token)
	w.withWorker(o.Worker, func(worker *workertest.Worker) { out = worker.Stop(o, time.Now()) })
	return out
}

func (w *poolWorkers) Renew(ctx context.Context, o control.RenewalOrder) (out control.RenewalAnswer) {
	w.notifyOrder(o.Token)
	for until := time.Now().Add(o.Wait); ; sleep(ctx, 50*time.Millisecond) {
		hasEnds := false
		w.withWorker(o.Worker, func(worker *workertest.Worker) {
			out = worker.Renew(o, time.Now())
			hasEnds = len(out.Ended) > 0
		})
		if hasEnds || !time.Now().Before(until) || ctx.Err() != nil {
			return out
		}
	}
}

func (w *poolWorkers) Throttle(context.Context, control.ThrottleOrder) control.Answer {
	return control.Answer{}
}

func (w *poolWorkers) Advise(context.Context, control.AdviceOrder) control.AdviceAnswer {
	return control.AdviceAnswer{}
}

// poolDecoder decodes records that hold the types of this module.
type poolDecoder struct{}

func (poolDecoder) Directory(string, []byte) (*Directory, bool, error) {
	return &Directory{Version: 1, Queues: []Queue{{Name: "q", Settings: poolTerms}}}, true, nil
}
func (poolDecoder) Wave(string, []byte) (control.Wave, bool, error) {
	return control.Wave{}, false, nil
}
func (poolDecoder) Evacuation(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}
func (poolDecoder) WaveReport(control.WaveReport) control.Record {
	return control.Record{}
}
func (poolDecoder) Listing(_ string, value []byte) (out control.Listing, err error) {
	return out, json.Unmarshal(value, &out)
}

var poolTerms = workload.QueueSettings{Service: "pool", MaxAttempts: 3, Stretch: 3, TargetMS: 1000}

// pool is a deployment of instances and workers in virtual time.
type pool struct {
	t         *testing.T
	log       *sharedLog
	workers   *poolWorkers
	instances []*poolInstance
	jobs      []*workload.Job
}

type poolInstance struct {
	*Service
	name string
	stop func()
	// clockOffset is the total duration of the instance's suspensions, in nanoseconds: its
	// clock of ages has advanced by that, its timers have not.
	clockOffset *atomic.Int64
	// killed is set when the test has killed the instance.
	killed bool
}

const (
	poolTasksPerJob = 26
	poolTaskTime    = 900 * time.Millisecond
	poolReadRate    = 80e6
	// poolStretch is how much older than the others one topic may be.
	poolStretch = 8 * time.Second
	// poolSpecBytes is the size of a job's spec.
	poolSpecBytes = 600
)

func newPool(t *testing.T, instances, workers int) *pool {
	p := &pool{t: t, log: newSharedLog(poolReadRate)}
	p.workers = &poolWorkers{running: map[workload.TaskID]int{}, started: map[workload.TaskID]int{}, done: map[workload.TaskID]int{}}
	p.workers.fleet = &workertest.Fleet{
		Limits: workertest.Limits{MaxLease: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second, CheckpointEvery: time.Second},
		Step:   func(workload.TaskID) (workload.Step, bool) { return poolStep(), true },
		Work: func(workload.TaskID, int64, string) workertest.Work {
			return workertest.Work{Takes: poolTaskTime}
		},
		OnEvent: p.workers.observe,
	}
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		p.workers.fleet.Add(id, capacity, 1, time.Now())
		value, err := json.Marshal(control.Listing{ID: id, Address: id, Service: "pool", DataCentre: fmt.Sprint(i % 5), Rack: fmt.Sprint(i / 20), Capacity: capacity})
		if err != nil {
			t.Fatal(err)
		}
		p.put(WorkerList, id, value)
	}
	p.put(Declarations, "config", []byte("{}"))
	for i := range instances {
		p.startNumbered(i)
	}
	return p
}

func poolStep() workload.Step {
	return workload.Step{Count: poolTasksPerJob, Need: workload.Resources{MilliCPU: 4000, Accelerators: 1}, EstimateMS: poolTaskTime.Milliseconds()}
}

func (p *pool) put(topic Topic, key string, value []byte) {
	t := p.log.topic(topic)
	t.records = append(t.records, Entry{Offset: int64(len(t.records)), Key: key, Value: value})
}

// startNumbered starts the nth instance; every tenth is powerful.
func (p *pool) startNumbered(i int) {
	name := fmt.Sprintf("edge-%03d", i)
	power := 0.1
	if i%10 == 0 {
		power = 0.8
	}
	p.startInstance(poolSettings(name, power, fmt.Sprint(i%5)), p.log, p.workers, nil)
}

// poolSettings returns the settings of an instance of a pool.
func poolSettings(name string, power float64, centre string) Settings {
	bounds := control.Bounds{
		Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second,
		ReclaimWithin: 3 * time.Second, RemoteFactor: 3, PollWait: 1500 * time.Millisecond,
	}
	return Settings{
		Instance: name, Address: name, Bounds: bounds, PlannerTimeout: 1600 * time.Millisecond, StaleAfter: 4 * time.Second, PartialOutageGrace: poolStretch,
		EffectiveCores: power, DataCentre: centre, Standbys: 5,
	}
}

// startInstance starts an instance with the given settings.
func (p *pool) startInstance(settings Settings, log Log, workers Workers, lines *events.Log) *poolInstance {
	clockOffset := &atomic.Int64{}
	settings.Clock = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	s := New(settings, log, poolDecoder{}, workers, lines, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(ended)
	}()
	instance := &poolInstance{Service: s, name: settings.Instance, clockOffset: clockOffset, stop: func() { cancel(); <-ended }}
	p.instances = append(p.instances, instance)
	return instance
}

func (p *pool) stopAll() {
	for _, i := range p.instances {
		i.stop()
	}
}

// submit submits a job to an instance, which must accept it.
func (p *pool) submit(n int, at *poolInstance) {
	job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Spec: strings.Repeat("x", poolSpecBytes), Steps: []workload.Step{poolStep()}, AcceptedMS: time.Now().UnixMilli(), QueueSettings: poolTerms}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := at.Submit(ctx, job); err != nil {
		p.t.Errorf("job %d was refused: %v", n, err)
		return
	}
	p.jobs = append(p.jobs, job)
}

// trySubmit submits a job to an instance and ignores the result.
func (p *pool) trySubmit(n int, at *poolInstance) {
	job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Spec: "s", Steps: []workload.Step{poolStep()}, AcceptedMS: time.Now().UnixMilli(), QueueSettings: poolTerms}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = at.Submit(ctx, job)
}

// killPlanner kills the instance that plans.
func (p *pool) killPlanner() {
	for _, instance := range p.planners() {
		instance.killed = true
		go instance.stop()
	}
}

// state queries an instance for the state of a job.
func (p *pool) state(at *poolInstance, id workload.JobID) (workload.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return at.State(ctx, id)
}

// awaitCompleted waits until all jobs are shown as completed, with each query at the next
// instance.
func (p *pool) awaitCompleted(jobs []*workload.Job, limit time.Duration) {
	began := time.Now()
	for i := 0; len(jobs) > 0; i++ {
		at := p.instances[i%len(p.instances)]
		if state, err := p.state(at, jobs[0].ID); err == nil && state == workload.Completed {
			jobs = jobs[1:]
			continue
		}
		if time.Since(began) > limit {
			p.t.Fatalf("%d jobs have not completed after %v", len(jobs), limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// planners returns the instances that plan.
func (p *pool) planners() (out []*poolInstance) {
	for _, i := range p.instances {
		if i.planning.Load() {
			out = append(out, i)
		}
	}
	return out
}

// plansReaders returns the instances that read the planner's records.
func (p *pool) plansReaders() (out []*poolInstance) {
	for _, i := range p.instances {
		if i.plans.upToDate() {
			out = append(out, i)
		}
	}
	return out
}
