// Package routing chooses a backend server for each request. Instances choose
// independently of each other, based on their own requests in flight, on the load
// that backend servers report with their answers, and on the latency and success
// of those answers.
package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Backend is the state that one instance has of one backend server. It is safe
// for concurrent use.
type Backend struct {
	Spec domain.BackendServer

	inFlight atomic.Int64
	// reported is the server's own count of requests, received at reportedAt, in
	// Unix nanoseconds.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// latency and failureRate are moving averages, stored as float64 bits: seconds,
	// and the share of failures.
	latency     atomic.Uint64
	failureRate atomic.Uint64
	samples     atomic.Int64
	leaving     atomic.Bool
	// ejectedUntil is the time of the next probe in Unix nanoseconds; 0 when the
	// server is not ejected.
	ejectedUntil atomic.Int64
	ejections    atomic.Int64
	probing      atomic.Bool
}

// InFlight returns the number of this instance's requests at the server.
func (b *Backend) InFlight() int { return int(b.inFlight.Load()) }

// Leaving reports whether the server receives no new requests.
func (b *Backend) Leaving() bool { return b.leaving.Load() }

// Leave marks the server as leaving. This cannot be undone.
func (b *Backend) Leave() { b.leaving.Store(true) }

// Ejected reports whether the server is ejected: it receives only probes.
func (b *Backend) Ejected() bool { return b.ejectedUntil.Load() != 0 }

// Report records the server's own count of running and queued requests.
func (b *Backend) Report(load int, now time.Time) {
	b.reported.Store(int64(load))
	b.reportedAt.Store(now.UnixNano())
}

// reportValidity is the time over which the weight of a load report decreases
// linearly to zero.
const reportValidity = 200 * time.Millisecond

// Load estimates the number of requests at the server: the larger of this
// instance's own count and, while it is recent, the server's reported count.
func (b *Backend) Load(now time.Time) float64 {
	own := float64(b.inFlight.Load())
	age := now.UnixNano() - b.reportedAt.Load()
	if age < 0 || age > int64(reportValidity) {
		return own
	}
	fresh := 1 - float64(age)/float64(reportValidity)
	return max(own, fresh*float64(b.reported.Load())+(1-fresh)*own)
}

// smoothing is the weight of a new answer in the moving averages.
const smoothing = 0.1

// updateAverage adds a value to the moving average stored in bits.
// updateAverage adds a value to the moving average stored in bits.
func updateAverage(bits *atomic.Uint64, value, weight float64) {
	for {
		old := bits.Load()
		next := math.Float64frombits(old)*(1-weight) + value*weight
		if bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Latency returns the moving average of the latency of successful requests, in
// seconds.
func (b *Backend) Latency() float64 { return math.Float64frombits(b.latency.Load()) }

// FailureRate returns the moving average of the share of failures.
func (b *Backend) FailureRate() float64 { return math.Float64frombits(b.failureRate.Load()) }

func (b *Backend) beginRequest() { b.inFlight.Add(1) }

// endRequest records the end of one request and updates the moving averages. The
// first samples have equal weight.
func (b *Backend) endRequest(took time.Duration, failed bool) {
	b.inFlight.Add(-1)
	weight := smoothing
	if n := b.samples.Add(1); n < 1/smoothing {
		weight = 1 / float64(n)
	}
	share := 0.0
	if failed {
		share = 1
	}
	updateAverage(&b.failureRate, share, weight)
	if !failed {
		updateAverage(&b.latency, took.Seconds(), weight)
	}
}
