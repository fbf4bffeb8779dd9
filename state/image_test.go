package state

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/port"
)

// restoreFromImage returns a state loaded from an image that went through JSON.
func restoreFromImage(t *rapid.T, from *Jobs) *Jobs {
	raw, err := json.Marshal(from.Image())
	if err != nil {
		t.Fatal(err)
	}
	var image Image
	if err := json.Unmarshal(raw, &image); err != nil {
		t.Fatal(err)
	}
	to := NewJobs()
	to.Load(image)
	return to
}

// Guards against restarting an ended job: its end may be read before its
// acceptance, and an instance may load an image that was taken between the two.
func TestImageCarriesEndReadBeforeAcceptance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawJobLog(t)
		accepted, rest := log[:len(jobIDs)], log[len(jobIDs):]
		late := append(append([]port.Record{}, rest...), accepted...)
		plain, before := NewJobs(), NewJobs()
		for _, record := range log {
			mustFold(t, plain, record)
		}
		cut := rapid.IntRange(0, len(late)).Draw(t, "image after")
		foldFrom(t, before, late[:cut], 0)
		after := restoreFromImage(t, before)
		foldFrom(t, after, late[cut:], int64(cut))
		for _, id := range jobIDs {
			a, _ := plain.Get(id)
			b, ok := after.Get(id)
			if !ok || a.State != b.State || a.Incarnation != b.Incarnation || a.CancelRequested != b.CancelRequested {
				t.Fatalf("job %s: %+v in order, %+v with an image after %d of %d records", id, a, b, cut, len(late))
			}
		}
	})
}

func foldFrom(t *rapid.T, jobs *Jobs, records []port.Record, offset int64) {
	for i, record := range records {
		if err := jobs.FoldEntry(port.Entry{Offset: offset + int64(i), Record: record}); err != nil {
			t.Fatal(err)
		}
	}
}
