package planner

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Guards against a planner that finds a finished gang before it has read its job and loses
// the result, so that the work is started again.
func TestResultOfAJobThatIsNotReadYetIsKept(t *testing.T) {
	for _, class := range []domain.ClassName{"again", "once"} {
		w := newWorld(t, 6)
		w.addPlanner()
		w.runRounds(3, 300*time.Millisecond)
		id := w.submit(class, "b", 2, time.Second)
		for round := 0; len(w.attemptsRun[id]) == 0 && round < 50; round++ {
			w.runRounds(1, 100*time.Millisecond)
		}
		w.planners, w.messages = nil, nil
		w.now = w.now.Add(2 * time.Second)
		next := w.addPlanner()
		for range 5 {
			w.tick(next)
			for len(w.messages) > 0 {
				w.deliver(w.messages[0])
			}
			w.now = w.now.Add(300 * time.Millisecond)
		}
		w.runRounds(100, 300*time.Millisecond)
		if got, runs := w.jobState(next, id), len(w.attemptsRun[id]); got != domain.JobCompleted || runs != 1 {
			t.Errorf("class %s: the job is %s after %d attempts", class, got, runs)
		}
	}
}
