package service

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/internal/clock"
)

// follower reads one topic: first a snapshot of the newest record of each key, then the records
// after it. It reads a new snapshot when the log no longer keeps the records at its offset.
type follower struct {
	topic Topic
	log   Log
	// wait returns how long a read waits for new records.
	wait func() time.Duration
	// pause returns the pause after a read that returned records.
	pause func() time.Duration
	// interval returns the minimum time between the starts of two reads, whatever they return;
	// nil means none.
	interval func() time.Duration
	// applyAll takes the newest record of each key. Later records are passed to applyOne one by
	// one.
	applyAll func(entries []Entry)
	applyOne func(e Entry)
	// afterPage is called after the records of a page were applied; nil is allowed.
	afterPage func()
	// connectionChanged is called when the connection to the topic is lost or restored.
	connectionChanged func(topic Topic, ok bool, cause string)

	// lastCatchUp is when the last catch-up began; catchUpMu guards it.
	catchUpMu   sync.Mutex
	lastCatchUp time.Time

	// retry is the pause after a failed read. It ends early when logRecovered signals that the
	// log has served another topic.
	retry        time.Duration
	logRecovered *broadcast
	clock        clock.Clock
	// snapshot is the snapshot that run is reading; only run uses it.
	snapshot snapshotReader

	mu          sync.Mutex
	readToEndAt time.Time
	next        int64
	// advancedAt is a time at which the topic is known to have reached next.
	advancedAt time.Time
	healthy    bool
	// isFollowing is set while run reads the topic, caughtUp once it has read a whole snapshot
	// since it started.
	isFollowing, caughtUp bool
	// reported is set once the state of the connection has been reported.
	reported bool
	// keyOffsets holds the offset of the newest applied record of each key.
	keyOffsets map[string]int64
}

const (
	readRetryPause = 150 * time.Millisecond
	// slowReadRetryPause is the pause for topics that are not used to detect the recovery of
	// the log. While the log is down, every read by every instance is a wasted call.
	slowReadRetryPause = 4 * readRetryPause
	// minSnapshotRetryPause is the pause before another snapshot is read because the log no
	// longer keeps the records after the last one. It doubles up to maxSnapshotRetryPause,
	// since each snapshot reads the whole topic.
	minSnapshotRetryPause = 50 * time.Millisecond
	maxSnapshotRetryPause = 400 * time.Millisecond
)

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	needSnapshot, failed := true, false
	// forgottenInRow counts the snapshots in a row after which the next read returned
	// ErrCompacted.
	forgottenInRow := 0
	for ctx.Err() == nil {
		var err error
		pause := time.Duration(0)
		began := time.Now()
		switch {
		case needSnapshot:
			err = f.readSnapshot(ctx)
		case failed:
			// After a failure don't wait for new records: a log that has recovered then answers
			// at once, and until it has, nothing is accepted here.
			pause, err = f.readNext(ctx, 0)
		default:
			pause, err = f.readNext(ctx, f.wait())
		}
		failed = err != nil
		switch {
		case err == nil:
			if !needSnapshot {
				forgottenInRow = 0
			}
			needSnapshot = false
			sleep(ctx, max(pause, f.minInterval()-time.Since(began)))
		case errors.Is(err, ErrCompacted):
			needSnapshot = true
			sleep(ctx, snapshotRetryPause(forgottenInRow))
			forgottenInRow++
		case errors.Is(err, ErrMalformed):
			// The next snapshot is a new answer, so nothing is lost by discarding this one.
			needSnapshot = true
			f.snapshot = snapshotReader{}
			f.reportConnection(false, err.Error())
			sleep(ctx, readRetryPause)
		default:
			f.reportConnection(false, err.Error())
			f.logRecovered.wait(ctx, f.retry)
		}
	}
}

// snapshotRetryPause returns the pause before another snapshot is read; the first one is read
// without a pause.
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

// readSnapshot reads the newest record of each key and applies them once all are there.
func (f *follower) readSnapshot(ctx context.Context) error {
	if err := f.snapshot.read(ctx, f.log, f.topic, f.clock); err != nil {
		return err
	}
	snapshot := f.snapshot
	f.snapshot = snapshotReader{}
	f.applySnapshot(snapshot)
	f.mu.Lock()
	f.caughtUp = true
	f.mu.Unlock()
	return nil
}

// readNext reads and applies the next page. It returns the pause before the next read, which is
// 0 if the topic continues after the page.
func (f *follower) readNext(ctx context.Context, wait time.Duration) (time.Duration, error) {
	began := f.clock.Now()
	page, err := f.readPage(ctx, wait)
	if err != nil {
		return 0, err
	}
	// An empty answer after a wait proves that the end was reached only at the time of the
	// answer, at the end of the wait: this instance may have been suspended before it received
	// the answer. An answer with records may have been made at any time since began.
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

// readPage reads and applies one page from the current offset.
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

// checkPage rejects a page that can't follow the offset: the end of a topic is never before the
// offset that has been read, and a page before the end contains at least one record.
func checkPage(topic Topic, from int64, page Page) error {
	if page.End < from {
		return errors.Mark(errors.Newf("topic %s ends at offset %d, although it was read up to %d", topic, page.End, from), ErrMalformed)
	}
	if page.Next == from && page.End > from {
		return errors.Mark(errors.Newf("topic %s has no complete record at offset %d, before its end at %d", topic, from, page.End), ErrMalformed)
	}
	return nil
}

// transitSlack allows for the time that an answer is in transit.
const transitSlack = 50 * time.Millisecond

// setFollowing records whether run reads the topic. Decisions must not be based on what was
// read before run started.
func (f *follower) setFollowing(following bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isFollowing, f.caughtUp = following, false
	f.snapshot = snapshotReader{}
	if !following {
		f.healthy, f.reported = false, false
		f.keyOffsets = nil
	}
}

// upToDate reports whether run has read the topic to its end once.
func (f *follower) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFollowing && f.caughtUp
}

// skipTo records that everything before the offset is known from another topic, so that a
// catch-up on a topic that is not followed starts there.
func (f *follower) skipTo(offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isFollowing {
		f.moveTo(offset)
	}
}

// catchUp reads the topic to its end at once, in addition to the reads of run. Callers that
// arrive during a catch-up share the next one.
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
		if errors.Is(err, ErrCompacted) || errors.Is(err, ErrMalformed) {
			// An offset that is not in the topic was not read here but came from another topic
			// (see skipTo).
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

// catchUpFromSnapshot reads a topic of which the log no longer keeps the single records.
func (f *follower) catchUpFromSnapshot(ctx context.Context, began time.Time) error {
	snapshot := snapshotReader{}
	if err := snapshot.read(ctx, f.log, f.topic, f.clock); err != nil {
		return err
	}
	f.applySnapshot(snapshot)
	f.lastCatchUp = began
	return nil
}

// applySnapshot applies the newest record of each key. A key that was applied before and is
// missing has been dropped meanwhile, by a record that the log no longer keeps.
func (f *follower) applySnapshot(snapshot snapshotReader) {
	dropped := f.droppedKeys(snapshot)
	f.applyAll(snapshot.entries)
	for _, key := range dropped {
		f.applyOne(Entry{Offset: snapshot.end - 1, Key: key})
	}
	f.recordOffsets(snapshot.entries)
	f.advance(snapshot.end, snapshot.began, true)
}

// droppedKeys returns the applied keys that are missing from a snapshot.
func (f *follower) droppedKeys(snapshot snapshotReader) []string {
	present := make(map[string]bool, len(snapshot.entries))
	for _, e := range snapshot.entries {
		present[e.Key] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for key, offset := range f.keyOffsets {
		if offset < snapshot.end && !present[key] {
			out = append(out, key)
			delete(f.keyOffsets, key)
		}
	}
	slices.Sort(out)
	return out
}

// recordOffsets updates keyOffsets with applied records.
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

// position returns the current offset, and a time at which the topic is known to have reached it.
func (f *follower) position() (offset int64, reached time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.advancedAt
}

// moveTo raises the offset. f.mu must be held. The time is that of the answer and not that of the
// call, since the answer also holds records that were written in between.
func (f *follower) moveTo(offset int64) {
	if offset > f.next || f.advancedAt.IsZero() {
		f.next, f.advancedAt = max(f.next, offset), f.clock.Now()
	}
}

// advance records that the topic was read up to next, and, if end is set, that this was its end
// at the time read.
func (f *follower) advance(next int64, read time.Time, end bool) {
	f.mu.Lock()
	f.moveTo(next)
	if end && read.After(f.readToEndAt) {
		f.readToEndAt = read
	}
	f.mu.Unlock()
	f.reportConnection(true, "")
}

// age returns the time since the topic was last known to be read to its end.
func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.readToEndAt)
}

// lastReadToEnd returns when the topic was last known to be read to its end; zero is never.
func (f *follower) lastReadToEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readToEndAt
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

// everRead reports whether the topic was ever read to its end.
func (f *follower) everRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.readToEndAt.IsZero()
}

// connected reports whether the last read succeeded.
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
