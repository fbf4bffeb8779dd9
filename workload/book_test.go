package workload

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func acceptance(t testing.TB, id JobID, queue string) []byte {
	value, err := json.Marshal(Job{ID: id, Queue: queue, Steps: []Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func fold(t testing.TB, b *Book, offset int64, key string, value []byte) {
	if err := b.Fold(offset, key, value); err != nil {
		t.Fatal(err)
	}
}

func TestOlderProgressDoesNotReplaceNewer(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 9, ProgressKey("a"), []byte(`{"state":"completed","begun":true}`))
	fold(t, b, 4, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if e, _ := b.Get("a"); e.State != Completed {
		t.Fatalf("the state is %s", e.State)
	}
}

func TestRepeatedSubmissionDoesNotUndoACancellation(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, CancelledKey("a"), []byte("{}"))
	fold(t, b, 2, AcceptedKey("a"), acceptance(t, "a", "q"))
	if e, _ := b.Get("a"); e.VisibleState() != Cancelled {
		t.Fatalf("the visible state is %s", e.VisibleState())
	}
}

func TestJobIsUnknownUntilItIsAccepted(t *testing.T) {
	b := NewBook()
	fold(t, b, 3, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if _, known := b.Get("a"); known {
		t.Fatal("a job that was never submitted is known")
	}
}

// In whatever order records are read, and however often, the count of pending jobs equals the
// number of jobs that have not started.
func TestPendingCountsJobsThatHaveNotStarted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		type record struct {
			offset int64
			key    string
			value  []byte
		}
		var records []record
		for i, id := range []JobID{"a", "b", "c"} {
			records = append(records, record{int64(i), AcceptedKey(id), []byte(`{"id":"` + string(id) + `","queue":"q"}`)})
			switch rapid.IntRange(0, 3).Draw(t, "outcome") {
			case 1:
				records = append(records, record{int64(10 + i), ProgressKey(id), []byte(`{"state":"running","begun":true}`)})
			case 2:
				records = append(records, record{int64(10 + i), CancelledKey(id), []byte(`{}`)})
			case 3:
				records = append(records, record{int64(10 + i), ProgressKey(id), []byte(`{"state":"failed"}`)})
			}
		}
		for range 3 {
			for _, r := range rapid.Permutation(records).Draw(t, "order") {
				if err := b.Fold(r.offset, r.key, r.value); err != nil {
					t.Fatal(err)
				}
			}
		}
		want := 0
		b.ForEach(func(_ JobID, e Entry) {
			if !e.Started && !e.Cancelled && !e.State.IsFinal() {
				want++
			}
		})
		if got := b.Pending("q"); got != want {
			t.Fatalf("%d jobs pending, want %d", got, want)
		}
	})
}

func TestTaskIDsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{JobID(rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job")), rapid.IntRange(0, 999).Draw(t, "k"), rapid.IntRange(0, 99).Draw(t, "step"), rapid.IntRange(0, 9999).Draw(t, "index")}
		back, err := ParseTaskID(id.String())
		if err != nil || back != id {
			t.Fatalf("%v parsed as %v, error %v", id, back, err)
		}
	})
}

// While the records of an expired job are deleted one after the other, it must never look like a
// job that has not started.
func TestExpiringJobNeverLooksNew(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"completed","begun":true,"ended":1000}`))
	const keep, gap = time.Second, time.Second
	if accepted, progress := b.Expired(1900, keep, gap, 10); len(accepted)+len(progress) != 0 {
		t.Fatalf("expired before keep has passed: acceptances %v, progress %v", accepted, progress)
	}
	accepted, progress := b.Expired(2500, keep, gap, 10)
	if len(accepted) != 1 || len(progress) != 0 {
		t.Fatalf("expired acceptances %v, progress %v", accepted, progress)
	}
	fold(t, b, 2, AcceptedKey("a"), nil)
	if _, known := b.Get("a"); known || b.Pending("q") != 0 {
		t.Fatal("a job whose acceptance was deleted is known")
	}
	if accepted, progress = b.Expired(3500, keep, gap, 10); len(accepted) != 0 || len(progress) != 1 {
		t.Fatalf("expired acceptances %v, progress %v", accepted, progress)
	}
	fold(t, b, 3, ProgressKey("a"), nil)
	if len(b.entries) != 0 {
		t.Fatal("the book still has entries")
	}
}
