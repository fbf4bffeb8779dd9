package control

import (
	"time"
)

// estimates corrects callers' estimates by what tasks of their queue took.
type estimates struct {
	ratio map[string]float64
}

const (
	// learnRate is the weight of one more observation.
	learnRate = 0.1
	// unknownEstimate stands in for an estimate that is not given.
	unknownEstimate = time.Second
)

func newEstimates() *estimates { return &estimates{ratio: map[string]float64{}} }

func (e *estimates) observe(queue string, estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	r := float64(took) / float64(estimate)
	old, ok := e.ratio[queue]
	if !ok {
		old = 1
	}
	e.ratio[queue] = old + learnRate*(r-old)
}

// expected is the run time of a task of the step.
func (e *estimates) expected(j *job, step int) time.Duration {
	estimate := time.Duration(j.Steps[step].EstimateMS) * time.Millisecond
	if estimate <= 0 {
		estimate = unknownEstimate
	}
	if r, ok := e.ratio[j.Queue]; ok {
		return time.Duration(r * float64(estimate))
	}
	return estimate
}

// chain is the longest chain of work: of the whole job, or from a step on.
func (e *estimates) chain(j *job, from int, whole bool) time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	best := time.Duration(0)
	for i := range j.Steps {
		reached := whole || i == from
		before := time.Duration(0)
		for _, d := range j.Steps[i].DependsOn {
			if longest[d] > 0 {
				before = max(before, longest[d])
				reached = true
			}
		}
		if !reached {
			continue
		}
		longest[i] = before + e.expected(j, i)
		best = max(best, longest[i])
	}
	return best
}
