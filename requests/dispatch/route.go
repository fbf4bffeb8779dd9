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

// RouteOptions configure routing and retries.
type RouteOptions struct {
	// MaxAttempts is the maximum number of dispatches of one request.
	MaxAttempts int
	// RetryBase is the base of the exponential backoff between dispatches.
	RetryBase time.Duration
	// RetryAfter is the retry delay returned to callers when no backend server
	// is available.
	RetryAfter time.Duration
}

// DefaultRouteOptions returns the options used in production.
func DefaultRouteOptions() RouteOptions {
	return RouteOptions{MaxAttempts: 3, RetryBase: 10 * time.Millisecond, RetryAfter: time.Second}
}

// Router is the last stage of the pipeline: it picks backend servers and calls
// them.
type Router struct {
	Table     *routing.Table
	Budget    *retry.Budget
	Transport http.RoundTripper
	Options   RouteOptions
	// OnRetry, if set, is called with the reason of every retry, for metrics.
	OnRetry func(reason domain.Reason)
}

// Endpoint returns the stage as an endpoint.
func (r *Router) Endpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return r.route(ctx, request.(*Call))
	}
}

// failure describes a dispatch that returned no usable answer.
type failure struct {
	reason domain.Reason
	// notRun is set only when it is certain that the request did not run.
	notRun bool
	err    error
}

// route calls backend servers until one answers. A request that is not idempotent
// is retried only after a failure that proves that it did not run.
func (r *Router) route(ctx context.Context, call *Call) (*Answer, error) {
	r.Budget.Deposit()
	var tried []*routing.Backend
	notRun := true
	var last *failure
	for attempts := 1; ; attempts++ {
		backend := r.Table.Pick(time.Now(), routing.DefaultRandom, tried)
		if backend == nil {
			return nil, r.refusalFor(last, notRun, domain.ReasonNoBackend, "no backend server can accept the request")
		}
		answer, failed := r.callBackend(ctx, call, backend)
		if failed == nil {
			answer.Attempts = attempts
			return answer, nil
		}
		tried = append(tried, backend)
		last = failed
		notRun = notRun && failed.notRun
		if !failed.notRun && !call.Class.Idempotent {
			return nil, domain.OutcomeUnknown(failed.reason, "the backend server may have run the request: "+failed.err.Error())
		}
		if attempts >= r.Options.MaxAttempts || !r.waitForRetry(ctx, failed, attempts) {
			return nil, r.refusalFor(last, notRun, failed.reason, failed.err.Error())
		}
	}
}

// waitForRetry takes a retry from the budget and waits for the backoff. It
// returns false if the budget is exhausted or the deadline passes first. A failure
// that proves that the request did not run has cost no backend server any work.
func (r *Router) waitForRetry(ctx context.Context, failed *failure, n int) bool {
	if ctx.Err() != nil || !r.Budget.TryWithdraw() {
		return false
	}
	if r.OnRetry != nil {
		r.OnRetry(failed.reason)
	}
	select {
	case <-time.After(retry.Backoff(r.Options.RetryBase, n)):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Router) refusalFor(last *failure, notRun bool, reason domain.Reason, message string) *domain.Refusal {
	if last != nil && reason == domain.ReasonNoBackend {
		reason = last.reason
		message = last.err.Error()
	}
	if !notRun {
		refusal := domain.OutcomeUnknown(reason, message)
		refusal.Remedy = "retry it: its class is idempotent"
		return refusal.WithRetryAfter(r.Options.RetryAfter)
	}
	return domain.Refuse(reason, "", message, "retry after the given time").WithRetryAfter(r.Options.RetryAfter)
}

func (r *Router) callBackend(ctx context.Context, call *Call, backend *routing.Backend) (*Answer, *failure) {
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
		r.recordFailure(ctx, backend, began)
		return nil, &failure{reason: r.failureReason(ctx), notRun: !sent.Load(), err: err}
	}
	if failed := r.checkHeaders(call, backend, response); failed != nil {
		_ = response.Body.Close() // the body is discarded
		cancel()
		r.Table.Done(backend, time.Since(began), !backend.Leaving(), time.Now())
		return nil, failed
	}
	return r.streamAnswer(call, backend, response, began, cancel), nil
}

func newRequest(ctx context.Context, call *Call, backend *routing.Backend) (*http.Request, error) {
	url := "http://" + backend.Spec.Address + "/run/" + string(call.ClassName)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request to backend server")
	}
	request.Header.Set(port.HeaderID, call.ID)
	request.Header.Set(port.HeaderAccount, string(call.Account))
	request.Header.Set(port.HeaderDeadline, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// recordFailure counts the failure against the backend server, unless the caller
// cancelled the request.
func (r *Router) recordFailure(ctx context.Context, backend *routing.Backend, began time.Time) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Table.Release(backend)
		return
	}
	r.Table.Done(backend, time.Since(began), true, time.Now())
}

func (r *Router) failureReason(ctx context.Context) domain.Reason {
	if ctx.Err() != nil {
		return domain.ReasonDeadline
	}
	return domain.ReasonBackendFailed
}

// checkHeaders updates the backend server's state from the response headers, and
// returns a failure if the response must not be passed on.
func (r *Router) checkHeaders(call *Call, backend *routing.Backend, response *http.Response) *failure {
	now := time.Now()
	if load, err := strconv.Atoi(response.Header.Get(port.HeaderLoad)); err == nil {
		backend.Report(load, now)
	}
	if response.Header.Get(port.HeaderLeaving) != "" {
		backend.Leave()
	}
	if response.Header.Get(port.HeaderNotRun) != "" {
		return &failure{reason: domain.ReasonDraining, notRun: true, err: errors.New("the backend server did not run the request")}
	}
	if id := response.Header.Get(port.HeaderID); id != call.ID {
		return &failure{reason: domain.ReasonAnswerIncomplete, err: errors.New("the backend server returned the answer to another request")}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &failure{reason: domain.ReasonBackendFailed, err: fmt.Errorf("the backend server returned status %d", response.StatusCode)}
	}
	return nil
}

func (r *Router) streamAnswer(call *Call, backend *routing.Backend, response *http.Response, began time.Time, cancel context.CancelFunc) *Answer {
	body := &checkedBody{ReadCloser: response.Body, response: response, id: call.ID}
	end := func() {
		cancel()
		r.Table.Done(backend, time.Since(began), !body.complete, time.Now())
	}
	return &Answer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Length: response.ContentLength, Body: &closeNotifier{ReadCloser: body, notify: end},
	}
}

// ErrIncomplete is returned when a body ends before its declared length or
// without its end marker.
var ErrIncomplete = errors.New("the backend server's answer ended early")

// checkedBody returns io.EOF only at the end of a complete body. net/http checks
// a declared length; an answer of unknown length must end with a trailer that
// repeats the request id.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	id       string
	complete bool
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
	b.complete = true
	return n, io.EOF
}
