package service

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/control"
)

// knownPool is the newest summary of the pool that this instance has.
type knownPool struct {
	pool *admission.Pool
	// notBefore is a time, by this instance's clock, before which the summary was not written;
	// zero if there is none.
	notBefore time.Time
	// offset is that of its record.
	offset int64
}

// applyPool takes a summary of the pool from the states. Two reads may return the same record, and
// only the first one bounds its age.
func (s *Service) applyPool(e Entry, notBefore time.Time) {
	if known := s.pool.Load(); known != nil && e.Offset <= known.offset {
		return
	}
	pool := &admission.Pool{}
	if err := json.Unmarshal(e.Value, pool); err != nil {
		if len(e.Value) > 0 {
			s.logUnreadable(e, err)
		}
		pool = &admission.Pool{}
	}
	s.pool.Store(&knownPool{pool, notBefore, e.Offset})
}

// admissionSnapshot returns what a decision on admission depends on.
func (s *Service) admissionSnapshot() admission.Snapshot {
	out := admission.Snapshot{}
	if known := s.pool.Load(); known != nil && !known.notBefore.IsZero() {
		out.Pool, out.PoolAge = known.pool, s.clock.Since(known.notBefore)
	}
	if d := s.directory.Load(); d != nil {
		out.Guaranteed = d.Guaranteed
	}
	return out
}

// admit returns a refusal if the job can never run, would start too late, or has no memory. known reports that
// the job turned out to be accepted already.
func (s *Service) admit(ctx context.Context, job *workload.Job) (known bool, refused error) {
	decision := s.reserveJobMemory(job)
	if decision.Refusal == nil && !s.settings.AdmissionDisabled {
		decision = admission.Decide(job, s.admissionSnapshot())
	}
	if decision.Refusal == nil {
		return false, nil
	}
	// An append that this instance has sent may reach the log after the acceptances are read.
	unanswered := s.unanswered.has(job.ID, s.clock.Now())
	// Another instance may have accepted the job at an earlier try of its caller. If that can't
	// be determined, the job is accepted: a refusal says that the job will not run.
	if s.catchUpForJob(ctx, job.ID) != nil {
		return false, nil
	}
	if _, known := s.book.Get(job.ID); known {
		return true, nil
	}
	if unanswered || s.unanswered.has(job.ID, s.clock.Now()) {
		return false, s.refuse(ctx, job.ID, domain.OutcomeUnknown(decision.Refusal.Reason, "an earlier attempt to accept the job has not been answered"))
	}
	refusal, input := decision.Refusal, decision.Input
	if refusal.Reason == domain.ReasonOverloaded {
		caller := callerOf(ctx)
		caller.Priority = job.QueueSettings.Priority
		after, retryInput := s.sentAway.delay(job.ID, caller, func(time.Time) (time.Duration, float64) {
			return decision.Rest, min(decision.PerSecond, s.sentAway.perSecond)
		})
		refusal, input = refusal.WithRetryAfter(after), input+" "+retryInput
	}
	s.logRefusal(job.ID, refusal, input)
	return false, refusal
}

// poolRefresh is the age at which a summary is written again although it has not changed much. A
// reader adds the interval of its reads to the age, and uses it up to admission.MaxPoolAge.
const poolRefresh = 2 * time.Second

// publishedPool is what the planner has published of the pool.
type publishedPool struct {
	memory *admission.Memory
	last   *admission.Pool
	at     time.Time
	// checkedAt is when the pool was last summarised.
	checkedAt time.Time
}

// newPublishedPool continues from what an earlier planner has published.
func (s *Service) newPublishedPool(now time.Time) publishedPool {
	var earlier *admission.Pool
	if known := s.pool.Load(); known != nil {
		earlier = known.pool
	}
	return publishedPool{memory: admission.NewMemory(earlier, now)}
}

// summarizePool returns the record of a summary of the pool if one is due. There is none while
// the worker list has not been read recently.
func (p *planner) summarizePool() []control.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	if p.s.settings.AdmissionDisabled || !p.listRead || now.Sub(p.pool.checkedAt) < control.PoolInterval || !p.hasRecentReadings(now) {
		return nil
	}
	p.pool.checkedAt = now
	services, readable := p.core.SummarizePool(now)
	pool := p.pool.memory.Observe(services, readable, now)
	pool.JobsFull = p.s.isJobMemoryFull()
	p.s.metrics.SetGauge(gaugeWaitingJobBytes, float64(p.s.book.WaitingBytes()))
	p.s.setPoolGauges(services)
	if p.pool.last != nil && now.Sub(p.pool.at) < poolRefresh && !pool.Changed(p.pool.last) {
		return nil
	}
	p.pool.last, p.pool.at = &pool, now
	return []control.Record{{Key: poolKey, Value: pool.Encode()}}
}

// Gauges of the pool.
const (
	gaugePoolWorkers = "pool_workers"
	gaugePoolIdle    = "pool_idle_workers"
	gaugePoolStart   = "pool_start_last_class_seconds"
	// gaugeWaitingJobBytes is the estimated memory of the jobs that have not ended.
	gaugeWaitingJobBytes = "waiting_job_bytes"
)

// setPoolGauges shows the workers of all services, and the longest expected time until work of the
// last class starts.
func (s *Service) setPoolGauges(services map[string]admission.Service) {
	workers, idle, start := 0, 0, int64(0)
	for _, service := range services {
		workers += service.Workers
		idle += service.Idle
		start = max(start, service.StartMS[admission.Classes-1])
	}
	s.metrics.SetGauge(gaugePoolWorkers, float64(workers))
	s.metrics.SetGauge(gaugePoolIdle, float64(idle))
	s.metrics.SetGauge(gaugePoolStart, float64(start)/1000)
}

// logRepeated logs a submission of a job that is accepted already.
func (s *Service) logRepeated(id workload.JobID) {
	s.events.Info(events.JobRepeated, events.Fields{"job": id})
}
