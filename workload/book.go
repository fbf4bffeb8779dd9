package workload

import (
	"encoding/json"
	"sync"
	"time"
)

// Prefixes of record keys. Each record holds the complete value of its key, so that the newest
// record of each key together make a snapshot of the book.
const (
	acceptedPrefix  = "j/"
	cancelledPrefix = "c/"
	progressPrefix  = "p/"
)

// AcceptedKey returns the key of a job's acceptance.
func AcceptedKey(id JobID) string { return acceptedPrefix + string(id) }

// CancelledKey returns the key of the request to cancel a job.
func CancelledKey(id JobID) string { return cancelledPrefix + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id JobID) string { return progressPrefix + string(id) }

// JobIDOfKey returns the job that a record's key names; the key has to be one of the above.
func JobIDOfKey(key string) JobID { return JobID(key[2:]) }

// Entry is the book's state of one job. Job is nil until the acceptance has been read, and on
// instances that do not read acceptances.
type Entry struct {
	Job *Job
	// Accepted reports whether the job was submitted, according to its acceptance or to the status
	// that a planner published; Queue is the route by which it was submitted.
	Accepted  bool
	Queue     string
	Cancelled bool
	// The next three are the summary fields of the progress.
	State   State
	Started bool
	EndedMS int64
	// Whether the job has ended and none of its runs may still be running.
	Settled bool
	// Progress is the record as written; only planners decode it. ProgressOffset is its offset in
	// its topic.
	Progress       []byte
	ProgressOffset int64
	// Whether the newest record of the acceptance, or of the progress, could not be read.
	badAcceptance, badProgress bool
	// publishedStatus is the status last read from the topic of states; statusDropped reports that
	// the topic no longer has one.
	publishedStatus Status
	statusDropped   bool
}

// Book holds the state of all jobs, folded from the records of the log. It is safe for concurrent
// use.
type Book struct {
	mu      sync.Mutex
	entries map[JobID]*Entry
	pending map[string]int
	// waitingBytes is the memory of the jobs whose acceptance is held and that have not ended.
	waitingBytes int64
	// changed are the jobs that were accepted or cancelled since the last call of TakeChanged.
	changed map[JobID]bool
	// unpublished are the jobs whose published status differs from the book's.
	unpublished map[JobID]bool
	notify      chan struct{}
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: map[JobID]*Entry{}, pending: map[string]int{}, changed: map[JobID]bool{}, unpublished: map[JobID]bool{}, notify: make(chan struct{}, 1)}
}

// Changes returns a channel that is signalled when TakeChanged has new jobs.
func (b *Book) Changes() <-chan struct{} { return b.notify }

// TakeChanged returns the jobs that were accepted or cancelled since the last call.
func (b *Book) TakeChanged() []JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]JobID, 0, len(b.changed))
	for id := range b.changed {
		out = append(out, id)
	}
	clear(b.changed)
	return out
}

func (b *Book) markChanged(id JobID) {
	b.changed[id] = true
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

func (b *Book) entry(id JobID) *Entry {
	e := b.entries[id]
	if e == nil {
		e = &Entry{State: Queued, ProgressOffset: -1}
		b.entries[id] = e
	}
	return e
}

// Fold applies one record; records of other kinds are ignored. Records may be read twice and, as a
// planner folds its own records before it reads them, out of order: of a job's progress the record
// with the highest offset counts, of its acceptance the first that is read.
func (b *Book) Fold(offset int64, key string, value []byte) error {
	if len(key) < 2 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := JobID(key[2:])
	if len(value) == 0 {
		b.dropRecord(id, key[:2])
		return nil
	}
	switch key[:2] {
	case acceptedPrefix:
		return b.foldAccepted(id, value)
	case cancelledPrefix:
		if e := b.entries[id]; e != nil && e.Cancelled {
			return nil
		}
		b.update(id, func(e *Entry) { e.Cancelled = true })
		b.markChanged(id)
	case progressPrefix:
		return b.foldProgress(id, offset, value)
	case statusPrefix:
		return b.foldStatus(id, value)
	}
	return nil
}

// dropRecord removes what a deleted key held. A job's progress outlives its acceptance.
func (b *Book) dropRecord(id JobID, prefix string) {
	e := b.entries[id]
	if e == nil {
		return
	}
	switch {
	case prefix == progressPrefix, prefix == statusPrefix && e.ProgressOffset < 0:
		b.account(e, -1)
		delete(b.entries, id)
		delete(b.unpublished, id)
	case prefix == statusPrefix:
		e.statusDropped = true
	case prefix == acceptedPrefix:
		b.update(id, func(e *Entry) { e.Job, e.Accepted = nil, false })
	}
}

// Expired lists the jobs that ended more than keep ago and whose acceptance is still there, and
// those that ended more than keep and gap ago and of which only the progress is left. The
// acceptance is deleted first because progress without an acceptance is ignored, whereas an
// acceptance without progress is a new job.
func (b *Book) Expired(nowMS int64, keep, gap time.Duration, limit int) (accepted, progress []JobID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if len(accepted)+len(progress) >= limit {
			break
		}
		if !e.State.IsFinal() || e.EndedMS == 0 {
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
	entry := b.entries[id]
	if entry != nil && entry.Job != nil && (entry.Job.Reduced || !isReduced(value)) {
		return nil
	}
	job, err := decodeAcceptance(id, value)
	if err != nil {
		b.update(id, func(e *Entry) { e.badAcceptance = true })
		return err
	}
	b.update(id, func(e *Entry) { e.Job, e.Accepted, e.Queue, e.badAcceptance = job, true, job.Queue, false })
	if job.Reduced {
		return nil
	}
	b.markChanged(id)
	return nil
}

// decodeAcceptance decodes and validates a job's acceptance.
func decodeAcceptance(id JobID, value []byte) (*Job, error) {
	job := &Job{}
	if err := json.Unmarshal(value, job); err != nil {
		return nil, err
	}
	return job, job.validateRecord(id)
}

type progressHead struct {
	State   State             `json:"state"`
	Started bool              `json:"begun"`
	EndedMS int64             `json:"ended"`
	Open    []json.RawMessage `json:"open"`
}

func (b *Book) foldProgress(id JobID, offset int64, value []byte) error {
	if e := b.entries[id]; e != nil && e.ProgressOffset >= offset {
		return nil
	}
	head := progressHead{}
	if err := json.Unmarshal(value, &head); err != nil {
		// The progress read before is no longer the newest.
		b.update(id, func(e *Entry) { e.Progress, e.ProgressOffset, e.Settled, e.badProgress = nil, offset, false, true })
		return err
	}
	b.update(id, func(e *Entry) {
		e.badProgress = false
		e.advance(head.State, head.Started, head.EndedMS)
		e.Settled = head.State.IsFinal() && len(head.Open) == 0
		e.Progress = value
		e.ProgressOffset = offset
	})
	return nil
}

// update applies a change to an entry, and keeps the counts of jobs that have not started and the
// set of unpublished statuses up to date.
func (b *Book) update(id JobID, apply func(*Entry)) {
	e := b.entry(id)
	b.account(e, -1)
	apply(e)
	b.account(e, 1)
	if e.Accepted && e.publishedStatus != e.status() {
		b.unpublished[id] = true
	} else {
		delete(b.unpublished, id)
	}
}

// account adds an entry to the totals of the book (by 1), or removes it (by -1).
func (b *Book) account(e *Entry, by int) {
	if e.Job != nil && !e.Job.Reduced && !e.State.IsFinal() {
		b.waitingBytes += int64(by) * e.Job.MemoryBytes()
	}
	if e.Accepted && !e.Started && !e.Cancelled && !e.State.IsFinal() {
		b.pending[e.Queue] += by
	}
}

// WaitingBytes returns the estimated memory of the jobs that have not ended and whose acceptance
// is held.
func (b *Book) WaitingBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waitingBytes
}

// Get returns a copy of a job's entry; ok is false for a job that was never submitted.
func (b *Book) Get(id JobID) (Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[id]
	if e == nil || !e.Accepted {
		return Entry{}, false
	}
	return *e, true
}

// IsComplete reports whether the acceptance and the progress of every unfinished job that a planner
// has worked on have been read. States, progress and acceptances are read from separate topics. A
// planner without a job's acceptance would treat its runs as unregistered, and one without its
// progress would restart it.
func (b *Book) IsComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if !e.isComplete() {
			return false
		}
	}
	return true
}

// isComplete reports whether no record of the job is still to be read.
func (e *Entry) isComplete() bool {
	if e.State.IsFinal() || e.IsUnreadable() {
		return true
	}
	recorded := len(e.Progress) > 0
	return (e.Job != nil || !recorded) && (recorded || !e.Started)
}

// OpenJobCounts counts the jobs of a book that have not ended.
type OpenJobCounts struct {
	// Open counts all of them, MissingAcceptance those whose acceptance has not been read,
	// MissingProgress those that have started and whose progress has not been read.
	Open, MissingAcceptance, MissingProgress int
}

// CountOpen counts the jobs that a planner would take over.
func (b *Book) CountOpen() OpenJobCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := OpenJobCounts{}
	for _, e := range b.entries {
		if e.State.IsFinal() || (!e.Accepted && len(e.Progress) == 0) {
			continue
		}
		counts.Open++
		if e.Job == nil {
			counts.MissingAcceptance++
		}
		if e.Started && len(e.Progress) == 0 {
			counts.MissingProgress++
		}
	}
	return counts
}

// IsUnreadable reports whether the newest record of the job's acceptance or progress could not be
// read.
func (e *Entry) IsUnreadable() bool { return e.badAcceptance || e.badProgress }

// VisibleState returns the state that callers see.
func (e Entry) VisibleState() State {
	if e.Cancelled && !e.State.IsFinal() {
		return Cancelled
	}
	return e.State
}

// Pending returns how many accepted jobs of a queue have not started.
func (b *Book) Pending(queue string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[queue]
}

// ForEach calls f with a copy of the entry of each job whose acceptance has been read.
func (b *Book) ForEach(f func(JobID, Entry)) {
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
