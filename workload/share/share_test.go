package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
)

type (
	floats = map[domain.AccountID]float64
	counts = map[domain.AccountID]int64
)

// Guards against a division by zero or a share that ignores the resource that an account uses most.
func TestDominantShareIsTheLargestOfAllResources(t *testing.T) {
	pool := Resources{CPU: 100, Memory: 200, Accelerators: 10}
	for _, c := range []struct {
		used, pool Resources
		want       float64
	}{
		{Resources{CPU: 10, Memory: 10, Accelerators: 5}, pool, 0.5},
		{Resources{CPU: 70, Memory: 10, Accelerators: 5}, pool, 0.7},
		{Resources{CPU: 10, Memory: 180, Accelerators: 5}, pool, 0.9},
		{Resources{Accelerators: 5}, Resources{CPU: 1}, 0},
		{Resources{}, Resources{}, 0},
	} {
		if got := Dominant(c.used, c.pool); got != c.want {
			t.Errorf("share of %+v in %+v is %v, want %v", c.used, c.pool, got, c.want)
		}
	}
}

// Guards against weights that an operator did not ask for: a weight that is set must win, one that is
// invalid must not, and an account without either must not get more than the smallest.
func TestWeightsAreThoseSetOrFollowGuarantees(t *testing.T) {
	for name, c := range map[string]struct {
		set        floats
		guaranteed counts
		want       floats
		unequal    bool
	}{
		"guarantees":       {nil, counts{"a": 80, "b": 10, "c": 0}, floats{"a": 0.8, "b": 0.1, "c": 0.1, "unknown": 0.1}, true},
		"set":              {floats{"b": 4}, counts{"a": 10, "b": 10}, floats{"a": 0.2, "b": 0.8}, true},
		"invalid":          {floats{"a": -1, "b": math.NaN()}, counts{"a": 10, "b": 10}, floats{"a": 0.5, "b": 0.5}, false},
		"below the factor": {nil, counts{"a": 39, "b": 10}, floats{"a": 39. / 49}, false},
		"no guarantees":    {nil, counts{"a": 0, "b": 0}, floats{"a": 0.5, "b": 0.5}, false},
		"negative":         {nil, counts{"a": -5, "b": 10}, floats{"a": 0.5, "b": 0.5}, false},
		"none":             {nil, nil, floats{"a": 1}, false},
	} {
		w := NewWeights(c.set, c.guaranteed)
		for id, want := range c.want {
			if got := w.Of(id); math.Abs(got-want) > 1e-9 {
				t.Errorf("%s: weight of %s is %v, want %v", name, id, got, want)
			}
		}
		if w.AreUnequal() != c.unequal {
			t.Errorf("%s: unequal is %t", name, !c.unequal)
		}
	}
}

// Guards against steps that are finer than a factor of 2, or that differ below the lowest one.
func TestStepsAreAFactorOfTwo(t *testing.T) {
	for level, want := range map[float64]int{0: -1, 0.001: -1, 0.49: -1, 0.5: -1, 0.99: -1, 1: 0, 1.99: 0, 2: 1, 100: 6, math.NaN(): -1} {
		if got := Step(level); got != want {
			t.Errorf("step of %v is %d, want %d", level, got, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0, 1000).Draw(t, "a"), rapid.Float64Range(0, 1000).Draw(t, "b")
		if a <= b && Step(a) > Step(b) {
			t.Fatalf("step of %v is above that of %v", a, b)
		}
		if a >= 2*b && a >= 1 && Step(a) <= Step(b) {
			t.Fatalf("steps of %v and %v are equal", a, b)
		}
	})
}

// Guards against a mean that depends on how often it is updated. A busy planner's record would differ
// from an idle one's, and small shares would be lost between frequent rounds.
func TestUseDoesNotDependOnTheUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.001, 0.02, 0.3, 1}).Draw(t, "share")
		began := time.Unix(1000, 0)
		once, often := NewUsage(DefaultHalfLife), NewUsage(DefaultHalfLife)
		held := floats{"a": share}
		once.Hold(held, began)
		often.Hold(held, began)
		at := began
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 5000), 1, 20).Draw(t, "pauses") {
			at = at.Add(time.Duration(ms) * time.Millisecond)
			often.Hold(held, at)
		}
		once.Hold(held, at)
		if a, b := once.Use()["a"], often.Use()["a"]; math.Abs(a-b) > 1e-9 {
			t.Fatalf("use %v with one update, %v with many", a, b)
		}
		if use := often.Use()["a"]; use < share/2 || use > share+1e-9 {
			t.Fatalf("use %v of an account that holds %v", use, share)
		}
	})
}

// Guards against use that counts for ever, or not at all once the work has ended.
func TestPastUseHalvesWithEachHalfLife(t *testing.T) {
	u := NewUsage(DefaultHalfLife)
	now := time.Unix(1000, 0)
	u.Restore(floats{"a": 0.8, "b": math.NaN(), "c": 7, "d": -1})
	u.Hold(nil, now)
	for _, want := range []float64{0.4, 0.2, 0.1} {
		if use := u.Use(); math.Abs(use["a"]-want) > 1e-9 || len(use) != 1 {
			t.Fatalf("use %v, want %v", use, want)
		}
		now = now.Add(DefaultHalfLife)
		u.Hold(nil, now)
	}
	u.Hold(nil, now.Add(time.Hour))
	if use := u.Use(); len(use) != 0 {
		t.Fatalf("after an hour: %v", use)
	}
}

// Guards against a record that a clock set back, or a suspended planner, makes negative or larger
// than the pool.
func TestUseStaysWithinThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, now := NewUsage(DefaultHalfLife), time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 100_000).Draw(t, fmt.Sprint("ms", i))) * time.Millisecond)
			u.Hold(floats{"a": rapid.Float64Range(0, 1).Draw(t, fmt.Sprint("share", i))}, now)
			if use := u.Use()["a"]; use < 0 || use > 1 {
				t.Fatalf("use %v", use)
			}
		}
	})
}

// Guards against an account that is passed over for ever. Single slots become free one after the
// other and go to the lowest step, the longest waiting first; every account always has waiting work.
// None may wait for longer than ReachesLowestWithin and one turn of all accounts.
func TestWaitingOfEveryAccountIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, pause = 16, 500 * time.Millisecond
		n := rapid.IntRange(2, 8).Draw(t, "accounts")
		guaranteed := counts{}
		for i := range n {
			guaranteed[domain.AccountID(fmt.Sprint(i))] = rapid.Int64Range(0, 64).Draw(t, fmt.Sprint("guaranteed", i))
		}
		w, u, now := NewWeights(nil, guaranteed), NewUsage(DefaultHalfLife), time.Unix(1000, 0)
		start := floats{}
		for _, id := range w.Accounts() {
			start[id] = rapid.Float64Range(0, 1).Draw(t, "use of "+string(id))
		}
		u.Restore(start)
		waits := map[domain.AccountID]time.Time{}
		for _, id := range w.Accounts() {
			waits[id] = now
		}
		owners := make([]domain.AccountID, slots)
		for turn := range 2000 {
			owners[turn%slots] = ""
			held := floats{}
			for _, id := range owners {
				if id != "" {
					held[id] += 1. / slots
				}
			}
			u.Hold(held, now)
			l := Levels{Weights: w, Use: u.Use()}
			next := w.Accounts()[0]
			for _, id := range w.Accounts() {
				a, b := Step(l.Level(id, 0)), Step(l.Level(next, 0))
				if a < b || (a == b && waits[id].Before(waits[next])) {
					next = id
				}
			}
			// A turn of all accounts, and the time for which the account's own last run holds its slot.
			bound := w.ReachesLowestWithin(next, DefaultHalfLife) + time.Duration(n+slots)*pause
			if waited := now.Sub(waits[next]); waited > bound {
				t.Fatalf("%s waited %v, the bound is %v", next, waited, bound)
			}
			owners[turn%slots], waits[next] = next, now
			now = now.Add(pause)
		}
		for id, since := range waits {
			if bound := w.ReachesLowestWithin(id, DefaultHalfLife) + time.Duration(n+slots)*pause; now.Sub(since) > bound {
				t.Fatalf("%s has waited for %v at the end, the bound is %v", id, now.Sub(since), bound)
			}
		}
	})
}

// Guards against use of capacity that does not follow the weights while all accounts compete.
func TestContendedCapacityFollowsWeights(t *testing.T) {
	const slots, turns = 64, 20_000
	w, u, now := NewWeights(nil, counts{"heavy": 160, "middle": 40, "light": 10}), NewUsage(DefaultHalfLife), time.Unix(1000, 0)
	owners := make([]domain.AccountID, slots)
	got := floats{}
	for turn := range turns {
		owners[turn%slots] = ""
		held := floats{}
		for _, id := range owners {
			held[id] += 1. / slots
		}
		u.Hold(held, now)
		l := Levels{Weights: w, Use: u.Use()}
		next := domain.AccountID("heavy")
		for _, id := range []domain.AccountID{"middle", "light"} {
			if Step(l.Level(id, 0)) < Step(l.Level(next, 0)) {
				next = id
			}
		}
		owners[turn%slots] = next
		got[next] += 1. / turns
		now = now.Add(50 * time.Millisecond)
	}
	for _, id := range w.Accounts() {
		if level := got[id] / w.Of(id); level < 0.4 || level > 2.5 {
			t.Errorf("%s got %.3f of the pool, its part is %.3f", id, got[id], w.Of(id))
		}
	}
}
