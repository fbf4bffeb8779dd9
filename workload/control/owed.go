package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// taskTimes are the run times of a job's tasks. The members of a gang count as one task.
type taskTimes struct {
	// completed is the longest completed run of each task, failed the total of its failed runs.
	completed, failed map[taskOfStep]time.Duration
}

// taskOfStep identifies a task of a job, or a gang with index 0.
type taskOfStep struct{ step, index int }

func taskOf(r *activeRun) taskOfStep {
	if r.step.Gang {
		return taskOfStep{r.id.Step, 0}
	}
	return taskOfStep{r.id.Step, r.id.Index}
}

// record records a run that completed its task or failed.
func (t *taskTimes) record(r *activeRun, end End, took time.Duration) {
	if t.completed == nil {
		t.completed, t.failed = map[taskOfStep]time.Duration{}, map[taskOfStep]time.Duration{}
	}
	task := taskOf(r)
	if end == EndFailed {
		t.failed[task] += took
		return
	}
	t.completed[task] = max(t.completed[task], took)
}

// longest returns the longest time of a task of the step, including its failed runs. The tasks run
// in parallel, so the failed runs of one do not delay the others. missing is the time of a task that
// failed and whose completion was not recorded, and of a step of which nothing was recorded.
func (t *taskTimes) longest(index int, step *workload.Step, missing func() time.Duration) time.Duration {
	tasks := step.Count
	if step.Gang {
		tasks = min(1, tasks)
	}
	longest, recorded := time.Duration(0), false
	for i := range tasks {
		task := taskOfStep{index, i}
		completed, known := t.completed[task]
		failed, failedBefore := t.failed[task]
		if !known && failedBefore {
			completed = missing()
		}
		recorded = recorded || known || failedBefore
		longest = max(longest, completed+failed)
	}
	if !recorded {
		return missing()
	}
	return longest
}

// runConditions are the observed part of a run and where it took place.
type runConditions struct {
	// took is the observed time, and fromPercent the progress at its beginning.
	took        time.Duration
	fromPercent int
	// speed is that of the worker relative to the average.
	speed float64
	// slowdown is the factor by which the run took longer away from its data; at least 1.
	slowdown float64
}

// owed returns how long the whole run takes on an average worker near the data.
func (r runConditions) owed() time.Duration {
	return time.Duration(float64(r.took) * r.speed / max(1, r.slowdown) * 100 / float64(100-r.fromPercent))
}

// recordOwedTime records a run that completed its step or failed by itself. The end of a gang's
// first member counts for all, since a gang ends as a whole and fails once.
func (c *Core) recordOwedTime(r *activeRun, end End, now time.Time) {
	if r.settled || (end != EndDone && end != EndFailed) || (end == EndFailed && r.step.Gang && r.stopping) {
		return
	}
	conditions, known := c.conditionsOf(r, end, now)
	if !known {
		return
	}
	r.job.owed.record(r, end, conditions.owed())
}

// conditionsOf returns the conditions of a run that ends. Of a run that began with saved progress,
// or that an earlier planner ordered, the part since its first reported progress is extrapolated.
// known is false if too little of it was seen.
func (c *Core) conditionsOf(r *activeRun, end End, now time.Time) (conditions runConditions, known bool) {
	conditions.speed, conditions.slowdown = c.unitSpeed(r)
	conditions.took = now.Sub(r.orderedAt)
	if end == EndFailed || (r.ordered && !r.resumed) {
		// The whole work of a failed run is not of interest, only its time.
		return conditions, !r.orderedAt.IsZero()
	}
	conditions.took, conditions.fromPercent = now.Sub(r.firstAt), r.firstPercent
	return conditions, !r.firstAt.IsZero() && r.firstPercent <= 100-minProgress
}

// unitSpeed returns the speed of the run's worker, and by what factor the run took longer away from
// its data. A gang advances as its slowest member does, so the speed of the slowest member's worker
// is the estimate for all members. It is too low where that member has less work than the others. The measured speed is used, since
// speedFactor has an arbitrary value for cold workers.
func (c *Core) unitSpeed(r *activeRun) (speed, slowdown float64) {
	speed, remote := c.speeds[r.worker.ID].factor(), r.remote
	if r.step.Gang {
		for _, member := range r.job.runsOf(r.key) {
			speed = min(speed, c.speeds[member.worker.ID].factor())
			remote = remote || member.remote
		}
	}
	if remote {
		return speed, max(1, c.bounds.RemoteFactor)
	}
	return speed, 1
}

// owedChain returns the longest chain of the job's steps on average workers near the data,
// including failed runs. Steps of which too little was seen are estimated. Failed runs that only an
// earlier planner saw are missing.
func (c *Core) owedChain(j *job) time.Duration {
	return longestChain(j.Job, 0, true, func(step int) time.Duration {
		return j.owed.longest(step, &j.Steps[step], func() time.Duration {
			if j.Steps[step].Perpetual {
				return 0
			}
			return c.estimates.expected(j, step)
		})
	})
}
