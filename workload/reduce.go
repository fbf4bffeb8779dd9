package workload

import (
	"bytes"
	"encoding/json"
)

// A job's acceptance is most of what is known of it: its spec and its steps. Once
// the job has ended and nothing of it may be at work any more, nobody needs them:
// callers ask for its state alone. The planner then replaces the acceptance by a
// reduced one, so that an instance that comes back reads little of what is over.

// reducedMark is how a reduced acceptance begins; Reduce writes it.
var reducedMark = []byte(`{"reduced":true`)

func isReduced(value []byte) bool { return bytes.HasPrefix(value, reducedMark) }

// reduced is a reduced acceptance; its first field tells it from a whole one.
type reduced struct {
	Reduced bool   `json:"reduced"`
	ID      JobID  `json:"id"`
	Queue   string `json:"queue"`
}

// Reducible lists jobs that have ended for good and whose acceptance is whole.
// Those that callers handed in again since are among them.
func (b *Book) Reducible(most int) []JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []JobID
	for id, e := range b.entries {
		if len(out) >= most {
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
	value, err := json.Marshal(reduced{true, id, e.Job.Queue})
	return value, err == nil
}
