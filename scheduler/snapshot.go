// Package scheduler decides which jobs of one data centre start, and which
// borrowers make room for them. Plan is a pure function of a Snapshot: no
// clock, no I/O, no goroutine. Whoever applies a plan checks it against the
// present again; a stale plan costs a reservation, never a promise.
//
// Every waiting job passes an ordered pipe of filters. First all claims are
// settled: feasible, team-ceiling, claimed. Then the spare capacity goes:
// beside, guaranteed, account-ceiling, borrow, urgent, consolidate, starved.
package scheduler

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// Policy is what can be set of the decisions.
type Policy struct {
	// Strategy chooses among blocks.
	Strategy placement.Strategy
	// FIFO keeps the order of submission. Otherwise accounts take turns by
	// dominant share, and within one account the highest response ratio goes
	// first, which favours short jobs but lets every job age to the front.
	FIFO bool
	// NoBackfill stops at the first job that has to wait.
	NoBackfill bool
	// Guarantees turns cells, reclaim and urgency on.
	Guarantees bool
	// RacksPerReservation bounds the large jobs that hold a reservation at once:
	// one for every so many racks, and at least one; 0 allows none.
	RacksPerReservation int
	// StarveAfter is the wait after which a job with a reservation takes back
	// what borrowers that came later hold of it; 0 never does.
	StarveAfter time.Duration
	// ConsolidateGain is by how much the idle time that is saved has to exceed
	// the work that is lost when borrowers are moved off a large job's block; 0
	// never moves any.
	ConsolidateGain float64
	// ConsolidateAfter is how long a borrower runs before it is moved.
	ConsolidateAfter time.Duration
	// UrgentGrace bounds the time that borrowers get to checkpoint when urgent
	// work needs their place.
	UrgentGrace time.Duration
}

// DefaultPolicy is the one that ships.
func DefaultPolicy() Policy {
	return Policy{
		Strategy:            placement.BestFit,
		Guarantees:          true,
		RacksPerReservation: 2,
		StarveAfter:         30 * time.Minute,
		ConsolidateGain:     2,
		ConsolidateAfter:    5 * time.Minute,
		UrgentGrace:         3 * time.Second,
	}
}

// Gang is one that holds resources.
type Gang struct {
	Job       domain.Job
	Class     domain.Class
	Placement domain.Placement
	// Guaranteed gangs run within their account's cells and are not preempted.
	Guaranteed bool
	// Stopping gangs have been told to stop and still hold their resources.
	Stopping bool
	Started  time.Time
	// Saved is the time of its last checkpoint, or Started.
	Saved time.Time
	// Remaining is the expected time until it ends.
	Remaining time.Duration
}

func (g *Gang) preemptible() bool {
	return !g.Guaranteed && !g.Stopping && g.Class.Preemptible()
}

// Waiting is a job that is to be placed.
type Waiting struct {
	Job   domain.Job
	Class domain.Class
	// Since is when the job was submitted.
	Since time.Time
	// Expected is its corrected run time.
	Expected time.Duration
	// Avoid are workers on which it has failed.
	Avoid []domain.WorkerID
}

// Reservation is a block that a large job is waiting for.
type Reservation struct {
	Job     domain.JobID
	Workers []domain.WorkerID
	// Start is when the block is expected to be free.
	Start time.Time
}

// Snapshot is everything that a plan depends on. Plan does not change it.
type Snapshot struct {
	Now        time.Time
	DataCentre domain.DataCentre
	Accounts   map[domain.AccountID]domain.ClientAccount
	Workers    []domain.Worker
	// Unschedulable are workers that get nothing new: lost, drained or
	// quarantined.
	Unschedulable map[domain.WorkerID]bool
	// Binding and Reservations are those of the previous plan.
	Binding      guarantee.Binding
	Reservations []Reservation
	Gangs        []Gang
	Waiting      []Waiting
}

// Start puts a job on workers.
type Start struct {
	Job        domain.JobID
	Placement  domain.Placement
	Guaranteed bool
}

// Preemption stops a borrower.
type Preemption struct {
	Job domain.JobID
	// For is the job that needs the place.
	For   domain.JobID
	Grace time.Duration
}

// HeldReason is the filter that holds a job back; a stable code.
type HeldReason string

// The reasons for which a job waits.
const (
	HeldNeverRunnable  HeldReason = "never-runnable"
	HeldTeamCeiling    HeldReason = "team-ceiling"
	HeldAccountCeiling HeldReason = "account-ceiling"
	HeldReclaiming     HeldReason = "reclaiming"
	HeldNoBlock        HeldReason = "no-block"
	HeldReserved       HeldReason = "reserved-block"
	HeldBehind         HeldReason = "behind-another"
)

// Held is why a job waits, with the number that is short.
type Held struct {
	Job    domain.JobID `json:"job"`
	Reason HeldReason   `json:"reason"`
	// Need and Have are in tasks for blocks, in accelerators for ceilings.
	Need int `json:"need"`
	Have int `json:"have"`
	// StartBy is when a reserved block is expected.
	StartBy time.Time `json:"start_by,omitzero"`
}

// Plan is the decision.
type Plan struct {
	Binding      guarantee.Binding
	Starts       []Start
	Preemptions  []Preemption
	Held         []Held
	Reservations []Reservation
}
