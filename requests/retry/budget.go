// Package retry limits retries to a share of the traffic, so that failing backend
// servers do not cause a retry storm.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget is a retry budget: every request adds a fraction of a retry, and every
// retry subtracts one. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	ratio      float64
	maxBalance float64
	balance    float64
}

// NewBudget returns a budget that allows retries for the given ratio of requests,
// and bursts of up to maxBalance retries.
func NewBudget(ratio, maxBalance float64) *Budget {
	return &Budget{ratio: ratio, maxBalance: maxBalance, balance: maxBalance}
}

// Deposit adds ratio to the balance for one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.maxBalance)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff returns the wait before the nth retry, counted from 1: exponential with
// full jitter.
func Backoff(base time.Duration, n int) time.Duration {
	return time.Duration(rand.Int64N(int64(base << min(n-1, 10))))
}
