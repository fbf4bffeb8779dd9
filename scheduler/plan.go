package scheduler

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
	"github.com/cobalttide/cobalttide/scheduler/quota"
)

// decision is the result of a filter for a waiting job.
type decision int

const (
	pass decision = iota // the next filter decides
	done                 // started, or a place is allocated to it
	wait                 // waits; the filter has recorded the reason
)

// filter is one step of the filter chain.
type filter func(c *cycle, w *WaitingJob) decision

// claimFilters are applied to every job first: guarantees are settled before any job
// borrows, so that a place for which borrowers were preempted can't be borrowed again.
// spareFilters are applied after that, to the jobs that are still undecided.
var (
	claimFilters = []filter{checkFeasible, checkTeamCeiling, claimCells}
	spareFilters = []filter{placeOutsideCells, placeInCells, checkAccountCeiling, borrow, preemptForUrgent, consolidate, preemptForStarved}
)

// cycle is the state of one scheduling cycle, which is one call of MakePlan.
type cycle struct {
	Snapshot
	policy  Policy
	cluster *placement.Cluster
	usage   *quota.Usage
	finder  placement.Finder
	gangs   []Gang
	// preemptibleOn lists for each worker the indices in gangs of its preemptible gangs.
	preemptibleOn map[domain.WorkerID][]int
	reserved      map[domain.JobID]Reservation
	failures      map[searchKey]searchFailure
	// candidates are the jobs that may hold a reservation; nil if every job may.
	candidates map[domain.JobID]bool
	// avoidsFailed are the jobs that avoid the workers on which they have failed.
	avoidsFailed map[domain.JobID]bool
	// hasUrgentOrLarge is set if urgent or large jobs are waiting.
	hasUrgentOrLarge bool
	plan             Plan
}

// MakePlan decides which jobs start now and which gangs are preempted.
func MakePlan(s Snapshot, policy Policy) Plan {
	c := newCycle(s, policy)
	var undecided []*WaitingJob
	for _, w := range c.order() {
		if c.applyFilters(w, claimFilters) == pass {
			undecided = append(undecided, w)
		}
	}
	c.prioritizeLarge(undecided)
	for _, w := range undecided {
		d := c.applyFilters(w, spareFilters)
		if d == pass {
			c.addHeld(w, HeldReserved, w.Job.Shape.Tasks, 0)
		}
		if d != done && policy.NoBackfill {
			break
		}
	}
	return c.plan
}

// prioritizeLarge moves the jobs that hold a reservation, or are the next to get one,
// behind the urgent jobs and before all others, so that the capacity that they wait for is
// assigned before it is borrowed. Starved jobs go first among them.
func (c *cycle) prioritizeLarge(jobs []*WaitingJob) {
	if c.policy.FIFO {
		return
	}
	c.chooseCandidates(jobs)
	rank := func(w *WaitingJob) int {
		switch {
		case w.Class.Urgent:
			return 0
		case c.isStarved(w):
			return 1
		case c.candidates[w.Job.ID]:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(jobs, func(a, b *WaitingJob) int { return rank(a) - rank(b) })
}

func (c *cycle) maxReservations() int {
	if c.policy.RacksPerReservation == 0 {
		return 0
	}
	return max(1, len(c.cluster.Racks)/c.policy.RacksPerReservation)
}

// chooseCandidates assigns the free reservations to the oldest large jobs.
func (c *cycle) chooseCandidates(jobs []*WaitingJob) {
	c.candidates = map[domain.JobID]bool{}
	for id := range c.reserved {
		c.candidates[id] = true
	}
	var large []*WaitingJob
	for _, w := range jobs {
		if c.isLarge(w) && !c.candidates[w.Job.ID] {
			large = append(large, w)
		}
	}
	slices.SortStableFunc(large, compareSubmission)
	for _, w := range large {
		if len(c.candidates) >= c.maxReservations() {
			return
		}
		c.candidates[w.Job.ID] = true
	}
}

// isLarge reports whether a job needs more than one worker, or has waited longer than
// Policy.StarveAfter and is treated like one that does.
func (c *cycle) isLarge(w *WaitingJob) bool {
	if c.policy.StarveAfter > 0 && c.Now.Sub(w.Since) > c.policy.StarveAfter {
		return true
	}
	return w.Job.Shape.Tasks > 1 && w.Job.Shape.Adjacency != domain.SameWorker
}

func (c *cycle) isStarved(w *WaitingJob) bool {
	_, reserved := c.reserved[w.Job.ID]
	return reserved && c.policy.StarveAfter > 0 && c.Now.Sub(w.Since) > c.policy.StarveAfter
}

func (c *cycle) applyFilters(w *WaitingJob, filters []filter) decision {
	for _, f := range filters {
		if v := f(c, w); v != pass {
			return v
		}
	}
	return pass
}

func newCycle(s Snapshot, policy Policy) *cycle {
	c := &cycle{
		Snapshot:      s,
		policy:        policy,
		cluster:       NewCluster(s),
		gangs:         append([]Gang(nil), s.Gangs...),
		preemptibleOn: map[domain.WorkerID][]int{},
		reserved:      map[domain.JobID]Reservation{},
		failures:      map[searchKey]searchFailure{},
		avoidsFailed:  map[domain.JobID]bool{},
	}
	c.usage = quota.NewUsage(c.cluster.Capacity())
	for i := range c.gangs {
		c.addGang(i)
	}
	if policy.Guarantees {
		c.plan.Binding = BindCells(c.cluster, s)
	}
	c.restoreReservations()
	for i := range c.Waiting {
		w := &c.Waiting[i]
		c.hasUrgentOrLarge = c.hasUrgentOrLarge || w.Class.Urgent || c.isLarge(w)
	}
	return c
}

// NewCluster returns an empty cluster of the snapshot's workers.
func NewCluster(s Snapshot) *placement.Cluster {
	cluster := placement.NewCluster(s.Workers)
	for id := range s.Unschedulable {
		if n := cluster.Node(id); n != nil {
			n.Schedulable = false
		}
	}
	return cluster
}

// addGang adds a gang to the usage and to what its workers hold.
func (c *cycle) addGang(i int) {
	g := &c.gangs[i]
	c.usage.Add(g.Job, g.Guaranteed)
	for _, a := range g.Placement {
		n := c.cluster.Node(a.Worker)
		if n == nil {
			continue
		}
		amount := g.Job.Shape.PerTask.Times(a.Tasks)
		n.Used = n.Used.Add(amount)
		switch {
		case g.Stopping:
			n.Stopping = n.Stopping.Add(amount)
		case g.isPreemptible():
			c.preemptibleOn[a.Worker] = append(c.preemptibleOn[a.Worker], i)
		case !g.Guaranteed:
			n.Pinned = n.Pinned.Add(amount)
		}
	}
}

// BindCells binds the guarantees to the capacity that is not pinned. Guaranteed gangs are
// assigned to their account's cells; what exceeds them, because the guarantee has changed
// while they run, is pinned.
func BindCells(cluster *placement.Cluster, s Snapshot) guarantee.Binding {
	binder := guarantee.NewBinder(cluster, s.DataCentre, s.Accounts)
	binder.Keep(s.Binding, cellsInUse(s))
	for i := range s.Gangs {
		g := &s.Gangs[i]
		if !g.Guaranteed || g.Stopping {
			continue
		}
		for _, a := range g.Placement {
			if n := cluster.Node(a.Worker); n != nil {
				n.Pinned = n.Pinned.Add(n.UseCell(g.Job.Account, g.Job.Shape.PerTask.Times(a.Tasks)))
			}
		}
	}
	return binder.Finish()
}

// cellsInUse returns a function that reports whether a cell must stay where it is: because
// a guaranteed gang of its account runs on it, or because its account has waiting jobs,
// for which borrowers may be stopping.
func cellsInUse(s Snapshot) func(guarantee.Cell) bool {
	type accountOnWorker struct {
		account domain.AccountID
		worker  domain.WorkerID
	}
	used := map[accountOnWorker]bool{}
	hasWaiting := map[domain.AccountID]bool{}
	for i := range s.Waiting {
		hasWaiting[s.Waiting[i].Job.Account] = true
	}
	for i := range s.Gangs {
		g := &s.Gangs[i]
		if !g.Guaranteed || g.Stopping {
			continue
		}
		for _, a := range g.Placement {
			used[accountOnWorker{g.Job.Account, a.Worker}] = true
		}
	}
	return func(cell guarantee.Cell) bool {
		if hasWaiting[cell.Account] {
			return true
		}
		for _, a := range cell.Placement {
			if used[accountOnWorker{cell.Account, a.Worker}] {
				return true
			}
		}
		return false
	}
}

// restoreReservations drops the reservations of jobs that no longer wait and marks the
// workers of the others.
func (c *cycle) restoreReservations() {
	waiting := make(map[domain.JobID]bool, len(c.Waiting))
	for i := range c.Waiting {
		waiting[c.Waiting[i].Job.ID] = true
	}
	for _, r := range c.Reservations {
		if waiting[r.Job] && len(c.reserved) < c.maxReservations() {
			c.markReserved(r)
		}
	}
}

func (c *cycle) markReserved(r Reservation) {
	c.reserved[r.Job] = r
	for _, id := range r.Workers {
		if n := c.cluster.Node(id); n != nil {
			n.ReservedFor = r.Job
			n.ReservedUntil = r.Start
		}
	}
}

func (c *cycle) dropReservation(job domain.JobID) {
	for _, id := range c.reserved[job].Workers {
		if n := c.cluster.Node(id); n != nil && n.ReservedFor == job {
			n.ReservedFor = ""
			n.ReservedUntil = time.Time{}
		}
	}
	delete(c.reserved, job)
}

// start allocates the placement and adds the start to the plan.
func (c *cycle) start(w *WaitingJob, p domain.Placement, guaranteed bool) {
	c.dropReservation(w.Job.ID)
	c.allocate(w, p, guaranteed)
	c.plan.Starts = append(c.plan.Starts, Start{Job: w.Job.ID, Placement: p, Guaranteed: guaranteed})
}

// allocate reserves the placement for the job within this plan.
func (c *cycle) allocate(w *WaitingJob, p domain.Placement, guaranteed bool) {
	c.usage.Add(w.Job, guaranteed)
	for _, a := range p {
		n := c.cluster.Node(a.Worker)
		amount := w.Job.Shape.PerTask.Times(a.Tasks)
		n.Used = n.Used.Add(amount)
		switch {
		case guaranteed:
			n.UseCell(w.Job.Account, amount)
		case !w.Class.Preemptible():
			n.Pinned = n.Pinned.Add(amount)
		}
	}
}

func (c *cycle) addHeld(w *WaitingJob, reason HeldReason, need, have int) {
	held := Held{Job: w.Job.ID, Reason: reason, Need: need, Have: have}
	if r, ok := c.reserved[w.Job.ID]; ok {
		held.StartBy = r.Start
	}
	c.plan.Held = append(c.plan.Held, held)
}
