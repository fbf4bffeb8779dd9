// Package state keeps what must last in the platform's log: jobs and what
// became of them. Records are folded into the same state on every instance,
// in whatever order and however often they arrive; a Journal groups appends; a
// Follower reads; Snapshots bound what a new instance has to read.
package state

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
)

// The record kinds of a data centre's job stream. A daemon passes over kinds
// that it does not know; they stay in the log for those that do.
const (
	KindAccepted = "job-accepted"
	KindCancel   = "job-cancel"
	KindStarted  = "job-started"
	KindRequeued = "job-requeued"
	KindEnded    = "job-ended"
	KindBinding  = "binding"
)

// ConfigurationStream is the one stream of configuration changes.
const ConfigurationStream port.Stream = "configuration"

// AttemptStream is the one stream of attempts at non-idempotent requests.
const AttemptStream port.Stream = "attempts"

// JobStream returns the stream of a data centre's jobs.
func JobStream(dc domain.DataCentre) port.Stream {
	return port.Stream("jobs/" + string(dc))
}

// Accepted makes a job known. Digest identifies the body, so that an id that
// is reused with another one is noticed.
type Accepted struct {
	Job    domain.Job `json:"job"`
	Digest string     `json:"digest"`
}

// Cancel asks for a job's end.
type Cancel struct {
	Job domain.JobID `json:"job"`
}

// Started says that an attempt has reserved its workers and may run from now.
type Started struct {
	Gang       domain.Incarnation `json:"gang"`
	Placement  domain.Placement   `json:"placement"`
	Guaranteed bool               `json:"guaranteed,omitempty"`
	At         time.Time          `json:"at"`
}

// Requeued says that an attempt is over and its job waits again.
type Requeued struct {
	Gang  domain.Incarnation `json:"gang"`
	Cause string             `json:"cause"`
	// FailedOn are workers on which the job's tasks failed.
	FailedOn []domain.WorkerID `json:"failed_on,omitempty"`
	// Crashed tells that the attempt ended with a worker's crash.
	Crashed bool `json:"crashed,omitempty"`
}

// Ended is a job's final state.
type Ended struct {
	Job    domain.JobID    `json:"job"`
	State  domain.JobState `json:"state"`
	Cause  string          `json:"cause"`
	Result string          `json:"result,omitempty"`
	At     time.Time       `json:"at"`
}

// BindingChanged publishes the cells of a data centre's guarantees, so that
// the next planner keeps them where they are.
type BindingChanged struct {
	Binding guarantee.Binding `json:"binding"`
}

// NewRecord wraps a payload as a record.
func NewRecord(id, kind string, payload any) (port.Record, error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return port.Record{}, errors.Wrapf(err, "encode record %s", kind)
	}
	return port.Record{ID: id, Kind: kind, Data: data}, nil
}
