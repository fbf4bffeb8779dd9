package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/internal/clock"
	"github.com/cobalttide/cobalttide/workload/control"
)

// forgetful is a log that drops its history as soon as it is written, until a time.
type forgetful struct {
	until time.Time
	reads int
	// took is when each read of the newest records began.
	took []time.Time
}

// roundTrip is what a call of the log takes.
const roundTrip = 5 * time.Millisecond

func (l *forgetful) Append(context.Context, Topic, []control.Record, *Writer) (int64, error) {
	return 0, nil
}

func (l *forgetful) Probe(context.Context, Topic) error { return nil }

func (l *forgetful) Read(ctx context.Context, _ Topic, from int64, wait time.Duration) (Page, error) {
	l.reads++
	sleep(ctx, roundTrip)
	if time.Now().Before(l.until) {
		return Page{}, ErrForgotten
	}
	sleep(ctx, wait)
	return Page{Next: from, End: from}, nil
}

func (l *forgetful) Newest(ctx context.Context, _ Topic, _ string) (NewestPage, error) {
	l.took = append(l.took, time.Now())
	sleep(ctx, roundTrip)
	return NewestPage{End: int64(len(l.took))}, nil
}

// followForgetful follows a log that drops its history for a time, and returns it.
func followForgetful(drops time.Duration) (log *forgetful, began time.Time) {
	began = time.Now()
	log = &forgetful{until: began.Add(drops)}
	f := &follower{
		topic: Declarations, log: log, wait: func() time.Duration { return time.Second }, pause: func() time.Duration { return 0 },
		retry: readRetryPause, logRecovered: newBroadcast(), clock: clock.Steady, applyAll: func([]Entry) {}, applyOne: func(Entry) {},
	}
	ctx, cancel := context.WithTimeout(context.Background(), drops+5*time.Second)
	defer cancel()
	f.run(ctx)
	return log, began
}

// Guards against an instance that reads a topic anew without a pause while the log drops its
// history: each such read is priced, and the calls are shared by all instances.
func TestATopicWhoseHistoryIsDroppedAgainAndAgainIsReadAnewWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drops = 15 * time.Second
		log, _ := followForgetful(drops)
		if most := int(drops/maxSnapshotRetryPause) + 8; len(log.took) > most {
			t.Errorf("the newest records were read %d times in %v, want %d at the most", len(log.took), drops, most)
		}
	})
}

// History that is dropped once costs no pause.
func TestATopicWhoseHistoryIsDroppedOnceIsReadAnewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, began := followForgetful(2*roundTrip + time.Millisecond)
		if len(log.took) != 2 || log.took[1].Sub(began) > 3*roundTrip {
			t.Errorf("the newest records were read at %v after %v", log.took, began)
		}
	})
}
