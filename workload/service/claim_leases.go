package service

import (
	"encoding/json"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// What a successor knows of the leases that earlier planners have granted. The proof is in
// docs/design/lease-bounds.md.

// claimLeases is what a claim says of leases. An older version leaves both fields out.
type claimLeases struct {
	// HorizonMS is how long after its last write the holder's leases may last; 0 is unknown.
	HorizonMS int64 `json:"horizon_ms,omitempty"`
	// InheritedMS is how long after the claim the leases of all earlier planners may last. It is
	// only meaningful beside HorizonMS.
	InheritedMS int64 `json:"inherited_ms,omitempty"`
	// RecordsSilent is set if the holder grants nothing to workers that it has recorded as silent.
	RecordsSilent bool `json:"silent,omitempty"`
}

// planReading is a reading of a planner's clock in its heartbeats.
type planReading struct {
	Token   int64 `json:"t"`
	ClockMS int64 `json:"c"`
}

// inheritedLeases is what is known of the leases of earlier planners.
type inheritedLeases struct {
	// horizon is this planner's own; 0 is none, and the time of oldBound is then used throughout.
	horizon time.Duration
	// oldBound is how long the leases of a planner may last after it was succeeded if it may
	// follow the old rules: orders until its authority expires, each with a whole lease.
	oldBound time.Duration
	// beforeCurrentEnd is when the leases of all planners before the current claim must have
	// ended.
	beforeCurrentEnd time.Time
	// unreadable is set if a claim could not be decoded since the current one.
	unreadable bool
	// end is when the leases of all planners before this incarnation's claim must have ended;
	// zero is unknown.
	end time.Time
	// token is that of the current claim; 0 is unknown. reading is the newest of a planner's
	// clock. predecessor is the planner before this incarnation's claim.
	token       int64
	reading     planReading
	predecessor control.Predecessor
}

func newInheritedLeases(bounds control.Bounds) inheritedLeases {
	return inheritedLeases{horizon: bounds.Horizon, oldBound: bounds.AuthorityPeriod + control.LeaseTime(bounds.Lease)}
}

// claimAttempt is a claim that was sent.
type claimAttempt struct {
	end int64
	// reached is a time at which the topic is known to have reached the end, sent when the claim
	// was first sent at that end.
	reached, sent time.Time
}

// beginClaim records an attempt to claim the role. It returns the record, and whether no earlier
// attempt at the same end may have been carried out.
func (s *succession) beginClaim(end int64, reached, now time.Time) (record control.Record, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first = s.attempt.sent.IsZero() || s.attempt.end != end; first {
		s.attempt = claimAttempt{end: end, reached: reached, sent: now}
	}
	inherited := s.leases.oldBound
	if known := s.predecessorLeasesEnd(reached); !known.IsZero() {
		inherited = max(0, known.Sub(now))
	}
	s.self.claimLeases = claimLeases{}
	if s.leases.horizon > 0 {
		s.self.claimLeases = claimLeases{HorizonMS: roundUp(s.leases.horizon), InheritedMS: roundUp(inherited), RecordsSilent: true}
	}
	return s.self.record(), first
}

// forgetAttempt forgets a first attempt that was not carried out and will not be.
func (s *succession) forgetAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt = claimAttempt{}
}

// roundUp returns a duration in milliseconds.
func roundUp(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// predecessorLeasesEnd returns when all leases must have ended if the topic had reached its present
// end at the given time and nobody has written since; zero is unknown. s.mu must be held.
func (s *succession) predecessorLeasesEnd(reached time.Time) time.Time {
	switch {
	case s.leases.horizon == 0 || s.leases.unreadable || reached.IsZero():
		return time.Time{}
	case !s.hasClaim:
		// The topic keeps the newest claim, so nobody has ever held the role.
		return reached
	case s.current.HorizonMS <= 0:
		return time.Time{}
	}
	horizon := time.Duration(s.current.HorizonMS) * time.Millisecond
	return later(reached.Add(control.LeaseTime(horizon)), s.leases.beforeCurrentEnd)
}

// recordLeases updates what is known of leases, given the claim or resignation that follows the
// current claim. s.mu must be held.
func (s *succession) recordLeases(next claim, offset int64, now time.Time) {
	own := next.Incarnation == s.self.Incarnation && !next.Resigned
	s.leases.end, s.leases.predecessor = time.Time{}, control.Predecessor{}
	if own && s.attempt.end == offset {
		s.leases.end = s.predecessorLeasesEnd(s.attempt.reached)
		s.leases.predecessor = s.predecessor(s.attempt.reached)
	}
	if s.endsCurrent(next) {
		return
	}
	s.leases.unreadable, s.leases.token = false, offset+1
	if next.Resigned {
		// Its claim was not read.
		s.leases.token = 0
	}
	s.leases.beforeCurrentEnd = now.Add(time.Duration(next.InheritedMS) * time.Millisecond)
}

// recordUnreadableClaim records a claim that can't be decoded: nothing is known of its holder's
// leases. s.mu must be held.
func (s *succession) recordUnreadableClaim(offset int64) {
	if offset > s.offset {
		s.leases.unreadable = true
	}
}

// inheritedLeasesEnd returns when the leases of all planners before the claim that this incarnation
// holds must have ended; zero is unknown.
func (s *succession) inheritedLeasesEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.end
}

// predecessor returns what a record of silent workers by the holder of the current claim is judged
// by, or zero if that record must not be used. s.mu must be held.
func (s *succession) predecessor(reached time.Time) control.Predecessor {
	if s.leases.horizon == 0 || s.leases.unreadable || reached.IsZero() || !s.hasClaim || !s.current.RecordsSilent {
		return control.Predecessor{}
	}
	p := control.Predecessor{Token: s.leases.token, Reached: reached}
	if s.leases.reading.Token == p.Token {
		p.ClockMS = s.leases.reading.ClockMS
	}
	return p
}

// observeHeartbeat reads the reading of a heartbeat; older versions leave it out. s.mu must be held.
func (s *succession) observeHeartbeat(value []byte) {
	r := planReading{}
	if json.Unmarshal(value, &r) == nil && (r.Token > s.leases.reading.Token || r.Token == s.leases.reading.Token && r.ClockMS > s.leases.reading.ClockMS) {
		s.leases.reading = r
	}
}

// heartbeat returns a heartbeat with a reading of the planner's clock.
func (p *planner) heartbeat() control.Record {
	p.mu.Lock()
	now := p.s.clock.Now()
	r := planReading{Token: p.token, ClockMS: p.core.ClockMS(now)}
	p.heartbeatAt = now
	p.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return control.Record{Key: planHeartbeatKey, Value: value}
}

// readingInterval is how old the newest reading in the log may be while workers are recorded as silent.
// A successor waits for as much longer.
const readingInterval = 500 * time.Millisecond

// withReading adds a heartbeat to the records of a round if a successor could use its reading.
func (p *planner) withReading(records []control.Record) []control.Record {
	p.mu.Lock()
	due := p.core.HasSilentWorkers() && p.s.clock.Since(p.heartbeatAt) >= readingInterval
	p.mu.Unlock()
	if due && len(records) > 0 {
		records = append(records, p.heartbeat())
	}
	return records
}

// heldPredecessor returns the planner before the claim that this incarnation holds.
func (s *succession) heldPredecessor() control.Predecessor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.predecessor
}
