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

// lack is what a planner lacks of a run whose end is listed.
type lack string

const (
	lacksNothing lack = ""
	lacksJob     lack = "job"
	lacksRun     lack = "run"
)

// lacks tells what the records lack of a run that has ended.
func (c *Core) lacks(row EndedRow) lack {
	j := c.jobs[row.Task.Job]
	switch {
	case j == nil && c.over[row.Task.Job]:
		return lacksNothing
	case j == nil:
		return lacksJob
	case row.Task.K >= j.progress.Next:
		return lacksRun
	}
	if t := j.progress.Find(row.Task); t != nil && t.Phase != workload.Done && row.Run > t.Run {
		return lacksRun
	}
	return lacksNothing
}

// keepsUnknown tells whether an end is kept from being acknowledged for want of its run's record.
func (c *Core) keepsUnknown(w *worker, row EndedRow, now time.Time) bool {
	lacks := c.lacks(row)
	if lacks == lacksNothing {
		return false
	}
	if !w.unapplied[row.Number] {
		c.note(Note{Event: EventEndUnknown, Job: row.Task.Job, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Why: string(lacks), Detail: fmt.Sprintf("how=%s number=%d", row.How, row.Number)})
	}
	return now.Before(c.strangersUntil)
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
