package service

import (
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// roundStats collects the durations of the planner's rounds and writes. New input waits for the
// current round, the pause after it and the write; if these take longer, everything starts
// later, and no other figure shows it.
type roundStats struct {
	since  time.Time
	rounds durationStats
	writes durationStats
}

// durationStats aggregates durations.
type durationStats struct {
	n        int
	sum, max time.Duration
}

func (s *durationStats) add(d time.Duration) {
	s.n++
	s.sum += d
	s.max = max(s.max, d)
}

func (s *durationStats) mean() time.Duration {
	if s.n == 0 {
		return 0
	}
	return s.sum / time.Duration(s.n)
}

// roundStatsInterval is how often the statistics are logged.
const roundStatsInterval = time.Second

// logIfDue logs the statistics every roundStatsInterval and resets them.
func (s *roundStats) logIfDue(log *events.Log, now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	if now.Sub(s.since) < roundStatsInterval {
		return
	}
	log.Info(events.PlannerTimings, events.Fields{
		"rounds": s.rounds.n, "round_ms": milliseconds(s.rounds.mean()), "round_most_ms": milliseconds(s.rounds.max),
		"writes": s.writes.n, "write_ms": milliseconds(s.writes.mean()), "write_most_ms": milliseconds(s.writes.max),
	})
	*s = roundStats{since: now}
}

// milliseconds converts a duration to milliseconds, rounded to a tenth.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
