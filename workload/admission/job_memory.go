package admission

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

const (
	// smallJobBytes is the memory up to which a job may use the whole limit. Larger jobs use half of
	// it, so that a crowd of them leaves room for ordinary ones.
	smallJobBytes = 32 << 10
	// jobMemoryRetryAfter is when to come back if the memory for jobs is in use.
	jobMemoryRetryAfter = 5 * time.Second
)

// JobMemory is the memory for jobs that have not ended.
type JobMemory struct {
	// Limit is in bytes; 0 is no limit.
	Limit, Used int64
	// PlannerFull reports that the planner has no memory for further large jobs.
	PlannerFull bool
}

// IsFull reports whether there is no memory for further large jobs.
func (m JobMemory) IsFull() bool { return m.Limit > 0 && m.Used > m.Limit/2 }

// Decide decides on a job by the memory that it takes.
func (m JobMemory) Decide(job *workload.Job) Decision {
	bytes := job.MemoryBytes()
	limit := m.Limit
	if bytes > smallJobBytes {
		limit /= 2
	}
	full := m.Limit > 0 && m.Used+bytes > limit
	if !full && (!m.PlannerFull || bytes <= smallJobBytes) {
		return Decision{}
	}
	refusal := domain.Refuse(domain.ReasonJobMemory, "", "the jobs that have not ended leave no memory for this one", "come back later, or submit smaller jobs").WithRetryAfter(jobMemoryRetryAfter)
	return Decision{Refusal: refusal, Input: fmt.Sprintf("job_bytes=%d used_bytes=%d limit_bytes=%d planner_full=%t", bytes, m.Used, m.Limit, m.PlannerFull)}
}
