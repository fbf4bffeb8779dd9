package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// summaryInterval is the least time between two summaries.
const summaryInterval = time.Second

// total is a number of runs and their work in core-seconds.
type total struct {
	runs        int
	coreSeconds float64
}

// roundSummary holds the stops and ends since the last summary by reason. Single lines may be left
// out of a log that is over its limit; summaries are not.
type roundSummary struct {
	stops, ends map[string]total
	// due is when the next summary may be emitted.
	due time.Time
}

func addTotal(m *map[string]total, reason string, coreSeconds float64) {
	if *m == nil {
		*m = map[string]total{}
	}
	t := (*m)[reason]
	t.runs++
	t.coreSeconds += coreSeconds
	(*m)[reason] = t
}

// EmitDueSummary emits the stops and ends since the last summary, if there are any, at most once in
// summaryInterval. It is to be called before Events also when no round was made: runs end and are
// stopped between rounds too.
func (c *Core) EmitDueSummary(now time.Time) {
	if now.Before(c.summary.due) || !c.EmitSummary() {
		return
	}
	c.summary.due = now.Add(summaryInterval)
}

// EmitSummary emits the stops and ends since the last summary, and reports whether there were any.
func (c *Core) EmitSummary() bool {
	s := &c.summary
	if len(s.stops) == 0 && len(s.ends) == 0 {
		return false
	}
	c.emit(Event{Name: EventRoundSummary, Detail: "stops=" + formatTotals(s.stops) + " ends=" + formatTotals(s.ends)})
	s.stops, s.ends = nil, nil
	return true
}

// formatTotals formats totals as REASON:RUNS:CORE_SECONDS, separated by commas.
func formatTotals(m map[string]total) string {
	var parts []string
	for _, reason := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%s:%d:%.1f", reason, m[reason].runs, m[reason].coreSeconds))
	}
	return strings.Join(parts, ",")
}

// stopKey identifies the members of a gang's run that are stopped for one reason.
type stopKey struct {
	unit   decide.UnitKey
	run    int64
	reason string
}

// stopLine is the event of a gang's stop that has not been taken by Events yet.
type stopLine struct {
	// index is the event's index in pendingEvents.
	index   int
	stopped total
	members string
}

// emitStop emits the stop of a run. The members of a gang that are stopped for one reason, before
// the events are taken, share one event.
func (c *Core) emitStop(r *activeRun, reason string, lost float64) {
	addTotal(&c.summary.stops, reason, lost)
	event := Event{Name: EventRunStopping, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: reason, Detail: fmt.Sprintf("core_s=%.1f", lost)}
	if !r.step.Gang {
		c.emit(event)
		return
	}
	key := stopKey{r.key, r.run, reason}
	line, known := c.stopLines[key]
	if !known {
		line = &stopLine{index: len(c.pendingEvents)}
		c.stopLines[key] = line
		event.Task, event.Worker = r.id.StepID(), ""
		c.emit(event)
	}
	line.stopped.runs++
	line.stopped.coreSeconds += lost
	line.members += fmt.Sprintf(" %d@%s", r.id.Index, r.worker.ID)
	c.pendingEvents[line.index].Detail = fmt.Sprintf("core_s=%.1f members=%d%s", line.stopped.coreSeconds, line.stopped.runs, line.members)
}

// emitRunEnd emits the end of a run that its worker has listed.
func (c *Core) emitRunEnd(r *activeRun, row EndedRow, now time.Time) {
	work := 0.0
	if !r.orderedAt.IsZero() {
		work = now.Sub(r.orderedAt).Seconds() * r.step.Need.CoreEquivalent()
	}
	addTotal(&c.summary.ends, string(row.End), work)
	c.emit(Event{Name: EventRunEnded, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: string(row.End), Detail: fmt.Sprintf("number=%d", row.Number)})
}

// StoppedTasks returns the tasks of an EventRunStopping.
func StoppedTasks(n Event) []workload.TaskID {
	if id, err := workload.ParseTaskID(n.Task); err == nil {
		return []workload.TaskID{id}
	}
	var out []workload.TaskID
	for _, field := range strings.Fields(n.Detail) {
		index, _, member := strings.Cut(field, "@")
		if id, err := workload.ParseTaskID(n.Task + "." + index); member && err == nil {
			out = append(out, id)
		}
	}
	return out
}
