package planner

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// A planner that finds a finished gang before it has read its job keeps the result: the work does not begin again.
func TestAResultOfAJobThatIsNotReadYetIsKept(t *testing.T) {
	for _, class := range []domain.ClassName{"again", "once"} {
		w := newWorld(t, 6)
		w.addPlanner()
		w.settle(3, 300*time.Millisecond)
		id := w.submit(class, "b", 2, time.Second)
		for round := 0; len(w.released[id]) == 0 && round < 50; round++ {
			w.settle(1, 100*time.Millisecond)
		}
		w.planners, w.flights = nil, nil
		w.now = w.now.Add(2 * time.Second)
		next := w.addPlanner()
		for range 5 {
			w.tick(next)
			for len(w.flights) > 0 {
				w.arrive(w.flights[0])
			}
			w.now = w.now.Add(300 * time.Millisecond)
		}
		w.settle(100, 300*time.Millisecond)
		if got, runs := w.state(next, id), len(w.released[id]); got != domain.JobCompleted || runs != 1 {
			t.Errorf("class %s: the job is %s after %d attempts", class, got, runs)
		}
	}
}
