package planner

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/standin"
)

// Guards against jobs being ended as failed where all workers restart at once, several times; one
// that crashes its workers is ended beside that.
func TestJobsAreNotEndedWhereAllWorkersRestartTogether(t *testing.T) {
	w := newWorld(fixedTest{t}, 24)
	s := w.addPlanner()
	w.settle(3, 300*time.Millisecond)
	var ids []domain.JobID
	for range 8 {
		ids = append(ids, w.submit("again", "b", 1, 20*time.Second))
	}
	crashing := w.submitPayload("again", "b", 1, standin.Workload{Crash: true})
	for range 6 {
		w.settle(30, 300*time.Millisecond)
		for id := range w.workers {
			w.crash(id)
		}
	}
	w.settle(200, 300*time.Millisecond)
	for _, id := range ids {
		if got := w.state(s, id); got != domain.JobCompleted {
			t.Errorf("%s is %s", id, got)
		}
	}
	if got := w.state(s, crashing); got != domain.JobFailed {
		t.Errorf("the job that crashes its workers is %s", got)
	}
}
