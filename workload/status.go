package workload

import "encoding/json"

// Callers see only a job's state and whether it has started. Every instance answers for every job,
// so every instance reads the jobs' statuses, and no more: a status has some 60 bytes, a job's
// progress some KB, and a job has only two or three statuses over its lifetime, however many tasks
// it has. Instances that may plan read acceptances and progress as well.

const statusPrefix = "s/"

// StatusKey returns the key of the status that a planner publishes for a job.
func StatusKey(id JobID) string { return statusPrefix + string(id) }

// Status is the summary of a job that a planner publishes for all instances.
type Status struct {
	Queue   string `json:"q"`
	State   State  `json:"s"`
	Started bool   `json:"b,omitempty"`
	// EndedMS is when the job ended; 0 before.
	EndedMS int64 `json:"e,omitempty"`
}

// rank orders states: a job never goes back to a lower rank.
func (s State) rank() int {
	switch {
	case s.IsFinal():
		return 2
	case s == Running:
		return 1
	}
	return 0
}

// status returns the status to be published for a job.
func (e *Entry) status() Status { return Status{e.Queue, e.State, e.Started, e.EndedMS} }

// foldStatus applies a published status. A status only adds to what is known: one that is read
// late, or that an earlier planner wrote, does not undo anything.
func (b *Book) foldStatus(id JobID, value []byte) error {
	status := Status{}
	if err := json.Unmarshal(value, &status); err != nil {
		return err
	}
	b.update(id, func(e *Entry) {
		e.publishedStatus, e.statusDropped = status, false
		e.Accepted = true
		if e.Queue == "" {
			e.Queue = status.Queue
		}
		e.advance(status.State, status.Started, status.EndedMS)
	})
	return nil
}

// advance updates how far a job has come. Statuses and progress are read from separate topics, so
// that either may be behind the other.
func (e *Entry) advance(state State, begun bool, endedMS int64) {
	if state.rank() > e.State.rank() {
		e.State = state
	}
	e.Started = e.Started || begun
	e.EndedMS = max(e.EndedMS, endedMS)
}

// UnpublishedStatuses returns the statuses that differ from the published ones, up to limit; all
// reports that there are no more.
func (b *Book) UnpublishedStatuses(limit int) (out map[JobID][]byte, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out = map[JobID][]byte{}
	for id := range b.unpublished {
		if len(out) >= limit {
			return out, false
		}
		value, err := json.Marshal(b.entries[id].status())
		if err == nil {
			out[id] = value
		}
	}
	return out, true
}

// DropDetails drops acceptances and progress, which the instance no longer reads, and keeps what
// callers see.
func (b *Book) DropDetails() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if !e.Accepted || e.statusDropped {
			b.account(e, -1)
			delete(b.entries, id)
			delete(b.unpublished, id)
			continue
		}
		b.account(e, -1)
		e.Job, e.Progress, e.ProgressOffset, e.Settled = nil, nil, -1, false
		e.badAcceptance, e.badProgress = false, false
		b.account(e, 1)
	}
	clear(b.changed)
}
