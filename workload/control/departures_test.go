package control_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// mostDepartures is the most workers that drain in the course of a world, mostOutages the most
// outages of its store.
const mostDepartures, mostOutages = 8, 3

// moreWorkers are added, so that there is room beside those that leave.
const moreWorkers = 4

// lags are by how much the list is read late; they change so often in the course of a world.
var lags = []time.Duration{0, 100 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}

const lagChanges = 20

// newDepartureWorld is a world whose workers drain and then leave, crash, or are cut off and run
// on; its list is read late, and its store is down at times.
func newDepartureSimulation(seed int64, faulty bool) *simulation {
	sim := newSimulation(seed, faulty)
	sim.registry = newRegistry()
	sim.registry.losesEntries = sim.rng.Intn(2) == 0
	sim.drainRemainingMS = map[string]int64{}
	sim.fleet.Work = sim.longWork
	for range moreWorkers {
		sim.addWorker()
	}
	for range 1 + sim.rng.Intn(mostDepartures) {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), sim.drainWorker)
	}
	for range sim.rng.Intn(mostOutages + 1) {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), sim.storeOutage)
	}
	for range lagChanges {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), func() { sim.registry.readLag = lags[sim.rng.Intn(len(lags))] })
	}
	return sim
}

// outage takes the store down for a while; some of the workers that drain are cut off with it.
func (sim *simulation) storeOutage() {
	sim.takeStoreDown(sim.randomDuration(500, 6000))
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if sim.drainRemainingMS[id] > 0 && sim.rng.Intn(2) == 0 {
			sim.cutOff(id, sim.randomDuration(1000, 9000), sim.randomDuration(1000, 9000))
		}
	}
}

// longWork takes far longer than its step expects; a third of it outlasts leases.
func (sim *simulation) longWork(id workload.TaskID, run int64, worker string) workertest.Work {
	work := sim.randomWork(id, run, worker)
	work.Takes *= 3
	if (id.Index+id.Step+int(run))%3 == 0 {
		work.Takes = 12*time.Second + work.Takes
	}
	return work
}

// within draws a time between two bounds in milliseconds.
func (sim *simulation) randomDuration(least, most int) time.Duration {
	return time.Duration(least+sim.rng.Intn(most-least)) * time.Millisecond
}

// depart has a worker drain, and then leave, crash, or be cut off from the store, the planners or
// both, at times of their own.
func (sim *simulation) drainWorker() {
	id := sim.randomWorker()
	if sim.fleet.Workers[id].Dead || sim.drainRemainingMS[id] > 0 {
		return
	}
	sim.drainRemainingMS[id] = sim.randomDuration(10_000, 30_000).Milliseconds()
	if sim.rng.Intn(2) == 0 {
		// It says so at once.
		sim.registry.nextHeartbeat[id] = sim.now
	}
	switch sim.rng.Intn(4) {
	case 0:
		sim.schedule(sim.randomDuration(300, 5000), func() { sim.departAsPlanned(id) })
	case 1:
		sim.schedule(sim.randomDuration(300, 5000), func() { sim.crash(id) })
	default:
		sim.schedule(sim.randomDuration(0, 5000), func() { sim.registry.unreachableUntil[id] = sim.now.Add(sim.randomDuration(1000, 9000)) })
		sim.schedule(sim.randomDuration(0, 5000), func() { sim.unreachableUntil[id] = sim.now.Add(sim.randomDuration(1000, 9000)) })
		sim.schedule(sim.randomDuration(10_000, 15_000), func() { sim.departAsPlanned(id) })
	}
}

// Beside cuts, outages of the store and late reading a task of a worker that drains runs once at a
// time. DEPARTURE_WORLDS=2000 plays so many in place of those that CI does.
func TestDeparturesBreakNothing(t *testing.T) {
	worlds := 16
	if testing.Short() {
		worlds = 10
	}
	if asked := os.Getenv("DEPARTURE_WORLDS"); asked != "" {
		if _, err := fmt.Sscan(asked, &worlds); err != nil {
			t.Fatal(err)
		}
	}
	for name, faulty := range map[string]bool{"with no other trouble": false, "beside other troubles": true} {
		t.Run(name, func(t *testing.T) {
			played := make([]*simulation, worlds)
			broken := simulationViolations(worlds, func(seed int64) *simulation {
				played[seed] = newDepartureSimulation(seed, faulty)
				return played[seed]
			})
			if len(broken) > 0 {
				t.Fatalf("%d of %d worlds broke: %v", len(broken), worlds, broken[:min(len(broken), 5)])
			}
			left := 0
			for _, w := range played {
				left += w.departures
			}
			if left == 0 {
				t.Fatal("no worker was found to have left")
			}
			t.Logf("%d workers were found to have left in %d worlds", left, worlds)
		})
	}
}

func TestMutantsOfDeparturesAreCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"each removal is a departure":        {heartbeatFactor: 1000},
		"entries expire later than believed": {heartbeatFactor: 2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range mutantSeeds {
				w := newDepartureSimulation(int64(seed), true)
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
