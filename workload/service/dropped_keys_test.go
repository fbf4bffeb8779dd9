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

// readAcrossCompaction reads a topic, drops a key, compacts the log and reads the topic again,
// as an instance does that was disconnected while a job ended and its records were dropped.
func readAcrossCompaction(t *testing.T, log *sharedLog, f *follower, topic Topic, key string) {
	t.Helper()
	ctx := context.Background()
	if err := f.readSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(ctx, topic, []control.Record{{Key: key}}, nil); err != nil {
		t.Fatal(err)
	}
	log.compact(topic)
	if _, err := f.readNext(ctx, 0); err == nil {
		t.Fatal("the log still keeps the history")
	}
	if err := f.readSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against an instance that can never claim again because it waits for the progress of a
// job whose state record the log no longer has.
func TestDroppedStateDoesNotBlockClaims(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := newSharedLog(poolReadRate)
		s := New(poolSettings("edge-0", 1, "0"), log, poolDecoder{}, nil, nil, nil)
		state := control.Record{Key: workload.StatusKey("a"), Value: []byte(`{"q":"q","s":"running","b":true}`)}
		if _, err := log.Append(context.Background(), States, []control.Record{state}, nil); err != nil {
			t.Fatal(err)
		}
		readAcrossCompaction(t, log, s.states, States, state.Key)
		if !s.book.IsComplete() {
			t.Error("the book waits for the progress of a job that the log no longer has")
		}
	})
}

// Guards against a planner that adopts a job whose records the log no longer has.
func TestDroppedJobIsNotAdopted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := newSharedLog(poolReadRate)
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
		readAcrossCompaction(t, log, s.acceptances.topics[0], Jobs, accepted.Key)
		readAcrossCompaction(t, log, s.plans, Plans, progress.Key)
		if e, known := s.book.Get("a"); known {
			t.Logf("the book still has the job: accepted %t, progress %s", e.Job != nil, e.Progress)
		}
		core := control.New(s.settings.Bounds, 1, time.Now())
		s.book.ForEach(core.Adopt)
		if n := core.Jobs(); n > 0 && s.book.IsComplete() {
			t.Errorf("%d jobs were adopted although they had ended and were dropped", n)
		}
	})
}
