package service

import (
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A planner's progress may be read before the acceptance of its job, which is
// in another topic. Whoever claimed then would forget the end of a run that it
// does not know, and start the task again.
func TestNobodyClaimsWhileAnAcceptanceIsMissingOfWhichThereIsProgress(t *testing.T) {
	s := New(Settings{Instance: "a"}, &partly{}, nil, nil, nil, nil)
	s.directory.Store(&Directory{Version: 1})
	for _, f := range append(slices.Clone(s.acceptances.topics), s.plans) {
		f.readToEndAt, f.healthy, f.isFollowing, f.caughtUp = time.Now(), true, true, true
	}
	if !s.canClaim() {
		t.Fatal("does not claim with nothing missing")
	}
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"running","begun":true}`)})
	if s.canClaim() {
		t.Fatal("claims though an acceptance is missing")
	}
	s.applyJobRecord(Entry{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)})
	if !s.canClaim() {
		t.Fatal("does not claim once it is read")
	}
	// The acceptance of a job that has ended may have been dropped.
	s.applyJobRecord(Entry{Offset: 2, Key: workload.ProgressKey("b"), Value: []byte(`{"state":"completed","begun":true}`)})
	if !s.canClaim() {
		t.Fatal("waits for a job that has ended")
	}
}
