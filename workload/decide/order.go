package decide

import (
	"container/heap"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/share"
)

// queue yields the waiting units in the order of placement: guaranteed units first; then units that
// can still end within their objective, then those that still have some value, then the rest; within
// these by the queue's priority, by the account's share of the pool where that is divided, by the
// latest start, and smaller units first.
type queue struct {
	snapshot *Snapshot
	// order is that without shares; its first passed units are placed or in accounts.
	order  []int
	passed int
	// accounts are those with units of the current rank beyond guarantees; charged is what the units
	// before have taken, by account.
	accounts accountHeap
	charged  map[domain.AccountID]float64
	// current is the account of the last unit, nil if it is not charged.
	current *accountQueue
}

func newQueue(s *Snapshot) *queue {
	q := &queue{snapshot: s, order: make([]int, len(s.Waiting))}
	for i := range q.order {
		q.order[i] = i
	}
	sort.SliceStable(q.order, func(a, b int) bool {
		return before(s.Now, &s.Waiting[q.order[a]], &s.Waiting[q.order[b]])
	})
	if s.Shares != nil && !s.Disabled[FairShares] {
		q.charged = map[domain.AccountID]float64{}
	}
	return q
}

// next returns the next unit; ok is false if none is left.
func (q *queue) next() (unit int, ok bool) {
	q.dropCurrent()
	if len(q.accounts) == 0 {
		if q.passed == len(q.order) {
			return 0, false
		}
		if unit = q.order[q.passed]; q.charged == nil || q.snapshot.Waiting[unit].Guaranteed {
			q.passed++
			return unit, true
		}
		q.divideRank()
	}
	q.current = q.accounts[0]
	return q.order[q.current.places[0]], true
}

// dropCurrent removes the last unit from its account, whose place may change.
func (q *queue) dropCurrent() {
	if q.current == nil {
		return
	}
	if q.current.places = q.current.places[1:]; len(q.current.places) > 0 {
		heap.Fix(&q.accounts, 0)
	} else {
		heap.Pop(&q.accounts)
	}
	q.current = nil
}

// divideRank divides the units beyond guarantees that are equal in lateness and priority by account.
// The account in the lowest step of its weighted share is next, in one step that with the first
// unit in the order without shares.
func (q *queue) divideRank() {
	s, byID := q.snapshot, map[domain.AccountID]*accountQueue{}
	first := &s.Waiting[q.order[q.passed]]
	for ; q.passed < len(q.order); q.passed++ {
		u := &s.Waiting[q.order[q.passed]]
		if !isSameRank(s.Now, first, u) {
			break
		}
		a := byID[u.Account]
		if a == nil {
			a = &accountQueue{id: u.Account, step: q.step(u.Account)}
			byID[u.Account] = a
			q.accounts = append(q.accounts, a)
		}
		a.places = append(a.places, q.passed)
	}
	heap.Init(&q.accounts)
}

func (q *queue) step(id domain.AccountID) int {
	return share.Step(q.snapshot.Shares.Level(id, q.charged[id]))
}

// charge charges the account of the last unit for the tasks that were placed or for which capacity
// was reserved, as if they had started. An account's backlog is then not ahead of the other accounts
// as a whole, and units that can't be placed do not push their account back.
func (q *queue) charge(tasks int) {
	if q.current == nil || tasks == 0 {
		return
	}
	a, u := q.current, &q.snapshot.Waiting[q.order[q.current.places[0]]]
	if u.Departing {
		// Its running members count as held.
		return
	}
	// Use is half the current share.
	q.charged[a.id] += u.taskShare(q.snapshot.Shares.Capacity) * float64(tasks) / 2
	a.step = q.step(a.id)
}

// accountQueue holds the units of an account and rank that are left.
type accountQueue struct {
	id domain.AccountID
	// places are those of its units in the order without shares.
	places []int
	// step is that of the account's level with what is charged.
	step int
}

// accountHeap has the account whose unit is next at the top.
type accountHeap []*accountQueue

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(a, b int) bool {
	return h[a].step < h[b].step || (h[a].step == h[b].step && h[a].places[0] < h[b].places[0])
}

func (h accountHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *accountHeap) Push(x any) { *h = append(*h, x.(*accountQueue)) }

func (h *accountHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// taskShare returns the dominant share that one task of the unit takes of the capacity.
func (u *Unit) taskShare(capacity share.Resources) float64 {
	return share.Dominant(ShareResources(u.Step.CapacityNeed()), capacity)
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
