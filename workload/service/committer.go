package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// committer batches records that arrive at about the same time into one append.
type committer struct {
	log Log
	// home is the topic that is normally written; other replaces it when an append there fails
	// or is slow.
	home, other Topic
	queue       chan *pendingRecord
	// timeout tracks how long appends take, so that the other topic is tried in time when home
	// is down.
	timeout AdaptiveTimeout
	// otherFirst is set when the other topic accepted the last append; it is then tried first.
	otherFirst atomic.Bool
	// next is a record that had no room in the last batch; only run uses it.
	next *pendingRecord
	// pendingBytes is the size of all records that are queued or being written, of all
	// committers that share it.
	pendingBytes *atomic.Int64
	// inFlight limits the number of concurrent appends. More than one is allowed so that a slow
	// append does not delay later ones.
	inFlight chan struct{}
}

type pendingRecord struct {
	record control.Record
	ctx    context.Context
	done   chan error
}

func (p *pendingRecord) size() int { return len(p.record.Key) + len(p.record.Value) }

const (
	maxCommitBatch       = 64
	maxAppendsInFlight   = 4
	commitAttemptTimeout = 2 * time.Second
	commitRetryPause     = 40 * time.Millisecond
	minCommitAttempts    = 3
	// maxPendingBytes limits the memory of records that wait for the log, also of those whose
	// callers have given up.
	maxPendingBytes = 8 << 20
)

func newCommitter(log Log, home, other Topic) *committer {
	return &committer{pendingBytes: &atomic.Int64{}, log: log, home: home, other: other, timeout: AdaptiveTimeout{Max: commitAttemptTimeout}, queue: make(chan *pendingRecord, 1024), inFlight: make(chan struct{}, maxAppendsInFlight)}
}

// add writes a record. It returns nil once the record is in the log, ErrNotDone if the record
// was certainly not written and never will be, and ErrOutcomeUnknown otherwise.
func (c *committer) add(ctx context.Context, record control.Record) error {
	pending := &pendingRecord{record: record, ctx: ctx, done: make(chan error, 1)}
	if !c.enqueue(pending) {
		return errors.Mark(errors.New("too many submissions are waiting for the log"), ErrNotDone)
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	}
}

// enqueue queues a record, or returns false if too much is queued.
func (c *committer) enqueue(pending *pendingRecord) bool {
	size := int64(pending.size())
	if c.pendingBytes.Add(size) > maxPendingBytes {
		c.pendingBytes.Add(-size)
		return false
	}
	select {
	case c.queue <- pending:
		return true
	default:
		c.pendingBytes.Add(-size)
		return false
	}
}

func (c *committer) run(ctx context.Context) {
	for {
		first := c.next
		c.next = nil
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-c.queue:
			}
		}
		batch := c.gather(first)
		c.inFlight <- struct{}{}
		go func() {
			defer func() { <-c.inFlight }()
			c.write(ctx, batch)
		}()
	}
}

// gather returns a batch that begins with the given record and is within the size limits of one
// append.
func (c *committer) gather(first *pendingRecord) []*pendingRecord {
	batch, bytes := []*pendingRecord{first}, first.size()
	for len(batch) < maxCommitBatch {
		select {
		case more := <-c.queue:
			if bytes += more.size(); bytes > maxBatchBytes {
				c.next = more
				return batch
			}
			batch = append(batch, more)
		default:
			return batch
		}
	}
	return batch
}

// write repeats an append until it succeeds. Records are idempotent, so repeating an append
// that was not answered does no harm. Only when every attempt was refused with ErrNotDone is it
// certain that nothing was written.
func (c *committer) write(ctx context.Context, batch []*pendingRecord) {
	records := make([]control.Record, len(batch))
	for i, pending := range batch {
		records[i] = pending.record
	}
	unknown := false
	for try := 1; ; try++ {
		err := c.appendEither(ctx, records)
		if err == nil {
			c.finish(batch, nil)
			return
		}
		unknown = unknown || !errors.Is(err, ErrNotDone)
		if try >= minCommitAttempts && !unknown {
			c.finish(batch, err)
			return
		}
		if ctx.Err() != nil || allAbandoned(batch) {
			c.finish(batch, errors.Mark(errors.Newf("the append was abandoned: %v", err), ErrOutcomeUnknown))
			return
		}
		sleep(ctx, commitRetryPause*time.Duration(min(try, 5)))
	}
}

// appendEither appends to the topic that accepted the last append, and also to the other topic
// if the first append fails or is slow. It returns ErrNotDone only if neither topic was
// written.
func (c *committer) appendEither(ctx context.Context, records []control.Record) error {
	ctx, cancel := context.WithTimeout(ctx, commitAttemptTimeout)
	defer cancel()
	otherFirst := c.otherFirst.Load()
	results := make(chan appendResult, 2)
	go c.append(ctx, otherFirst, records, results)
	slow := time.NewTimer(c.timeout.Timeout())
	defer slow.Stop()
	unreachable := make(chan bool, 1)
	var failed error
	for running, bothStarted := 1, false; running > 0; {
		select {
		case a := <-results:
			running--
			if a.err == nil {
				c.otherFirst.Store(a.toOther)
				return nil
			}
			if failed == nil || errors.Is(failed, ErrNotDone) {
				failed = a.err
			}
		case <-slow.C:
			go c.probe(ctx, c.topic(otherFirst), unreachable)
			continue
		case noReads := <-unreachable:
			if !noReads {
				continue
			}
		}
		if !bothStarted {
			bothStarted = true
			running++
			go c.append(ctx, !otherFirst, records, results)
		}
	}
	return failed
}

// probe reports on unreachable whether reads from a topic's part of the log fail. If reads
// succeed, the append is still queued or its answer was lost, and appending to the other topic
// as well would only lengthen the queue there: with a log eighty times slower than usual, both
// topics received every acceptance, and within a second none was answered in time.
func (c *committer) probe(ctx context.Context, topic Topic, unreachable chan<- bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	unreachable <- c.log.Probe(ctx, topic) != nil
}

// probeTimeout limits a probe to what a read takes when the log is a hundred times slower than
// usual.
const probeTimeout = 400 * time.Millisecond

func (c *committer) topic(other bool) Topic {
	if other {
		return c.other
	}
	return c.home
}

// appendResult is the result of one append.
type appendResult struct {
	toOther bool
	err     error
}

func (c *committer) append(ctx context.Context, toOther bool, records []control.Record, results chan<- appendResult) {
	began := time.Now()
	_, err := c.log.Append(ctx, c.topic(toOther), records, nil)
	if err == nil {
		c.timeout.Observe(time.Since(began))
	}
	results <- appendResult{toOther, err}
}

func allAbandoned(batch []*pendingRecord) bool {
	for _, pending := range batch {
		if pending.ctx.Err() == nil {
			return false
		}
	}
	return true
}

func (c *committer) finish(batch []*pendingRecord, err error) {
	for _, pending := range batch {
		c.pendingBytes.Add(-int64(pending.size()))
		pending.done <- err
	}
}
