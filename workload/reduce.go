package workload

import (
	"bytes"
	"encoding/json"
)

// A job's acceptance, with its spec and steps, is most of its data. It is not needed once the job
// has ended and none of its runs may still be running, since callers then ask only for the state.
// The planner therefore replaces the acceptance by a reduced one, so that a restarting instance
// reads little about finished jobs.

// reducedPrefix is how a reduced acceptance begins; Reduce writes it.
var reducedPrefix = []byte(`{"reduced":true`)

func isReduced(value []byte) bool { return bytes.HasPrefix(value, reducedPrefix) }

// reducedAcceptance is a reduced acceptance; its first field distinguishes it from a full one.
type reducedAcceptance struct {
	Reduced bool   `json:"reduced"`
	ID      JobID  `json:"id"`
	Queue   string `json:"queue"`
}

// Reducible lists the jobs that have ended, have no runs left and still have a full acceptance,
// including jobs that callers have submitted again since.
func (b *Book) Reducible(limit int) []JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []JobID
	for id, e := range b.entries {
		if len(out) >= limit {
			break
		}
		if e.Settled && e.Job != nil && !e.Job.Reduced {
			out = append(out, id)
		}
	}
	return out
}

// Reduce returns the reduced acceptance of a job.
func (b *Book) Reduce(id JobID) ([]byte, bool) {
	e, known := b.Get(id)
	if !known || !e.Settled || e.Job == nil {
		return nil, false
	}
	value, err := json.Marshal(reducedAcceptance{true, id, e.Job.Queue})
	return value, err == nil
}
