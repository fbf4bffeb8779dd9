package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// Outcome is how a completed job stands to its objective.
type Outcome string

// The outcomes of completed jobs.
const (
	// FinishedInTime: within the objective.
	FinishedInTime Outcome = "in-time"
	// FinishedLate: within three times the objective, which still is worth a part.
	FinishedLate Outcome = "late"
	// FinishedWorthless: later than that.
	FinishedWorthless Outcome = "worthless"
)

// worked notes how long a run took that completed a step or failed in it: a job
// is owed its failures as well. Members of a gang fail once.
func (j *job) worked(l *live, how End, now time.Time) {
	if l.orderedAt.IsZero() || (how != EndDone && how != EndFailed) {
		return
	}
	if j.took == nil {
		j.took, j.lost = map[int]time.Duration{}, map[int]time.Duration{}
	}
	took := now.Sub(l.orderedAt)
	if how == EndFailed {
		j.lost[l.id.Step] += took
		return
	}
	j.took[l.id.Step] = max(j.took[l.id.Step], took)
}

// complete notes a job's end and how it stands to its objective, unless an earlier
// planner saw some of its runs.
func (c *Core) complete(j *job) {
	note := Note{Event: EventJobCompleted, Job: j.ID}
	if !j.dueAt.IsZero() && !j.inherited {
		took := c.at.Sub(j.dueAt)
		worked := j.workedChain()
		terms := c.terms(j)
		objective := time.Duration(terms.Stretch*float64(worked)) + time.Duration(terms.TargetMS)*time.Millisecond
		note.Why = string(outcomeOf(took, objective))
		note.Detail = fmt.Sprintf("queue=%s took_ms=%d worked_ms=%d objective_ms=%d", j.Queue, took.Milliseconds(), worked.Milliseconds(), objective.Milliseconds())
	}
	c.note(note)
}

func outcomeOf(took, objective time.Duration) Outcome {
	switch {
	case took <= objective:
		return FinishedInTime
	case took <= lateFactor*objective:
		return FinishedLate
	}
	return FinishedWorthless
}

// workedChain is the longest chain of the runs that completed the job's steps,
// and of those that failed in them.
func (j *job) workedChain() time.Duration {
	return longestChain(j.Job, 0, true, func(step int) time.Duration { return j.took[step] + j.lost[step] })
}

// longestChain is the longest chain of steps by the time that each takes: of the
// whole job, or from a step on.
func longestChain(j *workload.Job, from int, whole bool, takes func(step int) time.Duration) time.Duration {
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
		longest[i] = before + takes(i)
		best = max(best, longest[i])
	}
	return best
}
