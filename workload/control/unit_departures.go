package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// This file plans departures for whole units: a gang's run, or a single task. One decision stops
// all members of a gang in one round, so that each of them saves its progress. If only the leaving
// member was stopped, the others would end as broken and lose what they did since their last
// checkpoint.

const (
	// measuredSpread and estimatedSpread are the relative errors of the expected end by measured
	// progress and by the caller's estimate. Progress is reported in whole percent and up to a poll
	// late; callers' estimates are off by up to half.
	measuredSpread, estimatedSpread = 0.15, 0.5
	// overdueShare is the share of its run time for which a run without progress goes on once it
	// has exceeded its estimate.
	overdueShare = 0.25
	// overstayRate is the weight of a new observation in the mean overstay, maxOverstay the longest
	// that counts: a worker that stays far longer has changed its mind.
	overstayRate = 0.2
	maxOverstay  = 5 * time.Second
)

// departureKey identifies a run of a unit.
type departureKey struct {
	unit decide.UnitKey
	// index is the task's index, or -1 for a gang.
	index int
	run   int64
}

// departures is the state of the departures that are planned.
type departures struct {
	// known are the units with a decision in the last round.
	known map[departureKey]bool
	// leaving are the workers that drain.
	leaving map[string]bool
	// reserved are the reservations for next runs.
	reserved []reservation
	// overstay is the mean time by which workers with runs stay longer than announced.
	overstay time.Duration
	// canReserve is set if the plan knows reservations.
	canReserve bool
}

// plansUnitDepartures reports whether departures are planned for whole units.
func (c *Core) plansUnitDepartures() bool {
	return c.bounds.Notice > 0 && !c.bounds.Disabled[decide.UnitDepartures] && !c.bounds.Disabled[decide.StopBeforeDeparture]
}

// planDepartures decides on each unit that has a member on a leaving worker.
func (c *Core) planDepartures(now time.Time) {
	c.keepReservations(now)
	known := c.departures.known
	c.departures.known = nil
	if len(c.departures.leaving) == 0 {
		return
	}
	c.departures.known = map[departureKey]bool{}
	for _, r := range c.allRuns() {
		if !r.worker.isLeaving() || r.stopping || r.settled || !(r.confirmed || r.answered) {
			continue
		}
		key := r.departureKey()
		if !c.departures.known[key] {
			c.departures.known[key] = true
			c.planDeparture(r, !known[key], now)
		}
	}
}

func (w *worker) isLeaving() bool { return w.Draining && !w.leavesAt.IsZero() }

func (r *activeRun) departureKey() departureKey {
	key := departureKey{unit: r.key, index: -1, run: r.run}
	if !r.step.Gang {
		key.index = r.id.Index
	}
	return key
}

// planDeparture decides on the unit of a run on a leaving worker. The first decision on it and its
// stop are reported.
func (c *Core) planDeparture(r *activeRun, first bool, now time.Time) {
	members := r.unitMembers()
	described, leaving := c.describeDeparture(members, now)
	decision := decide.DecideDeparture(described)
	if r.step.Perpetual {
		decision = decidePerpetual(described)
	}
	if first || decision.StopsNow() {
		c.emitDeparture(members, leaving, described, decision)
	}
	if decision.StopsNow() {
		c.stopUnit(members, "worker-leaves", now)
	}
}

// decidePerpetual stops a perpetual unit at once, unless its worker stays for longer than such a run
// is expected to last.
func decidePerpetual(d decide.Departure) decide.DepartureDecision {
	if d.Remaining <= d.TimeLeft {
		return decide.DepartureDecision{Choice: decide.LetEnd}
	}
	return decide.DepartureDecision{Choice: decide.StopMembers, LostWork: d.Ran.Seconds() * d.Cores}
}

// unitMembers returns the runs that start and end together with a run, including itself.
func (r *activeRun) unitMembers() []*activeRun {
	if !r.step.Gang {
		return []*activeRun{r}
	}
	var out []*activeRun
	for _, other := range r.job.runsOf(r.key) {
		if !other.settled {
			out = append(out, other)
		}
	}
	return out
}

// describeDeparture describes a unit for the decision, and returns its member that leaves first; nil
// if none does.
func (c *Core) describeDeparture(members []*activeRun, now time.Time) (d decide.Departure, leaving *activeRun) {
	d = decide.Departure{
		Saves: members[0].step.Checkpoint && !members[0].step.Perpetual, Overstay: c.departures.overstay,
		StopTime: c.bounds.StopTimeout + stopMargin, RestoreCost: c.bounds.RestoreCost,
	}
	for i, r := range members {
		d.Ran = max(d.Ran, c.ranFor(r, now))
		if remaining, spread := c.expectedRemaining(r, now); remaining > d.Remaining {
			d.Remaining, d.Spread = remaining, spread
		}
		if unsaved := c.unsavedTime(r, now); i == 0 || unsaved < d.Unsaved {
			d.Unsaved = unsaved
		}
		d.Cores += r.step.Need.CoreEquivalent()
		if r.worker.isLeaving() && (leaving == nil || r.worker.leavesAt.Before(leaving.worker.leavesAt)) {
			leaving = r
		}
	}
	if leaving != nil {
		d.TimeLeft = leaving.worker.leavesAt.Sub(now)
	}
	return d, leaving
}

// expectedRemaining returns the time until a run is expected to have done its own work, and the
// relative error of that.
func (c *Core) expectedRemaining(r *activeRun, now time.Time) (remaining time.Duration, spread float64) {
	if r.step.Perpetual {
		return perpetualTime, 0
	}
	if each := r.timePerPercent(); each > 0 {
		return c.remainingWithStall(r, each, now)
	}
	ran := c.ranFor(r, now)
	return max(c.remainingByEstimate(r, ran), time.Duration(overdueShare*float64(ran))), estimatedSpread
}

// remainingWithStall is remainingByProgress, except that time without progress counts as progress for
// one percent at most, beyond the time since the last report. The rest is time for which the run has
// stood still. It may go on to do so for as long again, which widens the error.
func (c *Core) remainingWithStall(r *activeRun, each time.Duration, now time.Time) (remaining time.Duration, spread float64) {
	since := now.Sub(r.progressedAt)
	progressing := min(since, each+min(now.Sub(r.reportedAt), c.bounds.PollWait))
	remaining = max(time.Millisecond, each*time.Duration(100-r.percent)-progressing)
	return remaining, measuredSpread + (since-progressing).Seconds()/remaining.Seconds()
}

// ranFor returns for how long a run has been running. An adopted run's start is unknown; its
// progress then gives a share of the expected run time.
func (c *Core) ranFor(r *activeRun, now time.Time) time.Duration {
	if r.orderedAt.IsZero() {
		return 0
	}
	ran := now.Sub(r.orderedAt)
	if !r.ordered {
		ran = max(ran, c.estimates.expected(r.job, r.id.Step)*time.Duration(r.percent)/100)
	}
	return ran
}

// unsavedTime returns how long ago the run's progress was last saved, as far as it was reported.
func (c *Core) unsavedTime(r *activeRun, now time.Time) time.Duration {
	if r.savedAt.IsZero() {
		return c.ranFor(r, now)
	}
	return now.Sub(r.savedAt)
}

func (c *Core) emitDeparture(members []*activeRun, leaving *activeRun, d decide.Departure, decision decide.DepartureDecision) {
	id := leaving.id.String()
	if leaving.step.Gang {
		id = leaving.id.StepID()
	}
	detail := fmt.Sprintf("members=%d left_ms=%d end_ms=%d ran_ms=%d core_s=%.1f", len(members), d.TimeLeft.Milliseconds(), d.Remaining.Milliseconds(), d.Ran.Milliseconds(), decision.LostWork)
	if decision.Choice != decide.LetEnd {
		detail += fmt.Sprintf(" stop_in_ms=%d", decision.StopIn.Milliseconds())
	}
	c.emit(Event{Name: EventUnitDeparts, Job: leaving.id.Job, Task: id, Worker: leaving.worker.ID, Run: leaving.run, Reason: string(decision.Choice), Detail: detail})
}

// stopUnit stops all members of a unit. If their start is not in the log yet, the end of the first one
// settles them all.
func (c *Core) stopUnit(members []*activeRun, reason string, now time.Time) {
	var stopping []*activeRun
	for _, r := range members {
		if !r.settled {
			c.stop(r, reason)
		}
		if r.stopping {
			stopping = append(stopping, r)
		}
	}
	if len(stopping) > 0 {
		c.reserveNextRun(stopping, now)
	}
}

// outlasts reports whether a run's unit is not expected to end within the given time.
func (c *Core) outlasts(r *activeRun, limit time.Duration, now time.Time) bool {
	if !c.plansUnitDepartures() {
		return c.remainingTime(r, now) > limit
	}
	for _, member := range r.unitMembers() {
		if remaining, _ := c.expectedRemaining(member, now); remaining > limit {
			return true
		}
	}
	return false
}

// stopForMaintenance stops the unit of a run whose host is to go down.
func (c *Core) stopForMaintenance(r *activeRun, now time.Time) {
	const reason = "maintenance"
	if !c.plansUnitDepartures() {
		c.stop(r, reason)
		return
	}
	members := r.unitMembers()
	d, _ := c.describeDeparture(members, now)
	decision := decide.DepartureDecision{Choice: decide.StopMembers, LostWork: (d.Ran + d.StopTime).Seconds() * d.Cores}
	if d.Saves {
		decision = decide.DepartureDecision{Choice: decide.SaveMembers, LostWork: (d.RestoreCost + d.StopTime).Seconds() * d.Cores}
	}
	c.emitDeparture(members, r, d, decision)
	c.stopUnit(members, reason, now)
}

// observeOverstay learns from a worker that has left how much longer than announced it stayed.
// Workers without runs may leave early, so they say nothing.
func (c *Core) observeOverstay(w *worker, now time.Time) {
	if !w.isLeaving() || len(w.runs) == 0 {
		return
	}
	stayed := min(max(now.Sub(w.leavesAt), 0), maxOverstay)
	c.departures.overstay += time.Duration(overstayRate * float64(stayed-c.departures.overstay))
}

// stopIncompleteGangs stops the members of adopted gangs of which other members wait: the earlier
// planner was lost between the stops of the members.
func (c *Core) stopIncompleteGangs(j *job) {
	if !c.plansUnitDepartures() {
		return
	}
	for _, r := range j.runs {
		if !r.step.Gang || r.stopping {
			continue
		}
		for _, o := range j.progress.Open {
			if o.Number == r.id.Occurrence && hasWaiting(o.Steps[r.id.Step]) {
				c.stop(r, gangStopPrefix+string(EndStopped))
			}
		}
	}
}

func hasWaiting(tasks []workload.Task) bool {
	for i := range tasks {
		if tasks[i].Phase == workload.Waiting {
			return true
		}
	}
	return false
}

// takesProgress reports whether the progress that came with a run's end replaces what is recorded
// of its gang. Each member's value is valid for the whole gang. What a stop has saved is newer than
// the last checkpoint of members that ended as broken or were lost with their workers.
func (c *Core) takesProgress(r *activeRun, savedByStop bool) bool {
	if !r.step.Gang || !c.plansUnitDepartures() {
		return true
	}
	first := r.id
	first.Index = 0
	t := r.job.progress.FindTask(first)
	if t == nil {
		return true
	}
	if savedByStop {
		t.SavedRun = r.run
	}
	return savedByStop || t.SavedRun != r.run
}
