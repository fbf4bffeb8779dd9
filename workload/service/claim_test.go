package service

import (
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// The progress of a job may be read before its acceptance, which is in another topic. An
// instance that claimed the role then would lose the end of a run that it does not know, and
// start the task again.
func TestNoClaimWhileAnAcceptanceIsMissingForKnownProgress(t *testing.T) {
	s := New(Settings{Instance: "a"}, &partialLog{}, nil, nil, nil, nil)
	s.directory.Store(&Directory{Version: 1})
	for _, f := range append(slices.Clone(s.acceptances.topics), s.plans) {
		f.readToEndAt, f.healthy, f.isFollowing, f.caughtUp = time.Now(), true, true, true
	}
	if !s.canClaim() {
		t.Fatal("can't claim although nothing is missing")
	}
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey("a"), Value: []byte(`{"state":"running","begun":true}`)})
	if s.canClaim() {
		t.Fatal("can claim although an acceptance is missing")
	}
	s.applyJobRecord(Entry{Offset: 0, Key: workload.AcceptedKey("a"), Value: []byte(`{"id":"a","queue":"q"}`)})
	if !s.canClaim() {
		t.Fatal("can't claim after the acceptance was read")
	}
	// The acceptance of an ended job may have been dropped.
	s.applyJobRecord(Entry{Offset: 2, Key: workload.ProgressKey("b"), Value: []byte(`{"state":"completed","begun":true}`)})
	if !s.canClaim() {
		t.Fatal("waits for the acceptance of an ended job")
	}
}
