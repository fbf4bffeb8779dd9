package decide

import (
	"slices"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/share"
)

// order returns the indexes of the waiting units in the order of placement: guaranteed units
// first; then units that can still end within their objective, then those that still have some
// value, then the rest; within these by the queue's priority, by the account's share of the pool
// where that is divided, by the latest start, and smaller units first.
func order(s *Snapshot) []int {
	out := make([]int, len(s.Waiting))
	for i := range out {
		out[i] = i
	}
	sort.SliceStable(out, func(a, b int) bool {
		return before(s.Now, &s.Waiting[out[a]], &s.Waiting[out[b]])
	})
	if s.Shares != nil && !s.Disabled[FairShares] {
		orderByShares(s, out)
	}
	return out
}

// orderByShares reorders units beyond guarantees that are equal in lateness and priority: those of
// accounts in lower steps of their weighted share go first. Each unit is charged to its account as
// if it had started, so that an account's backlog is not ahead of the other accounts as a whole.
// Within a step the order is kept.
func orderByShares(s *Snapshot, units []int) {
	steps := shareSteps(s, units)
	for from := 0; from < len(units); {
		first := &s.Waiting[units[from]]
		to := from + 1
		for to < len(units) && isSameRank(s.Now, first, &s.Waiting[units[to]]) {
			to++
		}
		if !first.Guaranteed {
			slices.SortStableFunc(units[from:to], func(a, b int) int { return steps[a] - steps[b] })
		}
		from = to
	}
}

// shareSteps returns the step of each waiting unit, given their order.
func shareSteps(s *Snapshot, units []int) []int {
	steps := make([]int, len(s.Waiting))
	charged := map[domain.AccountID]float64{}
	for _, i := range units {
		u := &s.Waiting[i]
		if u.Guaranteed {
			continue
		}
		steps[i] = share.Step(s.Shares.Level(u.Account, charged[u.Account]))
		if !u.Departing {
			// The running members of a departing unit count as held.
			charged[u.Account] += u.dominantShare(s.Shares.Capacity) / 2
		}
	}
	return steps
}

// dominantShare returns the share of the pool that the unit takes.
func (u *Unit) dominantShare(capacity share.Resources) float64 {
	return float64(len(u.Indexes)) * share.Dominant(ShareResources(u.Step.CapacityNeed()), capacity)
}

// ShareResources converts resources to those that shares are computed of.
func ShareResources(r workload.Resources) share.Resources {
	return share.Resources{CPU: r.MilliCPU, Memory: r.MemoryMiB, Accelerators: r.Accelerators}
}

func isSameRank(now time.Time, a, b *Unit) bool {
	return a.Guaranteed == b.Guaranteed && a.Priority == b.Priority && a.lateness(now) == b.lateness(now)
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
