// Package decide chooses which waiting units start on which workers, and which
// running ones make room for them. Plan is a pure function of its Snapshot: it
// knows no clock, does no I/O and keeps nothing between calls.
//
// Units pass in an order (order.go). Each is tried on free capacity, then on
// capacity that is being freed, and, where it may preempt, on capacity that
// victims hold (preempt.go). A unit that waits for capacity keeps it from the
// units behind it.
package decide

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// Worker is one that may be given tasks.
type Worker struct {
	ID   string
	Rack string
	// Service is the pool that the worker belongs to.
	Service string
	// Labels are what the worker carries.
	Labels map[string]bool
	// Free is what nothing holds.
	Free workload.Resources
	// Coming is held by tasks that have been told to stop.
	Coming workload.Resources
	// Firm is the number of accelerators held by work behind the first priority
	// whose stop would throw it away.
	Firm int64
	// Capacity is what the worker has when it is empty.
	Capacity workload.Resources
	// Speed is the worker's as a factor of the average; 0 is not known.
	Speed float64
	// Closed workers get nothing new: draining, silent or distrusted.
	Closed bool
	// Watched is the job whose suspect has just begun there; nothing of others comes beside
	// it. "" is none.
	Watched workload.JobID
	// Unsettled tells that something there has just begun.
	Unsettled bool
	// Occupant is the only job of which something is there; "" is none, or several.
	Occupant workload.JobID
	// Shared tells that there is something of several jobs.
	Shared bool
	// Removed workers are closed until operators say otherwise: their room is not part
	// of the pool, where that of other closed workers is expected back.
	Removed bool
}

// UnitKey names a step of an occurrence of a job.
type UnitKey struct {
	Job  workload.JobID
	K    int
	Step int
}

// Unit is what waits: a whole gang, or the tasks of a step that may start one
// by one.
type Unit struct {
	Key  UnitKey
	Step *workload.Step
	// Service is the pool whose workers run the queue's tasks.
	Service string
	// Indexes are the tasks that are to start.
	Indexes []int
	// Beside counts the step's tasks that are on each worker already.
	Beside map[string]int
	// Avoid are workers on which the unit's tasks have failed.
	Avoid map[string]bool
	// Suspect tells that a worker has crashed under the unit's tasks.
	Suspect bool
	// Alone tells that the unit goes only where nothing of other jobs is.
	Alone bool
	// Priority is the queue's; lower goes first.
	Priority int
	// Guaranteed units are within their account's guarantee.
	Guaranteed bool
	// Since is when the unit could first start.
	Since time.Time
	// LatestStart is when it has to start to end within its objective.
	LatestStart time.Time
	// Worthless is when a start no longer earns anything.
	Worthless time.Time
	// Run is its expected run time.
	Run time.Duration
	// Allowed bounds the workers to those that may run it; nil allows all.
	Allowed map[string]bool
}

// Group is what runs: a gang's run or one task.
type Group struct {
	Key   UnitKey
	Index int
	// Held is what the group holds, worker by worker; each stands there once.
	Held []Holding
	// Priority is its queue's.
	Priority int
	// Guaranteed groups are within their account's guarantee.
	Guaranteed bool
	// Lost is the work that a stop would throw away, in core-seconds.
	Lost float64
	// Left is the time until it is expected to end; 0 is unknown.
	Left time.Duration
	// Stopping groups have been told to stop.
	Stopping bool
	// Fixed groups are never stopped for others.
	Fixed bool
}

// Holding is what a group holds on one worker.
type Holding struct {
	Worker string
	workload.Resources
}

// Add takes more of a worker into account.
func (g *Group) Add(worker string, more workload.Resources) {
	for i := range g.Held {
		if g.Held[i].Worker == worker {
			g.Held[i].Resources = g.Held[i].Resources.Add(more)
			return
		}
	}
	g.Held = append(g.Held, Holding{worker, more})
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Waiting []Unit
	Running []Group
	// Headroom is the number of accelerators that the first priority is expected
	// to need at once.
	Headroom int64
	// Quiet tells that nothing new has come for long. What is held back for what may
	// come is then held back for nothing.
	Quiet bool
	// Hurried is the share of the first priority's units that have less time to
	// start than a stop takes.
	Hurried float64
	// ReclaimWithin is the time in which guaranteed work has to begin.
	ReclaimWithin time.Duration
	// StopTimeout is the longest that a stop takes.
	StopTimeout time.Duration
	// FarFactor is how many times as long a task takes away from its data, or in
	// a gang that spans racks against its wish; 0 is as long.
	FarFactor float64
	// Without are mechanisms that are switched off.
	Without Without
}

// Assignment starts a task on a worker.
type Assignment struct {
	Unit   int
	Index  int
	Worker string
	// Far tells that the task runs away from its data or its gang's rack.
	Far bool
}

// Reason is why a unit does not start now; a stable code.
type Reason string

// The reasons for which a unit waits.
const (
	NoRoom       Reason = "no-room"
	NoRack       Reason = "no-rack"
	WaitsForStop Reason = "waits-for-stop"
	NoWorker     Reason = "no-worker"
	// WaitsForAdvice: it is not known yet which workers the queue's policy allows.
	WaitsForAdvice Reason = "waits-for-advice"
	// PoolUnsettled: several workers have crashed under the unit, and many without it just now.
	PoolUnsettled Reason = "pool-unsettled"
)

// Held is a unit that waits.
type Held struct {
	Unit   int
	Reason Reason
}

// Plan is the decision.
type Plan struct {
	Starts []Assignment
	// Stops are indexes of Running.
	Stops []int
	Held  []Held
	Load  Load
}

// Load is what the pool looked like to the plan.
type Load struct {
	// Used is the share of all accelerators or processors that is in use, whichever
	// is more, closed workers counted.
	Used float64
	// Idle tells that nothing is held back for a better place for long.
	Idle bool
	// Kept is the number of racks that are kept clear, Closed that of workers that
	// get nothing new.
	Kept, Closed int
}

// Make decides.
func Make(s *Snapshot) Plan {
	p := newPlanner(s)
	for _, i := range order(s) {
		p.place(i)
	}
	return p.plan
}

type planner struct {
	s        *Snapshot
	plan     Plan
	workers  []*slot
	racks    map[string][]*slot
	rackList []string
	// paced are the workers, and those of each rack, by pace.
	paced      map[pace][]*slot
	pacedRacks map[pace]map[string][]*slot
	// idle tells that most room is free.
	idle    bool
	stopped map[int]bool
	// keptOff tells that kept racks are closed to the unit that is placed.
	keptOff bool
	// free and coming bound what is free and what is being freed, empty what an
	// empty pool has.
	free, coming, empty bounds
	// holders is made when the first unit looks for room to free.
	holders *holders
}

// slot is a worker with what is left of it in this plan.
type slot struct {
	*Worker
	// index is the slot's place among the planner's workers.
	index  int
	free   workload.Resources
	coming workload.Resources
	// These are the worker's, with what this plan begins there.
	watched, occupant workload.JobID
	unsettled, shared bool
	// kept tells that its rack is for the first priority, and for work that can be
	// taken back without loss.
	kept bool
	// site is what the search under way has of the worker; nil if it has nothing.
	site *site
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{s: s, racks: map[string][]*slot{}, stopped: map[int]bool{}, free: bounds{}, coming: bounds{}, empty: bounds{}}
	slots := make([]slot, len(s.Workers))
	p.workers = make([]*slot, 0, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Closed {
			p.plan.Load.Closed++
			continue
		}
		one := &slots[i]
		*one = slot{Worker: w, index: len(p.workers), free: w.Free, coming: w.Coming, watched: w.Watched, unsettled: w.Unsettled, occupant: w.Occupant, shared: w.Shared}
		p.workers = append(p.workers, one)
		if len(p.racks[w.Rack]) == 0 && w.Rack != "" {
			// Workers whose rack is not known are not in one.
			p.rackList = append(p.rackList, w.Rack)
		}
		p.racks[w.Rack] = append(p.racks[w.Rack], one)
	}
	p.sortByPace()
	least, most := used(s.Workers, false)
	p.plan.Load.Used = most
	p.idle = most < busyShare || (s.Quiet && least < busyShare) || mostlyForgotten(s.Workers)
	p.plan.Load.Idle = p.idle
	p.plan.Load.Kept = p.keepRacks()
	return p
}

// busyShare is the share of the accelerators or processors in use from which on
// work is held back for a better place. It lies above the half at which holding
// back for seconds counts as forgetting.
const busyShare = 0.6

// used is the share of all workers' room that is in use. Those that are closed
// count: while a data centre is cut off the others are fuller, but most room is
// free all the same, and what is held back for a better place may wait for it in
// vain. Work that needs many processors and few accelerators leaves the one full
// and the other free: least and most tell both.
//
// Removed workers count only where that is asked for: while operators evacuate a third
// of the pool, the rest is what work can wait for.
func used(workers []Worker, removed bool) (least, most float64) {
	var have, free workload.Resources
	for i := range workers {
		if workers[i].Removed && !removed {
			continue
		}
		have = have.Add(workers[i].Capacity)
		free = free.Add(workers[i].Free)
	}
	a := share(have.Accelerators-free.Accelerators, have.Accelerators)
	b := share(have.MilliCPU-free.MilliCPU, have.MilliCPU)
	return min(a, b), max(a, b)
}

// forgottenShare is the share of all room in use, removed workers counted, below which
// a job that waits for seconds counts as forgotten.
const forgottenShare = 0.5

// mostlyForgotten tells whether so little of all room is in use that nothing may wait
// long, although what is left of the pool may be busy.
func mostlyForgotten(workers []Worker) bool {
	_, most := used(workers, true)
	return most < forgottenShare
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// idleWait is the longest that a unit waits for a better place while most room
// is free.
const idleWait = time.Second

// mayWait tells whether the unit may wait for a better place: while there is
// room elsewhere it does not for long, and guaranteed work has to begin.
func (p *planner) mayWait(u *Unit) bool {
	waited := p.s.Now.Sub(u.Since)
	if p.idle && waited > idleWait {
		return false
	}
	return !u.Guaranteed || waited <= p.guaranteedWait()
}

// guaranteedWait is how long guaranteed work may wait for a better place: what
// is left then is enough to stop others anywhere.
func (p *planner) guaranteedWait() time.Duration {
	return p.s.ReclaimWithin - p.s.StopTimeout - 2*stopMargin
}

// inTime tells whether the unit still ends within its objective if it starts
// later.
func (p *planner) inTime(u *Unit) bool { return p.s.Now.Before(u.LatestStart) }

// waitsNear tells whether the unit waits for a place near its data, or in one
// rack, rather than start far from it at once. Beyond its time it waits for as
// long as a start far away would cost it: then it has lost at most twice what
// it had to.
func (p *planner) waitsNear(u *Unit) bool {
	if p.s.Without[WaitNear] {
		return false
	}
	cost := time.Duration(max(0, p.s.FarFactor-1) * float64(u.Run))
	return p.mayWait(u) && p.s.Now.Before(u.LatestStart.Add(cost))
}

func (p *planner) place(i int) {
	u := &p.s.Waiting[i]
	p.keptOff = p.keepsOff(u)
	if u.Step.Gang {
		p.placeGang(i, u)
		return
	}
	p.placeSingles(i, u)
}

// take holds room for a task; it may leave free below zero where the room is
// still coming, which keeps others off.
func (w *slot) take(need workload.Resources) { w.free = w.free.Sub(need) }

func (p *planner) start(unit, index int, w *slot, far bool) {
	p.plan.Starts = append(p.plan.Starts, Assignment{Unit: unit, Index: index, Worker: w.ID, Far: far})
	w.begins(&p.s.Waiting[unit])
}

func (p *planner) hold(unit int, reason Reason) {
	p.plan.Held = append(p.plan.Held, Held{Unit: unit, Reason: reason})
}
