// Package share divides capacity that is not guaranteed among client accounts: weighted dominant
// shares (DRF, NSDI 2011), a decaying record of use, and coarse steps by which waiting work is
// ordered. It is pure: it reads no clock and does no I/O.
package share

import (
	"math"
	"slices"

	"github.com/cobalttide/cobalttide/domain"
)

// Resources are amounts of the resources that shares are computed of. Units are the caller's, and
// the same for parts and wholes.
type Resources struct {
	CPU, Memory, Accelerators int64
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Beyond returns what is left of r without held, but at least the part least of each resource.
func (r Resources) Beyond(held Resources, least float64) Resources {
	left := func(all, held int64) int64 { return max(all-held, int64(float64(all)*least)) }
	return Resources{left(r.CPU, held.CPU), left(r.Memory, held.Memory), left(r.Accelerators, held.Accelerators)}
}

// Dominant returns the largest share that used has of any resource of the capacity. A resource that
// the pool does not have counts as 0.
func Dominant(used, capacity Resources) float64 {
	return max(ratio(used.Accelerators, capacity.Accelerators), ratio(used.CPU, capacity.CPU), ratio(used.Memory, capacity.Memory))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Weighted returns a share relative to the account's weight. The account with the lowest value goes
// first.
func Weighted(share, weight float64) float64 { return share / weight }

// Weights are the accounts' fair parts of the capacity that is not guaranteed.
type Weights struct {
	// parts are the weights divided by their sum; least is the smallest of them.
	parts map[domain.AccountID]float64
	least float64
	most  float64
}

// NewWeights returns the weights of accounts: those that are set, otherwise proportional to the
// guarantees, of which the smallest has the weight 1. Accounts without either, and unknown accounts,
// have the smallest weight of all. Invalid weights count as not set.
func NewWeights(set map[domain.AccountID]float64, guaranteed map[domain.AccountID]int64) Weights {
	unit := smallestGuarantee(guaranteed)
	raw := map[domain.AccountID]float64{}
	for id, g := range guaranteed {
		raw[id] = float64(max(0, g)) / unit
	}
	for id, weight := range set {
		if IsValidWeight(weight) && weight > 0 {
			raw[id] = weight
		}
	}
	least := smallestPositive(raw)
	w := Weights{parts: make(map[domain.AccountID]float64, len(raw)), least: 1, most: 1}
	sum := 0.0
	// The sum is taken in order, so that all planners compute the same parts.
	for _, id := range sortedAccounts(raw) {
		raw[id] = max(raw[id], least)
		sum += raw[id]
	}
	for id, weight := range raw {
		w.parts[id] = weight / sum
	}
	if len(raw) > 0 {
		w.least = least / sum
		w.most = w.least
	}
	for _, part := range w.parts {
		w.most = max(w.most, part)
	}
	return w
}

// IsValidWeight reports whether a weight may be configured; 0 means that none is set.
func IsValidWeight(weight float64) bool { return weight >= 0 && !math.IsInf(weight, 0) }

func smallestGuarantee(guaranteed map[domain.AccountID]int64) float64 {
	least := int64(math.MaxInt64)
	for _, g := range guaranteed {
		if g > 0 {
			least = min(least, g)
		}
	}
	if least == math.MaxInt64 {
		return 1
	}
	return float64(least)
}

// smallestPositive returns the smallest weight above 0, or 1 if there is none.
func smallestPositive(raw map[domain.AccountID]float64) float64 {
	least := math.Inf(1)
	for _, weight := range raw {
		if weight > 0 {
			least = min(least, weight)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}

func sortedAccounts[V any](m map[domain.AccountID]V) []domain.AccountID {
	out := make([]domain.AccountID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// unequalFactor is the ratio of the largest to the smallest weight from which on accounts are
// unequal. Where weights are closer, a step of a factor of 2 in use hardly tells accounts apart, and
// the order by latest start serves more work in time.
const unequalFactor = 4

// AreUnequal reports whether the weights differ so much that capacity is divided by them.
func (w Weights) AreUnequal() bool { return w.most >= unequalFactor*w.least }

// Of returns an account's fair part, the smallest one if the account is unknown.
func (w Weights) Of(id domain.AccountID) float64 {
	if part, ok := w.parts[id]; ok {
		return part
	}
	return w.least
}

// Accounts returns the accounts that have a weight, in order.
func (w Weights) Accounts() []domain.AccountID { return sortedAccounts(w.parts) }

// Levels hold how much of its fair part each account uses. They are the input of an order.
type Levels struct {
	Weights Weights
	// Use is each account's use as a share of the capacity that is divided.
	Use map[domain.AccountID]float64
	// Capacity is that of the pool without what guaranteed runs hold.
	Capacity Resources
}

// Level returns an account's use, and extra shares on top of it, relative to its fair part: 1 is use
// of just that part.
func (l *Levels) Level(id domain.AccountID, extra float64) float64 {
	return Weighted(l.Use[id]+extra, l.Weights.Of(id))
}

// lowestStep is the step of all accounts that use less than their fair part. They count as equal:
// with steps down to a sixteenth of it, single tasks reordered accounts that take nothing from
// others, and less work was served in time. Since no step is lower, an account that gets nothing
// reaches it (ReachesLowestWithin). Then only accounts below their fair parts can be before it, and
// as parts add up to 1, they can't hold all capacity that is divided.
const lowestStep = -1

// Step returns the coarse step of a level, a factor of 2 each. Accounts in lower steps go first.
func Step(level float64) int {
	if !(level > math.Ldexp(1, lowestStep)) {
		return lowestStep
	}
	// The exponent is that of a fraction in [0.5, 1).
	_, exponent := math.Frexp(level)
	return exponent - 1
}
