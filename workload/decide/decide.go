// Package decide chooses which waiting units start on which workers, and which running groups are
// stopped to make room for them. MakePlan is a pure function of its Snapshot: it reads no clock,
// does no I/O and keeps no state between calls.
//
// Units are placed in a fixed order (order.go). Each is tried on free capacity, then on capacity
// that is being freed and, if it may preempt, on capacity that victims hold (preempt.go). A unit
// that waits for capacity reserves it against the units behind it.
package decide

import (
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/share"
)

// Worker is a worker that may be given tasks.
type Worker struct {
	ID   string
	Rack string
	// Service is the pool that the worker belongs to.
	Service string
	// Labels is the set of labels of the worker.
	Labels map[string]bool
	// Free is the capacity that no task holds.
	Free workload.Resources
	// Freeing is the capacity held by tasks that have been ordered to stop.
	Freeing workload.Resources
	// NonCheckpointed is the number of accelerators held by work below the top priority that
	// would be lost if it were stopped.
	NonCheckpointed int64
	// Capacity is the capacity of the empty worker.
	Capacity workload.Resources
	// Speed is the worker's speed relative to the average; 0 if unknown.
	Speed float64
	// Slowed reports whether the worker has turned slow for some seconds. It is used only if a unit
	// does not fit on the others.
	Slowed bool
	// Closed workers get no new tasks, for example because they are draining, silent or
	// distrusted.
	Closed bool
	// SuspectJob is the job whose suspect has just started on the worker; tasks of other jobs are
	// kept off. Empty if none.
	SuspectJob workload.JobID
	// HasRecentStart reports whether a run on the worker has just started.
	HasRecentStart bool
	// RunningJob is a job that has a run on the worker, empty if there is none; the only such job
	// unless HasSeveralJobs is set.
	RunningJob workload.JobID
	// HasSeveralJobs reports whether several jobs have runs on the worker.
	HasSeveralJobs bool
	// Evacuated reports whether the worker is closed until operators say otherwise. Its capacity is
	// not part of the pool, whereas the capacity of other closed workers is expected back.
	Evacuated bool
}

// UnitKey identifies a step of an occurrence of a job.
type UnitKey struct {
	Job        workload.JobID
	Occurrence int
	Step       int
}

// Unit is work that waits to start: a whole gang, or those tasks of a step that may start one by
// one.
type Unit struct {
	Key UnitKey
	// Account is the client account of the job.
	Account domain.AccountID
	Step    *workload.Step
	// Service is the pool whose workers run the queue's tasks.
	Service string
	// Indexes are the tasks of the step that are to start.
	Indexes []int
	// Placed is the number of the step's tasks that are already on each worker.
	Placed map[string]int
	// Avoid is the set of workers on which the unit's tasks have failed.
	Avoid map[string]bool
	// Suspect reports whether a worker has crashed while it ran one of the unit's tasks.
	Suspect bool
	// Exclusive reports whether the unit may only run on a worker without runs of other jobs.
	Exclusive bool
	// Departing reports whether the unit is still running and is stopped because a worker leaves.
	// Nothing starts; capacity for its next run is reserved.
	Departing bool
	// Priority is the priority of the queue; lower values go first.
	Priority int
	// Guaranteed reports whether the unit is within its account's guarantee.
	Guaranteed bool
	// ReadySince is the time from which the unit could have started.
	ReadySince time.Time
	// LatestStart is the latest start with which the unit still ends within its objective.
	LatestStart time.Time
	// WorthlessAfter is the latest start that still has any value.
	WorthlessAfter time.Time
	// RunTime is the expected run time.
	RunTime time.Duration
	// Allowed restricts the unit to these workers; nil allows all.
	Allowed map[string]bool
}

// Group is running work that starts and stops together: a gang's run or a single task.
type Group struct {
	Key   UnitKey
	Index int
	// Allocations is what the group holds on each worker; a worker occurs once.
	Allocations []Allocation
	// Priority is the priority of the queue.
	Priority int
	// Guaranteed reports whether the group is within its account's guarantee.
	Guaranteed bool
	// LostWork is the work that a stop would throw away, in core-seconds.
	LostWork float64
	// RemainingTime is the time until the group is expected to end; 0 if unknown.
	RemainingTime time.Duration
	// Stopping reports whether the group has been ordered to stop.
	Stopping bool
	// NonPreemptible reports whether the group must not be stopped for others.
	NonPreemptible bool
}

// Allocation is what a group holds on one worker.
type Allocation struct {
	Worker string
	workload.Resources
}

// Add adds resources that the group holds on a worker.
func (g *Group) Add(worker string, more workload.Resources) {
	for i := range g.Allocations {
		if g.Allocations[i].Worker == worker {
			g.Allocations[i].Resources = g.Allocations[i].Resources.Add(more)
			return
		}
	}
	g.Allocations = append(g.Allocations, Allocation{worker, more})
}

// Snapshot is the complete input of a plan.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Waiting []Unit
	Running []Group
	// Headroom is the number of accelerators that top-priority work is expected to need at once.
	Headroom int64
	// NoRecentArrivals reports whether no new work has arrived for a long time. Capacity that is
	// held back for expected arrivals is then wasted.
	NoRecentArrivals bool
	// UrgentShare is the share of the top-priority units that have less time left to start than a
	// stop takes.
	UrgentShare float64
	// ReclaimWithin is the time within which guaranteed work has to start.
	ReclaimWithin time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// RemoteFactor is the factor by which a task runs longer away from its data, or in a gang that
	// spans racks although it prefers one; 0 means no longer.
	RemoteFactor float64
	// Shares are the accounts' uses of the pool beyond their guarantees; nil if capacity is not
	// divided by them.
	Shares *share.Levels
	// Disabled is the set of disabled mechanisms.
	Disabled DisabledMechanisms
}

// Assignment starts a task on a worker.
type Assignment struct {
	Unit   int
	Index  int
	Worker string
	// Remote reports whether the task runs outside the rack of its data or of its gang.
	Remote bool
}

// Reason is a stable code for why a unit does not start now.
type Reason string

// The reasons for which a unit waits.
const (
	NoCapacity   Reason = "no-room"
	NoRack       Reason = "no-rack"
	WaitsForStop Reason = "waits-for-stop"
	NoWorker     Reason = "no-worker"
	// WaitsForAdvice means that the workers which the queue's policy allows are not known yet.
	WaitsForAdvice Reason = "waits-for-advice"
	// PoolUnstable means that several workers have crashed under the unit, and that many others
	// have crashed without it just now.
	PoolUnstable Reason = "pool-unsettled"
)

// DeferredUnit is a unit that waits, with the reason.
type DeferredUnit struct {
	Unit   int
	Reason Reason
}

// Plan is the result of MakePlan.
type Plan struct {
	Starts []Assignment
	// Stops are indexes into Snapshot.Running.
	Stops    []int
	Deferred []DeferredUnit
	Load     Load
}

// Load describes the state of the pool that the plan was made for.
type Load struct {
	// Utilization is the share of the accelerators or of the processors in use, whichever is
	// larger, closed workers included.
	Utilization float64
	// Underused reports whether so much capacity is free that units wait only briefly for a better
	// place.
	Underused bool
	// ReservedRacks is the number of reserved racks, ClosedWorkers that of workers that get no new
	// tasks.
	ReservedRacks, ClosedWorkers int
}

// MakePlan plans which units start and which groups stop.
func MakePlan(s *Snapshot) Plan {
	p := newPlanner(s)
	q := newQueue(s)
	for i, ok := q.next(); ok; i, ok = q.next() {
		q.charge(p.place(i))
	}
	return p.plan
}

type planner struct {
	snapshot  *Snapshot
	plan      Plan
	workers   []*workerState
	racks     map[string][]*workerState
	rackNames []string
	// byClass and racksByClass hold the workers, and those of each rack, by speed class.
	byClass      map[speedClass][]*workerState
	racksByClass map[speedClass]map[string][]*workerState
	// underused reports whether most capacity is free.
	underused bool
	stopped   map[int]bool
	// skipsReserved reports whether the unit being placed may not use reserved racks.
	skipsReserved bool
	// allocated is the number of tasks of that unit that start or have capacity reserved.
	allocated int
	// Upper bounds on what fits in free capacity, in capacity being freed and in an empty pool.
	freeLimits, freeingLimits, totalLimits fitLimits
	// groups is built when the first unit looks for victims.
	groups *groupIndex
}

// workerState is a worker with the capacity that is left of it in this plan.
type workerState struct {
	*Worker
	// index is the worker's index in planner.workers.
	index   int
	free    workload.Resources
	freeing workload.Resources
	// Taken from the Worker and updated with what this plan starts there.
	suspectJob, runningJob         workload.JobID
	hasRecentStart, hasSeveralJobs bool
	// reserved reports whether the worker's rack is reserved for top-priority work and for work
	// that can be stopped without loss.
	reserved bool
	// candidate is the worker's entry in the current victim search; nil if it is not part of one.
	candidate *candidate
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{snapshot: s, racks: map[string][]*workerState{}, stopped: map[int]bool{}, freeLimits: fitLimits{}, freeingLimits: fitLimits{}, totalLimits: fitLimits{}}
	states := make([]workerState, len(s.Workers))
	p.workers = make([]*workerState, 0, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Closed {
			p.plan.Load.ClosedWorkers++
			continue
		}
		state := &states[i]
		*state = workerState{Worker: w, index: len(p.workers), free: w.Free, freeing: w.Freeing, suspectJob: w.SuspectJob, hasRecentStart: w.HasRecentStart, runningJob: w.RunningJob, hasSeveralJobs: w.HasSeveralJobs}
		p.workers = append(p.workers, state)
		if len(p.racks[w.Rack]) == 0 && w.Rack != "" {
			// Workers whose rack is unknown do not form a rack.
			p.rackNames = append(p.rackNames, w.Rack)
		}
		p.racks[w.Rack] = append(p.racks[w.Rack], state)
	}
	p.groupBySpeed()
	least, most := utilization(s.Workers, false)
	p.plan.Load.Utilization = most
	p.underused = most < busyShare || (s.NoRecentArrivals && least < busyShare) || mostlyIdle(s.Workers)
	p.plan.Load.Underused = p.underused
	p.plan.Load.ReservedRacks = p.reserveRacks()
	return p
}

// busyShare is the share of the accelerators or processors in use from which on work is held back
// for a better place. It lies above starvationShare, below which holding work back for seconds
// counts as starvation.
const busyShare = 0.6

// utilization returns the shares of the accelerators and of the processors in use, as the smaller
// and the larger of the two. Closed workers count: while a data centre is unreachable the other
// workers are fuller, but most capacity is still free, and work that is held back for a better
// place may wait for it in vain. Both shares are returned because work that needs many processors
// and few accelerators fills the former and leaves the latter free.
//
// Evacuated workers count only on request: while operators evacuate a third of the pool, work can
// only wait for the rest.
func utilization(workers []Worker, countEvacuated bool) (least, most float64) {
	var capacity, free workload.Resources
	for i := range workers {
		if workers[i].Evacuated && !countEvacuated {
			continue
		}
		capacity = capacity.Add(workers[i].Capacity)
		free = free.Add(workers[i].Free)
	}
	accelerators := usedShare(capacity.Accelerators-free.Accelerators, capacity.Accelerators)
	cpu := usedShare(capacity.MilliCPU-free.MilliCPU, capacity.MilliCPU)
	return min(accelerators, cpu), max(accelerators, cpu)
}

// starvationShare is the share of all capacity in use, evacuated workers included, below which a
// job that waits for seconds counts as starved.
const starvationShare = 0.5

// mostlyIdle reports whether so little of all capacity is in use that no unit may wait for long,
// even if the part of the pool that is not evacuated is busy.
func mostlyIdle(workers []Worker) bool {
	_, most := utilization(workers, true)
	return most < starvationShare
}

func usedShare(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// maxUnderusedWait is the longest time that a unit waits for a better place while most capacity is
// free.
const maxUnderusedWait = time.Second

// canWait reports whether the unit may wait for a better place. It may not for long while there is
// free capacity elsewhere, and guaranteed work has to start in time.
func (p *planner) canWait(u *Unit) bool {
	waited := p.snapshot.Now.Sub(u.ReadySince)
	if p.underused && waited > maxUnderusedWait {
		return false
	}
	return !u.Guaranteed || waited <= p.maxGuaranteedWait()
}

// maxGuaranteedWait is how long guaranteed work may wait for a better place so that enough time is
// left to preempt others anywhere.
func (p *planner) maxGuaranteedWait() time.Duration {
	return p.snapshot.ReclaimWithin - p.snapshot.StopTimeout - 2*stopOverhead
}

// isInTime reports whether the unit still ends within its objective if it starts later.
func (p *planner) isInTime(u *Unit) bool { return p.snapshot.Now.Before(u.LatestStart) }

// waitsForLocality reports whether the unit waits for a place near its data or in one rack instead
// of starting remotely at once. After its latest start it waits for as long as a remote start
// would cost it, so that it loses at most twice the unavoidable time.
func (p *planner) waitsForLocality(u *Unit) bool {
	if p.snapshot.Disabled[WaitForLocality] {
		return false
	}
	cost := time.Duration(max(0, p.snapshot.RemoteFactor-1) * float64(u.RunTime))
	return p.canWait(u) && p.snapshot.Now.Before(u.LatestStart.Add(cost))
}

// place plans a unit and returns how many of its tasks start or have capacity reserved.
func (p *planner) place(i int) (tasks int) {
	u := &p.snapshot.Waiting[i]
	p.skipsReserved = p.avoidsReserved(u)
	p.allocated = 0
	switch {
	case u.Departing:
		p.reserveGang(u, freeingCapacity)
	case u.Step.Gang:
		p.placeGang(i, u)
	default:
		p.placeSingles(i, u)
	}
	return p.allocated
}

// allocate takes capacity for a task. Free capacity becomes negative where the task waits for
// capacity that is still being freed, which keeps other units off.
func (w *workerState) allocate(need workload.Resources) { w.free = w.free.Sub(need) }

func (p *planner) assign(unit, index int, w *workerState, remote bool) {
	p.plan.Starts = append(p.plan.Starts, Assignment{Unit: unit, Index: index, Worker: w.ID, Remote: remote})
	w.recordStart(&p.snapshot.Waiting[unit])
	p.allocated++
}

func (p *planner) deferUnit(unit int, reason Reason) {
	p.plan.Deferred = append(p.plan.Deferred, DeferredUnit{Unit: unit, Reason: reason})
}
