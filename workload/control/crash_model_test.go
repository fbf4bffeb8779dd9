package control_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// crashModel makes tasks crash their workers. A crashed worker is followed by another one at its
// address.
type crashModel struct {
	// crashAfter is how long after its start a job's task crashes its worker. Tasks of jobs that are
	// not listed crash none.
	crashAfter map[workload.JobID]time.Duration
	// restartDelay is the time from a crash until the next worker starts at the address.
	restartDelay time.Duration
	// locations are the addresses and racks of the workers that follow crashed ones, by worker id.
	locations map[string]location
	// successors are the workers that follow crashed ones at their addresses, and entryExpiresAt the
	// times at which the entries of crashed workers expire, both by the crashed worker's id.
	successors     map[string]string
	entryExpiresAt map[string]time.Time
	// crashCount counts the workers that crashed under each task, and startsAfterLimit the starts of
	// each task after crashLimit crashes.
	crashCount, startsAfterLimit map[workload.TaskID]int
	// lostRuns counts the workers that crashed while a run of each task was in progress there.
	lostRuns map[workload.TaskID]int
	// gangsOnly is set if all steps of jobs that crash their workers are gangs.
	gangsOnly bool
}

type location struct{ address, rack string }

// entryLifetime is how long the entry of a crashed worker stays in the list: three heartbeats.
const entryLifetime = 4500 * time.Millisecond

// enableCrashes makes the tasks of jobs crash their workers the given times after their start.
func (sim *simulation) enableCrashes(after map[workload.JobID]time.Duration, back time.Duration) {
	sim.crashes = crashModel{
		lostRuns: map[workload.TaskID]int{}, crashAfter: after, restartDelay: back, locations: map[string]location{}, successors: map[string]string{},
		entryExpiresAt: map[string]time.Time{}, crashCount: map[workload.TaskID]int{}, startsAfterLimit: map[workload.TaskID]int{},
	}
	work := sim.fleet.Work
	sim.fleet.Work = func(id workload.TaskID, run int64, worker string) workertest.Work {
		out := work(id, run, worker)
		out.CrashAfter, out.Crashes = sim.crashes.crashAfter[id.Job]
		return out
	}
}

// location returns a worker's address and rack: by default its id and the given rack.
func (m *crashModel) location(id, rack string) (string, string) {
	if at, ok := m.locations[id]; ok {
		return at.address, at.rack
	}
	return id, rack
}

// isListed reports whether the entry of a crashed worker is still in the list.
func (m *crashModel) isListed(id string, now time.Time) bool { return now.Before(m.entryExpiresAt[id]) }

// occupant returns the worker that was started last at the address of the given one.
func (m *crashModel) occupant(id string) string {
	for m.successors[id] != "" {
		id = m.successors[id]
	}
	return id
}

// callResult returns the result of a call to a crashed worker, and the time that it takes.
func (sim *simulation) callResult(id string) (control.Result, time.Duration) {
	m := &sim.crashes
	occupant := m.occupant(id)
	switch {
	case occupant != id && !sim.fleet.Workers[occupant].Dead:
		return control.Gone, 5 * time.Millisecond
	case occupant != id || !m.entryExpiresAt[id].IsZero():
		// Its address refuses connections, and a call in flight is aborted.
		return control.Unanswered, 5 * time.Millisecond
	}
	return control.Unanswered, answerTimeout
}

// onCrash starts another worker at the address of one that a task has crashed, after the restart
// delay.
func (sim *simulation) onCrash(id string, by workload.TaskID, _ time.Time) {
	sim.crashes.crashCount[by]++
	sim.crashes.entryExpiresAt[id] = sim.now.Add(entryLifetime)
	sim.schedule(sim.crashes.restartDelay, func() { sim.startSuccessor(id, "") })
}

// startSuccessor starts another worker at the address of one that has ended. A cut of the machine
// goes on.
func (sim *simulation) startSuccessor(id, rack string) {
	address, rack := sim.crashes.location(id, rack)
	successor := fmt.Sprintf("%s-%d", address, len(sim.fleet.Workers))
	sim.crashes.successors[id] = successor
	sim.crashes.locations[successor] = location{address, rack}
	sim.unreachableUntil[successor] = sim.unreachableUntil[id]
	if sim.registry != nil {
		sim.registry.unreachableUntil[successor] = sim.registry.unreachableUntil[id]
	}
	sim.fleet.Add(successor, sim.fleet.Workers[id].Capacity, 0.99, sim.now)
}

// maxStartsAfterLimit is how often a task may be started after it has crashed crashLimit workers.
const crashLimit, maxStartsAfterLimit = 3, 2

func (sim *simulation) checkStartAfterCrashes(id workload.TaskID) {
	if sim.crashes.crashCount[id] < crashLimit {
		return
	}
	sim.crashes.startsAfterLimit[id]++
	if sim.crashes.startsAfterLimit[id] > maxStartsAfterLimit {
		sim.violation("%v was started %d times after %d workers had crashed under it", id, sim.crashes.startsAfterLimit[id], crashLimit)
	}
}

// crashDelays are the times from a task's start until it crashes its worker: at once, while it is
// running, and later than most tasks end.
var crashDelays = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}

// newCrashSimulation returns a simulation in which the tasks of one job in seven crash their workers.
func newCrashSimulation(seed int64) *simulation {
	sim := newSimulation(seed, true)
	after := map[workload.JobID]time.Duration{}
	for i := range simSteps {
		if i%7 == 3 {
			after[simJobID(i)] = crashDelays[(int(seed)+i)%len(crashDelays)]
		}
	}
	sim.enableCrashes(after, time.Duration(500+sim.rng.Intn(3500))*time.Millisecond)
	return sim
}

// maxRackOutages is the maximum number of times that a rack loses power in a simulation, in which
// each of powerRacks racks has workersPerRack workers.
const maxRackOutages, powerRacks, workersPerRack = 6, 3, 8

// newRackOutageSimulation returns a simulation with larger racks that lose power. Their workers are
// succeeded at their addresses while their entries are still listed. Half of the jobs need a certain
// rack.
func newRackOutageSimulation(seed int64) *simulation {
	sim := newCrashSimulation(seed)
	sim.rackLabels = true
	rng := rand.New(rand.NewSource(seed))
	for i := range powerRacks * workersPerRack {
		id := fmt.Sprintf("p%02d", i)
		sim.crashes.locations[id] = location{id, powerRack(i / workersPerRack)}
		sim.listedBorn[id] = sim.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 0.99, sim.now).StartMS
	}
	for range 1 + rng.Intn(maxRackOutages) {
		rack, down := powerRack(rng.Intn(powerRacks)), time.Duration(100+rng.Intn(1500))*time.Millisecond
		sim.schedule(time.Duration(rng.Intn(int(faultPeriod))), func() { sim.cutPower(rack, down) })
	}
	return sim
}

func powerRack(i int) string { return fmt.Sprintf("power%d", i) }

// cutPower crashes all workers of a rack, and starts their successors after the downtime.
func (sim *simulation) cutPower(rack string, down time.Duration) {
	for _, id := range sortedIDs(sim.fleet.Workers) {
		if sim.fleet.Workers[id].Dead || sim.crashes.locations[id].rack != rack {
			continue
		}
		sim.fleet.Kill(id, sim.now)
		sim.crashes.entryExpiresAt[id] = sim.now.Add(entryLifetime)
		sim.schedule(down, func() { sim.startSuccessor(id, rack) })
	}
}

// newSmallRackOutageSimulation returns a crash simulation of two racks of three workers that lose power,
// so few that their crashes don't count as an outage.
func newSmallRackOutageSimulation(seed int64) *simulation {
	const maxOutages, perRack = 4, 3
	sim := newCrashSimulation(seed)
	rng := rand.New(rand.NewSource(seed))
	for range 1 + rng.Intn(maxOutages) {
		rack, down := racks[rng.Intn(len(racks))], time.Duration(100+rng.Intn(1500))*time.Millisecond
		sim.schedule(time.Duration(rng.Intn(int(faultPeriod))), func() {
			for i, id := range sortedIDs(sim.fleet.Workers) {
				if _, at := sim.crashes.location(id, fmt.Sprintf("r%d", i/perRack)); at == rack && !sim.fleet.Workers[id].Dead {
					sim.fleet.Kill(id, sim.now)
					sim.crashes.entryExpiresAt[id] = sim.now.Add(entryLifetime)
					sim.schedule(down, func() { sim.startSuccessor(id, rack) })
				}
			}
		})
	}
	return sim
}

// groundlesslyFailedJobs returns the jobs that failed although none of their tasks has reached the
// maximum number of failures, or has lost two workers on which it had begun.
func (sim *simulation) groundlesslyFailedJobs() []string {
	var out []string
	for _, id := range sim.jobIDs {
		job := workload.JobID(id)
		if sim.jobState(job) == workload.Failed && sim.maxFailures(job) < maxAttempts && sim.maxLostRuns(job) < 2 {
			out = append(out, id)
		}
	}
	return out
}

// newCrowdedCrashSimulation returns a simulation of three workers in which the tasks of one job in
// three crash their workers, so that other jobs can't be kept away from them. If gangs is set, these
// jobs have only gangs.
func newCrowdedCrashSimulation(seed int64, gangs bool) *simulation {
	sim := newSimulation(seed, true)
	for i := 3; i < 6; i++ {
		delete(sim.fleet.Workers, fmt.Sprintf("w%d", i))
	}
	after := map[workload.JobID]time.Duration{}
	crashRNG := rand.New(rand.NewSource(seed))
	for i := range simSteps {
		if crashRNG.Intn(3) == 0 {
			after[simJobID(i)] = crashDelays[crashRNG.Intn(len(crashDelays))]
		}
	}
	sim.enableCrashes(after, time.Duration(500+sim.rng.Intn(3500))*time.Millisecond)
	sim.crashes.gangsOnly = gangs
	return sim
}

// wronglyFailedJobs returns the jobs that failed although they don't crash any workers and none of
// their tasks has reached the maximum number of failures.
func (sim *simulation) wronglyFailedJobs() []string {
	var out []string
	for _, id := range sim.jobIDs {
		job := workload.JobID(id)
		if _, crashes := sim.crashes.crashAfter[job]; crashes || sim.jobState(job) != workload.Failed || sim.maxFailures(job) >= maxAttempts {
			continue
		}
		out = append(out, id)
	}
	return out
}

// maxFailures returns the highest number of failures of one of the job's tasks, where the failures
// of all members of a gang are added up.
func (sim *simulation) maxFailures(id workload.JobID) int {
	highest, gangs := 0, map[int]int{}
	for task, n := range sim.failures {
		if task.Job != id {
			continue
		}
		if sim.jobs[id].Steps[task.Step].Gang {
			gangs[task.Step] += n
			n = gangs[task.Step]
		}
		highest = max(highest, n)
	}
	return highest
}
