package replay

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// Policy is a scheduling policy.
type Policy struct {
	Name string
	// Disabled are the mechanisms that are switched off.
	Disabled decide.DisabledMechanisms
	// Plan replaces the shipped decision function if it is not nil.
	Plan func(*decide.Snapshot) decide.Plan
}

// Names of policies. Any other name must list mechanisms to disable.
const (
	// Default is the policy as shipped.
	Default = "shipping"
	// Before is the shipped policy without the most recently added mechanisms.
	Before = "before"
	// Easy is EASY backfilling: a reservation for the first unit in line, best fit.
	Easy = "easy"
	// FIFO starts units strictly in the order of arrival.
	FIFO = "fifo"
)

// ParsePolicy returns the policy of that name, or the shipped policy without the listed
// mechanisms: "without=clear-racks,distrust".
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case Default:
		return Policy{Name: name}, nil
	case Before:
		return Policy{Name: name, Disabled: withoutLatest()}, nil
	case Easy:
		return Policy{Name: name, Plan: easy}, nil
	case FIFO:
		return Policy{Name: name, Plan: fifo}, nil
	}
	list, ok := strings.CutPrefix(name, "without=")
	if !ok {
		return Policy{}, fmt.Errorf("unknown policy %q: use %s, %s, %s, %s, or without=MECHANISM with a comma-separated list", name, Default, Before, Easy, FIFO)
	}
	without, err := decide.ParseDisabled(list)
	return Policy{Name: name, Disabled: without}, err
}

func withoutLatest() decide.DisabledMechanisms {
	out := decide.DisabledMechanisms{}
	for _, m := range decide.RecentMechanisms {
		out[m] = true
	}
	return out
}

// byArrival returns the indexes of the waiting units, ordered by when they could first start.
func byArrival(s *decide.Snapshot) []int {
	out := make([]int, len(s.Waiting))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return s.Waiting[a].ReadySince.Compare(s.Waiting[b].ReadySince) })
	return out
}
