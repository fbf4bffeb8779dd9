package control

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/decide"
	"github.com/cobalttide/cobalttide/workload/share"
)

// Core is the planner's state machine. It is not safe for concurrent use.
type Core struct {
	bounds   Bounds
	makePlan func(*decide.Snapshot) decide.Plan
	// token is the planner's fencing token.
	token   int64
	config  Configuration
	workers map[string]*worker
	// workersByID are the workers sorted by id, jobsByAcceptance the jobs in order of acceptance.
	workersByID      []*worker
	jobsByAcceptance []*job
	// idsByAddress are the ids of the known workers at each address, unlisted the workers that are no
	// longer in the list, unpersisted those with ends that are not in the log yet.
	idsByAddress map[string][]string
	unlisted     map[string]bool
	unpersisted  map[*worker]bool
	// endedIncarnations are incarnations that have ended, by the ids of workers that were dropped.
	endedIncarnations map[string]endedIncarnation
	jobs              map[workload.JobID]*job
	// finishedJobs are the ended jobs of which no run can be active any more. It is nil once it is
	// no longer needed (unknown_ends.go).
	finishedJobs     map[workload.JobID]bool
	runs             map[workload.TaskID]*activeRun
	dirty            map[workload.JobID]bool
	pendingStarts    []*activeRun
	batchStarts      []*activeRun
	pendingStops     []StopOrder
	pendingThrottles []ThrottleOrder
	pendingEvents    []Event
	// stopLines are the stops of gangs among pendingEvents.
	stopLines map[stopKey]*stopLine
	summary   roundSummary
	estimates *estimates
	// spells are the workers that are slowed.
	spells map[string]*spell
	// speeds are the workers' speeds, last updated at speedsUpdatedAt.
	speeds          map[string]*speed
	speedsUpdatedAt time.Time
	speedRecords    speedRecords
	// headroom is the capacity that the first priority is expected to need at once.
	headroom headroom
	arrivals arrivals
	// urgency is the share of the first priority's units that can't wait for a stop.
	urgency urgency
	// shares are the accounts' shares of the pool beyond their guarantees.
	shares accountShares
	// inheritedLeasesEnd is when leases given by earlier planners to workers that have not
	// answered yet must have expired.
	inheritedLeasesEnd time.Time
	// lastWrite is when this planner's last successful append was first sent.
	lastWrite time.Time
	silent    silentWorkers
	deposed   bool
	// tokenRaises counts how often worker tokens were raised.
	tokenRaises int64
	centres     map[string]*centre
	// evacuations are the data centres that operators have asked to evacuate.
	evacuations map[string]*evacuation
	// advice is cached for each step whose queue has a policy. adviceWanted are the units of the
	// last round that lack allowed workers.
	advice       map[decide.UnitKey]*advice
	adviceWanted []*decide.Unit
	// waves are the requested maintenance waves, hosts the platform's host list as requested at
	// hostsReadAt. Workers in vacating get no new work.
	waves       map[int64]*wave
	hosts       map[string]HostListing
	hostsReadAt time.Time
	vacating    map[string]bool
	// maintained are the workers whose hosts' maintenance has been ordered. Their ends are no crashes.
	maintained map[string]bool
	// lastCrashAt is when a worker last crashed at each address.
	lastCrashAt map[string]time.Time
	// unprovenStarts are the runs with a crash that counts as unproven and with a single start order,
	// whose answer may still show that the run never began.
	unprovenStarts map[workload.TaskID]int64
	// lapsedCrashes are the workers that may have crashed before their leases ended, by address.
	lapsedCrashes map[string]*lapsedCrash
	// hasSuspects is set if any job is suspected of crashing workers.
	hasSuspects  bool
	crashHistory crashHistory
	// listedCount is the number of workers in the list, aliveCount that of those which are not
	// known to have crashed.
	listedCount, aliveCount int
	// listContinuousSince is the start of the time in which the worker list was read without a gap.
	listContinuousSince time.Time
	unpersistedDuties   []DutyOrder
	dutiesAllowedFrom   time.Time
	// startedAt is when this planner started.
	startedAt  time.Time
	departures departures
	// loadReportedAt is when the pool's load was last emitted.
	loadReportedAt time.Time
	// backlogs are the work that waits or runs, by service, as measured at backlogsAt.
	backlogs   map[string]*[admission.Classes]admission.Backlog
	backlogsAt time.Time
	// adviceInFlight is set while a call for advice is in flight.
	adviceInFlight bool
	// stateKinds are the kinds of state for a successor. stateWrittenAt is when a record of any was
	// last due, stateKindWrittenAt when one of each kind was.
	stateKinds         []stateKind
	stateWrittenAt     time.Time
	stateKindWrittenAt map[string]time.Time
	// wallMS is the wall-clock time of the last round, roundAt its monotonic time.
	wallMS  int64
	roundAt time.Time
}

// job is a job that has not ended, or whose tasks may still run.
type job struct {
	*workload.Job
	progress  *workload.Progress
	cancelled bool
	// sequence is the number of jobs that were known when this one was added.
	sequence int
	// waitingSince is when each waiting unit could first start.
	waitingSince   map[decide.UnitKey]time.Time
	avoidedWorkers map[string]bool
	// rates are the measured progress rates of its runs, by step and task.
	rates map[decide.UnitKey]map[int]rating
	// runs are the job's runs that may be running, in the order in which they were placed.
	runs        []*activeRun
	waitReasons map[decide.UnitKey]decide.Reason
	// dueAt is when a job without repetitions was due: when it was accepted, by this planner's
	// clock (due_time.go).
	dueAt time.Time
	// inherited is set if an earlier planner had started the job.
	inherited bool
	// failedTime is the total run time of each step's failed runs.
	failedTime map[int]time.Duration
	// worked are the run times, and owed those that the same runs would have had on average workers
	// near their data. Objectives are computed for owed: callers are not owed more time because a
	// run was on a slow or remote worker.
	worked, owed taskTimes
	// crashedAt is when a worker last crashed while running one of its tasks.
	crashedAt time.Time
	// waitedUnsettledAt is when one of its tasks last waited because the pool was unstable.
	waitedUnsettledAt time.Time
	// suspected is set if a worker has crashed while running one of its tasks, and the task was
	// not cleared since.
	suspected bool
}

// New returns the state machine of a planner that has just claimed the token. It places tasks of
// unreachable workers elsewhere only after the leases that its predecessor gave must have
// expired.
func New(bounds Bounds, token int64, now time.Time) *Core {
	canReserve := bounds.Plan == nil
	if canReserve {
		bounds.Plan = decide.MakePlan
	}
	return &Core{
		bounds:             bounds,
		token:              token,
		makePlan:           bounds.Plan,
		workers:            map[string]*worker{},
		idsByAddress:       map[string][]string{},
		endedIncarnations:  map[string]endedIncarnation{},
		unlisted:           map[string]bool{},
		unpersisted:        map[*worker]bool{},
		jobs:               map[workload.JobID]*job{},
		finishedJobs:       map[workload.JobID]bool{},
		runs:               map[workload.TaskID]*activeRun{},
		speeds:             map[string]*speed{},
		spells:             map[string]*spell{},
		centres:            map[string]*centre{},
		evacuations:        map[string]*evacuation{},
		advice:             map[decide.UnitKey]*advice{},
		waves:              map[int64]*wave{},
		maintained:         map[string]bool{},
		vacating:           map[string]bool{},
		lastCrashAt:        map[string]time.Time{},
		unprovenStarts:     map[workload.TaskID]int64{},
		lapsedCrashes:      map[string]*lapsedCrash{},
		crashHistory:       newCrashHistory(),
		dutiesAllowedFrom:  now.Add(bounds.DutyLease),
		startedAt:          now,
		stateKinds:         stateKinds,
		stopLines:          map[stopKey]*stopLine{},
		silent:             silentWorkers{inheritedEnds: map[string]time.Time{}, recorded: map[string]int64{}, held: map[string]bool{}},
		shares:             newAccountShares(),
		stateKindWrittenAt: map[string]time.Time{},
		departures:         departures{overstay: stopMargin, leaving: map[string]bool{}, canReserve: canReserve},
		dirty:              map[workload.JobID]bool{},
		estimates:          newEstimates(),
		inheritedLeasesEnd: leasesEnd(now.Add(bounds.AuthorityPeriod), bounds),
	}
}

// Deposed reports whether a worker or host has refused this planner's token.
func (c *Core) Deposed() bool { return c.deposed }

// Jobs returns the number of jobs that this planner has.
func (c *Core) Jobs() int { return len(c.jobs) }

// Configure sets the configuration.
func (c *Core) Configure(config Configuration) {
	c.config = config
	c.shares.weights = share.NewWeights(config.Weights, config.Guaranteed)
}

// Events returns the events since the last call.
func (c *Core) Events() []Event {
	out := c.pendingEvents
	c.pendingEvents = nil
	clear(c.stopLines)
	return out
}

func (c *Core) emit(n Event) { c.pendingEvents = append(c.pendingEvents, n) }

func (c *Core) addRun(j *job, id workload.TaskID, t *workload.Task) *activeRun {
	r := &activeRun{
		id: id, key: decide.UnitKey{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step},
		step: &j.Steps[id.Step], job: j, run: t.Run, saved: t.LastCheckpoint, resumed: t.LastCheckpoint != "",
		worker: c.workerFor(t.Worker),
	}
	c.runs[id] = r
	j.runs = append(j.runs, r)
	r.worker.runs[id] = r
	return r
}

func (c *Core) dropRun(r *activeRun) {
	if c.runs[r.id] != r {
		return
	}
	delete(c.runs, r.id)
	delete(r.worker.runs, r.id)
	r.job.runs = slices.DeleteFunc(slices.Clone(r.job.runs), func(other *activeRun) bool { return other == r })
}

// runsOf returns the runs of one step that may be running.
func (j *job) runsOf(key decide.UnitKey) []*activeRun {
	var out []*activeRun
	for _, r := range j.runs {
		if r.key == key {
			out = append(out, r)
		}
	}
	return out
}

// allRuns returns all runs that may be running, grouped by job in order of acceptance.
func (c *Core) allRuns() []*activeRun {
	out := make([]*activeRun, 0, len(c.runs))
	for _, j := range c.jobsInOrder() {
		out = append(out, j.runs...)
	}
	return out
}

// sortedKeys returns the keys in order, so that decisions do not depend on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (w *worker) sortedRuns() []*activeRun {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *activeRun) int {
		if lessTask(a.id, b.id) {
			return -1
		}
		return 1
	})
	return out
}

func (c *Core) task(r *activeRun) *workload.Task { return r.job.progress.FindTask(r.id) }

func (c *Core) markDirty(j *job) { c.dirty[j.ID] = true }

// Cancel cancels a job and stops its runs.
func (c *Core) Cancel(id workload.JobID) {
	j := c.jobs[id]
	if j == nil || j.cancelled || j.progress.State.IsFinal() {
		return
	}
	j.cancelled = true
	c.emit(Event{Name: EventCancelling, Job: id})
	c.stopAllRuns(j)
	c.finalize(j)
}

func (c *Core) stopAllRuns(j *job) {
	for _, r := range j.runs {
		c.stop(r, "job-over")
	}
}

// finalize records a job's final state, and closes its occurrences once none of its runs may be
// running.
func (c *Core) finalize(j *job) {
	if j.cancelled && !j.progress.State.IsFinal() {
		j.progress.State = workload.Cancelled
		c.markDirty(j)
	}
	if j.progress.State.IsFinal() && j.progress.EndedMS == 0 {
		j.progress.EndedMS = c.wallMS
		c.markDirty(j)
	}
	if !j.progress.State.IsFinal() || len(j.runs) > 0 {
		return
	}
	if j.progress.Open != nil {
		j.progress.Open = nil
		c.markDirty(j)
	}
}

// Changes returns the records of all changes since the last call. Persisted must be called once
// they are in the log.
func (c *Core) Changes() []Record {
	var out []Record
	for _, id := range sortedKeys(c.dirty) {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		value, err := json.Marshal(j.progress)
		if err != nil {
			c.emit(Event{Name: EventProgressUnwritable, Job: id, Reason: err.Error()})
			continue
		}
		out = append(out, Record{Key: workload.ProgressKey(id), Value: value})
	}
	out = c.addStateRecords(c.addWaveRecords(out))
	c.dirty = map[workload.JobID]bool{}
	c.batchStarts = c.pendingStarts
	c.pendingStarts = nil
	for w := range c.unpersisted {
		w.batchedEnd = w.lastAppliedEnd()
	}
	return out
}

// Persisted must be called once the records of the last Changes call are in the log. It returns
// the start orders to send now, and lets the next renewals acknowledge the logged ends.
func (c *Core) Persisted(now time.Time) []StartOrder {
	for w := range c.unpersisted {
		if w.batchedEnd > w.persistedEnd {
			w.persistedEnd = w.batchedEnd
			w.nextRenewalAt = now
		}
		if w.receivedEnd == w.persistedEnd {
			delete(c.unpersisted, w)
		}
	}
	c.confirmSilent(now)
	c.withdrawStarts()
	var out []StartOrder
	for _, r := range c.batchStarts {
		if c.runs[r.id] != r || r.stopping {
			continue
		}
		r.ordered = true
		r.orderedAt = now
		r.retryAt = now.Add(orderTimeout)
		out = append(out, c.newStartOrder(r, now))
	}
	c.batchStarts = nil
	c.markWavesPersisted()
	c.forgetEndedJobs()
	return out
}

func (c *Core) forgetEndedJobs() {
	for id, j := range c.jobs {
		if j.progress.State.IsFinal() && j.progress.Open == nil && !c.dirty[id] {
			c.keepSpeeds(j)
			c.recordFinished(id)
			maps.DeleteFunc(c.unprovenStarts, func(task workload.TaskID, _ int64) bool { return task.Job == id })
			c.dropJob(j)
		}
	}
	c.forgetAdvice()
}

// StopOrders returns the stop orders that are due.
func (c *Core) StopOrders() []StopOrder {
	out := c.pendingStops
	c.pendingStops = nil
	return out
}
