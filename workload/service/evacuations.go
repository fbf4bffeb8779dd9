package service

import (
	"maps"
	"slices"
	"sync"
)

// evacuated keeps the data centres that operators have asked to get nothing new. It is
// safe for concurrent use: the reader of declarations writes it, the planner reads it.
type evacuations struct {
	mu      sync.Mutex
	centres map[string]bool
}

func newEvacuations() *evacuations { return &evacuations{centres: map[string]bool{}} }

// replace takes all requests that stand.
func (v *evacuations) replace(centres []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.centres = map[string]bool{}
	for _, name := range centres {
		v.centres[name] = true
	}
}

// set takes one request, or takes it back.
func (v *evacuations) set(centre string, asked bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if asked {
		v.centres[centre] = true
		return
	}
	delete(v.centres, centre)
}

// list returns the data centres in order.
func (v *evacuations) list() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.centres))
}
