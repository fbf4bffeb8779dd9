// Package report tells from the logs of instances what bound a deployment: which
// jobs were late, what they waited for, what work was thrown away and for what,
// and when nobody planned. It reads what the instances wrote and nothing else.
package report

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Report is what the logs tell of a stretch of time.
type Report struct {
	// From is the time of the first line, To of the last.
	From, To time.Time
	Queues   []Queue
	// Waits holds how long steps waited, by reason, in seconds.
	Waits map[string]float64
	// Refused counts refusals by reason and outcome.
	Refused map[string]int
	// Stopped counts runs that were stopped, by cause; Thrown is the work that
	// the stops threw away, in core-seconds.
	Stopped map[string]int
	Thrown  map[string]float64
	// Ended counts the ends of runs by how they ended.
	Ended map[string]int
	// Gaps are the stretches in which nobody planned.
	Gaps []Gap
	// Seconds counts, by second since From, the jobs that were late by when they
	// were accepted.
	Seconds []Second
}

// Queue sums up the jobs of one queue.
type Queue struct {
	Name string
	// Accepted jobs; of these in time, late, worthless, failed and cancelled. The
	// rest had no end in the logs. A job's time is its caller's: from its first try, at
	// whatever instance, until any instance told that it is completed.
	Accepted, InTime, Late, Worthless, Failed, Cancelled int
	// Path is how long the parts of a completed job's way took.
	Path Path
	// Where the time of jobs that were not in time went, mean milliseconds: until
	// the planner saw them, waiting before the first start by reason, in runs that
	// came to nothing, in the runs that completed them.
	Unseen, Waited, Again, Worked float64
	// ByReason is Waited by reason.
	ByReason map[string]float64
}

// Path is how long the parts of a job's way took, all completed jobs of a queue.
type Path struct {
	// Accepting is from the caller's first try to the acceptance, Starting from there to
	// the first start, Running from there to the end as the planner knows it, Telling from
	// there until a caller was told.
	Accepting, Starting, Running, Telling Times
}

// Times are durations of which some figures are of interest.
type Times []time.Duration

// Of returns the duration that a share of all don't exceed, in milliseconds; 0 if there
// are none.
func (t Times) Of(share float64) float64 {
	if len(t) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t))
	return ms(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))])
}

// Gap is a stretch without a planner.
type Gap struct {
	At  time.Duration
	For time.Duration
}

// Second counts the jobs accepted within one second.
type Second struct {
	Accepted, NotInTime int
}

// job is what the logs tell of one.
type job struct {
	queue             string
	arrived, accepted time.Time
	shown             time.Time
	objective         time.Duration
	seen, first, last time.Time
	reason            string
	since             time.Time
	waits             map[string]time.Duration
	outcome           string
	worked            time.Duration
	completed         time.Time
	failed, cancelled bool
}

// Make makes a report of the lines of logs, which are in the order of their times.
func Make(lines []events.Line) *Report {
	b := &builder{r: newReport(), jobs: map[string]*job{}, tried: map[string]time.Time{}}
	for _, l := range lines {
		b.take(l)
	}
	return b.finish()
}

func newReport() *Report {
	return &Report{Waits: map[string]float64{}, Refused: map[string]int{}, Stopped: map[string]int{}, Thrown: map[string]float64{}, Ended: map[string]int{}}
}

type builder struct {
	r *Report
	// tried is when each job that was not accepted yet was first refused.
	tried map[string]time.Time
	jobs  map[string]*job
	order []*job
	plans int
	idle  time.Time
}

func (b *builder) take(l events.Line) {
	if b.r.From.IsZero() {
		b.r.From = l.At
		b.idle = l.At
	}
	b.r.To = l.At
	why := text(l, "why")
	switch l.Event {
	case events.PlannerBegins:
		if b.plans == 0 {
			b.r.Gaps = append(b.r.Gaps, Gap{b.idle.Sub(b.r.From), l.At.Sub(b.idle)})
		}
		b.plans++
	case events.PlannerEnds:
		if b.plans--; b.plans <= 0 {
			b.plans, b.idle = 0, l.At
		}
	case events.JobRefused:
		b.r.Refused[text(l, "reason")+" "+text(l, "outcome")]++
	case "run-stopping":
		b.r.Stopped[why]++
		b.r.Thrown[why] += number(field(text(l, "detail"), "core_s"))
	case "run-ended":
		b.r.Ended[why]++
	}
	if id := text(l, "job"); id != "" {
		b.takeJob(id, l, why)
	}
}

func (b *builder) takeJob(id string, l events.Line, why string) {
	if l.Event == events.JobAccepted {
		if b.jobs[id] == nil {
			took := time.Duration(number(text(l, "took_ms"))) * time.Millisecond
			j := &job{queue: text(l, "queue"), accepted: l.At, arrived: l.At.Add(-took), waits: map[string]time.Duration{}}
			if first, tried := b.tried[id]; tried && first.Before(j.arrived) {
				j.arrived = first
			}
			b.jobs[id] = j
			b.order = append(b.order, j)
		}
		return
	}
	j := b.jobs[id]
	if j == nil {
		if _, tried := b.tried[id]; l.Event == events.JobRefused && !tried {
			b.tried[id] = l.At
		}
		return
	}
	switch l.Event {
	case "unit-waits":
		j.see(l.At)
		j.wait(l.At, why)
	case "unit-started":
		j.see(l.At)
		j.wait(l.At, "")
		j.last = l.At
		if j.first.IsZero() {
			j.first = l.At
		}
	case "job-completed":
		j.outcome, j.completed = why, l.At
		j.worked = time.Duration(number(field(text(l, "detail"), "worked_ms"))) * time.Millisecond
		j.objective = time.Duration(number(field(text(l, "detail"), "objective_ms"))) * time.Millisecond
	case events.JobShown:
		if j.shown.IsZero() {
			j.shown = l.At
		}
	case "job-failed":
		j.failed = true
	case events.JobCancelled:
		j.cancelled = true
	}
}

func (j *job) see(at time.Time) {
	if j.seen.IsZero() {
		j.seen = at
	}
}

// wait ends the wait for one reason and begins that for another.
func (j *job) wait(at time.Time, reason string) {
	if j.reason != "" {
		j.waits[j.reason] += at.Sub(j.since)
	}
	j.reason, j.since = reason, at
}

func (b *builder) finish() *Report {
	queues := map[string]*Queue{}
	for _, j := range b.order {
		q := queues[j.queue]
		if q == nil {
			q = &Queue{Name: j.queue, ByReason: map[string]float64{}}
			queues[j.queue] = q
		}
		q.add(j)
		for reason, d := range j.waits {
			b.r.Waits[reason] += d.Seconds()
		}
		b.second(j)
	}
	for _, q := range queues {
		q.mean()
		b.r.Queues = append(b.r.Queues, *q)
	}
	slices.SortFunc(b.r.Queues, func(a, c Queue) int { return strings.Compare(a.Name, c.Name) })
	return b.r
}

func (b *builder) second(j *job) {
	n := int(j.accepted.Sub(b.r.From).Seconds())
	for len(b.r.Seconds) <= n {
		b.r.Seconds = append(b.r.Seconds, Second{})
	}
	b.r.Seconds[n].Accepted++
	if !j.cancelled && j.outcome != "in-time" {
		b.r.Seconds[n].NotInTime++
	}
}

// lateFactor is how many times its objective a job may take and still be worth a part.
const lateFactor = 3

// sight replaces the planner's view of the outcome by the caller's, where both the
// objective and the time at which a caller was told are known.
func (j *job) sight() {
	if j.completed.IsZero() || j.objective == 0 {
		return
	}
	if j.shown.Before(j.completed) {
		// Nobody asked after its end, or the lines that would tell were left out.
		j.shown = j.completed
	}
	switch took := j.shown.Sub(j.arrived); {
	case took <= j.objective:
		j.outcome = "in-time"
	case took <= lateFactor*j.objective:
		j.outcome = "late"
	default:
		j.outcome = "worthless"
	}
}

func (p *Path) add(j *job) {
	if j.first.IsZero() || j.completed.IsZero() || j.first.Before(j.accepted) {
		return
	}
	p.Accepting = append(p.Accepting, j.accepted.Sub(j.arrived))
	p.Starting = append(p.Starting, j.first.Sub(j.accepted))
	p.Running = append(p.Running, j.completed.Sub(j.first))
	if j.shown.After(j.completed) {
		p.Telling = append(p.Telling, j.shown.Sub(j.completed))
	}
}

func (q *Queue) add(j *job) {
	q.Accepted++
	j.sight()
	q.Path.add(j)
	switch {
	case j.cancelled:
		q.Cancelled++
		return
	case j.failed:
		q.Failed++
		return
	case j.outcome == "in-time":
		q.InTime++
		return
	case j.outcome == "late":
		q.Late++
	case j.outcome == "worthless":
		q.Worthless++
	default:
		return
	}
	if j.seen.IsZero() {
		// The lines that would tell were left out.
		j.seen = j.accepted
	}
	q.Unseen += ms(max(0, j.seen.Sub(j.accepted)))
	waited := time.Duration(0)
	for reason, d := range j.waits {
		q.ByReason[reason] += ms(d)
		waited += d
	}
	q.Waited += ms(waited)
	q.Worked += ms(j.worked)
	q.Again += ms(max(0, j.completed.Sub(j.seen)-waited-j.worked))
}

func (q *Queue) mean() {
	n := float64(q.Late + q.Worthless)
	if n == 0 {
		return
	}
	for _, sum := range []*float64{&q.Unseen, &q.Waited, &q.Again, &q.Worked} {
		*sum /= n
	}
	for reason := range q.ByReason {
		q.ByReason[reason] /= n
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func text(l events.Line, name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// field finds name=value in a line's detail.
func field(detail, name string) string {
	for _, part := range strings.Fields(detail) {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			return value
		}
	}
	return ""
}

func number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return n
}
