package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// maxIdleTime is how long a job may have nothing running although there is free capacity.
const maxIdleTime = 3 * time.Second

// Guards against a gang that waits, despite free capacity, for the lease of a member whose worker has
// drained, left and removed its entry from the list.
func TestGangRestartsSoonAfterMembersWorkerLeaves(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 8 * time.Second} }
	s.add(jobA, nil, workload.Step{Count: 3, Gang: true, Need: need(8), EstimateMS: 8000})
	s.advance(2 * time.Second)
	starts := s.starts(jobA)
	if len(starts) != 3 {
		t.Fatalf("%d members were started, want 3", len(starts))
	}
	leaving := starts[0].Worker
	s.drainRemainingMS = map[string]int64{leaving: 20_000}
	s.advance(time.Second)
	s.fleet.Kill(leaving, s.now)
	leftAt := s.now
	for len(s.starts(jobA)) < 6 {
		if s.advance(100 * time.Millisecond); s.now.Sub(leftAt) > maxIdleTime {
			t.Fatalf("the gang was not restarted within %v after a member's worker left", maxIdleTime)
		}
	}
	s.check(t)
}
