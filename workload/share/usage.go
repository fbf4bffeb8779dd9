package share

import (
	"maps"
	"math"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// DefaultHalfLife is the half-life of past use: a few times the longest common run (11 s), so that a
// burst counts until its work has ended, and not for minutes afterwards.
const DefaultHalfLife = 30 * time.Second

// negligibleUse is the decayed use below which an account is dropped from the record; the smallest
// fair part of 460 accounts whose weights differ by a factor of 16 is above it.
const negligibleUse = 1e-5

// Usage is the record of what accounts use: for each the mean of its share of the pool, weighted by
// age with a half-life. In steady state it equals the share.
type Usage struct {
	halfLife time.Duration
	means    map[domain.AccountID]float64
	held     map[domain.AccountID]float64
	at       time.Time
}

// NewUsage returns an empty record.
func NewUsage(halfLife time.Duration) *Usage {
	return &Usage{halfLife: halfLife, means: map[domain.AccountID]float64{}}
}

// Hold records that the accounts hold these shares of the pool from now on. What they held before
// enters the means. A time before the last one counts as the last one.
func (u *Usage) Hold(held map[domain.AccountID]float64, now time.Time) {
	if !u.at.IsZero() && now.After(u.at) {
		u.decay(now.Sub(u.at))
	}
	if u.at.IsZero() || now.After(u.at) {
		u.at = now
	}
	u.held = held
}

func (u *Usage) decay(elapsed time.Duration) {
	kept := math.Exp2(-float64(elapsed) / float64(u.halfLife))
	for id, share := range u.held {
		if _, known := u.means[id]; !known && share > 0 {
			u.means[id] = 0
		}
	}
	for id, mean := range u.means {
		mean = u.held[id] + (mean-u.held[id])*kept
		// A mean that grows starts below any limit: one round adds little.
		if mean < negligibleUse && u.held[id] <= 0 {
			delete(u.means, id)
			continue
		}
		u.means[id] = mean
	}
}

// Use returns each account's use: the mean of its past shares and its current share. Current
// holdings count at once, and past ones for a while after they have ended.
func (u *Usage) Use() map[domain.AccountID]float64 {
	out := make(map[domain.AccountID]float64, max(len(u.means), len(u.held)))
	for id, mean := range u.means {
		out[id] = mean / 2
	}
	for id, share := range u.held {
		out[id] += share / 2
	}
	return out
}

// Means returns the past use of each account, which a successor needs.
func (u *Usage) Means() map[domain.AccountID]float64 { return maps.Clone(u.means) }

// Restore replaces the past use. Values that can't be shares of a pool are left out.
func (u *Usage) Restore(means map[domain.AccountID]float64) {
	u.means = map[domain.AccountID]float64{}
	for id, mean := range means {
		if mean >= negligibleUse && mean <= 1 {
			u.means[id] = mean
		}
	}
}

// ReachesLowestWithin is the longest time until an account that holds nothing is in the lowest step:
// its use, at most half of the pool once nothing is held, halves with each half-life. It depends on
// the account's fair part, and neither on other accounts nor on the load.
func (w Weights) ReachesLowestWithin(id domain.AccountID, halfLife time.Duration) time.Duration {
	halvings := math.Log2(0.5/w.Of(id)) - (lowestStep + 1)
	return time.Duration(max(0, halvings) * float64(halfLife))
}
