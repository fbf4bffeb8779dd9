package replay

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// Policy is one way to decide.
type Policy struct {
	Name string
	// Without are mechanisms that are switched off.
	Without decide.Without
	// Plan replaces the decisions; nil is what ships.
	Plan func(*decide.Snapshot) decide.Plan
}

// Names of policies; any other name is a list of mechanisms to switch off.
const (
	// Shipping is the policy as it ships.
	Shipping = "shipping"
	// Before is the policy without the mechanisms that were added last.
	Before = "before"
	// Easy is backfilling behind a reservation for the first in line, best fit.
	Easy = "easy"
	// Fifo starts in the order of arrival and nothing else.
	Fifo = "fifo"
)

// ParsePolicy finds a policy by its name, or makes one of what ships without
// some mechanisms: "without=clear-racks,distrust".
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case Shipping:
		return Policy{Name: name}, nil
	case Before:
		return Policy{Name: name, Without: before()}, nil
	case Easy:
		return Policy{Name: name, Plan: easy}, nil
	case Fifo:
		return Policy{Name: name, Plan: fifo}, nil
	}
	list, ok := strings.CutPrefix(name, "without=")
	if !ok {
		return Policy{}, fmt.Errorf("there is no policy %q: use %s, %s, %s, %s, or without=MECHANISM with a list of them", name, Shipping, Before, Easy, Fifo)
	}
	without, err := decide.ParseWithout(list)
	return Policy{Name: name, Without: without}, err
}

func before() decide.Without {
	out := decide.Without{}
	for _, m := range decide.Latest {
		out[m] = true
	}
	return out
}

// byArrival orders units by when they could first start.
func byArrival(s *decide.Snapshot) []int {
	out := make([]int, len(s.Waiting))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return s.Waiting[a].Since.Compare(s.Waiting[b].Since) })
	return out
}
