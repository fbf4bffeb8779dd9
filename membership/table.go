// Package membership tells who is alive, by SWIM: every instance probes one
// peer a second and asks others to probe for it before it suspects, and news
// travels with the probes. What a daemon sends does not grow with the number
// of instances. From who is alive follows, by rendezvous hashing, who plans;
// nothing unsafe follows when two instances see that differently.
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

// State is what is believed of a member.
type State string

// The states. For one incarnation of a member each outranks the one before.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)

var rank = map[State]int{Alive: 0, Suspect: 1, Dead: 2, Left: 3}

// Member is one instance and the newest news of it.
type Member struct {
	ID         domain.InstanceID `json:"id"`
	DataCentre domain.DataCentre `json:"dc"`
	Address    string            `json:"addr"`
	State      State             `json:"state"`
	// Incarnation is counted up by the member itself to refute a suspicion.
	Incarnation uint64 `json:"inc"`
}

// Options bound membership.
type Options struct {
	// Suspicion is how long a suspect has to refute.
	Suspicion time.Duration
	// Forget is how long dead members are remembered, so that late news does
	// not bring them back.
	Forget time.Duration
	// Piggyback bounds the news in one message.
	Piggyback int
	// DeadEvery makes every so many-th probe go to a member believed dead, so
	// that two sides of a partition find each other again.
	DeadEvery int
	// RemoteEvery makes every so many-th probe go to another data centre.
	RemoteEvery int
}

// DefaultOptions detect a death in about three seconds.
func DefaultOptions() Options {
	return Options{Suspicion: 2 * time.Second, Forget: 10 * time.Minute, Piggyback: 8, DeadEvery: 5, RemoteEvery: 4}
}

type entry struct {
	Member
	changed time.Time
	// sends is how often the news has been passed on.
	sends int
	// probed is when the member last answered this instance.
	probed time.Time
}

func (e *entry) present() bool { return rank[e.State] < rank[Dead] }

// Table is what one instance believes. It has no I/O; not safe for concurrent
// use.
type Table struct {
	self    Member
	options Options
	members map[domain.InstanceID]*entry
	probes  int
	order   []domain.InstanceID
}

// NewTable returns a table that knows only its own instance.
func NewTable(self Member, options Options) *Table {
	self.State = Alive
	return &Table{self: self, options: options, members: map[domain.InstanceID]*entry{}}
}

// Self returns the own entry.
func (t *Table) Self() Member { return t.self }

// Leave makes the instance say that it leaves.
func (t *Table) Leave() { t.self.State = Left }

// List takes in the platform's list: members not heard of yet are taken for
// alive until a probe says otherwise. A listed member that is believed dead
// stays dead until it speaks for itself.
func (t *Table) List(listed []port.ListedInstance, now time.Time) {
	for _, l := range listed {
		if _, known := t.members[l.ID]; known || l.ID == t.self.ID || l.Leaving {
			continue
		}
		t.retireAddress(l.Address, now)
		t.members[l.ID] = &entry{
			Member:  Member{ID: l.ID, DataCentre: l.DataCentre, Address: l.Address, State: Alive},
			changed: now, sends: math.MaxInt / 2,
		}
	}
}

// retireAddress ends members whose address a new instance has taken over.
func (t *Table) retireAddress(address string, now time.Time) {
	for _, e := range t.members {
		if e.Address == address && rank[e.State] < rank[Dead] {
			e.State = Dead
			e.changed = now
			e.sends = 0
		}
	}
}

// Merge takes in news. A higher incarnation wins, then the worse state. News
// that the own instance is suspected is refuted.
func (t *Table) Merge(news []Member, now time.Time) {
	for _, m := range news {
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
		if rank[m.State] >= rank[Dead] {
			return
		}
		t.retireAddress(m.Address, now)
		t.members[m.ID] = &entry{Member: m, changed: now}
		return
	}
	newer := m.Incarnation > e.Incarnation
	worse := m.Incarnation == e.Incarnation && rank[m.State] > rank[e.State]
	if newer || worse {
		e.Member = m
		e.changed = now
		e.sends = 0
	}
}

// Answered notes that a member answered, with its own word on itself.
func (t *Table) Answered(m Member, now time.Time) {
	t.merge(m, now)
	if e, ok := t.members[m.ID]; ok {
		e.probed = now
		if e.State == Suspect && m.State == Alive && m.Incarnation >= e.Incarnation {
			e.State = Alive
			e.changed = now
			e.sends = 0
		}
	}
}

// Unanswered notes that neither the member nor those asked to probe it got an
// answer.
func (t *Table) Unanswered(id domain.InstanceID, now time.Time) {
	if e, ok := t.members[id]; ok && e.State == Alive {
		e.State = Suspect
		e.changed = now
		e.sends = 0
	}
}

// Tick ends suspicions and forgets the long dead.
func (t *Table) Tick(now time.Time) {
	for id, e := range t.members {
		age := now.Sub(e.changed)
		if e.State == Suspect && age >= t.options.Suspicion {
			e.State = Dead
			e.changed = now
			e.sends = 0
		}
		if rank[e.State] >= rank[Dead] && age >= t.options.Forget {
			delete(t.members, id)
		}
	}
}

// News returns what to pass on with the next message to a member: the own
// entry, what is believed of the receiver if that is not that it is alive, so
// that it can refute it, and the freshest news that has not been sent often
// enough.
func (t *Table) News(to domain.InstanceID) []Member {
	var fresh []*entry
	limit := t.sendLimit()
	for _, e := range t.members {
		if e.sends < limit {
			fresh = append(fresh, e)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sends != fresh[j].sends {
			return fresh[i].sends < fresh[j].sends
		}
		return fresh[i].ID < fresh[j].ID
	})
	out := []Member{t.self}
	if e, ok := t.members[to]; ok && e.State != Alive {
		out = append(out, e.Member)
	}
	for _, e := range fresh[:min(len(fresh), t.options.Piggyback)] {
		e.sends++
		out = append(out, e.Member)
	}
	return out
}

// sendLimit makes sure that news reaches everybody with high probability:
// SWIM's lambda log n.
func (t *Table) sendLimit() int {
	return 3 * int(math.Ceil(math.Log2(float64(len(t.members)+2))))
}

// Target returns the member to probe next: the own data centre's in turn, in an
// order shuffled anew each round, and now and then one elsewhere.
func (t *Table) Target(random *rand.Rand) (Member, bool) {
	t.probes++
	if t.options.DeadEvery > 0 && t.probes%t.options.DeadEvery == 0 {
		if m, ok := t.pick(random, func(e *entry) bool { return e.State == Dead }); ok {
			return m, true
		}
	}
	if t.options.RemoteEvery > 0 && t.probes%t.options.RemoteEvery == 0 {
		if m, ok := t.pick(random, func(e *entry) bool { return e.present() && e.DataCentre != t.self.DataCentre }); ok {
			return m, true
		}
	}
	for range 2 {
		for len(t.order) > 0 {
			id := t.order[0]
			t.order = t.order[1:]
			if e, ok := t.members[id]; ok && rank[e.State] < rank[Dead] {
				return e.Member, true
			}
		}
		t.shuffle(random)
	}
	return t.pick(random, (*entry).present)
}

func (t *Table) shuffle(random *rand.Rand) {
	for id, e := range t.members {
		if e.DataCentre == t.self.DataCentre && rank[e.State] < rank[Dead] {
			t.order = append(t.order, id)
		}
	}
	sort.Slice(t.order, func(i, j int) bool { return t.order[i] < t.order[j] })
	random.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

func (t *Table) pick(random *rand.Rand, want func(*entry) bool) (Member, bool) {
	var ids []domain.InstanceID
	for id, e := range t.members {
		if want(e) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Member{}, false
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return t.members[ids[random.IntN(len(ids))]].Member, true
}

// Helpers returns up to n members, other than the target, to probe through.
func (t *Table) Helpers(random *rand.Rand, target domain.InstanceID, n int) []Member {
	var out []Member
	for range 4 * n {
		m, ok := t.pick(random, func(e *entry) bool { return e.ID != target && e.State == Alive })
		if !ok || len(out) == n {
			break
		}
		out = append(out, m)
	}
	return out
}

// Members returns all members, the own instance included, in order of id.
func (t *Table) Members() []Member {
	out := []Member{t.self}
	for _, e := range t.members {
		out = append(out, e.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Present returns the members that may be counted on: alive or suspect, and not
// leaving.
func (t *Table) Present(dc domain.DataCentre) []Member {
	var out []Member
	for _, m := range t.Members() {
		if m.DataCentre == dc && rank[m.State] < rank[Dead] {
			out = append(out, m)
		}
	}
	return out
}

// Planner returns the instance that plans for a data centre: the highest
// rendezvous hash among those present. A change of members moves the role only
// when it concerns the winner.
func (t *Table) Planner(dc domain.DataCentre) (Member, bool) {
	return Rendezvous("planner/"+string(dc), t.Present(dc))
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
