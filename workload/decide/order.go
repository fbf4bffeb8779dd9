package decide

import "sort"

// order returns the indexes of the waiting units in the order in which they
// choose: guaranteed ones first, then by the queue's priority; those that can
// still end within their objective before those that can't; then by the time
// that is left to start, and the narrower of equals.
func order(s *Snapshot) []int {
	out := make([]int, len(s.Waiting))
	for i := range out {
		out[i] = i
	}
	sort.SliceStable(out, func(a, b int) bool {
		return before(s, &s.Waiting[out[a]], &s.Waiting[out[b]])
	})
	return out
}

func before(s *Snapshot, a, b *Unit) bool {
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	lateA, lateB := s.Now.After(a.Worthless), s.Now.After(b.Worthless)
	if lateA != lateB {
		return lateB
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}
	return len(a.Indexes) < len(b.Indexes)
}
