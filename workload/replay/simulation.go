package replay

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/virtual"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/decide"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// Intervals and timeouts of the planner's loop, as in workload/service.
const (
	tick          = 20 * time.Millisecond
	roundInterval = 100 * time.Millisecond
	renewalWait   = 1500 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// listInterval is how often the list of workers is read.
	listInterval = 200 * time.Millisecond
	// drain is how long the simulation continues after the last arrival.
	drain = 120 * time.Second
	// Callers repeat a refused submission after retryDelay, up to maxSubmitAttempts in all.
	retryDelay        = time.Second
	maxSubmitAttempts = 5
)

// epoch is the start of virtual time.
var epoch = time.UnixMilli(1_000_000_000)

// simulation is one run of a pattern under a policy.
type simulation struct {
	pattern *Pattern
	policy  Policy
	rng     *rand.Rand
	queue   virtual.Queue
	elapsed time.Duration

	fleet     *workertest.Fleet
	workers   map[string]*simWorker
	workerIDs []string

	core  *control.Core
	token int64
	log   map[workload.JobID]workload.Entry
	// planState holds the state records that planners have left.
	planState   map[string][]byte
	changedJobs []workload.JobID
	writing     bool
	lastRound   time.Duration
	roundDue    bool
	lastListed  time.Duration
	renewals    []*pendingRenewal

	arrivals []*scheduledJob
	jobs     map[workload.JobID]*trackedJob
	// farGangs holds the runs of gangs that were placed across racks or away from their data,
	// against their step's preference.
	farGangs map[gangRun]bool

	logDownUntil     time.Duration
	plannerDownUntil time.Duration
	metrics          *collector
}

// simWorker is a simulated worker with its current faults.
type simWorker struct {
	id, rack, centre     string
	speed                float64
	slowdown             float64
	unreachableUntil     time.Duration
	greyUntil, hangUntil time.Duration
	draining             bool
	departsAt            time.Duration
	lost                 bool
}

type gangRun struct {
	key decide.UnitKey
	run int64
}

// pendingRenewal is a lease renewal that waits on its worker for a run to end.
type pendingRenewal struct {
	core  *control.Core
	order control.RenewalOrder
	sent  time.Duration
}

// now returns the current virtual time.
func (sim *simulation) now() time.Time { return epoch.Add(sim.elapsed) }

func newSimulation(p *Pattern, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		pattern: p, policy: policy, rng: rand.New(rand.NewPCG(seed, 7)), workers: map[string]*simWorker{},
		log: map[workload.JobID]workload.Entry{}, planState: map[string][]byte{}, jobs: map[workload.JobID]*trackedJob{}, farGangs: map[gangRun]bool{},
	}
	sim.arrivals = generateLoad(p, rand.New(rand.NewPCG(seed, 1)))
	sim.metrics = newCollector(sim)
	sim.fleet = &workertest.Fleet{
		Limits: workertest.Limits{
			MaxLease: ms(p.Bounds.LeaseMS), StopTimeout: ms(p.Bounds.StopMS), GangTimeout: ms(p.Bounds.GangMS),
			CheckpointEvery: ms(p.Bounds.CheckpointMS), Restore: ms(p.Bounds.RestoreMS),
		},
		Step: sim.step, Work: sim.work, Speed: sim.speed, OnEvent: sim.metrics.observe,
	}
	for i := range p.Workers.Count {
		sim.addWorker(i)
	}
	sim.startPlanner()
	for _, a := range sim.arrivals {
		sim.jobs[a.job.ID] = &trackedJob{scheduledJob: a, objective: a.objective()}
		sim.queue.At(a.at, func() { sim.submit(a, 1) })
	}
	for _, t := range p.Faults {
		sim.queue.At(seconds(t.AtS), func() { sim.inject(t) })
	}
	for at := time.Duration(0); at < seconds(p.Seconds)+drain; at += tick {
		sim.queue.At(at, sim.tick)
	}
	return sim
}

func (sim *simulation) addWorker(i int) {
	rack := i / sim.pattern.Workers.PerRack
	w := &simWorker{
		id: fmt.Sprintf("w%03d", i), rack: rackName(rack), centre: fmt.Sprintf("dc%d", rack%sim.pattern.Workers.DataCentres),
		speed: 1 + sim.pattern.Workers.SpeedSpread*(2*sim.rng.Float64()-1), slowdown: 1,
	}
	if speeds := sim.pattern.Workers.Speeds; len(speeds) > 0 {
		w.speed = speeds[sim.rng.IntN(len(speeds))]
	}
	if sim.pattern.Workers.SlowShare > 0 && sim.rng.Float64() < sim.pattern.Workers.SlowShare {
		w.speed /= sim.pattern.Workers.SlowFactor
	}
	sim.workers[w.id] = w
	sim.workerIDs = append(sim.workerIDs, w.id)
	sim.fleet.Add(w.id, sim.capacity(), 1, sim.now())
}

func (sim *simulation) capacity() workload.Resources {
	return workload.Resources{MilliCPU: sim.pattern.Workers.CPU, MemoryMiB: sim.pattern.Workers.MemoryMiB, Accelerators: sim.pattern.Workers.Accelerators}
}

// startPlanner starts a planner that recovers its state from the log.
func (sim *simulation) startPlanner() {
	sim.token++
	b := sim.pattern.Bounds
	sim.core = control.New(control.Bounds{
		Lease: ms(b.LeaseMS), AuthorityPeriod: ms(b.LeaseMS), StopTimeout: ms(b.StopMS), GangTimeout: ms(b.GangMS),
		ReclaimWithin: ms(b.ReclaimMS), RemoteFactor: b.RemoteFactor, RestoreCost: ms(b.RestoreMS), PollWait: renewalWait, Notice: ms(b.NoticeMS),
		Heartbeat: sim.heartbeat(), Disabled: sim.policy.Disabled, Plan: sim.policy.Plan,
	}, sim.token, sim.now())
	config := control.Configuration{Version: 1, Queues: map[string]workload.QueueSettings{}, Guaranteed: map[domain.AccountID]int64{}}
	for i := range sim.pattern.Classes {
		config.Queues[sim.pattern.Classes[i].Name] = sim.pattern.Classes[i].queueSettings()
	}
	for _, a := range sim.pattern.Accounts {
		config.Guaranteed[domain.AccountID(a.Name)] = a.Guaranteed
	}
	sim.core.Configure(config)
	sim.restoreState()
	for _, a := range sim.arrivals {
		if e, ok := sim.log[a.job.ID]; ok {
			sim.core.Adopt(a.job.ID, e)
		}
	}
	sim.changedJobs, sim.writing = nil, false
	sim.listWorkers()
}

// restoreState passes the state records of earlier planners to a new one.
func (sim *simulation) restoreState() {
	for _, key := range slices.Sorted(maps.Keys(sim.planState)) {
		sim.core.RestoreState(key, sim.planState[key])
	}
}

func (sim *simulation) listWorkers() {
	var out []control.Listing
	for _, id := range sim.workerIDs {
		w := sim.workers[id]
		if w.lost {
			continue
		}
		l := control.Listing{ID: id, Address: id, Service: poolService, DataCentre: w.centre, Rack: w.rack, Capacity: sim.capacity(), Draining: w.draining}
		if w.draining {
			l.RemainingMS = max(0, (w.departsAt - sim.elapsed).Milliseconds())
		}
		if sim.heartbeat() > 0 {
			l.ClockMS = sim.fleet.Workers[id].ClockMS(sim.now())
		}
		out = append(out, l)
	}
	sim.core.SetWorkers(out, sim.now())
	sim.lastListed = sim.elapsed
}

// heartbeat returns how often entries of the list are updated. Patterns that announce departures have
// the list show when each entry was written, so that a departure is told from a lost connection.
func (sim *simulation) heartbeat() time.Duration {
	if sim.pattern.Bounds.NoticeMS == 0 {
		return 0
	}
	return listInterval
}

// run processes events until every job is finished or the drain time is over.
func (sim *simulation) run() {
	for next, more := sim.queue.Next(); more; next, more = sim.queue.Next() {
		if sim.elapsed > seconds(sim.pattern.Seconds) && sim.metrics.open == 0 {
			break
		}
		sim.metrics.sample(next)
		sim.elapsed = next
		_, do := sim.queue.Pop()
		do()
	}
}

func (sim *simulation) after(d time.Duration, do func()) { sim.queue.At(sim.elapsed+d, do) }

// submit submits a job; a refused submission is repeated after a delay.
func (sim *simulation) submit(a *scheduledJob, attempt int) {
	t := sim.jobs[a.job.ID]
	if attempt == 1 {
		sim.metrics.arrive(t)
	}
	if sim.elapsed < sim.logDownUntil {
		if attempt == maxSubmitAttempts {
			sim.metrics.refuse(t)
			return
		}
		sim.after(retryDelay, func() { sim.submit(a, attempt+1) })
		return
	}
	sim.after(ms(sim.pattern.Bounds.WriteMS), func() {
		a.job.AcceptedMS = sim.now().UnixMilli()
		sim.metrics.accept(t)
		sim.appendEntry(a.job.ID, workload.Entry{Job: a.job, State: workload.Queued})
	})
	if a.cancelAt > 0 {
		sim.queue.At(max(a.cancelAt, sim.elapsed+retryDelay), func() { sim.cancel(a.job.ID) })
	}
}

func (sim *simulation) cancel(id workload.JobID) {
	e, ok := sim.log[id]
	if !ok || e.Cancelled || e.State.IsFinal() {
		return
	}
	sim.metrics.cancel(sim.jobs[id])
	e.Cancelled = true
	sim.appendEntry(id, e)
}

// appendEntry writes a caller's change to the log, from which the planner reads it.
func (sim *simulation) appendEntry(id workload.JobID, e workload.Entry) {
	sim.log[id] = e
	sim.changedJobs = append(sim.changedJobs, id)
	sim.roundDue = true
}

// tick advances the workers and performs the planner's due work.
func (sim *simulation) tick() {
	sim.fleet.Advance(sim.now())
	sim.removeDeparted()
	sim.answerRenewals()
	if sim.core == nil {
		return
	}
	if sim.elapsed-sim.lastListed >= listInterval && sim.elapsed >= sim.logDownUntil {
		sim.listWorkers()
	}
	if !sim.writing && (sim.roundDue || sim.elapsed-sim.lastRound >= roundInterval) {
		sim.round()
	}
	sim.sendOrders()
}

func (sim *simulation) removeDeparted() {
	for _, id := range sim.workerIDs {
		w := sim.workers[id]
		if w.draining && !w.lost && sim.elapsed >= w.departsAt {
			w.lost = true
			sim.fleet.Kill(id, sim.now())
		}
	}
}

// round runs one planning round. Starts are sent only after the decision is in the log.
func (sim *simulation) round() {
	sim.roundDue, sim.lastRound = false, sim.elapsed
	for _, id := range sim.changedJobs {
		sim.core.Adopt(id, sim.log[id])
	}
	sim.changedJobs = nil
	sim.core.Round(sim.now(), sim.now().UnixMilli())
	records := sim.core.Changes()
	sim.metrics.recordStopReasons(sim.core.Events())
	if len(records) == 0 {
		sim.sendStarts(sim.core)
		return
	}
	sim.writing = true
	sim.appendRecords(sim.core, records)
}

// appendRecords appends records and retries while the log is unavailable.
func (sim *simulation) appendRecords(core *control.Core, records []control.Record) {
	sim.after(max(ms(sim.pattern.Bounds.WriteMS), sim.logDownUntil-sim.elapsed), func() {
		if core != sim.core {
			return
		}
		if sim.elapsed < sim.logDownUntil {
			sim.appendRecords(core, records)
			return
		}
		for _, r := range records {
			sim.applyRecord(r)
		}
		sim.writing = false
		sim.sendStarts(core)
	})
}

// applyRecord applies a progress or state record to the log.
func (sim *simulation) applyRecord(r control.Record) {
	if control.IsStateKey(r.Key) {
		sim.planState[r.Key] = r.Value
		if len(r.Value) == 0 {
			delete(sim.planState, r.Key)
		}
		return
	}
	id := workload.JobID(r.Key[2:])
	e, ok := sim.log[id]
	head := struct {
		State workload.State `json:"state"`
	}{}
	if !ok || json.Unmarshal(r.Value, &head) != nil {
		return
	}
	e.Progress, e.State = r.Value, head.State
	sim.log[id] = e
	sim.metrics.setState(sim.jobs[id], head.State)
}

func (sim *simulation) sendStarts(core *control.Core) {
	starts := core.Persisted(sim.now())
	sim.recordFarGangs(starts)
	sim.metrics.countGangs(starts)
	for _, o := range starts {
		sim.sendStart(core, o)
	}
}

// recordFarGangs records which gangs start across racks or away from their data although their
// step asks otherwise.
func (sim *simulation) recordFarGangs(starts []control.StartOrder) {
	racks := map[gangRun]string{}
	for _, o := range starts {
		step, _ := sim.step(o.Task)
		key := gangRunOf(o.Task, o.Run)
		rack := sim.workers[o.Worker].rack
		first, known := racks[key]
		racks[key] = rack
		if step.Gang && ((step.SameRack && known && first != rack) || (step.DataRack != "" && step.DataRack != rack)) {
			sim.farGangs[key] = true
		}
	}
}

func gangRunOf(t workload.TaskID, run int64) gangRun {
	return gangRun{decide.UnitKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}, run}
}

// step implements workertest.Fleet.Step.
func (sim *simulation) step(id workload.TaskID) (workload.Step, bool) {
	t, ok := sim.jobs[id.Job]
	if !ok || id.Step >= len(t.job.Steps) {
		return workload.Step{}, false
	}
	return t.job.Steps[id.Step], true
}

// greyRunTime is how soon a run fails on a grey worker.
const greyRunTime = 200 * time.Millisecond

// work implements workertest.Fleet.Work.
func (sim *simulation) work(id workload.TaskID, run int64, worker string) workertest.Work {
	t, w := sim.jobs[id.Job], sim.workers[worker]
	step := t.job.Steps[id.Step]
	runTime := t.runTimes[id.Step][id.Index]
	if (step.Gang && sim.farGangs[gangRunOf(id, run)]) || (!step.Gang && step.DataRack != "" && step.DataRack != w.rack) {
		runTime = time.Duration(sim.pattern.Bounds.RemoteFactor * float64(runTime))
	}
	failureIndex := id.Index
	if step.Gang {
		failureIndex = 0
	}
	out := workertest.Work{Takes: runTime, Hangs: sim.elapsed < w.hangUntil}
	out.Fails = t.neverSucceeds || t.failed[taskIndex{id.Step, failureIndex}] < t.failures[id.Step][failureIndex]
	if sim.elapsed < w.greyUntil {
		out.Takes, out.Fails = greyRunTime, true
	}
	return out
}

// speed implements workertest.Fleet.Speed.
func (sim *simulation) speed(worker string) float64 {
	w := sim.workers[worker]
	return w.speed / w.slowdown
}
