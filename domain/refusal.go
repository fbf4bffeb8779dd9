package domain

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is the stable code of a refusal. It is the label of a counter, so the
// set is closed and holds no identifiers.
type Reason string

// The reasons for which work is refused or a request ends without an answer.
const (
	ReasonInvalid          Reason = "invalid"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonNotFound         Reason = "not-found"
	ReasonUnknownClass     Reason = "unknown-class"
	ReasonIDReused         Reason = "id-reused"
	ReasonTooLarge         Reason = "too-large"
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

// Outcome says what is known of the refused work.
type Outcome string

// What a refusal claims about the work.
const (
	// NotRun is claimed only where no part of the work can have started or
	// can start later.
	NotRun Outcome = "not-run"
	// Unknown is claimed wherever NotRun can't be proved.
	Unknown Outcome = "unknown"
)

// Refusal is the typed error that callers and operators receive.
type Refusal struct {
	Reason  Reason  `json:"reason"`
	Outcome Outcome `json:"outcome"`
	// Field is the input that was wrong, where one was.
	Field string `json:"field,omitempty"`
	// Message says what was wrong.
	Message string `json:"message"`
	// Remedy says what to do next.
	Remedy string `json:"remedy"`
	// RetryAfter is when to come back; zero means that repeating won't help.
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

// Refuse makes a refusal of work that did not run.
func Refuse(reason Reason, field, message, remedy string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, Field: field, Message: message, Remedy: remedy}
}

// After returns a copy of the refusal that says when to come back.
func (r Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = Duration(d)
	return &r
}

// OutcomeUnknown makes the refusal of work that may have run.
func OutcomeUnknown(reason Reason, message string) *Refusal {
	return &Refusal{
		Reason: reason, Outcome: Unknown, Message: message,
		Remedy: "do not assume either way: look up the effect, or ask again with the same id for the first answer",
	}
}

// AsRefusal finds the refusal in err. An error of any other kind becomes a
// refusal whose outcome is unknown, because nothing proves that it is not.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return OutcomeUnknown(ReasonOutcomeUnknown, err.Error())
}
