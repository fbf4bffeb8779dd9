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
	now      = time.Unix(1_000_000, 0)
	again    = domain.Class{Kind: domain.JobClass, Idempotent: true}
	hurry    = domain.Class{Kind: domain.JobClass, Idempotent: true, Urgent: true, Priority: 9}
	pinned   = domain.Class{Kind: domain.JobClass}
	wholeRow = domain.Shape{Tasks: 4, PerTask: domain.Resources{Accelerators: 8}, Adjacency: domain.SameRack}
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

func guaranteeing(shapes ...domain.Shape) domain.ClientAccount {
	account := domain.ClientAccount{Weight: 1}
	for _, s := range shapes {
		account.Guarantees = append(account.Guarantees, domain.Guarantee{DataCentre: "dc", Shape: s, Count: 1})
	}
	return account
}

func waiting(id string, account domain.AccountID, class domain.Class, shape domain.Shape, age time.Duration) Waiting {
	job := domain.Job{ID: domain.JobID(id), Account: account, Shape: shape, Submitted: now.Add(-age)}
	return Waiting{Job: job, Class: class, Since: job.Submitted, Expected: time.Hour}
}

func gangOf(w Waiting, p domain.Placement, guaranteed bool) Gang {
	return Gang{Job: w.Job, Class: w.Class, Placement: p, Guaranteed: guaranteed, Started: now, Saved: now, Remaining: w.Expected}
}

// The demo with faults ran one urgent borrower and one guaranteed gang in turns
// for half a minute: each stop made room that the borrower, being urgent, took
// back first.
func TestPlaceThatWasReclaimedIsNotBorrowedAgain(t *testing.T) {
	s := Snapshot{
		Now: now, DataCentre: "dc", Workers: fleet(1, 4),
		Accounts: map[domain.AccountID]domain.ClientAccount{"a": guaranteeing(wholeRow), "b": {Weight: 1}},
	}
	borrower := waiting("borrower", "b", hurry, wholeRow, time.Minute)
	owner := waiting("owner", "a", again, wholeRow, time.Second)
	s.Waiting = []Waiting{borrower}
	first := Make(s, DefaultPolicy())
	if len(first.Starts) != 1 {
		t.Fatalf("the borrower does not start on an empty fleet: %+v", first.Held)
	}
	s.Gangs = []Gang{gangOf(borrower, first.Starts[0].Placement, false)}
	s.Waiting = []Waiting{owner}
	s.Binding = first.Binding
	second := Make(s, DefaultPolicy())
	if len(second.Preemptions) != 1 {
		t.Fatalf("the owner does not reclaim: %+v", second.Held)
	}
	s.Gangs = nil
	s.Waiting = []Waiting{borrower, owner}
	third := Make(s, DefaultPolicy())
	if len(third.Starts) != 1 || third.Starts[0].Job != "owner" {
		t.Fatalf("after the borrower has stopped, %+v start", third.Starts)
	}
}

// model applies plans to a fleet and lets gangs end at random.
type model struct {
	s      Snapshot
	policy Policy
	serial int
}

func newModel(t *rapid.T) *model {
	shapes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) domain.Shape {
		return domain.Shape{
			Tasks:     rapid.IntRange(1, 3).Draw(t, "tasks"),
			PerTask:   domain.Resources{Accelerators: rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "accelerators")},
			Adjacency: rapid.SampledFrom([]domain.Adjacency{domain.SameRack, domain.NeighbouringRack, domain.Anywhere}).Draw(t, "adjacency"),
		}
	}), 1, 4).Draw(t, "shapes")
	m := &model{policy: DefaultPolicy(), s: Snapshot{
		Now: now, DataCentre: "dc", Workers: fleet(3, 4), Unschedulable: map[domain.WorkerID]bool{},
		Accounts: map[domain.AccountID]domain.ClientAccount{"a": guaranteeing(shapes[0]), "b": guaranteeing(shapes[1:]...), "c": {Weight: 1}},
	}}
	return m
}

func (m *model) submit(t *rapid.T) {
	m.serial++
	class := rapid.SampledFrom([]domain.Class{again, hurry, pinned}).Draw(t, "class")
	account := rapid.SampledFrom([]domain.AccountID{"a", "b", "c"}).Draw(t, "account")
	shape := domain.Shape{
		Tasks:     rapid.IntRange(1, 4).Draw(t, "tasks"),
		PerTask:   domain.Resources{Accelerators: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators")},
		Adjacency: rapid.SampledFrom([]domain.Adjacency{domain.SameWorker, domain.SameRack, domain.Anywhere}).Draw(t, "adjacency"),
	}
	w := waiting(fmt.Sprint("j", m.serial), account, class, shape, 0)
	w.Job.Submitted, w.Since = m.s.Now, m.s.Now
	m.s.Waiting = append(m.s.Waiting, w)
}

func (m *model) plan() Plan {
	plan := Make(m.s, m.policy)
	m.s.Binding = plan.Binding
	m.s.Reservations = plan.Reservations
	for _, p := range plan.Preemptions {
		for i := range m.s.Gangs {
			if m.s.Gangs[i].Job.ID == p.Job {
				m.s.Gangs[i].Stopping = true
			}
		}
	}
	for _, start := range plan.Starts {
		for i, w := range m.s.Waiting {
			if w.Job.ID == start.Job {
				m.s.Gangs = append(m.s.Gangs, gangOf(w, start.Placement, start.Guaranteed))
				m.s.Waiting = append(m.s.Waiting[:i], m.s.Waiting[i+1:]...)
				break
			}
		}
	}
	m.s.Now = m.s.Now.Add(time.Second)
	return plan
}

// stopped removes gangs that were stopping; their jobs wait again.
func (m *model) stopped() {
	var left []Gang
	for _, g := range m.s.Gangs {
		if !g.Stopping {
			left = append(left, g)
			continue
		}
		m.s.Waiting = append(m.s.Waiting, Waiting{Job: g.Job, Class: g.Class, Since: g.Job.Submitted, Expected: time.Hour})
	}
	m.s.Gangs = left
}

// check: no worker holds more than it has, and everybody's unused cells lie on
// what is free or held by preemptible borrowers.
func (m *model) check(t *rapid.T) {
	used := placement.NewCluster(m.s.Workers)
	for _, g := range m.s.Gangs {
		used.Hold(g.Placement, g.Job.Shape.PerTask)
	}
	for i := range used.Nodes {
		if used.Nodes[i].Free().Negative() {
			t.Fatalf("worker %s holds more than it has", used.Nodes[i].Worker.ID)
		}
	}
	cells := NewCluster(m.s)
	for i := range m.s.Gangs {
		g := &m.s.Gangs[i]
		for _, a := range g.Placement {
			n := cells.Node(a.Worker)
			if !g.Guaranteed && !g.Class.Preemptible() {
				n.Pinned = n.Pinned.Add(g.Job.Shape.PerTask.Times(a.Tasks))
			}
		}
	}
	guarantee.Bind(cells, "dc", m.s.Accounts, m.s.Binding)
	if v := guarantee.Violations(cells); len(v) > 0 {
		t.Fatalf("the reclaim invariant is broken: %+v", v)
	}
}

// reclaims checks the promise itself: with nothing of its guarantee in use, an
// account that submits its guaranteed shape has it running once the borrowers
// that the plan names have stopped.
func (m *model) reclaims(t *rapid.T) {
	for account, declared := range m.s.Accounts {
		for i, g := range declared.Guarantees {
			if m.unmet(account, g.Shape) || m.uses(account) {
				continue
			}
			probe := *m
			probe.s.Gangs = append([]Gang(nil), m.s.Gangs...)
			id := fmt.Sprintf("probe-%s-%d", account, i)
			probe.s.Waiting = []Waiting{waiting(id, account, again, g.Shape, 0)}
			for range 3 {
				probe.plan()
				probe.stopped()
				// The account's other jobs could take the cell in its stead;
				// that is its own choice, and not what is asked here.
				probe.s.Waiting = slices.DeleteFunc(probe.s.Waiting, func(w Waiting) bool {
					return w.Job.Account == account && w.Job.ID != domain.JobID(id)
				})
			}
			if !probe.runs(domain.JobID(id)) {
				t.Fatalf("account %s can't reclaim %+v: held %+v", account, g.Shape, Make(probe.s, probe.policy).Held)
			}
		}
	}
}

func (m *model) uses(account domain.AccountID) bool {
	for _, g := range m.s.Gangs {
		if g.Job.Account == account && g.Guaranteed {
			return true
		}
	}
	return false
}

func (m *model) unmet(account domain.AccountID, shape domain.Shape) bool {
	for _, u := range m.s.Binding.Unmet {
		if u.Account == account && u.Shape == shape {
			return true
		}
	}
	return false
}

func (m *model) runs(id domain.JobID) bool {
	for _, g := range m.s.Gangs {
		if g.Job.ID == id && !g.Stopping {
			return true
		}
	}
	return false
}

// driveModel holds the guarantees' invariant over random jobs, ends and losses.
// breakPlan, if given, spoils each step, for the tests of this test.
func driveModel(t *rapid.T, breakPlan func(m *model)) {
	m := newModel(t)
	m.plan()
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if breakPlan != nil {
				breakPlan(m)
			}
			m.check(t)
			m.reclaims(t)
		},
		"submit": m.submit, "submit again": m.submit,
		"plan":    func(*rapid.T) { m.plan() },
		"stopped": func(*rapid.T) { m.stopped() },
		"end": func(t *rapid.T) {
			if len(m.s.Gangs) == 0 {
				t.Skip("nothing runs")
			}
			i := rapid.IntRange(0, len(m.s.Gangs)-1).Draw(t, "gang")
			m.s.Gangs = append(m.s.Gangs[:i:i], m.s.Gangs[i+1:]...)
		},
		"lose or regain a worker": func(t *rapid.T) {
			id := rapid.SampledFrom(m.s.Workers).Draw(t, "worker").ID
			m.s.Unschedulable[id] = !m.s.Unschedulable[id]
			if m.s.Unschedulable[id] {
				m.lose(id)
			} else {
				delete(m.s.Unschedulable, id)
			}
			m.plan()
		},
	})
}

// lose ends every gang with a member on the worker.
func (m *model) lose(id domain.WorkerID) {
	var left []Gang
	for _, g := range m.s.Gangs {
		hit := false
		for _, a := range g.Placement {
			hit = hit || a.Worker == id
		}
		if !hit {
			left = append(left, g)
		}
	}
	m.s.Gangs = left
}

func TestGuaranteesCanAlwaysBeReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { driveModel(t, nil) })
}

func TestReclaimPropertyCatchesMutants(t *testing.T) {
	mutants := map[string]func(*model){
		"guarantees are ignored": func(m *model) { m.policy.Guarantees = false },
		"borrowers that can't be preempted may use cells": func(m *model) {
			for i := range m.s.Gangs {
				if !m.s.Gangs[i].Guaranteed {
					m.s.Gangs[i].Class = pinned
				}
			}
		},
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			if !seeded.Catches(t, func(t *rapid.T) { driveModel(t, mutate) }) {
				t.Fatal("the property does not notice this mutant")
			}
		})
	}
}

// Whatever is submitted, if nothing new comes then everything that can run at
// all ends: no two jobs take a place from each other in turns for ever. Found
// by the demo with faults, where two borrowers and an urgent gang did. A gang
// needs three undisturbed rounds; one that is stopped begins anew.
func TestEveryJobEndsOnceNothingNewComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.policy.StarveAfter = 30 * time.Second
		m.policy.ConsolidateAfter = 10 * time.Second
		for range rapid.IntRange(2, 12).Draw(t, "jobs") {
			m.submit(t)
		}
		for i := range m.s.Waiting {
			if rapid.Bool().Draw(t, "has failed somewhere") {
				m.s.Waiting[i].Avoid = []domain.WorkerID{rapid.SampledFrom(m.s.Workers).Draw(t, "on").ID}
			}
			m.s.Waiting[i].Expected = time.Duration(rapid.SampledFrom([]int{1, 600, 4000}).Draw(t, "expected")) * time.Second
		}
		for range rapid.IntRange(0, 5).Draw(t, "lost workers") {
			m.s.Unschedulable[rapid.SampledFrom(m.s.Workers).Draw(t, "lost").ID] = true
		}
		avoid := map[domain.JobID][]domain.WorkerID{}
		for _, w := range m.s.Waiting {
			avoid[w.Job.ID] = w.Avoid
		}
		total := len(m.s.Waiting)
		ran := map[domain.JobID]int{}
		for round := 0; len(m.s.Gangs)+len(m.s.Waiting) > 0; round++ {
			plan := m.plan()
			if stuck := len(m.s.Gangs) == 0 && neverRunnable(plan) == len(m.s.Waiting); stuck {
				return // what is left can't run on this fleet beside the guarantees
			}
			if round > 100+20*total {
				t.Fatalf("%d of %d jobs have not ended: running %v, held %+v", len(m.s.Gangs)+len(m.s.Waiting), total, ids(m.s.Gangs), plan.Held)
			}
			m.advance(ran)
			for i := range m.s.Waiting {
				m.s.Waiting[i].Avoid = avoid[m.s.Waiting[i].Job.ID]
			}
		}
	})
}

func neverRunnable(p Plan) int {
	n := 0
	for _, held := range p.Held {
		if held.Reason == HeldNeverRunnable {
			n++
		}
	}
	return n
}

func ids(gangs []Gang) []domain.JobID {
	var out []domain.JobID
	for _, g := range gangs {
		out = append(out, g.Job.ID)
	}
	return out
}

// advance lets a round pass: gangs that were told to stop are gone, and those
// that have had three rounds end.
func (m *model) advance(ran map[domain.JobID]int) {
	for _, g := range m.s.Gangs {
		if g.Stopping {
			ran[g.Job.ID] = 0
		}
	}
	m.stopped()
	var left []Gang
	for _, g := range m.s.Gangs {
		if ran[g.Job.ID]++; ran[g.Job.ID] < 3 {
			left = append(left, g)
		}
	}
	m.s.Gangs = left
	m.s.Now = m.s.Now.Add(5 * time.Second)
}
