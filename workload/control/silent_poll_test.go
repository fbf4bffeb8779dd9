package control

import (
	"testing"
	"time"
)

// Guards against a write, and a hold on the worker, for each lost answer: a long poll without an
// answer must not count as old by the time that it would have waited.
func TestSingleUnansweredPollIsNotRecorded(t *testing.T) {
	s := newHorizonScenario(t)
	s.renewAt(t, 500*time.Millisecond, true)
	s.renewAt(t, 600*time.Millisecond, true)
	sent := s.began.Add(time.Second)
	order, _ := s.c.NextRenewal("w0", sent)
	if order.Wait == 0 {
		t.Fatal("the renewal is no long poll")
	}
	ended := order.Wait + 1700*time.Millisecond
	s.c.HandleRenewal(order, RenewalAnswer{Result: Unanswered}, sent, s.began.Add(ended))
	if _, written := s.recordSilent(ended+10*time.Millisecond, true); written {
		t.Error("one unanswered poll is recorded before its repetition could be answered")
	}
	if _, written := s.recordSilent(order.Wait+time.Second+silentRecordDelay, true); !written {
		t.Error("a worker that stays silent is not recorded")
	}
}
