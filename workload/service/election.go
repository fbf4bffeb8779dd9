package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Election of the planner: when an instance may claim the role and when it may start planning.

const (
	// claimTimeout limits a claim. A claim without an answer may still be carried out later.
	claimTimeout = time.Second
	// electionInterval is how often an instance checks whether it can take the planner's role.
	electionInterval = 50 * time.Millisecond
)

// elect claims the planner's role when a claim is due and then plans, until ctx ends.
func (s *Service) elect(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, electionInterval)
		s.tryPlanning(ctx)
	}
}

// tryPlanning plans if this instance holds the planner's role or can claim it now.
func (s *Service) tryPlanning(ctx context.Context) {
	s.roleMu.Lock()
	defer s.roleMu.Unlock()
	if s.leaving.Load() {
		return
	}
	token, held := s.succession.heldToken()
	if !held && s.canClaim() {
		token, held = s.claim(ctx)
	}
	// A claim without an answer may be carried out and read at any later time, so the token
	// alone does not prove that everything before the claim has been read.
	if held && s.caughtUpTo(token) {
		s.runPlanner(ctx, token)
	}
}

// caughtUp reports whether everything that a planner takes over is being followed and has been
// read to its end.
func (s *Service) caughtUp() bool {
	return s.plans.connected() && s.plans.upToDate() && s.acceptances.upToDate() && s.directory.Load() != nil && s.book.IsComplete()
}

// caughtUpTo reports whether everything that was written before the claim with the token has
// been read.
func (s *Service) caughtUpTo(token int64) bool {
	return s.caughtUp() && s.plans.offset() >= token-1
}

func (s *Service) canClaim() bool {
	return s.succession.isClaimDue(s.clock.Now()) && s.caughtUp()
}

// claim claims the planner's role and returns the token. ok is false if the claim failed or was
// not answered.
func (s *Service) claim(ctx context.Context) (token int64, ok bool) {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	end, reached := s.plans.position()
	token, err := s.succession.claim(claimCtx, s.log, end, reached)
	if err != nil {
		s.events.Info(events.ClaimFailed, events.Fields{"cause": err.Error()})
		s.succession.claimFailed(s.clock.Now())
		return 0, false
	}
	s.events.Info(events.ClaimTaken, events.Fields{"token": token})
	return token, true
}
