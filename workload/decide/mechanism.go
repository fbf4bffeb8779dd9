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
	// ClearRacks reserves racks by keeping work out of them that a stop would throw away.
	ClearRacks Mechanism = "clear-racks"
	// WorkerSpeeds places gangs on workers of one speed, those of the top priority on the faster
	// ones.
	WorkerSpeeds Mechanism = "worker-speeds"
	// StopBeyondGuarantee lets top-priority work preempt others beyond its account's guarantee.
	StopBeyondGuarantee Mechanism = "stop-beyond-guarantee"
	// WaitNear lets work wait for a place near its data or in one rack.
	WaitNear Mechanism = "wait-near"
	// LearnEstimates corrects the callers' estimates by measured run times.
	LearnEstimates Mechanism = "learn-estimates"
	// Distrust suspends workers on which one task after another fails.
	Distrust Mechanism = "distrust"
	// KeepIdle keeps reserved racks free of work that could be stopped without loss, too.
	KeepIdle Mechanism = "keep-idle"
	// WatchCentres closes a data centre to new work while it does not respond.
	WatchCentres Mechanism = "watch-centres"
	// MindCold treats workers that have just started as slow.
	MindCold Mechanism = "mind-cold"
	// LeaveEarly stops runs that would not end before their worker leaves.
	LeaveEarly Mechanism = "leave-early"
	// SuspectsApart isolates tasks under which a worker has crashed from one another and from
	// other runs that have just started.
	SuspectsApart Mechanism = "suspects-apart"
)

// Mechanisms lists all mechanisms.
var Mechanisms = []Mechanism{ClearRacks, WorkerSpeeds, StopBeyondGuarantee, WaitNear, LearnEstimates, Distrust, LeaveEarly, KeepIdle, WatchCentres, MindCold, SuspectsApart}

// Latest lists the mechanisms added by the last round of changes to the policy: with them disabled
// it decides as it did before.
var Latest = []Mechanism{KeepIdle, WatchCentres}

// Without is the set of disabled mechanisms; the policy ships with none disabled.
type Without map[Mechanism]bool

// ParseWithout parses a comma-separated list of mechanisms.
func ParseWithout(list string) (Without, error) {
	out := Without{}
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, fmt.Errorf("unknown mechanism %q: name some of %v", name, Mechanisms)
		}
		out[Mechanism(name)] = true
	}
	return out, nil
}
