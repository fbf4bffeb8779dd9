package control

import (
	"fmt"
	"slices"

	"github.com/cobalttide/cobalttide/workload"
)

// excludeCrashesOf takes the crashes that a job which was given up had a part in for no evidence
// against the tasks that were beside it.
func (c *Core) excludeCrashesOf(by workload.JobID) {
	for i := range c.crashes.crashes {
		one := &c.crashes.crashes[i]
		if !slices.ContainsFunc(one.tasks, func(id workload.TaskID) bool { return id.Job == by }) {
			continue
		}
		for _, id := range one.tasks {
			if id.Job != by {
				c.exclude(id)
			}
		}
		one.tasks = nil
	}
}

// giveUp ends the job of a task that crashes its workers.
func (c *Core) giveUp(l *live) {
	t := c.task(l)
	if t == nil || l.job.progress.State.Final() {
		return
	}
	c.note(Note{Event: EventJobFailed, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: "crashes-workers", Detail: fmt.Sprintf("crashes=%d excluded=%d within_ms=%d", t.Crashes, t.Excluded, t.CrashMS)})
	c.failJob(l.job)
	c.excludeCrashesOf(l.id.Job)
}

// failJob ends a job as failed, with what runs of it.
func (c *Core) failJob(j *job) {
	j.progress.State = workload.Failed
	c.change(j)
	c.stopAll(j)
	c.settle(j)
}
