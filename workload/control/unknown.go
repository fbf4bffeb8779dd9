package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A worker forgets an end once it is acknowledged, and the planner's records are then all that
// is known of it. So an end is acknowledged only where it was applied to its job's record, or
// where the job is known to be over. That a planner has no record of a job says nothing by
// itself, until it has planned for as long as the runs of earlier planners can last.

// What a planner lacks of a run whose end is listed.
const (
	lacksJob = "job"
	lacksRun = "run"
)

// lacks tells what the records lack of a run that has ended; "" is nothing.
func (c *Core) lacks(row EndedRow, now time.Time) string {
	if !now.Before(c.strangersUntil) {
		return ""
	}
	j := c.jobs[row.Task.Job]
	if j == nil {
		if c.over[row.Task.Job] {
			return ""
		}
		return lacksJob
	}
	if row.Task.K >= j.progress.Next {
		return lacksRun
	}
	if t := j.progress.Find(row.Task); t != nil && t.Phase != workload.Done && row.Run > t.Run {
		return lacksRun
	}
	return ""
}

// endUnknown keeps an end from being acknowledged.
func (c *Core) endUnknown(w *worker, row EndedRow, lacks string) {
	if w.unapplied[row.Number] {
		return
	}
	w.unapplied[row.Number] = true
	c.note(Note{Event: EventEndUnknown, Job: row.Task.Job, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Why: lacks, Detail: fmt.Sprintf("how=%s number=%d", row.How, row.Number)})
}

// noteOver notes a job of which nothing can be at work any more.
func (c *Core) noteOver(id workload.JobID) {
	if c.over != nil {
		c.over[id] = true
	}
}

// forgetOver lets go of the jobs that are over once no end of theirs is asked about.
func (c *Core) forgetOver(now time.Time) {
	if !now.Before(c.strangersUntil) {
		c.over = nil
	}
}
