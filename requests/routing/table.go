package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Options configure routing.
type Options struct {
	// MaxLoadPerSlot is the number of running and queued requests per slot at
	// which a server counts as full.
	MaxLoadPerSlot float64
	// EjectFailureRate is the share of failures above which a server is ejected.
	EjectFailureRate float64
	// EjectLatencyFactor is the ratio of a server's latency to the mean latency of
	// the other servers above which it is ejected.
	EjectLatencyFactor float64
	// MinSamples is the number of answers below which a server is not ejected.
	MinSamples int64
	// MaxEjected is the largest share of servers that may be ejected at once.
	MaxEjected float64
	// ProbeInterval is the time until an ejected server is probed; it doubles up to
	// MaxProbeInterval while probes fail.
	ProbeInterval, MaxProbeInterval time.Duration
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		MaxLoadPerSlot: 2, EjectFailureRate: 0.5, EjectLatencyFactor: 4, MinSamples: 5,
		MaxEjected: 0.5, ProbeInterval: time.Second, MaxProbeInterval: 30 * time.Second,
	}
}

// Table is the set of backend servers that one instance routes to. It is safe for
// concurrent use; Pick is lock-free.
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

// Update applies the platform's list of servers. The state of servers that remain
// is kept; a server whose address changed counts as a new server.
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

// Backends returns all servers, those of the home data centre first.
func (t *Table) Backends() []*Backend {
	return append(append([]*Backend(nil), *t.local.Load()...), *t.remote.Load()...)
}

// Slots returns the total number of slots of the usable servers in the home data
// centre.
func (t *Table) Slots() int {
	n := 0
	for _, b := range *t.local.Load() {
		if !b.Leaving() && !b.Ejected() {
			n += b.Spec.Slots
		}
	}
	return n
}

// RandomSource returns random numbers; it is rand.Uint32 in production.
type RandomSource func() uint32

// DefaultRandom uses the process-wide generator.
func DefaultRandom() uint32 { return rand.Uint32() }

// Pick chooses a server and counts a request in flight there; the caller must end
// it with Done or Release. It uses other data centres only when no server of the
// home data centre can accept the request. tried are the servers that have already
// failed this request. Pick returns nil if no server can accept the request.
func (t *Table) Pick(now time.Time, random RandomSource, tried []*Backend) *Backend {
	if b := t.pickFrom(*t.local.Load(), now, random, tried); b != nil {
		return b
	}
	return t.pickFrom(*t.remote.Load(), now, random, tried)
}

// sampleSize is the number of random servers that are compared (power of two
// choices).
const sampleSize = 2

func (t *Table) pickFrom(servers []*Backend, now time.Time, random RandomSource, tried []*Backend) *Backend {
	if len(servers) == 0 {
		return nil
	}
	if b := t.dueProbe(servers, now, random); b != nil && !contains(tried, b) {
		b.beginRequest()
		return b
	}
	var best *Backend
	bestLoad := 0.0
	for range sampleSize {
		b := servers[int(random()%uint32(len(servers)))]
		if load := b.relativeLoad(now); t.isUsable(b, load, tried) && (best == nil || load < bestLoad) {
			best, bestLoad = b, load
		}
	}
	if best == nil {
		best = t.leastLoaded(servers, now, random, tried)
	}
	if best != nil {
		best.beginRequest()
	}
	return best
}

// relativeLoad returns the load per slot.
func (b *Backend) relativeLoad(now time.Time) float64 {
	return b.Load(now) / float64(max(1, b.Spec.Slots))
}

func (t *Table) isUsable(b *Backend, load float64, tried []*Backend) bool {
	return !b.Leaving() && !b.Ejected() && load < t.options.MaxLoadPerSlot && !contains(tried, b)
}

func contains(tried []*Backend, b *Backend) bool {
	for _, other := range tried {
		if other == b {
			return true
		}
	}
	return false
}

// leastLoaded compares all servers, starting at a random one. It is used when none
// of the sampled servers can accept the request.
func (t *Table) leastLoaded(servers []*Backend, now time.Time, random RandomSource, tried []*Backend) *Backend {
	start := int(random() % uint32(len(servers)))
	var best *Backend
	bestLoad := 0.0
	for i := range servers {
		b := servers[(start+i)%len(servers)]
		if load := b.relativeLoad(now); t.isUsable(b, load, tried) && (best == nil || load < bestLoad) {
			best, bestLoad = b, load
		}
	}
	return best
}

// dueProbe samples one server and returns it if it is ejected and due for a probe.
// A server has at most one probe in flight.
func (t *Table) dueProbe(servers []*Backend, now time.Time, random RandomSource) *Backend {
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

// Done ends a request at a server, and ejects the server or ends its probe as the
// result requires.
func (t *Table) Done(b *Backend, took time.Duration, failed bool, now time.Time) {
	b.endRequest(took, failed)
	if b.probing.Load() {
		t.endProbe(b, failed, now)
		return
	}
	if t.shouldEject(b) {
		t.eject(b, now)
	}
}

// Release ends a request whose result says nothing about the server's health.
func (t *Table) Release(b *Backend) {
	b.inFlight.Add(-1)
	b.probing.Store(false)
}

// shouldEject reports whether the server fails too often or is too slow.
// shouldEject reports whether the server fails too often or is too slow.
func (t *Table) shouldEject(b *Backend) bool {
	if b.samples.Load() < t.options.MinSamples || b.Ejected() {
		return false
	}
	if b.FailureRate() > t.options.EjectFailureRate {
		return true
	}
	return t.isSlow(b)
}

// isSlow compares the server's latency with the mean latency of the other servers
// in the home data centre.
func (t *Table) isSlow(b *Backend) bool {
	servers := *t.local.Load()
	sum, n := 0.0, 0
	for _, other := range servers {
		if other != b && other.samples.Load() >= t.options.MinSamples && !other.Ejected() {
			sum += other.Latency()
			n++
		}
	}
	return n > 0 && b.Latency() > t.options.EjectLatencyFactor*sum/float64(n)
}

// eject ejects a server, unless that would exceed MaxEjected.
// eject ejects a server, unless that would exceed MaxEjected.
func (t *Table) eject(b *Backend, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Ejected() || float64(t.countEjected()+1) > t.options.MaxEjected*float64(len(t.byID)) {
		return
	}
	b.ejectedUntil.Store(now.Add(t.options.ProbeInterval << min(b.ejections.Add(1)-1, 10)).UnixNano())
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

// endProbe returns the server to use after a successful probe, and ejects it for
// longer after a failed one.
func (t *Table) endProbe(b *Backend, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b.probing.Store(false)
	if failed {
		pause := min(t.options.ProbeInterval<<min(b.ejections.Add(1)-1, 10), t.options.MaxProbeInterval)
		b.ejectedUntil.Store(now.Add(pause).UnixNano())
		return
	}
	b.failureRate.Store(0)
	b.latency.Store(0)
	b.samples.Store(0)
	b.ejectedUntil.Store(0)
}
