package workload

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// logRecord is a record with its offset.
type logRecord struct {
	offset int64
	key    string
	value  []byte
}

func statusRecord(t testing.TB, s Status) []byte {
	value, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// jobRecords draws the records of one job: its acceptance, its progress, and the status that a
// planner publishes at each change.
func jobRecords(t *rapid.T, id JobID, at int64) (accepted, progress, stated []logRecord) {
	accepted = []logRecord{{at, AcceptedKey(id), []byte(`{"id":"` + string(id) + `","queue":"q"}`)}}
	steps := []Status{{Queue: "q", State: Queued}}
	if rapid.Bool().Draw(t, "starts") {
		steps = append(steps, Status{Queue: "q", State: Running, Started: true})
	}
	if end := rapid.SampledFrom([]State{"", Completed, Failed, Cancelled}).Draw(t, "end"); end != "" {
		steps = append(steps, Status{Queue: "q", State: end, Started: len(steps) > 1, EndedMS: 1000})
	}
	for i, s := range steps {
		value, _ := json.Marshal(s)
		stated = append(stated, logRecord{at + int64(i), StatusKey(id), value})
		value, _ = json.Marshal(Progress{State: s.State, Started: s.Started, EndedMS: s.EndedMS})
		progress = append(progress, logRecord{at + int64(i), ProgressKey(id), value})
	}
	return accepted, progress, stated
}

func foldAll(t *rapid.T, b *Book, records []logRecord) {
	for _, r := range records {
		if err := b.Fold(r.offset, r.key, r.value); err != nil {
			t.Fatal(err)
		}
	}
}

// An instance that reads only the statuses shows the same states, and counts the same pending
// jobs, as one that reads everything.
func TestStatusesAgreeWithProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, statuses := NewBook(), NewBook()
		for i, id := range []JobID{"a", "b", "c", "d"} {
			accepted, progress, stated := jobRecords(t, id, int64(10*i))
			foldAll(t, full, append(accepted, progress...))
			foldAll(t, statuses, stated)
		}
		for _, id := range []JobID{"a", "b", "c", "d"} {
			x, _ := full.Get(id)
			y, known := statuses.Get(id)
			if !known || x.VisibleState() != y.VisibleState() || x.Started != y.Started {
				t.Fatalf("job %s: by its progress %s, started %t; by its status %s, started %t", id, x.VisibleState(), x.Started, y.VisibleState(), y.Started)
			}
		}
		if full.Pending("q") != statuses.Pending("q") {
			t.Fatalf("%d jobs pending by their progress, %d by their statuses", full.Pending("q"), statuses.Pending("q"))
		}
	})
}

// However the records of all topics are mixed and repeated, a state once shown never goes back.
func TestVisibleStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		accepted, progress, stated := jobRecords(t, "a", 0)
		records := append(append(accepted, progress...), stated...)
		most := 0
		for range 3 {
			for _, r := range rapid.Permutation(records).Draw(t, "order") {
				foldAll(t, b, []logRecord{r})
				e, known := b.Get("a")
				if !known {
					continue
				}
				if e.State.rank() < most {
					t.Fatalf("state %s after a state of rank %d", e.State, most)
				}
				most = e.State.rank()
			}
		}
	})
}

// A status that has not been published is listed until it is.
func TestUnpublishedStatusIsListedUntilItIsPublished(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, AcceptedKey("b"), acceptance(t, "b", "q"))
	if _, all := b.UnpublishedStatuses(1); all {
		t.Fatal("one of two statuses is reported to be all")
	}
	statuses, all := b.UnpublishedStatuses(10)
	if len(statuses) != 2 || !all {
		t.Fatalf("statuses %v, all %t", statuses, all)
	}
	for id, value := range statuses {
		fold(t, b, 2, StatusKey(id), value)
	}
	if statuses, _ = b.UnpublishedStatuses(10); len(statuses) != 0 {
		t.Fatalf("published statuses are still listed: %v", statuses)
	}
	fold(t, b, 3, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if statuses, _ = b.UnpublishedStatuses(10); len(statuses) != 1 {
		t.Fatalf("the changed status of a started job is not listed: %v", statuses)
	}
	// An outdated status does not take the job off the list.
	fold(t, b, 4, StatusKey("a"), statusRecord(t, Status{Queue: "q", State: Queued}))
	if statuses, _ = b.UnpublishedStatuses(10); len(statuses) != 1 {
		t.Fatal("an outdated status counts as published")
	}
}

// An instance that stops reading progress keeps what callers see, and does not treat leftovers as
// current when it reads progress again.
func TestShedKeepsJobStatuses(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	fold(t, b, 1, ProgressKey("unknown"), []byte(`{"state":"running","begun":true}`))
	b.DropDetails()
	e, known := b.Get("a")
	if !known || e.VisibleState() != Running || e.Job != nil || len(e.Progress) > 0 {
		t.Fatalf("entry %+v, known %t", e, known)
	}
	b.ForEach(func(id JobID, _ Entry) { t.Fatalf("a planner would take over job %s", id) })
	for id, e := range b.entries {
		if len(e.Progress) > 0 {
			t.Fatalf("progress of job %s is left after shedding", id)
		}
	}
	if b.IsComplete() {
		t.Fatal("a book without the progress of a started job is complete")
	}
	// The topics are read again from the start, at the same offsets.
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if !b.IsComplete() {
		t.Fatal("a book is not complete after reading again")
	}
	if e, _ := b.Get("a"); e.Job == nil || len(e.Progress) == 0 {
		t.Fatalf("acceptance or progress was not read again: %+v", e)
	}
}

// Deleting a job's status forgets the job if nothing else is known of it.
func TestDroppedStatusForgetsTheJob(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, StatusKey("a"), statusRecord(t, Status{Queue: "q", State: Completed, EndedMS: 1}))
	fold(t, b, 1, StatusKey("a"), nil)
	if _, known := b.Get("a"); known || len(b.entries) != 0 {
		t.Fatal("the job is still known")
	}
	fold(t, b, 2, AcceptedKey("b"), acceptance(t, "b", "q"))
	fold(t, b, 3, ProgressKey("b"), []byte(`{"state":"running","begun":true}`))
	fold(t, b, 4, StatusKey("b"), nil)
	if _, known := b.Get("b"); !known {
		t.Fatal("a job whose progress is left is forgotten")
	}
}

// Guards against a job that was forgotten except for the progress that an instance had read, and
// that kept the instance from ever claiming the planner role.
func TestShedForgetsJobsWhoseStatusWasDropped(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	fold(t, b, 2, StatusKey("a"), statusRecord(t, Status{Queue: "q", State: Running, Started: true}))
	fold(t, b, 3, StatusKey("a"), nil)
	b.DropDetails()
	if _, known := b.Get("a"); known || !b.IsComplete() || b.Pending("q") != 0 {
		t.Fatalf("known %t, complete %t, %d pending", known, b.IsComplete(), b.Pending("q"))
	}
	if _, all := b.UnpublishedStatuses(10); !all {
		t.Fatal("statuses of forgotten jobs are left")
	}
}
