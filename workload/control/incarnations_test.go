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
type lives struct {
	// after is how soon after its start a job's task crashes its worker; jobs that are
	// not there crash none.
	after map[workload.JobID]time.Duration
	// back is how long a crashed worker is away.
	back time.Duration
	// places are the addresses and racks of later lives, by worker.
	places map[string]place
	// next is the life that follows at an address, entries are the times at which the
	// entries of the dead leave the list.
	next    map[string]string
	entries map[string]time.Time
	// crashes counts the workers that crashed under each task, more the starts of a
	// task after the third.
	crashes, more map[workload.TaskID]int
	// gangs tells that jobs whose tasks crash their workers have gangs alone.
	gangs bool
}

type place struct{ address, rack string }

// entryStays is how long a dead worker's entry stays in the list: three heartbeats.
const entryStays = 4500 * time.Millisecond

// crashing has tasks of the jobs given crash their workers so long after their start.
func (w *world) crashing(after map[workload.JobID]time.Duration, back time.Duration) {
	w.lives = lives{
		after: after, back: back, places: map[string]place{}, next: map[string]string{},
		entries: map[string]time.Time{}, crashes: map[workload.TaskID]int{}, more: map[workload.TaskID]int{},
	}
	work := w.fleet.Work
	w.fleet.Work = func(id workload.TaskID, run int64, worker string) workertest.Work {
		out := work(id, run, worker)
		out.CrashAfter, out.Crashes = w.lives.after[id.Job]
		return out
	}
}

// place is where a worker is; the rack given is that of one that nobody has placed.
func (l *lives) place(id, rack string) (string, string) {
	if at, ok := l.places[id]; ok {
		return at.address, at.rack
	}
	return id, rack
}

// lingers tells whether the entry of a dead worker is still in the list.
func (l *lives) lingers(id string, now time.Time) bool { return now.Before(l.entries[id]) }

// answer is what a call to a dead worker gets, and after what time.
func (l *lives) answer(id string) (control.Verdict, time.Duration) {
	switch {
	case l.next[id] != "":
		return control.Gone, 5 * time.Millisecond
	case !l.entries[id].IsZero():
		// Its address refuses connections; a call under way is broken off.
		return control.Unanswered, 5 * time.Millisecond
	}
	return control.Unanswered, worldTimeout
}

// crashed lets another life come at the address of a worker that a task has crashed.
func (w *world) crashed(id string, by workload.TaskID, _ time.Time) {
	w.lives.crashes[by]++
	w.lives.entries[id] = w.now.Add(entryStays)
	address, rack := w.lives.place(id, "")
	w.later(w.lives.back, func() {
		follower := fmt.Sprintf("%s-%d", address, len(w.fleet.Workers))
		w.lives.next[id] = follower
		w.lives.places[follower] = place{address, rack}
		w.fleet.Add(follower, w.fleet.Workers[id].Capacity, 0.99, w.now)
	})
}

// mostMore is how often a task may be started after it has crashed three workers.
const crashesCounted, mostMore = 3, 2

func (w *world) seeStartAfterCrashes(id workload.TaskID) {
	if w.lives.crashes[id] < crashesCounted {
		return
	}
	w.lives.more[id]++
	if w.lives.more[id] > mostMore {
		w.problem("%v is started %d times more after %d workers have crashed under it", id, w.lives.more[id], crashesCounted)
	}
}

// crashAfters are how soon after its start a task crashes its worker: at once, in the
// course of its work, and later than most tasks take.
var crashAfters = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}

// newCrashWorld is a world in which one job of seven has tasks that crash their workers.
func newCrashWorld(seed int64) *world {
	w := newWorld(seed, true)
	after := map[workload.JobID]time.Duration{}
	for i := range steps {
		if i%7 == 3 {
			after[jobName(i)] = crashAfters[(int(seed)+i)%len(crashAfters)]
		}
	}
	w.crashing(after, time.Duration(500+w.rng.Intn(3500))*time.Millisecond)
	return w
}

// newCrowdedCrashWorld is a world of three workers in which one job of three has tasks that crash
// their workers, so that other jobs can't be kept apart from them. With gangs those jobs are gangs.
func newCrowdedCrashWorld(seed int64, gangs bool) *world {
	w := newWorld(seed, true)
	for i := 3; i < 6; i++ {
		delete(w.fleet.Workers, fmt.Sprintf("w%d", i))
	}
	after := map[workload.JobID]time.Duration{}
	guilty := rand.New(rand.NewSource(seed))
	for i := range steps {
		if guilty.Intn(3) == 0 {
			after[jobName(i)] = crashAfters[guilty.Intn(len(crashAfters))]
		}
	}
	w.crashing(after, time.Duration(500+w.rng.Intn(3500))*time.Millisecond)
	w.lives.gangs = gangs
	return w
}

// innocent lists the jobs that were given up although they crash nothing and none of
// their tasks has failed as often as it may.
func (w *world) innocentGivenUp() []string {
	var out []string
	for _, id := range w.order {
		job := workload.JobID(id)
		if _, crashes := w.lives.after[job]; crashes || w.state(job) != workload.Failed || w.mostFails(job) >= worldAttempts {
			continue
		}
		out = append(out, id)
	}
	return out
}

// mostFails is how often a task of the job has failed, or all of a gang together.
func (w *world) mostFails(id workload.JobID) int {
	most, gangs := 0, map[int]int{}
	for task, n := range w.fails {
		if task.Job != id {
			continue
		}
		if w.jobs[id].Steps[task.Step].Gang {
			gangs[task.Step] += n
			n = gangs[task.Step]
		}
		most = max(most, n)
	}
	return most
}
