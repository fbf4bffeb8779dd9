package control_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// maxDepartures is the maximum number of workers that drain in a simulation, maxSuccessions that of
// workers that crash behind a cut and are succeeded at their addresses, and maxStoreOutages that of
// outages of the store.
const maxDepartures, maxSuccessions, maxStoreOutages = 8, 4, 3

// extraWorkers is the number of additional workers, so that there is capacity besides those that
// leave.
const extraWorkers = 4

// readLags are the delays with which the list is read, one at a time; readLagChanges is how often
// the delay changes in a simulation.
var readLags = []time.Duration{0, 100 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}

const readLagChanges = 20

// newDepartureSimulation returns a simulation whose workers drain and then leave, crash, or are cut
// off and run on, and crash behind cuts and are succeeded at their addresses. The list is read late,
// and the store has outages.
func newDepartureSimulation(seed int64, faulty bool) *simulation {
	sim := newSimulation(seed, faulty)
	sim.registry = newRegistry()
	sim.registry.losesEntries = sim.rng.Intn(2) == 0
	sim.drainRemainingMS = map[string]int64{}
	sim.fleet.Work = sim.longWork
	for range extraWorkers {
		sim.addWorker()
	}
	for range 1 + sim.rng.Intn(maxDepartures) {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), sim.drainWorker)
	}
	for range sim.rng.Intn(maxSuccessions + 1) {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), sim.crashBehindCut)
	}
	for range sim.rng.Intn(maxStoreOutages + 1) {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), sim.storeOutage)
	}
	for range readLagChanges {
		sim.schedule(time.Duration(sim.rng.Intn(int(faultPeriod))), func() { sim.registry.readLag = readLags[sim.rng.Intn(len(readLags))] })
	}
	return sim
}

// storeOutage takes the store down for a while, and cuts off some of the draining workers.
func (sim *simulation) storeOutage() {
	sim.takeStoreDown(sim.randomDuration(500, 6000))
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if sim.drainRemainingMS[id] > 0 && sim.rng.Intn(2) == 0 {
			sim.cutOff(id, sim.randomDuration(1000, 9000), sim.randomDuration(1000, 9000))
		}
	}
}

// crashBehindCut cuts off a random worker, which crashes and is succeeded at its address before the
// cut ends. Heartbeats that the cut held up arrive afterwards. Soon after the cut, the successor is
// cut off from the store alone.
func (sim *simulation) crashBehindCut() {
	id := sim.randomWorker()
	if sim.fleet.Workers[id].Dead || sim.crashes.successors[id] != "" {
		return
	}
	cut := sim.randomDuration(2000, 6000)
	sim.cutOff(id, cut, cut)
	sim.schedule(sim.randomDuration(0, 2000), func() {
		if sim.fleet.Workers[id].Dead {
			return
		}
		sim.fleet.Kill(id, sim.now)
		sim.schedule(sim.randomDuration(300, 1800), func() { sim.startSuccessor(id, sim.registry.entries[id].Rack) })
	})
	sim.schedule(cut+sim.randomDuration(0, 4000), func() {
		if successor := sim.crashes.occupant(id); successor != id {
			sim.registry.unreachableUntil[successor] = sim.now.Add(sim.randomDuration(2000, 9000))
		}
	})
}

// longWork returns work that takes far longer than the step's estimate. A third of it lasts longer
// than a lease.
func (sim *simulation) longWork(id workload.TaskID, run int64, worker string) workertest.Work {
	work := sim.randomWork(id, run, worker)
	work.Takes *= 3
	if (id.Index+id.Step+int(run))%3 == 0 {
		work.Takes = 12*time.Second + work.Takes
	}
	return work
}

// randomDuration returns a random duration between two bounds in milliseconds.
func (sim *simulation) randomDuration(minMS, maxMS int) time.Duration {
	return time.Duration(minMS+sim.rng.Intn(maxMS-minMS)) * time.Millisecond
}

// drainWorker has a random worker drain and then leave, crash, or be cut off from the store and the
// planners at random times.
func (sim *simulation) drainWorker() {
	id := sim.randomWorker()
	if sim.fleet.Workers[id].Dead || sim.drainRemainingMS[id] > 0 {
		return
	}
	sim.drainRemainingMS[id] = sim.randomDuration(10_000, 30_000).Milliseconds()
	if sim.rng.Intn(2) == 0 {
		// Its entry shows that it drains at once.
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

// A task on a draining worker must not run twice at the same time if workers are cut off, the store
// has outages and the list is read late. DEPARTURE_WORLDS=2000 runs 2,000 simulations of each kind
// instead of the 16 that CI runs.
func TestTasksRunOnceWhenWorkersDrainAndLeave(t *testing.T) {
	t.Parallel()
	count := 16
	if testing.Short() {
		count = 10
	}
	if value := os.Getenv("DEPARTURE_WORLDS"); value != "" {
		if _, err := fmt.Sscan(value, &count); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		faulty bool
		notice time.Duration
	}{
		"without other faults": {}, "with other faults": {faulty: true},
		"planned for whole units": {notice: simNotice}, "planned for whole units, with other faults": {faulty: true, notice: simNotice},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sims := make([]*simulation, count)
			violations := simulationViolations(count, func(seed int64) *simulation {
				sims[seed] = newDepartureSimulation(seed, c.faulty)
				sims[seed].notice = c.notice
				return sims[seed]
			})
			if len(violations) > 0 {
				t.Fatalf("%d of %d simulations have violations: %v", len(violations), count, violations[:min(len(violations), 5)])
			}
			departures := 0
			for _, sim := range sims {
				departures += sim.departures
			}
			if departures == 0 {
				t.Fatal("no departure was detected")
			}
			t.Logf("%d departures were detected in %d simulations", departures, count)
		})
	}
}

func TestDepartureMutantsAreDetected(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]mutant{
		"each removal counts as a departure": {heartbeatFactor: 1000},
		"entries expire later than assumed":  {heartbeatFactor: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range mutantSeeds {
				sim := newDepartureSimulation(int64(seed), true)
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
