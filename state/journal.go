package state

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/port"
)

// ErrNotSent means that a record is not in the log and never will be.
var ErrNotSent = errors.New("record was not sent to the log")

// ErrUncertain means that a record may be in the log or may appear there later.
var ErrUncertain = errors.New("record may or may not be in the log")

// JournalOptions holds the limits of a journal.
type JournalOptions struct {
	// Interval is the minimum time between two appends to one stream. It batches
	// records and bounds the load of one instance on the log.
	Interval time.Duration
	// Timeout bounds one append.
	Timeout time.Duration
	// MaxBatch bounds the number of records in one append.
	MaxBatch int
	// MaxQueue bounds the pending records of a stream; beyond it Append fails
	// with ErrNotSent.
	MaxQueue int
	// OnAppend is called after every append, for metrics. May be nil.
	OnAppend func(records int, err error)
}

// DefaultJournalOptions returns options with which 8 instances together make at
// most 160 appends a second to one stream.
func DefaultJournalOptions() JournalOptions {
	return JournalOptions{Interval: 50 * time.Millisecond, Timeout: 2 * time.Second, MaxBatch: 1000, MaxQueue: 20_000}
}

// Journal batches records into few appends, with at most one append in flight
// per stream. It is safe for concurrent use.
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
	pending    []*pendingRecord
	wake       chan struct{}
	lastAppend time.Time
}

type pendingRecord struct {
	record port.Record
	// retry is set if the append is repeated until the record is known to be in
	// the log.
	retry bool
	// sent is set once an append has included the record.
	sent bool
	done chan struct{}
	// offset and err are set before done is closed.
	offset   int64
	err      error
	finished bool
}

func (i *pendingRecord) finish(offset int64, err error) {
	if i.finished {
		return
	}
	i.finished = true
	i.offset, i.err = offset, err
	close(i.done)
}

// NewJournal returns a journal that appends to the log until Close is called.
func NewJournal(log port.Log, options JournalOptions) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	return &Journal{log: log, options: options, queues: map[port.Stream]*queue{}, ctx: ctx, cancel: cancel}
}

// Append appends one record and returns its offset. A failure wraps ErrNotSent
// or ErrUncertain; the append is not repeated.
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

// AppendWithRetry queues a record whose append is repeated until it succeeds, and returns a
// channel that is closed then, or when the journal closes. The record may end up
// in the log twice, which does no harm because folding is idempotent.
func (j *Journal) AppendWithRetry(stream port.Stream, record port.Record) (<-chan struct{}, error) {
	it, err := j.enqueue(stream, record, true)
	if err != nil {
		return nil, err
	}
	return it.done, nil
}

func (j *Journal) enqueue(stream port.Stream, record port.Record, retry bool) (*pendingRecord, error) {
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
	if !retry && len(q.pending) >= j.options.MaxQueue {
		return nil, errors.Wrap(ErrNotSent, "journal is full")
	}
	it := &pendingRecord{record: record, retry: retry, done: make(chan struct{})}
	q.pending = append(q.pending, it)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return it, nil
}

// withdraw removes a record that its caller no longer waits for. The result is
// ErrNotSent only if no append has included the record.
func (j *Journal) withdraw(stream port.Stream, it *pendingRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.finished {
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

// ConfirmRead reports that a record was read from the log, so that an append whose
// answer was lost is not repeated.
func (j *Journal) ConfirmRead(stream port.Stream, entry port.Entry) {
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

// Pending returns the number of records that are not known to be in the log.
func (j *Journal) Pending() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, q := range j.queues {
		n += len(q.pending)
	}
	return n
}

// Close stops the journal. Pending records fail with ErrUncertain if an append
// has included them, and with ErrNotSent otherwise.
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
			j.failPending(q)
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
	pause := time.Until(q.lastAppend.Add(j.options.Interval))
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

// maxBackoff bounds the pause between two attempts at a failing log.
const maxBackoff = 2 * time.Second

// backoff returns the pause after a number of consecutive failures: exponential
// with full jitter, up to maxBackoff.
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
	batch := j.nextBatch(q)
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
	q.lastAppend = time.Now()
	if j.options.OnAppend != nil {
		j.options.OnAppend(len(records), err)
	}
	j.completeBatch(q, batch, first, err)
	return err == nil
}

func (j *Journal) nextBatch(q *queue) []*pendingRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := min(len(q.pending), j.options.MaxBatch)
	batch := append([]*pendingRecord(nil), q.pending[:n]...)
	for _, it := range batch {
		it.sent = true
	}
	return batch
}

func (j *Journal) completeBatch(q *queue, batch []*pendingRecord, first int64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	done := map[*pendingRecord]bool{}
	for i, it := range batch {
		if err != nil && it.retry {
			continue
		}
		done[it] = true
		if err != nil {
			it.finish(0, ErrUncertain)
			continue
		}
		it.finish(first+int64(i), nil)
	}
	remaining := q.pending[:0]
	for _, it := range q.pending {
		if !done[it] {
			remaining = append(remaining, it)
		}
	}
	clear(q.pending[len(remaining):])
	q.pending = remaining
}

func (j *Journal) failPending(q *queue) {
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
