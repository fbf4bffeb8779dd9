package decide

import (
	"math"
	"time"
)

// Departure describes a running unit (a gang's run, or a single task) one of whose workers is about
// to leave. A gang ends with its slowest member and is lost with its first one, so the unit is
// described as a whole.
type Departure struct {
	// Ran is how long the unit has been running, and what is lost if nothing is saved.
	Ran time.Duration
	// Remaining is the time until the slowest member is expected to have done its work, Spread the
	// relative error of that.
	Remaining time.Duration
	Spread    float64
	// TimeLeft is the time until the first of the unit's workers may leave. It is negative if that
	// worker has stayed longer than announced.
	TimeLeft time.Duration
	// Overstay is the mean time by which workers stay longer than announced.
	Overstay time.Duration
	// Saves reports whether a stop saves the unit's progress. Unsaved is how long ago that was last
	// saved.
	Saves   bool
	Unsaved time.Duration
	// StopTime is the time that a stop takes, delivery included. RestoreCost is the cost of a start
	// from saved progress.
	StopTime, RestoreCost time.Duration
	// Cores is what all members hold, in cores.
	Cores float64
}

// DepartureChoice is what is done with a unit one of whose workers leaves.
type DepartureChoice string

// The choices.
const (
	// LetEnd lets the unit run, since it is expected to end before its worker leaves.
	LetEnd DepartureChoice = "let-end"
	// SaveMembers stops all members at the last moment at which a stop still saves.
	SaveMembers DepartureChoice = "save"
	// StopMembers stops all members at once, since all that the unit still does would be lost.
	StopMembers DepartureChoice = "stop"
)

// DepartureDecision is the decision on one unit.
type DepartureDecision struct {
	Choice DepartureChoice
	// StopIn is the time until the members are stopped, 0 for now. It is meaningless for LetEnd.
	StopIn time.Duration
	// LostWork is the work that is expected to be lost, in core-seconds.
	LostWork float64
}

// StopsNow reports whether the unit is to be stopped now.
func (d DepartureDecision) StopsNow() bool { return d.Choice != LetEnd && d.StopIn <= 0 }

// DecideDeparture chooses what loses the least work. The choice that does so is also the best one
// for callers: work that is lost has to be done again before the job can end, so both the work and
// the time lost are the run so far for a stop, and that plus the time until the departure for a
// unit that is let run in vain.
//
// A unit that saves loses nothing by running on until the last moment at which a stop saves, so
// letting it end is weighed against a save only then.
func DecideDeparture(d Departure) DepartureDecision {
	wait := min(max(d.Remaining, 0), max(d.TimeLeft, 0)+d.Overstay)
	fails := 1 - d.endsInTime()
	if !d.Saves {
		stop, run := d.Ran+d.StopTime, scale(fails, d.Ran+wait)
		if run <= stop {
			return d.decision(LetEnd, 0, run)
		}
		return d.decision(StopMembers, 0, stop)
	}
	save := d.RestoreCost + d.StopTime + scale(1-d.staysFor(d.StopTime), d.Unsaved)
	if in := d.TimeLeft - d.StopTime; in > 0 {
		if d.latestEnd() <= d.TimeLeft {
			return d.decision(LetEnd, 0, 0)
		}
		return d.decision(SaveMembers, in, save)
	}
	if run := scale(fails, d.Unsaved+wait+d.RestoreCost); run <= save {
		return d.decision(LetEnd, 0, run)
	}
	return d.decision(SaveMembers, 0, save)
}

func (d *Departure) decision(choice DepartureChoice, in, lost time.Duration) DepartureDecision {
	return DepartureDecision{Choice: choice, StopIn: in, LostWork: lost.Seconds() * d.Cores}
}

func scale(factor float64, t time.Duration) time.Duration {
	return time.Duration(factor * float64(t))
}

func (d *Departure) latestEnd() time.Duration { return scale(1+d.Spread, max(d.Remaining, 0)) }

// endsInTime returns the probability that the unit ends before its worker leaves: that of an early,
// an expected and a late end, of which the expected one counts twice.
func (d *Departure) endsInTime() float64 {
	remaining := max(d.Remaining, 0)
	early, late := scale(max(0, 1-d.Spread), remaining), d.latestEnd()
	return (d.staysFor(early) + 2*d.staysFor(remaining) + d.staysFor(late)) / 4
}

// staysFor returns the probability that the worker stays for a time. The announced time is a
// minimum; how much longer it stays is taken as exponentially distributed, so that the time for
// which it has overstayed already says nothing about the rest.
func (d *Departure) staysFor(t time.Duration) float64 {
	beyond := t - max(d.TimeLeft, 0)
	switch {
	case beyond <= 0:
		return 1
	case d.Overstay <= 0:
		return 0
	}
	return math.Exp(-beyond.Seconds() / d.Overstay.Seconds())
}
