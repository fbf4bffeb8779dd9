package service

import (
	"maps"
	"slices"
	"sync"
)

// evacuations holds the data centres that operators have asked to evacuate: no new work is
// started there. It is safe for concurrent use: the follower of the declarations writes it and
// the planner reads it.
type evacuations struct {
	mu      sync.Mutex
	centres map[string]bool
}

func newEvacuations() *evacuations { return &evacuations{centres: map[string]bool{}} }

// replace replaces all requests.
func (e *evacuations) replace(centres []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.centres = map[string]bool{}
	for _, name := range centres {
		e.centres[name] = true
	}
}

// set adds or withdraws the request for a data centre.
func (e *evacuations) set(centre string, requested bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if requested {
		e.centres[centre] = true
		return
	}
	delete(e.centres, centre)
}

// list returns the data centres in alphabetical order.
func (e *evacuations) list() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.centres))
}
