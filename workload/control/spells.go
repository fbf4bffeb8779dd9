package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// A worker may turn slow by a factor of 5 to 9 for some seconds. All its runs then fall behind
// their own earlier rates at once, while the other members of their steps keep theirs. What it shows
// in that time counts neither for its speed nor for estimates of run times, and it gets new
// work only if the other workers have no room.

const (
	// paceWindow is the minimum time over which a rate is taken. Progress is reported in whole
	// percent: a task of 11 s makes 6 percent in this time.
	paceWindow = 700 * time.Millisecond
	// minPacePercent is the expected progress of a worker's runs, in percent, from which on they
	// are compared with it.
	minPacePercent = 5
	// slowedPace is the share of the earlier rates below which a worker counts as slowed. A window
	// of which a third is before the spell is above it, and decides nothing.
	slowedPace = 1.0 / 3
	// recoveredPace is the share from which on it has recovered, and below which the other members
	// of its steps are as slow, so that the worker is not the cause.
	recoveredPace = 0.6
	// spellMemory is how long a worker counts as slowed after the last evidence: the longest spell
	// that was seen.
	spellMemory = 8 * time.Second
)

// spell is the time in which a worker is slowed; the last evidence of it is from evidenceAt.
type spell struct{ since, evidenceAt time.Time }

// rateCheck compares the progress of a run with its own earlier rate.
type rateCheck struct {
	// The current window began at windowAt with windowPercent.
	windowAt      time.Time
	windowPercent int
	// percent is the progress in the earlier windows that were not slow, and elapsed their length.
	percent float64
	elapsed time.Duration
	// made is the progress in the last complete window in percent, left the progress that was left
	// at its begin, took its length and judgedAt its end. expected is the progress at the earlier
	// rate; 0 is unknown.
	made, left, expected float64
	took                 time.Duration
	judgedAt             time.Time
	// slowed is set once its worker was slowed.
	slowed bool
}

// restart begins a new window without an end of the last one.
func (p *rateCheck) restart(percent int, now time.Time) { p.windowAt, p.windowPercent = now, percent }

// observe takes a reported percentage. In a spell nothing is learnt of the usual rate.
func (p *rateCheck) observe(percent int, inSpell bool, now time.Time) {
	if p.windowAt.IsZero() {
		if percent > 0 {
			p.restart(percent, now)
		}
		return
	}
	took := now.Sub(p.windowAt)
	if took < paceWindow {
		return
	}
	p.made, p.left, p.took, p.judgedAt = float64(percent-p.windowPercent), float64(fullPercent-p.windowPercent), took, now
	p.expected = min(p.rate()*took.Seconds(), p.left)
	if !inSpell && (p.elapsed == 0 || p.made > recoveredPace*p.expected) {
		p.percent += p.made
		p.elapsed += took
	}
	p.restart(percent, now)
}

// rate returns the earlier rate in percent per second; 0 is unknown.
func (p *rateCheck) rate() float64 {
	if p.elapsed <= 0 {
		return 0
	}
	return p.percent / p.elapsed.Seconds()
}

// progressSum is the progress of runs in their last windows and that which was expected, in percent.
type progressSum struct {
	made, expected float64
	runs           int
}

func (s *progressSum) add(made, expected float64) {
	if expected > 0 {
		s.made += made
		s.expected += expected
		s.runs++
	}
}

// suffices reports whether so much progress was expected that it shows the worker's pace.
func (s progressSum) suffices() bool { return s.expected >= minPacePercent }

func (s progressSum) pace() float64 { return s.made / max(s.expected, 1) }

// slowedBy returns by when a spell must have begun that shows as slowed in a window from begin on:
// a later one leaves more than that share of the progress.
func slowedBy(begin time.Time, took time.Duration) time.Time {
	return begin.Add(time.Duration(slowedPace * float64(took)))
}

// windowBegin returns when the last complete window began.
func (p *rateCheck) windowBegin() time.Time { return p.judgedAt.Add(-p.took) }

// isMostlySince reports whether at least half of the last complete window is after a time. A window
// of which more is before a spell shows no slow rate.
func (p *rateCheck) isMostlySince(since time.Time) bool {
	return !p.judgedAt.IsZero() && !p.windowBegin().Add(p.took/2).Before(since)
}

// ownProgress compares runs with their own earlier rates, from their windows that lie mostly after a
// time.
func ownProgress(runs []*activeRun, since time.Time) (out progressSum) {
	for _, r := range runs {
		if r.rateCheck.isMostlySince(since) {
			out.add(r.rateCheck.made, r.rateCheck.expected)
		}
	}
	return out
}

// reportedProgress compares the runs that were just reported with their own earlier rates.
func reportedProgress(runs []*activeRun, now time.Time) (out progressSum) {
	for _, r := range runs {
		if r.rateCheck.judgedAt.Equal(now) {
			out.add(r.rateCheck.made, r.rateCheck.expected)
		}
	}
	return out
}

// comparedProgress compares runs that have no earlier rate, since they began in the spell, with the
// mean rate of the members of their steps on other workers in the same time.
func (c *Core) comparedProgress(runs []*activeRun, now time.Time) (out progressSum) {
	for _, r := range runs {
		if !r.rateCheck.judgedAt.Equal(now) || r.rateCheck.expected > 0 {
			continue
		}
		sum, n := 0.0, 0.0
		for _, other := range c.membersElsewhere([]*activeRun{r}) {
			if p := &other.rateCheck; p.isMostlySince(slowedBy(r.rateCheck.windowBegin(), r.rateCheck.took)) {
				sum, n = sum+p.made/p.took.Seconds(), n+1
			}
		}
		if n > 0 {
			out.add(r.rateCheck.made, min(sum/n*r.rateCheck.took.Seconds(), r.rateCheck.left))
		}
	}
	return out
}

// minCompared is the number of runs without an earlier rate, or without members elsewhere, that must
// be slow for a verdict: 3 % of the tasks take 7 times as long as the others of their step, so one
// run proves nothing.
const minCompared = 2

// showSlowed reports whether runs show that their worker is slowed: by their own earlier rates,
// which the other members of their steps have kept, or compared with these members. Without such
// members one run is not enough: it may have come to a slower part of its work.
func showSlowed(own, others, compared progressSum) bool {
	if own.suffices() {
		return own.pace() < slowedPace && (others.suffices() && others.pace() >= recoveredPace || !others.suffices() && own.runs >= minCompared)
	}
	return compared.runs >= minCompared && compared.suffices() && compared.pace() < slowedPace
}

func (c *Core) detectsSpells() bool { return !c.bounds.Disabled[decide.SlowSpells] }

// updateSpell judges a worker by the runs that it has just reported.
func (c *Core) updateSpell(w *worker, now time.Time) {
	if !c.detectsSpells() || len(w.runs) == 0 {
		return
	}
	runs := w.sortedRuns()
	s := c.spells[w.ID]
	own := reportedProgress(runs, now)
	w.updateSlowSince(own, runs, now)
	compared := c.comparedProgress(runs, now)
	if s == nil {
		if !own.suffices() && compared.runs < minCompared {
			return
		}
		if own.suffices() && own.pace() >= slowedPace {
			return
		}
		members := c.membersElsewhere(runs)
		if own.suffices() && len(members) == 0 {
			members = c.runsElsewhere(w)
		}
		others := ownProgress(members, w.slowSince)
		if own.suffices() && len(members) > 0 && !others.suffices() {
			// The members' windows from the same time are complete by the worker's next report.
			return
		}
		if showSlowed(own, others, compared) {
			c.beginSpell(w, own, compared, runs, now)
		}
		return
	}
	c.excludeFromEstimates(runs)
	both := progressSum{own.made + compared.made, own.expected + compared.expected, own.runs + compared.runs}
	switch {
	case !both.suffices():
	case both.pace() >= recoveredPace:
		c.endSpell(w.ID, "rates-back", now)
	case both.pace() < slowedPace:
		s.evidenceAt = now
	}
}

// updateSlowSince updates since when the worker's runs have been slow in all windows.
func (w *worker) updateSlowSince(own progressSum, runs []*activeRun, now time.Time) {
	if !own.suffices() || own.pace() >= slowedPace {
		w.slowSince = time.Time{}
		return
	}
	if !w.slowSince.IsZero() {
		return
	}
	for _, r := range runs {
		p := &r.rateCheck
		if since := slowedBy(p.windowBegin(), p.took); p.judgedAt.Equal(now) && since.After(w.slowSince) {
			w.slowSince = since
		}
	}
}

func (c *Core) beginSpell(w *worker, own, compared progressSum, runs []*activeRun, now time.Time) {
	shown := own
	if !own.suffices() {
		shown = compared
		for _, r := range runs {
			// What was taken for the usual rate was that of the spell.
			r.rateCheck.percent, r.rateCheck.elapsed = 0, 0
		}
	}
	c.spells[w.ID] = &spell{since: now, evidenceAt: now}
	c.excludeFromEstimates(runs)
	c.emit(Event{Name: EventWorkerSlowed, Worker: w.ID, Detail: fmt.Sprintf("pace=%.2f expected=%.0f runs=%d", shown.pace(), shown.expected, shown.runs)})
}

// membersElsewhere returns the runs of the same steps on other workers. Those on slowed workers are
// among them: if all are slow, no worker is the cause.
func (c *Core) membersElsewhere(runs []*activeRun) []*activeRun {
	var out []*activeRun
	seen := map[decide.UnitKey]bool{}
	for _, r := range runs {
		if seen[r.key] {
			continue
		}
		seen[r.key] = true
		for _, other := range r.job.runsOf(r.key) {
			if other.worker != r.worker {
				out = append(out, other)
			}
		}
	}
	return out
}

// maxElsewhere is the number of other workers that a worker is compared with whose steps have no
// members elsewhere. It bounds the cost of the case that all 18,000 workers are slow.
const maxElsewhere = 16

// runsElsewhere returns runs of other steps on other workers.
func (c *Core) runsElsewhere(w *worker) []*activeRun {
	var out []*activeRun
	n := 0
	for _, other := range c.workersByID {
		if other == w || len(other.runs) == 0 {
			continue
		}
		out = append(out, other.sortedRuns()...)
		if n++; n == maxElsewhere {
			break
		}
	}
	return out
}

// excludeFromEstimates keeps runs on a slowed worker from rating it, and them and their gangs from
// correcting estimates.
func (c *Core) excludeFromEstimates(runs []*activeRun) {
	for _, r := range runs {
		if r.rateCheck.slowed {
			continue
		}
		r.rateCheck.slowed, r.slow = true, true
		delete(r.job.rates[r.key], r.id.Index)
		if r.step.Gang {
			for _, member := range r.job.runsOf(r.key) {
				member.slow = true
			}
		}
	}
}

func (c *Core) endSpell(id, reason string, now time.Time) {
	s := c.spells[id]
	delete(c.spells, id)
	c.emit(Event{Name: EventWorkerRecovered, Worker: id, Reason: reason, Detail: fmt.Sprintf("after_ms=%d", now.Sub(s.since).Milliseconds())})
}

// expireSpells ends spells without recent evidence.
func (c *Core) expireSpells(now time.Time) {
	for _, id := range sortedKeys(c.spells) {
		if now.Sub(c.spells[id].evidenceAt) > spellMemory {
			c.endSpell(id, "no-evidence", now)
		}
	}
}

// SlowedWorkers returns the number of workers that count as slowed.
func (c *Core) SlowedWorkers() int { return len(c.spells) }
