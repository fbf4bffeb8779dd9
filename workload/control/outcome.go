package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// Outcome is how a completed job compares with its objective.
type Outcome string

const (
	// FinishedInTime: within the objective.
	FinishedInTime Outcome = "in-time"
	// FinishedLate: within three times the objective, which is still worth a part.
	FinishedLate Outcome = "late"
	// FinishedWorthless: later than that.
	FinishedWorthless Outcome = "worthless"
)

// recordRunTime records the run time of a run that completed its step or failed. A job's
// objective allows for its failed runs too. A gang fails once.
func (j *job) recordRunTime(r *activeRun, end End, now time.Time) {
	if r.orderedAt.IsZero() || (end != EndDone && end != EndFailed) {
		return
	}
	took := now.Sub(r.orderedAt)
	j.worked.record(r, end, took)
	if end != EndFailed {
		return
	}
	if j.failedTime == nil {
		j.failedTime = map[int]time.Duration{}
	}
	j.failedTime[r.id.Step] += took
}

// emitCompletion emits the completion of a job and how that compares with its objective. Jobs with
// repetitions have none.
func (c *Core) emitCompletion(j *job) {
	event := Event{Name: EventJobCompleted, Job: j.ID}
	if j.Repetitions == 0 && !c.roundAt.IsZero() {
		took := max(0, c.roundAt.Sub(c.due(j, 0, c.roundAt, c.wallMS)))
		ran, owed := j.longestRunChain(), c.owedChain(j)
		terms := c.queueSettings(j)
		objective := time.Duration(terms.Stretch*float64(owed)) + time.Duration(terms.TargetMS)*time.Millisecond
		event.Reason = string(compareWithObjective(took, objective))
		event.Detail = fmt.Sprintf("queue=%s took_ms=%d worked_ms=%d owed_ms=%d objective_ms=%d", j.Queue, took.Milliseconds(), ran.Milliseconds(), owed.Milliseconds(), objective.Milliseconds())
		if j.inherited {
			event.Detail += " inherited=true"
		}
	}
	c.emit(event)
}

func compareWithObjective(took, objective time.Duration) Outcome {
	switch {
	case took <= objective:
		return FinishedInTime
	case took <= lateFactor*objective:
		return FinishedLate
	}
	return FinishedWorthless
}

// longestRunChain returns the run time of the longest chain of the job's steps, including failed
// runs.
func (j *job) longestRunChain() time.Duration {
	return longestChain(j.Job, 0, true, func(step int) time.Duration {
		return j.worked.longest(step, &j.Steps[step], func() time.Duration { return 0 })
	})
}

// longestChain returns the longest chain of steps by the given duration of each step: of the
// whole job, or of the chains that begin with the step from.
func longestChain(j *workload.Job, from int, whole bool, duration func(step int) time.Duration) time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	best := time.Duration(0)
	for i := range j.Steps {
		reached := whole || i == from
		before := time.Duration(0)
		for _, d := range j.Steps[i].DependsOn {
			if longest[d] > 0 {
				before = max(before, longest[d])
				reached = true
			}
		}
		if !reached {
			continue
		}
		longest[i] = before + duration(i)
		best = max(best, longest[i])
	}
	return best
}
