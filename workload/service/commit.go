package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// committer gathers records that come at about the same time into one append.
type committer struct {
	log   Log
	topic Topic
	queue chan *commit
	// flight bounds the appends under way, so that a slow one does not hold up
	// those behind it.
	flight chan struct{}
}

type commit struct {
	record control.Record
	ctx    context.Context
	done   chan error
}

const (
	commitBatch  = 64
	commitFlight = 4
	commitTry    = 2 * time.Second
	commitPause  = 40 * time.Millisecond
	commitTries  = 3
)

func newCommitter(log Log, topic Topic) *committer {
	return &committer{log: log, topic: topic, queue: make(chan *commit, 1024), flight: make(chan struct{}, commitFlight)}
}

// add writes a record and returns once it is in the log, or with ErrNotDone if
// it certainly is not and will not be, or with ErrUnknown.
func (c *committer) add(ctx context.Context, record control.Record) error {
	one := &commit{record: record, ctx: ctx, done: make(chan error, 1)}
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
			c.flight <- struct{}{}
			go func() {
				defer func() { <-c.flight }()
				c.write(ctx, batch)
			}()
		}
	}
}

func (c *committer) gather(first *commit) []*commit {
	batch := []*commit{first}
	for len(batch) < commitBatch {
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
func (c *committer) write(ctx context.Context, batch []*commit) {
	records := make([]control.Record, len(batch))
	for i, one := range batch {
		records[i] = one.record
	}
	unknown := false
	for try := 1; ; try++ {
		attempt, cancel := context.WithTimeout(ctx, commitTry)
		_, err := c.log.Append(attempt, c.topic, records, nil)
		cancel()
		if err == nil {
			finish(batch, nil)
			return
		}
		unknown = unknown || !errors.Is(err, ErrNotDone)
		if try >= commitTries && !unknown {
			finish(batch, err)
			return
		}
		if ctx.Err() != nil || nobodyWaits(batch) {
			finish(batch, errors.Mark(errors.Newf("the append was given up: %v", err), ErrUnknown))
			return
		}
		sleep(ctx, commitPause*time.Duration(min(try, 5)))
	}
}

func nobodyWaits(batch []*commit) bool {
	for _, one := range batch {
		if one.ctx.Err() == nil {
			return false
		}
	}
	return true
}

func finish(batch []*commit, err error) {
	for _, one := range batch {
		one.done <- err
	}
}
