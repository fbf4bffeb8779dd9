package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Options bound routing.
type Options struct {
	// QueuePerSlot is how many requests a slot may have, working and waiting,
	// before the server counts as full.
	QueuePerSlot float64
	// EjectFailing is the share of failures above which a server is ejected.
	EjectFailing float64
	// EjectSlower is how many times slower than the median a server may be.
	EjectSlower float64
	// MinSamples is how many answers count before a server is judged.
	MinSamples int64
	// MaxEjected is the largest share of servers that may be ejected at once.
	MaxEjected float64
	// Probe is the time until an ejected server is tried again; it doubles up
	// to MaxProbe.
	Probe, MaxProbe time.Duration
}

// DefaultOptions are those that ship.
func DefaultOptions() Options {
	return Options{
		QueuePerSlot: 2, EjectFailing: 0.5, EjectSlower: 4, MinSamples: 5,
		MaxEjected: 0.5, Probe: time.Second, MaxProbe: 30 * time.Second,
	}
}

// Table is the set of backend servers that one instance routes to. Pick is
// lock-free. Safe for concurrent use.
type Table struct {
	Home    domain.DataCentre
	options Options

	mu     sync.Mutex
	local  atomic.Pointer[[]*Backend]
	remote atomic.Pointer[[]*Backend]
	byID   map[string]*Backend
}

// NewTable returns an empty table.
func NewTable(home domain.DataCentre, options Options) *Table {
	t := &Table{Home: home, options: options, byID: map[string]*Backend{}}
	t.local.Store(&[]*Backend{})
	t.remote.Store(&[]*Backend{})
	return t
}

// Update takes in the platform's list. What is known of servers that stay is
// kept; a server that returns under a new address is a new server.
func (t *Table) Update(specs []domain.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]*Backend, len(specs))
	var local, remote []*Backend
	for _, spec := range specs {
		b, known := t.byID[spec.ID]
		if !known || b.Spec.Address != spec.Address {
			b = &Backend{Spec: spec}
		}
		if spec.Leaving {
			b.Leave()
		}
		byID[spec.ID] = b
		if spec.DataCentre == t.Home {
			local = append(local, b)
			continue
		}
		remote = append(remote, b)
	}
	t.byID = byID
	t.local.Store(&local)
	t.remote.Store(&remote)
}

// Backends returns all servers.
func (t *Table) Backends() []*Backend {
	return append(append([]*Backend(nil), *t.local.Load()...), *t.remote.Load()...)
}

// Slots returns the slots of the servers that may be used now.
func (t *Table) Slots() int {
	n := 0
	for _, b := range *t.local.Load() {
		if !b.Leaving() && !b.Ejected() {
			n += b.Spec.Slots
		}
	}
	return n
}

// Random is the source of choices; rand.Uint32 in production.
type Random func() uint32

// DefaultRandom is the process-wide generator.
func DefaultRandom() uint32 { return rand.Uint32() }

// Pick chooses a server and counts a request there; every pick is ended by
// Done. It prefers the home data centre and spills only when all of it is
// full. tried are servers that this request has had already. Nil means that no
// server can take the request.
func (t *Table) Pick(now time.Time, random Random, tried []*Backend) *Backend {
	if b := t.pickFrom(*t.local.Load(), now, random, tried); b != nil {
		return b
	}
	return t.pickFrom(*t.remote.Load(), now, random, tried)
}

// candidates is how many servers are compared; the power of two choices.
const candidates = 2

func (t *Table) pickFrom(servers []*Backend, now time.Time, random Random, tried []*Backend) *Backend {
	if len(servers) == 0 {
		return nil
	}
	if b := t.dueProbe(servers, now, random); b != nil && !contains(tried, b) {
		b.begin()
		return b
	}
	var best *Backend
	bestLoad := 0.0
	for range candidates {
		b := servers[int(random()%uint32(len(servers)))]
		if load := b.relativeLoad(now); t.usable(b, load, tried) && (best == nil || load < bestLoad) {
			best, bestLoad = b, load
		}
	}
	if best == nil {
		best = t.scan(servers, now, random, tried)
	}
	if best != nil {
		best.begin()
	}
	return best
}

// relativeLoad is requests for each slot.
func (b *Backend) relativeLoad(now time.Time) float64 {
	return b.Load(now) / float64(max(1, b.Spec.Slots))
}

func (t *Table) usable(b *Backend, load float64, tried []*Backend) bool {
	return !b.Leaving() && !b.Ejected() && load < t.options.QueuePerSlot && !contains(tried, b)
}

func contains(tried []*Backend, b *Backend) bool {
	for _, other := range tried {
		if other == b {
			return true
		}
	}
	return false
}

// scan looks at every server, from a random one on, when the sample found none
// that can take the request.
func (t *Table) scan(servers []*Backend, now time.Time, random Random, tried []*Backend) *Backend {
	start := int(random() % uint32(len(servers)))
	var best *Backend
	bestLoad := 0.0
	for i := range servers {
		b := servers[(start+i)%len(servers)]
		if load := b.relativeLoad(now); t.usable(b, load, tried) && (best == nil || load < bestLoad) {
			best, bestLoad = b, load
		}
	}
	return best
}

// dueProbe returns an ejected server whose next try is due, at most one request
// at a time.
func (t *Table) dueProbe(servers []*Backend, now time.Time, random Random) *Backend {
	b := servers[int(random()%uint32(len(servers)))]
	until := b.ejectedUntil.Load()
	if until == 0 || now.UnixNano() < until || b.Leaving() {
		return nil
	}
	if !b.probing.CompareAndSwap(false, true) {
		return nil
	}
	return b
}

// Done ends a request at a server.
func (t *Table) Done(b *Backend, took time.Duration, failed bool, now time.Time) {
	b.end(took, failed)
	if b.probing.Load() {
		t.endProbe(b, failed, now)
		return
	}
	if t.bad(b) {
		t.eject(b, now)
	}
}

// Release ends a request that says nothing of the server's health.
func (t *Table) Release(b *Backend) {
	b.inFlight.Add(-1)
	b.probing.Store(false)
}

func (t *Table) bad(b *Backend) bool {
	if b.samples.Load() < t.options.MinSamples || b.Ejected() {
		return false
	}
	if b.Failing() > t.options.EjectFailing {
		return true
	}
	return t.slow(b)
}

// slow compares with the mean of the other servers' averages.
func (t *Table) slow(b *Backend) bool {
	servers := *t.local.Load()
	sum, n := 0.0, 0
	for _, other := range servers {
		if other != b && other.samples.Load() >= t.options.MinSamples && !other.Ejected() {
			sum += other.Latency()
			n++
		}
	}
	return n > 0 && b.Latency() > t.options.EjectSlower*sum/float64(n)
}

func (t *Table) eject(b *Backend, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Ejected() || float64(t.countEjected()+1) > t.options.MaxEjected*float64(len(t.byID)) {
		return
	}
	b.ejectedUntil.Store(now.Add(t.options.Probe << min(b.ejections.Add(1)-1, 10)).UnixNano())
}

func (t *Table) countEjected() int {
	n := 0
	for _, b := range t.byID {
		if b.Ejected() {
			n++
		}
	}
	return n
}

// endProbe puts the server back in use, or aside for longer.
func (t *Table) endProbe(b *Backend, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b.probing.Store(false)
	if failed {
		pause := min(t.options.Probe<<min(b.ejections.Add(1)-1, 10), t.options.MaxProbe)
		b.ejectedUntil.Store(now.Add(pause).UnixNano())
		return
	}
	b.failing.Store(0)
	b.latency.Store(0)
	b.samples.Store(0)
	b.ejectedUntil.Store(0)
}
