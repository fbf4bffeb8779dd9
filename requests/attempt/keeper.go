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

// Journal is what the keeper needs of state.Journal.
type Journal interface {
	Append(ctx context.Context, stream port.Stream, record port.Record) (int64, error)
	Keep(stream port.Stream, record port.Record) (<-chan struct{}, error)
}

// Options bound a keeper.
type Options struct {
	// RecordTimeout bounds the time until an attempt is in the log and its
	// place in the order is known.
	RecordTimeout time.Duration
	// MaxKept is the largest answer that is kept for repeats, in bytes.
	MaxKept int
	// RetryAfter is what callers are told while the log is away.
	RetryAfter time.Duration

	// DispatchUnrecorded and IgnoreOrder are broken variants for tests of
	// tests: dispatch although the record failed; and although it came second.
	DispatchUnrecorded, IgnoreOrder bool
}

// DefaultOptions suit a log that answers within a second.
func DefaultOptions() Options {
	return Options{RecordTimeout: time.Second, MaxKept: 64 << 10, RetryAfter: 2 * time.Second}
}

// Keeper begins and ends attempts for one instance. Safe for concurrent use.
type Keeper struct {
	Instance domain.InstanceID
	Journal  Journal
	Ledger   *Ledger
	Options  Options

	count atomic.Uint64
}

// Begun is the right to dispatch a request, or its first answer.
type Begun struct {
	// Attempt names the attempt that may be dispatched now; empty when Answer
	// is set.
	Attempt string
	Answer  *Answer
}

// Begin records an attempt and learns its place. It returns the right to
// dispatch, the first answer of an earlier attempt, or a refusal. A refusal
// with outcome NotRun is given only when no attempt at this id can have run
// through this call; with outcome Unknown when another attempt came first and
// its answer did not come in time.
func (k *Keeper) Begin(ctx context.Context, key Key, digest string) (Begun, error) {
	if status, known, _ := k.Ledger.Status(key); known && status.Winner != "" {
		return k.await(ctx, key, digest)
	}
	id := fmt.Sprintf("%s/%d", k.Instance, k.count.Add(1))
	record, err := state.NewRecord(id, KindAttempt, Attempt{Key: key, Digest: digest, Instance: k.Instance})
	if err != nil {
		return Begun{}, err
	}
	recordCtx, cancel := context.WithTimeout(ctx, k.Options.RecordTimeout)
	defer cancel()
	offset, err := k.Journal.Append(recordCtx, state.AttemptStream, record)
	if err != nil && k.Options.DispatchUnrecorded {
		return Begun{Attempt: id}, nil
	}
	if err != nil {
		return Begun{}, k.giveUp(key, id, err)
	}
	if err := k.waitFor(recordCtx, offset); err != nil {
		return Begun{}, k.giveUp(key, id, err)
	}
	status, _, _ := k.Ledger.Status(key)
	if status.Winner == id || k.Options.IgnoreOrder {
		return Begun{Attempt: id}, nil
	}
	return k.await(ctx, key, digest)
}

// giveUp ends an attempt that was not dispatched. Whether its record is in the
// log or not, this instance alone could have dispatched it, and does not.
func (k *Keeper) giveUp(key Key, id string, cause error) error {
	if !errors.Is(cause, state.ErrNotSent) {
		k.Abandon(key, id)
	}
	return domain.Refuse(domain.ReasonLogUnavailable, "",
		"the request must not run twice, and its attempt could not be recorded",
		"repeat it with the same id").After(k.Options.RetryAfter)
}

func (k *Keeper) waitFor(ctx context.Context, offset int64) error {
	for {
		passed, moved := k.Ledger.Passed(offset)
		if passed {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// await waits for the answer of the attempt that came first.
func (k *Keeper) await(ctx context.Context, key Key, digest string) (Begun, error) {
	for {
		status, known, changed := k.Ledger.Status(key)
		switch {
		case !known:
			return Begun{}, domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, "what became of an earlier attempt at this id is no longer known")
		case status.Winner == "":
			return Begun{}, domain.Refuse(domain.ReasonOverloaded, "",
				"an earlier attempt at this id was given up before it ran", "repeat it with the same id").After(k.Options.RetryAfter)
		case status.Digest != digest:
			return Begun{}, domain.Refuse(domain.ReasonIDReused, "Cobalttide-Request-Id",
				"the id was used for a request with another body", "use a new id for a new request")
		case status.Answer != nil:
			return fromAnswer(status.Answer)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Begun{}, domain.OutcomeUnknown(domain.ReasonOutcomeUnknown,
				"another attempt at this id came first and has not answered")
		}
	}
}

func fromAnswer(a *Answer) (Begun, error) {
	if a.Unknown {
		return Begun{}, domain.OutcomeUnknown(domain.ReasonOutcomeUnknown, "the only attempt at this id ended without a whole answer")
	}
	if a.Dropped {
		return Begun{}, domain.OutcomeUnknown(domain.ReasonAnswerIncomplete, "the request has run, but its answer is no longer kept")
	}
	return Begun{Answer: a}, nil
}

// Abandon gives up an attempt that certainly was not dispatched, so that a
// repeat may run.
func (k *Keeper) Abandon(key Key, attempt string) {
	k.keep("abandoned/"+attempt, KindAbandoned, Abandoned{Key: key, Attempt: attempt})
}

// Finish records the outcome of a dispatched attempt for repeats.
func (k *Keeper) Finish(key Key, attempt string, answer Answer) {
	if len(answer.Body) > k.Options.MaxKept {
		answer.Body = nil
		answer.Dropped = true
	}
	answered := Answered{Key: key, Attempt: attempt, Answer: answer}
	k.Ledger.Finish(answered)
	k.keep("answered/"+attempt, KindAnswered, answered)
}

// keep leaves a record with the journal, which repeats it until it is in the
// log. A journal that is closing drops it: repeats are then told that the
// outcome is unknown, which is true.
func (k *Keeper) keep(id, kind string, payload any) {
	if record, err := state.NewRecord(id, kind, payload); err == nil {
		_, _ = k.Journal.Keep(state.AttemptStream, record)
	}
}
