package control

import (
	"testing"

	"github.com/cobalttide/cobalttide/workload"
)

// Guards against starting or ending a job of which only the reduced acceptance record has been
// read: its progress is not known yet.
func TestReducedJobIsNeitherStartedNorEnded(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	book := workload.NewBook()
	const id = workload.JobID("00000000000000bb")
	if err := book.Fold(0, workload.AcceptedKey(id), []byte(`{"reduced":true,"id":"00000000000000bb","queue":"q"}`)); err != nil {
		t.Fatal(err)
	}
	book.ForEach(s.c.Adopt)
	for range 3 {
		s.c.Round(s.now, s.now.UnixMilli())
		for _, r := range s.c.Changes() {
			if r.Key == workload.ProgressKey(id) {
				t.Fatalf("progress written: %s", r.Value)
			}
		}
		if starts := s.c.Persisted(s.now); len(starts) > 0 {
			t.Fatalf("started: %+v", starts)
		}
	}
}
