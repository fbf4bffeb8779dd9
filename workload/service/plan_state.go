package service

import (
	"maps"
	"slices"
	"sync"
)

// planState holds the newest state record of each key that planners have left. It is safe for
// concurrent use: the follower of the plans and the planner write it.
type planState struct {
	mu sync.Mutex
	// records holds deleted keys too, without a value, so that an older record that is read later
	// does not restore them.
	records map[string]Entry
}

func newPlanState() *planState { return &planState{records: map[string]Entry{}} }

// record stores an entry, unless a newer one of its key is known. The planner's own records are
// stored when they are written and read again later.
func (s *planState) record(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.records[e.Key]; !ok || e.Offset >= known.Offset {
		s.records[e.Key] = e
	}
}

// clear drops all records: keys that are deleted while the plans are not followed would be kept.
func (s *planState) clear() {
	s.mu.Lock()
	clear(s.records)
	s.mu.Unlock()
}

// each calls f with each record, in order of the keys.
func (s *planState) each(f func(Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if e := s.records[key]; len(e.Value) > 0 {
			f(e)
		}
	}
}
