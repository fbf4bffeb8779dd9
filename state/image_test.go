package state

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/port"
)

// passOn returns the state of an instance that took an image over as JSON.
func passOn(t *rapid.T, from *Jobs) *Jobs {
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

// A job whose end was read before its acceptance has ended, also for an instance that took the state over between the two.
func TestAnEndBeforeItsAcceptanceCountsAcrossAnImage(t *testing.T) {
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
		after := passOn(t, before)
		foldFrom(t, after, late[cut:], int64(cut))
		for _, id := range jobIDs {
			a, _ := plain.Get(id)
			b, ok := after.Get(id)
			if !ok || a.State != b.State || a.Gang != b.Gang || a.CancelRequested != b.CancelRequested {
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
