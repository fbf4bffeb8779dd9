package decide

// A task under which a worker has crashed may have caused the crash, or may only have run next to
// the task that did. Its next run shows which, provided that no other recently started task runs
// next to it. If suspects were placed like other tasks, tasks that were lost together would be
// placed and lost together again.

// isolationAllows reports whether the unit may share the worker: it may not join a suspect of
// another job, nor any other job if it has to run alone.
func (w *workerState) isolationAllows(u *Unit) bool {
	if w.suspectJob != "" && w.suspectJob != u.Key.Job {
		return false
	}
	return !u.Exclusive || (!w.hasSeveralJobs && (w.runningJob == "" || w.runningJob == u.Key.Job))
}

// isSaferForSuspect orders workers for a suspect: workers without a recent start come first, and
// among these the ones with the most free capacity, where the least is lost in a crash.
func isSaferForSuspect(a, b *workerState) bool {
	if a.hasRecentStart != b.hasRecentStart {
		return b.hasRecentStart
	}
	return hasLessFree(b, a)
}

// recordStart records a start for the units that are placed later in the plan.
func (w *workerState) recordStart(u *Unit) {
	w.hasRecentStart = true
	w.hasSeveralJobs = w.hasSeveralJobs || (w.runningJob != "" && w.runningJob != u.Key.Job)
	w.runningJob = u.Key.Job
	if u.Suspect && w.suspectJob == "" {
		w.suspectJob = u.Key.Job
	}
}
