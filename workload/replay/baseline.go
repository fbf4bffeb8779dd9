package replay

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// The baselines know no guarantees, no stops and no places kept clear: best fit
// on free room alone, gangs in one rack where they want one.

// fifo starts units in the order of arrival and stops at the first that finds
// no room.
func fifo(s *decide.Snapshot) decide.Plan {
	b := newBaseline(s)
	for _, i := range byArrival(s) {
		if !b.start(i) {
			break
		}
	}
	return b.plan
}

// easy lets the others pass the first in line as long as that does not start
// later by it: those that end before it could, as far as is known.
func easy(s *decide.Snapshot) decide.Plan {
	b := newBaseline(s)
	var shadow time.Duration
	waits := false
	for _, i := range byArrival(s) {
		u := &s.Waiting[i]
		if waits && u.Run > shadow {
			continue
		}
		if !b.start(i) && !waits {
			waits, shadow = true, b.shadow(u)
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

// start places all tasks of a gang or none, of other units as many as fit; it
// tells whether nothing is left waiting.
func (b *baseline) start(i int) bool {
	u := &b.s.Waiting[i]
	for _, rack := range b.places(u) {
		if picks := b.pick(u, rack); len(picks) == len(u.Indexes) {
			b.take(i, u, picks)
			return true
		}
	}
	if !u.Step.Gang {
		b.take(i, u, b.pick(u, ""))
	}
	return false
}

// places are the racks to try; "" is anywhere.
func (b *baseline) places(u *decide.Unit) []string {
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

// pick finds workers for the unit's tasks, the fullest first.
func (b *baseline) pick(u *decide.Unit, rack string) []string {
	need := u.Step.Counted()
	var fits []*decide.Worker
	for i := range b.s.Workers {
		w := &b.s.Workers[i]
		if free, open := b.free[w.ID]; open && need.Fits(free) && (rack == "" || w.Rack == rack) && !u.Avoid[w.ID] {
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

func (b *baseline) take(i int, u *decide.Unit, workers []string) {
	for n, id := range workers {
		b.free[id] = b.free[id].Sub(u.Step.Counted())
		b.plan.Starts = append(b.plan.Starts, decide.Assignment{Unit: i, Index: u.Indexes[n], Worker: id})
	}
}

// shadow is when enough accelerators are expected to be free for the unit.
func (b *baseline) shadow(u *decide.Unit) time.Duration {
	need := int64(len(u.Indexes)) * u.Step.Need.Accelerators
	for _, free := range b.free {
		need -= free.Accelerators
	}
	running := slices.Clone(b.s.Running)
	slices.SortStableFunc(running, func(x, y decide.Group) int { return int(x.Left - y.Left) })
	for _, g := range running {
		for _, held := range g.Held {
			need -= held.Accelerators
		}
		if need <= 0 {
			return g.Left
		}
	}
	return time.Hour
}
