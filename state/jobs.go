package state

import (
	"encoding/json"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
)

// Status is the folded state of one job.
type Status struct {
	Job    domain.Job      `json:"job"`
	Digest string          `json:"digest"`
	State  domain.JobState `json:"state"`
	// Incarnation identifies the newest attempt; its Attempt is 0 before the first.
	Incarnation domain.Incarnation `json:"gang"`
	Placement   domain.Placement   `json:"placement,omitempty"`
	Guaranteed  bool               `json:"guaranteed,omitempty"`
	// CancelRequested is set once the caller has cancelled the job.
	CancelRequested bool              `json:"cancel_requested,omitempty"`
	Cause           string            `json:"cause,omitempty"`
	Result          string            `json:"result,omitempty"`
	FailedOn        []domain.WorkerID `json:"failed_on,omitempty"`
	// MayOverlap is set when an attempt was started before the log recorded the
	// end of the previous one: both may be running, so a job that must not run
	// twice is not started again.
	MayOverlap bool `json:"contended,omitempty"`
	// Failures counts the attempts whose tasks failed.
	Failures int `json:"failures,omitempty"`
	// Crashes counts the attempts that ended with a worker's crash.
	Crashes  int       `json:"crashes,omitempty"`
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
}

// maxEndedJobs bounds the ended jobs that are kept for status queries.
const maxEndedJobs = 10_000

// Jobs is the folded state of one data centre's jobs. Folding is idempotent, so
// records may arrive more than once. It is safe for concurrent use.
type Jobs struct {
	mu     sync.Mutex
	jobs   map[domain.JobID]*Status
	active map[domain.JobID]*Status
	// endedOrder lists the ended jobs that are kept, oldest first.
	endedOrder []domain.JobID
	binding    guarantee.Binding
	// offset is the one after the last folded entry; version counts changes.
	offset   int64
	version  uint64
	watchers map[domain.JobID][]chan struct{}
	// deferred holds records of jobs whose acceptance has not been read yet, in
	// order of arrival; deferredOrder lists these jobs, oldest first.
	deferred      map[domain.JobID][]port.Record
	deferredOrder []domain.JobID
}

// maxDeferredJobs bounds the jobs whose records are kept until their acceptance
// is read.
const maxDeferredJobs = 10_000

// NewJobs returns an empty state.
func NewJobs() *Jobs {
	return &Jobs{
		jobs:     map[domain.JobID]*Status{},
		active:   map[domain.JobID]*Status{},
		watchers: map[domain.JobID][]chan struct{}{},
		deferred: map[domain.JobID][]port.Record{},
	}
}

// Get returns a copy of a job's status.
func (j *Jobs) Get(id domain.JobID) (Status, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	status, ok := j.jobs[id]
	if !ok {
		return Status{}, false
	}
	return *status, true
}

// Active returns the jobs that have not ended, sorted by id, and the version of
// the state that they were read from.
func (j *Jobs) Active() ([]Status, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Status, 0, len(j.active))
	for _, status := range j.active {
		out = append(out, *status)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job.ID < out[b].Job.ID })
	return out, j.version
}

// Version returns the number of changes folded so far.
func (j *Jobs) Version() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.version
}

// Binding returns the most recently published cells of the guarantees.
func (j *Jobs) Binding() guarantee.Binding {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.binding
}

// Offset returns the offset to read next.
func (j *Jobs) Offset() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.offset
}

// Watch returns a channel that is closed at the job's next change.
func (j *Jobs) Watch(id domain.JobID) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	ch := make(chan struct{})
	j.watchers[id] = append(j.watchers[id], ch)
	return ch
}

// FoldEntry folds one entry of the log and advances the offset past it, also if
// its record can't be read.
func (j *Jobs) FoldEntry(entry port.Entry) error {
	err := j.Fold(entry.Record)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.offset = max(j.offset, entry.Offset+1)
	return err
}

// Fold folds one record. Unknown kinds have no effect. Records that were held
// in memory while the log was unreachable are appended to it in any order, so
// records that precede their job's acceptance are applied once that is read.
func (j *Jobs) Fold(record port.Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fold(record)
}

func (j *Jobs) fold(record port.Record) error {
	switch record.Kind {
	case KindAccepted:
		return decodeAndApply(record, j.applyAccepted)
	case KindCancel:
		return decodeAndApply(record, func(c Cancel) { j.applyOrDefer(c.Job, record, func() { j.applyCancel(c) }) })
	case KindStarted:
		return decodeAndApply(record, func(s Started) { j.applyOrDefer(s.Incarnation.Job, record, func() { j.applyStarted(s) }) })
	case KindRequeued:
		return decodeAndApply(record, func(r Requeued) { j.applyOrDefer(r.Incarnation.Job, record, func() { j.applyRequeued(r) }) })
	case KindEnded:
		return decodeAndApply(record, func(e Ended) { j.applyOrDefer(e.Job, record, func() { j.applyEnded(e) }) })
	case KindBinding:
		return decodeAndApply(record, j.applyBinding)
	}
	return nil
}

// applyOrDefer calls apply if the job is known; otherwise it keeps the record
// until the job's acceptance is read.
func (j *Jobs) applyOrDefer(id domain.JobID, record port.Record, apply func()) {
	if _, known := j.jobs[id]; known {
		apply()
		return
	}
	if j.deferred[id] == nil {
		j.deferredOrder = append(j.deferredOrder, id)
		if len(j.deferredOrder) > maxDeferredJobs {
			delete(j.deferred, j.deferredOrder[0])
			j.deferredOrder = j.deferredOrder[1:]
		}
	}
	j.deferred[id] = append(j.deferred[id], record)
}

func decodeAndApply[T any](record port.Record, apply func(T)) error {
	var payload T
	if err := json.Unmarshal(record.Data, &payload); err != nil {
		return errors.Wrapf(err, "record %s of kind %s can't be decoded and is skipped", record.ID, record.Kind)
	}
	apply(payload)
	return nil
}

// recordChange counts a change of a job and wakes its watchers.
func (j *Jobs) recordChange(id domain.JobID) {
	j.version++
	for _, ch := range j.watchers[id] {
		close(ch)
	}
	delete(j.watchers, id)
}

func (j *Jobs) applyAccepted(a Accepted) {
	if _, known := j.jobs[a.Job.ID]; known {
		return
	}
	status := &Status{Job: a.Job, Digest: a.Digest, State: domain.JobWaiting}
	j.jobs[a.Job.ID] = status
	j.active[a.Job.ID] = status
	j.recordChange(a.Job.ID)
	deferred := j.deferred[a.Job.ID]
	delete(j.deferred, a.Job.ID)
	for _, record := range deferred {
		_ = j.fold(record) // it was decoded before it was deferred
	}
}

func (j *Jobs) applyCancel(c Cancel) {
	status, ok := j.active[c.Job]
	if !ok || status.CancelRequested {
		return
	}
	status.CancelRequested = true
	j.recordChange(c.Job)
}

// applyStarted ignores an attempt that is not newer than the last one seen, so
// that a repeated append does not restore an old attempt.
func (j *Jobs) applyStarted(s Started) {
	status, ok := j.active[s.Incarnation.Job]
	if !ok || !s.Incarnation.Newer(status.Incarnation) {
		return
	}
	if status.State == domain.JobRunning {
		status.MayOverlap = true
	}
	status.Incarnation = s.Incarnation
	status.State = domain.JobRunning
	status.Placement = s.Placement
	status.Guaranteed = s.Guaranteed
	status.Started = s.At
	j.recordChange(s.Incarnation.Job)
}

func (j *Jobs) applyRequeued(r Requeued) {
	status, ok := j.active[r.Incarnation.Job]
	if !ok || status.Incarnation.Newer(r.Incarnation) || (status.Incarnation == r.Incarnation && status.State == domain.JobWaiting) {
		return
	}
	status.Incarnation = r.Incarnation
	status.State = domain.JobWaiting
	status.Placement = nil
	status.Cause = r.Cause
	if len(r.FailedOn) > 0 {
		status.Failures++
		status.FailedOn = append(status.FailedOn, r.FailedOn...)
	}
	if r.Crashed {
		status.Crashes++
	}
	j.recordChange(r.Incarnation.Job)
}

func (j *Jobs) applyEnded(e Ended) {
	status, ok := j.active[e.Job]
	if !ok {
		return
	}
	status.State = e.State
	status.Cause = e.Cause
	status.Result = e.Result
	status.Finished = e.At
	delete(j.active, e.Job)
	j.endedOrder = append(j.endedOrder, e.Job)
	if len(j.endedOrder) > maxEndedJobs {
		delete(j.jobs, j.endedOrder[0])
		j.endedOrder = j.endedOrder[1:]
	}
	j.recordChange(e.Job)
}

func (j *Jobs) applyBinding(b BindingChanged) {
	j.binding = b.Binding
	j.version++
}

// MayRun reports whether a recorded attempt may proceed: it is the newest, and
// the log shows that no earlier one can still be running. Call it only after the
// attempt's own record has been folded.
func (j *Jobs) MayRun(gang domain.Incarnation) bool {
	status, ok := j.Get(gang.Job)
	return ok && status.State == domain.JobRunning && status.Incarnation == gang && !status.MayOverlap
}

// Image is the whole state in the form that is written to snapshots and sent to
// peers.
type Image struct {
	Offset  int64             `json:"offset"`
	Jobs    []Status          `json:"jobs"`
	Binding guarantee.Binding `json:"binding"`
	// Deferred holds the records below Offset of jobs whose acceptance had not
	// been read.
	Deferred []port.Record `json:"early,omitempty"`
}

// Image returns a copy of the state.
func (j *Jobs) Image() Image {
	j.mu.Lock()
	defer j.mu.Unlock()
	image := Image{Offset: j.offset, Binding: j.binding, Jobs: make([]Status, 0, len(j.jobs))}
	for _, id := range j.endedOrder {
		image.Jobs = append(image.Jobs, *j.jobs[id])
	}
	for _, status := range j.active {
		image.Jobs = append(image.Jobs, *status)
	}
	for _, id := range j.deferredOrder {
		image.Deferred = append(image.Deferred, j.deferred[id]...)
	}
	return image
}

// Load replaces the state by an image if the image is newer, and reports whether
// it did. An empty state accepts any image, because a peer may have jobs that
// are not in the log yet. held are records that are not in the log yet; they are
// folded on top of the image.
func (j *Jobs) Load(image Image, held ...port.Record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	empty := len(j.jobs) == 0 && len(image.Jobs)+len(image.Deferred) > 0
	if image.Offset < j.offset || (image.Offset == j.offset && !empty) {
		return false
	}
	j.jobs = make(map[domain.JobID]*Status, len(image.Jobs))
	j.active = map[domain.JobID]*Status{}
	j.endedOrder = nil
	for _, status := range image.Jobs {
		j.jobs[status.Job.ID] = &status
		if status.State.IsFinal() {
			j.endedOrder = append(j.endedOrder, status.Job.ID)
			continue
		}
		j.active[status.Job.ID] = &status
	}
	j.binding = image.Binding
	j.offset = image.Offset
	j.version++
	j.deferred, j.deferredOrder = map[domain.JobID][]port.Record{}, nil
	for _, record := range slices.Concat(image.Deferred, held) {
		_ = j.fold(record) // an unreadable record is skipped, as when reading the log
	}
	return true
}
