package service

import (
	"context"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// Configured refuses where this instance does not know the configuration in
// force. With it alone an instance accepts jobs, whose records are idempotent:
// one that comes back reads the configuration long before all jobs.
func (s *Service) Configured() error {
	if s.directory.Load() == nil {
		return domain.Refuse(domain.ReasonNotReady, "", "no configuration has been read yet", "come back later").After(time.Second)
	}
	now := s.clock.Now()
	age := s.declarations.age(now)
	youngest := min(s.acceptances.minAge(now), s.statesAge(now))
	if age < s.settings.Stale || s.isRecent(age, youngest) {
		return nil
	}
	return logUnreachable()
}

// Current refuses where this instance has not read the log for too long.
func (s *Service) CheckCurrent() error {
	if err := s.Configured(); err != nil {
		return err
	}
	now := s.clock.Now()
	if s.isRecent(s.statesAge(now), s.declarations.age(now)) {
		return nil
	}
	return logUnreachable()
}

// reachedWithin is how long ago the log was read last at the most where it
// answers: the time from one read to the next, and the way.
const reachableWithin = statesReadInterval + 2*transitSlack

// reaches tells whether the log answers here. An instance that it does not answer
// can still tell what it knows, but accepts nothing: new callers do better
// elsewhere. Callers in a data centre that is cut off are led to others about a
// second sooner than by the age at which nothing is answered any more; they wait
// for three.
func (s *Service) isLogReachable() bool {
	now := s.clock.Now()
	return min(s.states.age(now), s.acceptances.minAge(now), s.plans.age(now), s.declarations.age(now)) < reachableWithin
}

func logUnreachable() error {
	return domain.Refuse(domain.ReasonLogUnavailable, "", "this instance is cut off from the log", "try another instance, or come back later").After(time.Second)
}

// recent tells whether what was read can be acted on, given the ages of several
// topics: none is stale, or one is while the log serves another. Then a part of
// the log is down for all, and the topic has no news that anyone was told of.
func (s *Service) isRecent(ages ...time.Duration) bool {
	oldest, youngest := slices.Max(ages), slices.Min(ages)
	if oldest < s.settings.Stale {
		return true
	}
	return youngest < s.settings.Stale && oldest < s.settings.Stale+s.settings.Stretch
}

// statesAge is the age of what callers are told. A planner knows it first, for as long as
// its writes show that it is one: one that wakes after a suspension or a freeze may have
// been succeeded.
func (s *Service) statesAge(now time.Time) time.Duration {
	if wrote := s.lastPlanWrite.Load(); s.planning.Load() && wrote != nil && !wrote.IsZero() {
		return now.Sub(*wrote)
	}
	return s.states.age(now)
}

// lookForJob reads the acceptances where the job would be to their end, so that one
// that is not known then was not accepted before. What was read until then can't tell:
// another instance may have accepted the job since.
func (s *Service) catchUpForJob(ctx context.Context, id workload.JobID) error {
	if !s.states.everRead() {
		// What has been read is a part, and says nothing of a job that is not in it.
		return logUnreachable()
	}
	if s.acceptances.catchUp(ctx, id) != nil {
		return logUnreachable()
	}
	return nil
}
