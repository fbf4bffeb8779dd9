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
		s.applyJobRecord(e)
	}
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), writer: Writer{Epoch: 1, Seq: 1, Expect: -1}}
	p.dropExpired(context.Background())
	if len(log.records) != 2 || log.records[0].Key != workload.AcceptedKey("a") || len(log.records[0].Value) != 0 {
		t.Fatalf("%+v", log.records)
	}
	for _, e := range log.records {
		s.applyJobRecord(e)
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
	s.acceptances.topics[1].next = 1
	long := time.Now().Add(-time.Hour).UnixMilli()
	s.applyJobRecord(Entry{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)})
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","ended":` + strconv.FormatInt(long, 10) + `}`)})
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), writer: Writer{Epoch: 1, Seq: 1, Expect: -1}}
	look := func() {
		p.lastDrop = time.Time{}
		p.dropExpired(context.Background())
	}
	look()
	// The drop in the first topic is read back; the spare one has the job still.
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a")})
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

// Of a job that has ended callers ask for its state alone: its spec and steps
// are dropped from the log, whoever reads it later shows the same, and a
// submission that comes again brings nothing back to life.
func TestJobsThatHaveEndedAreReduced(t *testing.T) {
	log := &memory{}
	s := New(Settings{Instance: "a"}, log, nil, nil, nil, nil)
	whole := []byte(`{"id":"a","queue":"q","spec":"much longer than what is left","steps":[{"n":3,"r":{}}]}`)
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a"), Value: whole})
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","open":[{"s":[]}]}`)})
	p := &planner{s: s}
	p.reduceBatch(context.Background())
	if len(log.records) != 0 {
		t.Fatal("a job was reduced while something of it may be at work")
	}
	s.applyJobRecord(Entry{Offset: 2, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed"}`)})
	p.reduceBatch(context.Background())
	if len(log.records) != 1 || len(log.records[0].Value) >= len(whole) {
		t.Fatalf("%+v", log.records)
	}
	p.reduceBatch(context.Background())
	if len(log.records) != 1 {
		t.Fatal("reduced twice")
	}
	later := New(Settings{Instance: "b"}, log, nil, nil, nil, nil)
	for _, e := range []Entry{log.records[0], {Key: workload.AcceptedKey("a"), Value: whole}, {Offset: 2, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed"}`)}} {
		later.applyJobRecord(e)
	}
	e, known := later.book.Get("a")
	if !known || e.Shown() != workload.Completed || e.Job.Queue != "q" || len(e.Job.Steps) != 0 {
		t.Fatalf("%+v, %t", e, known)
	}
	core := control.New(control.Bounds{}, 1, time.Now())
	later.book.All(core.Adopt)
	core.Round(time.Now(), 1)
	if records := core.Changes(); len(records) != 0 {
		t.Fatalf("a job that has ended was taken up: %+v", records)
	}
}

// Instances that saw the whole acceptance before let go of it as well.
func TestAReducedAcceptanceReplacesAWholeOneWhereverItWasRead(t *testing.T) {
	s := New(Settings{Instance: "a"}, &memory{}, nil, nil, nil, nil)
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q","steps":[{"n":3,"r":{}}]}`)})
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a"), Value: []byte(`{"reduced":true,"id":"a","queue":"q"}`)})
	if e, _ := s.book.Get("a"); len(e.Job.Steps) != 0 {
		t.Fatal("the steps are still there")
	}
}
