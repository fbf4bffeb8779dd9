// Package attempt ensures that a request which is not idempotent runs at most
// once. Every attempt is recorded in the log before it is dispatched; only the
// attempt at an id that comes first in the log is ever dispatched. No lease is
// involved, so none can expire.
package attempt

import (
	"encoding/json"
	"sync"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Record kinds of the attempt stream.
const (
	KindAttempt   = "attempt"
	KindAbandoned = "attempt-abandoned"
	KindAnswered  = "attempt-answered"
)

// Key identifies a request; ids are scoped to an account.
type Key struct {
	Account domain.AccountID `json:"account"`
	ID      string           `json:"id"`
}

// Attempt is recorded before a dispatch. The record's id is the attempt's id.
type Attempt struct {
	Key    Key    `json:"key"`
	Digest string `json:"digest"`
	// Instance is the instance that will dispatch the attempt.
	Instance domain.InstanceID `json:"instance"`
}

// Abandoned records that an attempt was not and will not be dispatched.
type Abandoned struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
}

// Answer is the first answer to a request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Unknown is set when the dispatch ended without a complete answer.
	Unknown bool `json:"unknown,omitempty"`
	// Dropped is set when the body was too large to store, or was evicted.
	Dropped bool `json:"dropped,omitempty"`
}

// Answered records the outcome of an attempt.
type Answered struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	Answer  Answer `json:"answer"`
}

// Status is the state of a request according to the log.
type Status struct {
	Digest string
	// Winner is the attempt that may be dispatched, and Instance the instance
	// that dispatches it.
	Winner   string
	Instance domain.InstanceID
	Answer   *Answer
}

type entry struct {
	Status
	abandoned map[string]bool
	waiters   []chan struct{}
}

// Limits on the size of a ledger. Beyond them the oldest ids are evicted;
// docs/design/at-most-once.md gives the resulting retention time.
const (
	maxEntries     = 50_000
	maxAnswerBytes = 8 << 20
)

// Ledger is the state derived from the attempt stream. It is safe for concurrent
// use.
type Ledger struct {
	mu          sync.Mutex
	entries     map[Key]*entry
	order       []Key
	answerBytes int
	nextOffset  int64
	advanced    chan struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[Key]*entry{}, advanced: make(chan struct{})}
}

// Offset returns the offset to read from next.
func (l *Ledger) Offset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextOffset
}

// Applied reports whether the entry at an offset has been applied, and returns a
// channel that is closed when the next entry is applied.
func (l *Ledger) Applied(offset int64) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextOffset > offset, l.advanced
}

// FoldEntry applies one entry. Every instance skips entries that cannot be
// decoded, so that all ledgers agree.
func (l *Ledger) FoldEntry(e port.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Offset < l.nextOffset {
		return nil
	}
	err := l.fold(e.Record)
	l.nextOffset = e.Offset + 1
	close(l.advanced)
	l.advanced = make(chan struct{})
	return err
}

func (l *Ledger) fold(record port.Record) error {
	switch record.Kind {
	case KindAttempt:
		var a Attempt
		if err := json.Unmarshal(record.Data, &a); err != nil {
			return err
		}
		l.applyAttempt(record.ID, a)
	case KindAbandoned:
		var a Abandoned
		if err := json.Unmarshal(record.Data, &a); err != nil {
			return err
		}
		l.applyAbandoned(a)
	case KindAnswered:
		var a Answered
		if err := json.Unmarshal(record.Data, &a); err != nil {
			return err
		}
		l.applyAnswered(a)
	}
	return nil
}

func (l *Ledger) entry(key Key) *entry {
	e, ok := l.entries[key]
	if !ok {
		e = &entry{abandoned: map[string]bool{}}
		l.entries[key] = e
		l.order = append(l.order, key)
		l.evict()
	}
	return e
}

func (l *Ledger) evict() {
	for len(l.order) > maxEntries {
		oldest := l.order[0]
		l.order = l.order[1:]
		if e := l.entries[oldest]; e.Answer != nil {
			l.answerBytes -= len(e.Answer.Body)
		}
		delete(l.entries, oldest)
	}
	for i := 0; l.answerBytes > maxAnswerBytes && i < len(l.order); i++ {
		if e := l.entries[l.order[i]]; e.Answer != nil && len(e.Answer.Body) > 0 {
			l.answerBytes -= len(e.Answer.Body)
			e.Answer = &Answer{Status: e.Answer.Status, Dropped: true}
		}
	}
}

// applyAttempt makes the attempt the winner if there is none. An attempt whose
// abandonment was read first never wins.
func (l *Ledger) applyAttempt(id string, a Attempt) {
	e := l.entry(a.Key)
	if e.Winner != "" || e.abandoned[id] {
		return
	}
	e.Winner = id
	e.Digest = a.Digest
	e.Instance = a.Instance
	e.notifyWaiters()
}

func (l *Ledger) applyAbandoned(a Abandoned) {
	e := l.entry(a.Key)
	e.abandoned[a.Attempt] = true
	if e.Winner == a.Attempt && e.Answer == nil {
		e.Winner = ""
		e.Instance = ""
		e.notifyWaiters()
	}
}

func (l *Ledger) applyAnswered(a Answered) {
	e := l.entry(a.Key)
	if e.Winner != a.Attempt || e.Answer != nil {
		return
	}
	e.Answer = &a.Answer
	l.answerBytes += len(a.Answer.Body)
	l.evict()
	e.notifyWaiters()
}

func (e *entry) notifyWaiters() {
	for _, ch := range e.waiters {
		close(ch)
	}
	e.waiters = nil
}

// Status returns the status of a request, whether the ledger contains it, and a
// channel that is closed at its next change.
func (l *Ledger) Status(key Key) (Status, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[key]
	if !ok {
		return Status{}, false, nil
	}
	ch := make(chan struct{})
	e.waiters = append(e.waiters, ch)
	return e.Status, true, ch
}

// ApplyLocal applies this instance's own answer before it is read from the log,
// so that a repeat at this instance receives it even while the log is unavailable.
func (l *Ledger) ApplyLocal(a Answered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyAnswered(a)
}
