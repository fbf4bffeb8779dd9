package control

import (
	"encoding/json"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// What a planner takes over when it begins, and as jobs come.

// Adopt takes a job of the book over. Tasks that the book has as placed may be
// at work on their workers.
func (c *Core) Adopt(id workload.JobID, e workload.Entry) {
	if c.jobs[id] == nil {
		c.takeOver(id, e)
	}
	if e.Cancelled {
		c.Cancel(id)
	}
}

func (c *Core) takeOver(id workload.JobID, e workload.Entry) {
	progress, problem := progressOf(e)
	if problem != "" {
		c.note(Note{Event: EventProgressUnreadable, Job: id, Why: problem})
		return
	}
	if progress == nil {
		c.noteOver(id)
		return
	}
	j := &job{Job: e.Job, progress: progress, order: len(c.jobs), since: map[decide.UnitKey]time.Time{}, avoid: map[string]bool{}, rates: map[decide.UnitKey]map[int]rating{}, held: map[decide.UnitKey]decide.Reason{}}
	j.inherited = progress.Begun
	j.suspected = j.hasSuspect()
	c.arrivals.note()
	c.addJob(j)
	c.adoptPlaced(j)
	if progress.State.Final() {
		// Its end is in the log; the stops that follow from it may never have gone out.
		c.stopAll(j)
		c.settle(j)
	}
}

// progressOf returns the progress with which a job is taken over, nil where the job is over. The
// problem is why it is left aside: begun anew, its tasks could run twice.
func progressOf(e workload.Entry) (progress *workload.Progress, problem string) {
	recorded := len(e.Progress) > 0
	switch {
	case e.Unreadable():
		return nil, "the newest record of the job can't be read"
	case !recorded && (e.State.Final() || e.Job.Reduced):
		return nil, ""
	case !recorded && e.Begun:
		return nil, "the job has begun and has no progress"
	case !recorded:
		return workload.NewProgress(), ""
	}
	progress = workload.NewProgress()
	if err := json.Unmarshal(e.Progress, progress); err != nil {
		return nil, err.Error()
	}
	if progress.State.Final() && len(progress.Open) == 0 {
		return nil, ""
	}
	if err := progress.Check(e.Job); err != nil {
		return nil, err.Error()
	}
	return progress, ""
}

func (c *Core) adoptPlaced(j *job) {
	for _, o := range j.progress.Open {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				if t.Phase == workload.Placed {
					c.addLive(j, workload.TaskID{Job: j.ID, K: o.K, Step: s, Index: i}, t).adoptPace()
				}
			}
		}
	}
}
