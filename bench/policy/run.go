package policy

import (
	"math"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/virtual"
	"github.com/cobalttide/cobalttide/planner/estimate"
	"github.com/cobalttide/cobalttide/scheduler"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// Policy is one way to schedule.
type Policy struct {
	Name string
	scheduler.Policy
	// Learn corrects declared run times by what was measured.
	Learn bool
}

// Policies are the baselines, kept for good, and the one that ships.
func Policies() []Policy {
	return []Policy{
		{Name: "fifo-firstfit", Policy: scheduler.Policy{Strategy: placement.FirstFit, FIFO: true, NoBackfill: true}},
		{Name: "easy-bestfit", Policy: scheduler.Policy{Strategy: placement.BestFit, FIFO: true, RacksPerReservation: 1 << 20}},
		{Name: "cobalttide", Policy: scheduler.DefaultPolicy(), Learn: true},
	}
}

// Result is what a run measured. Times are in seconds.
type Result struct {
	MeanCompletion, P99Completion, MeanSlowdown float64
	// LargeP99Wait is of gangs of LargeSize and more, from submission to first
	// start.
	LargeP99Wait float64
	// FragPct is the time average share of free accelerators that the largest
	// guaranteed shape can't use.
	FragPct, UtilPct float64
	// ReclaimP99 is the wait of jobs that fitted their account's unused
	// guarantee when they were submitted.
	ReclaimP99       float64
	PreemptedAccelH  float64
	Violations       int
	Completed, Total int
}

// job is one arrival on its way.
type job struct {
	Arrival
	since    time.Duration
	started  time.Duration // first start, or -1
	done     time.Duration // or -1
	left     time.Duration // run time that is not done yet
	entitled bool
	serial   int
	gang     *scheduler.Gang
	began    time.Duration
}

// run is the state of one run.
type run struct {
	trace    Trace
	policy   Policy
	now      time.Duration
	queue    virtual.Queue
	jobs     []*job
	waiting  []*job
	running  []*job
	down     map[domain.WorkerID]bool
	binding  guarantee.Binding
	reserved []scheduler.Reservation
	book     *estimate.Book
	result   Result
	used     float64 // accelerator seconds in use
	freeSum  float64
	unusable float64
	largest  domain.Shape
	capacity int
}

// epoch is where virtual time begins.
var epoch = time.Unix(0, 0)

// Run plays a trace under a policy.
func Run(t Trace, p Policy) Result {
	r := &run{trace: t, policy: p, down: map[domain.WorkerID]bool{}, book: estimate.NewBook(), largest: rackShape(4), capacity: 8 * len(t.Workers)}
	for _, a := range t.Arrivals {
		j := &job{Arrival: a, since: a.At, started: -1, done: -1, left: a.Run}
		j.Job.Submitted = epoch.Add(a.At)
		r.jobs = append(r.jobs, j)
		r.queue.At(a.At, func() { r.arrive(j) })
	}
	for _, o := range t.Outages {
		r.queue.At(o.From, func() { r.fail(o.Worker) })
		r.queue.At(o.To, func() { delete(r.down, o.Worker) })
	}
	r.loop()
	return r.summarize()
}

// grain is the span of virtual time whose events are decided on together.
const grain = time.Second

// loop plays events until the trace's length has passed twice over or all jobs
// are done, so that late completions count.
func (r *run) loop() {
	for next, more := r.queue.Next(); more && r.now < 3*r.trace.Length; next, more = r.queue.Next() {
		r.advance(next)
		for at, more := r.queue.Next(); more && at <= next+grain; at, more = r.queue.Next() {
			_, do := r.queue.Pop()
			do()
		}
		r.plan()
	}
}

// advance moves time on and adds up what is used and what is free meanwhile.
func (r *run) advance(to time.Duration) {
	span := (to - r.now).Seconds()
	if r.now < r.trace.Length && span > 0 {
		r.measure(span)
	}
	r.now = to
}

func (r *run) measure(span float64) {
	cluster := placement.NewCluster(r.trace.Workers)
	for id := range r.down {
		cluster.Node(id).Schedulable = false
	}
	used := 0
	for _, j := range r.running {
		cluster.Hold(j.gang.Placement, j.Job.Shape.PerTask)
		used += j.Job.Shape.Accelerators()
	}
	free, unusable := placement.Fragmentation(cluster, r.largest)
	r.used += span * float64(used)
	r.freeSum += span * float64(free)
	r.unusable += span * float64(unusable)
}

func (r *run) arrive(j *job) {
	j.entitled = r.fitsGuarantee(j)
	r.waiting = append(r.waiting, j)
}

// fitsGuarantee tells whether the job fits what its account is guaranteed and
// does not use, going by accelerators: the claim that reclaim answers.
func (r *run) fitsGuarantee(j *job) bool {
	if len(r.down) > 0 {
		return false // what the lost workers backed can't be claimed
	}
	total, largest := 0, 0
	for _, g := range r.trace.Accounts[j.Job.Account].Guarantees {
		total += g.Shape.Accelerators()
		largest = max(largest, g.Shape.Accelerators())
	}
	for _, other := range r.running {
		if other.Job.Account == j.Job.Account {
			total -= other.Job.Shape.Accelerators()
		}
	}
	for _, other := range r.waiting {
		if other.Job.Account == j.Job.Account {
			total -= other.Job.Shape.Accelerators()
		}
	}
	size := j.Job.Shape.Accelerators()
	return size <= largest && size <= total
}

func (r *run) fail(id domain.WorkerID) {
	r.down[id] = true
	for _, j := range append([]*job(nil), r.running...) {
		for _, a := range j.gang.Placement {
			if a.Worker == id {
				r.stopped(j, false)
				break
			}
		}
	}
}

func (r *run) snapshot() scheduler.Snapshot {
	s := scheduler.Snapshot{
		Now: epoch.Add(r.now), DataCentre: "dc", Accounts: r.trace.Accounts, Workers: r.trace.Workers,
		Unschedulable: r.down, Binding: r.binding, Reservations: r.reserved,
	}
	for _, j := range r.running {
		j.gang.Remaining = r.remaining(j)
		s.Gangs = append(s.Gangs, *j.gang)
	}
	for _, j := range r.waiting {
		s.Waiting = append(s.Waiting, scheduler.Waiting{Job: j.Job, Class: j.Class, Since: epoch.Add(j.since), Expected: r.expected(j)})
	}
	return s
}

func (r *run) expected(j *job) time.Duration {
	if !r.policy.Learn {
		return j.Job.Estimate.Std()
	}
	return r.book.Expect(j.Job)
}

func (r *run) remaining(j *job) time.Duration {
	if r.policy.Learn {
		return r.book.Remaining(j.Job, r.now-j.began)
	}
	return max(time.Minute, j.Job.Estimate.Std()-(r.now-j.began))
}

func (r *run) plan() {
	s := r.snapshot()
	plan := scheduler.Make(s, r.policy.Policy)
	r.binding = plan.Binding
	r.reserved = plan.Reservations
	byID := map[domain.JobID]*job{}
	for _, j := range r.running {
		byID[j.Job.ID] = j
	}
	for _, j := range r.waiting {
		byID[j.Job.ID] = j
	}
	for _, p := range plan.Preemptions {
		r.preempt(byID[p.Job], p.Grace)
	}
	for _, start := range plan.Starts {
		r.start(byID[start.Job], start)
	}
}

func (r *run) preempt(j *job, grace time.Duration) {
	j.gang.Stopping = true
	r.queue.At(r.now+grace, j.ifSame(func() { r.stopped(j, j.Class.Checkpointable) }))
}

func (r *run) start(j *job, s scheduler.Start) {
	r.waiting = remove(r.waiting, j)
	r.running = append(r.running, j)
	j.began = r.now
	if j.started < 0 {
		j.started = r.now
	}
	j.gang = &scheduler.Gang{
		Job: j.Job, Class: j.Class, Placement: s.Placement, Guaranteed: s.Guaranteed,
		Started: epoch.Add(r.now), Saved: epoch.Add(r.now),
	}
	j.serial++
	r.queue.At(r.now+j.left, j.ifSame(func() { r.finish(j) }))
}

// ifSame does something only if the job still runs in the attempt at hand.
func (j *job) ifSame(do func()) func() {
	serial := j.serial
	return func() {
		if j.serial == serial && j.gang != nil {
			do()
		}
	}
}

func (r *run) finish(j *job) {
	j.done = r.now
	r.book.Learn(j.Job, r.now-j.began)
	j.gang = nil
	r.running = remove(r.running, j)
}

// stopped puts a job back; with saved, its progress counts.
func (r *run) stopped(j *job, saved bool) {
	ran := r.now - j.began
	if saved {
		j.left -= ran
	} else {
		r.result.PreemptedAccelH += ran.Hours() * float64(j.Job.Shape.Accelerators())
	}
	j.left = max(j.left, time.Second)
	j.gang = nil
	j.serial++
	r.running = remove(r.running, j)
	if !j.Class.Idempotent {
		return // its outcome is unknown; it is not run again
	}
	r.waiting = append(r.waiting, j)
}

func remove(jobs []*job, j *job) []*job {
	for i, other := range jobs {
		if other == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// reclaimBound is the wait past which a job that fitted its account's unused
// guarantee counts as a violation: the longest grace, and some decisions.
const reclaimBound = 10 * time.Second

func (r *run) summarize() Result {
	out := r.result
	var completion, slowdown, large, reclaim []float64
	for _, j := range r.jobs {
		out.Total++
		end := j.done
		if end < 0 {
			end = r.now // not done: counted as if it ended now
		} else {
			out.Completed++
		}
		took := (end - j.since).Seconds()
		completion = append(completion, took)
		slowdown = append(slowdown, took/max(j.Run.Seconds(), 60))
		wait := (j.firstStart(r.now) - j.since).Seconds()
		if j.Job.Shape.Accelerators() >= LargeSize {
			large = append(large, wait)
		}
		if j.entitled {
			reclaim = append(reclaim, wait)
			if wait > reclaimBound.Seconds() {
				out.Violations++
			}
		}
	}
	out.MeanCompletion, out.P99Completion = mean(completion), quantile(completion, 0.99)
	out.MeanSlowdown = mean(slowdown)
	out.LargeP99Wait = quantile(large, 0.99)
	out.ReclaimP99 = quantile(reclaim, 0.99)
	out.UtilPct = 100 * r.used / (float64(r.capacity) * r.trace.Length.Seconds())
	if r.freeSum > 0 {
		out.FragPct = 100 * r.unusable / r.freeSum
	}
	return out
}

func (j *job) firstStart(now time.Duration) time.Duration {
	if j.started < 0 {
		return now
	}
	return j.started
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / math.Max(1, float64(len(xs)))
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sort.Float64s(xs)
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
