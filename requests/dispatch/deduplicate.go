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

// Deduplicate lets a request of a class that is not idempotent through at most
// once, and gives repeats the first answer. It stands before every filter that
// dispatches, and it turns an outcome into a refusal that is true: not-run only
// when no attempt was dispatched.
func Deduplicate(keeper *attempt.Keeper) endpoint.Middleware {
	return filter(func(ctx context.Context, call *Call, next endpoint.Endpoint) (any, error) {
		if call.Class.Idempotent {
			return next(ctx, call)
		}
		key := attempt.Key{Account: call.Account, ID: call.ID}
		begun, err := keeper.Begin(ctx, key, Digest(call))
		if err != nil {
			return nil, err
		}
		if begun.Answer != nil {
			return kept(begun.Answer), nil
		}
		response, err := next(ctx, call)
		if err != nil {
			return nil, conclude(keeper, key, begun.Attempt, err)
		}
		answer := response.(*Answer)
		answer.Body = &recorder{
			ReadCloser: answer.Body, limit: keeper.Options.MaxKept,
			done: func(body []byte, whole, dropped bool) {
				keeper.Finish(key, begun.Attempt, attempt.Answer{
					Status: answer.Status, ContentType: answer.ContentType,
					Body: body, Unknown: !whole, Dropped: dropped,
				})
			},
		}
		return answer, nil
	})
}

// Digest identifies the request's body and class.
func Digest(call *Call) string {
	h := sha256.New()
	h.Write([]byte(call.ClassName))
	h.Write([]byte{0})
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func kept(a *attempt.Answer) *Answer {
	return &Answer{
		Status: a.Status, ContentType: a.ContentType, Length: int64(len(a.Body)),
		Body: io.NopCloser(bytes.NewReader(a.Body)), Repeat: true,
	}
}

// conclude ends an attempt that brought no answer. One that certainly was not
// run frees the id for a repeat.
func conclude(keeper *attempt.Keeper, key attempt.Key, id string, err error) error {
	var refusal *domain.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == domain.NotRun {
		keeper.Abandon(key, id)
		return err
	}
	keeper.Finish(key, id, attempt.Answer{Unknown: true})
	return err
}

// recorder copies a body on its way through, up to a limit, and reports once
// whether it was whole.
type recorder struct {
	io.ReadCloser
	limit    int
	body     []byte
	overflow bool
	whole    bool
	reported bool
	done     func(body []byte, whole, dropped bool)
}

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.body)+n <= r.limit {
		r.body = append(r.body, p[:n]...)
	} else {
		r.overflow = true
	}
	if errors.Is(err, io.EOF) {
		r.whole = true
		r.report()
	}
	return n, err
}

// Close implements io.Closer.
func (r *recorder) Close() error {
	r.report()
	return r.ReadCloser.Close()
}

func (r *recorder) report() {
	if r.reported {
		return
	}
	r.reported = true
	body := r.body
	if r.overflow {
		body = nil
	}
	r.done(body, r.whole, r.overflow)
}
