package service

import (
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// tempo adds up how long the planner's rounds and writes take. What comes waits for
// the round under way, the pause after it and the write: where that grows, everything
// starts later and nothing else shows it.
type roundStats struct {
	since  time.Time
	rounds durationStats
	writes durationStats
}

// span is a number of durations.
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

// tempoEvery is how often the tempo is noted.
const roundStatsInterval = time.Second

// note writes a line now and then, and begins anew.
func (t *roundStats) logIfDue(log *events.Log, now time.Time) {
	if t.since.IsZero() {
		t.since = now
	}
	if now.Sub(t.since) < roundStatsInterval {
		return
	}
	log.Info(events.PlannerTempo, events.Fields{
		"rounds": t.rounds.n, "round_ms": milliseconds(t.rounds.mean()), "round_most_ms": milliseconds(t.rounds.max),
		"writes": t.writes.n, "write_ms": milliseconds(t.writes.mean()), "write_most_ms": milliseconds(t.writes.max),
	})
	*t = roundStats{since: now}
}

// ms is a duration in milliseconds, to a tenth.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
