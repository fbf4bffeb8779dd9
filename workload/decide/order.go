package decide

import (
	"sort"
	"time"
)

// order returns the indexes of the waiting units in the order of placement: guaranteed units
// first; then units that can still end within their objective, then those that still have some
// value, then the rest; within these by the queue's priority, by the latest start, and smaller
// units first.
func order(s *Snapshot) []int {
	out := make([]int, len(s.Waiting))
	for i := range out {
		out[i] = i
	}
	sort.SliceStable(out, func(a, b int) bool {
		return before(s.Now, &s.Waiting[out[a]], &s.Waiting[out[b]])
	})
	return out
}

func before(now time.Time, a, b *Unit) bool {
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if x, y := a.lateness(now), b.lateness(now); x != y {
		return x < y
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}
	return len(a.Indexes) < len(b.Indexes)
}

// lateness is how late a unit would end if it started now: within its objective, late but still of
// value, or worthless.
type lateness int

const (
	inTime lateness = iota
	late
	worthless
)

func (u *Unit) lateness(now time.Time) lateness {
	switch {
	case !now.After(u.LatestStart):
		return inTime
	case !now.After(u.WorthlessAfter):
		return late
	}
	return worthless
}
