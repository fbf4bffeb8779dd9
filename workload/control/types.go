package control

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Bounds are the times that the deployment guarantees or asks for.
type Bounds struct {
	// Lease is the longest time that a worker runs on without being held.
	Lease time.Duration
	// Heartbeat is how often a worker writes its entry in the list; 0 is unknown.
	Heartbeat time.Duration
	// Authority is how long a planner gives orders after its last write.
	Authority time.Duration
	// StopTimeout is the longest that a stop takes on a worker.
	StopTimeout time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// ReclaimWithin is when guaranteed work has to have begun.
	ReclaimWithin time.Duration
	// FarFactor is how many times as long a task takes away from its data or its
	// gang's rack.
	FarFactor float64
	// Restore is what a start from a checkpoint costs.
	Restore time.Duration
	// Pace is the time until an order on pace has its effect, Harm how long a
	// serving task may be over its target by what fills beside it; 0 is no bound.
	Pace, Harm time.Duration
	// Maintenance is how long a host is down for its maintenance.
	Maintenance time.Duration
	// DutyLease is how long the duties of one planner keep those of the next off.
	DutyLease time.Duration
	// Wait is how long a worker may wait for news before it answers a hold.
	Wait time.Duration
	// Without are mechanisms of the policy that are switched off.
	Without decide.Without
	// Plan decides in place of decide.Make, for measurements; nil is decide.Make.
	Plan func(*decide.Snapshot) decide.Plan
}

// clockDrift is the fraction by which a worker's clock may be slow.
const clockDrift = 0.02

// Configuration is what the planner needs of the operators' one.
type Configuration struct {
	Version int64
	Queues  map[string]workload.Terms
	// Guaranteed is the number of accelerators of each client account.
	Guaranteed map[domain.AccountID]int64
}

// Listing is a worker as the platform's list has it.
type Listing struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   workload.Resources
	Draining   bool
	// Unreadable tells that the worker's newest entry can't be understood; the other
	// fields are those of the last one that could.
	Unreadable bool
	// ColdMS is how much longer the worker is slow after its start.
	ColdMS int64
	// RemainingMS is the least time that is left to a draining worker.
	RemainingMS int64
	// ClockMS is a reading of the worker's clock, already past; 0 is none.
	ClockMS int64
	// Born is when the life that wrote the entry began, in Unix milliseconds by the
	// worker's time of day; 0 is unknown.
	Born int64
}

// StartOrder tells a worker to start a task.
type StartOrder struct {
	Worker, Address string
	// Life is the worker's life that the order is meant for, as the planner counts them.
	Life  int
	Task  workload.TaskID
	Run   int64
	Spec  string
	Saved string
	// Ticket proves that the queue's policy allows the worker; "" where there is none.
	Ticket     string
	DeadlineMS int64
	Token      int64
	Try        int
	// To is the life that has to carry it out, or none.
	To Recipient
}

// Recipient is the life of a worker that an order is meant for, where no other may carry the
// order out. It goes over a connection that leads to that life, which ends with it: a fence
// that nobody has brought to the next life yet stops nothing there.
type Recipient struct {
	// Connections is the newest connection that leads to it, or nowhere; so do all before.
	// Over later ones the order goes only once the same life has answered there.
	Connections int64
	// Born is when it began, in Unix milliseconds; 0 is unknown.
	Born int64
	// ClockMS is what its clock shows at the least, in milliseconds.
	ClockMS int64
}

// Is tells whether the recipient is the life that says these of itself.
func (r Recipient) Is(born, clockMS int64) bool {
	return !otherBirth(r.Born, born) && clockMS >= r.ClockMS
}

// StopOrder tells a worker to stop a run and all earlier ones of a task.
type StopOrder struct {
	Worker, Address string
	Life            int
	Task            workload.TaskID
	Run             int64
	Token           int64
}

// HoldOrder renews the lease of all that runs on a worker and asks for news.
type HoldOrder struct {
	Worker, Address string
	Life            int
	// Number counts the holds to one worker; 0 is none that is counted.
	Number int
	Token  int64
	// Cursor is the number of the last end that the worker may forget; 0 is none.
	Cursor     int64
	DeadlineMS int64
	Wait       time.Duration
	// To is the life that may forget ends, where the hold has a cursor.
	To Recipient
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts of workers.
const (
	// Accepted: the order was carried out, or had been before.
	Accepted Verdict = "accepted"
	// Fenced: a newer planner gives orders.
	Fenced Verdict = "fenced"
	// Superseded: that run or a later one has been stopped or has ended there.
	Superseded Verdict = "superseded"
	// Late: the deadline was over.
	Late Verdict = "late"
	// Full: the worker has no room.
	Full Verdict = "full"
	// Unhealthy: the worker refused and did nothing.
	Unhealthy Verdict = "unhealthy"
	// Gone: another life of the worker is at that address.
	Gone Verdict = "gone"
	// NoTicket: the ticket is missing or no longer valid there.
	NoTicket Verdict = "no-ticket"
	// Invalid: the worker does not understand the order.
	Invalid Verdict = "invalid"
	// Unreached: no connection was made, and the order went nowhere.
	Unreached Verdict = "unreached"
	// Unanswered: nothing is known; the order may be carried out later.
	Unanswered Verdict = "unanswered"
)

// Answer is what came back for a start or a stop.
type Answer struct {
	Verdict Verdict
	// ClockMS is the worker's clock when it answered; 0 is none.
	ClockMS int64
	// Connections is, for an order to a recipient, the newest connection to the worker that
	// had been made when it was sent; 0 is unknown.
	Connections int64
}

// RunningRow is a task that a worker runs.
type RunningRow struct {
	Task    workload.TaskID
	Run     int64
	Saved   string
	Percent int
	// Figure is rough, for the last half second: the latency tail of a task that
	// serves, in milliseconds; the processor in use of any other, in thousandths.
	Figure int
}

// End is how a run ended.
type End string

// The ends of runs.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
)

// EndedRow is a run that ended on a worker.
type EndedRow struct {
	Number int64
	Task   workload.TaskID
	Run    int64
	How    End
	Saved  string
}

// HoldAnswer is what came back for a hold.
type HoldAnswer struct {
	Verdict Verdict
	ClockMS int64
	// Born is when the life that answered began, as in Listing.
	Born int64
	// Problem is what is wrong with the birth that it told; "" is nothing.
	Problem string
	// Connections is the newest connection to it that had been made when the hold was sent:
	// that and all before lead to the life that answered, or nowhere.
	Connections int64
	Running     []RunningRow
	Ended       []EndedRow
	// More tells that the worker may have more ends than it lists here.
	More bool
}

// Record is what is to be written to the log.
type Record struct {
	Key   string
	Value []byte
}

// Note is one decision, for the log of events.
type Note struct {
	Event  string
	Job    workload.JobID
	Task   string
	Worker string
	Run    int64
	Why    string
	Detail string
}
