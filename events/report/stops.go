package report

import (
	"strings"

	"github.com/cobalttide/cobalttide/events"
)

// stopsAndEnds counts runs that were stopped, the work lost by that, and runs that ended.
type stopsAndEnds struct {
	stopped, ended map[string]int
	lostWork       map[string]float64
}

func newStopsAndEnds() *stopsAndEnds {
	return &stopsAndEnds{stopped: map[string]int{}, ended: map[string]int{}, lostWork: map[string]float64{}}
}

// addStopLine adds a run-stopping line. A line without a number of members is about one run.
func (s *stopsAndEnds) addStopLine(why, detail string) {
	s.stopped[why] += max(1, int(parseNumber(detailField(detail, "members"))))
	s.lostWork[why] += parseNumber(detailField(detail, "core_s"))
}

// addSummary adds a round-summary line.
func (s *stopsAndEnds) addSummary(detail string) {
	for _, t := range parseTotals(detailField(detail, "stops")) {
		s.stopped[t.reason] += t.runs
		s.lostWork[t.reason] += t.coreSeconds
	}
	for _, t := range parseTotals(detailField(detail, "ends")) {
		s.ended[t.reason] += t.runs
	}
}

func (r *Report) addStopsAndEnds(s *stopsAndEnds) {
	for reason, n := range s.stopped {
		r.Stopped[reason] += n
		r.LostWork[reason] += s.lostWork[reason]
	}
	for reason, n := range s.ended {
		r.Ended[reason] += n
	}
}

type reasonTotal struct {
	reason      string
	runs        int
	coreSeconds float64
}

// parseTotals parses a list of REASON:RUNS:CORE_SECONDS, and skips what it can't read.
func parseTotals(text string) []reasonTotal {
	var out []reasonTotal
	for _, part := range strings.Split(text, ",") {
		fields := strings.Split(part, ":")
		if len(fields) != 3 {
			continue
		}
		out = append(out, reasonTotal{fields[0], int(parseNumber(fields[1])), parseNumber(fields[2])})
	}
	return out
}

// addStopOrEnd adds a line about stops and ends. A summary counts what its instance logged since the
// previous one, also in lines that were left out, so it replaces these lines. Lines that no summary
// follows count by themselves: those of older versions, and the last ones of a planner.
func (b *builder) addStopOrEnd(l events.Line, why string) {
	detail := stringField(l, "detail")
	open := b.unsummarised[l.Instance]
	if open == nil {
		open = newStopsAndEnds()
		b.unsummarised[l.Instance] = open
	}
	switch l.Event {
	case "run-stopping":
		open.addStopLine(why, detail)
	case "run-ended":
		open.ended[why]++
	case "round-summary":
		delete(b.unsummarised, l.Instance)
		whole := newStopsAndEnds()
		whole.addSummary(detail)
		b.report.addStopsAndEnds(whole)
	case events.Started, events.PlannerBegins, events.PlannerEnds:
		delete(b.unsummarised, l.Instance)
		b.report.addStopsAndEnds(open)
	}
}
