package planner

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// outageWorld returns a world of 24 workers with jobs that harm no worker and outlast each outage.
func outageWorld(t *testing.T) (*world, *plannerSim, []domain.JobID) {
	w := newWorld(plainTest{t}, 24)
	s := w.addPlanner()
	w.runRounds(3, 300*time.Millisecond)
	var ids []domain.JobID
	for range 8 {
		ids = append(ids, w.submit("again", "b", 1, 10*time.Hour))
	}
	w.runRounds(30, 300*time.Millisecond)
	return w, s, ids
}

func (w *world) crashAll() {
	for id := range w.workers {
		w.crash(id)
	}
}

// checkNoneEnded checks that no job has ended as failed: all workers restarted together.
func checkNoneEnded(t *testing.T, w *world, s *plannerSim, ids []domain.JobID) {
	t.Helper()
	failed := 0
	for _, id := range ids {
		if w.jobState(s, id) == domain.JobFailed {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d jobs were ended as failed for restarts of all workers at once", failed, len(ids))
	}
}

// Guards against a verdict without evidence: all restarts under a job were parts of outages.
func TestJobsAreNotEndedHoweverOftenAllWorkersRestartTogether(t *testing.T) {
	w, s, ids := outageWorld(t)
	for range 2*w.options.MaxCrashes + 1 {
		w.crashAll()
		w.runRounds(30, 300*time.Millisecond)
	}
	checkNoneEnded(t, w, s, ids)
}

// Guards against counting restarts as evidence because the outage that they were part of is no longer
// remembered.
func TestJobsAreNotEndedForForgottenOutages(t *testing.T) {
	w, s, ids := outageWorld(t)
	for range w.options.MaxCrashes + 1 {
		w.crashAll()
		w.runRounds(int((rebootRetention+time.Minute)/time.Second), time.Second)
	}
	checkNoneEnded(t, w, s, ids)
}

// Guards against counting restarts as evidence because another planner has seen the outages that they
// were parts of.
func TestJobsAreNotEndedForOutagesUnderEarlierPlanners(t *testing.T) {
	w, s, ids := outageWorld(t)
	for range w.options.MaxCrashes + 1 {
		w.crashAll()
		w.runRounds(60, 300*time.Millisecond)
		w.planners = nil
		s = w.addPlanner()
		w.runRounds(60, 300*time.Millisecond)
	}
	checkNoneEnded(t, w, s, ids)
}
