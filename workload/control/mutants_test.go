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
	unfencedLog bool
	// earlyAck: workers may forget ends that are not in the log.
	earlyAck bool
	// longer: workers are held longer than the planner believes.
	extraLease time.Duration
	// deaf: an order without an answer is taken for one that was dealt with.
	trustSilence bool
	// forgetful: crashes are counted in the planner's memory alone.
	losesCrashCounts bool
	// nameless: lives are known by their ids alone, neither by birth nor by clock.
	anonymousIncarnations bool
	// unraised: silences don't raise tokens.
	constantTokens bool
	// unboundStarts: a start reaches whoever is there when it arrives; unboundCursors: so does a
	// hold that lets ends be forgotten.
	unboundStarts, unboundCursors bool
	// cursors: each hold to a worker carries the highest cursor that ever went there.
	reusedCursors bool
	// heartbeats: heartbeats are taken to be as many times as far apart.
	heartbeatFactor time.Duration
	// datedByReading: entries show the time at which they were read, not that at which they
	// were written.
	datedByRead bool
	// untoldGaps: planners don't know that the list was not read for a while.
	hiddenGaps bool
}

// token is the one that an order carries.
func (m mutant) token(token int64) int64 {
	if m.constantTokens {
		return control.Claim(token) << 20
	}
	return token
}

// life is what a hold's answer tells of the life that gives it.
func (m mutant) alterAnswer(a control.HoldAnswer, now time.Time) control.HoldAnswer {
	if m.anonymousIncarnations {
		a.Born = 0
		a.ClockMS = now.UnixMilli()
	}
	return a
}

func (m mutant) alterVerdict(verdict, otherwise control.Verdict) control.Verdict {
	if m.trustSilence && verdict == control.Unanswered {
		return otherwise
	}
	return verdict
}

const mutantSeeds = 120

func TestEveryMutantIsCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"successor uses the old token":  {sameToken: true, unfencedLog: true},
		"orders before the log":         {lateLog: true},
		"ends forgotten before the log": {earlyAck: true},
		"leases longer than believed":   {extraLease: 4 * time.Second},
		"silence taken for an answer":   {trustSilence: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range mutantSeeds {
				w := newSimulation(int64(seed), true)
				w.mutant = m
				w.run(nil)
				if len(w.violations) > 0 {
					t.Logf("caught at seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatalf("not caught in %d worlds", mutantSeeds)
		})
	}
}

// crashFields are what a record of progress has of crashes.
var crashFields = regexp.MustCompile(`,?"[cmuon]":[0-9]+`)

func (m mutant) alterRecord(value []byte) []byte {
	if m.losesCrashCounts {
		return crashFields.ReplaceAll(value, nil)
	}
	return value
}

func TestACountOfCrashesInMemoryAloneIsCaught(t *testing.T) {
	for seed := range mutantSeeds {
		w := newCrashSimulation(int64(seed))
		w.mutant.losesCrashCounts = true
		w.run(nil)
		if len(w.violations) > 0 {
			t.Logf("caught at seed %d: %s", seed, w.violations[0])
			return
		}
	}
	t.Fatalf("not caught in %d worlds", mutantSeeds)
}

func TestMutantsOfLivesAreCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"lives known by their ids":          {anonymousIncarnations: true},
		"silences raise no token":           {constantTokens: true, unboundStarts: true, unboundCursors: true},
		"cursors of a life before":          {reusedCursors: true},
		"silence taken for answers":         {trustSilence: true},
		"starts and cursors reach any life": {unboundStarts: true, unboundCursors: true},
		"starts reach any life":             {unboundStarts: true},
		"cursors reach any life":            {unboundCursors: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range mutantSeeds {
				sound, w := newRestartSimulation(int64(seed), true), newRestartSimulation(int64(seed), true)
				w.mutant = m
				w.run(nil)
				if len(w.violations) == 0 {
					continue
				}
				// Some of these worlds break without the mutant.
				if sound.run(nil); len(sound.violations) == 0 {
					t.Logf("caught at seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatalf("not caught in %d worlds", mutantSeeds)
		})
	}
}
