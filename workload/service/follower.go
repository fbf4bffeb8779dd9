package service

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/internal/clock"
)

// follower reads one topic: first the newest record of each key, then what
// comes after. It goes back to the first when the log has forgotten its place.
type follower struct {
	topic Topic
	log   Log
	// wait bounds one read that waits for news.
	wait func() time.Duration
	// pause returns the rest after a read that brought something.
	pause func() time.Duration
	// period returns the least time from one read to the next, whatever they bring; nil
	// is none.
	interval func() time.Duration
	// snapshot takes the newest record of each key; entries then follow one by
	// one through record.
	applyAll func(entries []Entry)
	applyOne func(e Entry)
	// paged follows the records of each page; nil is nothing.
	afterPage func()
	// lost and regained report the state of the connection.
	connectionChanged func(topic Topic, ok bool, cause string)

	// looked is when the last look began; looking guards it.
	catchUpMu   sync.Mutex
	lastCatchUp time.Time

	// retry is the pause after a read that failed, unless the log served another
	// topic meanwhile, which back tells.
	retry        time.Duration
	logRecovered *broadcast
	clock        clock.Clock
	// newest is the first read as far as it has come; only run uses it.
	snapshot snapshotReader

	mu          sync.Mutex
	readToEndAt time.Time
	next        int64
	healthy     bool
	// follows tells that run reads the topic, caught that it has read all since it
	// began.
	isFollowing, caughtUp bool
	// told tells that the state of the connection was reported at all.
	reported bool
	// handed has the offset of the newest record of each key that was handed over.
	keyOffsets map[string]int64
}

const (
	readRetryPause = 150 * time.Millisecond
	// restRetry is the pause of the topics that don't find out whether the log is
	// back. While it is away every read of every instance is a call for nothing.
	slowReadRetryPause = 4 * readRetryPause
	// forgottenRest is the pause before the newest records are read again where the log has
	// forgotten what came after them; it doubles up to forgottenMost. Each such read is of the
	// whole topic.
	minSnapshotRetryPause = 50 * time.Millisecond
	maxSnapshotRetryPause = 400 * time.Millisecond
)

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	fresh, failed := true, false
	// anew is how often in a row the place was forgotten right after the newest records were read.
	anew := 0
	for ctx.Err() == nil {
		var err error
		rest := time.Duration(0)
		began := time.Now()
		switch {
		case fresh:
			err = f.readSnapshot(ctx)
		case failed:
			// A log that is back tells at once that there is no news, not after a wait:
			// until then nothing is accepted here.
			rest, err = f.readNext(ctx, 0)
		default:
			rest, err = f.readNext(ctx, f.wait())
		}
		failed = err != nil
		switch {
		case err == nil:
			if !fresh {
				anew = 0
			}
			fresh = false
			sleep(ctx, max(rest, f.minInterval()-time.Since(began)))
		case errors.Is(err, ErrForgotten):
			fresh = true
			sleep(ctx, snapshotRetryPause(anew))
			anew++
		case errors.Is(err, ErrMalformed):
			// The newest records are another answer: nothing is lost with this one.
			fresh = true
			f.snapshot = snapshotReader{}
			f.reportConnection(false, err.Error())
			sleep(ctx, readRetryPause)
		default:
			f.reportConnection(false, err.Error())
			f.logRecovered.wait(ctx, f.retry)
		}
	}
}

// restOfAnew is the pause before the newest records are read once more; none before the first time.
func snapshotRetryPause(times int) time.Duration {
	if times == 0 {
		return 0
	}
	return min(minSnapshotRetryPause<<min(times-1, 10), maxSnapshotRetryPause)
}

func (f *follower) minInterval() time.Duration {
	if f.interval == nil {
		return 0
	}
	return f.interval()
}

// readNewest reads the newest record of each key and hands them over once all
// are there.
func (f *follower) readSnapshot(ctx context.Context) error {
	if err := f.snapshot.read(ctx, f.log, f.topic, f.clock); err != nil {
		return err
	}
	got := f.snapshot
	f.snapshot = snapshotReader{}
	f.applySnapshot(got)
	f.mu.Lock()
	f.caughtUp = true
	f.mu.Unlock()
	return nil
}

// readOn reads the next page and returns how long to rest after it: not at all
// before the topic's end.
func (f *follower) readNext(ctx context.Context, wait time.Duration) (time.Duration, error) {
	began := f.clock.Now()
	page, err := f.readPage(ctx, wait)
	if err != nil {
		return 0, err
	}
	// An empty answer after a wait proves the end only at the time it was given, which was
	// at the end of the wait: this instance may have been suspended while the answer lay
	// there. One that brought records may have been made at any time since began.
	if len(page.Entries) == 0 {
		began = earlier(f.clock.Now().Add(-transitSlack), began.Add(wait))
	}
	f.advance(page.Next, began, page.Next >= page.End)
	if len(page.Entries) == 0 || page.Next < page.End {
		return 0, nil
	}
	return f.pause(), nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// page reads one page from where the topic has been read to, and hands its
// records over.
func (f *follower) readPage(ctx context.Context, wait time.Duration) (Page, error) {
	from := f.offset()
	page, err := f.log.Read(ctx, f.topic, from, wait)
	if err != nil {
		return page, err
	}
	if err := checkPage(f.topic, from, page); err != nil {
		return page, err
	}
	for _, e := range page.Entries {
		f.applyOne(e)
	}
	f.recordOffsets(page.Entries)
	if f.afterPage != nil && len(page.Entries) > 0 {
		f.afterPage()
	}
	return page, nil
}

// checkPage refuses a page that can't be what follows an offset: a topic never
// ends below what was read of it, and a page below the end has a record.
func checkPage(topic Topic, from int64, page Page) error {
	if page.End < from {
		return errors.Mark(errors.Newf("topic %s ends at %d, below %d, which was read", topic, page.End, from), ErrMalformed)
	}
	if page.Next == from && page.End > from {
		return errors.Mark(errors.Newf("topic %s has no whole record at %d, below its end %d", topic, from, page.End), ErrMalformed)
	}
	return nil
}

// followSlack covers the way of an answer.
const transitSlack = 50 * time.Millisecond

// following notes whether run reads the topic. What was read before it began is
// no ground to decide on.
func (f *follower) setFollowing(follows bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isFollowing, f.caughtUp = follows, false
	f.snapshot = snapshotReader{}
	if !follows {
		f.healthy, f.reported = false, false
		f.keyOffsets = nil
	}
}

// upToDate tells whether run has read the topic to its end once.
func (f *follower) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFollowing && f.caughtUp
}

// cover notes that what stands before an offset is known from elsewhere, so that a
// topic that is not followed is looked at from there.
func (f *follower) skipTo(offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isFollowing {
		f.next = max(f.next, offset)
	}
}

// look reads the topic to its end at once, besides the reads of run. Callers
// that come while one looks share the next look.
func (f *follower) catchUp(ctx context.Context) error {
	asked := f.clock.Now()
	f.catchUpMu.Lock()
	defer f.catchUpMu.Unlock()
	if f.lastCatchUp.After(asked) {
		return nil
	}
	began := f.clock.Now()
	for {
		page, err := f.readPage(ctx, 0)
		if errors.Is(err, ErrForgotten) || errors.Is(err, ErrMalformed) {
			// A place that is not in the topic was never read: somebody else named it.
			return f.catchUpFromSnapshot(ctx, began)
		}
		if err != nil {
			return err
		}
		f.advance(page.Next, began, page.Next >= page.End)
		if page.Next >= page.End {
			f.lastCatchUp = began
			return nil
		}
	}
}

// lookAtNewest looks at a topic whose records are no longer kept one by one.
func (f *follower) catchUpFromSnapshot(ctx context.Context, began time.Time) error {
	got := snapshotReader{}
	if err := got.read(ctx, f.log, f.topic, f.clock); err != nil {
		return err
	}
	f.applySnapshot(got)
	f.lastCatchUp = began
	return nil
}

// takeWhole takes the newest record of each key. A key that was handed over before and is not
// among them was dropped meanwhile, by a record that the log keeps no more.
func (f *follower) applySnapshot(got snapshotReader) {
	gone := f.droppedKeys(got)
	f.applyAll(got.entries)
	for _, key := range gone {
		f.applyOne(Entry{Offset: got.end - 1, Key: key})
	}
	f.recordOffsets(got.entries)
	f.advance(got.end, got.began, true)
}

// gone lists the keys that were handed over and that the log has no more.
func (f *follower) droppedKeys(got snapshotReader) []string {
	there := make(map[string]bool, len(got.entries))
	for _, e := range got.entries {
		there[e.Key] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for key, offset := range f.keyOffsets {
		if offset < got.end && !there[key] {
			out = append(out, key)
			delete(f.keyOffsets, key)
		}
	}
	slices.Sort(out)
	return out
}

// hand notes what was handed over.
func (f *follower) recordOffsets(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keyOffsets == nil {
		f.keyOffsets = map[string]int64{}
	}
	for _, e := range entries {
		switch {
		case len(e.Value) == 0:
			delete(f.keyOffsets, e.Key)
		case e.Offset >= f.keyOffsets[e.Key]:
			f.keyOffsets[e.Key] = e.Offset
		}
	}
}

func (f *follower) offset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// advance notes that the topic was read up to next, and whether that was its end
// at the time read.
func (f *follower) advance(next int64, read time.Time, end bool) {
	f.mu.Lock()
	f.next = max(f.next, next)
	if end && read.After(f.readToEndAt) {
		f.readToEndAt = read
	}
	f.mu.Unlock()
	f.reportConnection(true, "")
}

// age is how long ago the topic was read to its end.
func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.readToEndAt)
}

func (f *follower) reportConnection(ok bool, cause string) {
	f.mu.Lock()
	differs := f.healthy != ok || !f.reported
	f.healthy, f.reported = ok, true
	f.mu.Unlock()
	if differs && ok {
		f.logRecovered.notifyAll()
	}
	if differs && f.connectionChanged != nil {
		f.connectionChanged(f.topic, ok, cause)
	}
}

// known tells whether the topic was ever read to its end.
func (f *follower) everRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.readToEndAt.IsZero()
}

// connected tells whether the last read succeeded.
func (f *follower) connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.healthy
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
