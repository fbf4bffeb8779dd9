package admission

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// LateFactor is the multiple of its objective up to which a job's result still has value.
const LateFactor = 3

// decideLoad asks the caller to come back if the job would start too late to be of any value.
func decideLoad(job *workload.Job, s *Service, snapshot Snapshot) Decision {
	class := ClassOf(job.QueueSettings.Priority)
	wait := time.Duration(s.StartMS[class]) * time.Millisecond
	// In the age of the summary the pool may have worked off that much.
	if wait <= snapshot.PoolAge || mayBeGuaranteed(job, snapshot.Guaranteed) || hasFreeWorker(job, s) {
		return Decision{}
	}
	last, ok := lastUsefulStart(job, s.estimateFactor(class))
	if !ok {
		return Decision{}
	}
	if wait <= last {
		return Decision{}
	}
	return Decision{
		Refusal: domain.Refuse(domain.ReasonOverloaded, "", fmt.Sprintf("the job would wait for about %v, and its result has no value if it starts after %v", wait.Round(time.Second), last.Round(time.Second)),
			"come back after the given time"),
		// Once that much has been worked off, a job with the same objective is in time.
		Rest:      wait - last,
		PerSecond: jobsPerSecond(job, s, s.estimateFactor(class)),
		Input:     fmt.Sprintf("%s wait_ms=%d last_start_ms=%d", describe(s, snapshot.PoolAge), wait.Milliseconds(), last.Milliseconds()),
	}
}

// jobsPerSecond returns how many such jobs the whole pool can do in a second.
func jobsPerSecond(job *workload.Job, s *Service, factor float64) float64 {
	work := Work{}
	for i := range job.Steps {
		step := &job.Steps[i]
		work.Add(step.CapacityNeed(), step.Count, time.Duration(factor*float64(step.EstimateMS))*time.Millisecond)
	}
	seconds := work.over(s.Total)
	if seconds <= 0 {
		return 1
	}
	return 1 / seconds
}

// mayBeGuaranteed reports whether a job may be guaranteed work: first-priority work that fits
// into its account's guarantee. How much of the guarantee is in use only the planner knows.
func mayBeGuaranteed(job *workload.Job, guaranteed map[domain.AccountID]int64) bool {
	return job.QueueSettings.Priority == 0 && job.ClaimAccelerators() <= guaranteed[job.Account]
}

// hasFreeWorker reports whether a worker is idle, or a task of the job may fit into free
// capacity.
func hasFreeWorker(job *workload.Job, s *Service) bool {
	if s.Idle > 0 {
		return true
	}
	for i := range job.Steps {
		if job.Steps[i].CapacityNeed().FitsIn(s.LargestFree) {
			return true
		}
	}
	return false
}

// lastUsefulStart returns how long after its acceptance a job may start so that its result still
// has value. factor corrects the caller's estimates. ok is false if the caller's estimates do not say, or if the job is not due yet or
// never ends.
func lastUsefulStart(job *workload.Job, factor float64) (time.Duration, bool) {
	if job.Repetitions > 0 || job.IsPerpetual() {
		return 0, false
	}
	var ends [workload.MaxSteps]int64
	chain := int64(0)
	for i := range job.Steps[:min(len(job.Steps), workload.MaxSteps)] {
		step := &job.Steps[i]
		if step.EstimateMS <= 0 {
			return 0, false
		}
		start := int64(0)
		for _, d := range step.DependsOn {
			start = max(start, ends[d])
		}
		ends[i] = start + step.EstimateMS
		chain = max(chain, ends[i])
	}
	expected := factor * float64(chain)
	objective := job.QueueSettings.Stretch*expected + float64(job.QueueSettings.TargetMS)
	if objective <= 0 {
		return 0, false
	}
	return time.Duration(max(0, LateFactor*objective-expected)) * time.Millisecond, true
}
