package workload

import "testing"

// An unreadable record must no longer count once it is replaced, nor after the book is shed.
func TestUnreadableRecordCountsOnlyUntilItIsReplaced(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 0, StatusKey("a"), []byte(`{"q":"q","s":"running","b":true}`))
	if b.Fold(1, ProgressKey("a"), []byte("[")) == nil {
		t.Fatal("the record was readable")
	}
	fold(t, b, 2, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	b.DropDetails()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	if b.IsComplete() {
		t.Fatal("the book is complete without the progress of a started job whose newest record is readable")
	}
}

// Once a newer, unreadable progress record was read, the older progress must not be handed to a
// planner.
func TestProgressOlderThanAnUnreadableRecordIsNotReturned(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), acceptance(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if b.Fold(2, ProgressKey("a"), []byte("[")) == nil {
		t.Fatal("the record was readable")
	}
	b.ForEach(func(id JobID, e Entry) {
		if e.IsUnreadable() && len(e.Progress) > 0 {
			t.Errorf("job %s is handed to a planner with outdated progress", id)
		}
	})
}
