// Package retry bounds retries as a share of traffic, so that failing backend
// servers are not met with a storm.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget earns a part of a retry with every request and spends a whole one on
// every retry. Safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	share   float64
	most    float64
	balance float64
}

// NewBudget allows retries up to share of the requests, with a reserve of most
// for bursts.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, balance: most}
}

// Earn notes one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.share, b.most)
}

// Spend takes one retry from the budget, if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Pause returns the wait before a retry: exponential with full jitter. n counts
// the retries from 1.
func Pause(base time.Duration, n int) time.Duration {
	return time.Duration(rand.Int64N(int64(base << min(n-1, 10))))
}
