package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload/decide"
	"github.com/cobalttide/cobalttide/workload/share"
)

// accountShares are the client accounts' shares of the pool beyond their guarantees.
type accountShares struct {
	weights share.Weights
	usage   *share.Usage
	// recorded is the past use as it was last recorded for a successor.
	recorded usageRecord
	// comparedAt is when the past use was last compared with the record.
	comparedAt time.Time
	// levels are those of the last update, nil if capacity is not divided.
	levels    *share.Levels
	updatedAt time.Time
	// waiting is the number of tasks beyond guarantees that wait, by account, at reportedAt.
	waiting    map[domain.AccountID]int
	reportedAt time.Time
}

func newAccountShares() accountShares {
	return accountShares{weights: share.NewWeights(nil, nil), usage: share.NewUsage(share.DefaultHalfLife)}
}

// dividesCapacity reports whether capacity beyond guarantees is divided by weights.
func (c *Core) dividesCapacity() bool {
	return c.shares.weights.AreUnequal() && !c.bounds.Disabled[decide.FairShares]
}

// idleSharesInterval is how often shares are updated while nothing waits. In each round they would
// make that of an idle pool a fifth slower.
const idleSharesInterval = 500 * time.Millisecond

// updateShares records what accounts hold beyond their guarantees, as shares of the capacity that
// guaranteed runs don't hold, and adds the shares to the snapshot, of which the running groups and
// the waiting units must be complete.
func (c *Core) updateShares(s *decide.Snapshot, now time.Time) {
	if !c.dividesCapacity() {
		if c.shares.levels != nil {
			// What runs hold from now on does not count.
			c.shares.usage.Hold(nil, now)
		}
		c.shares.levels = nil
		return
	}
	if len(s.Waiting) == 0 && c.shares.levels != nil && now.Sub(c.shares.updatedAt) < idleSharesInterval {
		return
	}
	c.shares.updatedAt = now
	used, guaranteed := c.resourcesHeld(s)
	capacity := c.poolCapacity().Beyond(guaranteed, leastShared)
	held := make(map[domain.AccountID]float64, len(used))
	for id, amount := range used {
		// A pool that has shrunk may have less than its runs hold.
		held[id] = min(1, share.Dominant(amount, capacity))
	}
	c.shares.usage.Hold(held, now)
	c.shares.levels = &share.Levels{Weights: c.shares.weights, Use: c.shares.usage.Use(), Capacity: capacity}
	s.Shares = c.shares.levels
}

// leastShared is the smallest part of the pool, for each resource, that levels refer to. Without it
// a single task would count as all use while guaranteed runs hold nearly the whole pool.
const leastShared = 1. / 16

// resourcesHeld returns what accounts hold beyond their guarantees, and what all guaranteed runs
// hold.
func (c *Core) resourcesHeld(s *decide.Snapshot) (used map[domain.AccountID]share.Resources, guaranteed share.Resources) {
	used = map[domain.AccountID]share.Resources{}
	for i := range s.Running {
		g, sum := &s.Running[i], share.Resources{}
		for _, a := range g.Allocations {
			sum = sum.Add(decide.ShareResources(a.Resources))
		}
		if g.Guaranteed {
			guaranteed = guaranteed.Add(sum)
			continue
		}
		account := c.jobs[g.Key.Job].Account
		used[account] = used[account].Add(sum)
	}
	return used, guaranteed
}

// poolCapacity is the capacity of all listed workers. Closed ones count, so that shares do not jump
// while a data centre is unreachable.
func (c *Core) poolCapacity() share.Resources {
	sum := share.Resources{}
	for _, w := range c.workersByID {
		if !w.gone && w.listed {
			sum = sum.Add(decide.ShareResources(w.Capacity))
		}
	}
	return sum
}

// usageRecord is the past use of accounts as recorded for a successor, in usageUnit of the
// capacity that was not held by guaranteed runs.
type usageRecord map[domain.AccountID]int64

const usageUnit = 1e-5

// usageKind is the state of the past use, all accounts in one record.
var usageKind = stateKind{name: "usage", changed: (*Core).changedUsage, restore: (*Core).restoreUsage}

// usageTolerance is the relative change up to which an account's use is not recorded again, a
// quarter of the logarithm of a step at the most. It saves the writes of a pool in steady use, and
// two of three while use only decays.
const usageTolerance = 0.0625

// minUsageChange is the change of an account's use that is always small enough not to be recorded,
// as a share of the capacity.
const minUsageChange = 5e-4

// changedUsage returns the past use if any account's differs from the record. It compares them once
// per stateInterval at the most, since addStateRecords asks in each round while nothing differs.
func (c *Core) changedUsage() []statePart {
	if !c.dividesCapacity() || c.roundAt.Sub(c.shares.comparedAt) < stateInterval {
		return nil
	}
	c.shares.comparedAt = c.roundAt
	current := usageRecord{}
	for id, mean := range c.shares.usage.Means() {
		current[id] = int64(math.Round(mean / usageUnit))
	}
	if !current.differsFrom(c.shares.recorded) {
		return nil
	}
	c.shares.recorded = current
	return []statePart{{state: current}}
}

func (r usageRecord) differsFrom(recorded usageRecord) bool {
	differs := func(a, b int64) bool {
		change := math.Abs(float64(a - b))
		return change > minUsageChange/usageUnit && change > usageTolerance*float64(b)
	}
	for id, units := range r {
		if differs(units, recorded[id]) {
			return true
		}
	}
	for id, units := range recorded {
		if _, known := r[id]; !known && differs(0, units) {
			return true
		}
	}
	return false
}

// restoreUsage takes over the past use that an earlier planner has recorded. The time since then is
// not known. It would scale the use of all accounts alike, which leaves their order as it is.
func (c *Core) restoreUsage(_ string, state json.RawMessage) error {
	record := usageRecord{}
	if err := json.Unmarshal(state, &record); err != nil {
		return err
	}
	means := make(map[domain.AccountID]float64, len(record))
	for id, units := range record {
		means[id] = float64(units) * usageUnit
	}
	c.shares.usage.Restore(means)
	c.shares.recorded = record
	return nil
}

// maxReportedAccounts limits the accounts of an event.
const maxReportedAccounts = 10

// reportShares counts the waiting work of accounts once per loadInterval, and emits the shares of
// those that have some, the lowest level first.
func (c *Core) reportShares(s *decide.Snapshot, now time.Time) {
	if c.shares.levels == nil || now.Sub(c.shares.reportedAt) < loadInterval {
		return
	}
	c.shares.reportedAt = now
	c.shares.waiting = map[domain.AccountID]int{}
	for i := range s.Waiting {
		if u := &s.Waiting[i]; !u.Guaranteed && !u.Departing {
			c.shares.waiting[u.Account] += len(u.Indexes)
		}
	}
	if len(c.shares.waiting) == 0 {
		return
	}
	accounts := slices.Collect(maps.Keys(c.shares.waiting))
	slices.SortFunc(accounts, func(a, b domain.AccountID) int {
		return cmp.Or(cmp.Compare(c.shares.levels.Level(a, 0), c.shares.levels.Level(b, 0)), cmp.Compare(a, b))
	})
	parts := []string{fmt.Sprintf("accounts=%d", len(accounts))}
	for _, id := range accounts[:min(len(accounts), maxReportedAccounts)] {
		st := c.accountStatus(id)
		parts = append(parts, fmt.Sprintf("%s:guaranteed=%d,use=%.4f,level=%.2f,waiting=%d", id, st.Guaranteed, st.Use, st.Level, st.Waiting))
	}
	c.emit(Event{Name: EventAccountShares, Detail: strings.Join(parts, " ")})
}

// AccountStatus is a client account's share of the pool.
type AccountStatus struct {
	// Guaranteed is the number of guaranteed accelerators.
	Guaranteed int64
	// Use is the use beyond the guarantee as a share of the capacity that guaranteed runs don't
	// hold, Level the use relative to the account's fair part.
	Use, Level float64
	// Waiting is the number of waiting tasks beyond the guarantee.
	Waiting int
}

func (c *Core) accountStatus(id domain.AccountID) AccountStatus {
	l := c.shares.levels
	return AccountStatus{Guaranteed: c.config.Guaranteed[id], Use: l.Use[id], Level: l.Level(id, 0), Waiting: c.shares.waiting[id]}
}

// AccountStatuses returns the shares of the configured accounts; nil if capacity is not divided.
func (c *Core) AccountStatuses() map[domain.AccountID]AccountStatus {
	if c.shares.levels == nil {
		return nil
	}
	out := map[domain.AccountID]AccountStatus{}
	for _, id := range c.shares.weights.Accounts() {
		out[id] = c.accountStatus(id)
	}
	return out
}
