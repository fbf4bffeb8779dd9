package service

import (
	"sync"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
)

// submissions holds the memory of the jobs that are being submitted, which the book does not know
// yet.
type submissions struct {
	mu       sync.Mutex
	bytes    int64
	reserved map[*workload.Job]int64
}

func newSubmissions() *submissions { return &submissions{reserved: map[*workload.Job]int64{}} }

// release ends a job's reservation, if it has one.
func (s *submissions) release(job *workload.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= s.reserved[job]
	delete(s.reserved, job)
}

// reserveJobMemory reserves the memory of a job until release is called, or decides against it.
func (s *Service) reserveJobMemory(job *workload.Job) admission.Decision {
	s.submissions.mu.Lock()
	defer s.submissions.mu.Unlock()
	decision := s.jobMemory(s.submissions.bytes).Decide(job)
	if decision.Refusal == nil {
		bytes := job.MemoryBytes()
		s.submissions.reserved[job] = bytes
		s.submissions.bytes += bytes
	}
	return decision
}

// jobMemory returns the memory for jobs as far as this instance knows, with that of jobs that are
// being submitted.
func (s *Service) jobMemory(submitted int64) admission.JobMemory {
	known := s.admissionSnapshot()
	return admission.JobMemory{
		Limit: s.settings.JobMemoryBytes, Used: s.book.WaitingBytes() + submitted,
		PlannerFull: known.Pool != nil && known.PoolAge <= admission.MaxPoolAge && known.Pool.JobsFull,
	}
}
