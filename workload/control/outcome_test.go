package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Guards against a report without the jobs that an earlier planner had started: on days with changes
// of planner it then counts less than half of the late jobs.
func TestCompletionOfAnInheritedJobHasAnObjective(t *testing.T) {
	s := newScenario()
	completion := ""
	s.trace = func(format string, args ...any) {
		if line := fmt.Sprintf(format, args...); strings.Contains(line, " "+control.EventJobCompleted+" ") {
			completion = line
		}
	}
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work {
		return workertest.Work{Takes: 4 * time.Second}
	}
	s.add(jobA, nil, workload.Step{Count: 2, Need: need(1), EstimateMS: 4000})
	s.advance(2 * time.Second)
	s.planners[0].dead = true
	s.startPlanner(nil)
	s.advance(30 * time.Second)
	if !strings.Contains(completion, "objective_ms=") || !strings.Contains(completion, "inherited=true") {
		t.Errorf("the completion is %q, want an objective and inherited=true", completion)
	}
}
