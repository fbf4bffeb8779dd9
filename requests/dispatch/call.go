// Package dispatch implements the request pipeline: filters that each receive a
// typed call and pass it on or refuse it. Every filter is a go-kit
// endpoint.Middleware in its own file, so that each can be omitted, moved or
// measured separately.
//
//	authenticate -> classify -> rate -> deduplicate -> admit -> route
//
// authenticate and classify run in the transport's decoder, where the class
// decides how much of the body may be read.
package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cobalttide/cobalttide/domain"
)

// Call is one request to a backend server.
type Call struct {
	// ID is chosen by the caller; repeats of a request carry the same ID.
	ID        string
	Account   domain.AccountID
	Weight    int
	PerSecond float64
	ClassName domain.ClassName
	Class     domain.Class
	// Body is the complete body, so that it can be sent again.
	Body        []byte
	ContentType string
	Received    time.Time
	Deadline    time.Time
}

// Answer is a backend server's answer; its body is streamed to the caller.
type Answer struct {
	Status      int
	ContentType string
	// Length is the body's size in bytes, or -1 when it is not known.
	Length int64
	// Body ends with io.EOF only when the answer is complete. The receiver must
	// close it.
	Body io.ReadCloser
	// Repeat is set when this is the stored answer of an earlier attempt.
	Repeat bool
	// Attempts is how many dispatches the request took.
	Attempts int
}

// Chain wraps the last endpoint in the filters; the first filter is outermost.
func Chain(last endpoint.Endpoint, filters ...endpoint.Middleware) endpoint.Endpoint {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// newFilter adapts a typed function to a middleware.
func newFilter(f func(ctx context.Context, call *Call, next endpoint.Endpoint) (any, error)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			return f(ctx, request.(*Call), next)
		}
	}
}
