package control

import (
	"fmt"
	"slices"

	"github.com/cobalttide/cobalttide/workload"
)

// exonerateOthers removes the crashes attributed to a failed job from the tasks of other jobs
// that were running beside it.
func (c *Core) exonerateOthers(failed workload.JobID) {
	for i := range c.crashHistory.crashes {
		cr := &c.crashHistory.crashes[i]
		if !slices.ContainsFunc(cr.tasks, func(id workload.TaskID) bool { return id.Job == failed }) {
			continue
		}
		for _, id := range cr.tasks {
			if id.Job != failed {
				c.exonerate(id)
			}
		}
		cr.tasks = nil
	}
}

// exonerate removes a crash that another job caused from a task's evidence.
func (c *Core) exonerate(id workload.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	t := j.progress.FindTask(id)
	if t == nil || t.Evidence() <= 0 {
		return
	}
	t.Crashes--
	t.Exonerated++
	c.markDirty(j)
}

// failForCrashes fails the job of a task that crashes its workers.
func (c *Core) failForCrashes(r *activeRun) {
	t := c.task(r)
	if t == nil || r.job.progress.State.IsFinal() {
		return
	}
	c.emit(Event{Name: EventJobFailed, Job: r.id.Job, Task: r.id.String(), Worker: r.worker.ID, Run: r.run, Reason: "crashes-workers", Detail: fmt.Sprintf("%s within_ms=%d", crashDetail(t), t.CrashMS)})
	c.failJob(r.job)
	c.exonerateOthers(r.id.Job)
}

// failJob marks a job as failed and stops its runs.
func (c *Core) failJob(j *job) {
	j.progress.State = workload.Failed
	c.markDirty(j)
	c.stopAllRuns(j)
	c.finalize(j)
}
