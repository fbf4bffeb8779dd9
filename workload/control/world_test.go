package control_test

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// The world plays planners, one after the other and sometimes two at once,
// against a model of workers over a network that delays, loses and repeats
// orders, and holds what workers saw against what must always hold.

var simLimits = workertest.Limits{
	HoldMax: 6 * time.Second, StopTimeout: 300 * time.Millisecond, GangTimeout: 3 * time.Second,
	CheckpointEvery: 500 * time.Millisecond, Restore: 100 * time.Millisecond,
}

var simBounds = control.Bounds{
	Lease: simLimits.HoldMax, Heartbeat: heartbeatInterval, Authority: 2 * time.Second, StopTimeout: simLimits.StopTimeout,
	GangTimeout: simLimits.GangTimeout, ReclaimWithin: 3 * time.Second, Restore: simLimits.Restore,
	Wait: time.Second, Pace: 100 * time.Millisecond, Harm: 4 * time.Second,
}

const maxAttempts = 3

type simulation struct {
	rng              *rand.Rand
	now              time.Time
	fleet            *workertest.Fleet
	jobs             map[workload.JobID]*workload.Job
	done             map[workload.JobID]bool
	log              map[string][]byte
	jobIDs           []string
	token            int64
	cancelledAt      map[workload.JobID]time.Time
	planners         []*planner
	deliveries       []delivery
	unreachableUntil map[string]time.Time
	// leaving are workers that drain, and the time that they stay.
	drainRemainingMS map[string]int64
	faulty           bool
	// What workers saw.
	running          map[workload.TaskID]map[string]int64
	doneRun          map[workload.TaskID]int64
	acknowledgedDone map[workload.TaskID]bool
	failures         map[workload.TaskID]int
	// again holds tasks that began after one of their runs had ended as done.
	restartedAfterDone map[runKey]bool
	// void holds runs whose ends were lost with their workers.
	voidRuns   map[runKey]bool
	startCount int
	violations []string
	trace      func(format string, args ...any)
	mutant     mutant
	crashes    crashModel
	capacities capacityModel
	// late are the starts that are carried out seconds after they were given up, by worker
	// and task.
	delayedStarts map[string]bool
	// restarts is until when the entry of a worker that starts again stays in the list
	// without it, shownBorn the birth that its entry shows.
	entryExpiresAt map[string]time.Time
	listedBorn     map[string]int64
	// unsettled are the runs that a planner told of as ones that nothing settles.
	unsettledRuns []string
	// cursors are the highest that went to each worker, for a mutant.
	maxCursors map[string]int64
	// waits tells that holds wait for news.
	longPoll bool
	// registry is the list where it is written by heartbeats and read late; nil is a list that
	// is always as things are.
	registry *registry
	// left counts the workers that were found to have left.
	departures int
	// writeMost is the longest that the log takes to answer a planner; 0 is at once.
	maxWriteTime time.Duration
	// restarted is told of each later life; nil tells nobody.
	onRestart func(*workertest.Worker)
	// unanswered are the jobs whose starts get no answer.
	unansweredJobs map[workload.JobID]bool
	// delays are how long the starts of some jobs are on their way; they get no answer.
	startDelays map[workload.JobID]time.Duration
}

type planner struct {
	core        *control.Core
	connections connections
	token       int64
	// ordered is the token that its last start carried.
	lastStartToken int64
	written        time.Time
	frozenUntil    time.Time
	// writing is until when the log has not answered.
	writingUntil time.Time
	dead         bool
	// gaps are those of the registry that it was told of.
	seenGaps int
}

type runKey struct {
	task workload.TaskID
	run  int64
}

// letter is something on its way.
type delivery struct {
	at  time.Time
	run func()
}

func newSimulation(seed int64, faulty bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0), faulty: faulty,
		jobs: map[workload.JobID]*workload.Job{}, done: map[workload.JobID]bool{}, log: map[string][]byte{},
		cancelledAt: map[workload.JobID]time.Time{}, unreachableUntil: map[string]time.Time{},
		running: map[workload.TaskID]map[string]int64{}, doneRun: map[workload.TaskID]int64{},
		acknowledgedDone: map[workload.TaskID]bool{}, failures: map[workload.TaskID]int{}, restartedAfterDone: map[runKey]bool{}, voidRuns: map[runKey]bool{}, delayedStarts: map[string]bool{},
		entryExpiresAt: map[string]time.Time{}, listedBorn: map[string]int64{}, maxCursors: map[string]int64{},
	}
	sim.fleet = &workertest.Fleet{Limits: simLimits, Step: sim.lookUpStep, Work: sim.randomWork, Seen: sim.checkEvent, Crashed: sim.onCrash}
	for i := range 6 {
		rate := 1 - 0.02*sim.rng.Float64()
		id := fmt.Sprintf("w%d", i)
		sim.listedBorn[id] = sim.fleet.Add(id, workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, rate, sim.now).Born
	}
	return sim
}

func (sim *simulation) lookUpStep(id workload.TaskID) (workload.Step, bool) {
	j := sim.jobs[id.Job]
	if j == nil || id.Step >= len(j.Steps) {
		return workload.Step{}, false
	}
	return j.Steps[id.Step], true
}

// work: a run's length and luck depend on the task and the run alone.
func (sim *simulation) randomWork(id workload.TaskID, run int64, _ string) workertest.Work {
	r := rand.New(rand.NewSource(int64(len(id.Job))*7919 + int64(id.Step)*31 + int64(id.Index) + run*104729 + int64(id.Job[0])))
	takes := time.Duration(200+r.Intn(2500)) * time.Millisecond
	return workertest.Work{Takes: takes, Fails: r.Intn(10) == 0}
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v ", sim.now.Sub(time.Unix(1_000_000, 0)))+fmt.Sprintf(format, args...))
}

// see checks each beginning and end against what must hold.
func (sim *simulation) checkEvent(e workertest.Event) {
	if e.How == "" {
		sim.checkStart(e)
		return
	}
	delete(sim.running[e.Task], e.Worker)
	switch e.How {
	case control.EndFailed:
		sim.failures[e.Task]++
	case control.EndDone:
		sim.doneRun[e.Task] = e.Run
	case workertest.EndVoid:
		// Nobody can take note of it any more. A late order may begin a run of its number on
		// the next life, whose end is another one.
		sim.voidRuns[runKey{e.Task, e.Run}] = true
	}
}

func (sim *simulation) checkStart(e workertest.Event) {
	sim.startCount++
	sim.checkStartAfterCrashes(e.Task)
	sim.checkCapacity(e)
	j := sim.jobs[e.Task.Job]
	if len(sim.running[e.Task]) > 0 {
		sim.violation("%v runs twice: run %d on %s beside %v", e.Task, e.Run, e.Worker, sim.running[e.Task])
	}
	if sim.acknowledgedDone[e.Task] {
		sim.violation("%v run %d begins after its end was noted", e.Task, e.Run)
	}
	if last := (runKey{e.Task, sim.doneRun[e.Task]}); last.run > 0 && !sim.voidRuns[last] {
		sim.restartedAfterDone[runKey{e.Task, sim.doneRun[e.Task]}] = true
	}
	if sim.running[e.Task] == nil {
		sim.running[e.Task] = map[string]int64{}
	}
	sim.running[e.Task][e.Worker] = e.Run
	if e.Spec != j.Spec {
		sim.violation("%v begins with another spec", e.Task)
	}
	for _, d := range j.Steps[e.Task.Step].DependsOn {
		for i := range j.Steps[d].Count {
			if sim.doneRun[workload.TaskID{Job: j.ID, K: e.Task.K, Step: d, Index: i}] == 0 {
				sim.violation("%v begins before step %d is done", e.Task, d)
			}
		}
	}
	if at, ok := sim.cancelledAt[j.ID]; ok && sim.now.Sub(at) > 20*time.Second {
		sim.violation("%v begins long after its cancel", e.Task)
	}
	counted := e.Task
	if !j.Steps[e.Task.Step].Gang && sim.failures[counted] >= maxAttempts {
		sim.violation("%v begins after %d failures", e.Task, sim.failures[counted])
	}
}

func simJobID(i int) workload.JobID { return workload.JobID(fmt.Sprintf("%c%015x", 'a'+i%6, i)) }

func (sim *simulation) submit(i int) {
	id := simJobID(i)
	j := &workload.Job{ID: id, Queue: "q", Spec: string(id), AcceptedMS: sim.now.UnixMilli(), Terms: workload.Terms{Priority: sim.rng.Intn(3), Attempts: maxAttempts, Stretch: 3, TargetMS: 1000}}
	steps := 1 + sim.rng.Intn(2)
	for s := range steps {
		step := workload.Step{Count: 1 + sim.rng.Intn(4), Need: workload.Resources{MilliCPU: 2000, MemoryMiB: 4000, Accelerators: int64(1 + sim.rng.Intn(4))}, EstimateMS: 1000}
		step.Gang = sim.rng.Intn(2) == 0 || (sim.crashes.gangsOnly && sim.crashes.crashAfter[id] > 0)
		step.Checkpoint = sim.rng.Intn(2) == 0
		step.SameRack = sim.rng.Intn(2) == 0
		if s > 0 {
			step.DependsOn = []int{0}
		}
		j.Steps = append(j.Steps, step)
	}
	sim.jobs[id] = j
	sim.jobIDs = append(sim.jobIDs, string(id))
}

func (sim *simulation) entry(id workload.JobID) workload.Entry {
	_, cancelled := sim.cancelledAt[id]
	return workload.Entry{Job: sim.jobs[id], Cancelled: cancelled, Progress: sim.log[workload.ProgressKey(id)]}
}

// claim seats a new planner. Those before it go on until they notice.
func (sim *simulation) startPlanner(mutate func(*control.Core)) {
	if !sim.mutant.sameToken || sim.token == 0 {
		sim.token++
	}
	p := &planner{core: control.New(sim.bounds(), sim.token, sim.now), token: sim.token, written: sim.now}
	if mutate != nil {
		mutate(p.core)
	}
	p.core.Configure(control.Configuration{Version: 1, Guaranteed: map[domain.AccountID]int64{"": 16}})
	for _, id := range sim.jobIDs {
		p.core.Adopt(workload.JobID(id), sim.entry(workload.JobID(id)))
	}
	sim.planners = append(sim.planners, p)
}

func (sim *simulation) listings() []control.Listing {
	var out []control.Listing
	ids := make([]string, 0, len(sim.fleet.Workers))
	for id := range sim.fleet.Workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for i, id := range ids {
		worker := sim.fleet.Workers[id]
		if worker.Dead && !sim.crashes.isListed(id, sim.now) && !sim.now.Before(sim.entryExpiresAt[id]) {
			continue
		}
		born := worker.Born
		if shown, restarts := sim.listedBorn[id]; restarts {
			born = shown
		}
		address, rack := sim.crashes.location(id, fmt.Sprintf("r%d", i/3))
		out = append(out, control.Listing{ID: id, Address: address, Rack: rack, Capacity: sim.capacities.listed(id, worker.Capacity, sim.now), ClockMS: worker.ClockMS(sim.now) - 300, Draining: sim.drainRemainingMS[id] > 0, RemainingMS: sim.drainRemainingMS[id], Born: born})
	}
	return out
}

// play runs a planner's round: decide, write, order.
func (sim *simulation) runRound(p *planner) {
	if p.dead || sim.now.Before(p.frozenUntil) || p.core.Deposed() {
		return
	}
	if sim.now.Before(p.writingUntil) {
		sim.sendOrders(p)
		return
	}
	for _, id := range sim.jobIDs {
		p.core.Adopt(workload.JobID(id), sim.entry(workload.JobID(id)))
	}
	sim.updateList(p)
	p.core.Round(sim.now, sim.now.UnixMilli())
	records := p.core.Changes()
	if p.token != sim.token && !sim.mutant.unfencedLog {
		// The log refuses its writes; it stops here, but what it sent is under way.
		p.dead = true
		return
	}
	for _, r := range records {
		if sim.mutant.noLog {
			continue
		}
		if sim.mutant.lateLog {
			sim.schedule(time.Second, func() { sim.log[r.Key] = r.Value })
			continue
		}
		sim.log[r.Key] = sim.mutant.alterRecord(r.Value)
	}
	p.written = sim.now
	if takes := sim.logWriteTime(); takes > 0 {
		p.writingUntil = sim.now.Add(takes)
		sim.schedule(takes, func() { sim.deliver(p, func() { sim.sendPersisted(p) }) })
		return
	}
	sim.sendPersisted(p)
}

// release orders what the log has taken.
func (sim *simulation) sendPersisted(p *planner) {
	if p.dead || p.core.Deposed() {
		return
	}
	sim.updateList(p)
	for _, o := range p.core.Persisted(sim.now) {
		sim.sendStart(p, o)
	}
	sim.sendOrders(p)
}

func (sim *simulation) sendOrders(p *planner) {
	for _, o := range p.core.Due(sim.now) {
		sim.sendStart(p, o)
	}
	for _, o := range p.core.Stops() {
		sim.sendStop(p, o)
	}
	for _, o := range p.core.Paces() {
		sim.sendPace(p, o)
	}
	for _, id := range p.core.NeedsHold(sim.now) {
		if o, ok := p.core.Hold(id, sim.now); ok {
			sim.sendRenewal(p, o)
		}
	}
	for _, n := range p.core.Notes() {
		if n.Event == control.EventRunUnsettled {
			sim.unsettledRuns = append(sim.unsettledRuns, fmt.Sprintf("%s %s run %d %s", n.Task, n.Worker, n.Run, n.Detail))
		}
		sim.checkDeparture(n)
		if sim.trace != nil {
			sim.trace("token %d: %s %s %s %s run %d %s", p.token, n.Event, n.Task, n.Worker, n.Why, n.Run, n.Detail)
		}
	}
}

// tick moves time on, delivers what is due and lets planners play.
func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.fleet.Advance(sim.now)
	sim.updateRegistry()
	due := sim.deliveries
	sim.deliveries = nil
	sort.SliceStable(due, func(a, b int) bool { return due[a].at.Before(due[b].at) })
	for _, l := range due {
		if l.at.After(sim.now) {
			sim.deliveries = append(sim.deliveries, l)
			continue
		}
		l.run()
	}
	for _, p := range sim.planners {
		sim.runRound(p)
	}
}

// disturb brings one of the troubles about.
func (sim *simulation) injectFault(mutate func(*control.Core)) {
	switch sim.rng.Intn(40) {
	case 0:
		sim.startPlanner(mutate)
	case 1:
		p := sim.planners[len(sim.planners)-1]
		p.frozenUntil = sim.now.Add(time.Duration(sim.rng.Intn(6000)) * time.Millisecond)
		sim.schedule(time.Duration(500+sim.rng.Intn(3000))*time.Millisecond, func() { sim.startPlanner(mutate) })
	case 2:
		sim.planners[len(sim.planners)-1].dead = true
		sim.schedule(time.Duration(100+sim.rng.Intn(2000))*time.Millisecond, func() { sim.startPlanner(mutate) })
	case 3:
		sim.unreachableUntil[sim.randomWorker()] = sim.now.Add(time.Duration(sim.rng.Intn(9000)) * time.Millisecond)
	case 4:
		if sim.rng.Intn(4) == 0 {
			sim.fleet.Kill(sim.randomWorker(), sim.now)
			n := len(sim.fleet.Workers)
			sim.fleet.Add(fmt.Sprintf("w%d", n), workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}, 0.99, sim.now)
		}
	case 5:
		if len(sim.jobIDs) > 0 {
			id := workload.JobID(sim.jobIDs[sim.rng.Intn(len(sim.jobIDs))])
			if _, ok := sim.cancelledAt[id]; !ok {
				sim.cancelledAt[id] = sim.now
			}
		}
	}
}

func (sim *simulation) randomWorker() string {
	ids := make([]string, 0, len(sim.fleet.Workers))
	for id := range sim.fleet.Workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids[sim.rng.Intn(len(ids))]
}

// run plays a world of some steps, then a calm while in which all must end.
func runSimulation(seed int64, faulty bool, mutate func(*control.Core)) *simulation {
	sim := newSimulation(seed, faulty)
	sim.run(mutate)
	return sim
}

// steps is the length of a world.
const simSteps = 600

func (sim *simulation) run(mutate func(*control.Core)) {
	sim.startPlanner(mutate)
	for i := range simSteps {
		if i%25 == 0 && i < simSteps*3/4 {
			sim.submit(i / 25)
		}
		if sim.faulty && i%10 == 0 {
			sim.injectFault(mutate)
		}
		sim.changeCapacity()
		sim.tick(time.Duration(10+sim.rng.Intn(60)) * time.Millisecond)
		if len(sim.violations) > 0 {
			return
		}
	}
	sim.settle(mutate)
}

func (sim *simulation) settle(mutate func(*control.Core)) {
	sim.faulty = false
	sim.unreachableUntil = map[string]time.Time{}
	sim.clearRegistryFaults()
	sim.restoreCapacities()
	sim.startPlanner(mutate)
	for range 3000 {
		sim.tick(40 * time.Millisecond)
		if len(sim.violations) > 0 || sim.allFinal() {
			return
		}
	}
	sim.violation("jobs have not ended: %v", sim.unfinished())
}

func (sim *simulation) allFinal() bool { return len(sim.unfinished()) == 0 }

func (sim *simulation) unfinished() []string {
	var out []string
	book := workload.NewBook()
	for _, id := range sim.jobIDs {
		raw := sim.log[workload.ProgressKey(workload.JobID(id))]
		if raw == nil {
			out = append(out, id)
			continue
		}
		if err := book.Fold(0, workload.ProgressKey(workload.JobID(id)), raw); err != nil {
			out = append(out, id+": "+err.Error())
			continue
		}
		sim.foldAccepted(book, id)
		e, _ := book.Get(workload.JobID(id))
		if !e.State.Final() {
			out = append(out, id+" "+string(e.State))
		}
	}
	return out
}

// state is a job's, as its record shows it.
func (sim *simulation) jobState(id workload.JobID) workload.State {
	for _, open := range sim.unfinished() {
		if len(open) >= 16 && workload.JobID(open[:16]) == id {
			return workload.Running
		}
	}
	book := workload.NewBook()
	if err := book.Fold(0, workload.ProgressKey(id), sim.log[workload.ProgressKey(id)]); err != nil {
		return ""
	}
	sim.foldAccepted(book, string(id))
	e, _ := book.Get(id)
	return e.State
}

func (sim *simulation) foldAccepted(book *workload.Book, id string) {
	value := []byte(`{"id":"` + id + `","queue":"q"}`)
	_ = book.Fold(0, workload.AcceptedKey(workload.JobID(id)), value)
}

func TestTasksRunOnceInOrderAndEndUnderRandomFaults(t *testing.T) {
	worlds, starts := 150, 0
	if testing.Short() {
		worlds = 20
	}
	for seed := range worlds {
		w := runSimulation(int64(seed), true, nil)
		starts += w.startCount
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.violations)
		}
	}
	t.Logf("%d worlds, %d starts", worlds, starts)
}

func TestCalmWorldsEndWithoutWaste(t *testing.T) {
	for seed := range 20 {
		w := runSimulation(int64(seed), false, nil)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.violations)
		}
	}
}

// bounds are those of the world, or of a mutant.
func (sim *simulation) bounds() control.Bounds {
	b := simBounds
	b.Lease -= sim.mutant.extraLease
	if sim.mutant.heartbeatFactor > 0 {
		b.Heartbeat *= sim.mutant.heartbeatFactor
	}
	return b
}
