// Package scheduler decides which jobs of one data centre start, and which borrowers are
// preempted for them. MakePlan is a pure function of a Snapshot: no clock, no I/O, no
// goroutine. The caller checks a plan against the current state before applying it; a
// stale plan may cost a reservation, but never breaks a guarantee.
//
// Every waiting job passes a chain of filters. The claims on guarantees are settled first:
// checkFeasible, checkTeamCeiling, claimCells. The spare capacity is assigned after that:
// placeOutsideCells, placeInCells, checkAccountCeiling, borrow, preemptForUrgent,
// consolidate, preemptForStarved.
package scheduler

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// Policy holds the settings of the scheduler.
type Policy struct {
	// Strategy selects among the blocks that fit.
	Strategy placement.Strategy
	// FIFO considers jobs in the order of submission. Otherwise accounts take turns by
	// dominant share, and within one account the highest response ratio goes first, which
	// favours short jobs but lets every job age to the front.
	FIFO bool
	// NoBackfill stops planning at the first job that has to wait.
	NoBackfill bool
	// Guarantees enables cells, reclaiming and urgency.
	Guarantees bool
	// RacksPerReservation limits the large jobs that hold a reservation at once: one per
	// this many racks, and at least one; 0 allows none.
	RacksPerReservation int
	// StarveAfter is the wait after which a job with a reservation preempts borrowers on
	// its block that were submitted later; 0 disables this.
	StarveAfter time.Duration
	// ConsolidateGain is the ratio of the idle time that is saved to the work that is
	// lost, from which borrowers are moved off a large job's block; 0 disables this.
	ConsolidateGain float64
	// ConsolidateAfter is how long a borrower must have run before it is moved.
	ConsolidateAfter time.Duration
	// UrgentGrace is the longest time that borrowers get to checkpoint if they are
	// preempted for urgent work.
	UrgentGrace time.Duration
}

// DefaultPolicy returns the policy that is used unless another one is set.
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

// Gang is a gang that holds resources.
type Gang struct {
	Job       domain.Job
	Class     domain.Class
	Placement domain.Placement
	// Guaranteed gangs run within their account's cells and are not preempted.
	Guaranteed bool
	// Stopping gangs have been ordered to stop and still hold their resources.
	Stopping bool
	Started  time.Time
	// LastCheckpoint is the time of the last checkpoint, or Started.
	LastCheckpoint time.Time
	// Remaining is the expected time until the gang ends.
	Remaining time.Duration
}

func (g *Gang) isPreemptible() bool {
	return !g.Guaranteed && !g.Stopping && g.Class.Preemptible()
}

// WaitingJob is a job that waits to be placed.
type WaitingJob struct {
	Job   domain.Job
	Class domain.Class
	// Since is when the job was submitted.
	Since time.Time
	// Expected is the run time, corrected by package estimate.
	Expected time.Duration
	// Avoid are the workers on which the job has failed.
	Avoid []domain.WorkerID
}

// Reservation is a block that is reserved for a large job.
type Reservation struct {
	Job     domain.JobID
	Workers []domain.WorkerID
	// Start is when the block is expected to be free.
	Start time.Time
}

// Snapshot is the input of MakePlan, which does not change it.
type Snapshot struct {
	Now        time.Time
	DataCentre domain.DataCentre
	Accounts   map[domain.AccountID]domain.ClientAccount
	Workers    []domain.Worker
	// Unschedulable are workers on which nothing new is placed: unreachable, draining,
	// evacuated or quarantined.
	Unschedulable map[domain.WorkerID]bool
	// Binding and Reservations are those of the previous plan.
	Binding      guarantee.Binding
	Reservations []Reservation
	Gangs        []Gang
	Waiting      []WaitingJob
}

// Start is the start of a job on workers.
type Start struct {
	Job        domain.JobID
	Placement  domain.Placement
	Guaranteed bool
}

// Preemption stops a borrower.
type Preemption struct {
	Job domain.JobID
	// For is the job that needs the capacity.
	For   domain.JobID
	Grace time.Duration
}

// HeldReason is the reason for which a job is held back; a stable code.
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

// Held is the reason for which a job waits, with the missing amount.
type Held struct {
	Job    domain.JobID `json:"job"`
	Reason HeldReason   `json:"reason"`
	// Need and Have are in tasks for blocks and in accelerators for ceilings.
	Need int `json:"need"`
	Have int `json:"have"`
	// StartBy is when a reserved block is expected to be free.
	StartBy time.Time `json:"start_by,omitzero"`
}

// Plan holds the decisions of one call of MakePlan.
type Plan struct {
	Binding      guarantee.Binding
	Starts       []Start
	Preemptions  []Preemption
	Held         []Held
	Reservations []Reservation
}
