// Package gang runs one gang on its workers: all members are reserved, then all armed,
// then all released, and their leases are renewed and they are stopped together. It is a
// state machine without I/O: Next returns the commands to send, Observe processes the
// answers.
package gang

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Timing holds the time bounds that leases depend on.
type Timing struct {
	// Lease is how long a member continues without a renewal.
	Lease time.Duration
	// Margin is the least remaining time of every member's lease at each step of a start.
	Margin time.Duration
	// DriftPerMille is the largest drift between two monotonic clocks.
	DriftPerMille int64
	// ReleaseValidity is how long a release is valid after it was sent.
	ReleaseValidity time.Duration
	// StartTimeout is the longest time from the first reserve to the last release.
	StartTimeout time.Duration
}

// DefaultTiming returns bounds for data centres with round trips of milliseconds.
func DefaultTiming() Timing {
	return Timing{Lease: 8 * time.Second, Margin: 500 * time.Millisecond, DriftPerMille: 5, ReleaseValidity: time.Second, StartTimeout: 5 * time.Second}
}

func (t Timing) lowerBound(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

func (t Timing) upperBound(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// Reading relates a worker's monotonic clock to the planner's. The worker read Clock at
// some instant between Sent and Received, regardless of network delays.
type Reading struct {
	Boot     string
	Clock    time.Duration
	Sent     time.Time
	Received time.Time
}

// ReadingOf returns the reading in a report.
func ReadingOf(r port.Report, sent, received time.Time) Reading {
	return Reading{Boot: r.Boot, Clock: r.Clock.Std(), Sent: sent, Received: received}
}

// LeaseEnd returns the worker's clock at which a lease of that length ends. It counts from
// the reading and not from the arrival of a command, so that a delayed command can't make
// the lease longer than the planner assumes.
func (r Reading) LeaseEnd(lease time.Duration) time.Duration { return r.Clock + lease }

// ValidUntil returns the planner's time until which the worker's clock certainly has not
// reached leaseEnd.
func (r Reading) ValidUntil(leaseEnd time.Duration, t Timing) time.Time {
	return r.Sent.Add(t.lowerBound(leaseEnd - r.Clock))
}

// ExpiredAt returns the planner's time from which the worker's clock has certainly passed
// leaseEnd.
func (r Reading) ExpiredAt(leaseEnd time.Duration, t Timing) time.Time {
	return r.Received.Add(t.upperBound(leaseEnd - r.Clock))
}

// ClockAt returns a clock value of the worker that is certainly not later than the
// planner's time at.
func (r Reading) ClockAt(at time.Time, t Timing) time.Duration {
	return r.Clock + t.lowerBound(at.Sub(r.Received))
}

// Clocks provides the latest reading of each worker.
type Clocks interface {
	// Reading returns false for a worker that has not answered yet.
	Reading(worker domain.WorkerID) (Reading, bool)
}
