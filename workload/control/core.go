package control

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Core is the planner's state. It is not safe for concurrent use.
type Core struct {
	bounds Bounds
	// decide makes the plans.
	decide func(*decide.Snapshot) decide.Plan
	// token is the fencing token of this planner.
	token   int64
	config  Configuration
	workers map[string]*worker
	// inOrder are the workers by id, queue the jobs by acceptance.
	inOrder []*worker
	queue   []*job
	// addresses are the ids that are listed at each address, unlisted the workers that are
	// not listed any more, unwritten those with ends that are not in the log yet.
	addresses map[string]string
	unlisted  map[string]bool
	unwritten map[*worker]bool
	jobs      map[workload.JobID]*job
	// over are jobs of which nothing can be at work; nil once nobody asks (unknown.go).
	over   map[workload.JobID]bool
	live   map[workload.TaskID]*live
	dirty  map[workload.JobID]bool
	starts []*live
	batch  []*live
	stops  []StopOrder
	paces  []PaceOrder
	notes  []Note
	pace   *estimates
	// speeds are the workers' speeds; speedsAt is when they were last compared.
	speeds   map[string]*speed
	speedsAt time.Time
	// headroom is what the first priority is expected to need at once.
	headroom headroom
	arrivals arrivals
	// hurry is how many of its units can't wait for a stop.
	hurry hurry
	// strangersUntil is when the leases that an earlier planner gave to workers
	// that have not answered yet must have lapsed.
	strangersUntil time.Time
	deposed        bool
	// raises counts how often tokens were raised.
	raises int64
	// centres are the data centres by name.
	centres map[string]*centre
	// evacuations are the data centres that operators have asked to get nothing new.
	evacuations map[string]*evacuation
	// advice holds what is known of each step whose queue has a policy; wishes
	// are the units of the last round that lack allowed workers.
	advice map[decide.UnitKey]*advice
	wishes []*decide.Unit
	// waves are what operators asked for, hosts the platform's list as it was
	// asked for at hostsAt; vacating workers get nothing new.
	waves    map[int64]*wave
	hosts    map[string]HostListing
	hostsAt  time.Time
	vacating map[string]bool
	// unstable is when a worker last crashed at each address.
	unstable map[string]time.Time
	// suspects tells that some job is suspected.
	suspects bool
	crashes  crashHistory
	// listed is how many workers the list has, alive how many of them are not known to have
	// crashed.
	listed, alive int
	// listUnbrokenFrom is from when on the list has been followed without a gap.
	listUnbrokenFrom time.Time
	ordered          []DutyOrder
	dutiesFrom       time.Time
	// began is when this planner began.
	began time.Time
	// loadAt is when the pool's load was last noted.
	loadAt time.Time
	// asking tells that a call for advice is under way.
	asking bool
	// wallMS is the time of day of the last round, at its steady time.
	wallMS int64
	at     time.Time
}

// job is one that has not ended, or whose tasks may still run.
type job struct {
	*workload.Job
	progress  *workload.Progress
	cancelled bool
	// order is the sequence in which jobs came.
	order int
	// stepsSince is when each open step could first start.
	since map[decide.UnitKey]time.Time
	avoid map[string]bool
	// rates are how fast its runs got on, by step and task.
	rates map[decide.UnitKey]map[int]rating
	// lives are the job's runs that may be at work, in the order in which they
	// were placed.
	lives []*live
	held  map[decide.UnitKey]decide.Reason
	// dueAt is when a job without a schedule was due.
	dueAt time.Time
	// inherited tells that an earlier planner had begun the job.
	inherited bool
	// took is how long the runs took that completed each step, lost that of those
	// that failed in it.
	took, lost map[int]time.Duration
	// crashedAt is when a worker last crashed under one of its tasks.
	crashedAt time.Time
	// unsettledAt is when one last waited for the pool to settle.
	unsettledAt time.Time
	// suspected tells that a worker has crashed under a task that was not cleared since.
	suspected bool
}

// live is a run that was ordered and may be at work.
type live struct {
	id     workload.TaskID
	key    decide.UnitKey
	step   *workload.Step
	job    *job
	worker *worker
	run    int64
	saved  string
	// ordered tells whether this planner ordered it; otherwise it was adopted.
	ordered    bool
	orderedAt  time.Time
	answeredAt time.Time
	answered   bool
	confirmed  bool
	far        bool
	// slow tells that it runs on a slow worker, or its gang has a member on one.
	slow  bool
	tries int
	// life and token are its worker's when it was last ordered to start; 0 before.
	life     int
	token    int64
	sentAt   time.Time
	retryAt  time.Time
	stopping bool
	stopAt   time.Time
	barred   bool
	// over tells that the task's outcome is settled; its room is still taken.
	over bool
	// workMS is when its worker first showed it at work, by the worker's clock; 0 before.
	workMS int64
	// unbegun tells that its worker is known never to have started it, ceded that it was
	// stopped for others' or its place's sake.
	unbegun, ceded bool
	percent        int
	// movedAt is when the percentage last rose, seenAt when it was last shown.
	movedAt time.Time
	seenAt  time.Time
	// unsettled tells that it was told of as one that nothing settles.
	unsettled bool
	// figure is the worker's latest figure (RunningRow).
	figure int
	// slowed is what an order on pace took away, in percent; pacing tells that
	// one is under way.
	slowed  int
	pacing  bool
	pacedAt time.Time
	// firstPercent was shown at firstAt, before all others.
	firstPercent int
	firstAt      time.Time
}

// New returns the core of a planner that has just claimed the token. It may
// give workers that do not answer to others only after the leases that its
// predecessor gave must have lapsed.
func New(bounds Bounds, token int64, now time.Time) *Core {
	if bounds.Plan == nil {
		bounds.Plan = decide.Make
	}
	return &Core{
		bounds:         bounds,
		token:          token,
		decide:         bounds.Plan,
		workers:        map[string]*worker{},
		addresses:      map[string]string{},
		unlisted:       map[string]bool{},
		unwritten:      map[*worker]bool{},
		jobs:           map[workload.JobID]*job{},
		over:           map[workload.JobID]bool{},
		live:           map[workload.TaskID]*live{},
		speeds:         map[string]*speed{},
		centres:        map[string]*centre{},
		evacuations:    map[string]*evacuation{},
		advice:         map[decide.UnitKey]*advice{},
		waves:          map[int64]*wave{},
		vacating:       map[string]bool{},
		unstable:       map[string]time.Time{},
		crashes:        newCrashHistory(),
		dutiesFrom:     now.Add(bounds.DutyLease),
		began:          now,
		dirty:          map[workload.JobID]bool{},
		pace:           newEstimates(),
		strangersUntil: leasesEnd(now.Add(bounds.Authority), bounds),
	}
}

// leasesEnd is when all leases must have lapsed if no order was given since a time.
func leasesEnd(since time.Time, bounds Bounds) time.Time {
	return since.Add(stretched(bounds.Lease) + lapseSlack)
}

// Succeeds takes it that no earlier planner has given an order since a time.
func (c *Core) Succeeds(since time.Time) {
	if end := leasesEnd(since, c.bounds); end.Before(c.strangersUntil) {
		c.strangersUntil = end
	}
}

// StrangersUntil is when leases that earlier planners gave to workers which have not answered
// yet must have lapsed.
func (c *Core) StrangersUntil() time.Time { return c.strangersUntil }

// Deposed tells whether a worker has refused this planner's token.
func (c *Core) Deposed() bool { return c.deposed }

// Jobs is the number of jobs that this planner has.
func (c *Core) Jobs() int { return len(c.jobs) }

// Configure takes a configuration over.
func (c *Core) Configure(config Configuration) { c.config = config }

// Notes hands out what was decided since the last call.
func (c *Core) Notes() []Note {
	out := c.notes
	c.notes = nil
	return out
}

func (c *Core) note(n Note) { c.notes = append(c.notes, n) }

func (c *Core) addLive(j *job, id workload.TaskID, t *workload.Task) *live {
	l := &live{
		id: id, key: decide.UnitKey{Job: id.Job, K: id.K, Step: id.Step},
		step: &j.Steps[id.Step], job: j, run: t.Run, saved: t.Saved,
		worker: c.workerFor(t.Worker),
	}
	c.live[id] = l
	j.lives = append(j.lives, l)
	l.worker.tasks[id] = l
	return l
}

func (c *Core) dropLive(l *live) {
	if c.live[l.id] != l {
		return
	}
	delete(c.live, l.id)
	delete(l.worker.tasks, l.id)
	l.job.lives = slices.DeleteFunc(slices.Clone(l.job.lives), func(other *live) bool { return other == l })
}

// livesOf returns the runs of one step that may be at work.
func (j *job) livesOf(key decide.UnitKey) []*live {
	var out []*live
	for _, l := range j.lives {
		if l.key == key {
			out = append(out, l)
		}
	}
	return out
}

// allLives returns all runs that may be at work, job after job.
func (c *Core) allLives() []*live {
	out := make([]*live, 0, len(c.live))
	for _, j := range c.jobOrder() {
		out = append(out, j.lives...)
	}
	return out
}

// sortedKeys makes the order of work independent of the order of maps, so that
// the same inputs always give the same decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (w *worker) sortedTasks() []*live {
	out := slices.Collect(maps.Values(w.tasks))
	slices.SortFunc(out, func(a, b *live) int {
		if lessTask(a.id, b.id) {
			return -1
		}
		return 1
	})
	return out
}

func (c *Core) task(l *live) *workload.Task { return l.job.progress.Find(l.id) }

func (c *Core) change(j *job) { c.dirty[j.ID] = true }

// Cancel stops a job for good.
func (c *Core) Cancel(id workload.JobID) {
	j := c.jobs[id]
	if j == nil || j.cancelled || j.progress.State.Final() {
		return
	}
	j.cancelled = true
	c.note(Note{Event: EventCancelling, Job: id})
	c.stopAll(j)
	c.settle(j)
}

func (c *Core) stopAll(j *job) {
	for _, l := range j.lives {
		c.stop(l, "job-over")
	}
}

// settle writes a job's final state once nothing of it may be at work, and
// forgets it after.
func (c *Core) settle(j *job) {
	if j.cancelled && !j.progress.State.Final() {
		j.progress.State = workload.Cancelled
		c.change(j)
	}
	if j.progress.State.Final() && j.progress.EndedMS == 0 {
		j.progress.EndedMS = c.wallMS
		c.change(j)
	}
	if !j.progress.State.Final() || len(j.lives) > 0 {
		return
	}
	if j.progress.Open != nil {
		j.progress.Open = nil
		c.change(j)
	}
}

// Changes returns the records of all jobs that have changed. Persisted has to
// follow once they are in the log.
func (c *Core) Changes() []Record {
	var out []Record
	for _, id := range sortedKeys(c.dirty) {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		value, err := json.Marshal(j.progress)
		if err != nil {
			c.note(Note{Event: EventProgressUnwritable, Job: id, Why: err.Error()})
			continue
		}
		out = append(out, Record{Key: workload.ProgressKey(id), Value: value})
	}
	out = c.waveChanges(out)
	c.dirty = map[workload.JobID]bool{}
	c.batch = c.starts
	c.starts = nil
	for w := range c.unwritten {
		w.batchCursor = w.applied()
	}
	return out
}

// Persisted releases what waited for the records of the last Changes: starts
// may be ordered, ends may be forgotten by their workers.
func (c *Core) Persisted(now time.Time) []StartOrder {
	for w := range c.unwritten {
		if w.batchCursor > w.cursor {
			w.cursor = w.batchCursor
			w.holdAt = now
		}
		if w.seen == w.cursor {
			delete(c.unwritten, w)
		}
	}
	c.withdraw()
	var out []StartOrder
	for _, l := range c.batch {
		if c.live[l.id] != l || l.stopping {
			continue
		}
		l.ordered = true
		l.orderedAt = now
		l.retryAt = now.Add(orderLost)
		out = append(out, c.startOrder(l, now))
	}
	c.batch = nil
	c.waveWritten()
	c.forgetEnded()
	return out
}

func (c *Core) forgetEnded() {
	for id, j := range c.jobs {
		if j.progress.State.Final() && j.progress.Open == nil && !c.dirty[id] {
			c.keepSpeeds(j)
			c.noteOver(id)
			c.dropJob(j)
		}
	}
	c.forgetAdvice()
}

// Stops hands out the stop orders that are due.
func (c *Core) Stops() []StopOrder {
	out := c.stops
	c.stops = nil
	return out
}
