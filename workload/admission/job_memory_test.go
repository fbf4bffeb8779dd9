package admission

import (
	"strings"
	"testing"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// Guards against jobs that are accepted beyond the memory for them, against a crowd of large ones
// that keeps ordinary ones out, and against a limit where none is set.
func TestJobsAreRefusedForMemory(t *testing.T) {
	small := jobOf(1, workload.Step{Count: 1})
	large := jobOf(1, workload.Step{Count: 1, DataRack: strings.Repeat("r", smallJobBytes)})
	wide := jobOf(1, workload.Step{Count: workload.MaxTasks})
	const limit = 8 << 20
	for name, c := range map[string]struct {
		memory  JobMemory
		job     *workload.Job
		refused bool
	}{
		"empty":                       {JobMemory{Limit: limit}, large, false},
		"no limit":                    {JobMemory{Used: 1 << 40}, large, false},
		"half, large":                 {JobMemory{Limit: limit, Used: limit / 2}, large, true},
		"half, many tasks":            {JobMemory{Limit: limit, Used: limit / 2}, wide, true},
		"half, small":                 {JobMemory{Limit: limit, Used: limit / 2}, small, false},
		"full, small":                 {JobMemory{Limit: limit, Used: limit}, small, true},
		"planner full, large":         {JobMemory{Limit: limit, PlannerFull: true}, large, true},
		"planner full, small":         {JobMemory{Limit: limit, PlannerFull: true}, small, false},
		"planner full, here no limit": {JobMemory{PlannerFull: true}, large, true},
	} {
		refusal := c.memory.Decide(c.job).Refusal
		if (refusal != nil) != c.refused {
			t.Errorf("%s: %v", name, refusal)
		}
		if refusal != nil && (refusal.Reason != domain.ReasonJobMemory || refusal.Outcome != domain.NotRun || refusal.RetryAfter <= 0) {
			t.Errorf("%s: %+v", name, refusal)
		}
	}
	if (JobMemory{Limit: limit, Used: limit / 2}).IsFull() || !(JobMemory{Limit: limit, Used: limit/2 + 1}).IsFull() || (JobMemory{Used: 1}).IsFull() {
		t.Error("a planner is full from half of its limit on")
	}
	before, after := Pool{}, Pool{JobsFull: true}
	if !after.Changed(&before) {
		t.Error("a planner that becomes full is not a change of the summary")
	}
}
