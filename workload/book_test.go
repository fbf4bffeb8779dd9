package workload

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func accepted(t testing.TB, id JobID, queue string) []byte {
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
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 9, ProgressKey("a"), []byte(`{"state":"completed","begun":true}`))
	fold(t, b, 4, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if e, _ := b.Get("a"); e.State != Completed {
		t.Fatalf("state %s", e.State)
	}
}

func TestARepeatedSubmissionDoesNotUndoACancel(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, CancelledKey("a"), []byte("{}"))
	fold(t, b, 2, AcceptedKey("a"), accepted(t, "a", "q"))
	if e, _ := b.Get("a"); e.Shown() != Cancelled {
		t.Fatalf("shown as %s", e.Shown())
	}
}

func TestAJobIsKnownOnlyOnceItWasHandedIn(t *testing.T) {
	b := NewBook()
	fold(t, b, 3, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if _, known := b.Get("a"); known {
		t.Fatal("a job that nobody handed in is shown")
	}
}

// Whatever the order in which records are read, and however often, the count
// of waiting jobs is that of the jobs that wait.
func TestPendingCountsJobsThatHaveNotBegun(t *testing.T) {
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
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
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
		b.All(func(_ JobID, e Entry) {
			if !e.Begun && !e.Cancelled && !e.State.Final() {
				want++
			}
		})
		if got := b.Pending("q"); got != want {
			t.Fatalf("pending %d, want %d", got, want)
		}
	})
}

func TestTaskNamesAreReadAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{JobID(rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job")), rapid.IntRange(0, 999).Draw(t, "k"), rapid.IntRange(0, 99).Draw(t, "step"), rapid.IntRange(0, 9999).Draw(t, "index")}
		back, err := ParseTaskID(id.String())
		if err != nil || back != id {
			t.Fatalf("%v became %v, %v", id, back, err)
		}
	})
}

// At no time while a job is forgotten does it look like one that has not begun.
func TestAForgottenJobNeverLooksNew(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"completed","begun":true,"ended":1000}`))
	const keep, gap = time.Second, time.Second
	if first, rest := b.Expired(1900, keep, gap, 10); len(first)+len(rest) != 0 {
		t.Fatalf("%v, %v before its time", first, rest)
	}
	first, rest := b.Expired(2500, keep, gap, 10)
	if len(first) != 1 || len(rest) != 0 {
		t.Fatalf("%v, %v", first, rest)
	}
	fold(t, b, 2, AcceptedKey("a"), nil)
	if _, known := b.Get("a"); known || b.Pending("q") != 0 {
		t.Fatal("a forgotten job is known")
	}
	if first, rest = b.Expired(3500, keep, gap, 10); len(first) != 0 || len(rest) != 1 {
		t.Fatalf("%v, %v", first, rest)
	}
	fold(t, b, 3, ProgressKey("a"), nil)
	if len(b.entries) != 0 {
		t.Fatal("something is left")
	}
}
