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

// Status is what is known of one job.
type Status struct {
	Job    domain.Job      `json:"job"`
	Digest string          `json:"digest"`
	State  domain.JobState `json:"state"`
	// Gang is the newest attempt; its Attempt is 0 before the first.
	Gang       domain.Incarnation `json:"gang"`
	Placement  domain.Placement   `json:"placement,omitempty"`
	Guaranteed bool               `json:"guaranteed,omitempty"`
	// CancelRequested is set once the caller has asked for the job's end.
	CancelRequested bool              `json:"cancel_requested,omitempty"`
	Cause           string            `json:"cause,omitempty"`
	Result          string            `json:"result,omitempty"`
	FailedOn        []domain.WorkerID `json:"failed_on,omitempty"`
	// Contended is set when an attempt was started while the log did not say
	// that the one before had ended: both may run, so a job that must not run
	// twice is not started again.
	Contended bool `json:"contended,omitempty"`
	// Failures counts attempts whose tasks failed.
	Failures int `json:"failures,omitempty"`
	// Crashes counts attempts that ended with a worker's crash.
	Crashes  int       `json:"crashes,omitempty"`
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
}

// keptFinal bounds how many ended jobs are remembered for their callers.
const keptFinal = 10_000

// Jobs is the folded state of one data centre's jobs. Every fold is idempotent,
// so records may arrive twice. Safe for concurrent use.
type Jobs struct {
	mu      sync.Mutex
	jobs    map[domain.JobID]*Status
	active  map[domain.JobID]*Status
	final   []domain.JobID
	binding guarantee.Binding
	// offset follows the last entry folded; version counts changes.
	offset  int64
	version uint64
	waiters map[domain.JobID][]chan struct{}
	// early are records of jobs that are not known yet, in the order in which
	// they came; earlyOrder bounds them.
	early      map[domain.JobID][]port.Record
	earlyOrder []domain.JobID
}

// keptEarly bounds the jobs whose records are kept ahead of their acceptance.
const keptEarly = 10_000

// NewJobs returns an empty state.
func NewJobs() *Jobs {
	return &Jobs{
		jobs:    map[domain.JobID]*Status{},
		active:  map[domain.JobID]*Status{},
		waiters: map[domain.JobID][]chan struct{}{},
		early:   map[domain.JobID][]port.Record{},
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

// Active returns the jobs that have not ended, in order of id, and the version
// of the state that they are from.
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

// Version counts the changes folded so far.
func (j *Jobs) Version() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.version
}

// Binding returns the newest published cells.
func (j *Jobs) Binding() guarantee.Binding {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.binding
}

// Offset returns the offset to read from next.
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
	j.waiters[id] = append(j.waiters[id], ch)
	return ch
}

// FoldEntry folds one entry of the log.
func (j *Jobs) FoldEntry(entry port.Entry) error {
	err := j.Fold(entry.Record)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.offset = max(j.offset, entry.Offset+1)
	return err
}

// Fold folds one record. Unknown kinds have no effect. Records that were held
// in memory while the log was away reach it in any order, so what is said of a
// job before its acceptance counts once that comes.
func (j *Jobs) Fold(record port.Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fold(record)
}

func (j *Jobs) fold(record port.Record) error {
	switch record.Kind {
	case KindAccepted:
		return fold(record, j.accepted)
	case KindCancel:
		return fold(record, func(c Cancel) { j.ifKnown(c.Job, record, func() { j.cancel(c) }) })
	case KindStarted:
		return fold(record, func(s Started) { j.ifKnown(s.Gang.Job, record, func() { j.started(s) }) })
	case KindRequeued:
		return fold(record, func(r Requeued) { j.ifKnown(r.Gang.Job, record, func() { j.requeued(r) }) })
	case KindEnded:
		return fold(record, func(e Ended) { j.ifKnown(e.Job, record, func() { j.ended(e) }) })
	case KindBinding:
		return fold(record, j.bound)
	}
	return nil
}

// ifKnown applies what a record says of a job, or keeps the record until the
// job is known.
func (j *Jobs) ifKnown(id domain.JobID, record port.Record, apply func()) {
	if _, known := j.jobs[id]; known {
		apply()
		return
	}
	if j.early[id] == nil {
		j.earlyOrder = append(j.earlyOrder, id)
		if len(j.earlyOrder) > keptEarly {
			delete(j.early, j.earlyOrder[0])
			j.earlyOrder = j.earlyOrder[1:]
		}
	}
	j.early[id] = append(j.early[id], record)
}

func fold[T any](record port.Record, apply func(T)) error {
	var payload T
	if err := json.Unmarshal(record.Data, &payload); err != nil {
		return errors.Wrapf(err, "record %s of kind %s is not readable; it is passed over", record.ID, record.Kind)
	}
	apply(payload)
	return nil
}

func (j *Jobs) changed(id domain.JobID) {
	j.version++
	for _, ch := range j.waiters[id] {
		close(ch)
	}
	delete(j.waiters, id)
}

func (j *Jobs) accepted(a Accepted) {
	if _, known := j.jobs[a.Job.ID]; known {
		return
	}
	status := &Status{Job: a.Job, Digest: a.Digest, State: domain.JobWaiting}
	j.jobs[a.Job.ID] = status
	j.active[a.Job.ID] = status
	j.changed(a.Job.ID)
	early := j.early[a.Job.ID]
	delete(j.early, a.Job.ID)
	for _, record := range early {
		_ = j.fold(record) // it was decoded before it was kept
	}
}

func (j *Jobs) cancel(c Cancel) {
	status, ok := j.active[c.Job]
	if !ok || status.CancelRequested {
		return
	}
	status.CancelRequested = true
	j.changed(c.Job)
}

// started counts only for an attempt newer than every one seen, so that an
// append that was repeated does not bring an old attempt back.
func (j *Jobs) started(s Started) {
	status, ok := j.active[s.Gang.Job]
	if !ok || !s.Gang.Newer(status.Gang) {
		return
	}
	if status.State == domain.JobRunning {
		status.Contended = true
	}
	status.Gang = s.Gang
	status.State = domain.JobRunning
	status.Placement = s.Placement
	status.Guaranteed = s.Guaranteed
	status.Started = s.At
	j.changed(s.Gang.Job)
}

func (j *Jobs) requeued(r Requeued) {
	status, ok := j.active[r.Gang.Job]
	if !ok || status.Gang.Newer(r.Gang) || (status.Gang == r.Gang && status.State == domain.JobWaiting) {
		return
	}
	status.Gang = r.Gang
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
	j.changed(r.Gang.Job)
}

func (j *Jobs) ended(e Ended) {
	status, ok := j.active[e.Job]
	if !ok {
		return
	}
	status.State = e.State
	status.Cause = e.Cause
	status.Result = e.Result
	status.Finished = e.At
	delete(j.active, e.Job)
	j.final = append(j.final, e.Job)
	if len(j.final) > keptFinal {
		delete(j.jobs, j.final[0])
		j.final = j.final[1:]
	}
	j.changed(e.Job)
}

func (j *Jobs) bound(b BindingChanged) {
	j.binding = b.Binding
	j.version++
}

// MayRun tells whether a recorded attempt may go on: it is the newest, and the
// log shows that none before it can be under way. Ask once the fold has passed
// the attempt's own record.
func (j *Jobs) MayRun(gang domain.Incarnation) bool {
	status, ok := j.Get(gang.Job)
	return ok && status.State == domain.JobRunning && status.Gang == gang && !status.Contended
}

// Image is the whole state in the form that snapshots carry.
type Image struct {
	Offset  int64             `json:"offset"`
	Jobs    []Status          `json:"jobs"`
	Binding guarantee.Binding `json:"binding"`
	// Early are records below Offset of jobs whose acceptance was not read yet.
	Early []port.Record `json:"early,omitempty"`
}

// Image returns a copy of the state.
func (j *Jobs) Image() Image {
	j.mu.Lock()
	defer j.mu.Unlock()
	image := Image{Offset: j.offset, Binding: j.binding, Jobs: make([]Status, 0, len(j.jobs))}
	for _, id := range j.final {
		image.Jobs = append(image.Jobs, *j.jobs[id])
	}
	for _, status := range j.active {
		image.Jobs = append(image.Jobs, *status)
	}
	for _, id := range j.earlyOrder {
		image.Early = append(image.Early, j.early[id]...)
	}
	return image
}

// Load replaces the state by an image, if the image is newer. An empty state
// takes any image: a peer may hold jobs that the log does not have yet. Records
// that the log does not have yet count on top of the image.
func (j *Jobs) Load(image Image, held ...port.Record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	empty := len(j.jobs) == 0 && len(image.Jobs)+len(image.Early) > 0
	if image.Offset < j.offset || (image.Offset == j.offset && !empty) {
		return false
	}
	j.jobs = make(map[domain.JobID]*Status, len(image.Jobs))
	j.active = map[domain.JobID]*Status{}
	j.final = nil
	for _, status := range image.Jobs {
		j.jobs[status.Job.ID] = &status
		if status.State.Final() {
			j.final = append(j.final, status.Job.ID)
			continue
		}
		j.active[status.Job.ID] = &status
	}
	j.binding = image.Binding
	j.offset = image.Offset
	j.version++
	j.early, j.earlyOrder = map[domain.JobID][]port.Record{}, nil
	for _, record := range slices.Concat(image.Early, held) {
		_ = j.fold(record) // one that can't be read is passed over, as in the log
	}
	return true
}
