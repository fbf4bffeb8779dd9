package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// The time of day may jump on the planner's machine, or differ from that of the
// instance that accepted a job: what waits has the time that it has.
func TestJumpsOfTheTimeOfDayDoNotMoveWhatIsDue(t *testing.T) {
	began := time.Unix(1000, 0)
	const wallMS = 50_000
	at := func(d time.Duration) time.Time { return began.Add(d) }
	newJob := func(acceptedMS int64) *job {
		return &job{Job: &workload.Job{AcceptedMS: acceptedMS}}
	}
	c := New(Bounds{Authority: time.Second}, 1, began)
	j := newJob(wallMS - 20)
	want := at(5 * time.Second).Add(-20 * time.Millisecond)
	for _, jump := range []int64{0, 4000, -4000} {
		if got := c.due(j, 0, at(5*time.Second), wallMS+jump); !got.Equal(want) {
			t.Errorf("a jump by %d ms moves it by %v", jump, got.Sub(want))
		}
	}
	for _, off := range []int64{-4000, 4000} {
		got := at(5 * time.Second).Sub(c.due(newJob(wallMS+off), 0, at(5*time.Second), wallMS))
		if got < 0 || got > maxPickupDelay {
			t.Errorf("clocks %d ms apart: due %v before it was seen", off, got)
		}
	}
	// A planner that has just begun sees jobs that have waited for long.
	if got := at(0).Sub(New(Bounds{Authority: time.Second}, 2, began).due(newJob(wallMS-4000), 0, began, wallMS)); got != 4*time.Second {
		t.Errorf("an old job was due %v before", got)
	}
}
