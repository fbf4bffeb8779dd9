package dispatch

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cobalttide/cobalttide/requests/limit"
)

// LimitRate limits the requests per second of each account.
func LimitRate(rates *limit.Limiters) endpoint.Middleware {
	return newFilter(func(ctx context.Context, call *Call, next endpoint.Endpoint) (any, error) {
		if refusal := rates.Allow(call.Account, call.PerSecond, time.Now()); refusal != nil {
			return nil, refusal
		}
		return next(ctx, call)
	})
}
