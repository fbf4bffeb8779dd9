package workload

import "testing"

// A record that can't be read says nothing of the records that replace it, nor of a book that
// was emptied since.
func TestAnUnreadableRecordCountsOnlyUntilItIsReplaced(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 0, StatedKey("a"), []byte(`{"q":"q","s":"running","b":true}`))
	if b.Fold(1, ProgressKey("a"), []byte("[")) == nil {
		t.Fatal("the record is readable")
	}
	fold(t, b, 2, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	b.Shed()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	if b.Complete() {
		t.Fatal("a book is complete without the progress of a job that has begun, whose newest record is readable")
	}
}

// Progress that was read says nothing once a newer record of it was read that is unreadable.
func TestProgressBeforeAnUnreadableRecordIsNotHandedOut(t *testing.T) {
	b := NewBook()
	fold(t, b, 0, AcceptedKey("a"), accepted(t, "a", "q"))
	fold(t, b, 1, ProgressKey("a"), []byte(`{"state":"running","begun":true}`))
	if b.Fold(2, ProgressKey("a"), []byte("[")) == nil {
		t.Fatal("the record is readable")
	}
	b.All(func(id JobID, e Entry) {
		if e.Unreadable() && len(e.Progress) > 0 {
			t.Errorf("%s is handed to a planner with progress that is not its newest", id)
		}
	})
}
