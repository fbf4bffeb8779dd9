package attempt

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/state"
)

// Journal is the part of state.Journal that the keeper uses.
type Journal interface {
	Append(ctx context.Context, stream port.Stream, record port.Record) (int64, error)
	AppendWithRetry(stream port.Stream, record port.Record) (<-chan struct{}, error)
}

// Options configure a Coordinator.
type Options struct {
	// RecordTimeout bounds the time until an attempt is appended to the log and
	// its position is known.
	RecordTimeout time.Duration
	// MaxAnswerBytes is the size of the largest answer body that is stored for
	// repeats.
	MaxAnswerBytes int
	// RetryAfter is the retry delay returned to callers while the log is
	// unavailable.
	RetryAfter time.Duration

	// DispatchUnrecorded and IgnoreOrder are faulty variants that the property
	// tests must detect: dispatch although the record could not be appended, and
	// dispatch although another attempt precedes this one in the log.
	DispatchUnrecorded, IgnoreOrder bool
}

// DefaultOptions returns options for a log that answers within a second.
func DefaultOptions() Options {
	return Options{RecordTimeout: time.Second, MaxAnswerBytes: 64 << 10, RetryAfter: 2 * time.Second}
}

// Coordinator begins and ends attempts for one instance. It is safe for concurrent use.
type Coordinator struct {
	Instance domain.InstanceID
	Journal  Journal
	Ledger   *Ledger
	Options  Options

	lastAttempt atomic.Uint64
}

// BeginResult is either permission to dispatch a request or its first answer.
type BeginResult struct {
	// Attempt is the id of the attempt that may be dispatched; empty when Answer
	// is set.
	Attempt string
	Answer  *Answer
}

// Begin records an attempt and waits until its position in the log is known. It
// returns permission to dispatch, the first answer of an earlier attempt, or a
// refusal. A refusal has outcome NotRun only when this call cannot have run an
// attempt at this id, and Unknown when another attempt came first and its answer
// did not arrive in time.
func (k *Coordinator) Begin(ctx context.Context, key Key, digest string) (BeginResult, error) {
	if status, known, _ := k.Ledger.Status(key); known && status.Winner != "" {
		return k.awaitAnswer(ctx, key, digest)
	}
	id := fmt.Sprintf("%s/%d", k.Instance, k.lastAttempt.Add(1))
	record, err := state.NewRecord(id, KindAttempt, Attempt{Key: key, Digest: digest, Instance: k.Instance})
	if err != nil {
		return BeginResult{}, err
	}
	recordCtx, cancel := context.WithTimeout(ctx, k.Options.RecordTimeout)
	defer cancel()
	offset, err := k.Journal.Append(recordCtx, state.AttemptStream, record)
	if err != nil && k.Options.DispatchUnrecorded {
		return BeginResult{Attempt: id}, nil
	}
	if err != nil {
		return BeginResult{}, k.abortBegin(key, id, err)
	}
	if err := k.waitForOffset(recordCtx, offset); err != nil {
		return BeginResult{}, k.abortBegin(key, id, err)
	}
	status, _, _ := k.Ledger.Status(key)
	if status.Winner == id || k.Options.IgnoreOrder {
		return BeginResult{Attempt: id}, nil
	}
	return k.awaitAnswer(ctx, key, digest)
}

// abortBegin ends an attempt whose record was not confirmed. Only this instance
// could have dispatched it, so it has not run even if its record is in the log.
func (k *Coordinator) abortBegin(key Key, id string, cause error) error {
	if !errors.Is(cause, state.ErrNotSent) {
		k.Abandon(key, id)
	}
	return domain.Refuse(domain.ReasonLogUnavailable, "",
		"the request must run at most once, and its attempt could not be recorded in the log",
		"retry with the same id").WithRetryAfter(k.Options.RetryAfter)
}

// waitForOffset waits until the ledger has applied the entry at offset.
// waitForOffset waits until the ledger has applied the entry at offset.
func (k *Coordinator) waitForOffset(ctx context.Context, offset int64) error {
	for {
		applied, advanced := k.Ledger.Applied(offset)
		if applied {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitAnswer waits for the answer of the first attempt in the log.
func (k *Coordinator) awaitAnswer(ctx context.Context, key Key, digest string) (BeginResult, error) {
	for {
		status, known, changed := k.Ledger.Status(key)
		switch {
		case !known:
			return BeginResult{}, domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, "the outcome of an earlier attempt at this id is no longer stored")
		case status.Winner == "":
			return BeginResult{}, domain.Refuse(domain.ReasonOverloaded, "",
				"an earlier attempt at this id was abandoned before it ran", "retry with the same id").WithRetryAfter(k.Options.RetryAfter)
		case status.Digest != digest:
			return BeginResult{}, domain.Refuse(domain.ReasonIDReused, "Cobalttide-Request-Id",
				"the id was already used for a request with a different body", "use a new id for a new request")
		case status.Answer != nil:
			return resultFromAnswer(status.Answer)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return BeginResult{}, domain.OutcomeUnknown(domain.ReasonOutcomeUnknown,
				"another attempt at this id came first and has not been answered yet")
		}
	}
}

func resultFromAnswer(a *Answer) (BeginResult, error) {
	if a.Unknown {
		return BeginResult{}, domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, "the only attempt at this id ended without a complete answer")
	}
	if a.Dropped {
		return BeginResult{}, domain.OutcomeUnknown(domain.ReasonAnswerIncomplete, "the request has run, but its answer is no longer stored")
	}
	return BeginResult{Answer: a}, nil
}

// Abandon records that an attempt was not dispatched, so that a repeat may run.
// The caller must be certain of it.
func (k *Coordinator) Abandon(key Key, attempt string) {
	k.appendWithRetry("abandoned/"+attempt, KindAbandoned, Abandoned{Key: key, Attempt: attempt})
}

// Finish records the outcome of a dispatched attempt, which repeats receive.
func (k *Coordinator) Finish(key Key, attempt string, answer Answer) {
	if len(answer.Body) > k.Options.MaxAnswerBytes {
		answer.Body = nil
		answer.Dropped = true
	}
	answered := Answered{Key: key, Attempt: attempt, Answer: answer}
	k.Ledger.ApplyLocal(answered)
	k.appendWithRetry("answered/"+attempt, KindAnswered, answered)
}

// appendWithRetry passes a record to the journal, which retries the append until
// it succeeds. A journal that is closing drops the record; repeats are then
// correctly answered with an unknown outcome.
func (k *Coordinator) appendWithRetry(id, kind string, payload any) {
	if record, err := state.NewRecord(id, kind, payload); err == nil {
		_, _ = k.Journal.AppendWithRetry(state.AttemptStream, record)
	}
}
