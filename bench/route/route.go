// Package route measures routing policies in virtual time. It runs the real routing table and its
// decisions against simulated backend servers, each with a queue and a number of slots. There is
// no network latency: an answer arrives when its service ends.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/virtual"
	"github.com/cobalttide/cobalttide/requests/routing"
)

// Scenario is a load with faults.
type Scenario struct {
	Name string
	// Load is the offered load as a share of the capacity of all slots.
	Load float64
	// Slow multiplies the service time of backend 0; 0 means 1.
	Slow float64
	// BlackHole makes backend 0 answer immediately with errors.
	BlackHole bool
	// Rolling makes the backends unavailable one after another, for one second each.
	Rolling bool
}

// Scenarios are the scenarios in which every policy is measured.
var Scenarios = []Scenario{
	{Name: "steady-70", Load: 0.7},
	{Name: "overload-200", Load: 2},
	{Name: "slow-backend", Load: 0.7, Slow: 10},
	{Name: "black-hole", Load: 0.7, BlackHole: true},
	{Name: "rolling-restart", Load: 0.7, Rolling: true},
}

// Policies are the baselines, an ideal that no real instance can reach, and the shipped policy.
var Policies = []string{"random", "round-robin", "least-own-load", "ideal-central-queue", "cobalttide"}

// Parameters of the simulation.
const (
	backends    = 8
	slots       = 8
	instances   = 6
	meanService = 20 * time.Millisecond
	expectation = 500 * time.Millisecond
	duration    = 20 * time.Second
	// maxQueued limits the requests that wait at one backend server, as its connections do.
	maxQueued = 60
	// gatePerSlot is the number of admitted requests per slot, as instance.gatePerSlot.
	gatePerSlot = 1.5
	maxTries    = 3
	// marginServiceTimes is that of limit.Gate, which waits in real time and is therefore modelled
	// here.
	marginServiceTimes = 4
)

// Result holds the measurements of one run.
type Result struct {
	P50, P99 time.Duration
	// GoodputPct is the share of requests completed once and in time, relative to what the offered
	// load and the capacity allow.
	GoodputPct     float64
	AttemptsPerReq float64
	// LostPct is the share of all requests that got no answer in time.
	LostPct float64
}

type request struct {
	arrived     time.Duration
	serviceTime time.Duration
	instance    int
	tries       int
	tried       []*routing.Backend
	ended       bool
}

type server struct {
	id      int
	busy    int
	waiting []*dispatch
}

type dispatch struct {
	r       *request
	backend int
	handle  *routing.Backend
	sent    time.Duration
}

type simulation struct {
	scenario     Scenario
	policy       string
	random       *rand.Rand
	now          time.Duration
	queue        virtual.Queue
	servers      []*server
	tables       []*routing.Table
	handles      []map[int]*routing.Backend
	nextBackend  []int // for round-robin, by instance
	inFlight     [][]int
	admitted     []int // requests past the gate, by instance
	gateQueues   [][]*request
	centralQueue []*request
	downBackend  int
	latencies    []time.Duration
	offered      int
	attempts     int
	inTime       int
}

var epoch = time.Unix(1_000_000, 0)

// Run simulates a scenario under a policy.
func Run(s Scenario, policy string, seed uint64) Result {
	sim := &simulation{scenario: s, policy: policy, random: rand.New(rand.NewPCG(seed, 7)), downBackend: -1}
	sim.build()
	sim.arrivals()
	for _, more := sim.queue.Next(); more; _, more = sim.queue.Next() {
		at, do := sim.queue.Pop()
		sim.now = at
		do()
	}
	return sim.result()
}

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) build() {
	var specs []domain.BackendServer
	for i := range backends {
		sim.servers = append(sim.servers, &server{id: i})
		specs = append(specs, domain.BackendServer{ID: string(rune('a' + i)), Address: string(rune('a' + i)), DataCentre: "dc", Slots: slots})
	}
	for range instances {
		table := routing.NewTable("dc", routing.DefaultOptions())
		table.Update(specs)
		handles := map[int]*routing.Backend{}
		for _, b := range table.Backends() {
			handles[int(b.Spec.ID[0]-'a')] = b
		}
		sim.tables = append(sim.tables, table)
		sim.handles = append(sim.handles, handles)
		sim.nextBackend = append(sim.nextBackend, 0)
		sim.inFlight = append(sim.inFlight, make([]int, backends))
		sim.admitted = append(sim.admitted, 0)
		sim.gateQueues = append(sim.gateQueues, nil)
	}
	if sim.scenario.Rolling {
		for i := range backends {
			sim.queue.At(time.Duration(2+2*i)*time.Second, func() { sim.downBackend = i })
			sim.queue.At(time.Duration(3+2*i)*time.Second, func() { sim.downBackend = -1 })
		}
	}
}

func (sim *simulation) arrivals() {
	rate := sim.scenario.Load * backends * slots / meanService.Seconds()
	for at := 0.0; at < duration.Seconds(); at += sim.random.ExpFloat64() / rate {
		r := &request{
			arrived: time.Duration(at * float64(time.Second)), instance: sim.random.IntN(instances),
			serviceTime: time.Duration(sim.random.ExpFloat64() * float64(meanService)),
		}
		sim.offered++
		sim.queue.At(r.arrived, func() { sim.arrive(r) })
	}
}

// arrive sends a request through the instance's admission gate, which only the shipped policy has.
func (sim *simulation) arrive(r *request) {
	if sim.policy == "cobalttide" {
		limit := int(gatePerSlot * backends * slots / instances)
		if sim.admitted[r.instance] >= limit {
			sim.gateQueues[r.instance] = append(sim.gateQueues[r.instance], r)
			return
		}
		sim.admitted[r.instance]++
	}
	sim.send(r)
}

func (sim *simulation) send(r *request) {
	if sim.policy == "ideal-central-queue" {
		sim.centralQueue = append(sim.centralQueue, r)
		sim.serveCentralQueue()
		return
	}
	i, handle := sim.chooseBackend(r)
	if i < 0 {
		sim.finish(r, false)
		return
	}
	r.tries++
	sim.attempts++
	d := &dispatch{r: r, backend: i, handle: handle, sent: sim.now}
	sim.inFlight[r.instance][i]++
	s := sim.servers[i]
	switch {
	case i == sim.downBackend, len(s.waiting) >= maxQueued:
		sim.complete(d, false)
	case i == 0 && sim.scenario.BlackHole:
		sim.queue.At(sim.now+time.Millisecond, func() { sim.complete(d, false) })
	default:
		s.waiting = append(s.waiting, d)
		sim.startServices(s)
	}
}

func (sim *simulation) chooseBackend(r *request) (int, *routing.Backend) {
	switch sim.policy {
	case "random":
		return sim.random.IntN(backends), nil
	case "round-robin":
		sim.nextBackend[r.instance]++
		return sim.nextBackend[r.instance] % backends, nil
	case "least-own-load":
		best := sim.random.IntN(backends)
		for i := range backends {
			if sim.inFlight[r.instance][i] < sim.inFlight[r.instance][best] {
				best = i
			}
		}
		return best, nil
	}
	b := sim.tables[r.instance].Pick(sim.clock(), sim.random.Uint32, r.tried)
	if b == nil {
		return -1, nil
	}
	r.tried = append(r.tried, b)
	return int(b.Spec.ID[0] - 'a'), b
}

func (sim *simulation) startServices(s *server) {
	for s.busy < slots && len(s.waiting) > 0 {
		d := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		sim.queue.At(sim.now+sim.serviceTime(s, d.r), func() {
			s.busy--
			sim.complete(d, true)
			sim.startServices(s)
		})
	}
}

func (sim *simulation) serviceTime(s *server, r *request) time.Duration {
	if s.id == 0 && sim.scenario.Slow > 0 {
		return time.Duration(float64(r.serviceTime) * sim.scenario.Slow)
	}
	return r.serviceTime
}

// serveCentralQueue models the ideal: all free slots take requests from one shared queue.
func (sim *simulation) serveCentralQueue() {
	for _, s := range sim.servers {
		unusable := s.id == sim.downBackend || (s.id == 0 && (sim.scenario.BlackHole || sim.scenario.Slow > 0))
		for !unusable && s.busy < slots && len(sim.centralQueue) > 0 {
			r := sim.centralQueue[0]
			sim.centralQueue = sim.centralQueue[1:]
			if sim.now-r.arrived > expectation {
				sim.finish(r, false)
				continue
			}
			s.busy++
			sim.attempts++
			sim.queue.At(sim.now+r.serviceTime, func() {
				s.busy--
				sim.finish(r, true)
				sim.serveCentralQueue()
			})
		}
	}
}

func (sim *simulation) complete(d *dispatch, ok bool) {
	sim.inFlight[d.r.instance][d.backend]--
	if d.handle != nil {
		d.handle.Report(sim.servers[d.backend].busy+len(sim.servers[d.backend].waiting), sim.clock())
		sim.tables[d.r.instance].Done(d.handle, sim.now-d.sent, !ok, sim.clock())
	}
	if !ok && d.r.tries < maxTries && sim.now-d.r.arrived < expectation {
		sim.send(d.r)
		return
	}
	sim.finish(d.r, ok)
}

func (sim *simulation) finish(r *request, ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	latency := sim.now - r.arrived
	if ok {
		sim.latencies = append(sim.latencies, latency)
	}
	if ok && latency <= expectation {
		sim.inTime++
	}
	if sim.policy == "cobalttide" {
		sim.admitted[r.instance]--
		sim.admitNext(r.instance)
	}
}

// admitNext admits the oldest waiting request that can still complete in time and refuses the ones
// before it.
func (sim *simulation) admitNext(instance int) {
	for len(sim.gateQueues[instance]) > 0 {
		r := sim.gateQueues[instance][0]
		sim.gateQueues[instance] = sim.gateQueues[instance][1:]
		if sim.now-r.arrived+marginServiceTimes*gatePerSlot*meanService > expectation {
			r.ended = true
			continue
		}
		sim.admitted[instance]++
		sim.send(r)
		return
	}
}

func (sim *simulation) result() Result {
	sort.Slice(sim.latencies, func(i, j int) bool { return sim.latencies[i] < sim.latencies[j] })
	at := func(q float64) time.Duration {
		if len(sim.latencies) == 0 {
			return 0
		}
		return sim.latencies[int(q*float64(len(sim.latencies)-1))]
	}
	possible := math.Min(1, 1/sim.scenario.Load) * float64(sim.offered)
	return Result{
		P50: at(0.5), P99: at(0.99), GoodputPct: 100 * float64(sim.inTime) / possible,
		AttemptsPerReq: float64(sim.attempts) / float64(sim.offered),
		LostPct:        100 * (1 - float64(sim.inTime)/float64(sim.offered)),
	}
}
