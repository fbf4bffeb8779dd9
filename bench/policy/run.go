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

// Policy is a scheduling policy.
type Policy struct {
	Name string
	scheduler.Policy
	// Learn enables correcting declared run times by measured ones.
	Learn bool
}

// Policies returns the baselines, which are kept permanently, and the shipped policy.
func Policies() []Policy {
	return []Policy{
		{Name: "fifo-firstfit", Policy: scheduler.Policy{Strategy: placement.FirstFit, FIFO: true, NoBackfill: true}},
		{Name: "easy-bestfit", Policy: scheduler.Policy{Strategy: placement.BestFit, FIFO: true, RacksPerReservation: 1 << 20}},
		{Name: "cobalttide", Policy: scheduler.DefaultPolicy(), Learn: true},
	}
}

// Result holds the measurements of one run. Times are in seconds.
type Result struct {
	MeanCompletion, P99Completion, MeanSlowdown float64
	// LargeP99Wait is the 99th percentile of the waits of gangs of at least LargeSize
	// accelerators, from submission to the first start.
	LargeP99Wait float64
	// FragPct is the share of the free accelerators that the largest guaranteed shape can't use,
	// averaged over time.
	FragPct, UtilPct float64
	// ReclaimP99 is the 99th percentile of the waits of jobs that fitted into their account's
	// unused guarantee when they were submitted.
	ReclaimP99       float64
	PreemptedAccelH  float64
	Violations       int
	Completed, Total int
}

// job is an arrival with its progress.
type job struct {
	Arrival
	submitted       time.Duration
	started         time.Duration // first start, or -1
	done            time.Duration // or -1
	remaining       time.Duration // remaining run time
	withinGuarantee bool
	attempt         int
	gang            *scheduler.Gang
	attemptStarted  time.Duration
}

// run is the state of a simulation.
type run struct {
	trace        Trace
	policy       Policy
	now          time.Duration
	queue        virtual.Queue
	jobs         []*job
	waiting      []*job
	running      []*job
	down         map[domain.WorkerID]bool
	binding      guarantee.Binding
	reservations []scheduler.Reservation
	book         *estimate.Estimator
	result       Result
	usedTime     float64 // accelerator seconds in use
	freeTime     float64
	unusableTime float64
	largestShape domain.Shape
	capacity     int
}

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// Run simulates a trace under a policy.
func Run(t Trace, p Policy) Result {
	r := &run{trace: t, policy: p, down: map[domain.WorkerID]bool{}, book: estimate.NewEstimator(), largestShape: rackShape(4), capacity: 8 * len(t.Workers)}
	for _, a := range t.Arrivals {
		j := &job{Arrival: a, submitted: a.At, started: -1, done: -1, remaining: a.Run}
		j.Job.Submitted = epoch.Add(a.At)
		r.jobs = append(r.jobs, j)
		r.queue.At(a.At, func() { r.arrive(j) })
	}
	for _, o := range t.Outages {
		r.queue.At(o.From, func() { r.fail(o.Worker) })
		r.queue.At(o.To, func() { delete(r.down, o.Worker) })
	}
	r.processEvents()
	return r.summarize()
}

// decisionInterval is the span of virtual time whose events are handled in one planning decision.
const decisionInterval = time.Second

// processEvents runs until there are no more events or until three times the length of the trace,
// so that late completions count.
func (r *run) processEvents() {
	for next, more := r.queue.Next(); more && r.now < 3*r.trace.Length; next, more = r.queue.Next() {
		r.advance(next)
		for at, more := r.queue.Next(); more && at <= next+decisionInterval; at, more = r.queue.Next() {
			_, do := r.queue.Pop()
			do()
		}
		r.plan()
	}
}

// advance moves virtual time forward and adds up the used and free accelerator time in between.
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
		cluster.Allocate(j.gang.Placement, j.Job.Shape.PerTask)
		used += j.Job.Shape.Accelerators()
	}
	free, unusable := placement.Fragmentation(cluster, r.largestShape)
	r.usedTime += span * float64(used)
	r.freeTime += span * float64(free)
	r.unusableTime += span * float64(unusable)
}

func (r *run) arrive(j *job) {
	j.withinGuarantee = r.fitsGuarantee(j)
	r.waiting = append(r.waiting, j)
}

// fitsGuarantee reports whether the job fits into the unused part of its account's guarantee, in
// accelerators, which entitles it to reclaim them.
func (r *run) fitsGuarantee(j *job) bool {
	if len(r.down) > 0 {
		return false // guarantees backed by lost workers can't be claimed
	}
	unused, largest := 0, 0
	for _, g := range r.trace.Accounts[j.Job.Account].Guarantees {
		unused += g.Shape.Accelerators()
		largest = max(largest, g.Shape.Accelerators())
	}
	for _, other := range r.running {
		if other.Job.Account == j.Job.Account {
			unused -= other.Job.Shape.Accelerators()
		}
	}
	for _, other := range r.waiting {
		if other.Job.Account == j.Job.Account {
			unused -= other.Job.Shape.Accelerators()
		}
	}
	size := j.Job.Shape.Accelerators()
	return size <= largest && size <= unused
}

func (r *run) fail(id domain.WorkerID) {
	r.down[id] = true
	for _, j := range append([]*job(nil), r.running...) {
		for _, a := range j.gang.Placement {
			if a.Worker == id {
				r.endAttempt(j, false)
				break
			}
		}
	}
}

func (r *run) snapshot() scheduler.Snapshot {
	s := scheduler.Snapshot{
		Now: epoch.Add(r.now), DataCentre: "dc", Accounts: r.trace.Accounts, Workers: r.trace.Workers,
		Unschedulable: r.down, Binding: r.binding, Reservations: r.reservations,
	}
	for _, j := range r.running {
		j.gang.Remaining = r.remaining(j)
		s.Gangs = append(s.Gangs, *j.gang)
	}
	for _, j := range r.waiting {
		s.Waiting = append(s.Waiting, scheduler.WaitingJob{Job: j.Job, Class: j.Class, Since: epoch.Add(j.submitted), Expected: r.expectedRunTime(j)})
	}
	return s
}

func (r *run) expectedRunTime(j *job) time.Duration {
	if !r.policy.Learn {
		return j.Job.Estimate.Std()
	}
	return r.book.Expect(j.Job)
}

func (r *run) remaining(j *job) time.Duration {
	if r.policy.Learn {
		return r.book.Remaining(j.Job, r.now-j.attemptStarted)
	}
	return max(time.Minute, j.Job.Estimate.Std()-(r.now-j.attemptStarted))
}

func (r *run) plan() {
	s := r.snapshot()
	plan := scheduler.MakePlan(s, r.policy.Policy)
	r.binding = plan.Binding
	r.reservations = plan.Reservations
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
	r.queue.At(r.now+grace, j.ifSameAttempt(func() { r.endAttempt(j, j.Class.Checkpointable) }))
}

func (r *run) start(j *job, s scheduler.Start) {
	r.waiting = remove(r.waiting, j)
	r.running = append(r.running, j)
	j.attemptStarted = r.now
	if j.started < 0 {
		j.started = r.now
	}
	j.gang = &scheduler.Gang{
		Job: j.Job, Class: j.Class, Placement: s.Placement, Guaranteed: s.Guaranteed,
		Started: epoch.Add(r.now), LastCheckpoint: epoch.Add(r.now),
	}
	j.attempt++
	r.queue.At(r.now+j.remaining, j.ifSameAttempt(func() { r.finish(j) }))
}

// ifSameAttempt returns a function that calls f only if the job is still running the current
// attempt.
func (j *job) ifSameAttempt(f func()) func() {
	attempt := j.attempt
	return func() {
		if j.attempt == attempt && j.gang != nil {
			f()
		}
	}
}

func (r *run) finish(j *job) {
	j.done = r.now
	r.book.Observe(j.Job, r.now-j.attemptStarted)
	j.gang = nil
	r.running = remove(r.running, j)
}

// endAttempt ends the job's attempt before the job is done and requeues the job if it is
// idempotent. With saved set, the attempt's progress counts.
func (r *run) endAttempt(j *job, saved bool) {
	elapsed := r.now - j.attemptStarted
	if saved {
		j.remaining -= elapsed
	} else {
		r.result.PreemptedAccelH += elapsed.Hours() * float64(j.Job.Shape.Accelerators())
	}
	j.remaining = max(j.remaining, time.Second)
	j.gang = nil
	j.attempt++
	r.running = remove(r.running, j)
	if !j.Class.Idempotent {
		return // the outcome is unknown, so the job must not run again
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

// maxReclaimWait is the wait above which a job that fitted into its account's unused guarantee
// counts as a violation: the longest grace period and a few planning decisions.
const maxReclaimWait = 10 * time.Second

func (r *run) summarize() Result {
	out := r.result
	var completion, slowdown, large, reclaim []float64
	for _, j := range r.jobs {
		out.Total++
		end := j.done
		if end < 0 {
			end = r.now // unfinished jobs count as ending now
		} else {
			out.Completed++
		}
		completionTime := (end - j.submitted).Seconds()
		completion = append(completion, completionTime)
		slowdown = append(slowdown, completionTime/max(j.Run.Seconds(), 60))
		wait := (j.firstStart(r.now) - j.submitted).Seconds()
		if j.Job.Shape.Accelerators() >= LargeSize {
			large = append(large, wait)
		}
		if j.withinGuarantee {
			reclaim = append(reclaim, wait)
			if wait > maxReclaimWait.Seconds() {
				out.Violations++
			}
		}
	}
	out.MeanCompletion, out.P99Completion = mean(completion), quantile(completion, 0.99)
	out.MeanSlowdown = mean(slowdown)
	out.LargeP99Wait = quantile(large, 0.99)
	out.ReclaimP99 = quantile(reclaim, 0.99)
	out.UtilPct = 100 * r.usedTime / (float64(r.capacity) * r.trace.Length.Seconds())
	if r.freeTime > 0 {
		out.FragPct = 100 * r.unusableTime / r.freeTime
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
