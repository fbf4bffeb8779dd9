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
	// AuthorityPeriod is how long a planner may send orders after its last write.
	AuthorityPeriod time.Duration
	// Horizon is how long after a planner's last write any lease that it grants may last; 0 is no
	// limit beyond Lease.
	Horizon time.Duration
	// StopTimeout is the maximum time that a stop takes on a worker.
	StopTimeout time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// ReclaimWithin is the time within which guaranteed work must have started.
	ReclaimWithin time.Duration
	// RemoteFactor is how many times longer a task takes away from its data or from its gang's rack.
	RemoteFactor float64
	// RestoreCost is the cost of a start from a checkpoint.
	RestoreCost time.Duration
	// ThrottleDelay is the time until a throttle order takes effect, MaxOverTarget how long fillers
	// may keep a serving task above its latency target; 0 is no limit.
	ThrottleDelay, MaxOverTarget time.Duration
	// Maintenance is how long a host is down for its maintenance.
	Maintenance time.Duration
	// DutyLease is how long a new planner may not send duty orders after its predecessor.
	DutyLease time.Duration
	// PollWait is how long a worker may delay the answer to a lease renewal while it has nothing to
	// report.
	PollWait time.Duration
	// Notice is the time between the announcement of a planned departure and the departure; 0 is
	// unknown, and departures are then not planned for whole units.
	Notice time.Duration
	// Disabled are the disabled mechanisms of the policy.
	Disabled decide.DisabledMechanisms
	// Plan replaces decide.MakePlan, for measurements; nil is decide.MakePlan.
	Plan func(*decide.Snapshot) decide.Plan
}

// clockDrift is the fraction by which a worker's clock may be slow.
const clockDrift = 0.02

// Configuration is the part of the operators' configuration that the planner needs.
type Configuration struct {
	Version int64
	Queues  map[string]workload.QueueSettings
	// Guaranteed is the number of guaranteed accelerators per client account.
	Guaranteed map[domain.AccountID]int64
	// Weights are the weights of client accounts that are set.
	Weights map[domain.AccountID]float64
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
	// WarmupMS is how much longer the worker is slow after its start.
	WarmupMS int64
	// RemainingMS is the minimum time that a draining worker has left.
	RemainingMS int64
	// Sequence counts the entries that the incarnation has written.
	Sequence int64
	// ClockMS is a past reading of the worker's clock; 0 is none.
	ClockMS int64
	// StartMS is when the incarnation that wrote the entry started, in Unix milliseconds by the
	// worker's wall clock; 0 is unknown.
	StartMS int64
}

// StartOrder orders a worker to start a task.
type StartOrder struct {
	Worker, Address string
	// Incarnation is the number of the incarnation that the order is meant for, as the planner counts
	// them.
	Incarnation int
	Task        workload.TaskID
	Run         int64
	Spec        string
	Checkpoint  string
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
	// NewestConnection is the newest connection that leads to it or nowhere, as do all before. A later
	// connection is only used once the same incarnation has answered on it.
	NewestConnection int64
	// StartMS is when it started, in Unix milliseconds; 0 is unknown.
	StartMS int64
	// ClockMS is a lower bound of its clock, in milliseconds.
	ClockMS int64
}

// Is reports whether an incarnation that reports this start time and clock is the recipient.
func (r Recipient) Is(startMS, clockMS int64) bool {
	return !startsDiffer(r.StartMS, startMS) && clockMS >= r.ClockMS
}

// StopOrder orders a worker to stop a run and all earlier runs of the task.
type StopOrder struct {
	Worker, Address string
	Incarnation     int
	Task            workload.TaskID
	Run             int64
	Token           int64
}

// RenewalOrder renews the leases of all runs on a worker and polls it for changes.
type RenewalOrder struct {
	Worker, Address string
	Incarnation     int
	// Number counts the lease renewals sent to a worker. Answers to an order with 0 are always
	// accepted.
	Number int
	Token  int64
	// AcknowledgedEnd is the number of the last end that the worker may forget; 0 is none.
	AcknowledgedEnd int64
	DeadlineMS      int64
	Wait            time.Duration
	// To is the only incarnation that may forget ends, if AcknowledgedEnd is set.
	To Recipient
}

// Result is the result of an order.
type Result string

// The results of orders.
const (
	// Accepted: the order was carried out, or had been before.
	Accepted Result = "accepted"
	// Fenced: a newer planner has sent orders.
	Fenced Result = "fenced"
	// Superseded: that run or a later one was stopped or has ended there.
	Superseded Result = "superseded"
	// Late: the deadline has passed.
	Late Result = "late"
	// Full: the worker has no capacity.
	Full Result = "full"
	// Unhealthy: the worker refused and did nothing.
	Unhealthy Result = "unhealthy"
	// Gone: another worker or incarnation is at that address.
	Gone Result = "gone"
	// NoTicket: the ticket is missing or no longer valid there.
	NoTicket Result = "no-ticket"
	// Invalid: the worker can't interpret the order.
	Invalid Result = "invalid"
	// Unreachable: no connection was made, and the order was not sent.
	Unreachable Result = "unreached"
	// Unanswered: the result is unknown; the order may still be carried out later.
	Unanswered Result = "unanswered"
)

// Answer is the result of a start, stop or throttle order.
type Answer struct {
	Result Result
	// ClockMS is the worker's clock when it answered; 0 is none.
	ClockMS int64
	// NewestConnection is the newest connection to the worker when the order was sent, for an order
	// with a recipient; 0 is unknown.
	NewestConnection int64
}

// RunningRow is a run that a worker reports as running.
type RunningRow struct {
	Task       workload.TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Metric is approximate, over the last half second: for a serving task its tail latency in
	// milliseconds, for any other its CPU use in thousandths.
	Metric int
}

// End is how a run ended.
type End string

const (
	EndDone           End = "done"
	EndFailed         End = "failed"
	EndStopped        End = "stopped"
	EndLapsed         End = "lapsed"
	EndBroken         End = "broken"
	EndGangIncomplete End = "alone"
)

// EndedRow is a run that a worker reports as ended.
type EndedRow struct {
	Number     int64
	Task       workload.TaskID
	Run        int64
	End        End
	Checkpoint string
}

// RenewalAnswer is the result of a RenewalOrder.
type RenewalAnswer struct {
	Result  Result
	ClockMS int64
	// StartMS is when the incarnation that answered started, as in Listing.
	StartMS int64
	// Problem is what is wrong with the reported start time; "" is nothing.
	Problem string
	// NewestConnection is the newest connection to the worker when the order was sent: that one and
	// all before lead to the incarnation that answered, or nowhere.
	NewestConnection int64
	Running          []RunningRow
	Ended            []EndedRow
	// More is set if the worker may have more ends than are listed here.
	More bool
}

// Record is a record to write to the log.
type Record struct {
	Key   string
	Value []byte
}

// Event is an event about one decision, for the event log.
type Event struct {
	Name   string
	Job    workload.JobID
	Task   string
	Worker string
	Run    int64
	Reason string
	Detail string
}
