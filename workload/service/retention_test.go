package service

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against expired jobs that are kept, jobs that are dropped before they have ended, and
// progress that is dropped before its acceptance.
func TestExpiredJobsAreDroppedAcceptanceFirst(t *testing.T) {
	log := &memoryLog{}
	s := New(Settings{Instance: "a", Retention: time.Second}, log, nil, nil, nil, nil)
	endedMS := time.Now().Add(-10 * time.Second).UnixMilli()
	for _, e := range []Entry{
		{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)},
		{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","ended":` + strconv.FormatInt(endedMS, 10) + `}`)},
		{Offset: 2, Key: workload.AcceptedKey("b"), Value: []byte(`{"id":"b","queue":"q"}`)},
	} {
		s.applyJobRecord(e)
	}
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), writer: Writer{Epoch: 1, Seq: 1, ExpectedEnd: -1}}
	p.dropExpired(context.Background())
	if len(log.records) != 2 || log.records[0].Key != workload.AcceptedKey("a") || len(log.records[0].Value) != 0 {
		t.Fatalf("%+v", log.records)
	}
	for _, e := range log.records {
		s.applyJobRecord(e)
	}
	if _, known := s.book.Get("a"); known {
		t.Fatal("the expired job is still known")
	}
	if _, known := s.book.Get("b"); !known {
		t.Fatal("a job that has not ended was dropped")
	}
}

// Guards against an acceptance that is left in one topic when the job's progress is dropped: it
// would be taken for a new job.
func TestProgressIsDroppedAfterEveryAcceptanceDespiteATopicOutage(t *testing.T) {
	log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{SpareJobs: refuse}}
	s := New(Settings{Instance: "a", Retention: time.Second}, log, nil, nil, nil, nil)
	s.acceptances.topics[1].next = 1
	endedMS := time.Now().Add(-time.Hour).UnixMilli()
	s.applyJobRecord(Entry{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)})
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","ended":` + strconv.FormatInt(endedMS, 10) + `}`)})
	p := &planner{s: s, core: control.New(control.Bounds{}, 1, time.Now()), writer: Writer{Epoch: 1, Seq: 1, ExpectedEnd: -1}}
	dropNow := func() {
		p.lastDrop = time.Time{}
		p.dropExpired(context.Background())
	}
	dropNow()
	// The drop from the first topic is read; the other topic still has the job.
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a")})
	dropNow()
	if log.written[Plans] != 0 {
		t.Fatal("the progress was dropped while a topic still had the acceptance")
	}
	log.mu.Lock()
	log.faults = nil
	log.mu.Unlock()
	dropNow()
	if log.written[Plans] != 1 || log.written[SpareJobs] == 0 {
		t.Fatalf("records written by topic: %v; the progress was not dropped although all topics accept records", log.written)
	}
}

// Guards against ended jobs whose spec and steps stay in the log, although callers query only
// their state. An instance that reads the reduced record later shows the same state, and a
// repeated submission does not restart the job.
func TestEndedJobsAreReduced(t *testing.T) {
	log := &memoryLog{}
	s := New(Settings{Instance: "a"}, log, nil, nil, nil, nil)
	full := []byte(`{"id":"a","queue":"q","spec":"much longer than what is left","steps":[{"n":3,"r":{}}]}`)
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a"), Value: full})
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed","open":[{"s":[]}]}`)})
	p := &planner{s: s}
	p.reduceBatch(context.Background())
	if len(log.records) != 0 {
		t.Fatal("a job was reduced while one of its runs may still be running")
	}
	s.applyJobRecord(Entry{Offset: 2, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed"}`)})
	p.reduceBatch(context.Background())
	if len(log.records) != 1 || len(log.records[0].Value) >= len(full) {
		t.Fatalf("%+v", log.records)
	}
	p.reduceBatch(context.Background())
	if len(log.records) != 1 {
		t.Fatal("the job was reduced twice")
	}
	later := New(Settings{Instance: "b"}, log, nil, nil, nil, nil)
	for _, e := range []Entry{log.records[0], {Key: workload.AcceptedKey("a"), Value: full}, {Offset: 2, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"completed"}`)}} {
		later.applyJobRecord(e)
	}
	e, known := later.book.Get("a")
	if !known || e.VisibleState() != workload.Completed || e.Job.Queue != "q" || len(e.Job.Steps) != 0 {
		t.Fatalf("%+v, %t", e, known)
	}
	core := control.New(control.Bounds{}, 1, time.Now())
	later.book.ForEach(core.Adopt)
	core.Round(time.Now(), 1)
	if records := core.Changes(); len(records) != 0 {
		t.Fatalf("an ended job was planned: %+v", records)
	}
}

// Guards against instances that keep the full acceptance in memory after they have read the
// reduced one.
func TestReducedAcceptanceReplacesTheFullOne(t *testing.T) {
	s := New(Settings{Instance: "a"}, &memoryLog{}, nil, nil, nil, nil)
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q","steps":[{"n":3,"r":{}}]}`)})
	s.applyJobRecord(Entry{Key: workload.AcceptedKey("a"), Value: []byte(`{"reduced":true,"id":"a","queue":"q"}`)})
	if e, _ := s.book.Get("a"); len(e.Job.Steps) != 0 {
		t.Fatal("the book still has the steps")
	}
}
