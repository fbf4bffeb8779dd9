package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/membership"
	"github.com/cobalttide/cobalttide/port"
)

// memberTable is a membership table with a lock.
type memberTable struct {
	mu    sync.Mutex
	table *membership.Table
}

func (m *memberTable) withTable(f func(t *membership.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table)
}

func (m *memberTable) leave() { m.withTable((*membership.Table).Leave) }

func (m *memberTable) live(dc domain.DataCentre) (out []membership.Member) {
	m.withTable(func(t *membership.Table) { out = t.Live(dc) })
	return out
}

func (m *memberTable) all() (out []membership.Member) {
	m.withTable(func(t *membership.Table) { out = t.Members() })
	return out
}

func (m *memberTable) planner(dc domain.DataCentre) (out membership.Member, ok bool) {
	m.withTable(func(t *membership.Table) { out, ok = t.Planner(dc) })
	return out, ok
}

// Intervals of the loops.
const (
	listInterval  = time.Second
	probeInterval = time.Second
	// probeTimeout bounds an indirect probe; a direct one gets half of it.
	probeTimeout = 800 * time.Millisecond
	// indirectProbers is the number of peers that are asked to probe a silent one.
	indirectProbers = 2
)

// inventoryLoop reads the platform's lists and keeps this instance listed.
func (in *Instance) inventoryLoop(ctx context.Context) {
	for ctx.Err() == nil {
		in.refreshInventory(ctx)
		sleep(ctx, listInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (in *Instance) refreshInventory(ctx context.Context) {
	self := port.ListedInstance{
		ID: in.ID, DataCentre: in.Settings.DataCentre, Address: in.PeersAddress(), Leaving: in.leaving.Load(),
	}
	listCtx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	old := *in.inventory.Load()
	answer, err := in.platform.List(listCtx, port.ListQuery{Self: self, DataCentre: in.Settings.DataCentre, Known: old.Versions})
	if err != nil {
		return // the last inventory stays in use
	}
	inventory := old.Merge(answer)
	in.inventory.Store(&inventory)
	if inventory.Versions.Backends != old.Versions.Backends {
		in.routingTable.Update(inventory.Backends)
	}
	in.members.withTable(func(t *membership.Table) { t.AddListed(inventory.Instances, time.Now()) })
}

// fleet returns the data centre's workers as last listed.
func (in *Instance) fleet() []domain.Worker { return in.inventory.Load().Workers }

// ping is the content of a probe and of its answer.
type ping struct {
	From    membership.Member     `json:"from"`
	Updates []membership.Member   `json:"news,omitempty"`
	Version configuration.Version `json:"version"`
	// Target is the member that the receiver is asked to probe; nil in a direct
	// probe.
	Target *membership.Member `json:"target,omitempty"`
}

func (in *Instance) newPing(to domain.InstanceID) ping {
	p := ping{Version: in.configuration.Current().Version}
	in.members.withTable(func(t *membership.Table) {
		p.From = t.Self()
		p.Updates = t.Updates(to)
	})
	return p
}

func (in *Instance) mergePing(p ping) {
	in.members.withTable(func(t *membership.Table) {
		now := time.Now()
		t.Merge(p.Updates, now)
		t.RecordAck(p.From, now)
	})
}

// probeLoop probes one peer a second. A probe and its answer contain membership
// updates and the version of the configuration, so that an instance that has
// missed a change can fetch it.
func (in *Instance) probeLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		var target membership.Member
		var ok bool
		in.members.withTable(func(t *membership.Table) {
			t.Tick(time.Now())
			target, ok = t.NextProbeTarget(random)
		})
		if ok {
			go in.probe(ctx, target, random.Uint64())
		}
		sleep(ctx, probeInterval)
	}
}

func (in *Instance) probe(ctx context.Context, target membership.Member, seed uint64) {
	answer, err := in.sendPing(ctx, target.Address, in.newPing(target.ID), probeTimeout/2)
	if err == nil {
		in.mergePing(answer)
		in.fetchNewerConfiguration(ctx, target.Address, answer.Version)
		return
	}
	if in.probeIndirectly(ctx, target, seed) {
		return
	}
	in.members.withTable(func(t *membership.Table) { t.RecordProbeFailure(target.ID, time.Now()) })
}

func (in *Instance) sendPing(ctx context.Context, address string, p ping, timeout time.Duration) (ping, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer ping
	err := in.peers.Call(callCtx, address, methodPing, p, &answer)
	return answer, err
}

// probeIndirectly asks other peers to probe the target, so that a network fault
// between the two instances does not count as a death.
func (in *Instance) probeIndirectly(ctx context.Context, target membership.Member, seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, seed))
	var probers []membership.Member
	in.members.withTable(func(t *membership.Table) { probers = t.IndirectProbers(random, target.ID, indirectProbers) })
	for _, prober := range probers {
		p := in.newPing(prober.ID)
		p.Target = &target
		if _, err := in.sendPing(ctx, prober.Address, p, probeTimeout); err == nil {
			return true
		}
	}
	return false
}

// fetchNewerConfiguration fetches the configuration from a peer that has a newer
// one. It does so only while the log is unreachable: otherwise the configuration
// is read from there.
func (in *Instance) fetchNewerConfiguration(ctx context.Context, address string, version configuration.Version) {
	if version <= in.configuration.Current().Version || !in.logUnreachable() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var snapshot configuration.Snapshot
	if err := in.peers.Call(callCtx, address, methodConfiguration, nil, &snapshot); err != nil {
		return // the next probe retries
	}
	if in.configuration.Adopt(snapshot) {
		in.reportConfiguration(snapshot)
	}
}

// announceLeave notifies the data centre's peers at once instead of with the next
// probes.
func (in *Instance) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	in.refreshInventory(ctx)
	var wg sync.WaitGroup
	for _, m := range in.members.live(in.Settings.DataCentre) {
		if m.ID == in.ID {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = in.sendPing(ctx, m.Address, in.newPing(m.ID), time.Second) // later probes repeat it
		}()
	}
	wg.Wait()
}

// isPlanner reports whether this instance is the planner of its data centre.
func (in *Instance) isPlanner() bool {
	if in.leaving.Load() || !in.recovered.Load() {
		return false
	}
	m, ok := in.members.planner(in.Settings.DataCentre)
	return ok && m.ID == in.ID
}

func (in *Instance) setPlanning(planning bool) {
	in.planning.Store(planning)
	value := 0.0
	if planning {
		value = 1
	}
	in.Metrics.planning.Set(value)
	in.log.WithFields(logrus.Fields{"planning": planning}).Info("planner's role changed")
}

// LiveInstances returns the number of live instances that are known, this one included.
func (in *Instance) LiveInstances() int {
	n := 0
	for _, m := range in.members.all() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			n++
		}
	}
	return n
}
