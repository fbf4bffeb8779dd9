package decide

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/share"
)

// unequalShares returns shares of a pool in which heavy uses four times its fair part.
func unequalShares() *share.Levels {
	w := share.NewWeights(nil, map[domain.AccountID]int64{"heavy": 80, "light": 20, "other": 20})
	return &share.Levels{Weights: w, Use: map[domain.AccountID]float64{"heavy": 4 * w.Of("heavy")}, Capacity: share.Resources{Accelerators: 1000}}
}

// order returns the order of placement where all units can be placed.
func order(s *Snapshot) []int {
	var out []int
	q := newQueue(s)
	for i, ok := q.next(); ok; i, ok = q.next() {
		q.charge(len(s.Waiting[i].Indexes))
		out = append(out, i)
	}
	return out
}

// drawSharedSnapshot draws a snapshot whose units belong to three accounts.
func drawSharedSnapshot(t *rapid.T) *Snapshot {
	s := drawSnapshot(t)
	for i := range s.Waiting {
		s.Waiting[i].Account = rapid.SampledFrom([]domain.AccountID{"heavy", "light", "other"}).Draw(t, "account")
	}
	s.Shares = unequalShares()
	return s
}

// Guards against a mechanism that acts where it is disabled, or where all accounts use equal parts.
func TestPlansWithoutUnequalSharesAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSharedSnapshot(t)
		without := *s
		without.Shares = nil
		disabled := *s
		disabled.Disabled = DisabledMechanisms{FairShares: true}
		unused := *s
		unused.Shares = &share.Levels{Weights: s.Shares.Weights, Capacity: share.Resources{Accelerators: 1_000_000}}
		for name, other := range map[string]*Snapshot{"disabled": &disabled, "nothing used": &unused} {
			if !slices.Equal(order(other), order(&without)) || !reflect.DeepEqual(MakePlan(other), MakePlan(&without)) {
				t.Fatalf("%s: order %v, without shares %v", name, order(other), order(&without))
			}
		}
	})
}

// Guards against shares that put late work before work in time, a lower priority before a higher one
// or anything before guaranteed work, and against a changed order of guaranteed work.
func TestSharesOnlyReorderUnitsOfOneRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSharedSnapshot(t)
		with := order(s)
		without := *s
		without.Shares = nil
		for at, i := range order(&without) {
			a, b := &s.Waiting[i], &s.Waiting[with[at]]
			if !isSameRank(now, a, b) || (a.Guaranteed && i != with[at]) {
				t.Fatalf("place %d has %+v, without shares %+v", at, b, a)
			}
		}
		sorted := slices.Sorted(slices.Values(with))
		if !slices.Equal(sorted, indexes(len(s.Waiting))) {
			t.Fatalf("the order %v is no permutation", with)
		}
	})
}

// Guards against a light account's small job that waits behind a heavy account's backlog.
func TestLightAccountIsNotBehindAHeavyAccountsBacklog(t *testing.T) {
	s := &Snapshot{Now: now, Workers: racks([]int64{8}), Shares: unequalShares()}
	for range 50 {
		u := singles(8, 1)
		u.Account, u.Priority = "heavy", 2
		s.Waiting = append(s.Waiting, u)
	}
	u := singles(1, 1)
	u.Key.Job, u.Account, u.Priority = workload.JobID("small"), "light", 2
	u.LatestStart = now.Add(time.Minute)
	s.Waiting = append(s.Waiting, u)
	if first := order(s)[0]; first != 50 {
		t.Fatalf("unit %d is first", first)
	}
	s.Waiting[50].LatestStart, s.Waiting[50].WorthlessAfter = now.Add(-2*time.Second), now.Add(time.Second)
	if last := order(s)[50]; last != 50 {
		t.Fatalf("late work is before work in time: unit %d is last", last)
	}
}

// Guards against an account that gets all capacity that is freed at once because its use counts only
// from the next round on.
func TestUnitsAreChargedWithinOneOrder(t *testing.T) {
	s := &Snapshot{Now: now, Shares: unequalShares()}
	s.Shares.Use = nil
	s.Shares.Capacity = share.Resources{Accelerators: 16}
	for i := range 20 {
		u := singles(1, 4)
		u.Account, u.LatestStart = "light", now.Add(time.Second)
		if i >= 10 {
			u.Account, u.LatestStart = "other", now.Add(2*time.Second)
		}
		s.Waiting = append(s.Waiting, u)
	}
	if first := order(s)[:10]; !slices.ContainsFunc(first, func(i int) bool { return s.Waiting[i].Account == "other" }) {
		t.Fatalf("the first units %v are all of one account", first)
	}
}

// Guards against units that can't be placed and push the other units of their account behind an
// account that uses more.
func TestUnitsThatCannotBePlacedAreNotCharged(t *testing.T) {
	stuck := map[string]func() Unit{
		"no worker is allowed":    func() Unit { u := singles(64, 1); u.Allowed = map[string]bool{}; return u },
		"the worker is avoided":   func() Unit { u := singles(64, 1); u.Avoid = map[string]bool{"a0": true}; return u },
		"wider than the pool":     func() Unit { return gang(64, 1, false) },
		"larger than each worker": func() Unit { return singles(4, 16) },
	}
	for name, newUnit := range stuck {
		s := &Snapshot{Now: now, Workers: racks([]int64{1}), Shares: unequalShares()}
		s.Shares.Use["heavy"], s.Shares.Capacity.Accelerators = 1.5*s.Shares.Weights.Of("heavy"), 8
		s.Waiting = []Unit{newUnit(), singles(1, 1), singles(1, 1)}
		for i, account := range []domain.AccountID{"light", "heavy", "light"} {
			s.Waiting[i].Account, s.Waiting[i].LatestStart = account, now.Add(time.Duration(1+i)*time.Second)
		}
		if p := MakePlan(s); len(p.Starts) != 1 || p.Starts[0].Unit != 2 {
			t.Errorf("%s: starts %+v, want that of unit 2", name, p.Starts)
		}
	}
}

// Guards against units that wait for a stop and are not charged: the capacity that is reserved for
// them is their account's.
func TestReservedCapacityIsCharged(t *testing.T) {
	s := &Snapshot{Now: now, Workers: racks([]int64{1, 8}), Shares: unequalShares()}
	s.Workers[1].Free, s.Workers[1].Freeing = gpus(0), gpus(8)
	s.Shares.Use, s.Shares.Capacity.Accelerators = nil, 9
	s.Waiting = []Unit{gang(1, 8, false), singles(1, 1), singles(1, 1)}
	for i, account := range []domain.AccountID{"light", "light", "other"} {
		s.Waiting[i].Account, s.Waiting[i].LatestStart = account, now.Add(time.Duration(1+i)*time.Second)
	}
	if p := MakePlan(s); len(p.Starts) != 1 || p.Starts[0].Unit != 2 {
		t.Fatalf("starts %+v, want that of unit 2", p.Starts)
	}
}

// Guards against the next run of a departing unit that is charged beside its running members, which
// would push the other units of its account back.
func TestDepartingUnitsAreNotCharged(t *testing.T) {
	s := &Snapshot{Now: now, Shares: unequalShares()}
	s.Shares.Capacity = share.Resources{Accelerators: 16}
	for i, account := range []domain.AccountID{"light", "light", "other"} {
		u := singles(16, 1)
		u.Account, u.Departing, u.LatestStart = account, i == 0, now.Add(time.Duration(i)*time.Second)
		s.Waiting = append(s.Waiting, u)
	}
	if got := order(s); !slices.Equal(got, []int{0, 1, 2}) {
		t.Fatalf("the order is %v, want that by latest start", got)
	}
}

// BenchmarkOrder measures the order of 3,000 waiting units of 460 accounts, with and without shares.
func BenchmarkOrder(b *testing.B) {
	guaranteed, use := map[domain.AccountID]int64{}, map[domain.AccountID]float64{}
	accounts := make([]domain.AccountID, 460)
	for i := range accounts {
		accounts[i] = domain.AccountID(fmt.Sprintf("team-%03d", i))
		guaranteed[accounts[i]], use[accounts[i]] = int64(1+i%16), float64(i%7)/1000
	}
	levels := &share.Levels{Weights: share.NewWeights(nil, guaranteed), Use: use, Capacity: share.Resources{Accelerators: 100_000}}
	for name, shares := range map[string]*share.Levels{"shares=false": nil, "shares=true": levels} {
		b.Run(name, func(b *testing.B) {
			s := &Snapshot{Now: now, Shares: shares}
			for i := range 3000 {
				u := singles(4, 1)
				u.Account, u.Priority, u.LatestStart = accounts[i*7%len(accounts)], i%3, now.Add(time.Duration(i*7919%10_000)*time.Millisecond)
				s.Waiting = append(s.Waiting, u)
			}
			for b.Loop() {
				order(s)
			}
		})
	}
}
