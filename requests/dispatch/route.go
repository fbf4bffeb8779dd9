package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/requests/retry"
	"github.com/cobalttide/cobalttide/requests/routing"
)

// RouteOptions bound routing and retries.
type RouteOptions struct {
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts int
	// RetryBase is the base of the pause between them.
	RetryBase time.Duration
	// RetryAfter is what callers are told when no backend server is left.
	RetryAfter time.Duration
}

// DefaultRouteOptions are those that ship.
func DefaultRouteOptions() RouteOptions {
	return RouteOptions{MaxAttempts: 3, RetryBase: 10 * time.Millisecond, RetryAfter: time.Second}
}

// Router is the last stage: it picks backend servers and calls them.
type Router struct {
	Table     *routing.Table
	Budget    *retry.Budget
	Transport http.RoundTripper
	Options   RouteOptions
	// OnRetry is told the reason of every retry, for metrics.
	OnRetry func(reason domain.Reason)
}

// Endpoint returns the stage as an endpoint.
func (r *Router) Endpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return r.route(ctx, request.(*Call))
	}
}

// failure is why one dispatch brought no answer.
type failure struct {
	reason domain.Reason
	// notRun is set only when the request certainly did not run.
	notRun bool
	err    error
}

// route tries backend servers until one answers. A request that is not
// idempotent is tried again only after a failure that proves it did not run.
func (r *Router) route(ctx context.Context, call *Call) (*Answer, error) {
	r.Budget.Earn()
	var tried []*routing.Backend
	notRun := true
	var last *failure
	for n := 1; ; n++ {
		backend := r.Table.Pick(time.Now(), routing.DefaultRandom, tried)
		if backend == nil {
			return nil, r.refuse(last, notRun, domain.ReasonNoBackend, "no backend server can take the request")
		}
		answer, failed := r.try(ctx, call, backend)
		if failed == nil {
			answer.Attempts = n
			return answer, nil
		}
		tried = append(tried, backend)
		last = failed
		notRun = notRun && failed.notRun
		if !failed.notRun && !call.Class.Idempotent {
			return nil, domain.OutcomeUnknown(failed.reason, "the backend server may have run it: "+failed.err.Error())
		}
		if n >= r.Options.MaxAttempts || !r.mayRetry(ctx, failed, n) {
			return nil, r.refuse(last, notRun, failed.reason, failed.err.Error())
		}
	}
}

// mayRetry spends the budget and waits, unless the deadline comes first. A
// failure that proves that nothing ran costs no backend server any work.
func (r *Router) mayRetry(ctx context.Context, failed *failure, n int) bool {
	if ctx.Err() != nil || !r.Budget.Spend() {
		return false
	}
	if r.OnRetry != nil {
		r.OnRetry(failed.reason)
	}
	select {
	case <-time.After(retry.Pause(r.Options.RetryBase, n)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Router) refuse(last *failure, notRun bool, reason domain.Reason, message string) *domain.Refusal {
	if last != nil && reason == domain.ReasonNoBackend {
		reason = last.reason
		message = last.err.Error()
	}
	if !notRun {
		refusal := domain.OutcomeUnknown(reason, message)
		refusal.Remedy = "repeat it: its class is idempotent"
		return refusal.After(r.Options.RetryAfter)
	}
	return domain.Refuse(reason, "", message, "come back after the time given").After(r.Options.RetryAfter)
}

func (r *Router) try(ctx context.Context, call *Call, backend *routing.Backend) (*Answer, *failure) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	callCtx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	request, err := newRequest(callCtx, call, backend)
	if err != nil {
		cancel()
		r.Table.Release(backend)
		return nil, &failure{reason: domain.ReasonInvalid, notRun: true, err: err}
	}
	began := time.Now()
	response, err := r.Transport.RoundTrip(request)
	if err != nil {
		cancel()
		r.endFailed(ctx, backend, began)
		return nil, &failure{reason: r.reasonOf(ctx), notRun: !sent.Load(), err: err}
	}
	if failed := r.judge(call, backend, response); failed != nil {
		_ = response.Body.Close() // nothing of it is passed on
		cancel()
		r.Table.Done(backend, time.Since(began), !backend.Leaving(), time.Now())
		return nil, failed
	}
	return r.answer(call, backend, response, began, cancel), nil
}

func newRequest(ctx context.Context, call *Call, backend *routing.Backend) (*http.Request, error) {
	url := "http://" + backend.Spec.Address + "/run/" + string(call.ClassName)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make the backend server's request")
	}
	request.Header.Set(port.HeaderID, call.ID)
	request.Header.Set(port.HeaderAccount, string(call.Account))
	request.Header.Set(port.HeaderDeadline, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// endFailed blames the backend server, unless the caller ran out of time.
func (r *Router) endFailed(ctx context.Context, backend *routing.Backend, began time.Time) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Table.Release(backend)
		return
	}
	r.Table.Done(backend, time.Since(began), true, time.Now())
}

func (r *Router) reasonOf(ctx context.Context) domain.Reason {
	if ctx.Err() != nil {
		return domain.ReasonDeadline
	}
	return domain.ReasonBackendFailed
}

// judge takes in what the answer's head says, before any of it is passed on.
func (r *Router) judge(call *Call, backend *routing.Backend, response *http.Response) *failure {
	now := time.Now()
	if load, err := strconv.Atoi(response.Header.Get(port.HeaderLoad)); err == nil {
		backend.Report(load, now)
	}
	if response.Header.Get(port.HeaderLeaving) != "" {
		backend.Leave()
	}
	if response.Header.Get(port.HeaderNotRun) != "" {
		return &failure{reason: domain.ReasonDraining, notRun: true, err: errors.New("the backend server did not run it")}
	}
	if id := response.Header.Get(port.HeaderID); id != call.ID {
		return &failure{reason: domain.ReasonAnswerIncomplete, err: errors.New("the backend server sent the answer to another request")}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &failure{reason: domain.ReasonBackendFailed, err: fmt.Errorf("the backend server answered %d", response.StatusCode)}
	}
	return nil
}

func (r *Router) answer(call *Call, backend *routing.Backend, response *http.Response, began time.Time, cancel context.CancelFunc) *Answer {
	body := &checkedBody{ReadCloser: response.Body, response: response, id: call.ID}
	end := func() {
		cancel()
		r.Table.Done(backend, time.Since(began), !body.whole, time.Now())
	}
	return &Answer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Length: response.ContentLength, Body: &closeNotifier{ReadCloser: body, notify: end},
	}
}

// ErrIncomplete says that a body ended before its length or its end marker.
var ErrIncomplete = errors.New("the backend server's answer ended early")

// checkedBody passes a body on and reports its end as io.EOF only when it is
// whole: net/http checks a declared length; an answer of unknown length must
// end with a trailer that repeats the id.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	id       string
	whole    bool
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.response.ContentLength < 0 && b.response.Trailer.Get(port.HeaderEnd) != b.id {
		return n, ErrIncomplete
	}
	b.whole = true
	return n, io.EOF
}
