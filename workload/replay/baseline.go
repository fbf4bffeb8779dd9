package replay

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// The baselines ignore guarantees, never stop runs and reserve no workers. They use best fit on
// free capacity alone and place a gang in one rack if it asks for that.

// fifo starts units in the order of arrival and stops at the first one that does not fit
// completely.
func fifo(s *decide.Snapshot) decide.Plan {
	b := newBaseline(s)
	for _, i := range byArrival(s) {
		if !b.start(i) {
			break
		}
	}
	return b.plan
}

// easy implements EASY backfilling: once the first unit in line does not fit, later ones start
// only if they are expected to end before the time at which it could start.
func easy(s *decide.Snapshot) decide.Plan {
	b := newBaseline(s)
	var shadowTime time.Duration
	blocked := false
	for _, i := range byArrival(s) {
		u := &s.Waiting[i]
		if blocked && u.RunTime > shadowTime {
			continue
		}
		if !b.start(i) && !blocked {
			blocked, shadowTime = true, b.shadowTime(u)
		}
	}
	return b.plan
}

type baseline struct {
	s    *decide.Snapshot
	free map[string]workload.Resources
	plan decide.Plan
}

func newBaseline(s *decide.Snapshot) *baseline {
	b := &baseline{s: s, free: map[string]workload.Resources{}}
	for i := range s.Workers {
		if w := &s.Workers[i]; !w.Closed {
			b.free[w.ID] = w.Free
		}
	}
	return b
}

// start places all tasks of a gang or none, and as many tasks of other units as fit. It reports
// whether all tasks of the unit were placed.
func (b *baseline) start(i int) bool {
	u := &b.s.Waiting[i]
	for _, rack := range b.candidateRacks(u) {
		if workers := b.selectWorkers(u, rack); len(workers) == len(u.Indexes) {
			b.assign(i, u, workers)
			return true
		}
	}
	if !u.Step.Gang {
		b.assign(i, u, b.selectWorkers(u, ""))
	}
	return false
}

// candidateRacks returns the racks to try in order; "" means any rack.
func (b *baseline) candidateRacks(u *decide.Unit) []string {
	if u.Step.DataRack != "" {
		return []string{u.Step.DataRack, ""}
	}
	if !u.Step.SameRack {
		return []string{""}
	}
	var racks []string
	for i := range b.s.Workers {
		if rack := b.s.Workers[i].Rack; !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	return racks
}

// selectWorkers returns workers for the unit's tasks, preferring those with the fewest free
// accelerators.
func (b *baseline) selectWorkers(u *decide.Unit, rack string) []string {
	need := u.Step.CapacityNeed()
	var fits []*decide.Worker
	for i := range b.s.Workers {
		w := &b.s.Workers[i]
		if free, open := b.free[w.ID]; open && need.FitsIn(free) && (rack == "" || w.Rack == rack) && !u.Avoid[w.ID] {
			fits = append(fits, w)
		}
	}
	slices.SortStableFunc(fits, func(x, y *decide.Worker) int {
		return int(b.free[x.ID].Accelerators - b.free[y.ID].Accelerators)
	})
	var out []string
	for _, w := range fits {
		for range b.free[w.ID].Count(need, len(u.Indexes)-len(out)) {
			out = append(out, w.ID)
		}
	}
	return out
}

func (b *baseline) assign(i int, u *decide.Unit, workers []string) {
	for n, id := range workers {
		b.free[id] = b.free[id].Sub(u.Step.CapacityNeed())
		b.plan.Starts = append(b.plan.Starts, decide.Assignment{Unit: i, Index: u.Indexes[n], Worker: id})
	}
}

// shadowTime returns the time until enough accelerators are expected to be free for the unit.
func (b *baseline) shadowTime(u *decide.Unit) time.Duration {
	need := int64(len(u.Indexes)) * u.Step.Need.Accelerators
	for _, free := range b.free {
		need -= free.Accelerators
	}
	running := slices.Clone(b.s.Running)
	slices.SortStableFunc(running, func(x, y decide.Group) int { return int(x.RemainingTime - y.RemainingTime) })
	for _, g := range running {
		for _, held := range g.Allocations {
			need -= held.Accelerators
		}
		if need <= 0 {
			return g.RemainingTime
		}
	}
	return time.Hour
}
