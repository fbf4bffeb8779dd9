package control

import (
	"encoding/json"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// This file restores the state that a new planner takes over, and adds jobs as they arrive.

// Adopt adds a job from the job store. Tasks that are recorded as placed may be running on their
// workers.
func (c *Core) Adopt(id workload.JobID, e workload.Entry) {
	if c.jobs[id] == nil {
		c.adoptJob(id, e)
	}
	if e.Cancelled {
		c.Cancel(id)
	}
}

func (c *Core) adoptJob(id workload.JobID, e workload.Entry) {
	progress, problem := adoptableProgress(e)
	if problem != "" {
		c.emit(Event{Name: EventProgressUnreadable, Job: id, Reason: problem})
		return
	}
	if progress == nil {
		c.recordFinished(id)
		return
	}
	j := &job{Job: e.Job, progress: progress, sequence: len(c.jobs), waitingSince: map[decide.UnitKey]time.Time{}, avoidedWorkers: map[string]bool{}, rates: map[decide.UnitKey]map[int]rating{}, waitReasons: map[decide.UnitKey]decide.Reason{}}
	j.inherited = progress.Started
	j.suspected = j.hasSuspect()
	c.arrivals.record()
	c.addJob(j)
	c.adoptPlacedTasks(j)
	c.stopIncompleteGangs(j)
	if progress.State.IsFinal() {
		// The job's end is in the log, but the resulting stop orders may never have been sent.
		c.stopAllRuns(j)
		c.finalize(j)
	}
}

// adoptableProgress returns the progress to resume a job from, or nil if the job has ended. A
// non-empty problem says why the job must not be resumed: restarting it from scratch could run
// its tasks twice.
func adoptableProgress(e workload.Entry) (progress *workload.Progress, problem string) {
	recorded := len(e.Progress) > 0
	switch {
	case e.IsUnreadable():
		return nil, "the newest record of the job can't be read"
	case !recorded && (e.State.IsFinal() || e.Job.Reduced):
		return nil, ""
	case !recorded && e.Started:
		return nil, "the job was started, but its progress record is missing"
	case !recorded:
		return workload.NewProgress(), ""
	}
	progress = workload.NewProgress()
	if err := json.Unmarshal(e.Progress, progress); err != nil {
		return nil, err.Error()
	}
	if progress.State.IsFinal() && len(progress.Open) == 0 {
		return nil, ""
	}
	if err := progress.Validate(e.Job); err != nil {
		return nil, err.Error()
	}
	return progress, ""
}

func (c *Core) adoptPlacedTasks(j *job) {
	for _, o := range j.progress.Open {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				if t.Phase == workload.Placed {
					c.addRun(j, workload.TaskID{Job: j.ID, Occurrence: o.Number, Step: s, Index: i}, t).assumeThrottled()
				}
			}
		}
	}
}
