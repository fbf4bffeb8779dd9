package control

import (
	"time"
)

// estimates corrects callers' run time estimates by the observed run times of their queue.
type estimates struct {
	ratio map[string]float64
}

const (
	// learnRate is the weight of a new observation.
	learnRate = 0.1
	// defaultEstimate is used if the caller gives no estimate.
	defaultEstimate = time.Second
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

// expected returns the expected run time of a task of the step.
func (e *estimates) expected(j *job, step int) time.Duration {
	estimate := time.Duration(j.Steps[step].EstimateMS) * time.Millisecond
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	if r, ok := e.ratio[j.Queue]; ok {
		return time.Duration(r * float64(estimate))
	}
	return estimate
}

// expectedChain returns the expected run time of the longest chain of steps that begins with the
// given step.
func (e *estimates) expectedChain(j *job, from int) time.Duration {
	return longestChain(j.Job, from, false, func(step int) time.Duration { return e.expected(j, step) })
}

// expectedWithFailures returns the expected run time of the longest chain of steps of the whole
// job, including its failed runs. Without these the job would look hopelessly late from its first
// failure on.
func (e *estimates) expectedWithFailures(j *job) time.Duration {
	return longestChain(j.Job, 0, true, func(step int) time.Duration { return e.expected(j, step) + j.failedTime[step] })
}
