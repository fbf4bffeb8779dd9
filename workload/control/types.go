package control

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Bounds are the time limits that the deployment guarantees or requires.
type Bounds struct {
	// Lease is the longest time that a worker runs on without a lease renewal.
	Lease time.Duration
	// Heartbeat is how often a worker updates its entry in the list; 0 is unknown.
	Heartbeat time.Duration
	// Authority is how long a planner may send orders after its last write.
	Authority time.Duration
	// StopTimeout is the maximum time that a stop takes on a worker.
	StopTimeout time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// ReclaimWithin is the time within which guaranteed work must have started.
	ReclaimWithin time.Duration
	// FarFactor is how many times longer a task takes away from its data or from its gang's rack.
	FarFactor float64
	// Restore is the cost of a start from a checkpoint.
	Restore time.Duration
	// Pace is the time until a throttle order takes effect, Harm how long fillers may keep a
	// serving task above its latency target; 0 is no limit.
	Pace, Harm time.Duration
	// Maintenance is how long a host is down for its maintenance.
	Maintenance time.Duration
	// DutyLease is how long a new planner may not send duty orders after its predecessor.
	DutyLease time.Duration
	// Wait is how long a worker may delay the answer to a lease renewal while it has nothing to
	// report.
	Wait time.Duration
	// Without are the disabled mechanisms of the policy.
	Without decide.Without
	// Plan replaces decide.Make, for measurements; nil is decide.Make.
	Plan func(*decide.Snapshot) decide.Plan
}

// clockDrift is the fraction by which a worker's clock may be slow.
const clockDrift = 0.02

// Configuration is the part of the operators' configuration that the planner needs.
type Configuration struct {
	Version int64
	Queues  map[string]workload.Terms
	// Guaranteed is the number of guaranteed accelerators per client account.
	Guaranteed map[domain.AccountID]int64
}

// Listing is a worker's entry in the platform's list.
type Listing struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   workload.Resources
	Draining   bool
	// Unreadable is set if the worker's newest entry can't be decoded. The other fields are then
	// those of the last readable entry.
	Unreadable bool
	// ColdMS is how much longer the worker is slow after its start.
	ColdMS int64
	// RemainingMS is the minimum time that a draining worker has left.
	RemainingMS int64
	// ClockMS is a past reading of the worker's clock; 0 is none.
	ClockMS int64
	// Born is when the incarnation that wrote the entry started, in Unix milliseconds by the
	// worker's wall clock; 0 is unknown.
	Born int64
}

// StartOrder orders a worker to start a task.
type StartOrder struct {
	Worker, Address string
	// Life is the number of the incarnation that the order is meant for, as the planner counts
	// them.
	Life  int
	Task  workload.TaskID
	Run   int64
	Spec  string
	Saved string
	// Ticket proves that the queue's policy allows the worker; "" is none.
	Ticket     string
	DeadlineMS int64
	Token      int64
	Try        int
	// To is the only incarnation that may carry out the order.
	To Recipient
}

// Recipient is the incarnation of a worker that an order is meant for, if no other may carry it
// out. The order is sent over a connection to that incarnation, which ends with it, since a
// raised token that has not reached the next incarnation yet stops nothing there.
type Recipient struct {
	// Connections is the newest connection that leads to it or nowhere, as do all before. A later
	// connection is only used once the same incarnation has answered on it.
	Connections int64
	// Born is when it started, in Unix milliseconds; 0 is unknown.
	Born int64
	// ClockMS is a lower bound of its clock, in milliseconds.
	ClockMS int64
}

// Is reports whether an incarnation that reports this start time and clock is the recipient.
func (r Recipient) Is(startMS, clockMS int64) bool {
	return !startsDiffer(r.Born, startMS) && clockMS >= r.ClockMS
}

// StopOrder orders a worker to stop a run and all earlier runs of the task.
type StopOrder struct {
	Worker, Address string
	Life            int
	Task            workload.TaskID
	Run             int64
	Token           int64
}

// HoldOrder renews the leases of all runs on a worker and polls it for changes.
type HoldOrder struct {
	Worker, Address string
	Life            int
	// Number counts the lease renewals sent to a worker. Answers to an order with 0 are always
	// accepted.
	Number int
	Token  int64
	// Cursor is the number of the last end that the worker may forget; 0 is none.
	Cursor     int64
	DeadlineMS int64
	Wait       time.Duration
	// To is the only incarnation that may forget ends, if Cursor is set.
	To Recipient
}

// Verdict is the result of an order.
type Verdict string

// The results of orders.
const (
	// Accepted: the order was carried out, or had been before.
	Accepted Verdict = "accepted"
	// Fenced: a newer planner has sent orders.
	Fenced Verdict = "fenced"
	// Superseded: that run or a later one was stopped or has ended there.
	Superseded Verdict = "superseded"
	// Late: the deadline has passed.
	Late Verdict = "late"
	// Full: the worker has no capacity.
	Full Verdict = "full"
	// Unhealthy: the worker refused and did nothing.
	Unhealthy Verdict = "unhealthy"
	// Gone: another worker or incarnation is at that address.
	Gone Verdict = "gone"
	// NoTicket: the ticket is missing or no longer valid there.
	NoTicket Verdict = "no-ticket"
	// Invalid: the worker can't interpret the order.
	Invalid Verdict = "invalid"
	// Unreached: no connection was made, and the order was not sent.
	Unreached Verdict = "unreached"
	// Unanswered: the result is unknown; the order may still be carried out later.
	Unanswered Verdict = "unanswered"
)

// Answer is the result of a start, stop or throttle order.
type Answer struct {
	Verdict Verdict
	// ClockMS is the worker's clock when it answered; 0 is none.
	ClockMS int64
	// Connections is the newest connection to the worker when the order was sent, for an order
	// with a recipient; 0 is unknown.
	Connections int64
}

// RunningRow is a run that a worker reports as running.
type RunningRow struct {
	Task    workload.TaskID
	Run     int64
	Saved   string
	Percent int
	// Figure is approximate, over the last half second: for a serving task its tail latency in
	// milliseconds, for any other its CPU use in thousandths.
	Figure int
}

// End is how a run ended.
type End string

const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
)

// EndedRow is a run that a worker reports as ended.
type EndedRow struct {
	Number int64
	Task   workload.TaskID
	Run    int64
	How    End
	Saved  string
}

// HoldAnswer is the result of a HoldOrder.
type HoldAnswer struct {
	Verdict Verdict
	ClockMS int64
	// Born is when the incarnation that answered started, as in Listing.
	Born int64
	// Problem is what is wrong with the reported start time; "" is nothing.
	Problem string
	// Connections is the newest connection to the worker when the order was sent: that one and
	// all before lead to the incarnation that answered, or nowhere.
	Connections int64
	Running     []RunningRow
	Ended       []EndedRow
	// More is set if the worker may have more ends than are listed here.
	More bool
}

// Record is a record to write to the log.
type Record struct {
	Key   string
	Value []byte
}

// Note is an event about one decision, for the event log.
type Note struct {
	Event  string
	Job    workload.JobID
	Task   string
	Worker string
	Run    int64
	Why    string
	Detail string
}
