package control

import (
	"fmt"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// lateEnd takes the end of a run that was written off. It answers a data centre that is
// cut off for about as long as a lease: a run there completes, its worker's lease is
// taken to be over, and a moment later the worker answers and lists it as done. The
// task is done; run again it would hold room for nothing, and whatever follows it would
// wait for that, while most of the pool may be free. A run that was begun in its place
// meanwhile is stopped.
func (c *Core) lateEnd(w *worker, row EndedRow) {
	j := c.jobs[row.Task.Job]
	if row.How != EndDone || j == nil || j.cancelled || j.progress.State.Final() {
		return
	}
	t := j.progress.Find(row.Task)
	if t == nil || t.Phase == workload.Done || row.Run > t.Run || j.Steps[row.Task.Step].Perpetual {
		return
	}
	c.note(Note{Event: EventRunEnded, Job: j.ID, Task: row.Task.String(), Worker: w.ID, Run: row.Run, Why: string(EndDone), Detail: fmt.Sprintf("number=%d late", row.Number)})
	c.change(j)
	key := unitKey(row.Task.Job, row.Task.K, row.Task.Step)
	for _, o := range j.progress.Open {
		if o.K == row.Task.K {
			markDone(o.Steps[row.Task.Step], row.Task.Index, j.Steps[row.Task.Step].Gang)
		}
	}
	c.stopInPlace(j, key, row.Task)
	c.advance(j)
}

// markDone marks one task as done, or its whole gang: one member's end stands for all.
func markDone(tasks []workload.Task, index int, gang bool) {
	for i := range tasks {
		if i == index || gang {
			tasks[i] = workload.Task{Phase: workload.Done}
		}
	}
}

// stopInPlace stops what was begun in place of a run that turned out to be done.
func (c *Core) stopInPlace(j *job, key decide.UnitKey, id workload.TaskID) {
	for _, l := range j.livesOf(key) {
		if l.step.Gang || l.id == id {
			l.over = true
			c.stop(l, "done-before")
		}
	}
}
