// Package quarantine detects workers that fail every task they start. Such a worker looks
// idle and attracts work. A job that fails everywhere must not get workers quarantined, so
// only failures of distinct jobs count, and they are removed if the job turns out to be at
// fault.
package quarantine

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Options are the settings of quarantine.
type Options struct {
	// DistinctJobs is how many jobs must fail on a worker, without a success in between,
	// for it to be quarantined.
	DistinctJobs int
	// ProbeDelay is how long a worker is quarantined before it gets one more attempt; it
	// doubles with every attempt that fails, up to MaxProbeDelay.
	ProbeDelay, MaxProbeDelay time.Duration
	// MaxRackShare is the largest part of a rack that may be quarantined at once.
	MaxRackShare float64
}

// DefaultOptions quarantine a worker after three failed jobs in a row.
func DefaultOptions() Options {
	return Options{DistinctJobs: 3, ProbeDelay: time.Minute, MaxProbeDelay: time.Hour, MaxRackShare: 0.5}
}

type failureRecord struct {
	failedJobs       map[domain.JobID]bool
	quarantinedUntil time.Time
	probeDelay       time.Duration
}

// Tracker records the failures of workers. It is not safe for concurrent use.
type Tracker struct {
	options Options
	workers map[domain.WorkerID]*failureRecord
}

// NewTracker returns a Tracker without failures.
func NewTracker(options Options) *Tracker {
	return &Tracker{options: options, workers: map[domain.WorkerID]*failureRecord{}}
}

// RecordSuccess removes the failures of a worker.
func (b *Tracker) RecordSuccess(worker domain.WorkerID) { delete(b.workers, worker) }

// RecordFailure records that a job's tasks failed on a worker.
func (b *Tracker) RecordFailure(worker domain.WorkerID, job domain.JobID, now time.Time) {
	r, ok := b.workers[worker]
	if !ok {
		r = &failureRecord{failedJobs: map[domain.JobID]bool{}, probeDelay: b.options.ProbeDelay}
		b.workers[worker] = r
	}
	r.failedJobs[job] = true
	if len(r.failedJobs) < b.options.DistinctJobs {
		return
	}
	r.quarantinedUntil = now.Add(r.probeDelay)
	r.probeDelay = min(2*r.probeDelay, b.options.MaxProbeDelay)
}

// ClearJob removes the failures of a job that failed everywhere.
func (b *Tracker) ClearJob(job domain.JobID) {
	for _, r := range b.workers {
		delete(r.failedJobs, job)
		if len(r.failedJobs) < b.options.DistinctJobs {
			r.quarantinedUntil = time.Time{}
		}
	}
}

// Quarantined returns the workers that are quarantined now, limited to the allowed part of
// each rack. The workers must be in a stable order.
func (b *Tracker) Quarantined(workers []domain.Worker, now time.Time) map[domain.WorkerID]bool {
	rackSize := map[domain.RackID]int{}
	for _, w := range workers {
		rackSize[w.Rack]++
	}
	out := map[domain.WorkerID]bool{}
	quarantined := map[domain.RackID]int{}
	for _, w := range workers {
		r, ok := b.workers[w.ID]
		if !ok || !now.Before(r.quarantinedUntil) {
			continue
		}
		if float64(quarantined[w.Rack]+1) > b.options.MaxRackShare*float64(rackSize[w.Rack]) {
			continue
		}
		quarantined[w.Rack]++
		out[w.ID] = true
	}
	return out
}
