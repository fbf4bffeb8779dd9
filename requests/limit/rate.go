package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cobalttide/cobalttide/domain"
)

// burstSeconds is the burst size, in seconds of an account's rate.
const burstSeconds = 1.0

// Limiters limit the requests per second of each account. It is safe for concurrent
// use.
type Limiters struct {
	mu       sync.Mutex
	limiters map[domain.AccountID]*rate.Limiter
}

// NewLimiters returns rate limits that have seen no account yet.
func NewLimiters() *Limiters { return &Limiters{limiters: map[domain.AccountID]*rate.Limiter{}} }

// Allow admits one request of the account and returns nil, or returns a refusal
// with a retry delay. A changed perSecond takes effect immediately.
func (r *Limiters) Allow(id domain.AccountID, perSecond float64, now time.Time) *domain.Refusal {
	limiter := r.limiter(id, perSecond, now)
	reservation := limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return domain.Refuse(domain.ReasonRateLimited, "", "the account exceeds its requests per second at this instance",
		"retry after the given time, or have requests_per_second raised").WithRetryAfter(delay)
}

func (r *Limiters) limiter(id domain.AccountID, perSecond float64, now time.Time) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter, ok := r.limiters[id]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
		r.limiters[id] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, max(1, int(perSecond*burstSeconds)))
	}
	return limiter
}
