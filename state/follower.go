package state

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/port"
)

// Follower reads one stream from an offset onwards and applies every entry in
// order. If the log has dropped entries that were not read yet, it calls
// OnTruncated, which may load a snapshot.
type Follower struct {
	Log    port.Log
	Stream port.Stream
	// NextOffset returns the offset to read next.
	NextOffset func() int64
	// Apply applies one entry.
	Apply func(port.Entry)
	// OnTruncated is called when entries before oldest are gone from the log; it
	// may load a snapshot. If it returns an error, for example because the
	// snapshot could not be looked up, nothing is applied and the read is
	// repeated. May be nil.
	OnTruncated func(ctx context.Context, oldest int64) error

	lastRead atomic.Int64 // unix nanoseconds of the last successful read
	caughtUp atomic.Bool
}

// readTimeout bounds one read, which may wait for new records.
const readTimeout = 5 * time.Second

// readRetry is the base of the backoff after failed reads.
const readRetry = 50 * time.Millisecond

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err == nil {
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

func (f *Follower) readOnce(ctx context.Context) error {
	from := f.NextOffset()
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	page, err := f.Log.Read(readCtx, f.Stream, from)
	cancel()
	if err != nil {
		return err
	}
	if page.Oldest > from && f.OnTruncated != nil {
		if err := f.OnTruncated(ctx, page.Oldest); err != nil {
			return err
		}
		if f.NextOffset() > page.Next {
			return nil // the snapshot covers the entries that were read
		}
	}
	for _, entry := range page.Entries {
		f.Apply(entry)
	}
	f.lastRead.Store(time.Now().UnixNano())
	f.caughtUp.Store(page.Next >= page.End)
	return nil
}

// CaughtUp reports whether the last read reached the end of the stream.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// SinceLastRead returns the time since the last successful read, or a negative
// duration if there was none.
func (f *Follower) SinceLastRead() time.Duration {
	last := f.lastRead.Load()
	if last == 0 {
		return -1
	}
	return time.Since(time.Unix(0, last))
}
