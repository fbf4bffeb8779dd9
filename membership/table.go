// Package membership tracks which instances are alive, with the SWIM protocol:
// every instance probes one peer a second, asks other peers to probe a silent
// one before it suspects it, and attaches membership updates to the probes. The
// traffic of one instance does not grow with the number of instances. The
// planner of a data centre is chosen among its live instances by rendezvous
// hashing; it is safe for two instances to disagree about it.
package membership

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// State is the state of a member as seen by one instance.
type State string

// The states. Within one incarnation of a member each overrides the ones before
// it.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)

var precedence = map[State]int{Alive: 0, Suspect: 1, Dead: 2, Left: 3}

// Member is one instance and its newest known state.
type Member struct {
	ID         domain.InstanceID `json:"id"`
	DataCentre domain.DataCentre `json:"dc"`
	Address    string            `json:"addr"`
	State      State             `json:"state"`
	// Incarnation is incremented by the member itself to refute a suspicion.
	Incarnation uint64 `json:"inc"`
}

// Options holds the parameters of the protocol.
type Options struct {
	// SuspicionTimeout is how long a suspected member may take to refute the
	// suspicion.
	SuspicionTimeout time.Duration
	// DeadRetention is how long dead members are kept, so that late updates do
	// not revive them.
	DeadRetention time.Duration
	// MaxPiggyback bounds the updates about other members in one message.
	MaxPiggyback int
	// DeadProbeEvery n sends every nth probe to a dead member, so that the two
	// sides of a partition rejoin once it has healed.
	DeadProbeEvery int
	// RemoteProbeEvery n sends every nth probe to another data centre.
	RemoteProbeEvery int
}

// DefaultOptions returns options with which a death is detected in about three
// seconds.
func DefaultOptions() Options {
	return Options{SuspicionTimeout: 2 * time.Second, DeadRetention: 10 * time.Minute, MaxPiggyback: 8, DeadProbeEvery: 5, RemoteProbeEvery: 4}
}

type entry struct {
	Member
	changed time.Time
	// transmissions is how often the newest state has been sent to others.
	transmissions int
	// lastAck is when the member last answered a probe of this instance.
	lastAck time.Time
}

func (e *entry) isLive() bool { return precedence[e.State] < precedence[Dead] }

// Table holds one instance's view of the members. It does no I/O and is not safe
// for concurrent use.
type Table struct {
	self       Member
	options    Options
	members    map[domain.InstanceID]*entry
	probeCount int
	probeOrder []domain.InstanceID
}

// NewTable returns a table with only the own instance in it.
func NewTable(self Member, options Options) *Table {
	self.State = Alive
	return &Table{self: self, options: options, members: map[domain.InstanceID]*entry{}}
}

// Self returns the own entry.
func (t *Table) Self() Member { return t.self }

// Leave marks the own instance as having left.
func (t *Table) Leave() { t.self.State = Left }

// AddListed adds the instances of the platform's list. Unknown ones are
// considered alive until a probe fails. A listed member that is dead stays dead
// until it refutes that itself.
func (t *Table) AddListed(listed []port.ListedInstance, now time.Time) {
	for _, l := range listed {
		if _, known := t.members[l.ID]; known || l.ID == t.self.ID || l.Leaving {
			continue
		}
		t.markAddressReused(l.Address, now)
		t.members[l.ID] = &entry{
			Member:  Member{ID: l.ID, DataCentre: l.DataCentre, Address: l.Address, State: Alive},
			changed: now, transmissions: math.MaxInt / 2,
		}
	}
}

// markAddressReused marks members as dead whose address a new instance has taken
// over.
func (t *Table) markAddressReused(address string, now time.Time) {
	for _, e := range t.members {
		if e.Address == address && precedence[e.State] < precedence[Dead] {
			e.State = Dead
			e.changed = now
			e.transmissions = 0
		}
	}
}

// Merge applies updates. The higher incarnation wins, then the state with the
// higher precedence. An update that the own instance is suspected, dead or has
// left is refuted.
func (t *Table) Merge(updates []Member, now time.Time) {
	for _, m := range updates {
		if m.ID == t.self.ID {
			t.refute(m)
			continue
		}
		t.merge(m, now)
	}
}

func (t *Table) refute(m Member) {
	if t.self.State == Alive && m.State != Alive && m.Incarnation >= t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1
	}
}

func (t *Table) merge(m Member, now time.Time) {
	e, known := t.members[m.ID]
	if !known {
		if precedence[m.State] >= precedence[Dead] {
			return
		}
		t.markAddressReused(m.Address, now)
		t.members[m.ID] = &entry{Member: m, changed: now}
		return
	}
	newer := m.Incarnation > e.Incarnation
	worse := m.Incarnation == e.Incarnation && precedence[m.State] > precedence[e.State]
	if newer || worse {
		e.Member = m
		e.changed = now
		e.transmissions = 0
	}
}

// RecordAck records that a member answered a probe and reported itself as m.
func (t *Table) RecordAck(m Member, now time.Time) {
	t.merge(m, now)
	if e, ok := t.members[m.ID]; ok {
		e.lastAck = now
		if e.State == Suspect && m.State == Alive && m.Incarnation >= e.Incarnation {
			e.State = Alive
			e.changed = now
			e.transmissions = 0
		}
	}
}

// RecordProbeFailure records that a member answered neither a direct probe nor
// an indirect one.
func (t *Table) RecordProbeFailure(id domain.InstanceID, now time.Time) {
	if e, ok := t.members[id]; ok && e.State == Alive {
		e.State = Suspect
		e.changed = now
		e.transmissions = 0
	}
}

// Tick marks members as dead whose suspicion has timed out, and removes those
// that have been dead or gone for DeadRetention.
func (t *Table) Tick(now time.Time) {
	for id, e := range t.members {
		age := now.Sub(e.changed)
		if e.State == Suspect && age >= t.options.SuspicionTimeout {
			e.State = Dead
			e.changed = now
			e.transmissions = 0
		}
		if precedence[e.State] >= precedence[Dead] && age >= t.options.DeadRetention {
			delete(t.members, id)
		}
	}
}

// Updates returns the entries to attach to the next message to a member: the own
// entry, the receiver's entry unless it is alive, so that it can refute it, and
// those that have been sent the fewest times and not yet often enough.
func (t *Table) Updates(to domain.InstanceID) []Member {
	var candidates []*entry
	limit := t.retransmitLimit()
	for _, e := range t.members {
		if e.transmissions < limit {
			candidates = append(candidates, e)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].transmissions != candidates[j].transmissions {
			return candidates[i].transmissions < candidates[j].transmissions
		}
		return candidates[i].ID < candidates[j].ID
	})
	out := []Member{t.self}
	if e, ok := t.members[to]; ok && e.State != Alive {
		out = append(out, e.Member)
	}
	for _, e := range candidates[:min(len(candidates), t.options.MaxPiggyback)] {
		e.transmissions++
		out = append(out, e.Member)
	}
	return out
}

// retransmitLimit returns how often an update is sent, so that it reaches all
// members with high probability: lambda log n in SWIM.
func (t *Table) retransmitLimit() int {
	return 3 * int(math.Ceil(math.Log2(float64(len(t.members)+2))))
}

// NextProbeTarget returns the member to probe next. It goes round the members of
// the own data centre in an order that is shuffled for each round, with some
// probes to dead members and other data centres in between.
func (t *Table) NextProbeTarget(random *rand.Rand) (Member, bool) {
	t.probeCount++
	if t.options.DeadProbeEvery > 0 && t.probeCount%t.options.DeadProbeEvery == 0 {
		if m, ok := t.randomMember(random, func(e *entry) bool { return e.State == Dead }); ok {
			return m, true
		}
	}
	if t.options.RemoteProbeEvery > 0 && t.probeCount%t.options.RemoteProbeEvery == 0 {
		if m, ok := t.randomMember(random, func(e *entry) bool { return e.isLive() && e.DataCentre != t.self.DataCentre }); ok {
			return m, true
		}
	}
	for range 2 {
		for len(t.probeOrder) > 0 {
			id := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if e, ok := t.members[id]; ok && precedence[e.State] < precedence[Dead] {
				return e.Member, true
			}
		}
		t.startProbeRound(random)
	}
	return t.randomMember(random, (*entry).isLive)
}

func (t *Table) startProbeRound(random *rand.Rand) {
	for id, e := range t.members {
		if e.DataCentre == t.self.DataCentre && precedence[e.State] < precedence[Dead] {
			t.probeOrder = append(t.probeOrder, id)
		}
	}
	sort.Slice(t.probeOrder, func(i, j int) bool { return t.probeOrder[i] < t.probeOrder[j] })
	random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

func (t *Table) randomMember(random *rand.Rand, matches func(*entry) bool) (Member, bool) {
	var ids []domain.InstanceID
	for id, e := range t.members {
		if matches(e) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Member{}, false
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return t.members[ids[random.IntN(len(ids))]].Member, true
}

// IndirectProbers returns up to n members that are alive, other than the target,
// to probe it through. A member may be among them more than once.
func (t *Table) IndirectProbers(random *rand.Rand, target domain.InstanceID, n int) []Member {
	var out []Member
	for range 4 * n {
		m, ok := t.randomMember(random, func(e *entry) bool { return e.ID != target && e.State == Alive })
		if !ok || len(out) == n {
			break
		}
		out = append(out, m)
	}
	return out
}

// Members returns all members, including the own instance, sorted by id.
func (t *Table) Members() []Member {
	out := []Member{t.self}
	for _, e := range t.members {
		out = append(out, e.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Live returns the members of a data centre that are alive or suspected, the own
// instance included.
func (t *Table) Live(dc domain.DataCentre) []Member {
	var out []Member
	for _, m := range t.Members() {
		if m.DataCentre == dc && precedence[m.State] < precedence[Dead] {
			out = append(out, m)
		}
	}
	return out
}

// Planner returns the instance that plans for a data centre: the live one with
// the highest rendezvous hash. A change of members moves the role only if it
// removes this instance or adds one with a higher hash.
func (t *Table) Planner(dc domain.DataCentre) (Member, bool) {
	return Rendezvous("planner/"+string(dc), t.Live(dc))
}

// Rendezvous returns the member with the highest hash for the key.
func Rendezvous(key string, members []Member) (Member, bool) {
	var best Member
	var bestHash uint64
	for i, m := range members {
		if h := xxhash.Sum64String(key + "|" + string(m.ID)); i == 0 || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best, len(members) > 0
}
