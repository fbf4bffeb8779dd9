// Package dispatch is the request pipeline: filters that each take a typed call
// and pass it on or refuse it. Every filter is a go-kit endpoint.Middleware in
// its own file, so that each can be left out, moved or measured alone.
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

// Call is one request on its way to a backend server.
type Call struct {
	// ID is the caller's; repeats of one request carry the same.
	ID        string
	Account   domain.AccountID
	Weight    int
	PerSecond float64
	ClassName domain.ClassName
	Class     domain.Class
	// Body is read whole, so that it can be sent again.
	Body        []byte
	ContentType string
	Received    time.Time
	Deadline    time.Time
}

// Answer is a backend server's answer, streamed through.
type Answer struct {
	Status      int
	ContentType string
	// Length is the body's size in bytes, or -1 when it is not known.
	Length int64
	// Body ends with io.EOF only when the answer is whole. Close it.
	Body io.ReadCloser
	// Repeat is set when this is the kept answer of an earlier attempt.
	Repeat bool
	// Attempts is how many dispatches the request took.
	Attempts int
}

// Chain puts the filters before the last endpoint, first one outermost.
func Chain(last endpoint.Endpoint, filters ...endpoint.Middleware) endpoint.Endpoint {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// filter lifts a typed function to a middleware.
func filter(f func(ctx context.Context, call *Call, next endpoint.Endpoint) (any, error)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			return f(ctx, request.(*Call), next)
		}
	}
}
