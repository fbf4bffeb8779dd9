package decide

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the policy that can be switched off, so that what it is
// worth can be measured, and so that operators can do without one that does harm.
type Mechanism string

// The mechanisms.
const (
	// ClearRacks keeps racks clear of work that a stop would throw away.
	ClearRacks Mechanism = "clear-racks"
	// WorkerSpeeds keeps gangs together on workers of one speed, the first priority on
	// the faster ones.
	WorkerSpeeds Mechanism = "worker-speeds"
	// StopBeyondGuarantee lets the first priority stop others beyond its account's guarantee.
	StopBeyondGuarantee Mechanism = "stop-beyond-guarantee"
	// WaitNear lets work wait for a place near its data or in one rack.
	WaitNear Mechanism = "wait-near"
	// LearnEstimates corrects callers' estimates by what tasks took.
	LearnEstimates Mechanism = "learn-estimates"
	// Distrust gives workers that fail one task after the other a rest.
	Distrust Mechanism = "distrust"
	// KeepIdle keeps the clear racks of work that could be stopped without loss, too.
	KeepIdle Mechanism = "keep-idle"
	// WatchCentres closes a data centre to new work while it does not answer.
	WatchCentres Mechanism = "watch-centres"
	// MindCold treats workers that have just started as slow ones.
	MindCold Mechanism = "mind-cold"
	// LeaveEarly stops runs that their worker will not stay for.
	LeaveEarly Mechanism = "leave-early"
	// SuspectsApart keeps tasks under which a worker has crashed apart from one another
	// and from what has just begun.
	SuspectsApart Mechanism = "suspects-apart"
)

// Mechanisms lists all.
var Mechanisms = []Mechanism{ClearRacks, WorkerSpeeds, StopBeyondGuarantee, WaitNear, LearnEstimates, Distrust, LeaveEarly, KeepIdle, WatchCentres, MindCold, SuspectsApart}

// Latest are the mechanisms that the last round of changes to the policy added:
// without them it decides as it did before.
var Latest = []Mechanism{KeepIdle, WatchCentres}

// Without are the mechanisms that are switched off; none is the policy as it
// ships.
type Without map[Mechanism]bool

// ParseWithout reads a list of mechanisms, separated by commas.
func ParseWithout(list string) (Without, error) {
	out := Without{}
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, fmt.Errorf("there is no mechanism %q: name some of %v", name, Mechanisms)
		}
		out[Mechanism(name)] = true
	}
	return out, nil
}
