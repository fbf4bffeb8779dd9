package dispatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/requests/attempt"
)

// Deduplicate passes on a request of a class that is not idempotent at most once,
// and answers repeats with the first answer. It must precede every filter that
// dispatches. A refusal reports not-run only when no attempt was dispatched.
func Deduplicate(keeper *attempt.Coordinator) endpoint.Middleware {
	return newFilter(func(ctx context.Context, call *Call, next endpoint.Endpoint) (any, error) {
		if call.Class.Idempotent {
			return next(ctx, call)
		}
		key := attempt.Key{Account: call.Account, ID: call.ID}
		result, err := keeper.Begin(ctx, key, Digest(call))
		if err != nil {
			return nil, err
		}
		if result.Answer != nil {
			return storedAnswer(result.Answer), nil
		}
		response, err := next(ctx, call)
		if err != nil {
			return nil, endFailedAttempt(keeper, key, result.Attempt, err)
		}
		answer := response.(*Answer)
		answer.Body = &recordingBody{
			ReadCloser: answer.Body, limit: keeper.Options.MaxAnswerBytes,
			onEnd: func(body []byte, complete, dropped bool) {
				keeper.Finish(key, result.Attempt, attempt.Answer{
					Status: answer.Status, ContentType: answer.ContentType,
					Body: body, Unknown: !complete, Dropped: dropped,
				})
			},
		}
		return answer, nil
	})
}

// Digest returns a hash of the request's class and body.
func Digest(call *Call) string {
	h := sha256.New()
	h.Write([]byte(call.ClassName))
	h.Write([]byte{0})
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func storedAnswer(a *attempt.Answer) *Answer {
	return &Answer{
		Status: a.Status, ContentType: a.ContentType, Length: int64(len(a.Body)),
		Body: io.NopCloser(bytes.NewReader(a.Body)), Repeat: true,
	}
}

// endFailedAttempt ends an attempt without an answer and returns err. If the
// request certainly did not run, the id becomes available for a repeat.
func endFailedAttempt(keeper *attempt.Coordinator, key attempt.Key, id string, err error) error {
	var refusal *domain.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == domain.NotRun {
		keeper.Abandon(key, id)
		return err
	}
	keeper.Finish(key, id, attempt.Answer{Unknown: true})
	return err
}

// recordingBody copies up to limit bytes of a body while it is read, and reports
// once, at its end, whether it was complete.
type recordingBody struct {
	io.ReadCloser
	limit    int
	body     []byte
	overflow bool
	complete bool
	reported bool
	onEnd    func(body []byte, complete, dropped bool)
}

// Read implements io.Reader.
func (r *recordingBody) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.body)+n <= r.limit {
		r.body = append(r.body, p[:n]...)
	} else {
		r.overflow = true
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
		r.report()
	}
	return n, err
}

// Close implements io.Closer.
func (r *recordingBody) Close() error {
	r.report()
	return r.ReadCloser.Close()
}

func (r *recordingBody) report() {
	if r.reported {
		return
	}
	r.reported = true
	body := r.body
	if r.overflow {
		body = nil
	}
	r.onEnd(body, r.complete, r.overflow)
}
