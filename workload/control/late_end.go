package control

import (
	"fmt"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// handleLateEnd handles the end of a run that was written off. This happens if a data centre is
// cut off for about as long as a lease: a run there completes, its worker's lease is taken to
// have expired, and a moment later the worker answers and lists the run as done. The task is
// done. To run it again would waste capacity and delay the steps that depend on it, even if most
// of the pool is free. A run that was started in its place meanwhile is stopped.
func (c *Core) handleLateEnd(w *worker, row EndedRow) {
	j := c.jobs[row.Task.Job]
	if row.End != EndDone || j == nil || j.cancelled || j.progress.State.IsFinal() {
		return
	}
	t := j.progress.FindTask(row.Task)
	if t == nil || t.Phase == workload.Done || row.Run > t.Run || j.Steps[row.Task.Step].Perpetual {
		return
	}
	addTotal(&c.summary.ends, string(EndDone), 0)
	c.emit(Event{Name: EventRunEnded, Job: j.ID, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Reason: string(EndDone), Detail: fmt.Sprintf("number=%d late", row.Number)})
	c.markDirty(j)
	key := unitKey(row.Task.Job, row.Task.Occurrence, row.Task.Step)
	for _, o := range j.progress.Open {
		if o.Number == row.Task.Occurrence {
			markDone(o.Steps[row.Task.Step], row.Task.Index, j.Steps[row.Task.Step].Gang)
		}
	}
	c.stopReplacements(j, key, row.Task)
	c.closeOccurrences(j)
}

// markDone marks one task as done, or its whole gang: the end of one member counts for all.
func markDone(tasks []workload.Task, index int, gang bool) {
	for i := range tasks {
		if i == index || gang {
			tasks[i] = workload.Task{Phase: workload.Done}
		}
	}
}

// stopReplacements stops runs that were started in place of a run that turned out to be done.
func (c *Core) stopReplacements(j *job, key decide.UnitKey, id workload.TaskID) {
	for _, r := range j.runsOf(key) {
		if r.step.Gang || r.id == id {
			r.settled = true
			c.stop(r, "done-before")
		}
	}
}
