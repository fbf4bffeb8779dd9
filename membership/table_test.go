package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// cluster simulates probes between tables in steps of one second. cut reports
// whether messages from one member to another are lost.
type cluster struct {
	tables     map[domain.InstanceID]*Table
	random     *rand.Rand
	now        time.Time
	cut        func(from, to domain.InstanceID) bool
	maxUpdates int
}

func newCluster(n int) *cluster {
	m := &cluster{tables: map[domain.InstanceID]*Table{}, random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0)}
	m.cut = func(domain.InstanceID, domain.InstanceID) bool { return false }
	var all []Member
	for i := range n {
		all = append(all, Member{ID: domain.InstanceID(fmt.Sprintf("i%03d", i)), DataCentre: "dc", Address: fmt.Sprint("a", i), State: Alive})
	}
	for _, self := range all {
		t := NewTable(self, DefaultOptions())
		t.Merge(all, m.now)
		m.tables[self.ID] = t
	}
	return m
}

func (m *cluster) exchange(from, to domain.InstanceID) bool {
	target, there := m.tables[to]
	if !there || m.cut(from, to) {
		return false
	}
	updates := m.tables[from].Updates(to)
	m.maxUpdates = max(m.maxUpdates, len(updates))
	target.Merge(updates, m.now)
	target.RecordAck(m.tables[from].Self(), m.now)
	if m.cut(to, from) {
		return false
	}
	m.tables[from].Merge(target.Updates(from), m.now)
	m.tables[from].RecordAck(target.Self(), m.now)
	return true
}

func (m *cluster) step() {
	for i := range len(m.tables) + 1 {
		id := domain.InstanceID(fmt.Sprintf("i%03d", i))
		t, ok := m.tables[id]
		if !ok {
			continue
		}
		t.Tick(m.now)
		target, ok := t.NextProbeTarget(m.random)
		if !ok || m.exchange(id, target.ID) {
			continue
		}
		reached := false
		for _, h := range t.IndirectProbers(m.random, target.ID, 2) {
			reached = reached || (m.exchange(id, h.ID) && m.exchange(h.ID, target.ID))
		}
		if !reached {
			t.RecordProbeFailure(target.ID, m.now)
		}
	}
	m.now = m.now.Add(time.Second)
}

func (m *cluster) countLiveViews(of domain.InstanceID) int {
	n := 0
	for id, t := range m.tables {
		for _, p := range t.Live("dc") {
			if p.ID == of && id != of {
				n++
			}
		}
	}
	return n
}

func TestDeathReachesAllMembersInBoundedMessages(t *testing.T) {
	for _, n := range []int{8, 100} {
		m := newCluster(n)
		for range 5 {
			m.step()
		}
		delete(m.tables, "i000")
		steps := 0
		for m.countLiveViews("i000") > 0 && steps < 60 {
			m.step()
			steps++
		}
		if steps == 60 {
			t.Errorf("%d instances: %d still consider the dead one live", n, m.countLiveViews("i000"))
		}
		if limit := 2 + DefaultOptions().MaxPiggyback; m.maxUpdates > limit {
			t.Errorf("%d instances: a message had %d updates, want at most %d", n, m.maxUpdates, limit)
		}
		t.Logf("%d instances: all members recorded the death after %d s", n, steps)
	}
}

func TestOneWayFaultBetweenTwoMembersCausesNoDeath(t *testing.T) {
	m := newCluster(8)
	m.cut = func(from, to domain.InstanceID) bool { return from == "i001" && to == "i002" }
	for range 120 {
		m.step()
	}
	for id := range m.tables {
		if got := m.countLiveViews(id); got != 7 {
			t.Errorf("%d of 7 consider %s live", got, id)
		}
	}
}

func TestPausedInstanceThatReturnsRefutesItsDeath(t *testing.T) {
	m := newCluster(8)
	paused := true
	m.cut = func(from, to domain.InstanceID) bool { return paused && (from == "i003" || to == "i003") }
	for range 30 {
		m.step()
	}
	if m.countLiveViews("i003") > 0 {
		t.Fatal("the paused instance is still considered live")
	}
	paused = false
	for range 60 {
		m.step()
	}
	if got := m.countLiveViews("i003"); got != 7 {
		t.Errorf("%d of 7 consider the resumed instance live", got)
	}
}

func TestPartitionedMembersRejoinAfterwards(t *testing.T) {
	m := newCluster(8)
	partitioned := true
	side := func(id domain.InstanceID) bool { return id < "i004" }
	m.cut = func(from, to domain.InstanceID) bool { return partitioned && side(from) != side(to) }
	for range 60 {
		m.step()
	}
	partitioned = false
	for range 60 {
		m.step()
	}
	for id := range m.tables {
		if got := m.countLiveViews(id); got != 7 {
			t.Errorf("%d of 7 consider %s live", got, id)
		}
	}
}

func TestLeavingInstanceDoesNotPlanAndReusedAddressEvictsOldMember(t *testing.T) {
	m := newCluster(3)
	table := m.tables["i000"]
	planner, _ := table.Planner("dc")
	left := planner
	left.State = Left
	if planner.ID == "i000" {
		table.Leave()
	} else {
		table.Merge([]Member{left}, m.now)
	}
	if next, _ := table.Planner("dc"); next.ID == planner.ID {
		t.Error("an instance that has left is still the planner")
	}
	table.Merge([]Member{{ID: "new", DataCentre: "dc", Address: "a2", State: Alive}}, m.now)
	for _, p := range table.Live("dc") {
		if p.ID == "i002" {
			t.Error("the instance whose address was taken over is still live")
		}
	}
}
