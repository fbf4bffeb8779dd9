// Package routing chooses a backend server for each request. Instances choose
// alone: from their own requests in flight, from the load that backend servers
// report with their answers, and from how those answers turned out.
package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Backend is what one instance knows of one backend server. Safe for
// concurrent use.
type Backend struct {
	Spec domain.BackendServer

	inFlight atomic.Int64
	// reported is the server's own count of requests, with reportedAt.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// latency and failing are moving averages, as float bits: seconds, and the
	// share of failures.
	latency atomic.Uint64
	failing atomic.Uint64
	samples atomic.Int64
	leaving atomic.Bool
	// ejectedUntil is when the next probe is due, in unix nanoseconds; 0 when
	// the server is in use.
	ejectedUntil atomic.Int64
	ejections    atomic.Int64
	probing      atomic.Bool
}

// InFlight returns this instance's requests at the server.
func (b *Backend) InFlight() int { return int(b.inFlight.Load()) }

// Leaving tells whether the server gets nothing new.
func (b *Backend) Leaving() bool { return b.leaving.Load() }

// Leave marks the server as leaving, for good.
func (b *Backend) Leave() { b.leaving.Store(true) }

// Ejected tells whether the server is put aside at the moment.
func (b *Backend) Ejected() bool { return b.ejectedUntil.Load() != 0 }

// Report takes in the server's own count of requests in work and waiting.
func (b *Backend) Report(load int, now time.Time) {
	b.reported.Store(int64(load))
	b.reportedAt.Store(now.UnixNano())
}

// reportLife is how long a report counts: its weight falls to nothing.
const reportLife = 200 * time.Millisecond

// Load estimates the requests at the server: what this instance has there, or
// what the server reported while that is fresh, whichever is more.
func (b *Backend) Load(now time.Time) float64 {
	own := float64(b.inFlight.Load())
	age := now.UnixNano() - b.reportedAt.Load()
	if age < 0 || age > int64(reportLife) {
		return own
	}
	fresh := 1 - float64(age)/float64(reportLife)
	return max(own, fresh*float64(b.reported.Load())+(1-fresh)*own)
}

// smoothing is the weight of a new answer in the averages.
const smoothing = 0.1

func average(bits *atomic.Uint64, value, weight float64) {
	for {
		old := bits.Load()
		next := math.Float64frombits(old)*(1-weight) + value*weight
		if bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Latency returns the moving average in seconds.
func (b *Backend) Latency() float64 { return math.Float64frombits(b.latency.Load()) }

// Failing returns the moving share of failures.
func (b *Backend) Failing() float64 { return math.Float64frombits(b.failing.Load()) }

func (b *Backend) begin() { b.inFlight.Add(1) }

// end takes in one answer.
func (b *Backend) end(took time.Duration, failed bool) {
	b.inFlight.Add(-1)
	weight := smoothing
	if n := b.samples.Add(1); n < 1/smoothing {
		weight = 1 / float64(n)
	}
	share := 0.0
	if failed {
		share = 1
	}
	average(&b.failing, share, weight)
	if !failed {
		average(&b.latency, took.Seconds(), weight)
	}
}
