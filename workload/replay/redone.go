package replay

import (
	"maps"
	"strconv"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// redone is work that is done again, in core-seconds: that of all steps, and of those that save their
// progress.
type redone struct{ All, Saving float64 }

// redoneWork adds up the work that is done again because a run ended without success.
type redoneWork struct {
	// sums are the core-seconds by why the runs ended.
	sums map[string]redone
	// resumedFrom is the progress with which each task's latest run started, in seconds of work.
	resumedFrom map[workload.TaskID]float64
	// ended are the ends of runs whose tasks have not started again.
	ended map[workload.TaskID]endedRun
}

// endedRun is the end of a run. coreSeconds is its work, from the progress from which it had resumed.
type endedRun struct {
	coreSeconds, from float64
	saves             bool
	// reason is why the run ended.
	reason       string
	cores, speed float64
}

func (e endedRun) addTo(sums map[string]redone) {
	sum := sums[e.reason]
	sum.All += e.coreSeconds
	if e.saves {
		sum.Saving += e.coreSeconds
	}
	sums[e.reason] = sum
}

// start records the start of a run: what the one before did beyond its progress is done again.
func (w *redoneWork) start(e workertest.Event) {
	if w.ended == nil {
		w.sums = map[string]redone{}
		w.ended, w.resumedFrom = map[workload.TaskID]endedRun{}, map[workload.TaskID]float64{}
	}
	from := savedWork(e.Checkpoint)
	if before, ok := w.ended[e.Task]; ok {
		before.coreSeconds = max(0, before.coreSeconds-(from-before.from)/before.speed*before.cores)
		before.addTo(w.sums)
		delete(w.ended, e.Task)
	}
	w.resumedFrom[e.Task] = from
}

// end records the end of a run without success.
func (w *redoneWork) end(sim *simulation, e workertest.Event, step workload.Step, ran time.Duration, reason string) {
	cores := step.Need.CoreEquivalent()
	w.ended[e.Task] = endedRun{reason: reason, saves: step.Checkpoint, coreSeconds: ran.Seconds() * cores, from: w.resumedFrom[e.Task], cores: cores, speed: sim.speed(e.Worker)}
}

// byReason returns the sums, including runs whose tasks have not started again.
func (w *redoneWork) byReason() map[string]redone {
	out := map[string]redone{}
	maps.Copy(out, w.sums)
	for _, e := range w.ended {
		e.addTo(out)
	}
	return out
}

// savedWork returns the work in a checkpoint, in seconds.
func savedWork(checkpoint string) float64 {
	ms, err := strconv.ParseFloat(checkpoint, 64)
	if err != nil {
		return 0
	}
	return ms / 1000
}
