package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/workload/control"
)

// memoryLog is a log in memory that enforces the fencing that succession relies on.
type memoryLog struct {
	records []Entry
	epoch   int64
	seq     int64
	appends map[int64]int64
}

func (m *memoryLog) Append(_ context.Context, _ Topic, records []control.Record, w *Writer) (int64, error) {
	end := int64(len(m.records))
	if w != nil {
		if w.ExpectedEnd >= 0 && w.ExpectedEnd != end {
			return 0, ErrUnexpectedEnd
		}
		if first, repeated := m.appends[w.Seq]; repeated && w.Epoch == m.epoch {
			return first, nil
		}
		if w.Epoch < m.epoch || (w.Epoch == m.epoch && w.Seq != m.seq+1) {
			return 0, ErrFenced
		}
		if w.Epoch > m.epoch || m.appends == nil {
			m.appends = map[int64]int64{}
		}
		m.epoch, m.seq = w.Epoch, w.Seq
		m.appends[w.Seq] = end
	}
	for i, r := range records {
		m.records = append(m.records, Entry{Offset: end + int64(i), Key: r.Key, Value: r.Value})
	}
	return end, nil
}

func (m *memoryLog) Read(context.Context, Topic, int64, time.Duration) (Page, error) {
	return Page{}, errors.New("not used")
}

func (m *memoryLog) Probe(context.Context, Topic) error { return errors.New("not used") }

func (m *memoryLog) Newest(context.Context, Topic, string) (NewestPage, error) {
	return NewestPage{}, errors.New("not used")
}

// replayTo passes all records to the successions.
func (m *memoryLog) replayTo(list ...*succession) {
	for _, s := range list {
		for _, e := range m.records {
			s.observe(e, time.Now())
		}
	}
}

const testPlannerTimeout = 2 * time.Second

// Guards against two planners after concurrent claims.
func TestOnlyOneOfSeveralClaimsAtOneOffsetSucceeds(t *testing.T) {
	log := &memoryLog{}
	won := 0
	for i := range int64(5) {
		s := newSuccession("edge", i+1, testPlannerTimeout, nil)
		if _, err := s.claim(context.Background(), log, 0, time.Time{}); err == nil {
			won++
		}
	}
	if won != 1 {
		t.Fatalf("%d instances hold the claim", won)
	}
}

// Guards against the reuse of an abandoned claim's token, for which the log would take new appends
// for repetitions.
func TestAbandonedClaimIsNotReused(t *testing.T) {
	log := &memoryLog{}
	s := newSuccession("edge", 1, testPlannerTimeout, nil)
	token, err := s.claim(context.Background(), log, 0, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	s.abandon(token)
	if _, held := s.heldToken(); held {
		t.Fatal("the token of an abandoned claim is still held")
	}
	if !s.isClaimDue(time.Now()) {
		t.Fatal("no new claim is due after the claim was abandoned")
	}
	next, err := s.claim(context.Background(), log, 1, time.Time{})
	if err != nil || next <= token {
		t.Fatalf("the second claim returned token %d after %d, error %v", next, token, err)
	}
}

// Guards against a claim while the planner is active, and against a role that stays vacant after
// the planner's silence or resignation.
func TestRoleIsClaimedAfterSilenceAndSoonAfterAResignation(t *testing.T) {
	log := &memoryLog{}
	first, second := newSuccession("a", 1, testPlannerTimeout, nil), newSuccession("b", 2, testPlannerTimeout, nil)
	if _, err := first.claim(context.Background(), log, 0, time.Time{}); err != nil {
		t.Fatal(err)
	}
	log.replayTo(second)
	now := time.Now()
	if second.isClaimDue(now) {
		t.Fatal("a claim is due although the planner has just written")
	}
	if !second.isClaimDue(now.Add(2 * testPlannerTimeout)) {
		t.Fatal("no claim is due after a silence")
	}
	resigned := first.self
	resigned.Resigned = true
	log.records = append(log.records, Entry{Offset: 1, Key: claimKey, Value: resigned.record().Value})
	log.replayTo(second)
	if !second.isClaimDue(time.Now().Add(testPlannerTimeout / 2)) {
		t.Fatal("no claim is due although the planner has resigned")
	}
}

// Guards against a restarted instance that takes its earlier incarnation's claim for its own, or
// waits for that incarnation to be silent.
func TestInstanceSucceedsItsEarlierIncarnationAtOnce(t *testing.T) {
	log := &memoryLog{}
	first, restarted := newSuccession("a", 1, testPlannerTimeout, nil), newSuccession("a", 2, testPlannerTimeout, nil)
	if _, err := first.claim(context.Background(), log, 0, time.Time{}); err != nil {
		t.Fatal(err)
	}
	log.replayTo(restarted)
	if _, held := restarted.heldToken(); held {
		t.Fatal("holds the claim of an earlier incarnation")
	}
	if !restarted.isClaimDue(time.Now()) {
		t.Fatal("no claim is due although an earlier incarnation holds the role")
	}
}

// Guards against a claim right after a disconnection, during which the planner's records could not
// be read.
func TestSilenceCountsOnlyWhileTheLogIsReachable(t *testing.T) {
	s := newSuccession("a", 1, testPlannerTimeout, nil)
	later := time.Now().Add(10 * testPlannerTimeout)
	s.resetSilence(later)
	if s.isClaimDue(later.Add(testPlannerTimeout / 2)) {
		t.Fatal("a claim is due right after the connection was restored")
	}
}

// Guards against weak instances that take the role before more powerful ones.
func TestMorePowerfulInstancesClaimFirst(t *testing.T) {
	rank := -1
	m := &members{self: "b", own: member{EffectiveCores: 0.4}, others: map[string]member{}, changed: func(_ []string, r int) { rank = r }}
	for name, power := range map[string]string{"a": "0.2", "c": "0.8", "d": "0.8", "e": "0.1"} {
		m.apply(Entry{Key: name, Value: []byte(`{"address":"x","power":` + power + `}`)})
	}
	m.notifyChanged()
	if rank != 2 {
		t.Fatalf("rank %d, want 2", rank)
	}
	strong, weak := newSuccession("a", 1, testPlannerTimeout, nil), newSuccession("b", 2, testPlannerTimeout, nil)
	weak.setTurn(rank)
	when := time.Now().Add(testPlannerTimeout + testPlannerTimeout/turnsPerTimeout)
	if !strong.isClaimDue(when) || weak.isClaimDue(when) {
		t.Fatal("the weak instance claims as early as the powerful one")
	}
}

// Guards against two planners when instances start at the same time by their clocks. An instance
// derives the sequence numbers of its appends from its incarnation, which was the time of its
// start: two instances claimed the role at the same end of the log with the same token and the
// same sequence number, so the log took the second claim for a repetition of the first and
// accepted it. Both planned from then on, and 58 tasks ran twice. The logs of both showed it:
//
//	-9.9988 started (both)
//	-4.9353 unit-started 0:1@...6ae9 token 1
//	-4.9293 unit-started 0:1@...9bc4 token 1
//	-4.8193 strange-run run=1 token 1
func TestInstancesStartedAtTheSameTimeDoNotShareAClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 3, 20)
		defer p.stopAll()
		log := newSharedLog(1 << 20)
		won := 0
		for _, instance := range p.instances {
			if _, err := instance.succession.claim(context.Background(), log, 0, time.Time{}); err == nil {
				won++
			}
		}
		if won != 1 {
			t.Fatalf("%d instances hold the claim", won)
		}
	})
}
