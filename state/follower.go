package state

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/port"
)

// Follower reads one stream from an offset on and hands every entry over in
// order. A reader that has fallen behind the log's retention is told the
// oldest offset, so that it can load a snapshot.
type Follower struct {
	Log    port.Log
	Stream port.Stream
	// From returns the offset to read from next.
	From func() int64
	// Apply takes one entry.
	Apply func(port.Entry)
	// Behind is called when entries before oldest are gone; it may load a
	// snapshot. After an error, which says that it could not find out whether
	// there is one, the read is repeated and nothing is applied. May be nil.
	Behind func(ctx context.Context, oldest int64) error

	lastRead atomic.Int64 // unix nanoseconds of the last successful read
	caughtUp atomic.Bool
}

// readTimeout bounds one read, which may wait for a record.
const readTimeout = 5 * time.Second

// readRetry is the base of the pause after a failed read.
const readRetry = 50 * time.Millisecond

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if err := f.step(ctx); err == nil {
			failures = 0
			continue
		}
		failures++
		select {
		case <-time.After(backoff(readRetry, failures)):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	from := f.From()
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	page, err := f.Log.Read(readCtx, f.Stream, from)
	cancel()
	if err != nil {
		return err
	}
	if page.Oldest > from && f.Behind != nil {
		if err := f.Behind(ctx, page.Oldest); err != nil {
			return err
		}
		if f.From() > page.Next {
			return nil // a snapshot covers what was read
		}
	}
	for _, entry := range page.Entries {
		f.Apply(entry)
	}
	f.lastRead.Store(time.Now().UnixNano())
	f.caughtUp.Store(page.Next >= page.End)
	return nil
}

// CaughtUp tells whether the last read reached the end of the stream.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Age returns the time since the last successful read, or a negative duration
// when there was none.
func (f *Follower) Age() time.Duration {
	last := f.lastRead.Load()
	if last == 0 {
		return -1
	}
	return time.Since(time.Unix(0, last))
}
