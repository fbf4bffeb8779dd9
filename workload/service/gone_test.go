package service

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// wasAway is an instance that was away while a job ended and was forgotten, and while the log
// dropped that history. It has read a topic before, and reads it again after.
func wasAway(t *testing.T, log *shared, f *follower, topic Topic, key string) {
	t.Helper()
	ctx := context.Background()
	if err := f.readSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(ctx, topic, []control.Record{{Key: key}}, nil); err != nil {
		t.Fatal(err)
	}
	log.forget(topic)
	if _, err := f.readNext(ctx, 0); err == nil {
		t.Fatal("the history is still there")
	}
	if err := f.readSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
}

// A statement that the log has no more does not keep an instance from claiming for good.
func TestAStatementThatIsGoneHoldsNoClaimUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newShared(poolRate)
		s := New(poolSettings("edge-0", 1, "0"), log, poolDecoder{}, nil, nil, nil)
		statement := control.Record{Key: workload.StatedKey("a"), Value: []byte(`{"q":"q","s":"running","b":true}`)}
		if _, err := log.Append(context.Background(), States, []control.Record{statement}, nil); err != nil {
			t.Fatal(err)
		}
		wasAway(t, log, s.states, States, statement.Key)
		if !s.book.Complete() {
			t.Error("the book waits for the progress of a job that the log has no more")
		}
	})
}

// Progress that the log has no more is no job to take over.
func TestAJobThatIsGoneIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newShared(poolRate)
		s := New(poolSettings("edge-0", 1, "0"), log, poolDecoder{}, nil, nil, nil)
		ctx := context.Background()
		value, err := json.Marshal(&workload.Job{ID: "a", Queue: "q", Spec: "s", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}, AcceptedMS: 1})
		if err != nil {
			t.Fatal(err)
		}
		accepted := control.Record{Key: workload.AcceptedKey("a"), Value: value}
		progress := control.Record{Key: workload.ProgressKey("a"), Value: []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":0,"r":1}]]}]}`)}
		if _, err := log.Append(ctx, Jobs, []control.Record{accepted}, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(ctx, Plans, []control.Record{progress}, nil); err != nil {
			t.Fatal(err)
		}
		wasAway(t, log, s.acceptances.topics[0], Jobs, accepted.Key)
		wasAway(t, log, s.plans, Plans, progress.Key)
		if e, known := s.book.Get("a"); known {
			t.Logf("left of the job: accepted %t, progress %s", e.Job != nil, e.Progress)
		}
		core := control.New(s.settings.Bounds, 1, time.Now())
		s.book.All(core.Adopt)
		if n := core.Jobs(); n > 0 && s.book.Complete() {
			t.Errorf("%d jobs are taken over that have ended and were forgotten", n)
		}
	})
}
