package control

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
	"github.com/cobalttide/cobalttide/workload/share"
)

func newSharesCore(token int64, disabled decide.DisabledMechanisms) *Core {
	c := New(Bounds{Disabled: disabled}, token, time.Unix(1_000_000, 0))
	c.Configure(Configuration{Guaranteed: map[domain.AccountID]int64{"a": 160, "b": 20, "c": 10}})
	return c
}

// holdAndRecord lets accounts hold shares and returns the records that are then due.
func (c *Core) holdAndRecord(held map[domain.AccountID]float64, now time.Time) []Record {
	c.roundAt = now
	c.shares.usage.Hold(held, now)
	return c.Changes()
}

// Guards against a successor that starts with other shares than its predecessor had: if the planner
// is lost at any time, its last record is wrong by at most one interval of use and the tolerance.
func TestSuccessorsUseIsWrongByAtMostOneInterval(t *testing.T) {
	const pause = 100 * time.Millisecond
	perInterval := 1 - math.Exp2(-float64(stateInterval+pause)/float64(share.DefaultHalfLife))
	rapid.Check(t, func(t *rapid.T) {
		c, now := newSharesCore(2, nil), time.Unix(1_000_000, 0)
		var last Record
		held := map[domain.AccountID]float64{}
		for i := range rapid.IntRange(1, 300).Draw(t, "rounds") {
			if i%20 == 0 {
				held = map[domain.AccountID]float64{
					"a": rapid.Float64Range(0, 1).Draw(t, "held by a"), "b": rapid.Float64Range(0, 0.1).Draw(t, "held by b"),
				}
			}
			now = now.Add(pause)
			for _, r := range c.holdAndRecord(held, now) {
				last = r
			}
		}
		successor := newSharesCore(3, nil)
		if last.Key != "" {
			successor.RestoreState(last.Key, last.Value)
		}
		restored := successor.shares.usage.Means()
		for id, want := range c.shares.usage.Means() {
			bound := perInterval + minUsageChange + usageTolerance*restored[id] + 2*usageUnit
			if math.Abs(restored[id]-want) > bound {
				t.Fatalf("use of %s is %v, restored %v", id, want, restored[id])
			}
		}
	})
}

// Guards against writes to the log that carry nothing new: of steady use, of an idle pool, and where
// capacity is not divided.
func TestSteadyUseIsNotRecordedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		held     float64
		disabled decide.DisabledMechanisms
		most     int
	}{
		"steady":   {0.3, nil, 45},
		"idle":     {0, nil, 0},
		"disabled": {0.3, decide.DisabledMechanisms{decide.FairShares: true}, 0},
	} {
		c, now, records := newSharesCore(2, test.disabled), time.Unix(1_000_000, 0), 0
		for range 6000 {
			now = now.Add(100 * time.Millisecond)
			records += len(c.holdAndRecord(map[domain.AccountID]float64{"a": test.held}, now))
		}
		if records > test.most || (test.most > 0 && records == 0) {
			t.Errorf("%s: %d records in 600 rounds of a second, want at most %d", name, records, test.most)
		}
	}
}

// Guards against a record that fails or misleads a successor: foreign forms are ignored, impossible
// shares left out.
func TestUnusableUseIsIgnored(t *testing.T) {
	for state, want := range map[string]int{`{"a":50000}`: 1, `{"a":-5,"b":200000,"c":1e3}`: 0, `{"a":9e99}`: 0, `[1]`: 0, `{"a":-5,"b":200000,"c":1000}`: 1} {
		c := newSharesCore(3, nil)
		c.RestoreState(StatePrefix+"usage", fmt.Appendf(nil, `{"t":2,"s":%s}`, state))
		if got := len(c.shares.usage.Means()); got != want {
			t.Errorf("%s: %d accounts, want %d", state, got, want)
		}
	}
}

// Guards against a record that grows too large at the target size of 460 accounts, and against small
// shares that are never recorded.
func TestUseOf460AccountsFitsIntoOneRecord(t *testing.T) {
	c := New(Bounds{}, 2, time.Unix(1_000_000, 0))
	guaranteed, held := map[domain.AccountID]int64{}, map[domain.AccountID]float64{}
	for i := range 460 {
		id := domain.AccountID(fmt.Sprintf("team-%03d", i))
		guaranteed[id], held[id] = int64(1+i%16), 1./460
	}
	c.Configure(Configuration{Guaranteed: guaranteed})
	now, size := time.Unix(1_000_000, 0), 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		for _, r := range c.holdAndRecord(held, now) {
			size = len(r.Value)
		}
	}
	if size == 0 || size > 16<<10 {
		t.Fatalf("the record has %d bytes", size)
	}
	t.Logf("%d bytes", size)
}

// Guards against fair parts of capacity that guaranteed runs hold: while these hold ten of sixteen
// accelerators, the account with the largest weight could take the other six and stay below its
// fair part of the pool.
func TestLevelsAreOfTheCapacityThatGuaranteedRunsDoNotHold(t *testing.T) {
	for name, test := range map[string]struct{ guaranteed, borrowed, capacity int64 }{
		"all that is left":     {10, 6, 6},
		"half of what is left": {8, 4, 8},
		"nothing guaranteed":   {0, 16, 16},
		"nothing left":         {16, 0, 1},
		"a pool that shrank":   {20, 4, 1},
	} {
		c, now := newSharesCore(2, nil), time.Unix(1_000_000, 0)
		for id, account := range map[workload.JobID]domain.AccountID{"g": "b", "x": "a"} {
			c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Account: account, Steps: []workload.Step{{Count: 1}}}, State: workload.Queued})
		}
		c.SetWorkers([]Listing{{ID: "w0", Address: "w0", Capacity: workload.Resources{Accelerators: 16}}}, now)
		s := &decide.Snapshot{Running: []decide.Group{{Key: decide.UnitKey{Job: "g"}, Guaranteed: true}, {Key: decide.UnitKey{Job: "x"}}}}
		s.Running[0].Add("w0", workload.Resources{Accelerators: test.guaranteed})
		s.Running[1].Add("w0", workload.Resources{Accelerators: test.borrowed})
		c.updateShares(s, now)
		want := min(1, float64(test.borrowed)/float64(test.capacity)) / 2
		if got := s.Shares.Use["a"]; s.Shares.Capacity.Accelerators != test.capacity || math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: use %v of %+v, want %v of %d accelerators", name, got, s.Shares.Capacity, want, test.capacity)
		}
	}
}

// Guards against time that counts as held although the mechanism was off by configuration.
func TestTimeWithoutSharesDoesNotCountAsHeld(t *testing.T) {
	c, now := newSharesCore(2, nil), time.Unix(1_000_000, 0)
	unequal := c.config
	c.Adopt("x", workload.Entry{Job: &workload.Job{ID: "x", Account: "a", Steps: []workload.Step{{Count: 1}}}, State: workload.Queued})
	c.SetWorkers([]Listing{{ID: "w0", Address: "w0", Capacity: workload.Resources{Accelerators: 16}}}, now)
	update := func(after time.Duration) {
		now = now.Add(after)
		s := &decide.Snapshot{Waiting: make([]decide.Unit, 1), Running: []decide.Group{{Key: decide.UnitKey{Job: "x"}}}}
		s.Running[0].Add("w0", workload.Resources{Accelerators: 16})
		c.updateShares(s, now)
	}
	update(0)
	update(share.DefaultHalfLife)
	c.Configure(Configuration{Version: unequal.Version + 1})
	update(0)
	update(share.DefaultHalfLife)
	c.Configure(Configuration{Version: unequal.Version + 2, Guaranteed: unequal.Guaranteed})
	update(share.DefaultHalfLife)
	// Half of the pool after one half-life, and two half-lives without use.
	if got := c.shares.usage.Means()["a"]; math.Abs(got-0.125) > 1e-9 {
		t.Fatalf("past use %v, want 0.125", got)
	}
}

// Guards against a record that is built in every round only to find that nothing differs.
func TestUseIsComparedOncePerInterval(t *testing.T) {
	c, now := newSharesCore(2, nil), time.Unix(1_000_000, 0)
	held := map[domain.AccountID]float64{"a": 0.3, "b": 0.1}
	for range 200 {
		now = now.Add(10 * time.Second)
		c.holdAndRecord(held, now)
	}
	c.roundAt = now.Add(stateInterval / 2)
	if n := testing.AllocsPerRun(10, func() { c.changedUsage() }); n > 0 {
		t.Errorf("%v allocations within an interval", n)
	}
	c.holdAndRecord(map[domain.AccountID]float64{"b": 1}, now.Add(stateInterval))
	if got := c.holdAndRecord(nil, now.Add(2*stateInterval)); len(got) != 1 {
		t.Errorf("%d records after an interval in which use changed, want 1", len(got))
	}
}
