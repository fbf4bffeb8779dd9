package service

import (
	"sync"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
)

// submissions holds the memory of the jobs that are being submitted, which the book does not know
// yet.
type submissions struct {
	mu sync.Mutex
	// limit bounds the memory of all jobs that have not ended; 0 is no limit.
	limit    int64
	bytes    int64
	reserved map[*workload.Job]int64
}

func newSubmissions(limit int64) *submissions {
	return &submissions{limit: limit, reserved: map[*workload.Job]int64{}}
}

// SetJobMemory replaces the limit on the memory of jobs that have not ended, in bytes; 0 is none.
func (s *Service) SetJobMemory(limit int64) {
	s.submissions.mu.Lock()
	defer s.submissions.mu.Unlock()
	s.submissions.limit = limit
}

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
	decision := s.jobMemory().Decide(job)
	if decision.Refusal == nil {
		bytes := job.MemoryBytes()
		s.submissions.reserved[job] = bytes
		s.submissions.bytes += bytes
	}
	return decision
}

// isJobMemoryFull reports whether this instance has no memory for further large jobs.
func (s *Service) isJobMemoryFull() bool {
	s.submissions.mu.Lock()
	defer s.submissions.mu.Unlock()
	return s.jobMemory().IsFull()
}

// jobMemory returns the memory for jobs as far as this instance knows, with that of jobs that are
// being submitted. submissions.mu must be held.
func (s *Service) jobMemory() admission.JobMemory {
	known := s.admissionSnapshot()
	return admission.JobMemory{
		Limit: s.submissions.limit, Used: s.book.WaitingBytes() + s.submissions.bytes,
		PlannerFull: known.Pool != nil && known.PoolAge <= admission.MaxPoolAge && known.Pool.JobsFull,
	}
}
