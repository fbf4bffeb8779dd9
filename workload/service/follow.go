package service

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// follower reads one topic: first the newest record of each key, then what
// comes after. It goes back to the first when the log has forgotten its place.
type follower struct {
	topic Topic
	log   Log
	// wait bounds one read that waits for news.
	wait time.Duration
	// pause returns the rest after a read that brought something.
	pause func() time.Duration
	// snapshot takes the newest record of each key; entries then follow one by
	// one through record.
	snapshot func(entries []Entry)
	record   func(e Entry)
	// lost and regained report the state of the connection.
	changed func(topic Topic, ok bool, cause string)

	// looked is when the last look began; looking guards it.
	looking sync.Mutex
	looked  time.Time

	mu   sync.Mutex
	good time.Time
	next int64
	ok   bool
}

const followRetry = 150 * time.Millisecond

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	fresh := true
	for ctx.Err() == nil {
		var err error
		var got int
		if fresh {
			err = f.readNewest(ctx)
			got = 1
		} else {
			got, err = f.readOn(ctx)
		}
		switch {
		case err == nil:
			fresh = false
			if got > 0 {
				sleep(ctx, f.pause())
			}
		case errors.Is(err, ErrForgotten):
			fresh = true
		default:
			f.report(false, err.Error())
			sleep(ctx, followRetry)
		}
	}
}

func (f *follower) readNewest(ctx context.Context) error {
	began := time.Now()
	entries, end, err := f.log.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.snapshot(entries)
	f.advance(end, began)
	return nil
}

func (f *follower) readOn(ctx context.Context) (int, error) {
	began := time.Now()
	page, err := f.log.Read(ctx, f.topic, f.place(), f.wait)
	if err != nil {
		return 0, err
	}
	for _, e := range page.Entries {
		f.record(e)
	}
	// An empty answer after a wait proves the end only at the time it was given;
	// one that brought records may have been made at any time since began.
	if len(page.Entries) == 0 {
		began = time.Now().Add(-followSlack)
	}
	f.advance(page.Next, began)
	return len(page.Entries), nil
}

// followSlack covers the way of an answer.
const followSlack = 50 * time.Millisecond

// look reads the topic to its end at once, besides the reads of run. Callers
// that come while one looks share the next look.
func (f *follower) look(ctx context.Context) error {
	asked := time.Now()
	f.looking.Lock()
	defer f.looking.Unlock()
	if f.looked.After(asked) {
		return nil
	}
	began := time.Now()
	page, err := f.log.Read(ctx, f.topic, f.place(), 0)
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		f.record(e)
	}
	f.looked = began
	return nil
}

func (f *follower) place() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

func (f *follower) advance(next int64, read time.Time) {
	f.mu.Lock()
	f.next = max(f.next, next)
	if read.After(f.good) {
		f.good = read
	}
	f.mu.Unlock()
	f.report(true, "")
}

// age is how long ago the topic was read to its end.
func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.good)
}

func (f *follower) report(ok bool, cause string) {
	f.mu.Lock()
	differs := f.ok != ok
	f.ok = ok
	f.mu.Unlock()
	if differs && f.changed != nil {
		f.changed(f.topic, ok, cause)
	}
}

// known tells whether the topic was ever read to its end.
func (f *follower) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.good.IsZero()
}

// connected tells whether the last read succeeded.
func (f *follower) connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ok
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
