// Package policy measures scheduling policies on a seeded trace in virtual time. It calls the
// scheduler directly, without network or processes: the simulation consists of arrivals, ends,
// failures and scheduling decisions.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Deployment describes the load of one user's data centre.
type Deployment struct {
	Name string
	// Classes are the job classes with their shares of the accelerator time and their largest
	// sizes.
	Classes []classShare
	// Accounts are the client accounts with their shares of the demand.
	Accounts []accountShare
}

type classShare struct {
	class   domain.Class
	name    domain.ClassName
	share   float64
	maxSize int
}

type accountShare struct {
	id         domain.AccountID
	share      float64
	weight     int
	guarantees []domain.Shape
}

func rackShape(tasks int) domain.Shape {
	return domain.Shape{Tasks: tasks, PerTask: domain.Resources{Accelerators: 8, CPU: 8, MemoryMiB: 16_000}, Adjacency: domain.SameRack}
}

var (
	checkpointed  = domain.Class{Kind: domain.JobClass, Idempotent: true, Checkpointable: true, Grace: domain.Duration(2 * time.Second)}
	restartable   = domain.Class{Kind: domain.JobClass, Idempotent: true}
	urgent        = domain.Class{Kind: domain.JobClass, Idempotent: true, Urgent: true, Priority: 20}
	nonIdempotent = domain.Class{Kind: domain.JobClass}
)

// Deployments are the data centres of the two users, each with 16 workers of 8 accelerators in 2
// racks and 4 accounts of unequal demand. The guarantees add up to one rack, which leaves the
// other rack for gangs that need a whole one.
var Deployments = []Deployment{
	{Name: "midlands", Accounts: fourAccounts, Classes: []classShare{
		{checkpointed, "forecast", 0.75, 64}, {restartable, "batch", 0.22, 32}, {urgent, "urgent", 0.03, 16},
	}},
	{Name: "vestmark", Accounts: fourAccounts, Classes: []classShare{
		{checkpointed, "rebuild", 0.75, 64}, {restartable, "batch", 0.10, 32}, {nonIdempotent, "replot", 0.15, 16},
	}},
}

var fourAccounts = []accountShare{
	{"a", 0.45, 2, []domain.Shape{rackShape(4)}},
	{"b", 0.30, 1, []domain.Shape{rackShape(2)}},
	{"c", 0.15, 1, []domain.Shape{rackShape(1)}},
	{"d", 0.10, 1, []domain.Shape{rackShape(1)}},
}

// Arrival is one job of a trace.
type Arrival struct {
	At  time.Duration
	Job domain.Job
	// Class is the class of the job. Run is its true run time, which the scheduler does not see.
	Class domain.Class
	Run   time.Duration
}

// Outage removes a worker for a period.
type Outage struct {
	Worker   domain.WorkerID
	From, To time.Duration
}

// Trace holds all external events of a simulation.
type Trace struct {
	Workers  []domain.Worker
	Accounts map[domain.AccountID]domain.ClientAccount
	Arrivals []Arrival
	Outages  []Outage
	Length   time.Duration
}

// sizes are the job sizes in accelerators and how frequently each is submitted.
var sizes = []struct {
	accelerators int
	frequency    float64
}{{1, 0.36}, {2, 0.16}, {4, 0.16}, {8, 0.14}, {16, 0.08}, {32, 0.06}, {64, 0.04}}

// LargeSize is the size in accelerators from which a gang counts as large: half a rack.
const LargeSize = 32

// Run times follow a log-normal distribution with a median of half an hour.
const (
	medianRun = 30 * time.Minute
	sigmaRun  = 1.1
	maxRun    = 24 * time.Hour
	// With sigmaEstimate, one estimate in three is off by a factor of more than four.
	sigmaEstimate = 1.4
)

// Generate makes a trace of the given length at an offered load; 1 means that all accelerators are
// always needed.
func Generate(d Deployment, load float64, length time.Duration, seed uint64) Trace {
	g := generator{random: rand.New(rand.NewPCG(seed, 0x636f62616c74)), d: d}
	t := Trace{Workers: fleet(2, 8), Length: length, Accounts: map[domain.AccountID]domain.ClientAccount{}}
	for _, a := range d.Accounts {
		account := domain.ClientAccount{Weight: a.weight}
		for _, shape := range a.guarantees {
			account.Guarantees = append(account.Guarantees, domain.Guarantee{DataCentre: "dc", Shape: shape, Count: 1})
		}
		t.Accounts[a.id] = account
	}
	capacity := float64(len(t.Workers) * 8)
	budget := load * capacity * length.Seconds()
	for n := 0; budget > 0; n++ {
		burst := g.burst(length)
		for _, a := range burst {
			a.Job.ID = domain.JobID(fmt.Sprintf("j%06d", len(t.Arrivals)))
			t.Arrivals = append(t.Arrivals, a)
			budget -= a.Run.Seconds() * float64(a.Job.Shape.Accelerators())
		}
	}
	sort.SliceStable(t.Arrivals, func(i, j int) bool { return t.Arrivals[i].At < t.Arrivals[j].At })
	t.Outages = g.outages(t.Workers, length)
	return t
}

func fleet(racks, perRack int) []domain.Worker {
	var out []domain.Worker
	for r := range racks {
		for i := range perRack {
			out = append(out, domain.Worker{
				ID: domain.WorkerID(fmt.Sprintf("r%d-w%d", r, i)), DataCentre: "dc", Rack: domain.RackID(fmt.Sprint("r", r)), Row: r,
				Capacity: domain.Resources{Accelerators: 8, CPU: 64, MemoryMiB: 130_000},
			})
		}
	}
	return out
}

type generator struct {
	random *rand.Rand
	d      Deployment
}

// burst draws one job, or occasionally 6 to 17 that arrive together.
func (g *generator) burst(length time.Duration) []Arrival {
	at := time.Duration(g.random.Float64() * float64(length))
	account := g.account()
	n := 1
	if g.random.Float64() < 0.02 {
		n = 6 + g.random.IntN(12)
	}
	size := g.size()
	var out []Arrival
	for range n {
		out = append(out, g.job(at, account, size))
	}
	return out
}

func (g *generator) account() domain.AccountID {
	x := g.random.Float64()
	for _, a := range g.d.Accounts {
		if x -= a.share; x < 0 {
			return a.id
		}
	}
	return g.d.Accounts[0].id
}

func (g *generator) size() int {
	x := g.random.Float64()
	for _, s := range sizes {
		if x -= s.frequency; x < 0 {
			return s.accelerators
		}
	}
	return 1
}

func (g *generator) class(size int) classShare {
	x := g.random.Float64()
	for _, c := range g.d.Classes {
		if x -= c.share; x < 0 && size <= c.maxSize {
			return c
		}
	}
	return g.d.Classes[0]
}

func (g *generator) job(at time.Duration, account domain.AccountID, size int) Arrival {
	class := g.class(size)
	run := time.Duration(float64(medianRun) * math.Exp(sigmaRun*g.random.NormFloat64()))
	run = min(max(run, time.Minute), maxRun)
	estimateError := math.Exp(sigmaEstimate * g.random.NormFloat64())
	shape := domain.Shape{Tasks: 1, PerTask: domain.Resources{Accelerators: size, CPU: size, MemoryMiB: 2000 * size}, Adjacency: domain.SameWorker}
	if size > 8 {
		shape = rackShape(size / 8)
	}
	return Arrival{At: at, Class: class.class, Run: run, Job: domain.Job{
		Account: account, Class: class.name, DataCentre: "dc", Shape: shape,
		Estimate: domain.Duration(max(time.Minute, time.Duration(float64(run)*estimateError))),
	}}
}

// outages draws random failures of single workers, and one outage of a rack halfway through the
// trace.
func (g *generator) outages(workers []domain.Worker, length time.Duration) []Outage {
	var out []Outage
	const meanBetween = 300 * time.Hour
	for _, w := range workers {
		at := time.Duration(g.random.ExpFloat64() * float64(meanBetween))
		for ; at < length; at += time.Duration(g.random.ExpFloat64() * float64(meanBetween)) {
			out = append(out, Outage{Worker: w.ID, From: at, To: at + time.Hour})
		}
		if w.Rack == "r1" {
			out = append(out, Outage{Worker: w.ID, From: length / 2, To: length/2 + time.Hour})
		}
	}
	return out
}
