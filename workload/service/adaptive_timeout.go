package service

import (
	"sync"
	"time"
)

// AdaptiveTimeout derives a timeout from the mean response time, so that a call whose answer was
// lost is repeated soon and one that is only slow is not.
type AdaptiveTimeout struct {
	// Max is the maximum timeout; 0 means defaultMaxTimeout, which suits calls to workers.
	Max time.Duration

	mu   sync.Mutex
	mean time.Duration
}

const (
	// timeoutFactor is the multiple of the mean response time that a call may take.
	timeoutFactor     = 10
	minTimeout        = 200 * time.Millisecond
	defaultMaxTimeout = 600 * time.Millisecond
	// meanWeight is the weight of a new sample in the moving average.
	meanWeight = 0.1
)

// Observe records the duration of one call. For a call without an answer, the caller passes
// the time for which it waited.
func (a *AdaptiveTimeout) Observe(took time.Duration) {
	a.mu.Lock()
	a.mean += time.Duration(meanWeight * float64(took-a.mean))
	a.mu.Unlock()
}

// Timeout returns the time to wait for an answer.
func (a *AdaptiveTimeout) Timeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.Max
	if limit == 0 {
		limit = defaultMaxTimeout
	}
	return min(limit, max(minTimeout, timeoutFactor*a.mean))
}
