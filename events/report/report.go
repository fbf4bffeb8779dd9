// Package report derives the bottlenecks of a deployment from the event logs of its
// instances: which jobs were late, what they waited for, how much work was lost for
// which cause, and when there was no planner. The logs are its only input.
package report

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Report summarises the logs of a period.
type Report struct {
	// From is the time of the first line, and To that of the last.
	From, To time.Time
	Queues   []Queue
	// Waits is the total waiting time of jobs by reason, in seconds.
	Waits map[string]float64
	// Refused counts refusals by reason and outcome.
	Refused map[string]int
	// Stopped counts the runs that were stopped, by cause; LostWork is the work lost
	// by the stops, in core-seconds.
	Stopped  map[string]int
	LostWork map[string]float64
	// Ended counts the runs that ended, by how they ended.
	Ended map[string]int
	// Gaps are the periods without a planner.
	Gaps []Gap
	// Late counts the jobs that were not in time by cause.
	Late LateJobs
	// Seconds counts the accepted jobs, and those of them that were not in time, by
	// the second of their acceptance since From.
	Seconds []Second
}

// Queue summarises the jobs of one queue.
type Queue struct {
	Name string
	// Accepted is the number of accepted jobs; the other counts are those of them that
	// were in time, late, worthless, failed and cancelled. The rest had no end in the
	// logs. The time of a job is measured as its caller sees it: from its first
	// submission at any instance until any instance reports it as completed.
	Accepted, InTime, Late, Worthless, Failed, Cancelled int
	// Phases are the durations of the phases of completed jobs.
	Phases Phases
	// Mean durations, in milliseconds, for completed jobs that were not in time:
	// UnseenMS until the planner saw the job, WaitedMS waiting, WastedMS in runs that
	// did not complete it, and WorkedMS in the run that completed it.
	UnseenMS, WaitedMS, WastedMS, WorkedMS float64
	// WaitedMSByReason is WaitedMS split by reason.
	WaitedMSByReason map[string]float64
}

// Phases contains the durations of each phase, for all completed jobs of a queue.
type Phases struct {
	// Accepting lasts from the caller's first submission to the acceptance, Starting
	// until the first start, Running until the planner records the end, and Notifying
	// until the end is reported to a caller.
	Accepting, Starting, Running, Notifying Durations
}

// Durations are samples of a duration, in any order.
type Durations []time.Duration

// QuantileMS returns the quantile of the given share, in milliseconds, or 0 if there
// are no samples.
func (t Durations) QuantileMS(share float64) float64 {
	if len(t) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t))
	return ms(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))])
}

// Gap is a period without a planner. Start is relative to Report.From.
type Gap struct {
	Start  time.Duration
	Length time.Duration
}

// Second counts the jobs accepted within one second.
type Second struct {
	Accepted, NotInTime int
}

// job is the state of one job that was derived from the logs.
type job struct {
	queue, account              string
	arrived, accepted           time.Time
	notified                    time.Time
	objective                   time.Duration
	seen, firstStart, lastStart time.Time
	waitReason                  string
	waitingSince                time.Time
	// waits are the times of waiting by reason, and rewaits the parts after a restart of the
	// same step, of which waitsAgain tells for the current reason.
	waits, rewaits map[string]time.Duration
	waitsAgain     bool
	restartedSteps map[string]bool
	restartReason  string
	// owed is what the runs would have taken on average workers near the data; 0 is unknown.
	owed              time.Duration
	outcome           string
	worked            time.Duration
	completed         time.Time
	failed, cancelled bool
}

// Make returns a report of log lines, which must be ordered by time.
func Make(lines []events.Line) *Report {
	b := &builder{report: newReport(), jobs: map[string]*job{}, firstRefused: map[string]time.Time{}, unsummarised: map[string]*stopsAndEnds{}}
	for _, l := range lines {
		b.addLine(l)
	}
	return b.finish()
}

func newReport() *Report {
	return &Report{Waits: map[string]float64{}, Refused: map[string]int{}, Stopped: map[string]int{}, LostWork: map[string]float64{}, Ended: map[string]int{}}
}

type builder struct {
	report *Report
	// firstRefused is the time at which each job that is not accepted yet was first
	// refused.
	firstRefused map[string]time.Time
	jobs         map[string]*job
	order        []*job
	// unsummarised holds, by instance, the stops and ends in lines since its last summary.
	unsummarised   map[string]*stopsAndEnds
	activePlanners int
	idleSince      time.Time
}

func (b *builder) addLine(l events.Line) {
	if b.report.From.IsZero() {
		b.report.From = l.At
		b.idleSince = l.At
	}
	b.report.To = l.At
	why := stringField(l, "why")
	switch l.Event {
	case events.PlannerBegins:
		if b.activePlanners == 0 {
			b.report.Gaps = append(b.report.Gaps, Gap{b.idleSince.Sub(b.report.From), l.At.Sub(b.idleSince)})
		}
		b.activePlanners++
	case events.PlannerEnds:
		if b.activePlanners--; b.activePlanners <= 0 {
			b.activePlanners, b.idleSince = 0, l.At
		}
	case events.JobRefused:
		b.report.Refused[stringField(l, "reason")+" "+stringField(l, "outcome")]++
	}
	b.addStopOrEnd(l, why)
	if id := stringField(l, "job"); id != "" {
		b.addJobLine(id, l, why)
	}
}

func (b *builder) addJobLine(id string, l events.Line, why string) {
	if l.Event == events.JobAccepted {
		if b.jobs[id] == nil {
			took := time.Duration(parseNumber(stringField(l, "took_ms"))) * time.Millisecond
			j := &job{
				queue: stringField(l, "queue"), account: stringField(l, "account"), accepted: l.At, arrived: l.At.Add(-took),
				waits: map[string]time.Duration{}, rewaits: map[string]time.Duration{}, restartedSteps: map[string]bool{},
			}
			if first, refused := b.firstRefused[id]; refused && first.Before(j.arrived) {
				j.arrived = first
			}
			b.jobs[id] = j
			b.order = append(b.order, j)
		}
		return
	}
	j := b.jobs[id]
	if j == nil {
		if _, refused := b.firstRefused[id]; l.Event == events.JobRefused && !refused {
			b.firstRefused[id] = l.At
		}
		return
	}
	j.addRestart(l, why)
	switch l.Event {
	case "unit-waits":
		j.markSeen(l.At)
		j.setWaitReason(l.At, why)
		j.waitsAgain = j.restartedSteps[stepOf(stringField(l, "task"))]
	case "unit-started":
		j.markSeen(l.At)
		j.setWaitReason(l.At, "")
		j.lastStart = l.At
		if j.firstStart.IsZero() {
			j.firstStart = l.At
		}
	case "job-completed":
		j.outcome, j.completed = why, l.At
		j.worked = time.Duration(parseNumber(detailField(stringField(l, "detail"), "worked_ms"))) * time.Millisecond
		j.owed = time.Duration(parseNumber(detailField(stringField(l, "detail"), "owed_ms"))) * time.Millisecond
		j.objective = time.Duration(parseNumber(detailField(stringField(l, "detail"), "objective_ms"))) * time.Millisecond
	case events.JobEndReported:
		if j.notified.IsZero() {
			j.notified = l.At
		}
	case "job-failed":
		j.failed = true
	case events.JobCancelled:
		j.cancelled = true
	}
}

func (j *job) markSeen(at time.Time) {
	if j.seen.IsZero() {
		j.seen = at
	}
}

// setWaitReason ends the wait for the current reason and starts one for another; an
// empty reason means that the job no longer waits.
func (j *job) setWaitReason(at time.Time, reason string) {
	if j.waitReason != "" {
		j.waits[j.waitReason] += at.Sub(j.waitingSince)
		if j.waitsAgain {
			j.rewaits[j.waitReason] += at.Sub(j.waitingSince)
		}
	}
	j.waitReason, j.waitingSince = reason, at
}

func (b *builder) finish() *Report {
	for _, open := range b.unsummarised {
		b.report.addStopsAndEnds(open)
	}
	queues := map[string]*Queue{}
	late := newLateCounter()
	for _, j := range b.order {
		q := queues[j.queue]
		if q == nil {
			q = &Queue{Name: j.queue, WaitedMSByReason: map[string]float64{}}
			queues[j.queue] = q
		}
		q.add(j)
		late.add(j, b.report.From)
		for reason, d := range j.waits {
			b.report.Waits[reason] += d.Seconds()
		}
		b.countSecond(j)
	}
	b.report.Late = late.result()
	for _, q := range queues {
		q.computeMeans()
		b.report.Queues = append(b.report.Queues, *q)
	}
	slices.SortFunc(b.report.Queues, func(a, c Queue) int { return strings.Compare(a.Name, c.Name) })
	return b.report
}

func (b *builder) countSecond(j *job) {
	n := int(j.accepted.Sub(b.report.From).Seconds())
	for len(b.report.Seconds) <= n {
		b.report.Seconds = append(b.report.Seconds, Second{})
	}
	b.report.Seconds[n].Accepted++
	if !j.cancelled && j.outcome != "in-time" {
		b.report.Seconds[n].NotInTime++
	}
}

// maxLateFactor is the multiple of its objective up to which a job counts as late;
// beyond it, its result counts as worthless.
const maxLateFactor = 3

// applyCallerOutcome replaces the outcome that the planner reported by the one that
// the caller saw, if the job completed and its objective is known.
func (j *job) applyCallerOutcome() {
	if j.completed.IsZero() || j.objective == 0 {
		return
	}
	if j.notified.Before(j.completed) {
		// No caller asked after its end, or the lines that report it were dropped.
		j.notified = j.completed
	}
	switch took := j.notified.Sub(j.arrived); {
	case took <= j.objective:
		j.outcome = "in-time"
	case took <= maxLateFactor*j.objective:
		j.outcome = "late"
	default:
		j.outcome = "worthless"
	}
}

func (p *Phases) add(j *job) {
	if j.firstStart.IsZero() || j.completed.IsZero() || j.firstStart.Before(j.accepted) {
		return
	}
	p.Accepting = append(p.Accepting, j.accepted.Sub(j.arrived))
	p.Starting = append(p.Starting, j.firstStart.Sub(j.accepted))
	p.Running = append(p.Running, j.completed.Sub(j.firstStart))
	if j.notified.After(j.completed) {
		p.Notifying = append(p.Notifying, j.notified.Sub(j.completed))
	}
}

func (q *Queue) add(j *job) {
	q.Accepted++
	j.applyCallerOutcome()
	q.Phases.add(j)
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
		// The lines that report it were dropped.
		j.seen = j.accepted
	}
	q.UnseenMS += ms(max(0, j.seen.Sub(j.accepted)))
	waited := time.Duration(0)
	for reason, d := range j.waits {
		q.WaitedMSByReason[reason] += ms(d)
		waited += d
	}
	q.WaitedMS += ms(waited)
	q.WorkedMS += ms(j.worked)
	q.WastedMS += ms(max(0, j.completed.Sub(j.seen)-waited-j.worked))
}

func (q *Queue) computeMeans() {
	n := float64(q.Late + q.Worthless)
	if n == 0 {
		return
	}
	for _, sum := range []*float64{&q.UnseenMS, &q.WaitedMS, &q.WastedMS, &q.WorkedMS} {
		*sum /= n
	}
	for reason := range q.WaitedMSByReason {
		q.WaitedMSByReason[reason] /= n
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func stringField(l events.Line, name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// detailField returns the value of name=value in a line's detail, or "".
func detailField(detail, name string) string {
	for _, part := range strings.Fields(detail) {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			return value
		}
	}
	return ""
}

func parseNumber(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return n
}
