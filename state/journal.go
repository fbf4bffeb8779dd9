package state

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/port"
)

// ErrNotSent says that a record certainly is not in the log and never will be.
var ErrNotSent = errors.New("record was not sent to the log")

// ErrUncertain says that a record may be in the log or may appear later.
var ErrUncertain = errors.New("record may or may not be in the log")

// JournalOptions bound a journal.
type JournalOptions struct {
	// Interval is the least time between two appends to one stream; it groups
	// records and bounds what one instance asks of the log.
	Interval time.Duration
	// Timeout bounds one append.
	Timeout time.Duration
	// MaxBatch bounds the records of one append.
	MaxBatch int
	// MaxQueue bounds the records that wait; beyond it Append is refused.
	MaxQueue int
	// OnAppend is told of every append, for metrics; may be nil.
	OnAppend func(records int, err error)
}

// DefaultJournalOptions let 8 instances together make at most 160 appends a
// second to one stream.
func DefaultJournalOptions() JournalOptions {
	return JournalOptions{Interval: 50 * time.Millisecond, Timeout: 2 * time.Second, MaxBatch: 1000, MaxQueue: 20_000}
}

// Journal groups records into few appends. At most one append a stream is
// under way. Safe for concurrent use.
type Journal struct {
	log     port.Log
	options JournalOptions

	mu     sync.Mutex
	queues map[port.Stream]*queue
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

type queue struct {
	pending []*item
	wake    chan struct{}
	last    time.Time
}

type item struct {
	record port.Record
	// keep repeats the append until the record is known to be in the log.
	keep bool
	// sent is set once the record has been handed to the log.
	sent bool
	done chan struct{}
	// offset and err are set before done is closed.
	offset int64
	err    error
	closed bool
}

func (i *item) finish(offset int64, err error) {
	if i.closed {
		return
	}
	i.closed = true
	i.offset, i.err = offset, err
	close(i.done)
}

// NewJournal returns a journal that writes to the log until Close.
func NewJournal(log port.Log, options JournalOptions) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	return &Journal{log: log, options: options, queues: map[port.Stream]*queue{}, ctx: ctx, cancel: cancel}
}

// Append adds one record and returns its offset. ErrNotSent and ErrUncertain
// tell what is known after a failure; the record is not repeated.
func (j *Journal) Append(ctx context.Context, stream port.Stream, record port.Record) (int64, error) {
	it, err := j.enqueue(stream, record, false)
	if err != nil {
		return 0, err
	}
	select {
	case <-it.done:
		return it.offset, it.err
	case <-ctx.Done():
		return 0, j.withdraw(stream, it)
	}
}

// Keep adds a record that has to get into the log whatever the log does: it is
// repeated until it is there. The fold's idempotence makes a double harmless.
func (j *Journal) Keep(stream port.Stream, record port.Record) (<-chan struct{}, error) {
	it, err := j.enqueue(stream, record, true)
	if err != nil {
		return nil, err
	}
	return it.done, nil
}

func (j *Journal) enqueue(stream port.Stream, record port.Record, keep bool) (*item, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return nil, errors.Wrap(ErrNotSent, "journal is closed")
	}
	q, ok := j.queues[stream]
	if !ok {
		q = &queue{wake: make(chan struct{}, 1)}
		j.queues[stream] = q
		j.wg.Add(1)
		go j.run(stream, q)
	}
	if !keep && len(q.pending) >= j.options.MaxQueue {
		return nil, errors.Wrap(ErrNotSent, "journal is full")
	}
	it := &item{record: record, keep: keep, done: make(chan struct{})}
	q.pending = append(q.pending, it)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return it, nil
}

// withdraw takes an item back. It is certain that it was not sent only while
// no append has carried it.
func (j *Journal) withdraw(stream port.Stream, it *item) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.closed {
		return it.err
	}
	if it.sent {
		it.finish(0, ErrUncertain)
		return ErrUncertain
	}
	q := j.queues[stream]
	for i, other := range q.pending {
		if other == it {
			q.pending = append(q.pending[:i], q.pending[i+1:]...)
			break
		}
	}
	it.finish(0, ErrNotSent)
	return ErrNotSent
}

// Seen tells the journal that a record was read from the log: an append whose
// answer was lost is found again this way and not repeated.
func (j *Journal) Seen(stream port.Stream, entry port.Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	q, ok := j.queues[stream]
	if !ok {
		return
	}
	for i, it := range q.pending {
		if it.sent && it.record.ID == entry.Record.ID {
			q.pending = append(q.pending[:i], q.pending[i+1:]...)
			it.finish(entry.Offset, nil)
			return
		}
	}
}

// Pending returns the number of records not known to be in the log.
func (j *Journal) Pending() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, q := range j.queues {
		n += len(q.pending)
	}
	return n
}

// Close stops the journal. Records that are still pending end with an error
// that tells whether they were sent.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.cancel()
	j.wg.Wait()
}

func (j *Journal) run(stream port.Stream, q *queue) {
	defer j.wg.Done()
	failures := 0
	for {
		if !j.waitForWork(q, failures) {
			j.abandon(q)
			return
		}
		if j.flush(stream, q) {
			failures = 0
		} else {
			failures++
		}
	}
}

func (j *Journal) waitForWork(q *queue, failures int) bool {
	if j.empty(q) {
		select {
		case <-q.wake:
		case <-j.ctx.Done():
			return false
		}
	}
	pause := time.Until(q.last.Add(j.options.Interval))
	if failures > 0 {
		pause = backoff(j.options.Interval, failures)
	}
	select {
	case <-time.After(pause):
		return true
	case <-j.ctx.Done():
		return false
	}
}

// maxBackoff bounds the pause between two tries at a log that fails.
const maxBackoff = 2 * time.Second

// backoff is exponential with full jitter.
func backoff(base time.Duration, failures int) time.Duration {
	limit := min(base<<min(failures, 10), maxBackoff)
	return time.Duration(rand.Int64N(int64(limit)) + 1)
}

func (j *Journal) empty(q *queue) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(q.pending) == 0
}

func (j *Journal) flush(stream port.Stream, q *queue) bool {
	batch := j.take(q)
	if len(batch) == 0 {
		return true
	}
	records := make([]port.Record, len(batch))
	for i, it := range batch {
		records[i] = it.record
	}
	ctx, cancel := context.WithTimeout(j.ctx, j.options.Timeout)
	first, err := j.log.Append(ctx, stream, records)
	cancel()
	q.last = time.Now()
	if j.options.OnAppend != nil {
		j.options.OnAppend(len(records), err)
	}
	j.settle(q, batch, first, err)
	return err == nil
}

func (j *Journal) take(q *queue) []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := min(len(q.pending), j.options.MaxBatch)
	batch := append([]*item(nil), q.pending[:n]...)
	for _, it := range batch {
		it.sent = true
	}
	return batch
}

func (j *Journal) settle(q *queue, batch []*item, first int64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	done := map[*item]bool{}
	for i, it := range batch {
		if err != nil && it.keep {
			continue
		}
		done[it] = true
		if err != nil {
			it.finish(0, ErrUncertain)
			continue
		}
		it.finish(first+int64(i), nil)
	}
	left := q.pending[:0]
	for _, it := range q.pending {
		if !done[it] {
			left = append(left, it)
		}
	}
	clear(q.pending[len(left):])
	q.pending = left
}

func (j *Journal) abandon(q *queue) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range q.pending {
		if it.sent {
			it.finish(0, ErrUncertain)
			continue
		}
		it.finish(0, ErrNotSent)
	}
	q.pending = nil
}
