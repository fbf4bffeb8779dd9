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

// Many whole instances over one log that shares its bandwidth, and a pool of
// workers, in virtual time. What is held here is what breaks first when there are
// many: bytes and calls at the log, how old what an instance has read is, and
// what is left when those who stand by are lost.

// shared is a log in memory with the rules of fencing, whose reads share a rate.
type shared struct {
	mu     sync.Mutex
	topics map[Topic]*sharedTopic
	rate   float64
	busy   time.Time
	// reads and bytes count what was asked, by topic.
	reads map[Topic]int
	bytes map[Topic]int
	// slow is what each call takes beyond answerTime, deaf are topics whose reads
	// have no answer.
	slow time.Duration
	deaf map[Topic]bool
	// appended is told of each append under an epoch, with when it was sent; nil is nobody.
	appended func(epoch int64, sent time.Time)
}

func (l *shared) setSlow(d time.Duration) {
	l.mu.Lock()
	l.slow = d
	l.mu.Unlock()
}

func (l *shared) setDeaf(topic Topic, deaf bool) {
	l.mu.Lock()
	l.deaf = map[Topic]bool{topic: deaf}
	l.mu.Unlock()
}

// takes is what a call takes now.
func (l *shared) takes() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return answerTime + l.slow
}

// forget drops all records of a topic but the newest of each key.
func (l *shared) forget(topic Topic) {
	l.mu.Lock()
	t := l.topic(topic)
	t.first = int64(len(t.records))
	l.mu.Unlock()
}

type sharedTopic struct {
	records []Entry
	changed chan struct{}
	epoch   int64
	seq     int64
	// lastFirst is the first offset of the last append of a writer; a repetition gets it again.
	lastFirst int64
	// first is the offset of the first record that is kept one by one.
	first int64
}

func newShared(rate float64) *shared {
	return &shared{topics: map[Topic]*sharedTopic{}, rate: rate, reads: map[Topic]int{}, bytes: map[Topic]int{}}
}

func (l *shared) topic(name Topic) *sharedTopic {
	t := l.topics[name]
	if t == nil {
		t = &sharedTopic{changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// answerTime is what any call takes.
const answerTime = 4 * time.Millisecond

func (l *shared) Append(ctx context.Context, topic Topic, records []control.Record, w *Writer) (int64, error) {
	began := time.Now()
	sleep(ctx, l.takes())
	l.mu.Lock()
	defer l.mu.Unlock()
	if w != nil && l.appended != nil {
		defer func() { l.appended(w.Epoch, began) }()
	}
	t := l.topic(topic)
	end := int64(len(t.records))
	if w != nil {
		if w.Epoch == t.epoch && w.Seq == t.seq {
			return t.lastFirst, nil
		}
		if w.Expect >= 0 && w.Expect != end {
			return 0, ErrMoved
		}
		if w.Epoch < t.epoch || (w.Epoch == t.epoch && w.Seq != t.seq+1) {
			return 0, ErrFenced
		}
		t.epoch, t.seq, t.lastFirst = w.Epoch, w.Seq, end
	}
	for i, r := range records {
		t.records = append(t.records, Entry{Offset: end + int64(i), Key: r.Key, Value: r.Value})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return end, nil
}

// sent books the bytes of an answer and waits until they have left.
func (l *shared) sent(ctx context.Context, topic Topic, entries []Entry) {
	size := emptyAnswer
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	l.mu.Lock()
	l.reads[topic]++
	l.bytes[topic] += size
	if now := time.Now(); l.busy.Before(now) {
		l.busy = now
	}
	l.busy = l.busy.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	until := l.busy
	l.mu.Unlock()
	sleep(ctx, time.Until(until)+l.takes())
}

func (l *shared) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	l.mu.Lock()
	t := l.topic(topic)
	if l.deaf[topic] {
		l.mu.Unlock()
		sleep(ctx, wait+deafFor)
		return Page{}, ErrUnknown
	}
	if from < t.first {
		l.mu.Unlock()
		return Page{}, ErrForgotten
	}
	changed, empty := t.changed, int64(len(t.records)) <= from
	l.mu.Unlock()
	if empty && wait > 0 {
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return Page{}, ErrUnknown
		}
		timer.Stop()
	}
	l.mu.Lock()
	page := Page{Next: int64(len(t.records)), End: int64(len(t.records))}
	page.Entries = slices.Clone(t.records[min(from, page.End):])
	l.mu.Unlock()
	l.sent(ctx, topic, page.Entries)
	return page, ctx.Err()
}

// deafFor is how long an answer is waited for beyond what the read asked to wait.
const deafFor = 500 * time.Millisecond

func (l *shared) Probe(ctx context.Context, topic Topic) error {
	_, err := l.Read(ctx, topic, 0, 0)
	return err
}

func (l *shared) Newest(ctx context.Context, topic Topic, _ string) (NewestPage, error) {
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
	l.sent(ctx, topic, page.Entries)
	return page, ctx.Err()
}

// poolWorkers carries orders out on a fleet of which all is known.
type poolWorkers struct {
	mu    sync.Mutex
	fleet *workertest.Fleet
	// lives counts the runs of each task that have begun and not ended, begun all
	// that began, done those that ended as done.
	lives, begun, done map[workload.TaskID]int
	twice              []string
	// starts are what began, in order.
	starts []startSeen
	// ordered is told of each order's token; nil is nobody.
	ordered func(token int64)
}

// startSeen is a task that began on a worker.
type startSeen struct {
	at     time.Time
	worker string
}

func (w *poolWorkers) see(e workertest.Event) {
	switch {
	case e.How == "":
		w.begun[e.Task]++
		w.starts = append(w.starts, startSeen{time.Now(), e.Worker})
		if w.lives[e.Task]++; w.lives[e.Task] > 1 || w.done[e.Task] > 0 {
			w.twice = append(w.twice, e.Task.String())
		}
	default:
		w.lives[e.Task]--
		if e.How == control.EndDone {
			w.done[e.Task]++
		}
	}
}

// sent notes that an order has left.
func (w *poolWorkers) sent(token int64) {
	w.mu.Lock()
	ordered := w.ordered
	w.mu.Unlock()
	if ordered != nil {
		ordered(token)
	}
}

func (w *poolWorkers) on(id string, f func(*workertest.Worker)) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.fleet.Workers[id])
}

func (w *poolWorkers) Start(_ context.Context, o control.StartOrder) (out control.Answer) {
	w.sent(o.Token)
	w.on(o.Worker, func(one *workertest.Worker) { out = one.Start(o, time.Now()) })
	return out
}

func (w *poolWorkers) Stop(_ context.Context, o control.StopOrder) (out control.Answer) {
	w.sent(o.Token)
	w.on(o.Worker, func(one *workertest.Worker) { out = one.Stop(o, time.Now()) })
	return out
}

func (w *poolWorkers) Hold(ctx context.Context, o control.HoldOrder) (out control.HoldAnswer) {
	w.sent(o.Token)
	for until := time.Now().Add(o.Wait); ; sleep(ctx, 50*time.Millisecond) {
		fresh := false
		w.on(o.Worker, func(one *workertest.Worker) {
			out = one.Hold(o, time.Now())
			fresh = len(out.Ended) > 0
		})
		if fresh || !time.Now().Before(until) || ctx.Err() != nil {
			return out
		}
	}
}

func (w *poolWorkers) Pace(context.Context, control.PaceOrder) control.Answer {
	return control.Answer{}
}

func (w *poolWorkers) Advise(context.Context, control.AdviceOrder) control.AdviceAnswer {
	return control.AdviceAnswer{}
}

// poolDecoder reads records that are written in the product's own terms.
type poolDecoder struct{}

func (poolDecoder) Directory(string, []byte) (*Directory, bool, error) {
	return &Directory{Version: 1, Queues: []Queue{{Name: "q", Terms: poolTerms}}}, true, nil
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

var poolTerms = workload.Terms{Service: "pool", Attempts: 3, Stretch: 3, TargetMS: 1000}

// pool is a deployment in virtual time.
type pool struct {
	t         *testing.T
	log       *shared
	workers   *poolWorkers
	instances []*poolInstance
	jobs      []*workload.Job
}

type poolInstance struct {
	*Service
	name string
	stop func()
	// ahead is for how long the instance was suspended so far, in nanoseconds: its clock of
	// ages has run on by that, its timers have not.
	ahead *atomic.Int64
	// killed tells that the test has ended it.
	killed bool
}

const (
	poolTasks = 26
	poolRun   = 900 * time.Millisecond
	poolRate  = 80e6
	// poolStretch is how much older what one topic tells may be than all else.
	poolStretch = 8 * time.Second
	// poolSpec is the length of a job's spec, in bytes.
	poolSpec = 600
)

func newPool(t *testing.T, instances, workers int) *pool {
	p := &pool{t: t, log: newShared(poolRate)}
	p.workers = &poolWorkers{lives: map[workload.TaskID]int{}, begun: map[workload.TaskID]int{}, done: map[workload.TaskID]int{}}
	p.workers.fleet = &workertest.Fleet{
		Limits: workertest.Limits{HoldMax: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second, CheckpointEvery: time.Second},
		Step:   func(workload.TaskID) (workload.Step, bool) { return poolStep(), true },
		Work: func(workload.TaskID, int64, string) workertest.Work {
			return workertest.Work{Takes: poolRun}
		},
		Seen: p.workers.see,
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
		p.start(i)
	}
	return p
}

func poolStep() workload.Step {
	return workload.Step{Count: poolTasks, Need: workload.Resources{MilliCPU: 4000, Accelerators: 1}, EstimateMS: poolRun.Milliseconds()}
}

func (p *pool) put(topic Topic, key string, value []byte) {
	t := p.log.topic(topic)
	t.records = append(t.records, Entry{Offset: int64(len(t.records)), Key: key, Value: value})
}

// start begins an instance; one in ten is strong.
func (p *pool) start(i int) {
	name := fmt.Sprintf("edge-%03d", i)
	power := 0.1
	if i%10 == 0 {
		power = 0.8
	}
	p.begin(poolSettings(name, power, fmt.Sprint(i%5)), p.log, p.workers, nil)
}

// poolSettings are those of an instance of a pool.
func poolSettings(name string, power float64, centre string) Settings {
	bounds := control.Bounds{
		Lease: 6 * time.Second, Authority: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second,
		ReclaimWithin: 3 * time.Second, FarFactor: 3, Wait: 1500 * time.Millisecond,
	}
	return Settings{
		Instance: name, Address: name, Bounds: bounds, Patience: 1600 * time.Millisecond, Stale: 4 * time.Second, Stretch: poolStretch,
		Power: power, DataCentre: centre, Standbys: 5,
	}
}

// begin starts an instance.
func (p *pool) begin(settings Settings, log Log, workers Workers, lines *events.Log) *poolInstance {
	ahead := &atomic.Int64{}
	settings.Clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	s := New(settings, log, poolDecoder{}, workers, lines, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(ended)
	}()
	one := &poolInstance{Service: s, name: settings.Instance, ahead: ahead, stop: func() { cancel(); <-ended }}
	p.instances = append(p.instances, one)
	return one
}

func (p *pool) stopAll() {
	for _, i := range p.instances {
		i.stop()
	}
}

// submit hands a job in at an instance.
func (p *pool) submit(n int, at *poolInstance) {
	job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Spec: strings.Repeat("x", poolSpec), Steps: []workload.Step{poolStep()}, AcceptedMS: time.Now().UnixMilli(), Terms: poolTerms}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := at.Submit(ctx, job); err != nil {
		p.t.Errorf("job %d was refused: %v", n, err)
		return
	}
	p.jobs = append(p.jobs, job)
}

// submitAnyhow hands a job in whatever becomes of it.
func (p *pool) submitAnyhow(n int, at *poolInstance) {
	job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Spec: "s", Steps: []workload.Step{poolStep()}, AcceptedMS: time.Now().UnixMilli(), Terms: poolTerms}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = at.Submit(ctx, job)
}

// killPlanner ends the instance that plans, as a kill would.
func (p *pool) killPlanner() {
	for _, one := range p.planners() {
		one.killed = true
		go one.stop()
	}
}

// state asks an instance for a job.
func (p *pool) state(at *poolInstance, id workload.JobID) (workload.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return at.State(ctx, id)
}

// waitFor asks instances, one after the other, until all show each job as
// completed.
func (p *pool) waitFor(jobs []*workload.Job, most time.Duration) {
	began := time.Now()
	for i := 0; len(jobs) > 0; i++ {
		at := p.instances[i%len(p.instances)]
		if state, err := p.state(at, jobs[0].ID); err == nil && state == workload.Completed {
			jobs = jobs[1:]
			continue
		}
		if time.Since(began) > most {
			p.t.Fatalf("%d jobs have not ended after %v", len(jobs), most)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// planners lists the instances that plan.
func (p *pool) planners() (out []*poolInstance) {
	for _, i := range p.instances {
		if i.planning.Load() {
			out = append(out, i)
		}
	}
	return out
}

// readers counts the instances that read what a planner writes.
func (p *pool) readers() (out []*poolInstance) {
	for _, i := range p.instances {
		if i.plans.upToDate() {
			out = append(out, i)
		}
	}
	return out
}
