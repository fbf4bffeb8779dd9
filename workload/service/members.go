package service

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// member is the record that an instance writes about itself.
type member struct {
	Address string `json:"address"`
	// EffectiveCores orders the candidates for the planner's role; the highest comes first.
	EffectiveCores float64 `json:"power"`
	// DataCentre is the data centre of the instance.
	DataCentre string `json:"centre,omitempty"`
}

// members tracks the other instances: their addresses, so that an instance that the log refuses
// can reach it through them, and their power, so that a powerful instance plans.
type members struct {
	self     string
	own      member
	log      Log
	follower *follower
	// changed receives the addresses of the other instances and the rank of this one among the
	// candidates for the planner's role.
	changed func(others []string, rank int)

	mu     sync.Mutex
	others map[string]member
	// registered is this instance's record in the log.
	registered member
}

const (
	// memberWait is how long a read waits for a new member.
	memberWait = 10 * time.Second
	// memberReadInterval is the minimum time between two reads. Without it, when many instances
	// start together, each reads the record of every other one in a separate call (147 x 147
	// calls).
	memberReadInterval = 100 * time.Millisecond
)

func newMembers(s *Service) *members {
	m := &members{self: s.settings.Instance, own: member{s.settings.Address, s.settings.EffectiveCores, s.settings.DataCentre}, log: s.log, others: map[string]member{}}
	m.changed = func(others []string, rank int) {
		s.succession.setTurn(rank)
		s.standby.setRank(rank)
		if s.settings.OnPeersChanged != nil {
			s.settings.OnPeersChanged(others)
		}
	}
	m.follower = s.follow(Members, m.applyAll, m.apply, func() time.Duration { return 0 })
	// The order is updated once a page: when N instances start together, updating it at each of
	// the N entries means sorting N members N times on every instance.
	m.follower.afterPage = m.notifyChanged
	m.follower.wait = func() time.Duration { return memberWait }
	m.follower.interval = func() time.Duration { return memberReadInterval }
	return m
}

func (m *members) run(ctx context.Context) {
	if m.own.Address == "" {
		return
	}
	var reading sync.WaitGroup
	reading.Go(func() { m.follower.run(ctx) })
	defer reading.Wait()
	value, err := json.Marshal(m.own)
	if err != nil {
		return
	}
	m.awaitFirstRead(ctx)
	for ctx.Err() == nil && !m.isRegistered() {
		_, err := m.log.Append(ctx, Members, []control.Record{{Key: m.self, Value: value}}, nil)
		if err == nil {
			return
		}
		sleep(ctx, readRetryPause)
	}
}

// awaitFirstRead waits a while for the first read: an instance that restarts with the same
// address need not write its record again, and the others need not read it.
func (m *members) awaitFirstRead(ctx context.Context) {
	for until := time.Now().Add(firstReadTimeout); ctx.Err() == nil && !m.follower.everRead() && time.Now().Before(until); {
		sleep(ctx, firstReadTimeout/20)
	}
}

// firstReadTimeout is how long an instance waits to read the members before it writes its own
// record.
const firstReadTimeout = time.Second

func (m *members) isRegistered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registered == m.own
}

func (m *members) applyAll(entries []Entry) {
	for _, e := range entries {
		m.apply(e)
	}
	m.notifyChanged()
}

func (m *members) apply(e Entry) {
	other := member{}
	if json.Unmarshal(e.Value, &other) != nil || other.Address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Key == m.self {
		m.registered = other
		return
	}
	m.others[e.Key] = other
}

// notifyChanged passes on the addresses of the other instances and this one's rank.
func (m *members) notifyChanged() {
	m.mu.Lock()
	all := maps.Clone(m.others)
	m.mu.Unlock()
	all[m.self] = m.own
	order := orderCandidates(all)
	rank := slices.Index(order, m.self)
	m.changed(m.peers(all, order, rank), rank)
}

// peers returns the addresses of the other instances, in the order in which calls to the log
// are forwarded to them when the log does not serve this instance. The most powerful instances
// forward to each other, since a weak instance on a slow link would delay what a planner or a
// standby reads and writes. Any other instance starts with the one ranked after it, so that the
// load is spread and the powerful ones stay free for planning.
func (m *members) peers(all map[string]member, order []string, rank int) []string {
	from := 0
	if m.own.EffectiveCores < all[order[0]].EffectiveCores {
		from = rank + 1
	}
	var out []string
	for i := range order {
		if name := order[(from+i)%len(order)]; name != m.self {
			out = append(out, all[name].Address)
		}
	}
	return out
}

// orderCandidates sorts the instances by rank for the planner's role: by effective cores, and among
// equals one of each data centre, then a second one of each and so on, so that the standbys are
// not all lost together.
func orderCandidates(all map[string]member) []string {
	names := slices.Sorted(maps.Keys(all))
	type class struct {
		cores  float64
		centre string
	}
	before := map[class]int{}
	ordinal := map[string]int{}
	for _, name := range names {
		c := class{all[name].EffectiveCores, all[name].DataCentre}
		ordinal[name] = before[c]
		before[c]++
	}
	slices.SortStableFunc(names, func(a, b string) int {
		if by := cmp.Compare(all[b].EffectiveCores, all[a].EffectiveCores); by != 0 {
			return by
		}
		return cmp.Compare(ordinal[a], ordinal[b])
	})
	return names
}
