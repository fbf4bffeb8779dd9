package service

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/internal/clock"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
)

// Caller is what a request says about its caller.
type Caller struct {
	// Priority is that of the request's queue.
	Priority int
	// Deadline is until when the caller waits; zero is not stated.
	Deadline time.Time
	// Submits is set if the request submits a job. Only such callers count as to come back: polls
	// repeat anyway, and would take the seconds of submissions.
	Submits bool
}

type callerKey struct{}

// WithCaller adds the caller of a request to its context.
func WithCaller(ctx context.Context, caller Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// callerOf returns the caller of a request. One that is not known returns after all others.
func callerOf(ctx context.Context) Caller {
	if caller, ok := ctx.Value(callerKey{}).(Caller); ok {
		return caller
	}
	return Caller{Priority: admission.Classes - 1}
}

// withSubmission marks the caller of a request as one that submits a job.
func withSubmission(ctx context.Context) context.Context {
	caller := callerOf(ctx)
	caller.Submits = true
	return WithCaller(ctx, caller)
}

// sentAway is what the delays of callers that are sent away depend on: which calls the log has
// served, and who is still to come back.
type sentAway struct {
	clock     clock.Clock
	perSecond float64

	mu             sync.Mutex
	reads, appends admission.Outage
	returns        admission.Returns
	// due is when the caller of each submission that was sent away is to come back.
	due map[workload.JobID]time.Time
}

// maxDue limits the submissions that are remembered; at the limit they are forgotten, and counted
// again if they come early.
const maxDue = 50_000

// acceptancesPerCore is how many submissions a core is given to accept in a second when callers
// return. One takes 19 microseconds without its HTTP request (BenchmarkSubmission), so 0.02 of
// the core; the rest is left to the requests themselves, to callers that ask for
// states and to reading what was missed.
const acceptancesPerCore = 1000

func newSentAway(settings Settings) *sentAway {
	cores := settings.EffectiveCores
	if cores <= 0 {
		cores = 1
	}
	a := &sentAway{clock: settings.Clock, perSecond: max(1, cores*acceptancesPerCore), due: map[workload.JobID]time.Time{}}
	a.reads.MinLength, a.appends.MinLength = settings.StaleAfter, settings.StaleAfter
	return a
}

// recordAppend records an append that was sent at the given time.
func (a *sentAway) recordAppend(ctx context.Context, topic Topic, sent time.Time, err error) {
	if isAcceptTopic(topic) {
		a.record(ctx, &a.appends, sent, err)
	}
}

func (a *sentAway) recordRead(ctx context.Context, sent time.Time, err error) {
	a.record(ctx, &a.reads, sent, err)
}

func (a *sentAway) record(ctx context.Context, outage *admission.Outage, sent time.Time, err error) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil || isAnswer(err):
		outage.Served(now)
	case !errors.Is(ctx.Err(), context.Canceled):
		outage.Failed(sent, now)
	}
}

// isAnswer reports whether an error proves that the log works.
func isAnswer(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrMalformed) || errors.Is(err, ErrFenced) || errors.Is(err, ErrUnexpectedEnd)
}

// outage returns how long the log has been unavailable, and the longest earlier outage.
func (a *sentAway) outage(now time.Time) (lasted, longest time.Duration) {
	return max(a.reads.Lasted(now), a.appends.Lasted(now)), max(a.reads.Longest(), a.appends.Longest())
}

// expectation returns the expected time until requests can be served again, and how many callers
// can be served in a second from then on.
type expectation func(now time.Time) (rest time.Duration, perSecond float64)

// delay returns when a caller should come back, and notes that it will if it submits a job. input describes what the
// decision rests on.
func (a *sentAway) delay(id workload.JobID, caller Caller, expected expectation) (after time.Duration, input string) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	retry := admission.Retry{Job: id, Priority: caller.Priority, Waiting: a.returns.Waiting(now)}
	retry.Rest, retry.PerSecond = expected(now)
	if !caller.Deadline.IsZero() {
		retry.Remaining = max(1, time.Until(caller.Deadline))
	}
	after = admission.RetryAfter(retry)
	if caller.Submits && !now.Before(a.due[id]) {
		if len(a.due) >= maxDue {
			clear(a.due)
		}
		a.due[id] = now.Add(after)
		a.returns.Add(now, caller.Priority, after)
	}
	lasted, longest := a.outage(now)
	return after, fmt.Sprintf("priority=%d remaining_ms=%d expected_ms=%d outage_ms=%d longest_outage_ms=%d waiting=%v per_second=%.1f",
		caller.Priority, retry.Remaining.Milliseconds(), retry.Rest.Milliseconds(), lasted.Milliseconds(), longest.Milliseconds(), retry.Waiting.ByClass, retry.PerSecond)
}

// afterOutage is the expectation while the log is unavailable.
func (a *sentAway) afterOutage(now time.Time) (time.Duration, float64) {
	return admission.ExpectedRest(a.outage(now)), a.perSecond
}

// withRetryAfter adds to a refusal of this instance when its caller should come back. Other
// errors are returned unchanged.
func (s *Service) withRetryAfter(ctx context.Context, id workload.JobID, err error) error {
	if err == nil {
		return nil
	}
	refusal, _ := s.retryLater(ctx, id, err)
	return refusal
}

// retryLater is withRetryAfter, and also returns the input of the decision.
func (s *Service) retryLater(ctx context.Context, id workload.JobID, err error) (*domain.Refusal, string) {
	refusal := domain.AsRefusal(err)
	if refusal.Outcome != domain.NotRun || (refusal.Reason != domain.ReasonLogUnavailable && refusal.Reason != domain.ReasonNotReady) {
		return refusal, ""
	}
	after, input := s.sentAway.delay(id, callerOf(ctx), s.sentAway.afterOutage)
	return refusal.WithRetryAfter(after), input
}

// Refuse logs a request that was refused before it reached the service. It returns the refusal
// for the caller.
func (s *Service) Refuse(ctx context.Context, id workload.JobID, err error) error {
	return s.refuse(ctx, id, err)
}

func (s *Service) refuse(ctx context.Context, id workload.JobID, err error) error {
	refusal, input := s.retryLater(ctx, id, err)
	s.logRefusal(id, refusal, input)
	return refusal
}

// logRefusal logs a refusal with the input of its decision.
func (s *Service) logRefusal(id workload.JobID, refusal *domain.Refusal, input string) {
	fields := events.Fields{"job": id, "reason": refusal.Reason, "outcome": refusal.Outcome, "cause": refusal.Message, "version": s.configurationVersion(), "log_age_ms": s.statesAge(s.clock.Now()).Milliseconds()}
	if refusal.RetryAfter > 0 {
		fields["retry_after_ms"] = refusal.RetryAfter.Std().Milliseconds()
	}
	addField(fields, "input", input)
	s.events.Info(events.JobRefused, fields)
}
