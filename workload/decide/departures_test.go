package decide

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testStopTime, testRestore = 700 * time.Millisecond, 100 * time.Millisecond

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against the losses seen on the second deployment: gangs that were stopped although they
// would have ended, gangs that ran in vain until the departure, and saves that came too early.
func TestDepartureChoices(t *testing.T) {
	for name, c := range map[string]struct {
		d      Departure
		choice DepartureChoice
		stopIn time.Duration
	}{
		"ends well before":                      {Departure{Ran: secs(7), Remaining: secs(1), Spread: 0.15, TimeLeft: secs(2)}, LetEnd, 0},
		"ends just before, long run at stake":   {Departure{Ran: secs(7), Remaining: secs(1.9), Spread: 0.15, TimeLeft: secs(2)}, LetEnd, 0},
		"far from its end, can't save":          {Departure{Ran: secs(3), Remaining: secs(6), Spread: 0.15, TimeLeft: secs(2)}, StopMembers, 0},
		"just begun, can't save":                {Departure{Ran: 0, Remaining: secs(8), Spread: 0.5, TimeLeft: secs(5.5)}, StopMembers, 0},
		"small chance, long run at stake":       {Departure{Ran: secs(20), Remaining: secs(2.3), Spread: 0.15, TimeLeft: secs(2), Overstay: secs(0.5)}, LetEnd, 0},
		"small chance, short run at stake":      {Departure{Ran: secs(0.5), Remaining: secs(2.8), Spread: 0.15, TimeLeft: secs(2), Overstay: secs(0.5)}, StopMembers, 0},
		"saves, far from its end":               {Departure{Saves: true, Ran: secs(3), Remaining: secs(6), TimeLeft: secs(5.5), Unsaved: secs(1)}, SaveMembers, secs(5.5) - testStopTime},
		"saves, at the last moment":             {Departure{Saves: true, Ran: secs(3), Remaining: secs(6), TimeLeft: testStopTime, Unsaved: secs(1)}, SaveMembers, 0},
		"saves, ends before":                    {Departure{Saves: true, Ran: secs(7), Remaining: secs(1), Spread: 0.15, TimeLeft: secs(2)}, LetEnd, 0},
		"saves, at the last moment, about done": {Departure{Saves: true, Ran: secs(7), Remaining: secs(0.5), Spread: 0.15, TimeLeft: testStopTime, Unsaved: secs(1)}, LetEnd, 0},
		"saves, worker overstays, far":          {Departure{Saves: true, Ran: secs(3), Remaining: secs(6), TimeLeft: -secs(1), Overstay: secs(0.5), Unsaved: secs(1)}, SaveMembers, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.d.StopTime, c.d.RestoreCost, c.d.Cores = testStopTime, testRestore, 28*20
			got := DecideDeparture(c.d)
			if got.Choice != c.choice || got.StopIn != c.stopIn {
				t.Fatalf("%s in %v, want %s in %v", got.Choice, got.StopIn, c.choice, c.stopIn)
			}
		})
	}
}

func drawTime(t *rapid.T, name string, minMS, maxMS int) time.Duration {
	return time.Duration(rapid.IntRange(minMS, maxMS).Draw(t, name)) * time.Millisecond
}

func drawDeparture(t *rapid.T) Departure {
	return Departure{
		Ran: drawTime(t, "ran", 0, 30_000), Remaining: drawTime(t, "remaining", -1000, 30_000), Spread: rapid.Float64Range(0, 1).Draw(t, "spread"),
		TimeLeft: drawTime(t, "left", -3000, 10_000), Overstay: drawTime(t, "overstay", 0, 5000), Saves: rapid.Bool().Draw(t, "saves"),
		Unsaved: drawTime(t, "unsaved", 0, 2000), StopTime: testStopTime, RestoreCost: testRestore, Cores: rapid.Float64Range(1, 3000).Draw(t, "cores"),
	}
}

// Guards against decisions that lose more than the alternatives, save too late, stop a unit that
// would certainly end, or stop one that saves earlier than necessary.
func TestDepartureProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeparture(t)
		got := DecideDeparture(d)
		if got.LostWork < 0 || got.StopIn < 0 {
			t.Fatalf("%+v", got)
		}
		if d.latestEnd() <= d.TimeLeft && got.Choice != LetEnd {
			t.Fatalf("%s although the unit certainly ends", got.Choice)
		}
		if got.Choice == StopMembers && d.Saves || got.Choice == SaveMembers && !d.Saves {
			t.Fatalf("%s, saves %t", got.Choice, d.Saves)
		}
		if got.Choice == SaveMembers && got.StopIn != max(0, d.TimeLeft-d.StopTime) {
			t.Fatalf("stops in %v, %v before the departure", got.StopIn, d.TimeLeft-got.StopIn)
		}
		if stop := (d.Ran + d.StopTime).Seconds() * d.Cores; got.LostWork > stop*1.000001 && !d.Saves {
			t.Fatalf("%.3f core-seconds are lost, a stop loses %.3f", got.LostWork, stop)
		}
		if got.Choice == LetEnd && d.Overstay == 0 && d.latestEnd() > d.TimeLeft && scale(1-d.Spread, d.Remaining) > max(d.TimeLeft, 0) && d.Ran > 0 && !d.Saves && d.Remaining > testStopTime && d.TimeLeft > testStopTime {
			t.Fatal("the unit runs on although it certainly can't end")
		}
	})
}

// Guards against a choice that flips with the run time: the more is at stake, the sooner a unit
// that can't save is let run, for the same chance to end.
func TestLongerRunsAreNotStoppedSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeparture(t)
		d.Saves = false
		shorter := DecideDeparture(d)
		d.Ran += drawTime(t, "more", 0, 30_000)
		if longer := DecideDeparture(d); shorter.Choice == LetEnd && longer.Choice != LetEnd {
			t.Fatalf("%s after a longer run, %s after a shorter one", longer.Choice, shorter.Choice)
		}
	})
}
