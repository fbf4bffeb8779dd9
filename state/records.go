// Package state stores durable state, jobs and their outcomes, in the
// platform's log. Every instance folds the records into the same state,
// whatever their order and however often they arrive. A Journal batches appends,
// a Follower reads a stream, and snapshots bound what a new instance has to
// read.
package state

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
)

// The record kinds of a data centre's job stream. An instance ignores kinds
// that it does not know; they stay in the log for instances that do.
const (
	KindAccepted = "job-accepted"
	KindCancel   = "job-cancel"
	KindStarted  = "job-started"
	KindRequeued = "job-requeued"
	KindEnded    = "job-ended"
	KindBinding  = "binding"
)

// ConfigurationStream is the stream of configuration changes; there is only one.
const ConfigurationStream port.Stream = "configuration"

// AttemptStream is the stream of attempts at non-idempotent requests; there is
// only one.
const AttemptStream port.Stream = "attempts"

// JobStream returns the stream of a data centre's jobs.
func JobStream(dc domain.DataCentre) port.Stream {
	return port.Stream("jobs/" + string(dc))
}

// Accepted records that a job was accepted. Digest identifies the job's body, so
// that reuse of its id with another body is detected.
type Accepted struct {
	Job    domain.Job `json:"job"`
	Digest string     `json:"digest"`
}

// Cancel requests a job's cancellation.
type Cancel struct {
	Job domain.JobID `json:"job"`
}

// Started records that an attempt has reserved its workers and may run from
// now on.
type Started struct {
	Incarnation domain.Incarnation `json:"gang"`
	Placement   domain.Placement   `json:"placement"`
	Guaranteed  bool               `json:"guaranteed,omitempty"`
	At          time.Time          `json:"at"`
}

// Requeued records that an attempt is over and its job waits again.
type Requeued struct {
	Incarnation domain.Incarnation `json:"gang"`
	Cause       string             `json:"cause"`
	// FailedOn lists the workers on which the job's tasks failed.
	FailedOn []domain.WorkerID `json:"failed_on,omitempty"`
	// Crashed is set if the attempt ended with a worker's crash.
	Crashed bool `json:"crashed,omitempty"`
}

// Ended records a job's final state.
type Ended struct {
	Job    domain.JobID    `json:"job"`
	State  domain.JobState `json:"state"`
	Cause  string          `json:"cause"`
	Result string          `json:"result,omitempty"`
	At     time.Time       `json:"at"`
}

// BindingChanged publishes the cells of a data centre's guarantees, so that
// the next planner keeps them in place.
type BindingChanged struct {
	Binding guarantee.Binding `json:"binding"`
}

// NewRecord returns a record with the payload encoded as JSON.
func NewRecord(id, kind string, payload any) (port.Record, error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return port.Record{}, errors.Wrapf(err, "encode record %s of kind %s", id, kind)
	}
	return port.Record{ID: id, Kind: kind, Data: data}, nil
}
