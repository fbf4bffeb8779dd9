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

// memberTable guards the membership table.
type memberTable struct {
	mu    sync.Mutex
	table *membership.Table
}

func (m *memberTable) with(f func(t *membership.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table)
}

func (m *memberTable) leave() { m.with((*membership.Table).Leave) }

func (m *memberTable) present(dc domain.DataCentre) (out []membership.Member) {
	m.with(func(t *membership.Table) { out = t.Live(dc) })
	return out
}

func (m *memberTable) all() (out []membership.Member) {
	m.with(func(t *membership.Table) { out = t.Members() })
	return out
}

func (m *memberTable) planner(dc domain.DataCentre) (out membership.Member, ok bool) {
	m.with(func(t *membership.Table) { out, ok = t.Planner(dc) })
	return out, ok
}

// Intervals of the loops.
const (
	listEvery  = time.Second
	probeEvery = time.Second
	// probeTimeout bounds a probe; half of it goes to the direct one.
	probeTimeout = 800 * time.Millisecond
	helpers      = 2
)

// listLoop reads the platform's lists and says that this instance is alive.
func (in *Instance) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		in.list(ctx)
		sleep(ctx, listEvery)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (in *Instance) list(ctx context.Context) {
	self := port.ListedInstance{
		ID: in.ID, DataCentre: in.Settings.DataCentre, Address: in.PeersAddress(), Leaving: in.leaving.Load(),
	}
	listCtx, cancel := context.WithTimeout(ctx, listEvery)
	defer cancel()
	old := *in.inventory.Load()
	answer, err := in.platform.List(listCtx, port.ListQuery{Self: self, DataCentre: in.Settings.DataCentre, Known: old.Versions})
	if err != nil {
		return // the last list stands
	}
	inventory := old.Update(answer)
	in.inventory.Store(&inventory)
	if inventory.Versions.Backends != old.Versions.Backends {
		in.table.Update(inventory.Backends)
	}
	in.members.with(func(t *membership.Table) { t.AddListed(inventory.Instances, time.Now()) })
}

// fleet returns the data centre's workers as last listed.
func (in *Instance) fleet() []domain.Worker { return in.inventory.Load().Workers }

// ping is what a probe carries, both ways.
type ping struct {
	From    membership.Member     `json:"from"`
	News    []membership.Member   `json:"news,omitempty"`
	Version configuration.Version `json:"version"`
	// Target is set when the receiver is asked to probe it.
	Target *membership.Member `json:"target,omitempty"`
}

func (in *Instance) newPing(to domain.InstanceID) ping {
	p := ping{Version: in.configuration.Current().Version}
	in.members.with(func(t *membership.Table) {
		p.From = t.Self()
		p.News = t.Updates(to)
	})
	return p
}

func (in *Instance) takePing(p ping) {
	in.members.with(func(t *membership.Table) {
		now := time.Now()
		t.Merge(p.News, now)
		t.RecordAck(p.From, now)
	})
}

// probeLoop probes one peer a second. A probe carries news both ways, and the
// version of the configuration, so that one who has missed a change asks for it.
func (in *Instance) probeLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		var target membership.Member
		var ok bool
		in.members.with(func(t *membership.Table) {
			t.Tick(time.Now())
			target, ok = t.NextProbeTarget(random)
		})
		if ok {
			go in.probe(ctx, target, random.Uint64())
		}
		sleep(ctx, probeEvery)
	}
}

func (in *Instance) probe(ctx context.Context, target membership.Member, seed uint64) {
	answer, err := in.sendPing(ctx, target.Address, in.newPing(target.ID), probeTimeout/2)
	if err == nil {
		in.takePing(answer)
		in.catchUp(ctx, target.Address, answer.Version)
		return
	}
	if in.probeThroughOthers(ctx, target, seed) {
		return
	}
	in.members.with(func(t *membership.Table) { t.RecordProbeFailure(target.ID, time.Now()) })
}

func (in *Instance) sendPing(ctx context.Context, address string, p ping, timeout time.Duration) (ping, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer ping
	err := in.peers.Call(callCtx, address, methodPing, p, &answer)
	return answer, err
}

// probeThroughOthers asks others to probe, so that a fault between the two does
// not count as a death.
func (in *Instance) probeThroughOthers(ctx context.Context, target membership.Member, seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, seed))
	var through []membership.Member
	in.members.with(func(t *membership.Table) { through = t.IndirectProbers(random, target.ID, helpers) })
	for _, helper := range through {
		p := in.newPing(helper.ID)
		p.Target = &target
		if _, err := in.sendPing(ctx, helper.Address, p, probeTimeout); err == nil {
			return true
		}
	}
	return false
}

// catchUp fetches the configuration from a peer that has a newer one. Peers
// have it from the log, so this matters only where the log can't be read.
func (in *Instance) catchUp(ctx context.Context, address string, version configuration.Version) {
	if version <= in.configuration.Current().Version || !in.logAway() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var snapshot configuration.Snapshot
	if err := in.peers.Call(callCtx, address, methodConfiguration, nil, &snapshot); err != nil {
		return // the next probe tries again
	}
	if in.configuration.Adopt(snapshot) {
		in.configured(snapshot)
	}
}

// announceLeave tells the data centre's peers at once, ahead of the probes.
func (in *Instance) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	in.list(ctx)
	var wg sync.WaitGroup
	for _, m := range in.members.present(in.Settings.DataCentre) {
		if m.ID == in.ID {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = in.sendPing(ctx, m.Address, in.newPing(m.ID), time.Second) // the probes say it again
		}()
	}
	wg.Wait()
}

// plans tells whether this instance holds the planner's role.
func (in *Instance) plans() bool {
	if in.leaving.Load() || !in.recovered.Load() {
		return false
	}
	m, ok := in.members.planner(in.Settings.DataCentre)
	return ok && m.ID == in.ID
}

func (in *Instance) planningChanged(planning bool) {
	in.planning.Store(planning)
	value := 0.0
	if planning {
		value = 1
	}
	in.Metrics.planning.Set(value)
	in.log.WithFields(logrus.Fields{"planning": planning}).Info("planner's role changed")
}

// Peers returns how many instances are believed to be there, this one included.
func (in *Instance) Peers() int {
	n := 0
	for _, m := range in.members.all() {
		if m.State == membership.Alive || m.State == membership.Suspect {
			n++
		}
	}
	return n
}
