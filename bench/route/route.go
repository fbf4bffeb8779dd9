// Package route measures routing policies in virtual time: the real table and
// its decisions against backend servers that are a queue with slots each. No
// network is emulated; an answer comes when its service has ended.
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

// Scenario is a load and what fails meanwhile.
type Scenario struct {
	Name string
	// Load is the offered load as a share of all slots.
	Load float64
	// Slow multiplies the service time of backend 0; 0 means 1.
	Slow float64
	// BlackHole makes backend 0 answer with errors at once.
	BlackHole bool
	// Rolling takes one backend after another away for a second.
	Rolling bool
}

// Scenarios are those that every policy is measured in.
var Scenarios = []Scenario{
	{Name: "steady-70", Load: 0.7},
	{Name: "overload-200", Load: 2},
	{Name: "slow-backend", Load: 0.7, Slow: 10},
	{Name: "black-hole", Load: 0.7, BlackHole: true},
	{Name: "rolling-restart", Load: 0.7, Rolling: true},
}

// Policies are the baselines, an ideal that no real instance can reach, and the
// one that ships.
var Policies = []string{"random", "round-robin", "least-own-load", "ideal-central-queue", "cobalttide"}

// The size of the world.
const (
	backends    = 8
	slots       = 8
	instances   = 6
	meanService = 20 * time.Millisecond
	expectation = 500 * time.Millisecond
	length      = 20 * time.Second
	// queue bounds what waits at one backend server, its connections.
	queue = 60
	// gatePerSlot is the share of instance.gatePerSlot.
	gatePerSlot = 1.5
	maxTries    = 3
	// marginServices is that of limit.Gate, which waits in real time and is
	// played here.
	marginServices = 4
)

// Result is what a run measured.
type Result struct {
	P50, P99 time.Duration
	// GoodputPct is what completed once and in time, as a share of what the
	// offered load and the capacity allow.
	GoodputPct     float64
	AttemptsPerReq float64
	// Lost are requests without an answer in time, as a share of all.
	LostPct float64
}

type request struct {
	arrived  time.Duration
	service  time.Duration
	instance int
	tries    int
	tried    []*routing.Backend
	ended    bool
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

type world struct {
	scenario Scenario
	policy   string
	random   *rand.Rand
	now      time.Duration
	queue    virtual.Queue
	servers  []*server
	tables   []*routing.Table
	handles  []map[int]*routing.Backend
	next     []int // round robin
	own      [][]int
	through  []int // requests past each instance's gate
	gate     [][]*request
	central  []*request
	down     int
	times    []time.Duration
	offered  int
	attempts int
	good     int
}

var epoch = time.Unix(1_000_000, 0)

// Run plays a scenario under a policy.
func Run(s Scenario, policy string, seed uint64) Result {
	w := &world{scenario: s, policy: policy, random: rand.New(rand.NewPCG(seed, 7)), down: -1}
	w.build()
	w.arrivals()
	for _, more := w.queue.Next(); more; _, more = w.queue.Next() {
		at, do := w.queue.Pop()
		w.now = at
		do()
	}
	return w.result()
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) build() {
	var specs []domain.BackendServer
	for i := range backends {
		w.servers = append(w.servers, &server{id: i})
		specs = append(specs, domain.BackendServer{ID: string(rune('a' + i)), Address: string(rune('a' + i)), DataCentre: "dc", Slots: slots})
	}
	for range instances {
		table := routing.NewTable("dc", routing.DefaultOptions())
		table.Update(specs)
		handles := map[int]*routing.Backend{}
		for _, b := range table.Backends() {
			handles[int(b.Spec.ID[0]-'a')] = b
		}
		w.tables = append(w.tables, table)
		w.handles = append(w.handles, handles)
		w.next = append(w.next, 0)
		w.own = append(w.own, make([]int, backends))
		w.through = append(w.through, 0)
		w.gate = append(w.gate, nil)
	}
	if w.scenario.Rolling {
		for i := range backends {
			w.queue.At(time.Duration(2+2*i)*time.Second, func() { w.down = i })
			w.queue.At(time.Duration(3+2*i)*time.Second, func() { w.down = -1 })
		}
	}
}

func (w *world) arrivals() {
	rate := w.scenario.Load * backends * slots / meanService.Seconds()
	for at := 0.0; at < length.Seconds(); at += w.random.ExpFloat64() / rate {
		r := &request{
			arrived: time.Duration(at * float64(time.Second)), instance: w.random.IntN(instances),
			service: time.Duration(w.random.ExpFloat64() * float64(meanService)),
		}
		w.offered++
		w.queue.At(r.arrived, func() { w.arrive(r) })
	}
}

// arrive passes the instance's gate, which only the policy that ships has.
func (w *world) arrive(r *request) {
	if w.policy == "cobalttide" {
		places := int(gatePerSlot * backends * slots / instances)
		if w.through[r.instance] >= places {
			w.gate[r.instance] = append(w.gate[r.instance], r)
			return
		}
		w.through[r.instance]++
	}
	w.send(r)
}

func (w *world) send(r *request) {
	if w.policy == "ideal-central-queue" {
		w.central = append(w.central, r)
		w.feed()
		return
	}
	i, handle := w.choose(r)
	if i < 0 {
		w.finish(r, false)
		return
	}
	r.tries++
	w.attempts++
	d := &dispatch{r: r, backend: i, handle: handle, sent: w.now}
	w.own[r.instance][i]++
	s := w.servers[i]
	switch {
	case i == w.down, len(s.waiting) >= queue:
		w.answer(d, false)
	case i == 0 && w.scenario.BlackHole:
		w.queue.At(w.now+time.Millisecond, func() { w.answer(d, false) })
	default:
		s.waiting = append(s.waiting, d)
		w.work(s)
	}
}

func (w *world) choose(r *request) (int, *routing.Backend) {
	switch w.policy {
	case "random":
		return w.random.IntN(backends), nil
	case "round-robin":
		w.next[r.instance]++
		return w.next[r.instance] % backends, nil
	case "least-own-load":
		best := w.random.IntN(backends)
		for i := range backends {
			if w.own[r.instance][i] < w.own[r.instance][best] {
				best = i
			}
		}
		return best, nil
	}
	b := w.tables[r.instance].Pick(w.clock(), w.random.Uint32, r.tried)
	if b == nil {
		return -1, nil
	}
	r.tried = append(r.tried, b)
	return int(b.Spec.ID[0] - 'a'), b
}

func (w *world) work(s *server) {
	for s.busy < slots && len(s.waiting) > 0 {
		d := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		w.queue.At(w.now+w.serviceOf(s, d.r), func() {
			s.busy--
			w.answer(d, true)
			w.work(s)
		})
	}
}

func (w *world) serviceOf(s *server, r *request) time.Duration {
	if s.id == 0 && w.scenario.Slow > 0 {
		return time.Duration(float64(r.service) * w.scenario.Slow)
	}
	return r.service
}

// feed is the ideal: one queue, and every free slot takes its head.
func (w *world) feed() {
	for _, s := range w.servers {
		useless := s.id == w.down || (s.id == 0 && (w.scenario.BlackHole || w.scenario.Slow > 0))
		for !useless && s.busy < slots && len(w.central) > 0 {
			r := w.central[0]
			w.central = w.central[1:]
			if w.now-r.arrived > expectation {
				w.finish(r, false)
				continue
			}
			s.busy++
			w.attempts++
			w.queue.At(w.now+r.service, func() {
				s.busy--
				w.finish(r, true)
				w.feed()
			})
		}
	}
}

func (w *world) answer(d *dispatch, ok bool) {
	w.own[d.r.instance][d.backend]--
	if d.handle != nil {
		d.handle.Report(w.servers[d.backend].busy+len(w.servers[d.backend].waiting), w.clock())
		w.tables[d.r.instance].Done(d.handle, w.now-d.sent, !ok, w.clock())
	}
	if !ok && d.r.tries < maxTries && w.now-d.r.arrived < expectation {
		w.send(d.r)
		return
	}
	w.finish(d.r, ok)
}

func (w *world) finish(r *request, ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	took := w.now - r.arrived
	if ok {
		w.times = append(w.times, took)
	}
	if ok && took <= expectation {
		w.good++
	}
	if w.policy == "cobalttide" {
		w.through[r.instance]--
		w.nextAtGate(r.instance)
	}
}

// nextAtGate lets the oldest waiter through that can still be in time, and
// refuses the others at once.
func (w *world) nextAtGate(instance int) {
	for len(w.gate[instance]) > 0 {
		r := w.gate[instance][0]
		w.gate[instance] = w.gate[instance][1:]
		if w.now-r.arrived+marginServices*gatePerSlot*meanService > expectation {
			r.ended = true
			continue
		}
		w.through[instance]++
		w.send(r)
		return
	}
}

func (w *world) result() Result {
	sort.Slice(w.times, func(i, j int) bool { return w.times[i] < w.times[j] })
	at := func(q float64) time.Duration {
		if len(w.times) == 0 {
			return 0
		}
		return w.times[int(q*float64(len(w.times)-1))]
	}
	possible := math.Min(1, 1/w.scenario.Load) * float64(w.offered)
	return Result{
		P50: at(0.5), P99: at(0.99), GoodputPct: 100 * float64(w.good) / possible,
		AttemptsPerReq: float64(w.attempts) / float64(w.offered),
		LostPct:        100 * (1 - float64(w.good)/float64(w.offered)),
	}
}
