package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Guards against jobs that are sent away because of waiting work that no worker can run, or that
// only a few can: it takes no capacity from them. Large work that every worker can run must still
// send them away.
func TestWorkThatCannotRunDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		ahead *workload.Step
		late  bool
	}{
		"nothing":            {nil, false},
		"gang above pool":    {&workload.Step{Count: 1000, Gang: true, Need: need(2), EstimateMS: 20_000}, false},
		"task above workers": {&workload.Step{Count: 1000, Need: need(9), EstimateMS: 20_000}, false},
		"absent label":       {&workload.Step{Count: 1000, Need: need(2), EstimateMS: 20_000, Label: "absent"}, false},
		"spread gang":        {&workload.Step{Count: 7, Gang: true, PerWorker: 1, Need: need(1), EstimateMS: 2_000_000}, false},
		"any worker":         {&workload.Step{Count: 1000, Need: need(2), EstimateMS: 20_000}, true},
	} {
		s := newScenario()
		s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 3 * time.Second} }
		last := func(j *workload.Job) { j.QueueSettings.Priority = 1 }
		if c.ahead != nil {
			s.add(jobA, last, *c.ahead)
		}
		job := &workload.Job{ID: jobB, Steps: []workload.Step{{Count: 1, Need: need(1), EstimateMS: 3000}}, QueueSettings: workload.QueueSettings{Priority: 1, Stretch: 3, TargetMS: 1000}}
		refused := 0
		// Two tasks of half a worker and 3 s every half second keep the pool of 6 workers of 8 accelerators full.
		for i := range 40 {
			for k := range 2 {
				s.add(workload.JobID(fmt.Sprintf("%016x", 1000+2*i+k)), last, workload.Step{Count: 1, Need: need(4), EstimateMS: 3000})
			}
			s.advance(500 * time.Millisecond)
			services, _ := s.planners[len(s.planners)-1].core.SummarizePool(s.now)
			if admission.Decide(job, admission.Snapshot{Pool: &admission.Pool{Services: services}}).Refusal != nil {
				refused++
			}
		}
		if (refused > 0) != c.late {
			t.Errorf("%s: refused in %d of 40 samples, want refusals: %v", name, refused, c.late)
		}
	}
}
