package workload

import "encoding/json"

// What callers are told of a job is little: its state, and whether it has begun.
// Every instance answers for every job, so every instance reads that much, and no
// more: a statement has some 60 bytes, a job's progress some KB, and a job has two or three
// statements in its life however many tasks it has. Whoever may plan reads
// acceptances and progress as well.

const statedPrefix = "s/"

// StatedKey is the key of what a planner states of a job.
func StatedKey(id JobID) string { return statedPrefix + string(id) }

// Stated is what a planner states of a job for all instances.
type Stated struct {
	Queue string `json:"q"`
	State State  `json:"s"`
	Begun bool   `json:"b,omitempty"`
	// EndedMS is when the job came to its end; 0 before.
	EndedMS int64 `json:"e,omitempty"`
}

// rank orders states: a job never goes back to an earlier one.
func (s State) rank() int {
	switch {
	case s.Final():
		return 2
	case s == Running:
		return 1
	}
	return 0
}

// statement is what is to be stated of a job.
func (e *Entry) statement() Stated { return Stated{e.Queue, e.State, e.Begun, e.EndedMS} }

// foldStated takes a statement in. Statements only add to what is known: one that
// is read late, or that an earlier planner wrote, takes nothing back.
func (b *Book) foldStated(id JobID, value []byte) error {
	stated := Stated{}
	if err := json.Unmarshal(value, &stated); err != nil {
		return err
	}
	b.change(id, func(e *Entry) {
		e.stated, e.dropped = stated, false
		e.Accepted = true
		if e.Queue == "" {
			e.Queue = stated.Queue
		}
		e.reach(stated.State, stated.Begun, stated.EndedMS)
	})
	return nil
}

// reach takes in how far a job has come. Statements and progress are read apart, so
// that either may be behind the other.
func (e *Entry) reach(state State, begun bool, endedMS int64) {
	if state.rank() > e.State.rank() {
		e.State = state
	}
	e.Begun = e.Begun || begun
	e.EndedMS = max(e.EndedMS, endedMS)
}

// Unstated returns statements on jobs of which the states do not say what the
// book knows, at most so many; all tells that these are all.
func (b *Book) Unstated(most int) (out map[JobID][]byte, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out = map[JobID][]byte{}
	for id := range b.unstated {
		if len(out) >= most {
			return out, false
		}
		value, err := json.Marshal(b.entries[id].statement())
		if err == nil {
			out[id] = value
		}
	}
	return out, true
}

// Shed lets go of acceptances and progress, which are not followed any more, and
// keeps what callers are told.
func (b *Book) Shed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.entries {
		if !e.Accepted || e.dropped {
			b.count(e, -1)
			delete(b.entries, id)
			delete(b.unstated, id)
			continue
		}
		e.Job, e.Progress, e.At, e.Settled = nil, nil, -1, false
		e.badJob, e.badProgress = false, false
	}
	clear(b.fresh)
}
