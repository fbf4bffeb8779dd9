package service

import (
	"context"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Who reads what the planner writes. Acceptances and progress are most of what the
// log holds; if every instance read them, the bytes would grow with work times instances, beyond
// the rate that all reads share. So a few standbys read them, which are
// current when the planner falls silent, and all others read the states alone.
//
// Any number of instances may be lost at once, the standbys among them. Whoever has
// heard no planner for long reads as well, in waves that double: the first are as
// many as the standbys, and all have begun after a few patiences, whatever the number
// of instances.

// standby says whether this instance reads what the planner writes.
type standby struct {
	// most is the number of standbys, patience the silence of a planner after which
	// it is succeeded.
	count          int
	plannerTimeout time.Duration

	mu sync.Mutex
	// place is this instance's among the candidates; below 0 it is not known yet.
	rank int
	// quiet is when the planner was heard last, or the log was regained.
	heardAt time.Time
	// wanted is when reading was last worth it.
	neededAt time.Time
}

const (
	// wakeAfter is the silence, in patiences, after which instances that don't stand
	// by begin to read: a standby would have claimed by then, and its first sign be read.
	activateAfter = 2
	// wakeWave is the time between waves, in patiences: what claiming takes at the
	// least once all is read.
	activationWaveInterval = 0.5
	// wakeWaves bounds the waves; those that don't know their place are in the last.
	maxActivationWaves = 8
	// standbyEvery is how often it is looked at.
	standbyInterval = 50 * time.Millisecond
	// standbyRest is how many patiences an instance that was needed reads on once it
	// is not: planners that are lost one after the other find it current.
	standbyLinger = 4
)

func newStandby(most int, patience time.Duration, now time.Time) *standby {
	return &standby{count: most, plannerTimeout: patience, rank: -1, heardAt: now}
}

// wave is the place of an instance's turn among those that don't stand by: the
// first standbys' number is in the first, and each wave doubles what reads.
func activationWave(place, standbys int) int {
	if place < 0 {
		return maxActivationWaves
	}
	return min(maxActivationWaves, bits.Len(uint(place/max(1, standbys)))-1)
}

// wants tells whether to read now.
func (s *standby) shouldRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands := s.rank >= 0 && s.rank < s.count
	if stands || now.Sub(s.heardAt) > s.activationSilence() {
		s.neededAt = now
	}
	return !s.neededAt.IsZero() && now.Sub(s.neededAt) < standbyLinger*s.plannerTimeout
}

// wakes is the silence after which this instance reads; s.mu is held.
func (s *standby) activationSilence() time.Duration {
	return time.Duration((activateAfter + activationWaveInterval*float64(activationWave(s.rank, s.count))) * float64(s.plannerTimeout))
}

// heard notes a sign of the planner.
func (s *standby) recordHeard(now time.Time) {
	s.mu.Lock()
	s.heardAt = now
	s.mu.Unlock()
}

// lastHeard is when the planner was heard last.
func (s *standby) lastHeard() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt
}

func (s *standby) setRank(place int) {
	s.mu.Lock()
	s.rank = place
	s.mu.Unlock()
}

// silentSince is from when on an instance that has just read the plans counts their
// silence: one that woke because no planner was heard among the states, which it
// could read all the while, goes on from there.
func (s *Service) plannerSilentSince(now time.Time) time.Time {
	heard := s.standby.lastHeard()
	if s.states.connected() && now.Sub(heard) > activateAfter*s.settings.Patience {
		return heard
	}
	return now
}

// standBy reads acceptances and progress while that is worth it.
func (s *Service) runStandby(ctx context.Context) {
	var stop func()
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for ctx.Err() == nil {
		now := s.clock.Now()
		if !s.isLogReachable() {
			// Silence counts only while it could be broken.
			s.standby.recordHeard(now)
		}
		wants := s.standby.shouldRead(now)
		switch {
		case wants && stop == nil:
			stop = s.followPlans(ctx)
		case !wants && stop != nil && s.roleMu.TryLock():
			stop()
			stop = nil
			s.book.Shed()
			s.events.Info(events.BookShed, events.Fields{})
			s.roleMu.Unlock()
		}
		sleep(ctx, standbyInterval)
	}
}

// readPlans begins to follow what the planner and those who accept write, and
// returns what ends it.
func (s *Service) followPlans(ctx context.Context) func() {
	s.events.Info(events.StandbyBegins, events.Fields{"silent_ms": s.clock.Since(s.standby.lastHeard()).Milliseconds()})
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, f := range s.planningTopics() {
		f.setFollowing(true)
		group.Go(func() { f.run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
		for _, f := range s.planningTopics() {
			f.setFollowing(false)
		}
		s.events.Info(events.StandbyEnds, events.Fields{})
	}
}

// plannersOwn are the topics that only a planner and its standbys follow.
func (s *Service) planningTopics() []*follower {
	return append(slices.Clone(s.acceptances.topics), s.plans)
}
