package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/seeded"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var (
	now             = time.Unix(1_000_000, 0)
	idempotentClass = domain.Class{Kind: domain.JobClass, Idempotent: true}
	urgentClass     = domain.Class{Kind: domain.JobClass, Idempotent: true, Urgent: true, Priority: 9}
	pinnedClass     = domain.Class{Kind: domain.JobClass}
	wholeRack       = domain.Shape{Tasks: 4, PerTask: domain.Resources{Accelerators: 8}, Adjacency: domain.SameRack}
)

func fleet(racks, perRack int) []domain.Worker {
	var out []domain.Worker
	for r := range racks {
		for i := range perRack {
			out = append(out, domain.Worker{
				ID: domain.WorkerID(fmt.Sprintf("r%d-w%d", r, i)), DataCentre: "dc", Rack: domain.RackID(fmt.Sprint("r", r)), Row: r,
				Capacity: domain.Resources{Accelerators: 8},
			})
		}
	}
	return out
}

func accountWithGuarantees(shapes ...domain.Shape) domain.ClientAccount {
	account := domain.ClientAccount{Weight: 1}
	for _, s := range shapes {
		account.Guarantees = append(account.Guarantees, domain.Guarantee{DataCentre: "dc", Shape: s, Count: 1})
	}
	return account
}

func waitingJob(id string, account domain.AccountID, class domain.Class, shape domain.Shape, age time.Duration) WaitingJob {
	job := domain.Job{ID: domain.JobID(id), Account: account, Shape: shape, Submitted: now.Add(-age)}
	return WaitingJob{Job: job, Class: class, Since: job.Submitted, Expected: time.Hour}
}

func gangOf(w WaitingJob, p domain.Placement, guaranteed bool) Gang {
	return Gang{Job: w.Job, Class: w.Class, Placement: p, Guaranteed: guaranteed, Started: now, LastCheckpoint: now, Remaining: w.Expected}
}

// Guards against an urgent borrower and a guaranteed gang preempting each other in turns:
// each preemption freed capacity that the borrower, being urgent, took back first. The
// demo with faults did this for half a minute.
func TestReclaimedCapacityIsNotBorrowedAgain(t *testing.T) {
	s := Snapshot{
		Now: now, DataCentre: "dc", Workers: fleet(1, 4),
		Accounts: map[domain.AccountID]domain.ClientAccount{"a": accountWithGuarantees(wholeRack), "b": {Weight: 1}},
	}
	borrower := waitingJob("borrower", "b", urgentClass, wholeRack, time.Minute)
	owner := waitingJob("owner", "a", idempotentClass, wholeRack, time.Second)
	s.Waiting = []WaitingJob{borrower}
	first := MakePlan(s, DefaultPolicy())
	if len(first.Starts) != 1 {
		t.Fatalf("the borrower does not start on an empty fleet: %+v", first.Held)
	}
	s.Gangs = []Gang{gangOf(borrower, first.Starts[0].Placement, false)}
	s.Waiting = []WaitingJob{owner}
	s.Binding = first.Binding
	second := MakePlan(s, DefaultPolicy())
	if len(second.Preemptions) != 1 {
		t.Fatalf("the owner does not reclaim its cell; held: %+v", second.Held)
	}
	s.Gangs = nil
	s.Waiting = []WaitingJob{borrower, owner}
	third := MakePlan(s, DefaultPolicy())
	if len(third.Starts) != 1 || third.Starts[0].Job != "owner" {
		t.Fatalf("started after the borrower has stopped: %+v, want the owner only", third.Starts)
	}
}

// model applies plans to a fleet and ends gangs at random.
type model struct {
	snapshot Snapshot
	policy   Policy
	serial   int
}

func newModel(t *rapid.T) *model {
	shapes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) domain.Shape {
		return domain.Shape{
			Tasks:     rapid.IntRange(1, 3).Draw(t, "tasks"),
			PerTask:   domain.Resources{Accelerators: rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "accelerators")},
			Adjacency: rapid.SampledFrom([]domain.Adjacency{domain.SameRack, domain.NeighbouringRacks, domain.Anywhere}).Draw(t, "adjacency"),
		}
	}), 1, 4).Draw(t, "shapes")
	m := &model{policy: DefaultPolicy(), snapshot: Snapshot{
		Now: now, DataCentre: "dc", Workers: fleet(3, 4), Unschedulable: map[domain.WorkerID]bool{},
		Accounts: map[domain.AccountID]domain.ClientAccount{"a": accountWithGuarantees(shapes[0]), "b": accountWithGuarantees(shapes[1:]...), "c": {Weight: 1}},
	}}
	return m
}

func (m *model) submit(t *rapid.T) {
	m.serial++
	class := rapid.SampledFrom([]domain.Class{idempotentClass, urgentClass, pinnedClass}).Draw(t, "class")
	account := rapid.SampledFrom([]domain.AccountID{"a", "b", "c"}).Draw(t, "account")
	shape := domain.Shape{
		Tasks:     rapid.IntRange(1, 4).Draw(t, "tasks"),
		PerTask:   domain.Resources{Accelerators: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators")},
		Adjacency: rapid.SampledFrom([]domain.Adjacency{domain.SameWorker, domain.SameRack, domain.Anywhere}).Draw(t, "adjacency"),
	}
	w := waitingJob(fmt.Sprint("j", m.serial), account, class, shape, 0)
	w.Job.Submitted, w.Since = m.snapshot.Now, m.snapshot.Now
	m.snapshot.Waiting = append(m.snapshot.Waiting, w)
}

func (m *model) plan() Plan {
	plan := MakePlan(m.snapshot, m.policy)
	m.snapshot.Binding = plan.Binding
	m.snapshot.Reservations = plan.Reservations
	for _, p := range plan.Preemptions {
		for i := range m.snapshot.Gangs {
			if m.snapshot.Gangs[i].Job.ID == p.Job {
				m.snapshot.Gangs[i].Stopping = true
			}
		}
	}
	for _, start := range plan.Starts {
		for i, w := range m.snapshot.Waiting {
			if w.Job.ID == start.Job {
				m.snapshot.Gangs = append(m.snapshot.Gangs, gangOf(w, start.Placement, start.Guaranteed))
				m.snapshot.Waiting = append(m.snapshot.Waiting[:i], m.snapshot.Waiting[i+1:]...)
				break
			}
		}
	}
	m.snapshot.Now = m.snapshot.Now.Add(time.Second)
	return plan
}

// removeStopping removes the gangs that are stopping; their jobs wait again.
func (m *model) removeStopping() {
	var remaining []Gang
	for _, g := range m.snapshot.Gangs {
		if !g.Stopping {
			remaining = append(remaining, g)
			continue
		}
		m.snapshot.Waiting = append(m.snapshot.Waiting, WaitingJob{Job: g.Job, Class: g.Class, Since: g.Job.Submitted, Expected: time.Hour})
	}
	m.snapshot.Gangs = remaining
}

// checkInvariants checks that no worker holds more than its capacity, and that all unused
// cells lie on capacity that is free or held by preemptible borrowers.
func (m *model) checkInvariants(t *rapid.T) {
	used := placement.NewCluster(m.snapshot.Workers)
	for _, g := range m.snapshot.Gangs {
		used.Allocate(g.Placement, g.Job.Shape.PerTask)
	}
	for i := range used.Nodes {
		if used.Nodes[i].Free().HasNegative() {
			t.Fatalf("worker %s holds more than its capacity", used.Nodes[i].Worker.ID)
		}
	}
	cells := NewCluster(m.snapshot)
	for i := range m.snapshot.Gangs {
		g := &m.snapshot.Gangs[i]
		for _, a := range g.Placement {
			n := cells.Node(a.Worker)
			if !g.Guaranteed && !g.Class.Preemptible() {
				n.Pinned = n.Pinned.Add(g.Job.Shape.PerTask.Times(a.Tasks))
			}
		}
	}
	guarantee.Bind(cells, "dc", m.snapshot.Accounts, m.snapshot.Binding)
	if v := guarantee.Violations(cells); len(v) > 0 {
		t.Fatalf("the reclaim invariant is broken: %+v", v)
	}
}

// checkReclaim checks the guarantee itself: an account that uses none of its guarantee and
// submits its guaranteed shape has that job running after the borrowers that the plan
// preempts have stopped.
func (m *model) checkReclaim(t *rapid.T) {
	for account, declared := range m.snapshot.Accounts {
		for i, g := range declared.Guarantees {
			if m.isUnmet(account, g.Shape) || m.usesGuarantee(account) {
				continue
			}
			probe := *m
			probe.snapshot.Gangs = append([]Gang(nil), m.snapshot.Gangs...)
			id := fmt.Sprintf("probe-%s-%d", account, i)
			probe.snapshot.Waiting = []WaitingJob{waitingJob(id, account, idempotentClass, g.Shape, 0)}
			for range 3 {
				probe.plan()
				probe.removeStopping()
				// The account's other jobs could take the cell instead of the probe. That
				// is allowed and not what is checked here.
				probe.snapshot.Waiting = slices.DeleteFunc(probe.snapshot.Waiting, func(w WaitingJob) bool {
					return w.Job.Account == account && w.Job.ID != domain.JobID(id)
				})
			}
			if !probe.isRunning(domain.JobID(id)) {
				t.Fatalf("account %s can't reclaim %+v: held %+v", account, g.Shape, MakePlan(probe.snapshot, probe.policy).Held)
			}
		}
	}
}

func (m *model) usesGuarantee(account domain.AccountID) bool {
	for _, g := range m.snapshot.Gangs {
		if g.Job.Account == account && g.Guaranteed {
			return true
		}
	}
	return false
}

func (m *model) isUnmet(account domain.AccountID, shape domain.Shape) bool {
	for _, u := range m.snapshot.Binding.Unmet {
		if u.Account == account && u.Shape == shape {
			return true
		}
	}
	return false
}

func (m *model) isRunning(id domain.JobID) bool {
	for _, g := range m.snapshot.Gangs {
		if g.Job.ID == id && !g.Stopping {
			return true
		}
	}
	return false
}

// runModel checks the invariants of the guarantees over random jobs, ends and losses of
// workers. mutate, if given, breaks each step, for the tests of this property.
func runModel(t *rapid.T, mutate func(m *model)) {
	m := newModel(t)
	m.plan()
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if mutate != nil {
				mutate(m)
			}
			m.checkInvariants(t)
			m.checkReclaim(t)
		},
		"submit": m.submit, "submit again": m.submit,
		"plan":    func(*rapid.T) { m.plan() },
		"stopped": func(*rapid.T) { m.removeStopping() },
		"end": func(t *rapid.T) {
			if len(m.snapshot.Gangs) == 0 {
				t.Skip("nothing runs")
			}
			i := rapid.IntRange(0, len(m.snapshot.Gangs)-1).Draw(t, "gang")
			m.snapshot.Gangs = append(m.snapshot.Gangs[:i:i], m.snapshot.Gangs[i+1:]...)
		},
		"lose or regain a worker": func(t *rapid.T) {
			id := rapid.SampledFrom(m.snapshot.Workers).Draw(t, "worker").ID
			m.snapshot.Unschedulable[id] = !m.snapshot.Unschedulable[id]
			if m.snapshot.Unschedulable[id] {
				m.loseWorker(id)
			} else {
				delete(m.snapshot.Unschedulable, id)
			}
			m.plan()
		},
	})
}

// loseWorker ends every gang with a member on the worker.
func (m *model) loseWorker(id domain.WorkerID) {
	var remaining []Gang
	for _, g := range m.snapshot.Gangs {
		hit := false
		for _, a := range g.Placement {
			hit = hit || a.Worker == id
		}
		if !hit {
			remaining = append(remaining, g)
		}
	}
	m.snapshot.Gangs = remaining
}

func TestGuaranteesCanAlwaysBeReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, nil) })
}

func TestReclaimPropertyCatchesMutants(t *testing.T) {
	mutants := map[string]func(*model){
		"guarantees are ignored": func(m *model) { m.policy.Guarantees = false },
		"borrowers that can't be preempted may use cells": func(m *model) {
			for i := range m.snapshot.Gangs {
				if !m.snapshot.Gangs[i].Guaranteed {
					m.snapshot.Gangs[i].Class = pinnedClass
				}
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			if !seeded.FailsForAnySeed(t, func(t *rapid.T) { runModel(t, mutate) }) {
				t.Fatal("the property does not detect this mutant")
			}
		})
	}
}

// Guards against jobs that preempt each other in turns for ever: if nothing new is
// submitted, every job that can run at all ends. In the demo with faults two borrowers and
// an urgent gang did not. A gang needs three undisturbed rounds; a preempted one restarts.
func TestEveryJobEndsWithoutNewArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.policy.StarveAfter = 30 * time.Second
		m.policy.ConsolidateAfter = 10 * time.Second
		for range rapid.IntRange(2, 12).Draw(t, "jobs") {
			m.submit(t)
		}
		for i := range m.snapshot.Waiting {
			if rapid.Bool().Draw(t, "has failed somewhere") {
				m.snapshot.Waiting[i].Avoid = []domain.WorkerID{rapid.SampledFrom(m.snapshot.Workers).Draw(t, "on").ID}
			}
			m.snapshot.Waiting[i].Expected = time.Duration(rapid.SampledFrom([]int{1, 600, 4000}).Draw(t, "expected")) * time.Second
		}
		for range rapid.IntRange(0, 5).Draw(t, "lost workers") {
			m.snapshot.Unschedulable[rapid.SampledFrom(m.snapshot.Workers).Draw(t, "lost").ID] = true
		}
		avoid := map[domain.JobID][]domain.WorkerID{}
		for _, w := range m.snapshot.Waiting {
			avoid[w.Job.ID] = w.Avoid
		}
		total := len(m.snapshot.Waiting)
		ran := map[domain.JobID]int{}
		for round := 0; len(m.snapshot.Gangs)+len(m.snapshot.Waiting) > 0; round++ {
			plan := m.plan()
			if stuck := len(m.snapshot.Gangs) == 0 && countNeverRunnable(plan) == len(m.snapshot.Waiting); stuck {
				return // the remaining jobs can't run on these workers outside the guarantees
			}
			if round > 100+20*total {
				t.Fatalf("%d of %d jobs have not ended: running %v, held %+v", len(m.snapshot.Gangs)+len(m.snapshot.Waiting), total, jobIDs(m.snapshot.Gangs), plan.Held)
			}
			m.advance(ran)
			for i := range m.snapshot.Waiting {
				m.snapshot.Waiting[i].Avoid = avoid[m.snapshot.Waiting[i].Job.ID]
			}
		}
	})
}

func countNeverRunnable(p Plan) int {
	n := 0
	for _, held := range p.Held {
		if held.Reason == HeldNeverRunnable {
			n++
		}
	}
	return n
}

func jobIDs(gangs []Gang) []domain.JobID {
	var out []domain.JobID
	for _, g := range gangs {
		out = append(out, g.Job.ID)
	}
	return out
}

// advance plays one round: gangs that were stopping are removed, and those that have run
// for three rounds end.
func (m *model) advance(ran map[domain.JobID]int) {
	for _, g := range m.snapshot.Gangs {
		if g.Stopping {
			ran[g.Job.ID] = 0
		}
	}
	m.removeStopping()
	var remaining []Gang
	for _, g := range m.snapshot.Gangs {
		if ran[g.Job.ID]++; ran[g.Job.ID] < 3 {
			remaining = append(remaining, g)
		}
	}
	m.snapshot.Gangs = remaining
	m.snapshot.Now = m.snapshot.Now.Add(5 * time.Second)
}
