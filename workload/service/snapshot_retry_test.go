package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/internal/clock"
	"github.com/cobalttide/cobalttide/workload/control"
)

// droppingLog is a log that, until a given time, drops its history as soon as it is written.
type droppingLog struct {
	until time.Time
	reads int
	// snapshotReads holds when each read of the newest records began.
	snapshotReads []time.Time
}

// roundTrip is the duration of a call to the log.
const roundTrip = 5 * time.Millisecond

func (l *droppingLog) Append(context.Context, Topic, []control.Record, *Writer) (int64, error) {
	return 0, nil
}

func (l *droppingLog) Probe(context.Context, Topic) error { return nil }

func (l *droppingLog) Read(ctx context.Context, _ Topic, from int64, wait time.Duration) (Page, error) {
	l.reads++
	sleep(ctx, roundTrip)
	if time.Now().Before(l.until) {
		return Page{}, ErrCompacted
	}
	sleep(ctx, wait)
	return Page{Next: from, End: from}, nil
}

func (l *droppingLog) Newest(ctx context.Context, _ Topic, _ string) (NewestPage, error) {
	l.snapshotReads = append(l.snapshotReads, time.Now())
	sleep(ctx, roundTrip)
	return NewestPage{End: int64(len(l.snapshotReads))}, nil
}

// followDroppingLog follows a log that drops its history for the given time. It returns the log
// and the time at which the follower started.
func followDroppingLog(drops time.Duration) (log *droppingLog, began time.Time) {
	began = time.Now()
	log = &droppingLog{until: began.Add(drops)}
	f := &follower{
		topic: Declarations, log: log, wait: func() time.Duration { return time.Second }, pause: func() time.Duration { return 0 },
		retry: readRetryPause, logRecovered: newBroadcast(), clock: clock.Steady, applyAll: func([]Entry) {}, applyOne: func(Entry) {},
	}
	ctx, cancel := context.WithTimeout(context.Background(), drops+5*time.Second)
	defer cancel()
	f.run(ctx)
	return log, began
}

// Guards against an instance that reads one snapshot after the other without a pause while the
// log drops its history: each such read costs money, and all instances share the rate of calls.
func TestSnapshotsAreReadWithPausesWhileHistoryKeepsBeingDropped(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const drops = 15 * time.Second
		log, _ := followDroppingLog(drops)
		if limit := int(drops/maxSnapshotRetryPause) + 8; len(log.snapshotReads) > limit {
			t.Errorf("the newest records were read %d times in %v, want at most %d", len(log.snapshotReads), drops, limit)
		}
	})
}

// Guards against a pause after a single loss of the history.
func TestSnapshotIsReadAtOnceAfterHistoryIsDroppedOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log, began := followDroppingLog(2*roundTrip + time.Millisecond)
		if len(log.snapshotReads) != 2 || log.snapshotReads[1].Sub(began) > 3*roundTrip {
			t.Errorf("the newest records were read at %v, the follower started at %v", log.snapshotReads, began)
		}
	})
}
