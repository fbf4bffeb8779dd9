package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cobalttide/cobalttide/domain"
)

// burstSeconds is how much of a second's rate may come at once.
const burstSeconds = 1.0

// Rates bounds each account's requests a second. Safe for concurrent use.
type Rates struct {
	mu       sync.Mutex
	limiters map[domain.AccountID]*rate.Limiter
}

// NewRates returns bounds that follow the declarations.
func NewRates() *Rates { return &Rates{limiters: map[domain.AccountID]*rate.Limiter{}} }

// Allow takes one request of the account, or refuses it with the time at which
// to come back.
func (r *Rates) Allow(id domain.AccountID, perSecond float64, now time.Time) *domain.Refusal {
	limiter := r.limiter(id, perSecond, now)
	reservation := limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return domain.Refuse(domain.ReasonRateLimited, "", "the account is above its requests a second at this instance",
		"come back after the time given, or have requests_per_second raised").After(delay)
}

func (r *Rates) limiter(id domain.AccountID, perSecond float64, now time.Time) *rate.Limiter {
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
