package domain

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is the stable code of a refusal. It is used as a metric label, so the set
// is closed and contains no identifiers.
type Reason string

// Reasons for which work is refused or a request ends without an answer.
const (
	ReasonInvalid          Reason = "invalid"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonNotFound         Reason = "not-found"
	ReasonUnknownClass     Reason = "unknown-class"
	ReasonIDReused         Reason = "id-reused"
	ReasonTooLarge         Reason = "too-large"
	ReasonRequestMemory    Reason = "request-memory"
	ReasonBodyTimeout      Reason = "body-timeout"
	ReasonJobMemory        Reason = "job-memory"
	ReasonNeverRunnable    Reason = "never-runnable"
	ReasonRateLimited      Reason = "rate-limited"
	ReasonOverloaded       Reason = "overloaded"
	ReasonNoBackend        Reason = "no-backend"
	ReasonDeadline         Reason = "deadline"
	ReasonLogUnavailable   Reason = "log-unavailable"
	ReasonDraining         Reason = "draining"
	ReasonWrongDataCentre  Reason = "wrong-data-centre"
	ReasonConflict         Reason = "conflict"
	ReasonNotReady         Reason = "not-ready"
	ReasonBackendFailed    Reason = "backend-failed"
	ReasonOutcomeUnknown   Reason = "outcome-unknown"
	ReasonAnswerIncomplete Reason = "answer-incomplete"
)

// Outcome states whether refused work may have run.
type Outcome string

// Outcomes of refused work.
const (
	// NotRun is used only if no part of the work can have started or can start
	// later.
	NotRun Outcome = "not-run"
	// Unknown is used whenever NotRun cannot be proved.
	Unknown Outcome = "unknown"
)

// Refusal is the typed error that callers and operators receive.
type Refusal struct {
	Reason  Reason  `json:"reason"`
	Outcome Outcome `json:"outcome"`
	// Field is the invalid input field, if there is one.
	Field string `json:"field,omitempty"`
	// Message describes what was wrong.
	Message string `json:"message"`
	// Remedy describes what to do next.
	Remedy string `json:"remedy"`
	// RetryAfter is the time after which to retry; zero means that a retry will not
	// help.
	RetryAfter Duration `json:"retry_after,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	field := ""
	if r.Field != "" {
		field = " (" + r.Field + ")"
	}
	return fmt.Sprintf("%s%s: %s; %s", r.Reason, field, r.Message, r.Remedy)
}

// Refuse returns a refusal of work that did not run.
func Refuse(reason Reason, field, message, remedy string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, Field: field, Message: message, Remedy: remedy}
}

// WithRetryAfter returns a copy of the refusal with RetryAfter set.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = Duration(d)
	return &r
}

// OutcomeUnknown returns a refusal of work that may have run.
func OutcomeUnknown(reason Reason, message string) *Refusal {
	return &Refusal{
		Reason: reason, Outcome: Unknown, Message: message,
		Remedy: "it may or may not have taken effect: check its effect, or retry with the same id to get the first answer",
	}
}

// AsRefusal returns the refusal in err's chain. Any other error becomes a refusal
// with outcome Unknown, because nothing proves that the work did not run.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return OutcomeUnknown(ReasonOutcomeUnknown, err.Error())
}
