package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// committer gathers records that come at about the same time into one append.
type committer struct {
	log Log
	// home is the topic that is written to, other the one that takes its place where
	// that fails or is slow.
	home, other Topic
	queue       chan *pendingRecord
	// times learns how long the log takes, so that the other topic is tried in
	// time where one is down.
	timeout AnswerTimes
	// spare tells that the spare topic served last; it is tried first then.
	otherFirst atomic.Bool
	// flight bounds the appends under way, so that a slow one does not hold up
	// those behind it.
	inFlight chan struct{}
}

type pendingRecord struct {
	record control.Record
	ctx    context.Context
	done   chan error
}

const (
	maxCommitBatch       = 64
	maxAppendsInFlight   = 4
	commitAttemptTimeout = 2 * time.Second
	commitRetryPause     = 40 * time.Millisecond
	minCommitAttempts    = 3
)

func newCommitter(log Log, home, other Topic) *committer {
	return &committer{log: log, home: home, other: other, timeout: AnswerTimes{Most: commitAttemptTimeout}, queue: make(chan *pendingRecord, 1024), inFlight: make(chan struct{}, maxAppendsInFlight)}
}

// add writes a record and returns once it is in the log, or with ErrNotDone if
// it certainly is not and will not be, or with ErrUnknown.
func (c *committer) add(ctx context.Context, record control.Record) error {
	one := &pendingRecord{record: record, ctx: ctx, done: make(chan error, 1)}
	select {
	case c.queue <- one:
	default:
		return errors.Mark(errors.New("too many submissions wait for the log"), ErrNotDone)
	}
	select {
	case err := <-one.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnknown)
	}
}

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.gather(first)
			c.inFlight <- struct{}{}
			go func() {
				defer func() { <-c.inFlight }()
				c.write(ctx, batch)
			}()
		}
	}
}

func (c *committer) gather(first *pendingRecord) []*pendingRecord {
	batch := []*pendingRecord{first}
	for len(batch) < maxCommitBatch {
		select {
		case more := <-c.queue:
			batch = append(batch, more)
		default:
			return batch
		}
	}
	return batch
}

// write repeats an append until it succeeds. Records are idempotent, so that a
// repetition of one that had no answer does no harm. Only a series of refusals
// that all say so proves that nothing was done.
func (c *committer) write(ctx context.Context, batch []*pendingRecord) {
	records := make([]control.Record, len(batch))
	for i, one := range batch {
		records[i] = one.record
	}
	unknown := false
	for try := 1; ; try++ {
		err := c.appendEither(ctx, records)
		if err == nil {
			finishAll(batch, nil)
			return
		}
		unknown = unknown || !errors.Is(err, ErrNotDone)
		if try >= minCommitAttempts && !unknown {
			finishAll(batch, err)
			return
		}
		if ctx.Err() != nil || allAbandoned(batch) {
			finishAll(batch, errors.Mark(errors.Newf("the append was given up: %v", err), ErrUnknown))
			return
		}
		sleep(ctx, commitRetryPause*time.Duration(min(try, 5)))
	}
}

// either appends to the topic that served last, and to the other one too if that
// fails or takes long. It fails with ErrNotDone only if both did nothing.
func (c *committer) appendEither(ctx context.Context, records []control.Record) error {
	ctx, cancel := context.WithTimeout(ctx, commitAttemptTimeout)
	defer cancel()
	spare := c.otherFirst.Load()
	results := make(chan appendResult, 2)
	go c.append(ctx, spare, records, results)
	slow := time.NewTimer(c.timeout.Patience())
	defer slow.Stop()
	silent := make(chan bool, 1)
	var failed error
	for running, both := 1, false; running > 0; {
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
			go c.probe(ctx, c.topic(spare), silent)
			continue
		case is := <-silent:
			if !is {
				continue
			}
		}
		if !both {
			both = true
			running++
			go c.append(ctx, !spare, records, results)
		}
	}
	return failed
}

// ask tells whether a topic's part of the log answers no reads. One that does has the
// append in its line, or its answer was lost; to have it made in the other topic as well
// would lengthen the line there. While the log was eighty times slower than usual, both
// topics took each acceptance, and within a second none was answered in time.
func (c *committer) probe(ctx context.Context, topic Topic, silent chan<- bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	silent <- c.log.Probe(ctx, topic) != nil
}

// askTime is how long an answer to a read is waited for: as long as a log that is a
// hundred times slower than usual takes.
const probeTimeout = 400 * time.Millisecond

func (c *committer) topic(spare bool) Topic {
	if spare {
		return c.other
	}
	return c.home
}

// attempt is what came of one append.
type appendResult struct {
	toOther bool
	err     error
}

func (c *committer) append(ctx context.Context, spare bool, records []control.Record, results chan<- appendResult) {
	began := time.Now()
	_, err := c.log.Append(ctx, c.topic(spare), records, nil)
	if err == nil {
		c.timeout.Observe(time.Since(began))
	}
	results <- appendResult{spare, err}
}

func allAbandoned(batch []*pendingRecord) bool {
	for _, one := range batch {
		if one.ctx.Err() == nil {
			return false
		}
	}
	return true
}

func finishAll(batch []*pendingRecord, err error) {
	for _, one := range batch {
		one.done <- err
	}
}
