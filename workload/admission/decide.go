package admission

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// MaxPoolAge is the age from which on a summary is not used to refuse anything. It is twice the
// longest time between two records and a read.
const MaxPoolAge = 5 * time.Second

// Snapshot is what a decision depends on besides the job.
type Snapshot struct {
	// Pool is the newest summary, PoolAge an upper bound of its age; nil is none.
	Pool    *Pool
	PoolAge time.Duration
	// Guaranteed is the number of guaranteed accelerators per client account.
	Guaranteed map[domain.AccountID]int64
}

// Decision is the result of Decide.
type Decision struct {
	// Refusal is nil if the job is accepted. A refusal with the reason never-runnable is
	// permanent, one with the reason overloaded asks the caller to come back.
	Refusal *domain.Refusal
	// Rest is the expected time until there is capacity, for a caller that is to come back.
	Rest time.Duration
	// PerSecond is how many such jobs the pool can do in a second from then on.
	PerSecond float64
	// Input describes what a refusal rests on.
	Input string
}

// Decide decides on a job. In doubt it accepts: pools grow, and workers come back.
func Decide(job *workload.Job, s Snapshot) Decision {
	if s.Pool == nil || s.PoolAge > MaxPoolAge {
		return Decision{}
	}
	service, ok := s.Pool.Services[job.QueueSettings.Service]
	if !ok || service.Absent || service.Workers == 0 {
		return Decision{}
	}
	if s.Pool.Settled {
		if refusal := neverRunnable(job, &service, s.Pool.LabelsOmitted); refusal != nil {
			return Decision{Refusal: refusal, Input: describe(&service, s.PoolAge)}
		}
	}
	return decideLoad(job, &service, s)
}

func describe(s *Service, age time.Duration) string {
	return fmt.Sprintf("pool_age_ms=%d workers=%d idle=%d largest=%v total=%v free=%v start_ms=%v", age.Milliseconds(), s.Workers, s.Idle, s.Largest, s.Total, s.LargestFree, s.StartMS)
}

// neverRunnable returns a refusal if a step could not run even in an empty pool.
func neverRunnable(job *workload.Job, s *Service, labelsOmitted bool) *domain.Refusal {
	for i := range job.Steps {
		step := &job.Steps[i]
		need := step.CapacityNeed()
		if !need.FitsIn(s.Largest) {
			return refuse("need", fmt.Sprintf("a task of step %d needs %s, more than any worker of %q has (%s)", i, amounts(need), job.QueueSettings.Service, amounts(s.Largest)),
				"request smaller tasks, or have larger workers added")
		}
		workers := s.Workers
		if step.Label != "" && !labelsOmitted {
			if workers = s.Labels[step.Label]; workers == 0 {
				return refuse("label", fmt.Sprintf("step %d requires the label %q, which no worker of %q has", i, step.Label, job.QueueSettings.Service),
					"check the label, or have workers with it added")
			}
		}
		if !step.Gang {
			continue
		}
		if most := mostMembers(step, need, workers, s); step.Count > most {
			return refuse("count", fmt.Sprintf("step %d is a gang of %d tasks, and at most %d fit into all %d workers of %q that may run it", i, step.Count, most, workers, job.QueueSettings.Service),
				"request a smaller gang or smaller tasks, or have workers added")
		}
	}
	return nil
}

// mostMembers returns an upper bound of the tasks of a step that an empty pool can run at once.
func mostMembers(step *workload.Step, need workload.Resources, workers int, s *Service) int {
	each := s.Largest.Count(need, step.Count)
	if step.PerWorker > 0 {
		each = min(each, step.PerWorker)
	}
	return min(workers*each, s.Total.Count(need, step.Count))
}

func amounts(r workload.Resources) string {
	return fmt.Sprintf("%d milli-CPU, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}

func refuse(field, message, remedy string) *domain.Refusal {
	return domain.Refuse(domain.ReasonNeverRunnable, field, message, remedy)
}
