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

// claim is the record by which an instance takes the planner's role. The fencing token is
// derived from its offset.
type claim struct {
	// Holder is the instance; Incarnation distinguishes its incarnations from each other and
	// from those of other instances.
	Holder      string `json:"holder"`
	Incarnation int64  `json:"life"`
	// Resigned is set when the holder has given up the role.
	Resigned bool `json:"left,omitempty"`
	// Ends is the token of the claim that a resignation ends; 0 is unknown. An incarnation may
	// claim several times, with other planners in between.
	Ends int64 `json:"ends,omitempty"`
	claimLeases
}

// succession follows the planner's records and decides when to claim the role.
type succession struct {
	mu             sync.Mutex
	self           claim
	plannerTimeout time.Duration
	clock          clock.Clock
	current        claim
	offset         int64
	hasClaim       bool
	// claimSentAt is when the claim at the offset was first sent, if this incarnation sent it
	// and received the answer.
	claimSentAt time.Time
	// attempt is the last claim that this incarnation has sent; leases is what is known of the
	// leases of the planners that have held the role.
	attempt claimAttempt
	leases  inheritedLeases
	// authority is how long a planner gives orders after its last write.
	authority time.Duration
	// claimReadAt is when the current claim was first read. ordersEndedAt is the time after
	// which no planner gives orders, if the last one has resigned. inheritedOrdersEndedAt is
	// the value that ordersEndedAt had right before the current claim. Zero means unknown.
	claimReadAt, ordersEndedAt, inheritedOrdersEndedAt time.Time
	// silentSince is when the last record arrived or the connection was restored.
	silentSince time.Time
	// abandonedOffset is the offset of an abandoned claim of this incarnation. Its token must
	// not be used again: the log would take new appends for repetitions.
	abandonedOffset int64
	// turn is this instance's position among the candidates; 0 claims first.
	turn int
	// notBefore is the earliest time of the next claim after a failed one.
	notBefore time.Time
}

// claimRetryPause is the pause after a failed claim; by its end the topic has been read again.
const claimRetryPause = 400 * time.Millisecond

// claimFailed delays the next claim.
func (s *succession) claimFailed(now time.Time) {
	s.mu.Lock()
	s.notBefore = now.Add(claimRetryPause)
	s.mu.Unlock()
}

// firstSeq returns the first sequence number of this incarnation. It differs between
// incarnations, so that the log never takes the claim of one for a repetition of another's.
func (s *succession) firstSeq() int64 { return s.self.Incarnation%seqSpace + 1 }

const seqSpace = 1 << 40

// newIncarnation returns a random number for an incarnation. The time of day would not do,
// since it can be set back and two incarnations may start at the same time: with equal numbers
// the log would take the claim of the second for a repetition of the first's, and both would
// plan.
func newIncarnation() int64 { return 1 + rand.Int64N(math.MaxInt64-1) }

func newSuccession(holder string, incarnation int64, plannerTimeout time.Duration, ages clock.Clock) *succession {
	return &succession{self: claim{Holder: holder, Incarnation: incarnation}, plannerTimeout: plannerTimeout, clock: ages, silentSince: ages.Now(), offset: -1, abandonedOffset: -1}
}

// observe processes a record of the plans topic.
func (s *succession) observe(e Entry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentSince = now
	if e.Key == planHeartbeatKey {
		s.observeHeartbeat(e.Value)
	}
	if e.Key != claimKey || e.Offset < s.offset {
		return
	}
	next := claim{}
	if json.Unmarshal(e.Value, &next) != nil {
		s.recordUnreadableClaim(e.Offset)
		return
	}
	if e.Offset > s.offset {
		s.claimSentAt = time.Time{}
		s.recordLeases(next, e.Offset, now)
		s.recordSuccessor(next, now)
	}
	s.current = next
	s.offset = e.Offset
	s.hasClaim = true
}

// recordSuccessor updates when orders end, given the record that follows the current claim.
// Before a planner that resigns there may have been another one, which gave orders until its
// authority expired.
func (s *succession) recordSuccessor(next claim, now time.Time) {
	if !next.Resigned {
		s.claimReadAt, s.inheritedOrdersEndedAt, s.ordersEndedAt = now, s.ordersEndedAt, time.Time{}
		return
	}
	s.ordersEndedAt = time.Time{}
	if s.endsCurrent(next) {
		s.ordersEndedAt = later(now, s.claimReadAt.Add(s.authority))
	}
}

// endsCurrent reports whether a record is the resignation that ends the current claim. Older versions
// do not name the claim; it counts as not read then. s.mu must be held.
func (s *succession) endsCurrent(next claim) bool {
	return next.Resigned && s.hasClaim && !s.current.Resigned && s.current.Incarnation == next.Incarnation && next.Ends == s.offset+1
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ordersEnded returns the time after which no earlier planner gives orders, as known from the
// claim that this incarnation holds; zero means unknown.
func (s *succession) ordersEnded() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimSentAt.IsZero() {
		return time.Time{}
	}
	return s.inheritedOrdersEndedAt
}

// resetSilence restarts the wait: silence counts only while records could be read.
func (s *succession) resetSilence(now time.Time) {
	s.mu.Lock()
	s.silentSince = now
	s.mu.Unlock()
}

// heldToken returns the fencing token of the current claim and reports whether this incarnation
// holds that claim.
func (s *succession) heldToken() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offset + 1, s.holdsClaim() && s.abandonedOffset != s.offset
}

func (s *succession) holdsClaim() bool {
	return s.hasClaim && !s.current.Resigned && s.current.Holder == s.self.Holder && s.current.Incarnation == s.self.Incarnation
}

// abandon gives up the claim with the token.
func (s *succession) abandon(token int64) {
	s.mu.Lock()
	s.abandonedOffset = max(s.abandonedOffset, token-1)
	s.mu.Unlock()
}

// isClaimDue reports whether to claim the role: at once if this incarnation has abandoned the
// current claim or an earlier incarnation of this instance holds it, in turn if the holder has
// resigned, and else in turn once the planner has been silent for the planner timeout. The
// turns keep the instances from claiming all together.
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

// turnsPerTimeout is the number of turns in one planner timeout. It spaces the turns far enough
// that the claim of one candidate is read before the next one's is due.
const turnsPerTimeout = 16

// setTurn sets this instance's position among the candidates. Candidates far behind share a
// turn, so that none waits for more than two planner timeouts.
func (s *succession) setTurn(turn int) {
	s.mu.Lock()
	s.turn = min(turn, turnsPerTimeout)
	s.mu.Unlock()
}

// record encodes the claim as a record.
func (c claim) record() control.Record {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return control.Record{Key: claimKey, Value: value}
}

// claim claims the role at the end of the topic as this instance has read it; the topic is known to
// have reached that end at the given time. If several instances claim at the same end, the log
// accepts one of them.
func (s *succession) claim(ctx context.Context, log Log, end int64, reached time.Time) (int64, error) {
	token := end + 1
	record, first := s.beginClaim(end, reached, s.clock.Now())
	_, err := log.Append(ctx, Plans, []control.Record{record}, &Writer{Epoch: token, Seq: s.firstSeq(), ExpectedEnd: end})
	if err != nil {
		if first && errors.Is(err, ErrNotDone) {
			s.forgetAttempt()
		}
		return 0, err
	}
	s.observe(Entry{Offset: end, Key: claimKey, Value: record.Value}, s.clock.Now())
	s.recordClaimSent(end)
	return token, nil
}

// recordClaimSent records when the claim at an offset was first sent. If it was sent several times,
// the first may be the one that was carried out, and a successor may have read it since.
func (s *succession) recordClaimSent(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.offset == offset {
		s.claimSentAt = s.attempt.sent
	}
}

// claimSent returns when the claim that this incarnation holds was first sent. It is zero if the
// claim was not answered, since it is then unknown when it was carried out.
func (s *succession) claimSent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claimSentAt
}

// isFenced reports whether an error means that another planner has written.
func isFenced(err error) bool { return errors.Is(err, ErrFenced) || errors.Is(err, ErrUnexpectedEnd) }
