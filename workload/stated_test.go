package workload

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// logRecord is a record with its place.
type logRecord struct {
	offset int64
	key    string
	value  []byte
}

func statement(t testing.TB, s Stated) []byte {
	value, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// life draws the records of one job: its acceptance, its progress, and what a
// planner stated of it at each change.
func life(t *rapid.T, id JobID, at int64) (accepted, progress, stated []logRecord) {
	accepted = []logRecord{{at, AcceptedKey(id), []byte(`{"id":"` + string(id) + `","queue":"q"}`)}}
	steps := []Stated{{Queue: "q", State: Queued}}
	if rapid.Bool().Draw(t, "begins") {
		steps = append(steps, Stated{Queue: "q", State: Running, Begun: true})
	}
	if end := rapid.SampledFrom([]State{"", Completed, Failed, Cancelled}).Draw(t, "end"); end != "" {
		steps = append(steps, Stated{Queue: "q", State: end, Begun: len(steps) > 1, EndedMS: 1000})
	}
	for i, s := range steps {
		value, _ := json.Marshal(s)
		stated = append(stated, logRecord{at + int64(i), StatedKey(id), value})
		value, _ = json.Marshal(Progress{State: s.State, Begun: s.Begun, EndedMS: s.EndedMS})
		progress = append(progress, logRecord{at + int64(i), ProgressKey(id), value})
	}
	return accepted, progress, stated
}

func fill(t *rapid.T, b *Book, records []logRecord) {
	for _, r := range records {
		if err := b.Fold(r.offset, r.key, r.value); err != nil {
			t.Fatal(err)
		}
	}
}

// Whoever reads the states alone shows what whoever reads everything shows, and
// counts the same.
func TestStatesTellWhatProgressTells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, told := NewBook(), NewBook()
		for i, id := range []JobID{"a", "b", "c", "d"} {
			accepted, progress, stated := life(t, id, int64(10*i))
			fill(t, whole, append(accepted, progress...))
			fill(t, told, stated)
		}
		for _, id := range []JobID{"a", "b", "c", "d"} {
			x, _ := whole.Get(id)
			y, known := told.Get(id)
			if !known || x.Shown() != y.Shown() || x.Begun != y.Begun {
				t.Fatalf("%s: %s, begun %t; told %s, begun %t", id, x.Shown(), x.Begun, y.Shown(), y.Begun)
			}
		}
		if whole.Pending("q") != told.Pending("q") {
			t.Fatalf("%d wait, told %d", whole.Pending("q"), told.Pending("q"))
		}
	})
}

// However records of all topics are mixed and repeated, a state that was shown
// never goes back.
func TestAStateThatWasShownNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		accepted, progress, stated := life(t, "a", 0)
		records := append(append(accepted, progress...), stated...)
		most := 0
		for range 3 {
			for _, r := range rapid.Permutation(records).Draw(t, "order") {
				fill(t, b, []logRecord{r})
				e, known := b.Get("a")
				if !known {
					continue
				}
				if e.State.rank() < most {
					t.Fatalf("%s after a state of rank %d", e.State, most)
				}
				most = e.State.rank()
			}
		}
	})
}

// What is not stated yet is listed until it is.
func TestWhatIsNotStatedIsListedUntilItIs(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, AcceptedKey("b"), accepted(t, "b", "q"))
	if _, all := b.Unstated(1); all {
		t.Fatal("one of two is taken for all")
	}
	statements, all := b.Unstated(10)
	if len(statements) != 2 || !all {
		t.Fatalf("%v, %t", statements, all)
	}
	for id, value := range statements {
		fold(t, b, 2, StatedKey(id), value)
	}
	if statements, _ = b.Unstated(10); len(statements) != 0 {
		t.Fatalf("stated, and listed still: %v", statements)
	}
	fold(t, b, 3, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if statements, _ = b.Unstated(10); len(statements) != 1 {
		t.Fatalf("a job that has begun is not listed: %v", statements)
	}
	// A statement of what was before does not take it off the list.
	fold(t, b, 4, StatedKey("a"), statement(t, Stated{Queue: "q", State: Queued}))
	if statements, _ = b.Unstated(10); len(statements) != 1 {
		t.Fatal("an old statement passes for the newest")
	}
}

// An instance that no longer follows progress keeps what callers are told, and
// takes nothing that is left of it for current when it follows again.
func TestSheddingKeepsWhatCallersAreTold(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	fold(t, b, 1, ProgressKey("nobody's"), []byte(`{"state":"running","begun":true}`))
	b.Shed()
	e, known := b.Get("a")
	if !known || e.Shown() != Running || e.Job != nil || len(e.Progress) > 0 {
		t.Fatalf("%+v, %t", e, known)
	}
	b.All(func(id JobID, _ Entry) { t.Fatalf("a planner would take %s up", id) })
	for id, e := range b.entries {
		if len(e.Progress) > 0 {
			t.Fatalf("progress of %s is left without an acceptance", id)
		}
	}
	if b.Complete() {
		t.Fatal("a book without the progress of a job that has begun is complete")
	}
	// Read again from the start, at the same offsets.
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if !b.Complete() {
		t.Fatal("a book that was read again is not complete")
	}
	if e, _ := b.Get("a"); e.Job == nil || len(e.Progress) == 0 {
		t.Fatalf("%+v was not read again", e)
	}
}

// A statement that is dropped takes the job with it where nothing else is known.
func TestADroppedStatementForgetsTheJob(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, StatedKey("a"), statement(t, Stated{Queue: "q", State: Completed, EndedMS: 1}))
	fold(t, b, 1, StatedKey("a"), nil)
	if _, known := b.Get("a"); known || len(b.entries) != 0 {
		t.Fatal("the job is still known")
	}
	fold(t, b, 2, AcceptedKey("b"), accepted(t, "b", "q"))
	fold(t, b, 3, ProgressKey("b"), []byte(`{"state":"running","begun":true}`))
	fold(t, b, 4, StatedKey("b"), nil)
	if _, known := b.Get("b"); !known {
		t.Fatal("a job of which the progress is there is forgotten")
	}
}

// Guards against a job that is forgotten but for what an instance had read of it, and that keeps
// the instance from ever claiming.
func TestSheddingForgetsJobsThatTheStatesHaveDropped(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	fold(t, b, 2, StatedKey("a"), statement(t, Stated{Queue: "q", State: Running, Begun: true}))
	fold(t, b, 3, StatedKey("a"), nil)
	b.Shed()
	if _, known := b.Get("a"); known || !b.Complete() || b.Pending("q") != 0 {
		t.Fatalf("known %t, complete %t, %d pending", known, b.Complete(), b.Pending("q"))
	}
	if _, all := b.Unstated(10); !all {
		t.Fatal("statements on forgotten jobs are left")
	}
}
