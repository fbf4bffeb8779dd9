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
	// Jobs is the first topic of acceptances and cancellations, SpareJobs the second;
	// see AcceptTopic.
	Jobs      Topic = "jobs"
	SpareJobs Topic = "spare-jobs"
	// Plans has the planner's claim, its signs of life and the jobs' progress;
	// only the planner writes there, and only those read it that may succeed it.
	Plans Topic = "plans"
	// States has what callers are told of jobs, and the planner's sign of life; only
	// the planner writes there, and every instance reads it.
	States Topic = "states"
	// Declarations has what the operators declare.
	Declarations Topic = "declarations"
	// WorkerList has what workers say of themselves.
	WorkerList Topic = "workers"
	// Reports has what operators are told of their waves of maintenance.
	Reports Topic = "reports"
	// Members has the addresses of instances.
	Members Topic = "members"
)

// MostAcceptTopics is the largest number of topics of acceptances.
const MostAcceptTopics = 16

// AcceptTopic names the topics of acceptances, numbered from 0.
func AcceptTopic(n int) Topic {
	switch n {
	case 0:
		return Jobs
	case 1:
		return SpareJobs
	}
	return Topic("jobs-" + strconv.Itoa(n))
}

// Entry is a record with its place in a topic. An empty value means that the
// key was dropped.
type Entry struct {
	Offset int64
	Key    string
	Value  []byte
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	// Next is the offset to read from next.
	Next int64
	// End is where the topic ended when the log answered; a page below it is
	// followed by more.
	End int64
}

// NewestPage is a part of the newest records of each key.
type NewestPage struct {
	Entries []Entry
	// After is the key behind which the next page begins.
	After string
	// More tells that a next page follows.
	More bool
	// End is where the topic ended when the log answered. Pages are made one
	// after the other; a reader that goes on from the end of the first one misses
	// nothing.
	End int64
}

// Writer fences a planner's appends: the log refuses those of an epoch below
// the highest that it has seen, and recognises a repeated Seq.
type Writer struct {
	Epoch int64
	Seq   int64
	// Expect is the offset at which the topic has to end; below 0 for any.
	Expect int64
}

// Log is where everything lives that must last.
type Log interface {
	// Append adds the records consecutively, all or none, and returns the offset
	// of the first. Errors are one of the marks below; any other error, like
	// ErrUnknown, does not say whether they were added.
	Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error)
	// Read returns records from an offset on. When there are none it waits for
	// one, at most for wait, and returns an empty page.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key behind a key, page by page; ""
	// begins with the first.
	Newest(ctx context.Context, topic Topic, after string) (NewestPage, error)
	// Probe reads from a topic what says no more than that its part of the log answers.
	Probe(ctx context.Context, topic Topic) error
}

// Marks of the log's errors.
var (
	// ErrNotDone: nothing was added and nothing will be.
	ErrNotDone = errors.New("the log refused the call and did nothing: repeat it later")
	// ErrUnknown: the call had no answer and may still be carried out.
	ErrUnknown = errors.New("the log did not answer: read the topic to see whether the call was carried out")
	// ErrFenced: a later planner has written.
	ErrFenced = errors.New("a later planner has written: stop giving orders")
	// ErrMoved: the topic does not end where the call expected.
	ErrMoved = errors.New("the topic has moved on: read it and decide again")
	// ErrForgotten: the records asked for are no longer kept.
	ErrForgotten = errors.New("the records are no longer kept: read the newest of each key")
	// ErrMalformed: an answer can't be what the log holds.
	ErrMalformed = errors.New("the log's answer is malformed: read the newest of each key again")
)

// Decoder turns the platform's records into the product's terms.
type Decoder interface {
	// Directory reads a declared configuration; ok is false for other keys.
	Directory(key string, value []byte) (directory *Directory, ok bool, err error)
	// Wave reads a declared wave of maintenance; ok is false for other keys.
	Wave(key string, value []byte) (wave control.Wave, ok bool, err error)
	// Evacuation reads the key of a request that a data centre gets nothing new; ok is
	// false for other keys. The request lasts until its key is dropped.
	Evacuation(key string) (centre string, ok bool)
	// WaveReport writes a wave's state as operators read it.
	WaveReport(report control.WaveReport) control.Record
	// Listing reads a worker's entry. Errors of this and the other readers are of type
	// *EntryError.
	Listing(key string, value []byte) (control.Listing, error)
}
