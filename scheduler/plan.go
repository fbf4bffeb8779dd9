package scheduler

import (
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
	"github.com/cobalttide/cobalttide/scheduler/quota"
)

// verdict is what a filter says of a waiting job.
type verdict int

const (
	pass verdict = iota // the next filter decides
	done                // started, or its place is booked
	hold                // waits; the filter has noted why
)

// filter is one step of the pipe.
type filter func(c *cycle, w *Waiting) verdict

// claims are the filters that every job sees first: what an account is
// guaranteed is settled before anyone borrows, so that a place which borrowers
// were stopped for can't be borrowed again. spare are those that follow, once
// all claims are settled.
var (
	claims = []filter{feasible, teamCeiling, claimed}
	spare  = []filter{beside, guaranteed, accountCeiling, borrow, urgent, consolidate, starved}
)

// cycle is the state of one call of Plan.
type cycle struct {
	Snapshot
	policy  Policy
	cluster *placement.Cluster
	usage   *quota.Usage
	finder  placement.Finder
	gangs   []Gang
	// onNode lists the indices in gangs of the preemptible gangs of a worker.
	onNode   map[domain.WorkerID][]int
	reserved map[domain.JobID]Reservation
	failed   map[failedKey]placementFailure
	// candidates may hold a reservation; nil when every job may.
	candidates map[domain.JobID]bool
	// avoids are the jobs that keep off workers on which they have failed.
	avoids map[domain.JobID]bool
	// crowded is set while urgent or large jobs wait.
	crowded bool
	plan    Plan
}

// Make decides what starts now.
func Make(s Snapshot, policy Policy) Plan {
	c := newCycle(s, policy)
	var undecided []*Waiting
	for _, w := range c.order() {
		if c.consider(w, claims) == pass {
			undecided = append(undecided, w)
		}
	}
	c.largeFirst(undecided)
	for _, w := range undecided {
		v := c.consider(w, spare)
		if v == pass {
			c.holdBack(w, HeldReserved, w.Job.Shape.Tasks, 0)
		}
		if v != done && policy.NoBackfill {
			break
		}
	}
	return c.plan
}

// largeFirst moves jobs that hold a reservation, or are the next to get one,
// behind the urgent ones and before all others: what they wait for is decided
// before it is borrowed. Among them those that have waited past the bound go
// first.
func (c *cycle) largeFirst(jobs []*Waiting) {
	if c.policy.FIFO {
		return
	}
	c.chooseCandidates(jobs)
	rank := func(w *Waiting) int {
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
	slices.SortStableFunc(jobs, func(a, b *Waiting) int { return rank(a) - rank(b) })
}

func (c *cycle) maxReservations() int {
	if c.policy.RacksPerReservation == 0 {
		return 0
	}
	return max(1, len(c.cluster.Racks)/c.policy.RacksPerReservation)
}

// chooseCandidates gives the free reservations to the oldest large jobs.
func (c *cycle) chooseCandidates(jobs []*Waiting) {
	c.candidates = map[domain.JobID]bool{}
	for id := range c.reserved {
		c.candidates[id] = true
	}
	var large []*Waiting
	for _, w := range jobs {
		if c.isLarge(w) && !c.candidates[w.Job.ID] {
			large = append(large, w)
		}
	}
	slices.SortStableFunc(large, bySubmission)
	for _, w := range large {
		if len(c.candidates) >= c.maxReservations() {
			return
		}
		c.candidates[w.Job.ID] = true
	}
}

// isLarge tells whether a job needs more than one worker, or has waited so long
// that it is treated like one that does.
func (c *cycle) isLarge(w *Waiting) bool {
	if c.policy.StarveAfter > 0 && c.Now.Sub(w.Since) > c.policy.StarveAfter {
		return true
	}
	return w.Job.Shape.Tasks > 1 && w.Job.Shape.Adjacency != domain.SameWorker
}

func (c *cycle) isStarved(w *Waiting) bool {
	_, reserved := c.reserved[w.Job.ID]
	return reserved && c.policy.StarveAfter > 0 && c.Now.Sub(w.Since) > c.policy.StarveAfter
}

func (c *cycle) consider(w *Waiting, filters []filter) verdict {
	for _, f := range filters {
		if v := f(c, w); v != pass {
			return v
		}
	}
	return pass
}

func newCycle(s Snapshot, policy Policy) *cycle {
	c := &cycle{
		Snapshot: s,
		policy:   policy,
		cluster:  NewCluster(s),
		gangs:    append([]Gang(nil), s.Gangs...),
		onNode:   map[domain.WorkerID][]int{},
		reserved: map[domain.JobID]Reservation{},
		failed:   map[failedKey]placementFailure{},
		avoids:   map[domain.JobID]bool{},
	}
	c.usage = quota.NewUsage(c.cluster.Capacity())
	for i := range c.gangs {
		c.book(i)
	}
	if policy.Guarantees {
		c.plan.Binding = BindCells(c.cluster, s)
	}
	c.keepReservations()
	for i := range c.Waiting {
		w := &c.Waiting[i]
		c.crowded = c.crowded || w.Class.Urgent || c.isLarge(w)
	}
	return c
}

// NewCluster lays out the snapshot's workers with nothing on them.
func NewCluster(s Snapshot) *placement.Cluster {
	cluster := placement.NewCluster(s.Workers)
	for id := range s.Unschedulable {
		if n := cluster.Node(id); n != nil {
			n.Schedulable = false
		}
	}
	return cluster
}

// book enters a gang into usage and into what its workers hold.
func (c *cycle) book(i int) {
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
		case g.preemptible():
			c.onNode[a.Worker] = append(c.onNode[a.Worker], i)
		case !g.Guaranteed:
			n.Pinned = n.Pinned.Add(amount)
		}
	}
}

// BindCells binds the guarantees around what is pinned. Guaranteed gangs are
// booked into their account's cells; what exceeds them, because a guarantee has
// changed under them, is pinned.
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

// cellsInUse tells which cells must stay where they are: those with a gang of
// their account's guarantee on them, and those of accounts with jobs waiting,
// for which borrowers may be stopping right now.
func cellsInUse(s Snapshot) func(guarantee.Cell) bool {
	type place struct {
		account domain.AccountID
		worker  domain.WorkerID
	}
	used := map[place]bool{}
	claimed := map[domain.AccountID]bool{}
	for i := range s.Waiting {
		claimed[s.Waiting[i].Job.Account] = true
	}
	for i := range s.Gangs {
		g := &s.Gangs[i]
		if !g.Guaranteed || g.Stopping {
			continue
		}
		for _, a := range g.Placement {
			used[place{g.Job.Account, a.Worker}] = true
		}
	}
	return func(cell guarantee.Cell) bool {
		if claimed[cell.Account] {
			return true
		}
		for _, a := range cell.Placement {
			if used[place{cell.Account, a.Worker}] {
				return true
			}
		}
		return false
	}
}

// keepReservations drops reservations of jobs that no longer wait, and marks
// the workers of the others.
func (c *cycle) keepReservations() {
	waiting := make(map[domain.JobID]bool, len(c.Waiting))
	for i := range c.Waiting {
		waiting[c.Waiting[i].Job.ID] = true
	}
	for _, r := range c.Reservations {
		if waiting[r.Job] && len(c.reserved) < c.maxReservations() {
			c.mark(r)
		}
	}
}

func (c *cycle) mark(r Reservation) {
	c.reserved[r.Job] = r
	for _, id := range r.Workers {
		if n := c.cluster.Node(id); n != nil {
			n.ReservedFor = r.Job
			n.ReservedUntil = r.Start
		}
	}
}

func (c *cycle) unmark(job domain.JobID) {
	for _, id := range c.reserved[job].Workers {
		if n := c.cluster.Node(id); n != nil && n.ReservedFor == job {
			n.ReservedFor = ""
			n.ReservedUntil = time.Time{}
		}
	}
	delete(c.reserved, job)
}

// start books the job and notes it in the plan.
func (c *cycle) start(w *Waiting, p domain.Placement, guaranteed bool) {
	c.unmark(w.Job.ID)
	c.occupy(w, p, guaranteed)
	c.plan.Starts = append(c.plan.Starts, Start{Job: w.Job.ID, Placement: p, Guaranteed: guaranteed})
}

// occupy takes the place, so that no later job of this plan can.
func (c *cycle) occupy(w *Waiting, p domain.Placement, guaranteed bool) {
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

func (c *cycle) holdBack(w *Waiting, reason HeldReason, need, have int) {
	held := Held{Job: w.Job.ID, Reason: reason, Need: need, Have: have}
	if r, ok := c.reserved[w.Job.ID]; ok {
		held.StartBy = r.Start
	}
	c.plan.Held = append(c.plan.Held, held)
}
