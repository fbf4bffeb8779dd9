package service

import (
	"context"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// Which instances read the planner's records. Acceptances and progress are the largest part of
// the log; if every instance read them, the bytes read would grow with the load times the
// number of instances, beyond the rate that all reads share. Therefore only a few standbys read
// them, which are current when the planner falls silent; all other instances read only the
// states.
//
// Any number of instances may be lost at once, including the standbys. An instance that has
// seen no sign of a planner for long starts to read as well, in waves that double in size: the
// first wave is as large as the set of standbys, and all instances have started after a few
// planner timeouts, whatever their number.

// standby decides whether this instance reads the planner's records.
type standby struct {
	// count is the number of standbys, plannerTimeout the silence after which a planner is
	// succeeded.
	count          int
	plannerTimeout time.Duration

	mu sync.Mutex
	// rank is this instance's rank among the candidates; negative while it is unknown.
	rank int
	// silentSince is when the last sign of a planner was read or the log was last unreachable.
	silentSince time.Time
	// neededAt is when this instance last had a reason to read.
	neededAt time.Time
}

const (
	// activateAfter is the silence, in planner timeouts, after which instances that are not
	// standbys start to read: by then a standby would have claimed and its first heartbeat been
	// read.
	activateAfter = 2
	// activationWaveInterval is the time between waves, in planner timeouts: the minimum time
	// that a claim takes once everything is read.
	activationWaveInterval = 0.5
	// maxActivationWaves limits the number of waves; instances that don't know their rank are
	// in the last one.
	maxActivationWaves = 8
	// standbyInterval is how often an instance checks whether it should read.
	standbyInterval = 50 * time.Millisecond
	// standbyLinger is how long, in planner timeouts, an instance keeps reading once it is no
	// longer needed, so that it is current when planners are lost one after the other.
	standbyLinger = 4
)

func newStandby(count int, plannerTimeout time.Duration, now time.Time) *standby {
	return &standby{count: count, plannerTimeout: plannerTimeout, rank: -1, silentSince: now}
}

// activationWave returns the wave in which an instance that is not a standby starts to read.
// The first wave has as many instances as there are standbys, and each wave doubles the number
// of readers.
func activationWave(rank, standbys int) int {
	if rank < 0 {
		return maxActivationWaves
	}
	return min(maxActivationWaves, bits.Len(uint(rank/max(1, standbys)))-1)
}

// shouldRead reports whether to read now.
func (s *standby) shouldRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isStandby := s.rank >= 0 && s.rank < s.count
	if isStandby || now.Sub(s.silentSince) > s.activationSilence() {
		s.neededAt = now
	}
	return !s.neededAt.IsZero() && now.Sub(s.neededAt) < standbyLinger*s.plannerTimeout
}

// activationSilence returns the silence after which this instance reads. s.mu must be held.
func (s *standby) activationSilence() time.Duration {
	return time.Duration((activateAfter + activationWaveInterval*float64(activationWave(s.rank, s.count))) * float64(s.plannerTimeout))
}

// resetSilence restarts the planner's silence, after a sign of it or while the log is not
// reachable.
func (s *standby) resetSilence(now time.Time) {
	s.mu.Lock()
	s.silentSince = now
	s.mu.Unlock()
}

// silenceStart returns the start of the planner's silence.
func (s *standby) silenceStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentSince
}

func (s *standby) setRank(rank int) {
	s.mu.Lock()
	s.rank = rank
	s.mu.Unlock()
}

// plannerSilentSince returns the start of the planner's silence for an instance that has just
// read the plans. If the instance started to read because the states, which it could read all
// the while, showed no heartbeat, the silence counts from the last one.
func (s *Service) plannerSilentSince(now time.Time) time.Time {
	start := s.standby.silenceStart()
	if s.states.connected() && now.Sub(start) > activateAfter*s.settings.PlannerTimeout {
		return start
	}
	return now
}

// runStandby reads acceptances and progress while that is needed.
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
			// Silence counts only while a heartbeat could be read.
			s.standby.resetSilence(now)
		}
		needed := s.standby.shouldRead(now)
		switch {
		case needed && stop == nil:
			stop = s.followPlans(ctx)
		case !needed && stop != nil && s.roleMu.TryLock():
			stop()
			stop = nil
			s.book.DropDetails()
			s.planState.clear()
			s.events.Info(events.DetailsDropped, events.Fields{})
			s.roleMu.Unlock()
		}
		sleep(ctx, standbyInterval)
	}
}

// followPlans starts to follow the topics that a planner needs, and returns a function that
// stops it.
func (s *Service) followPlans(ctx context.Context) func() {
	s.events.Info(events.StandbyBegins, events.Fields{"silent_ms": s.clock.Since(s.standby.silenceStart()).Milliseconds()})
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

// planningTopics returns the followers of the topics that only a planner and its standbys read.
func (s *Service) planningTopics() []*follower {
	return append(slices.Clone(s.acceptances.topics), s.plans)
}
