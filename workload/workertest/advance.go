package workertest

import (
	"sort"
	"strconv"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// checkpointedWork returns the amount of work in a checkpoint, which is written as milliseconds.
func checkpointedWork(saved string) time.Duration {
	ms, err := strconv.ParseInt(saved, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// Advance processes everything that is due until now.
func (f *Fleet) Advance(now time.Time) {
	if !now.After(f.now) {
		return
	}
	f.now = now
	f.accumulateWork(now)
	for _, id := range f.sortedIDs() {
		w := f.Workers[id]
		if !w.Dead {
			w.advance(now)
		}
	}
}

// accumulateWork adds the work done since the last call to each run, if workers have speeds.
func (f *Fleet) accumulateWork(now time.Time) {
	if f.Speed == nil {
		return
	}
	for id, w := range f.Workers {
		speed := f.Speed(id)
		for _, r := range w.runs {
			if r.workingSince.IsZero() {
				continue
			}
			r.workDone += time.Duration(speed * float64(now.Sub(r.workingSince)))
			r.workingSince = now
		}
	}
}

func (f *Fleet) sortedIDs() []string {
	out := make([]string, 0, len(f.Workers))
	for id := range f.Workers {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

func (w *Worker) advance(now time.Time) {
	if w.ClockMS(now) >= w.deadlineMS {
		w.lastVoidEnd = w.lastEnd
		for _, r := range w.sortedRuns() {
			w.end(r, control.EndLapsed, now)
		}
		return
	}
	for _, r := range w.sortedRuns() {
		if w.runs[r.id] == r {
			w.advanceRun(r, now)
		}
	}
}

func (w *Worker) advanceRun(r *run, now time.Time) {
	w.checkpoint(r, now)
	switch {
	case !r.stopAt.IsZero() && !now.Before(r.stopAt):
		w.end(r, control.EndStopped, now)
	case !r.gangDeadline.IsZero() && r.workingSince.IsZero() && !now.Before(r.gangDeadline):
		w.end(r, control.EndGangIncomplete, now)
	case r.crashDue(now):
		w.fleet.crashWorker(w, r, now)
	case r.workingSince.IsZero() || r.work.Hangs || r.step.Perpetual:
	case !r.finishedWork(now):
	case r.work.Fails:
		w.end(r, control.EndFailed, now)
	case r.gangFinishedWork(now):
		w.end(r, control.EndDone, now)
	}
}

// finishedWork reports whether a run has done its own work; a gang's member then waits for the
// others.
func (r *run) finishedWork(now time.Time) bool {
	return !r.work.Hangs && r.progress(now) >= r.work.Takes
}

// gangFinishedWork reports whether all members of a run's gang have done their work.
func (r *run) gangFinishedWork(now time.Time) bool {
	for _, member := range r.members {
		if !member.finishedWork(now) {
			return false
		}
	}
	return true
}

func (r *run) crashDue(now time.Time) bool {
	return r.work.Crashes && !r.workingSince.IsZero() && now.Sub(r.startedAt) >= r.work.CrashAfter
}

// crashWorker kills a worker that a run has crashed and calls the callback.
func (f *Fleet) crashWorker(w *Worker, by *run, now time.Time) {
	f.Kill(w.ID, now)
	if f.OnCrash != nil {
		f.OnCrash(w.ID, by.id, now)
	}
}

func (w *Worker) checkpoint(r *run, now time.Time) {
	every := w.fleet.Limits.CheckpointEvery
	if !r.step.Checkpoint || every <= 0 || r.workingSince.IsZero() {
		return
	}
	done := r.progress(now)
	if !r.stopAt.IsZero() {
		r.saved = strconv.FormatInt(done.Milliseconds(), 10)
		return
	}
	if completed := done / every * every; completed > checkpointedWork(r.saved) {
		r.saved = strconv.FormatInt(completed.Milliseconds(), 10)
	}
}

// end lists a run's end and applies it to the other members of its gang.
func (w *Worker) end(r *run, how control.End, now time.Time) {
	w.lastEnd++
	w.ended = append(w.ended, control.EndedRow{Number: w.lastEnd, Task: r.id, Run: r.run, End: how, Checkpoint: r.saved})
	w.remove(r, how, now)
}

func (w *Worker) remove(r *run, how control.End, now time.Time) {
	delete(w.runs, r.id)
	w.lastBarredRun[r.id] = max(w.lastBarredRun[r.id], r.run)
	w.emit(Event{At: now, Worker: w.ID, Task: r.id, Run: r.run, End: how, Checkpoint: r.saved})
	if !r.step.Gang {
		return
	}
	others := control.EndBroken
	if how == control.EndDone {
		others = control.EndDone
	}
	w.fleet.eachMember(r, func(peer *Worker, member *run) {
		if others == control.EndBroken && w.fleet.FailTogether && member.work.Fails && member.finishedWork(now) {
			peer.end(member, control.EndFailed, now)
			return
		}
		peer.end(member, others, now)
	})
}

// eachMember calls call with each other member of a gang's run.
func (f *Fleet) eachMember(r *run, call func(*Worker, *run)) {
	for _, id := range f.sortedIDs() {
		w := f.Workers[id]
		for _, member := range w.sortedRuns() {
			if member != r && member.run == r.run && sameStep(member.id, r.id) && w.runs[member.id] == member {
				call(w, member)
			}
		}
	}
}

func sameStep(a, b workload.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// startWork starts a run's work: at once, or for all members when its gang is complete.
func (f *Fleet) startWork(r *run, now time.Time) {
	if !r.step.Gang {
		r.workingSince = now
		return
	}
	r.gangDeadline = now.Add(f.Limits.GangTimeout)
	members := []*run{r}
	f.eachMember(r, func(_ *Worker, m *run) { members = append(members, m) })
	if len(members) < r.step.Count {
		return
	}
	for _, m := range members {
		m.workingSince = now
		m.members = members
	}
}
