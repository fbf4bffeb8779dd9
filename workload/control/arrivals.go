package control

import "time"

// arrivals detects when no more jobs arrive. At the end of a load, keeping racks clear for the
// next burst, or delaying work until a better place is free, would hold up the remaining work
// while most of the capacity is free.
type arrivals struct {
	// newJobs counts the jobs that arrived since the last check, lastAt is the last check that
	// found any, and meanGap is the mean time between arrivals.
	newJobs int
	lastAt  time.Time
	meanGap time.Duration
}

const (
	// quietGaps is how many mean gaps without an arrival count as quiet.
	quietGaps = 10
	// minQuiet is longer than a caller waits before it retries after a refusal.
	minQuiet = 3 * time.Second
	// gapWeight is the weight of a new gap in the moving mean.
	gapWeight = 0.1
)

// record counts an arriving job for the next check.
func (a *arrivals) record() { a.newJobs++ }

// isQuiet reports whether no job has arrived for long.
func (a *arrivals) isQuiet(now time.Time) bool {
	if a.newJobs == 0 {
		return !a.lastAt.IsZero() && now.Sub(a.lastAt) > max(minQuiet, quietGaps*a.meanGap)
	}
	if !a.lastAt.IsZero() {
		// A period that counted as quiet says nothing about the usual gap.
		gap := min(now.Sub(a.lastAt), minQuiet) / time.Duration(a.newJobs)
		a.meanGap += time.Duration(gapWeight * float64(gap-a.meanGap))
	}
	a.newJobs, a.lastAt = 0, now
	return false
}
