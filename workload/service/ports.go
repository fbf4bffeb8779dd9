package service

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// Topic names a sequence of keyed records in the log.
type Topic string

// The topics.
const (
	// Jobs is the first topic of acceptances and cancellations, SpareJobs the second; see
	// AcceptTopic.
	Jobs      Topic = "jobs"
	SpareJobs Topic = "spare-jobs"
	// Plans holds the planner's claim, its heartbeats and the progress of jobs. Only the
	// planner writes it, and only possible successors read it.
	Plans Topic = "plans"
	// States holds the job states that callers are shown, and the planner's heartbeats. Only
	// the planner writes it, and every instance reads it.
	States Topic = "states"
	// Declarations holds the declarations of operators.
	Declarations Topic = "declarations"
	// WorkerList holds the entries that workers write about themselves.
	WorkerList Topic = "workers"
	// Reports holds the progress of maintenance waves for operators.
	Reports Topic = "reports"
	// Members holds the addresses of instances.
	Members Topic = "members"
)

// MaxAcceptTopics is the maximum number of topics of acceptances.
const MaxAcceptTopics = 16

// AcceptTopic returns the name of the nth topic of acceptances, counted from 0.
func AcceptTopic(n int) Topic {
	switch n {
	case 0:
		return Jobs
	case 1:
		return SpareJobs
	}
	return Topic("jobs-" + strconv.Itoa(n))
}

// Entry is a record with its offset in a topic. An empty value means that the key was dropped.
type Entry struct {
	Offset int64
	Key    string
	Value  []byte
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	// Next is the offset of the next read.
	Next int64
	// End is the end of the topic when the log answered. If Next is below it, more pages
	// follow.
	End int64
}

// NewestPage is a page of the newest records of each key.
type NewestPage struct {
	Entries []Entry
	// After is the key after which the next page begins.
	After string
	// More reports whether another page follows.
	More bool
	// End is the end of the topic when the log answered. Pages are made one after the other: a
	// reader that continues from the End of the first page misses nothing.
	End int64
}

// Writer fences a planner's appends: the log refuses an append with an epoch below the highest
// that it has seen, and recognises a repeated Seq.
type Writer struct {
	Epoch int64
	Seq   int64
	// ExpectedEnd is the required end offset of the topic; a negative value matches any.
	ExpectedEnd int64
}

// Log is the durable store of all records.
type Log interface {
	// Append adds the records consecutively, all or none, and returns the offset of the first.
	// An error has one of the marks below. Any other error leaves open, like ErrOutcomeUnknown,
	// whether the records were added.
	Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error)
	// Read returns records from an offset on. If there are none, it waits up to wait for one
	// and then returns an empty page.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error)
	// Newest returns a page of the newest records of all keys after the given key; "" starts
	// with the first key.
	Newest(ctx context.Context, topic Topic, after string) (NewestPage, error)
	// Probe makes a small read from a topic, which shows only whether its part of the log
	// answers.
	Probe(ctx context.Context, topic Topic) error
}

// Marks of the log's errors.
var (
	// ErrNotDone: nothing was added and nothing will be.
	ErrNotDone = errors.New("the log refused the call and did nothing: repeat it later")
	// ErrOutcomeUnknown: the call was not answered and may still be carried out.
	ErrOutcomeUnknown = errors.New("the log did not answer: read the topic to see whether the call was carried out")
	// ErrFenced: a later planner has written.
	ErrFenced = errors.New("a later planner has written: stop giving orders")
	// ErrUnexpectedEnd: the topic does not end at the expected offset.
	ErrUnexpectedEnd = errors.New("the topic does not end at the expected offset: read it and decide again")
	// ErrCompacted: the log no longer keeps the requested records.
	ErrCompacted = errors.New("the records are no longer kept: read the newest of each key")
	// ErrMalformed: the answer is inconsistent or can't be decoded.
	ErrMalformed = errors.New("the log's answer is malformed: read the newest of each key again")
)

// Decoder converts between the platform's records and the types of this module.
type Decoder interface {
	// Directory decodes a declared configuration; ok is false for other keys.
	Directory(key string, value []byte) (directory *Directory, ok bool, err error)
	// Wave decodes a declared maintenance wave; ok is false for other keys.
	Wave(key string, value []byte) (wave control.Wave, ok bool, err error)
	// Evacuation decodes the key of a request to evacuate a data centre; ok is false for other
	// keys. The request is in force until its key is dropped.
	Evacuation(key string) (centre string, ok bool)
	// WaveReport encodes the state of a wave for operators.
	WaveReport(report control.WaveReport) control.Record
	// Listing decodes a worker's entry. The errors of this and the other decoding methods are
	// of type *EntryError.
	Listing(key string, value []byte) (control.Listing, error)
}
