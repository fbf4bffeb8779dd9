package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/share"
)

// sharedSlots is a pool of workers of one accelerator each, some of which run guaranteed work for
// ever. One of the others becomes free after the other, every slotPause.
type sharedSlots struct {
	weights share.Weights
	usage   *share.Usage
	now     time.Time
	// guaranteed is the number of workers with guaranteed work; owners are the accounts that hold
	// the other ones.
	guaranteed int
	owners     []domain.AccountID
	turn       int
}

const slotPause = 500 * time.Millisecond

// snapshot frees the next slot and returns a snapshot with these waiting units.
func (p *sharedSlots) snapshot(waiting []Unit) *Snapshot {
	free := p.turn % len(p.owners)
	p.owners[free] = ""
	held := map[domain.AccountID]float64{}
	s := &Snapshot{Now: p.now, Waiting: waiting}
	add := func(id string, isFree bool) {
		w := Worker{ID: id, Capacity: gpus(1)}
		if isFree {
			w.Free = gpus(1)
		} else {
			s.Running = append(s.Running, Group{Key: UnitKey{Job: workload.JobID("on " + id)}, Allocations: []Allocation{{id, gpus(1)}}, Guaranteed: id[0] == 'g', Priority: 2})
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range p.guaranteed {
		add(fmt.Sprint("g", i), false)
	}
	for i, id := range p.owners {
		add(fmt.Sprint("s", i), i == free)
		if id != "" {
			held[id] += 1 / float64(len(p.owners))
		}
	}
	p.usage.Hold(held, p.now)
	s.Shares = &share.Levels{Weights: p.weights, Use: p.usage.Use(), Capacity: share.Resources{Accelerators: int64(len(p.owners))}}
	return s
}

// start plans and returns the account whose unit gets the free slot, "" if none does.
func (p *sharedSlots) start(s *Snapshot) domain.AccountID {
	plan := MakePlan(s)
	started := domain.AccountID("")
	if len(plan.Starts) > 0 {
		started = s.Waiting[plan.Starts[0].Unit].Account
	}
	p.owners[p.turn%len(p.owners)] = started
	p.turn++
	p.now = p.now.Add(slotPause)
	return started
}

// drawSharedSlots draws two to four accounts with random weights, past use and owners of slots, so
// that the fair part of each is at least a slot.
func drawSharedSlots(t *rapid.T) *sharedSlots {
	guaranteed, start := map[domain.AccountID]int64{}, map[domain.AccountID]float64{}
	for i := range rapid.IntRange(2, 4).Draw(t, "accounts") {
		id := domain.AccountID(fmt.Sprint(i))
		guaranteed[id] = rapid.Int64Range(1, 8).Draw(t, "guaranteed")
		start[id] = rapid.Float64Range(0, 1).Draw(t, "use")
	}
	p := &sharedSlots{
		weights: share.NewWeights(nil, guaranteed), usage: share.NewUsage(share.DefaultHalfLife), now: now,
		guaranteed: rapid.IntRange(0, 50).Draw(t, "guaranteed load"), owners: make([]domain.AccountID, 32),
	}
	p.usage.Restore(start)
	first := rapid.SampledFrom(p.weights.Accounts()).Draw(t, "owner at first")
	for i := range p.owners {
		p.owners[i] = first
	}
	return p
}

// waitingUnit returns a unit of an account with a latest start after a time.
func waitingUnit(id domain.AccountID, at time.Time, slack time.Duration) Unit {
	u := singles(1, 1)
	u.Key.Job, u.Account, u.Priority = workload.JobID(id), id, 2
	u.ReadySince, u.LatestStart, u.WorthlessAfter = at, at.Add(slack), at.Add(slack+time.Hour)
	return u
}

// boundOf is the bound on the time for which an account with work in time is passed over: the slots
// that it holds become free, it gets to the lowest step, the others get to their fair parts within
// another half-life, and their slots become free. Decisions are made once a turn, so that what becomes
// due within a turn starts at its end.
func (p *sharedSlots) boundOf(id domain.AccountID) time.Duration {
	return p.weights.ReachesLowestWithin(id, share.DefaultHalfLife) + share.DefaultHalfLife + time.Duration(2*len(p.owners)+1)*slotPause
}

// Guards against an account that is passed over for ever although its work is in time: the others
// always have work with earlier latest starts, and guaranteed runs, late units and units of its own that
// fit nowhere are there as well.
func TestAccountsWithWorkInTimeAreNotPassedOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawSharedSlots(t)
		victim := rapid.SampledFrom(p.weights.Accounts()).Draw(t, "passed over")
		hasStuck, hasLate := rapid.Bool().Draw(t, "stuck"), rapid.Bool().Draw(t, "late")
		since := p.now
		for range 340 {
			var waiting []Unit
			for _, id := range p.weights.Accounts() {
				slack := time.Second
				if id == victim {
					slack = time.Hour
				}
				for range 3 {
					waiting = append(waiting, waitingUnit(id, p.now, slack))
				}
				if hasStuck && id == victim {
					u := waitingUnit(id, p.now, time.Millisecond)
					u.Indexes, u.Allowed = indexes(50), map[string]bool{}
					waiting = append(waiting, u)
				}
				if hasLate {
					waiting = append(waiting, waitingUnit(id, p.now, -time.Minute))
				}
			}
			s := p.snapshot(waiting)
			if started := p.start(s); started == victim {
				since = p.now
			} else if waited, bound := p.now.Sub(since), p.boundOf(victim); started == "" || waited > bound {
				t.Fatalf("%s with a part of %.3f waits for %v, the bound is %v; %q has started", victim, p.weights.Of(victim), waited, bound, started)
			}
		}
	})
}

// Guards against late work that a lower step puts before work in time, and against a bound that is
// claimed for late work: while others have work in time, it gets nothing.
func TestLateWorkWaitsForWorkInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawSharedSlots(t)
		accounts := p.weights.Accounts()
		for range 40 {
			s := p.snapshot([]Unit{waitingUnit(accounts[0], p.now, -time.Minute), waitingUnit(accounts[1], p.now, time.Minute)})
			if started := p.start(s); started != accounts[1] {
				t.Fatalf("%q has started, want work in time", started)
			}
		}
	})
}

// Guards against capacity that does not follow the weights while all accounts compete with work in
// time, whatever their latest starts are and however much guaranteed runs hold.
func TestPlannedCapacityFollowsWeights(t *testing.T) {
	weights := share.NewWeights(nil, map[domain.AccountID]int64{"heavy": 160, "middle": 40, "light": 10})
	for _, guaranteed := range []int{0, 50} {
		p := &sharedSlots{weights: weights, usage: share.NewUsage(share.DefaultHalfLife), now: now, guaranteed: guaranteed, owners: make([]domain.AccountID, 64)}
		const turns = 2000
		got := map[domain.AccountID]float64{}
		for range turns {
			var waiting []Unit
			for i, id := range []domain.AccountID{"heavy", "middle", "light"} {
				waiting = append(waiting, waitingUnit(id, p.now, time.Duration(1+i)*time.Second), waitingUnit(id, p.now, time.Duration(1+i)*time.Second))
			}
			got[p.start(p.snapshot(waiting))] += 1. / turns
		}
		for _, id := range weights.Accounts() {
			if level := got[id] / weights.Of(id); level < 0.4 || level > 2.5 {
				t.Errorf("%d guaranteed: %s got %.3f of the slots, its part is %.3f", guaranteed, id, got[id], weights.Of(id))
			}
		}
	}
}
