package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// startsBesideDeparture returns after what time a first-priority gang starts whose capacity is held by
// a gang that is saved soon, as one of its workers leaves.
func startsBesideDeparture(t *testing.T, notice time.Duration, withdrawn bool) time.Duration {
	t.Helper()
	s := &gangScenario{scenario: newScenario()}
	s.notice = notice
	s.drainRemainingMS = map[string]int64{}
	s.planners[0].dead = true
	s.trace = func(format string, args ...any) { s.traced = append(s.traced, fmt.Sprintf(format, args...)) }
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 12 * time.Second} }
	s.startPlanner(nil)
	s.add(jobA, func(j *workload.Job) { j.QueueSettings.Priority = 2 }, workload.Step{Count: 4, Gang: true, Need: need(8), EstimateMS: 12000, Checkpoint: true})
	s.advance(3 * time.Second)
	worker := s.announce(3, 2500*time.Millisecond)
	// The save is due 1.7 s after the notice.
	s.advance(1250 * time.Millisecond)
	submitted := s.now
	s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = 0 }, workload.Step{Count: 3, Gang: true, Need: need(8), EstimateMS: 1000})
	for s.now.Sub(submitted) < 3*time.Second && len(s.starts(jobB)) == 0 {
		if withdrawn && s.now.Sub(submitted) == 300*time.Millisecond {
			delete(s.drainRemainingMS, worker)
		}
		s.advance(50 * time.Millisecond)
	}
	return s.now.Sub(submitted)
}

// Guards against a first-priority gang that waits for a planned stop of the runs that it could preempt
// at once.
func TestFirstPriorityDoesNotWaitForADeparture(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		planned, unplanned := startsBesideDeparture(t, simNotice, withdrawn), startsBesideDeparture(t, 0, withdrawn)
		if planned > unplanned {
			t.Errorf("notice withdrawn: %t: started after %v, %v without departures of units", withdrawn, planned, unplanned)
		}
	}
}
