package workload

import (
	"encoding/json"
	"sync"
	"time"
)

// Keys of records. Each record carries the whole of what its key names, so
// that the newest record of each key is a snapshot of the book.
const (
	acceptedPrefix  = "j/"
	cancelledPrefix = "c/"
	progressPrefix  = "p/"
)

// AcceptedKey is the key of a job's acceptance.
func AcceptedKey(id JobID) string { return acceptedPrefix + string(id) }

// CancelledKey is the key of the request to cancel a job.
func CancelledKey(id JobID) string { return cancelledPrefix + string(id) }

// ProgressKey is the key of a job's progress.
func ProgressKey(id JobID) string { return progressPrefix + string(id) }

// IDOfKey is the job that a record's key names; the key is one of those above.
func IDOfKey(key string) JobID { return JobID(key[2:]) }

// Entry is what the book has of one job. Job is nil while its acceptance has not
// been read, and where it is not followed.
type Entry struct {
	Job *Job
	// Accepted tells that the job was handed in, by its acceptance or by what a
	// planner stated of it; Queue is the route by which it came.
	Accepted  bool
	Queue     string
	Cancelled bool
	// State and Begun are the head of the progress.
	State   State
	Begun   bool
	EndedMS int64
	// Settled tells that the job has ended and nothing of it may still be at work.
	Settled bool
	// Progress is the record as written; it is decoded only by a planner. It
	// stands at the offset At of its topic.
	Progress []byte
	At       int64
	// badJob and badProgress tell that the newest record of each could not be read.
	badJob, badProgress bool
	// stated is what was read of the job among the states; dropped tells that they have nothing
	// of it any more.
	stated  Stated
	dropped bool
}

// Book folds the log's records. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	entries map[JobID]*Entry
	pending map[string]int
	// fresh are jobs that were accepted or cancelled since Fresh was called.
	fresh map[JobID]bool
	// unstated are jobs of which the states do not say what the book knows.
	unstated map[JobID]bool
	wake     chan struct{}
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: map[JobID]*Entry{}, pending: map[string]int{}, fresh: map[JobID]bool{}, unstated: map[JobID]bool{}, wake: make(chan struct{}, 1)}
}

// Wake is signalled when Fresh has something new.
func (b *Book) Wake() <-chan struct{} { return b.wake }

// Fresh returns the jobs that were accepted or cancelled since the last call.
func (b *Book) Fresh() []JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]JobID, 0, len(b.fresh))
	for id := range b.fresh {
		out = append(out, id)
	}
	clear(b.fresh)
	return out
}

func (b *Book) freshen(id JobID) {
	b.fresh[id] = true
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Book) entry(id JobID) *Entry {
	e := b.entries[id]
	if e == nil {
		e = &Entry{State: Queued, At: -1}
		b.entries[id] = e
	}
	return e
}

// Fold takes one record in; records of other kinds are passed over. Records may
// come twice and, as a planner folds its own before it reads them, out of
// order: of a job's progress the one with the highest offset stands, of its
// acceptance the first that was read.
func (b *Book) Fold(offset int64, key string, value []byte) error {
	if len(key) < 2 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := JobID(key[2:])
	if len(value) == 0 {
		b.drop(id, key[:2])
		return nil
	}
	switch key[:2] {
	case acceptedPrefix:
		return b.foldAccepted(id, value)
	case cancelledPrefix:
		if e := b.entries[id]; e != nil && e.Cancelled {
			return nil
		}
		b.change(id, func(e *Entry) { e.Cancelled = true })
		b.freshen(id)
	case progressPrefix:
		return b.foldProgress(id, offset, value)
	case statedPrefix:
		return b.foldStated(id, value)
	}
	return nil
}

// drop forgets what a key held. A job's progress outlives its acceptance.
func (b *Book) drop(id JobID, prefix string) {
	e := b.entries[id]
	if e == nil {
		return
	}
	switch {
	case prefix == progressPrefix, prefix == statedPrefix && e.At < 0:
		b.count(e, -1)
		delete(b.entries, id)
		delete(b.unstated, id)
	case prefix == statedPrefix:
		e.dropped = true
	case prefix == acceptedPrefix:
		b.change(id, func(e *Entry) { e.Job, e.Accepted = nil, false })
	}
}

// Expired lists the jobs whose end is older than keep and whose acceptance is
// still there, and those whose end is older than keep and gap and whose
// progress is all that is left. A job's acceptance is dropped first: progress
// without acceptance is nothing, acceptance without progress is a new job.
func (b *Book) Expired(nowMS int64, keep, gap time.Duration, most int) (accepted, progress []JobID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if len(accepted)+len(progress) >= most {
			break
		}
		if !e.State.Final() || e.EndedMS == 0 {
			continue
		}
		age := time.Duration(nowMS-e.EndedMS) * time.Millisecond
		switch {
		case e.Job != nil && age > keep:
			accepted = append(accepted, id)
		case e.Job == nil && age > keep+gap:
			progress = append(progress, id)
		}
	}
	return accepted, progress
}

func (b *Book) foldAccepted(id JobID, value []byte) error {
	known := b.entries[id]
	if known != nil && known.Job != nil && (known.Job.Reduced || !isReduced(value)) {
		return nil
	}
	job, err := readJob(id, value)
	if err != nil {
		b.change(id, func(e *Entry) { e.badJob = true })
		return err
	}
	b.change(id, func(e *Entry) { e.Job, e.Accepted, e.Queue, e.badJob = job, true, job.Queue, false })
	if job.Reduced {
		return nil
	}
	b.freshen(id)
	return nil
}

// readJob reads a job's acceptance.
func readJob(id JobID, value []byte) (*Job, error) {
	job := &Job{}
	if err := json.Unmarshal(value, job); err != nil {
		return nil, err
	}
	return job, job.checkRecord(id)
}

type progressHead struct {
	State   State             `json:"state"`
	Begun   bool              `json:"begun"`
	EndedMS int64             `json:"ended"`
	Open    []json.RawMessage `json:"open"`
}

func (b *Book) foldProgress(id JobID, offset int64, value []byte) error {
	if e := b.entries[id]; e != nil && e.At >= offset {
		return nil
	}
	head := progressHead{}
	if err := json.Unmarshal(value, &head); err != nil {
		// What was read before is not the newest.
		b.change(id, func(e *Entry) { e.Progress, e.At, e.Settled, e.badProgress = nil, offset, false, true })
		return err
	}
	b.change(id, func(e *Entry) {
		e.badProgress = false
		e.reach(head.State, head.Begun, head.EndedMS)
		e.Settled = head.State.Final() && len(head.Open) == 0
		e.Progress = value
		e.At = offset
	})
	return nil
}

// change applies f, and keeps the count of jobs that have not begun and the list
// of those that are not stated.
func (b *Book) change(id JobID, f func(*Entry)) {
	e := b.entry(id)
	b.count(e, -1)
	f(e)
	b.count(e, 1)
	if e.Accepted && e.stated != e.statement() {
		b.unstated[id] = true
	} else {
		delete(b.unstated, id)
	}
}

func (b *Book) count(e *Entry, by int) {
	if e.Accepted && !e.Begun && !e.Cancelled && !e.State.Final() {
		b.pending[e.Queue] += by
	}
}

// Get returns a copy of a job's entry; ok is false for a job that nobody
// handed in.
func (b *Book) Get(id JobID) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[id]
	if e == nil || !e.Accepted {
		return Entry{}, false
	}
	return *e, true
}

// Complete tells whether the acceptance and the progress of every job that a planner has
// worked on and that has not ended were read. States, progress and acceptances are read
// apart. A planner that does not know a job takes its runs for strange, and one that does not
// know its progress begins it anew.
func (b *Book) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if !e.complete() {
			return false
		}
	}
	return true
}

// complete tells whether nothing of a job is missing that is still to be read.
func (e *Entry) complete() bool {
	if e.State.Final() || e.Unreadable() {
		return true
	}
	recorded := len(e.Progress) > 0
	return (e.Job != nil || !recorded) && (recorded || !e.Begun)
}

// Census counts the jobs of a book that have not ended.
type Census struct {
	// Open are all of them, Unaccepted those whose acceptance was not read, Unrecorded those
	// that have begun and whose progress was not read.
	Open, Unaccepted, Unrecorded int
}

// Census counts what a planner would take over.
func (b *Book) Census() Census {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Census{}
	for _, e := range b.entries {
		if e.State.Final() || (!e.Accepted && len(e.Progress) == 0) {
			continue
		}
		out.Open++
		if e.Job == nil {
			out.Unaccepted++
		}
		if e.Begun && len(e.Progress) == 0 {
			out.Unrecorded++
		}
	}
	return out
}

// Unreadable tells that the newest record of the job's acceptance or progress could not be read.
func (e *Entry) Unreadable() bool { return e.badJob || e.badProgress }

// Shown is the state that callers see.
func (e Entry) Shown() State {
	if e.Cancelled && !e.State.Final() {
		return Cancelled
	}
	return e.State
}

// Pending returns how many accepted jobs of a queue have not begun.
func (b *Book) Pending(queue string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[queue]
}

// All calls f with a copy of the entry of each job whose acceptance was read.
func (b *Book) All(f func(JobID, Entry)) {
	b.mu.Lock()
	entries := make(map[JobID]Entry, len(b.entries))
	for id, e := range b.entries {
		if e.Job != nil {
			entries[id] = *e
		}
	}
	b.mu.Unlock()
	for id, e := range entries {
		f(id, e)
	}
}
