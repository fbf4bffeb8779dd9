package decide

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the policy that can be disabled, to measure its benefit or because it
// does harm in production.
type Mechanism string

// The mechanisms.
const (
	// ReserveRacks reserves racks by keeping work out of them that a stop would throw away.
	ReserveRacks Mechanism = "clear-racks"
	// WorkerSpeeds places gangs on workers of one speed, those of the top priority on the faster
	// ones.
	WorkerSpeeds Mechanism = "worker-speeds"
	// StopBeyondGuarantee lets top-priority work preempt others beyond its account's guarantee.
	StopBeyondGuarantee Mechanism = "stop-beyond-guarantee"
	// WaitForLocality lets work wait for a place near its data or in one rack.
	WaitForLocality Mechanism = "wait-near"
	// LearnEstimates corrects the callers' estimates by measured run times.
	LearnEstimates Mechanism = "learn-estimates"
	// Distrust suspends workers on which one task after another fails.
	Distrust Mechanism = "distrust"
	// KeepReservedIdle keeps reserved racks free of work that could be stopped without loss, too.
	KeepReservedIdle Mechanism = "keep-idle"
	// CloseSilentCentres closes a data centre to new work while it does not respond.
	CloseSilentCentres Mechanism = "watch-centres"
	// TreatColdAsSlow treats workers that have just started as slow.
	TreatColdAsSlow Mechanism = "mind-cold"
	// StopBeforeDeparture stops runs that would not end before their worker leaves.
	StopBeforeDeparture Mechanism = "leave-early"
	// UnitDepartures decides for whole units what is done when a worker leaves.
	UnitDepartures Mechanism = "unit-departures"
	// IsolateSuspects isolates tasks under which a worker has crashed from one another and from
	// other runs that have just started.
	IsolateSuspects Mechanism = "suspects-apart"
	// KeepSpeeds keeps what a planner has learnt of workers' speeds for its successor, and for the
	// next incarnation of a worker.
	KeepSpeeds Mechanism = "keep-speeds"
	// FairShares orders work beyond guarantees by its account's weighted share of the pool.
	FairShares Mechanism = "fair-shares"
	// SlowSpells treats workers that have turned slow for some seconds as slow until they recover.
	SlowSpells Mechanism = "slow-spells"
)

// Admission refuses jobs that can never run or would start too late. Instances apply it before a
// job reaches the planner, so it is no mechanism of the policy and has no pattern in a replay; it
// is only disabled in the same way.
const Admission Mechanism = "admission"

// Mechanisms lists all mechanisms.
var Mechanisms = []Mechanism{ReserveRacks, WorkerSpeeds, StopBeyondGuarantee, WaitForLocality, LearnEstimates, Distrust, StopBeforeDeparture, KeepReservedIdle, CloseSilentCentres, TreatColdAsSlow, IsolateSuspects, KeepSpeeds, FairShares, UnitDepartures, SlowSpells}

// RecentMechanisms lists the mechanisms added by the last round of changes to the policy: with them
// disabled it decides as it did before.
var RecentMechanisms = []Mechanism{KeepReservedIdle, CloseSilentCentres}

// DisabledMechanisms is the set of disabled mechanisms; SlowSpells ships disabled.
type DisabledMechanisms map[Mechanism]bool

// ParseDisabled parses a comma-separated list of mechanisms.
func ParseDisabled(list string) (DisabledMechanisms, error) {
	out := DisabledMechanisms{}
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if name != string(Admission) && !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, fmt.Errorf("unknown mechanism %q: name some of %v, or %s", name, Mechanisms, Admission)
		}
		out[Mechanism(name)] = true
	}
	return out, nil
}
