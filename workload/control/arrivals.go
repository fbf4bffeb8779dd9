package control

import "time"

// arrivals tells whether jobs still come. It answers the end of a load: racks that
// are kept clear for the next burst, and places that work waits for because the
// pool is full, keep what is left from being done while most room is free.
type arrivals struct {
	// fresh counts jobs since the last look; last is when some came last, gap the
	// mean time between looks that found some.
	fresh int
	last  time.Time
	gap   time.Duration
}

const (
	// quietGaps is how many times the usual gap passes before it is quiet.
	quietGaps = 10
	// leastQuiet is longer than a caller waits before it comes back after a refusal.
	leastQuiet = 3 * time.Second
	// gapRate is the weight of one more gap.
	gapRate = 0.1
)

// note counts one job; it came before the next look.
func (a *arrivals) note() { a.fresh++ }

// quiet tells whether nothing has come for long.
func (a *arrivals) quiet(now time.Time) bool {
	if a.fresh == 0 {
		return !a.last.IsZero() && now.Sub(a.last) > max(leastQuiet, quietGaps*a.gap)
	}
	if !a.last.IsZero() {
		// A stretch that counted as quiet says nothing of the usual gap.
		gap := min(now.Sub(a.last), leastQuiet) / time.Duration(a.fresh)
		a.gap += time.Duration(gapRate * float64(gap-a.gap))
	}
	a.fresh, a.last = 0, now
	return false
}
