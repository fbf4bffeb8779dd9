package service

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/internal/clock"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Keys of the planner's own records.
const (
	claimKey         = "planner"
	planHeartbeatKey = "sign"
)

// claim is the record by which an instance takes the planner's role. The
// offset at which it stands makes the fencing token.
type claim struct {
	// Holder is the instance; Life tells its lives, and those of others, apart.
	Holder      string `json:"holder"`
	Incarnation int64  `json:"life"`
	// Left tells that the holder has given the role up.
	Resigned bool `json:"left,omitempty"`
}

// succession watches the planner's records and says when to claim the role.
type succession struct {
	mu             sync.Mutex
	self           claim
	plannerTimeout time.Duration
	clock          clock.Clock
	current        claim
	offset         int64
	hasClaim       bool
	// sent is when the claim at the offset was sent, where it is this life's and was answered.
	claimSentAt time.Time
	// authority is how long a planner gives orders after its last write.
	authority time.Duration
	// claimedAt is when the standing claim was read first. endedAt is from when on nobody gives
	// orders, where the last planner has resigned, and inheritedAt what that was at the claim
	// that followed; zero is unknown.
	claimReadAt, ordersEndedAt, inheritedOrdersEndedAt time.Time
	// quiet is when the last record came, or the connection was regained.
	silentSince time.Time
	// spent is the offset of a claim of this life that was given up. Its token
	// must not be used again: the log would take new appends for repetitions.
	abandonedOffset int64
	// turn is this instance's place among the candidates; 0 claims first.
	turn int
	// notBefore delays the next claim after one that failed.
	notBefore time.Time
}

// claimRest is the pause after a claim that failed; by then the topic has been
// read again.
const claimRetryPause = 400 * time.Millisecond

// failed delays the next claim.
func (s *succession) claimFailed(now time.Time) {
	s.mu.Lock()
	s.notBefore = now.Add(claimRetryPause)
	s.mu.Unlock()
}

// firstSeq starts the sequence of a life's appends. It differs between lives,
// so that the log never takes the claim of one for a repetition of another's.
func (s *succession) firstSeq() int64 { return s.self.Incarnation%seqSpace + 1 }

const seqSpace = 1 << 40

// drawLife returns a number for a life of an instance. It is drawn, since two lives may begin
// at one time of day, which is set back and forth: with one number the log would take the claim
// of the second for a repetition of the first's, and both would plan.
func newIncarnation() int64 { return 1 + rand.Int64N(math.MaxInt64-1) }

func newSuccession(holder string, life int64, patience time.Duration, ages clock.Clock) *succession {
	return &succession{self: claim{Holder: holder, Incarnation: life}, plannerTimeout: patience, clock: ages, silentSince: ages.Now(), offset: -1, abandonedOffset: -1}
}

// observe takes a record of the planner's topic.
func (s *succession) observe(e Entry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentSince = now
	if e.Key != claimKey || e.Offset < s.offset {
		return
	}
	next := claim{}
	if json.Unmarshal(e.Value, &next) != nil {
		return
	}
	if e.Offset > s.offset {
		s.claimSentAt = time.Time{}
		s.recordSuccessor(next, now)
	}
	s.current = next
	s.offset = e.Offset
	s.hasClaim = true
}

// follow notes when orders end, with the record that follows the current one. Before a planner
// that resigns there may have been another one, which gave orders until its authority was over.
func (s *succession) recordSuccessor(next claim, now time.Time) {
	if !next.Resigned {
		s.claimReadAt, s.inheritedOrdersEndedAt, s.ordersEndedAt = now, s.ordersEndedAt, time.Time{}
		return
	}
	s.ordersEndedAt = time.Time{}
	if s.hasClaim && !s.current.Resigned && s.current.Incarnation == next.Incarnation {
		s.ordersEndedAt = later(now, s.claimReadAt.Add(s.authority))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ordersEnded is from when on no earlier planner gives orders, as far as the claim that this life
// holds tells; zero is unknown.
func (s *succession) ordersEnded() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimSentAt.IsZero() {
		return time.Time{}
	}
	return s.inheritedOrdersEndedAt
}

// regained starts the wait anew: silence counts only while it could be broken.
func (s *succession) resetSilence(now time.Time) {
	s.mu.Lock()
	s.silentSince = now
	s.mu.Unlock()
}

// mine returns the token if this life holds the claim.
func (s *succession) heldToken() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offset + 1, s.holdsClaim() && s.abandonedOffset != s.offset
}

func (s *succession) holdsClaim() bool {
	return s.hasClaim && !s.current.Resigned && s.current.Holder == s.self.Holder && s.current.Incarnation == s.self.Incarnation
}

// spend gives the claim with the token up.
func (s *succession) abandon(token int64) {
	s.mu.Lock()
	s.abandonedOffset = max(s.abandonedOffset, token-1)
	s.mu.Unlock()
}

// due tells whether to claim: at once where the holder has left, or was an
// earlier life of this instance; else after a silence that is longer for some
// instances than for others, so that they do not all claim together.
func (s *succession) isClaimDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.notBefore) {
		return false
	}
	if s.holdsClaim() && s.abandonedOffset == s.offset {
		return true
	}
	turn := time.Duration(s.turn) * s.plannerTimeout / turnsPerTimeout
	if s.hasClaim && s.current.Holder == s.self.Holder && s.current.Incarnation != s.self.Incarnation {
		return true
	}
	if s.hasClaim && s.current.Resigned {
		return now.Sub(s.silentSince) > turn/2
	}
	return now.Sub(s.silentSince) > s.plannerTimeout+turn
}

// turnsInPatience is how many turns pass in one patience: turns are far enough
// apart that the claim of one candidate is read before the next one's is due.
const turnsPerTimeout = 16

// setTurn gives this instance its place among the candidates. Those far behind
// share a turn: nobody waits for more than two patiences.
func (s *succession) setTurn(turn int) {
	s.mu.Lock()
	s.turn = min(turn, turnsPerTimeout)
	s.mu.Unlock()
}

// record writes the claim as a record.
func (c claim) record() control.Record {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return control.Record{Key: claimKey, Value: value}
}

// take claims the role for the topic's end as this instance knows it. Of
// several instances that claim at one end the log lets one succeed.
func (s *succession) claim(ctx context.Context, log Log, end int64) (int64, error) {
	token := end + 1
	sent := s.clock.Now()
	_, err := log.Append(ctx, Plans, []control.Record{s.self.record()}, &Writer{Epoch: token, Seq: s.firstSeq(), Expect: end})
	if err != nil {
		return 0, err
	}
	s.observe(Entry{Offset: end, Key: claimKey, Value: s.self.record().Value}, s.clock.Now())
	s.recordClaimSent(end, sent)
	return token, nil
}

// answered notes when the claim at an offset was sent.
func (s *succession) recordClaimSent(offset int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.offset == offset {
		s.claimSentAt = sent
	}
}

// claimed is when the claim that this life holds was sent; zero where it had no answer, so
// that nothing tells how long ago it was carried out.
func (s *succession) claimSent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claimSentAt
}

// fenced tells whether an error means that another planner has written.
func isFenced(err error) bool { return errors.Is(err, ErrFenced) || errors.Is(err, ErrMoved) }
