package control_test

import (
	"regexp"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// mutant breaks some of the rules that keep the planner safe, to prove that the simulation detects
// it. The zero value breaks none.
type mutant struct {
	// sameToken: a successor sends orders under its predecessor's token.
	sameToken bool
	// lateLog: orders are sent a second before they are in the log.
	lateLog bool
	// noLog: orders are sent and never written to the log.
	noLog bool
	// unfencedLog: the log accepts writes of a planner that has been succeeded.
	unfencedLog bool
	// earlyAck: workers may forget ends that are not in the log.
	earlyAck bool
	// extraLease: workers get longer leases than the planner assumes.
	extraLease time.Duration
	// extraHorizon: planners grant leases beyond the horizon of which their successors know.
	extraHorizon time.Duration
	// grantsRecorded: planners grant leases to workers that they have recorded as silent.
	grantsRecorded bool
	// trustSilence: an unanswered order counts as refused or carried out.
	trustSilence bool
	// losesCrashCounts: crashes are counted only in the planner's memory.
	losesCrashCounts bool
	// losesFailedRuns: which run of a gang was counted as a failure last is only in the planner's memory.
	losesFailedRuns bool
	// brokenAsFailed: the ends of gang members that another member has ended are received as failed.
	brokenAsFailed bool
	// anonymousIncarnations: incarnations are distinguished neither by start time nor by clock.
	anonymousIncarnations bool
	// constantTokens: tokens are not raised when a worker falls silent.
	constantTokens bool
	// unboundStarts: a start order reaches whichever incarnation is running when it arrives.
	// unboundAcknowledgements: so does a lease renewal that acknowledges ends.
	unboundStarts, unboundAcknowledgements bool
	// reusedAcknowledgements: each lease renewal carries the highest acknowledgement that was ever
	// sent to the worker, whichever incarnation it was meant for.
	reusedAcknowledgements bool
	// heartbeatFactor: planners assume an interval of heartbeats that is this many times as long.
	heartbeatFactor time.Duration
	// datedByRead: entries show the time at which they were read instead of written.
	datedByRead bool
	// unansweredBegan: a start order that was not carried out counts as carried out, as far as crashes
	// are concerned.
	unansweredBegan bool
	// separateAddresses: the list does not show that workers have the same address.
	separateAddresses bool
	// openHosts: hosts whose maintenance is ordered get new work.
	openHosts bool
	// listedSuccessors: an unlisted worker counts as ended if another one is listed at its address.
	listedSuccessors bool
	// hiddenGaps: planners are not notified that the list could not be read for a while.
	hiddenGaps bool
}

// token returns the token that an order carries.
func (m mutant) token(token int64) int64 {
	if m.constantTokens {
		return control.ClaimToken(token) << 20
	}
	return token
}

// alterAnswer returns the answer to a lease renewal as the planner receives it.
func (m mutant) alterAnswer(a control.RenewalAnswer, now time.Time) control.RenewalAnswer {
	if m.anonymousIncarnations {
		a.StartMS = 0
		a.ClockMS = now.UnixMilli()
	}
	for i := range a.Ended {
		if m.brokenAsFailed && a.Ended[i].End == control.EndBroken {
			a.Ended[i].End = control.EndFailed
		}
	}
	return a
}

// alterResult returns the result of an order as the planner receives it.
func (m mutant) alterResult(result, otherwise control.Result) control.Result {
	if m.trustSilence && result == control.Unanswered {
		return otherwise
	}
	return result
}

// endUnlisted has a planner take the unlisted workers to have ended at whose addresses others are
// listed.
func (m mutant) endUnlisted(sim *simulation, p *planner, list []control.Listing) {
	if !m.listedSuccessors {
		return
	}
	listed, addresses := map[string]bool{}, map[string]bool{}
	for _, l := range list {
		listed[l.ID], addresses[l.Address] = true, true
	}
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if address, _ := sim.crashes.location(id, ""); !listed[id] && addresses[address] {
			p.core.HandleRenewal(control.RenewalOrder{Worker: id}, control.RenewalAnswer{Result: control.Gone}, sim.now, sim.now)
		}
	}
}

// mutantSeeds is the number of simulations in which a mutant must be detected.
const mutantSeeds = 120

func TestSimulationDetectsSafetyMutants(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]mutant{
		"successor uses the old token":       {sameToken: true, unfencedLog: true},
		"orders sent before they are logged": {lateLog: true},
		"ends forgotten before logged":       {earlyAck: true},
		"leases longer than assumed":         {extraLease: 4 * time.Second},
		"silence taken for an answer":        {trustSilence: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range mutantSeeds {
				sim := newSimulation(int64(seed), true)
				sim.mutant = m
				sim.run(nil)
				if len(sim.violations) > 0 {
					t.Logf("detected at seed %d: %s", seed, sim.violations[0])
					return
				}
			}
			t.Fatalf("not detected in %d simulations", mutantSeeds)
		})
	}
}

// crashFields matches the crash counts in a progress record.
var crashFields = regexp.MustCompile(`,?"[cmuobn]":[0-9]+`)

// failedRunField matches the run of a gang that was counted last.
var failedRunField = regexp.MustCompile(`,?"x":[0-9]+`)

// alterRecord returns the record as it is written to the log.
func (m mutant) alterRecord(value []byte) []byte {
	if m.losesCrashCounts {
		return crashFields.ReplaceAll(value, nil)
	}
	if m.losesFailedRuns {
		return failedRunField.ReplaceAll(value, nil)
	}
	return value
}

// Guards against simulations in which no end is counted as failed wrongly or twice.
func TestSimulationDetectsWronglyCountedFailures(t *testing.T) {
	for name, m := range map[string]mutant{
		"failed run of a gang lost with the planner": {losesFailedRuns: true},
		"broken taken for failed":                    {brokenAsFailed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range mutantSeeds {
				sim := newFailedEndSimulation(int64(seed))
				sim.mutant = m
				sim.run(nil)
				if len(sim.violations) > 0 {
					t.Logf("detected at seed %d: %s", seed, sim.violations[0])
					return
				}
			}
			t.Fatalf("not detected in %d simulations", mutantSeeds)
		})
	}
}

func TestSimulationDetectsCrashCountsLostWithThePlanner(t *testing.T) {
	t.Parallel()
	for seed := range mutantSeeds {
		sim := newCrashSimulation(int64(seed))
		sim.mutant.losesCrashCounts = true
		sim.run(nil)
		if len(sim.violations) > 0 {
			t.Logf("detected at seed %d: %s", seed, sim.violations[0])
			return
		}
	}
	t.Fatalf("not detected in %d simulations", mutantSeeds)
}

// Guards against worlds in which too few starts meet ended workers to fail a job for them. The list
// does not show that these have successors, so that the planner does not poll them first.
func TestSimulationDetectsStartsTakenForCrashEvidence(t *testing.T) {
	t.Parallel()
	for seed := range mutantSeeds {
		unmutated, sim := newRackOutageSimulation(int64(seed)), newRackOutageSimulation(int64(seed))
		unmutated.mutant.separateAddresses = true
		sim.mutant = mutant{separateAddresses: true, unansweredBegan: true}
		sim.run(nil)
		failed := sim.groundlesslyFailedJobs()
		if len(failed) == 0 {
			continue
		}
		if unmutated.run(nil); len(unmutated.groundlesslyFailedJobs()) == 0 {
			t.Logf("detected at seed %d: %v failed without two lost workers", seed, failed)
			return
		}
	}
	t.Fatalf("not detected in %d simulations", mutantSeeds)
}

// Guards against worlds in which no late heartbeat of an ended incarnation shows it at its
// successor's address.
func TestSimulationDetectsListedSuccessorTakenForProof(t *testing.T) {
	t.Parallel()
	for seed := range mutantSeeds {
		unmutated, sim := newDepartureSimulation(int64(seed), false), newDepartureSimulation(int64(seed), false)
		sim.mutant.listedSuccessors = true
		sim.run(nil)
		if len(sim.violations) == 0 {
			continue
		}
		if unmutated.run(nil); len(unmutated.violations) == 0 {
			t.Logf("detected at seed %d: %s", seed, sim.violations[0])
			return
		}
	}
	t.Fatalf("not detected in %d simulations", mutantSeeds)
}

func TestSimulationDetectsIncarnationMutants(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]mutant{
		"incarnations not told apart":              {anonymousIncarnations: true},
		"silence raises no token":                  {constantTokens: true, unboundStarts: true, unboundAcknowledgements: true},
		"cursors of an earlier incarnation":        {reusedAcknowledgements: true},
		"silence taken for an answer":              {trustSilence: true},
		"starts and cursors reach any incarnation": {unboundStarts: true, unboundAcknowledgements: true},
		"starts reach any incarnation":             {unboundStarts: true},
		"cursors reach any incarnation":            {unboundAcknowledgements: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range mutantSeeds {
				unmutated, sim := newRestartSimulation(int64(seed), true), newRestartSimulation(int64(seed), true)
				sim.mutant = m
				sim.run(nil)
				if len(sim.violations) == 0 {
					continue
				}
				// Some of these seeds have violations without the mutant.
				if unmutated.run(nil); len(unmutated.violations) == 0 {
					t.Logf("detected at seed %d: %s", seed, sim.violations[0])
					return
				}
			}
			t.Fatalf("not detected in %d simulations", mutantSeeds)
		})
	}
}
