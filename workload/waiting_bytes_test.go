package workload

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a total of the waiting jobs' memory that drifts from the jobs, and then refuses
// every job or none.
func TestWaitingBytesFollowTheJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		for offset := range rapid.IntRange(1, 60).Draw(t, "records") {
			id := JobID(fmt.Sprintf("%016x", rapid.IntRange(1, 4).Draw(t, "job")))
			key, value := AcceptedKey(id), []byte(nil)
			switch rapid.SampledFrom([]string{"accept", "reduce", "drop", "progress", "drop progress", "status", "cancel", "details"}).Draw(t, "record") {
			case "accept":
				value, _ = json.Marshal(Job{ID: id, Queue: "q", Steps: []Step{{Count: rapid.IntRange(1, 9).Draw(t, "tasks")}}})
			case "reduce":
				value, _ = json.Marshal(reducedAcceptance{true, id, "q"})
			case "progress", "drop progress":
				key = ProgressKey(id)
				if rapid.Bool().Draw(t, "written") {
					value = fmt.Appendf(nil, `{"state":%q,"begun":true}`, rapid.SampledFrom([]State{Running, Completed, Failed}).Draw(t, "state"))
				}
			case "status":
				key = statusPrefix + string(id)
				value = fmt.Appendf(nil, `{"s":%q,"q":"q"}`, rapid.SampledFrom([]State{Running, Completed}).Draw(t, "state"))
			case "cancel":
				key, value = CancelledKey(id), []byte("{}")
			case "details":
				b.DropDetails()
				continue
			}
			_ = b.Fold(int64(offset), key, value)
		}
		want := int64(0)
		for _, e := range b.entries {
			if e.Job != nil && !e.Job.Reduced && !e.State.IsFinal() {
				want += e.Job.MemoryBytes()
			}
		}
		if got := b.WaitingBytes(); got != want {
			t.Fatalf("%d bytes, want %d", got, want)
		}
	})
}
