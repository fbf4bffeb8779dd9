package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// mesh plays probes between tables in steps of a second. cut tells whether a
// message from one to the other is lost.
type mesh struct {
	tables  map[domain.InstanceID]*Table
	random  *rand.Rand
	now     time.Time
	cut     func(from, to domain.InstanceID) bool
	largest int
}

func newMesh(n int) *mesh {
	m := &mesh{tables: map[domain.InstanceID]*Table{}, random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0)}
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

func (m *mesh) exchange(from, to domain.InstanceID) bool {
	target, there := m.tables[to]
	if !there || m.cut(from, to) {
		return false
	}
	news := m.tables[from].News(to)
	m.largest = max(m.largest, len(news))
	target.Merge(news, m.now)
	target.Answered(m.tables[from].Self(), m.now)
	if m.cut(to, from) {
		return false
	}
	m.tables[from].Merge(target.News(from), m.now)
	m.tables[from].Answered(target.Self(), m.now)
	return true
}

func (m *mesh) step() {
	for i := range len(m.tables) + 1 {
		id := domain.InstanceID(fmt.Sprintf("i%03d", i))
		t, ok := m.tables[id]
		if !ok {
			continue
		}
		t.Tick(m.now)
		target, ok := t.Target(m.random)
		if !ok || m.exchange(id, target.ID) {
			continue
		}
		helped := false
		for _, h := range t.Helpers(m.random, target.ID, 2) {
			helped = helped || (m.exchange(id, h.ID) && m.exchange(h.ID, target.ID))
		}
		if !helped {
			t.Unanswered(target.ID, m.now)
		}
	}
	m.now = m.now.Add(time.Second)
}

func (m *mesh) believers(of domain.InstanceID) int {
	n := 0
	for id, t := range m.tables {
		for _, p := range t.Present("dc") {
			if p.ID == of && id != of {
				n++
			}
		}
	}
	return n
}

func TestDeathIsKnownEverywhereAndNewsStayBounded(t *testing.T) {
	for _, n := range []int{8, 100} {
		m := newMesh(n)
		for range 5 {
			m.step()
		}
		delete(m.tables, "i000")
		steps := 0
		for m.believers("i000") > 0 && steps < 60 {
			m.step()
			steps++
		}
		if steps == 60 {
			t.Errorf("%d instances: %d still believe in the dead one", n, m.believers("i000"))
		}
		if limit := 2 + DefaultOptions().Piggyback; m.largest > limit {
			t.Errorf("%d instances: a message carried %d members, more than %d", n, m.largest, limit)
		}
		t.Logf("%d instances: known everywhere after %d s", n, steps)
	}
}

func TestOneWayFaultBetweenTwoKillsNobody(t *testing.T) {
	m := newMesh(8)
	m.cut = func(from, to domain.InstanceID) bool { return from == "i001" && to == "i002" }
	for range 120 {
		m.step()
	}
	for id := range m.tables {
		if got := m.believers(id); got != 7 {
			t.Errorf("%d of 7 believe that %s is there", got, id)
		}
	}
}

func TestPausedInstanceThatReturnsRefutesItsDeath(t *testing.T) {
	m := newMesh(8)
	paused := true
	m.cut = func(from, to domain.InstanceID) bool { return paused && (from == "i003" || to == "i003") }
	for range 30 {
		m.step()
	}
	if m.believers("i003") > 0 {
		t.Fatal("the paused instance is still believed to be there")
	}
	paused = false
	for range 60 {
		m.step()
	}
	if got := m.believers("i003"); got != 7 {
		t.Errorf("%d of 7 believe that it is back", got)
	}
}

func TestTwoSidesOfAPartitionFindEachOtherAgain(t *testing.T) {
	m := newMesh(8)
	parted := true
	side := func(id domain.InstanceID) bool { return id < "i004" }
	m.cut = func(from, to domain.InstanceID) bool { return parted && side(from) != side(to) }
	for range 60 {
		m.step()
	}
	parted = false
	for range 60 {
		m.step()
	}
	for id := range m.tables {
		if got := m.believers(id); got != 7 {
			t.Errorf("%d of 7 believe that %s is there", got, id)
		}
	}
}

func TestLeavingInstanceIsNoPlannerAndAReusedAddressRetiresItsOldOwner(t *testing.T) {
	m := newMesh(3)
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
		t.Error("a leaving instance plans")
	}
	table.Merge([]Member{{ID: "new", DataCentre: "dc", Address: "a2", State: Alive}}, m.now)
	for _, p := range table.Present("dc") {
		if p.ID == "i002" {
			t.Error("the instance whose address was taken over is still there")
		}
	}
}
