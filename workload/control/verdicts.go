package control

import (
	"fmt"
	"slices"

	"github.com/cobalttide/cobalttide/workload"
)

// excludeCrashesOf takes the crashes that a job which was given up had a part in off the tasks
// that were beside it.
func (c *Core) excludeCrashesOf(by workload.JobID) {
	for i := range c.crashes.crashes {
		one := &c.crashes.crashes[i]
		if !slices.ContainsFunc(one.tasks, func(id workload.TaskID) bool { return id.Job == by }) {
			continue
		}
		for _, id := range one.tasks {
			if id.Job != by {
				c.exonerate(id)
			}
		}
		one.tasks = nil
	}
}

// exonerate takes a crash that another job caused off a task.
func (c *Core) exonerate(id workload.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	t := j.progress.Find(id)
	if t == nil || t.Evidence() <= 0 {
		return
	}
	t.Crashes--
	t.Exonerated++
	c.change(j)
}

// giveUp ends the job of a task that crashes its workers.
func (c *Core) giveUp(l *live) {
	t := c.task(l)
	if t == nil || l.job.progress.State.Final() {
		return
	}
	c.note(Note{Event: EventJobFailed, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: "crashes-workers", Detail: fmt.Sprintf("%s within_ms=%d", crashDetail(t), t.CrashMS)})
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
