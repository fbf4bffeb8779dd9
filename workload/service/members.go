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

// member is what an instance says of itself.
type member struct {
	Address string `json:"address"`
	// Power orders the candidates for the planner's role; more goes first.
	Power float64 `json:"power"`
	// DataCentre is where the instance is.
	DataCentre string `json:"centre,omitempty"`
}

// members knows the other instances: where they are, so that one that the log
// turns away can reach it through them, and how strong they are, so that a
// strong one plans.
type members struct {
	self     string
	own      member
	log      Log
	follower *follower
	// changed takes the addresses of the others and this one's place among all by
	// power.
	changed func(others []string, place int)

	mu     sync.Mutex
	others map[string]member
	// listed is what the log has of this instance.
	registered member
}

const (
	// memberWait is how long a read waits for a new member.
	memberWait = 10 * time.Second
	// memberPeriod is the least time between two reads: where many instances come at
	// once, each would read each of the others by itself (147 x 147 calls).
	memberReadInterval = 100 * time.Millisecond
)

func newMembers(s *Service) *members {
	m := &members{self: s.settings.Instance, own: member{s.settings.Address, s.settings.Power, s.settings.DataCentre}, log: s.log, others: map[string]member{}}
	m.changed = func(others []string, place int) {
		s.succession.setTurn(place)
		s.standby.setRank(place)
		if s.settings.Peers != nil {
			s.settings.Peers(others)
		}
	}
	m.follower = s.follow(Members, m.applyAll, m.apply, func() time.Duration { return 0 })
	// Each of N instances that start together reads N entries; with the order made anew at each
	// of them that were N orders of N members for everybody.
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

// awaitFirst waits a while for the first read: an instance that starts again with the
// address that it had need not be written, nor read by all others.
func (m *members) awaitFirstRead(ctx context.Context) {
	for until := time.Now().Add(firstReadTimeout); ctx.Err() == nil && !m.follower.everRead() && time.Now().Before(until); {
		sleep(ctx, firstReadTimeout/20)
	}
}

// firstMembers is how long an instance waits to read the members before it writes
// itself in.
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

// tell tells who the others are, and where this instance stands among all.
func (m *members) notifyChanged() {
	m.mu.Lock()
	all := maps.Clone(m.others)
	m.mu.Unlock()
	all[m.self] = m.own
	order := orderCandidates(all)
	place := slices.Index(order, m.self)
	m.changed(m.peers(all, order, place), place)
}

// peers are the addresses of the others, those first that calls to the log are
// handed to where it does not serve this instance. What a planner or a standby writes
// and reads would be held up by a weak instance on a thin link: they turn to each other.
// The rest take those behind them, each others, so that the strong ones are left to
// the planner.
func (m *members) peers(all map[string]member, order []string, place int) []string {
	from := 0
	if m.own.Power < all[order[0]].Power {
		from = place + 1
	}
	var out []string
	for i := range order {
		if name := order[(from+i)%len(order)]; name != m.self {
			out = append(out, all[name].Address)
		}
	}
	return out
}

// candidates orders instances by how they come in question for the planner's role:
// the stronger ones first, and of equals one of each data centre, then a second one
// of each, so that those who stand by are not lost together.
func orderCandidates(all map[string]member) []string {
	names := slices.Sorted(maps.Keys(all))
	type class struct {
		power  float64
		centre string
	}
	before := map[class]int{}
	ordinal := map[string]int{}
	for _, name := range names {
		c := class{all[name].Power, all[name].DataCentre}
		ordinal[name] = before[c]
		before[c]++
	}
	slices.SortStableFunc(names, func(a, b string) int {
		if by := cmp.Compare(all[b].Power, all[a].Power); by != 0 {
			return by
		}
		return cmp.Compare(ordinal[a], ordinal[b])
	})
	return names
}
