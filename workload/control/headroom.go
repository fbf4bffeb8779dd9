package control

import (
	"math"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// headroom remembers how much the first priority has needed at once. The
// memory fades, so that room is given back after a burst.
type headroom struct {
	most float64
	at   time.Time
}

// headroomHalfLife is the time in which half of a peak is forgotten.
const headroomHalfLife = 15 * time.Second

// hurry is the share of the first priority's units that can't wait for a stop, a
// mean of all at first and a moving mean after.
type hurry struct {
	share float64
	seen  float64
}

// hurryRate is the least weight of one more unit.
const hurryRate = 0.02

func (h *hurry) observe(hurries bool) {
	seen := 0.0
	if hurries {
		seen = 1
	}
	h.seen++
	h.share += max(hurryRate, 1/(h.seen+1)) * (seen - h.share)
}

// observe takes what is needed now, in accelerators, and returns the peak.
// While nothing new comes there is no peak to be ready for.
func (h *headroom) observe(needed int64, quiet bool, now time.Time) int64 {
	if quiet {
		h.most = 0
	}
	if !h.at.IsZero() {
		h.most *= math.Exp2(-float64(now.Sub(h.at)) / float64(headroomHalfLife))
	}
	h.at = now
	h.most = max(h.most, float64(needed))
	return int64(math.Ceil(h.most))
}

// demand is the number of accelerators that the first priority holds and waits
// for.
func (c *Core) demand(s *decide.Snapshot) int64 {
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
		for _, held := range s.Running[i].Held {
			needed += held.Accelerators
		}
	}
	return needed
}
