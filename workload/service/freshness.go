package service

import (
	"context"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// CheckConfigured returns a refusal if this instance does not know the configuration in force. A
// current configuration is enough to accept jobs, since their records are idempotent, and a
// restarted instance reads it long before all jobs.
func (s *Service) CheckConfigured() error {
	if s.directory.Load() == nil {
		return domain.Refuse(domain.ReasonNotReady, "", "no configuration has been read yet", "come back later")
	}
	now := s.clock.Now()
	age := s.declarations.age(now)
	youngest := min(s.acceptances.minAge(now), s.statesAge(now))
	if age < s.settings.StaleAfter || s.isRecent(age, youngest) {
		return nil
	}
	return logUnreachable()
}

// CheckCurrent returns a refusal if this instance has not read the log for too long.
func (s *Service) CheckCurrent() error {
	if err := s.CheckConfigured(); err != nil {
		return err
	}
	now := s.clock.Now()
	if s.isRecent(s.statesAge(now), s.declarations.age(now)) {
		return nil
	}
	return logUnreachable()
}

// reachableWithin is the maximum time since the last successful read while the log answers: the
// interval between reads and the time in transit.
const reachableWithin = statesReadInterval + 2*transitSlack

// isLogReachable reports whether the log answers this instance. An instance that gets no answer
// can still report what it has read but accepts nothing, so new callers should go elsewhere.
// This redirects callers in a disconnected data centre about a second sooner than the age at
// which the instance stops answering; callers wait for three seconds.
func (s *Service) isLogReachable() bool {
	now := s.clock.Now()
	return min(s.states.age(now), s.acceptances.minAge(now), s.plans.age(now), s.declarations.age(now)) < reachableWithin
}

func logUnreachable() error {
	return domain.Refuse(domain.ReasonLogUnavailable, "", "this instance can't reach the log", "try another instance, or come back later")
}

// isRecent reports whether what was read can be acted on, given the ages of several topics:
// either none is stale, or one is stale while the log serves another. In the second case a part
// of the log is down for all instances, and nothing that was reported to anyone is missing from
// the stale topic.
func (s *Service) isRecent(ages ...time.Duration) bool {
	oldest, youngest := slices.Max(ages), slices.Min(ages)
	if oldest < s.settings.StaleAfter {
		return true
	}
	return youngest < s.settings.StaleAfter && oldest < s.settings.StaleAfter+s.settings.PartialOutageGrace
}

// statesAge returns the age of the job states that callers are shown. A planner is the first to
// have them, but only while its writes prove that it still is the planner: after a suspension
// or a freeze it may have been succeeded.
func (s *Service) statesAge(now time.Time) time.Duration {
	if lastWrite := s.lastPlanWrite.Load(); s.planning.Load() && lastWrite != nil && !lastWrite.IsZero() {
		return now.Sub(*lastWrite)
	}
	return s.states.age(now)
}

// catchUpForJob reads the topics of acceptances that may hold the job to their end, so that a
// job that is still unknown had not been accepted before the call. What was read earlier is no
// proof: another instance may have accepted the job since.
func (s *Service) catchUpForJob(ctx context.Context, id workload.JobID) error {
	if !s.states.everRead() {
		// Only a part of the log has been read, which proves nothing about a job that is not in
		// it.
		return logUnreachable()
	}
	if s.acceptances.catchUp(ctx, id) != nil {
		return logUnreachable()
	}
	return nil
}
