package control

import (
	"math"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Guards against an objective that allows for slow workers, or that misses the part of a run before
// this planner saw it.
func TestOwedTimeIsThatOfAnAverageWorker(t *testing.T) {
	const took = 3 * time.Second
	for name, test := range map[string]struct {
		conditions runConditions
		want       time.Duration
	}{
		"average":              {runConditions{took: took, speed: 1, slowdown: 1}, 3 * time.Second},
		"slow":                 {runConditions{took: took, speed: 0.6, slowdown: 1}, 1800 * time.Millisecond},
		"fast":                 {runConditions{took: took, speed: 1.6, slowdown: 1}, 4800 * time.Millisecond},
		"remote":               {runConditions{took: took, speed: 1, slowdown: 3}, time.Second},
		"seen from 40 percent": {runConditions{took: took, fromPercent: 40, speed: 1, slowdown: 1}, 5 * time.Second},
	} {
		if got := test.conditions.owed(); (got - test.want).Abs() > time.Millisecond {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// gangOnSlowWorker returns a gang's runs on a worker of average speed and one of speed 0.6.
func gangOnSlowWorker(now time.Time) (*Core, *job) {
	c := New(Bounds{Lease: 6 * time.Second, AuthorityPeriod: time.Hour, RemoteFactor: 3, PollWait: time.Second}, 1, now)
	c.speeds["slow"] = &speed{sum: 1e6 * math.Log(0.6), runs: 1e6}
	j := &job{Job: &workload.Job{Steps: []workload.Step{{Count: 2, Gang: true, EstimateMS: 1000}, {Count: 1, DependsOn: []int{0}, EstimateMS: 1000}}}}
	for i, id := range []string{"average", "slow"} {
		j.runs = append(j.runs, &activeRun{
			id: workload.TaskID{Index: i}, key: decide.UnitKey{}, step: &j.Steps[0], job: j, worker: c.workerFor(id), ordered: true, orderedAt: now,
		})
	}
	return c, j
}

// Guards against jobs that are reported as in time because a gang's slow member raised their
// objective, and against a gang's end that counts again for each member.
func TestChainOfAGangIsOwedAtAverageSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	c, j := gangOnSlowWorker(now)
	c.recordOwedTime(j.runs[0], EndFailed, now.Add(time.Second))
	c.recordOwedTime(j.runs[0], EndDone, now.Add(5*time.Second))
	j.runs[1].settled = true
	c.recordOwedTime(j.runs[1], EndDone, now.Add(9*time.Second))
	// 0.6 s failed, 3 s completed, and the second step's estimate of 1 s.
	if got, want := c.owedChain(j), 4600*time.Millisecond; (got - want).Abs() > 10*time.Millisecond {
		t.Errorf("the chain is %v, want %v", got, want)
	}
}

// Guards against a run of which only the rest after its saved progress counts as owed.
func TestResumedRunIsOwedAsAWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	c, j := gangOnSlowWorker(now)
	r := j.runs[0]
	r.resumed, r.firstPercent, r.firstAt = true, 50, now.Add(time.Second)
	c.recordOwedTime(r, EndDone, now.Add(3*time.Second))
	if got, want := j.owed.completed[taskOfStep{}], 2400*time.Millisecond; (got - want).Abs() > 10*time.Millisecond {
		t.Errorf("owed %v, want %v: 2 s for half the work at speed 0.6", got, want)
	}
}

// Guards against an objective that allows for the failed runs of all parallel tasks one after another,
// so that late jobs count as in time.
func TestFailedRunsOfParallelTasksAreNotSummed(t *testing.T) {
	now := time.Unix(1000, 0)
	c, j := gangOnSlowWorker(now)
	j.Steps = []workload.Step{{Count: 39, EstimateMS: 1000}}
	for i := range j.Steps[0].Count {
		r := &activeRun{id: workload.TaskID{Index: i}, step: &j.Steps[0], job: j, worker: c.workerFor("average"), ordered: true, orderedAt: now}
		if i < 8 {
			c.recordOwedTime(r, EndFailed, now.Add(3*time.Second))
			j.recordRunTime(r, EndFailed, now.Add(3*time.Second))
		}
		c.recordOwedTime(r, EndDone, now.Add(6*time.Second))
		j.recordRunTime(r, EndDone, now.Add(6*time.Second))
	}
	if owed, ran := c.owedChain(j), j.longestRunChain(); (owed-9*time.Second).Abs() > 10*time.Millisecond || ran != 9*time.Second {
		t.Errorf("owed %v, ran %v, want 9 s for both", owed, ran)
	}
}
