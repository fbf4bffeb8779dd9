package control

import (
	"math"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// headroom tracks the peak demand of the first priority. The peak decays, so that capacity is
// released after a burst.
type headroom struct {
	peak      float64
	updatedAt time.Time
}

// headroomHalfLife is the half-life of the peak.
const headroomHalfLife = 15 * time.Second

// urgency is the share of the first priority's units that can't wait for a stop: the mean of all
// units at first, later a moving mean.
type urgency struct {
	share float64
	units float64
}

// minUrgencyWeight is the minimum weight of a new unit.
const minUrgencyWeight = 0.02

func (u *urgency) observe(urgent bool) {
	value := 0.0
	if urgent {
		value = 1
	}
	u.units++
	u.share += max(minUrgencyWeight, 1/(u.units+1)) * (value - u.share)
}

// observe records the current demand in accelerators and returns the decayed peak. While no jobs
// arrive, capacity is not kept for a peak.
func (h *headroom) observe(needed int64, quiet bool, now time.Time) int64 {
	if quiet {
		h.peak = 0
	}
	if !h.updatedAt.IsZero() {
		h.peak *= math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(headroomHalfLife))
	}
	h.updatedAt = now
	h.peak = max(h.peak, float64(needed))
	return int64(math.Ceil(h.peak))
}

// topPriorityDemand returns the number of accelerators that the first priority uses and waits
// for.
func (c *Core) topPriorityDemand(s *decide.Snapshot) int64 {
	needed := int64(0)
	for i := range s.Waiting {
		if u := &s.Waiting[i]; u.Priority == 0 {
			needed += int64(len(u.Indexes)) * u.Step.Need.Accelerators
		}
	}
	for i := range s.Running {
		if s.Running[i].Priority > 0 {
			continue
		}
		for _, held := range s.Running[i].Allocations {
			needed += held.Accelerators
		}
	}
	return needed
}
