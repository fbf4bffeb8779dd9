package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// How an instance comes to the planner's role: when it may claim it, and when it may begin.

const (
	// claimTimeout bounds a claim; one without an answer may be carried out later.
	claimTimeout = time.Second
	// electEvery is how often it is looked whether the role can be had.
	electionInterval = 50 * time.Millisecond
)

// elect claims the planner's role when it is due, and plays it.
func (s *Service) elect(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, electionInterval)
		s.tryPlanning(ctx)
	}
}

// tryRole plays the planner's role if this instance has it, or can claim it now.
func (s *Service) tryPlanning(ctx context.Context) {
	s.roleMu.Lock()
	defer s.roleMu.Unlock()
	if s.leaving.Load() {
		return
	}
	token, mine := s.succession.heldToken()
	if !mine && s.canClaim() {
		token, mine = s.claim(ctx)
	}
	// A claim that had no answer may be carried out, and be read, at any later time.
	if mine && s.caughtUpTo(token) {
		s.runPlanner(ctx, token)
	}
}

// current tells whether all that a planner takes over is followed and was read to its end.
func (s *Service) caughtUp() bool {
	return s.plans.connected() && s.plans.upToDate() && s.acceptances.upToDate() && s.directory.Load() != nil && s.book.Complete()
}

// readFor tells whether all that was written before the claim with a token is known here.
func (s *Service) caughtUpTo(token int64) bool {
	return s.caughtUp() && s.plans.offset() >= token-1
}

func (s *Service) canClaim() bool {
	return s.succession.isClaimDue(s.clock.Now()) && s.caughtUp()
}

// claim claims the planner's role and returns the token; ok is false where the claim failed
// or had no answer.
func (s *Service) claim(ctx context.Context) (token int64, ok bool) {
	attempt, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	token, err := s.succession.claim(attempt, s.log, s.plans.offset())
	if err != nil {
		s.events.Info(events.ClaimFailed, events.Fields{"cause": err.Error()})
		s.succession.claimFailed(s.clock.Now())
		return 0, false
	}
	s.events.Info(events.ClaimTaken, events.Fields{"token": token})
	return token, true
}
