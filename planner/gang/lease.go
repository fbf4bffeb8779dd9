// Package gang runs one gang on its workers: all members are reserved, then
// all armed, then all released, and they are renewed and stopped as one. It is
// a state machine without I/O: Next says what to ask of which worker, Observe
// takes the answers.
package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Timing are the bounds that leases rest on.
type Timing struct {
	// Lease is how long a member goes on without being renewed.
	Lease time.Duration
	// Margin is what must be left of every member's lease before an act.
	Margin time.Duration
	// DriftPerMille bounds how far two monotonic clocks run apart.
	DriftPerMille int64
	// Release is how long a release is valid after it was sent.
	Release time.Duration
	// Start bounds the time from the first reserve to the last release.
	Start time.Duration
}

// DefaultTiming suits data centres with round trips of milliseconds.
func DefaultTiming() Timing {
	return Timing{Lease: 8 * time.Second, Margin: 500 * time.Millisecond, DriftPerMille: 5, Release: time.Second, Start: 5 * time.Second}
}

func (t Timing) shrink(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

func (t Timing) stretch(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// Reading relates a worker's monotonic clock to the holder's. The worker read
// Clock at some instant between Sent and Received, whatever the network did.
type Reading struct {
	Boot     string
	Clock    time.Duration
	Sent     time.Time
	Received time.Time
}

// ReadingOf takes the clock out of a report.
func ReadingOf(r port.Report, sent, received time.Time) Reading {
	return Reading{Boot: r.Boot, Clock: r.Clock.Std(), Sent: sent, Received: received}
}

// Until returns the worker's clock by which a lease of that length ends,
// counted from the reading and not from the arrival of a command: a command
// that is late can't make the lease longer than the holder knows.
func (r Reading) Until(lease time.Duration) time.Duration { return r.Clock + lease }

// Surely returns the holder's time up to which the worker certainly has not
// reached until.
func (r Reading) Surely(until time.Duration, t Timing) time.Time {
	return r.Sent.Add(t.shrink(until - r.Clock))
}

// Gone returns the holder's time from which the worker has certainly passed
// until.
func (r Reading) Gone(until time.Duration, t Timing) time.Time {
	return r.Received.Add(t.stretch(until - r.Clock))
}

// At returns a worker's clock that is certainly not later than the holder's
// time.
func (r Reading) At(holder time.Time, t Timing) time.Duration {
	return r.Clock + t.shrink(holder.Sub(r.Received))
}

// Clocks gives the latest reading of each worker.
type Clocks interface {
	// Reading returns false for a worker that has not answered yet.
	Reading(worker domain.WorkerID) (Reading, bool)
}
