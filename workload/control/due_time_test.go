package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// Guards against due times that move when the wall clock of the planner's machine jumps, or that
// are off by its difference to the clock of the instance that accepted the job.
func TestWallClockJumpsDoNotMoveDueTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	const wallMS = 50_000
	at := func(d time.Duration) time.Time { return start.Add(d) }
	newJob := func(acceptedMS int64) *job {
		return &job{Job: &workload.Job{AcceptedMS: acceptedMS}}
	}
	c := New(Bounds{AuthorityPeriod: time.Second}, 1, start)
	j := newJob(wallMS - 20)
	want := at(5 * time.Second).Add(-20 * time.Millisecond)
	for _, jump := range []int64{0, 4000, -4000} {
		if got := c.due(j, 0, at(5*time.Second), wallMS+jump); !got.Equal(want) {
			t.Errorf("a clock jump of %d ms moves the due time by %v", jump, got.Sub(want))
		}
	}
	for _, skew := range []int64{-4000, 4000} {
		got := at(5 * time.Second).Sub(c.due(newJob(wallMS+skew), 0, at(5*time.Second), wallMS))
		if got < 0 || got > maxPickupDelay {
			t.Errorf("clock skew of %d ms: the job was due %v before the planner learned of it", skew, got)
		}
	}
	// A planner that has just started learns of jobs that have waited for a long time.
	if got := at(0).Sub(New(Bounds{AuthorityPeriod: time.Second}, 2, start).due(newJob(wallMS-4000), 0, start, wallMS)); got != 4*time.Second {
		t.Errorf("a job accepted 4s before the planner started was due %v before", got)
	}
}
