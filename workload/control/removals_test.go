package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// forgottenAfter is how long a job may have nothing running beside free room.
const forgottenAfter = 3 * time.Second

// Guards against a gang that waits for the lease of a member whose worker has drained, left and taken
// its entry from the list, beside free room.
func TestAGangWhoseMembersWorkerHasLeftBeginsAgainSoon(t *testing.T) {
	s := newScenario()
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 8 * time.Second} }
	s.add(jobA, nil, workload.Step{Count: 3, Gang: true, Need: need(8), EstimateMS: 8000})
	s.advance(2 * time.Second)
	begun := s.starts(jobA)
	if len(begun) != 3 {
		t.Fatalf("%d members began", len(begun))
	}
	leaves := begun[0].Worker
	s.drainRemainingMS = map[string]int64{leaves: 20_000}
	s.advance(time.Second)
	s.fleet.Kill(leaves, s.now)
	left := s.now
	for len(s.starts(jobA)) < 6 {
		if s.advance(100 * time.Millisecond); s.now.Sub(left) > forgottenAfter {
			t.Fatalf("nothing of the job runs %v after its member's worker has left", forgottenAfter)
		}
	}
	s.check(t)
}
