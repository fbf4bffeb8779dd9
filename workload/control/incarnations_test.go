package control_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// lives are the lives of a world's workers: one that a task has crashed is followed by
// another at its address.
type crashModel struct {
	// after is how soon after its start a job's task crashes its worker; jobs that are
	// not there crash none.
	crashAfter map[workload.JobID]time.Duration
	// back is how long a crashed worker is away.
	restartDelay time.Duration
	// places are the addresses and racks of later lives, by worker.
	locations map[string]location
	// next is the life that follows at an address, entries are the times at which the
	// entries of the dead leave the list.
	successors     map[string]string
	entryExpiresAt map[string]time.Time
	// crashes counts the workers that crashed under each task, more the starts of a
	// task after the third.
	crashCount, startsAfterLimit map[workload.TaskID]int
	// gangs tells that jobs whose tasks crash their workers have gangs alone.
	gangsOnly bool
}

type location struct{ address, rack string }

// entryStays is how long a dead worker's entry stays in the list: three heartbeats.
const entryLifetime = 4500 * time.Millisecond

// crashing has tasks of the jobs given crash their workers so long after their start.
func (sim *simulation) enableCrashes(after map[workload.JobID]time.Duration, back time.Duration) {
	sim.crashes = crashModel{
		crashAfter: after, restartDelay: back, locations: map[string]location{}, successors: map[string]string{},
		entryExpiresAt: map[string]time.Time{}, crashCount: map[workload.TaskID]int{}, startsAfterLimit: map[workload.TaskID]int{},
	}
	work := sim.fleet.Work
	sim.fleet.Work = func(id workload.TaskID, run int64, worker string) workertest.Work {
		out := work(id, run, worker)
		out.CrashAfter, out.Crashes = sim.crashes.crashAfter[id.Job]
		return out
	}
}

// place is where a worker is; the rack given is that of one that nobody has placed.
func (m *crashModel) location(id, rack string) (string, string) {
	if at, ok := m.locations[id]; ok {
		return at.address, at.rack
	}
	return id, rack
}

// lingers tells whether the entry of a dead worker is still in the list.
func (m *crashModel) isListed(id string, now time.Time) bool { return now.Before(m.entryExpiresAt[id]) }

// answer is what a call to a dead worker gets, and after what time.
func (l *crashModel) callResult(id string) (control.Verdict, time.Duration) {
	switch {
	case l.successors[id] != "":
		return control.Gone, 5 * time.Millisecond
	case !l.entryExpiresAt[id].IsZero():
		// Its address refuses connections; a call under way is broken off.
		return control.Unanswered, 5 * time.Millisecond
	}
	return control.Unanswered, orderTimeout
}

// crashed lets another life come at the address of a worker that a task has crashed.
func (sim *simulation) onCrash(id string, by workload.TaskID, _ time.Time) {
	sim.crashes.crashCount[by]++
	sim.crashes.entryExpiresAt[id] = sim.now.Add(entryLifetime)
	address, rack := sim.crashes.location(id, "")
	sim.schedule(sim.crashes.restartDelay, func() {
		follower := fmt.Sprintf("%s-%d", address, len(sim.fleet.Workers))
		sim.crashes.successors[id] = follower
		sim.crashes.locations[follower] = location{address, rack}
		sim.fleet.Add(follower, sim.fleet.Workers[id].Capacity, 0.99, sim.now)
	})
}

// mostMore is how often a task may be started after it has crashed three workers.
const crashLimit, maxStartsAfterLimit = 3, 2

func (sim *simulation) checkStartAfterCrashes(id workload.TaskID) {
	if sim.crashes.crashCount[id] < crashLimit {
		return
	}
	sim.crashes.startsAfterLimit[id]++
	if sim.crashes.startsAfterLimit[id] > maxStartsAfterLimit {
		sim.violation("%v is started %d times more after %d workers have crashed under it", id, sim.crashes.startsAfterLimit[id], crashLimit)
	}
}

// crashAfters are how soon after its start a task crashes its worker: at once, in the
// course of its work, and later than most tasks take.
var crashDelays = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}

// newCrashWorld is a world in which one job of seven has tasks that crash their workers.
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

// newCrowdedCrashWorld is a world of three workers in which one job of three has tasks that crash
// their workers, so that other jobs can't be kept apart from them. With gangs those jobs are gangs.
func newCrowdedCrashSimulation(seed int64, gangs bool) *simulation {
	sim := newSimulation(seed, true)
	for i := 3; i < 6; i++ {
		delete(sim.fleet.Workers, fmt.Sprintf("w%d", i))
	}
	after := map[workload.JobID]time.Duration{}
	guilty := rand.New(rand.NewSource(seed))
	for i := range simSteps {
		if guilty.Intn(3) == 0 {
			after[simJobID(i)] = crashDelays[guilty.Intn(len(crashDelays))]
		}
	}
	sim.enableCrashes(after, time.Duration(500+sim.rng.Intn(3500))*time.Millisecond)
	sim.crashes.gangsOnly = gangs
	return sim
}

// innocent lists the jobs that were given up although they crash nothing and none of
// their tasks has failed as often as it may.
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

// mostFails is how often a task of the job has failed, or all of a gang together.
func (sim *simulation) maxFailures(id workload.JobID) int {
	most, gangs := 0, map[int]int{}
	for task, n := range sim.failures {
		if task.Job != id {
			continue
		}
		if sim.jobs[id].Steps[task.Step].Gang {
			gangs[task.Step] += n
			n = gangs[task.Step]
		}
		most = max(most, n)
	}
	return most
}
