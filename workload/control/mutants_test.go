package control_test

import (
	"regexp"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// mutant breaks one of the rules that keep the planner safe. The zero value
// breaks none.
type mutant struct {
	// sameToken: a successor gives orders under its predecessor's token.
	sameToken bool
	// lateLog: orders go out a second before the log has them.
	lateLog bool
	// noLog: orders go out and no record of them is ever written.
	noLog bool
	// openLog: a planner that has been succeeded goes on.
	openLog bool
	// earlyAck: workers may forget ends that are not in the log.
	earlyAck bool
	// longer: workers are held longer than the planner believes.
	longer time.Duration
	// deaf: an order without an answer is taken for one that was dealt with.
	deaf bool
	// forgetful: crashes are counted in the planner's memory alone.
	forgetful bool
	// nameless: lives are known by their ids alone, neither by birth nor by clock.
	nameless bool
	// unraised: silences don't raise tokens.
	unraised bool
	// unboundStarts: a start reaches whoever is there when it arrives; unboundCursors: so does a
	// hold that lets ends be forgotten.
	unboundStarts, unboundCursors bool
	// cursors: each hold to a worker carries the highest cursor that ever went there.
	cursors bool
	// heartbeats: heartbeats are taken to be as many times as far apart.
	heartbeats time.Duration
	// datedByReading: entries show the time at which they were read, not that at which they
	// were written.
	datedByReading bool
	// untoldGaps: planners don't know that the list was not read for a while.
	untoldGaps bool
}

// token is the one that an order carries.
func (m mutant) token(token int64) int64 {
	if m.unraised {
		return control.Claim(token) << 20
	}
	return token
}

// life is what a hold's answer tells of the life that gives it.
func (m mutant) life(a control.HoldAnswer, now time.Time) control.HoldAnswer {
	if m.nameless {
		a.Born = 0
		a.ClockMS = now.UnixMilli()
	}
	return a
}

func (m mutant) silence(verdict, otherwise control.Verdict) control.Verdict {
	if m.deaf && verdict == control.Unanswered {
		return otherwise
	}
	return verdict
}

const mutantWorlds = 120

func TestEveryMutantIsCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"successor uses the old token":  {sameToken: true, openLog: true},
		"orders before the log":         {lateLog: true},
		"ends forgotten before the log": {earlyAck: true},
		"leases longer than believed":   {longer: 4 * time.Second},
		"silence taken for an answer":   {deaf: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range mutantWorlds {
				w := newWorld(int64(seed), true)
				w.mutant = m
				w.playAll(nil)
				if len(w.problems) > 0 {
					t.Logf("caught at seed %d: %s", seed, w.problems[0])
					return
				}
			}
			t.Fatalf("not caught in %d worlds", mutantWorlds)
		})
	}
}

// crashFields are what a record of progress has of crashes.
var crashFields = regexp.MustCompile(`,?"[cmuon]":[0-9]+`)

func (m mutant) record(value []byte) []byte {
	if m.forgetful {
		return crashFields.ReplaceAll(value, nil)
	}
	return value
}

func TestACountOfCrashesInMemoryAloneIsCaught(t *testing.T) {
	for seed := range mutantWorlds {
		w := newCrashWorld(int64(seed))
		w.mutant.forgetful = true
		w.playAll(nil)
		if len(w.problems) > 0 {
			t.Logf("caught at seed %d: %s", seed, w.problems[0])
			return
		}
	}
	t.Fatalf("not caught in %d worlds", mutantWorlds)
}

func TestMutantsOfLivesAreCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"lives known by their ids":          {nameless: true},
		"silences raise no token":           {unraised: true, unboundStarts: true, unboundCursors: true},
		"cursors of a life before":          {cursors: true},
		"silence taken for answers":         {deaf: true},
		"starts and cursors reach any life": {unboundStarts: true, unboundCursors: true},
		"starts reach any life":             {unboundStarts: true},
		"cursors reach any life":            {unboundCursors: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range mutantWorlds {
				sound, w := newRestartWorld(int64(seed), true), newRestartWorld(int64(seed), true)
				w.mutant = m
				w.playAll(nil)
				if len(w.problems) == 0 {
					continue
				}
				// Some of these worlds break without the mutant.
				if sound.playAll(nil); len(sound.problems) == 0 {
					t.Logf("caught at seed %d: %s", seed, w.problems[0])
					return
				}
			}
			t.Fatalf("not caught in %d worlds", mutantWorlds)
		})
	}
}
