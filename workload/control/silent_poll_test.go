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

// Guards against 20 polls a second of each held worker while the log is out of reach, and against a
// lease that is extended only at the next poll once the record without the worker is in the log.
func TestHeldWorkerIsPolledSeldomAndAtOnceWhenFree(t *testing.T) {
	s, _ := newSilentScenario(t)
	polls := 0
	poll := func(now time.Time) {
		for _, id := range s.c.WorkersToRenew(now) {
			order, ok := s.c.NextRenewal(id, now)
			if !ok {
				continue
			}
			polls++
			answer := RenewalAnswer{Result: Accepted, ClockMS: s.clockMS(now.Sub(s.began))}
			for i := range 2 {
				answer.Running = append(answer.Running, RunningRow{Task: s.task(i), Run: 1})
			}
			s.c.HandleRenewal(order, answer, now, now)
		}
	}
	for at := 3 * time.Second; at < 6*time.Second; at += 50 * time.Millisecond {
		poll(s.began.Add(at))
	}
	if limit := int(3*time.Second/ackPause) + 1; polls == 0 || polls > limit {
		t.Errorf("%d polls in 3 s, want at most %d", polls, limit)
	}
	polls = 0
	s.recordSilent(6*time.Second, true)
	poll(s.now)
	if polls != 1 {
		t.Errorf("%d polls when the worker is free, want 1", polls)
	}
}
