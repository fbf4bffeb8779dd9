package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/cobalttide/cobalttide/requests/limit"
)

// Admit bounds the number of concurrent requests and shares them between
// accounts. A request counts until the body of its answer is closed.
func Admit(gate *limit.Gate) endpoint.Middleware {
	return newFilter(func(ctx context.Context, call *Call, next endpoint.Endpoint) (any, error) {
		request := limit.Request{
			Account: call.Account, Weight: call.Weight, Priority: call.Class.Priority, Deadline: call.Deadline,
		}
		if err := gate.Enter(ctx, request, time.Now()); err != nil {
			return nil, err
		}
		began := time.Now()
		leave := func() { gate.Leave(call.Account, time.Since(began), time.Now()) }
		response, err := next(ctx, call)
		if err != nil {
			leave()
			return nil, err
		}
		answer := response.(*Answer)
		answer.Body = &closeNotifier{ReadCloser: answer.Body, notify: leave}
		return answer, nil
	})
}

// closeNotifier calls notify exactly once, when the body is closed.
type closeNotifier struct {
	io.ReadCloser
	once   sync.Once
	notify func()
}

// Close implements io.Closer.
func (c *closeNotifier) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.notify)
	return err
}
