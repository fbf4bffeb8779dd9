// Package quarantine notices workers that fail every task they start. Such a
// worker looks idle and attracts work. A job that fails everywhere must not
// put workers aside, so only failures of distinct jobs count, and they are
// taken back when the job turns out to be at fault.
package quarantine

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Options bound quarantine.
type Options struct {
	// DistinctJobs that failed in a row put a worker aside.
	DistinctJobs int
	// Probe is how long a worker stays aside before it gets one more try;
	// it doubles with every try that fails, up to MaxProbe.
	Probe, MaxProbe time.Duration
	// MaxRackShare is the largest part of a rack that may be aside at once.
	MaxRackShare float64
}

// DefaultOptions put a worker aside after three jobs in a row.
func DefaultOptions() Options {
	return Options{DistinctJobs: 3, Probe: time.Minute, MaxProbe: time.Hour, MaxRackShare: 0.5}
}

type record struct {
	failed map[domain.JobID]bool
	until  time.Time
	pause  time.Duration
}

// Book keeps the failures of workers. Not safe for concurrent use.
type Book struct {
	options Options
	workers map[domain.WorkerID]*record
}

// NewBook returns a book without failures.
func NewBook(options Options) *Book {
	return &Book{options: options, workers: map[domain.WorkerID]*record{}}
}

// Succeeded clears a worker.
func (b *Book) Succeeded(worker domain.WorkerID) { delete(b.workers, worker) }

// Failed notes that a job's tasks failed on a worker.
func (b *Book) Failed(worker domain.WorkerID, job domain.JobID, now time.Time) {
	r, ok := b.workers[worker]
	if !ok {
		r = &record{failed: map[domain.JobID]bool{}, pause: b.options.Probe}
		b.workers[worker] = r
	}
	r.failed[job] = true
	if len(r.failed) < b.options.DistinctJobs {
		return
	}
	r.until = now.Add(r.pause)
	r.pause = min(2*r.pause, b.options.MaxProbe)
}

// Forgive takes a job's failures back: it failed everywhere.
func (b *Book) Forgive(job domain.JobID) {
	for _, r := range b.workers {
		delete(r.failed, job)
		if len(r.failed) < b.options.DistinctJobs {
			r.until = time.Time{}
		}
	}
}

// Aside returns the workers that get nothing new now, within each rack's cap.
// Workers must be in a stable order.
func (b *Book) Aside(workers []domain.Worker, now time.Time) map[domain.WorkerID]bool {
	size := map[domain.RackID]int{}
	for _, w := range workers {
		size[w.Rack]++
	}
	out := map[domain.WorkerID]bool{}
	taken := map[domain.RackID]int{}
	for _, w := range workers {
		r, ok := b.workers[w.ID]
		if !ok || !now.Before(r.until) {
			continue
		}
		if float64(taken[w.Rack]+1) > b.options.MaxRackShare*float64(size[w.Rack]) {
			continue
		}
		taken[w.Rack]++
		out[w.ID] = true
	}
	return out
}
