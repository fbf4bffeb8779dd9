// Package attempt keeps the promise that a request which is not idempotent runs
// at most once. Every attempt is recorded in the log before it is dispatched;
// the log's order says which of several attempts at one id was first, and only
// that one is ever dispatched. No lease is involved, so nothing can lapse.
package attempt

import (
	"encoding/json"
	"sync"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// The record kinds of the attempt stream.
const (
	KindAttempt   = "attempt"
	KindAbandoned = "attempt-abandoned"
	KindAnswered  = "attempt-answered"
)

// Key identifies a request: the ids of one account don't meet another's.
type Key struct {
	Account domain.AccountID `json:"account"`
	ID      string           `json:"id"`
}

// Attempt is recorded before a dispatch. The record's id names it.
type Attempt struct {
	Key    Key    `json:"key"`
	Digest string `json:"digest"`
	// Instance is who will dispatch.
	Instance domain.InstanceID `json:"instance"`
}

// Abandoned says that an attempt was not and will not be dispatched.
type Abandoned struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
}

// Answer is the first answer to a request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Unknown is set when the dispatch ended without a whole answer.
	Unknown bool `json:"unknown,omitempty"`
	// Dropped is set when the body was too large to keep.
	Dropped bool `json:"dropped,omitempty"`
}

// Answered records the outcome of an attempt.
type Answered struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	Answer  Answer `json:"answer"`
}

// Status is what the log says of a request.
type Status struct {
	Digest string
	// Winner is the attempt that may be dispatched, Instance its holder.
	Winner   string
	Instance domain.InstanceID
	Answer   *Answer
}

type entry struct {
	Status
	abandoned map[string]bool
	waiters   []chan struct{}
}

// Bounds of what a ledger remembers. Beyond them the oldest ids are forgotten;
// docs/design/at-most-once.md gives the time that this lasts.
const (
	maxEntries     = 50_000
	maxAnswerBytes = 8 << 20
)

// Ledger is the fold of the attempt stream. Safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[Key]*entry
	order   []Key
	bytes   int
	offset  int64
	moved   chan struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[Key]*entry{}, moved: make(chan struct{})}
}

// Offset returns the offset to read from next.
func (l *Ledger) Offset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.offset
}

// Passed returns a channel that is closed at the ledger's next step, and
// whether the entry at an offset has been folded.
func (l *Ledger) Passed(offset int64) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.offset > offset, l.moved
}

// FoldEntry folds one entry. Entries that can't be read are passed over by
// every instance alike.
func (l *Ledger) FoldEntry(e port.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Offset < l.offset {
		return nil
	}
	err := l.fold(e.Record)
	l.offset = e.Offset + 1
	close(l.moved)
	l.moved = make(chan struct{})
	return err
}

func (l *Ledger) fold(record port.Record) error {
	switch record.Kind {
	case KindAttempt:
		var a Attempt
		if err := json.Unmarshal(record.Data, &a); err != nil {
			return err
		}
		l.attempted(record.ID, a)
	case KindAbandoned:
		var a Abandoned
		if err := json.Unmarshal(record.Data, &a); err != nil {
			return err
		}
		l.abandoned(a)
	case KindAnswered:
		var a Answered
		if err := json.Unmarshal(record.Data, &a); err != nil {
			return err
		}
		l.answered(a)
	}
	return nil
}

func (l *Ledger) entry(key Key) *entry {
	e, ok := l.entries[key]
	if !ok {
		e = &entry{abandoned: map[string]bool{}}
		l.entries[key] = e
		l.order = append(l.order, key)
		l.expire()
	}
	return e
}

func (l *Ledger) expire() {
	for len(l.order) > maxEntries {
		oldest := l.order[0]
		l.order = l.order[1:]
		if e := l.entries[oldest]; e.Answer != nil {
			l.bytes -= len(e.Answer.Body)
		}
		delete(l.entries, oldest)
	}
	for i := 0; l.bytes > maxAnswerBytes && i < len(l.order); i++ {
		if e := l.entries[l.order[i]]; e.Answer != nil && len(e.Answer.Body) > 0 {
			l.bytes -= len(e.Answer.Body)
			e.Answer = &Answer{Status: e.Answer.Status, Dropped: true}
		}
	}
}

// attempted makes the attempt the winner when no other is. An attempt whose
// abandonment was read first never wins.
func (l *Ledger) attempted(id string, a Attempt) {
	e := l.entry(a.Key)
	if e.Winner != "" || e.abandoned[id] {
		return
	}
	e.Winner = id
	e.Digest = a.Digest
	e.Instance = a.Instance
	e.wake()
}

func (l *Ledger) abandoned(a Abandoned) {
	e := l.entry(a.Key)
	e.abandoned[a.Attempt] = true
	if e.Winner == a.Attempt && e.Answer == nil {
		e.Winner = ""
		e.Instance = ""
		e.wake()
	}
}

func (l *Ledger) answered(a Answered) {
	e := l.entry(a.Key)
	if e.Winner != a.Attempt || e.Answer != nil {
		return
	}
	e.Answer = &a.Answer
	l.bytes += len(a.Answer.Body)
	l.expire()
	e.wake()
}

func (e *entry) wake() {
	for _, ch := range e.waiters {
		close(ch)
	}
	e.waiters = nil
}

// Status returns what is known of a request, and a channel that is closed at
// its next change.
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

// Finish enters this instance's own answer ahead of the log, so that a repeat
// here gets it even while the log is away.
func (l *Ledger) Finish(a Answered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered(a)
}
