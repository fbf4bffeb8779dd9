package planner

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/standin"
)

// Guards against jobs being ended as failed where all workers restart together several
// times. A job that crashes its workers itself must still be ended.
func TestJobsAreNotEndedWhereAllWorkersRestartTogether(t *testing.T) {
	w := newWorld(plainTest{t}, 24)
	s := w.addPlanner()
	w.runRounds(3, 300*time.Millisecond)
	var ids []domain.JobID
	for range 8 {
		ids = append(ids, w.submit("again", "b", 1, 20*time.Second))
	}
	crashing := w.submitPayload("again", "b", 1, standin.Workload{Crash: true})
	for range 6 {
		w.runRounds(30, 300*time.Millisecond)
		for id := range w.workers {
			w.crash(id)
		}
	}
	w.runRounds(200, 300*time.Millisecond)
	for _, id := range ids {
		if got := w.jobState(s, id); got != domain.JobCompleted {
			t.Errorf("%s is %s", id, got)
		}
	}
	if got := w.jobState(s, crashing); got != domain.JobFailed {
		t.Errorf("the job that crashes its workers is %s", got)
	}
}
