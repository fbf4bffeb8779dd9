package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A worker forgets an end once it is acknowledged, and the planner's records are then the only
// trace of it. So an end is acknowledged only if it was applied to its job's record, or if the
// job is known to have ended. That a planner has no record of a job proves nothing until it has
// been planning for as long as runs of earlier planners can last.

// missingRecord is the record that a planner lacks of a run whose end is reported.
type missingRecord string

const (
	missingNone missingRecord = ""
	missingJob  missingRecord = "job"
	missingRun  missingRecord = "run"
)

// missingRecordOf returns which record of an ended run is missing.
func (c *Core) missingRecordOf(row EndedRow) missingRecord {
	j := c.jobs[row.Task.Job]
	switch {
	case j == nil && c.finishedJobs[row.Task.Job]:
		return missingNone
	case j == nil:
		return missingJob
	case row.Task.Occurrence >= j.progress.NextOccurrence:
		return missingRun
	}
	if t := j.progress.FindTask(row.Task); t != nil && t.Phase != workload.Done && row.Run > t.Run {
		return missingRun
	}
	return missingNone
}

// deferUnknownEnd reports whether an end must not be acknowledged yet because the record of its
// run is missing, and emits an event the first time.
func (c *Core) deferUnknownEnd(w *worker, row EndedRow, now time.Time) bool {
	missing := c.missingRecordOf(row)
	if missing == missingNone {
		return false
	}
	if !w.unappliedEnds[row.Number] {
		c.emit(Event{Name: EventEndUnknown, Job: row.Task.Job, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Reason: string(missing), Detail: fmt.Sprintf("how=%s number=%d", row.End, row.Number)})
	}
	return now.Before(c.inheritedLeasesEnd)
}

// recordFinished records a job of which nothing can be running any more.
func (c *Core) recordFinished(id workload.JobID) {
	if c.finishedJobs != nil {
		c.finishedJobs[id] = true
	}
}

// forgetFinished drops the finished jobs once no more ends of theirs are expected.
func (c *Core) forgetFinished(now time.Time) {
	if !now.Before(c.inheritedLeasesEnd) {
		c.finishedJobs = nil
	}
}
