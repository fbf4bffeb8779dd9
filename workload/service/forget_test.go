package service

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

func TestJobsThatEndedLongAgoAreForgottenAcceptanceFirst(t *testing.T) {
	log := &memory{}
	s := New(Settings{Instance: "a", Keep: time.Second}, log, nil, nil, nil, nil)
	old := time.Now().Add(-10 * time.Second).UnixMilli()
	for _, e := range []Entry{
		{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)},
		{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","ended":` + strconv.FormatInt(old, 10) + `}`)},
		{Offset: 2, Key: workload.AcceptedKey("b"), Value: []byte(`{"id":"b","queue":"q"}`)},
	} {
		s.fold(e)
	}
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), writer: Writer{Epoch: 1, Seq: 1, Expect: -1}}
	p.forget(context.Background())
	if len(log.records) != 2 || log.records[0].Key != workload.AcceptedKey("a") || len(log.records[0].Value) != 0 {
		t.Fatalf("%+v", log.records)
	}
	for _, e := range log.records {
		s.fold(e)
	}
	if _, known := s.book.Get("a"); known {
		t.Fatal("the job is still known")
	}
	if _, known := s.book.Get("b"); !known {
		t.Fatal("a job that has not ended was forgotten")
	}
}

// An acceptance that was left in one topic would be a new job once its progress
// is gone.
func TestProgressOutlivesEveryAcceptanceThoughATopicWasDownWhenTheyWereDropped(t *testing.T) {
	log := &partly{written: map[Topic]int{}, fails: map[Topic]func(context.Context) error{SpareJobs: refuses}}
	s := New(Settings{Instance: "a", Keep: time.Second}, log, nil, nil, nil, nil)
	s.spare.next = 1
	long := time.Now().Add(-time.Hour).UnixMilli()
	s.fold(Entry{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)})
	s.fold(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","ended":` + strconv.FormatInt(long, 10) + `}`)})
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), writer: Writer{Epoch: 1, Seq: 1, Expect: -1}}
	look := func() {
		p.forgot = time.Time{}
		p.forget(context.Background())
	}
	look()
	// The drop in the first topic is read back; the spare one has the job still.
	s.fold(Entry{Key: workload.AcceptedKey("a")})
	look()
	if log.written[Plans] != 0 {
		t.Fatal("the progress was dropped while an acceptance was left")
	}
	log.mu.Lock()
	log.fails = nil
	log.mu.Unlock()
	look()
	if log.written[Plans] != 1 || log.written[SpareJobs] == 0 {
		t.Fatalf("%v: not dropped once all topics take it", log.written)
	}
}
