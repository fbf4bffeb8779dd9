package instance

import (
	"encoding/json"
	"testing"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/membership"
	"github.com/cobalttide/cobalttide/scheduler/admission"
)

// Guards against refusals that don't help: any body is accepted as a job or refused
// with a field and a remedy.
func FuzzJob(f *testing.F) {
	f.Add(`{"id": "a", "class": "c", "estimate": "1m", "shape": {"tasks": 1, "per_task": {"accelerators": 1}}}`)
	f.Add(`{"id": 1}`)
	f.Add(`{"shape": {"tasks": 1e9}}`)
	f.Fuzz(func(t *testing.T, text string) {
		job, refusal := DecodeJob([]byte(text))
		if refusal == nil {
			refusal = admission.Check(job, admission.Snapshot{})
		}
		if refusal != nil && (refusal.Field == "" || refusal.Remedy == "" || refusal.Outcome != domain.NotRun) {
			t.Fatalf("a refusal without a field or a remedy, or with an outcome other than not-run: %+v", refusal)
		}
	})
}

// Guards against messages of peers that hang the decoder or make an instance
// consider itself dead.
func FuzzPing(f *testing.F) {
	f.Add(`{"from": {"id": "i", "dc": "d", "addr": "a", "state": "alive", "inc": 1}, "news": [{"id": "self", "state": "dead", "inc": 18446744073709551615}]}`)
	f.Add(`{"news": [{"id": "", "state": "odd"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var p ping
		if json.Unmarshal([]byte(text), &p) != nil {
			return
		}
		in := newFuzzInstance()
		in.mergePing(p)
		for _, m := range in.members.all() {
			if m.ID == "self" && m.State != "alive" {
				t.Fatalf("an update changed the instance's own state to %s", m.State)
			}
		}
	})
}

func newFuzzInstance() *Instance {
	in := &Instance{}
	in.members.table = membership.NewTable(membership.Member{ID: "self", DataCentre: "d", Address: "a"}, membership.DefaultOptions())
	return in
}
