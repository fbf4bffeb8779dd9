package control_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

func (s *scenario) hostListings() []control.HostListing {
	var out []control.HostListing
	for _, l := range s.listings() {
		out = append(out, control.HostListing{Host: "h" + l.ID, Worker: l.ID, Up: true})
	}
	return out
}

func hostNames(list []control.HostListing) []string {
	var out []string
	for _, h := range list {
		out = append(out, h.Host)
	}
	return out
}

// maintenanceScenario is a planner that carries out a maintenance wave on hosts that go down and
// come back, with lost and delayed answers.
type maintenanceScenario struct {
	core          *control.Core
	now           time.Time
	record        []byte
	downUntil     map[string]time.Time
	maintained    map[string]bool
	ordered       map[string]bool
	delayedOrders []control.DutyOrder
	wave          control.Wave
}

const hostDownFor = 500 * time.Millisecond

func newMaintenanceScenario(hosts, maxDown int) *maintenanceScenario {
	m := &maintenanceScenario{now: time.Unix(1000, 0), downUntil: map[string]time.Time{}, maintained: map[string]bool{}, ordered: map[string]bool{}}
	m.wave = control.Wave{ID: 7, Within: 20 * time.Second, MaxDown: maxDown}
	for i := range hosts {
		m.wave.Hosts = append(m.wave.Hosts, fmt.Sprintf("h%d", i))
	}
	m.replacePlanner()
	return m
}

// replacePlanner starts a new planner from the wave's record in the log.
func (m *maintenanceScenario) replacePlanner() {
	bounds := simBounds
	bounds.Maintenance = hostDownFor
	bounds.DutyLease = 300 * time.Millisecond
	m.core = control.New(bounds, m.now.UnixMilli(), m.now)
	m.core.AdoptWave(m.wave, m.record, m.now.UnixMilli())
}

func (m *maintenanceScenario) hostListings() []control.HostListing {
	var out []control.HostListing
	for _, h := range m.wave.Hosts {
		out = append(out, control.HostListing{Host: h, Worker: "w" + h, Up: m.now.After(m.downUntil[h])})
	}
	return out
}

// startMaintenance does what the platform does on a duty order: it takes the host down, unless the
// host has had its maintenance already.
func (m *maintenanceScenario) startMaintenance(h string) {
	if !m.maintained[h] {
		m.maintained[h] = true
		m.downUntil[h] = m.now.Add(hostDownFor)
	}
}

func (m *maintenanceScenario) downCount() int {
	n := 0
	for _, until := range m.downUntil {
		if m.now.Before(until) {
			n++
		}
	}
	return n
}

func (m *maintenanceScenario) runRound() {
	m.core.Round(m.now, m.now.UnixMilli())
	for _, r := range m.core.Changes() {
		if r.Key == control.WaveKey(7) {
			m.record = r.Value
		}
	}
	m.core.Persisted(m.now)
}

// crashBeforePersisting has the planner run one more round and crash before its records are in the
// log. Duty orders that it sends nevertheless arrive late.
func (m *maintenanceScenario) crashBeforePersisting() {
	m.now = m.now.Add(100 * time.Millisecond)
	m.core.SetHosts(m.hostListings(), m.now)
	m.core.Round(m.now, m.now.UnixMilli())
	m.core.Changes()
	m.delayedOrders = append(m.delayedOrders, m.core.DutyOrders(m.now)...)
}

// A wave must not take down more hosts at once than allowed, or be reported as completed too
// early, if orders or answers are lost or delayed and planners crash.
func TestWaveNeverExceedsMaxDownDespiteLostOrdersAndPlannerChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		maxDown := rapid.IntRange(1, 3).Draw(t, "most")
		m := newMaintenanceScenario(rapid.IntRange(1, 6).Draw(t, "hosts"), maxDown)
		for step := range 400 {
			m.now = m.now.Add(100 * time.Millisecond)
			if m.core.NeedsHosts(m.now) {
				m.core.SetHosts(m.hostListings(), m.now)
			}
			m.runRound()
			for _, o := range m.core.DutyOrders(m.now) {
				// In the second half all orders are answered, so that the wave can complete.
				outcome := 3
				if step < 200 {
					outcome = rapid.IntRange(0, 5).Draw(t, "fate")
				}
				switch outcome {
				case 0:
					m.delayedOrders = append(m.delayedOrders, o)
					m.core.HandleDutyAnswer(o, control.DutyUnanswered, m.now)
				case 1:
					m.startMaintenance(o.Host)
					m.core.HandleDutyAnswer(o, control.DutyUnanswered, m.now)
				case 2:
					m.core.HandleDutyAnswer(o, control.DutyRefused, m.now)
				default:
					m.startMaintenance(o.Host)
					m.core.HandleDutyAnswer(o, control.DutyBegun, m.now)
				}
			}
			if len(m.delayedOrders) > 0 && (step >= 200 || rapid.IntRange(0, 9).Draw(t, "arrives") == 0) {
				m.startMaintenance(m.delayedOrders[0].Host)
				m.delayedOrders = m.delayedOrders[1:]
			}
			if step < 200 && rapid.IntRange(0, 19).Draw(t, "succession") == 0 {
				m.crashBeforePersisting()
				m.replacePlanner()
			}
			if n := m.downCount(); n > maxDown {
				t.Fatalf("%d hosts are down, want at most %d", n, maxDown)
			}
			for _, r := range m.core.WaveReports() {
				if r.State == control.WaveCompleted && len(m.maintained) != len(m.wave.Hosts) {
					t.Fatalf("wave reported as completed after maintenance of %d of %d hosts", len(m.maintained), len(m.wave.Hosts))
				}
				m.core.WaveReported(r)
			}
		}
		if len(m.maintained) != len(m.wave.Hosts) {
			t.Fatalf("%d of %d hosts had their maintenance", len(m.maintained), len(m.wave.Hosts))
		}
	})
}

func TestHostIsVacatedBeforeMaintenance(t *testing.T) {
	s := newScenario()
	s.fleet.Work = nil
	s.fleet.Work = s.randomWork
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Checkpoint: true, EstimateMS: 60_000})
	s.advance(time.Second)
	core := s.planners[0].core
	list := s.hostListings()
	core.AdoptWave(control.Wave{ID: 1, Hosts: hostNames(list), Within: 30 * time.Second, MaxDown: 1}, nil, s.now.UnixMilli())
	core.SetHosts(list, s.now)
	for range 300 {
		s.advance(20 * time.Millisecond)
		for _, o := range core.DutyOrders(s.now) {
			if n := s.fleet.Workers[o.Host[1:]].Running(); n > 0 {
				t.Fatalf("%s has %d runs when its maintenance is ordered", o.Host, n)
			}
			return
		}
	}
	t.Fatal("no maintenance was ordered")
}

func TestWaveDoesNotWaitForRemovedHost(t *testing.T) {
	m := newMaintenanceScenario(2, 1)
	m.now = m.now.Add(time.Second)
	m.core.SetHosts(m.hostListings()[:1], m.now)
	for range 40 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.runRound()
		for _, o := range m.core.DutyOrders(m.now) {
			m.startMaintenance(o.Host)
			m.core.HandleDutyAnswer(o, control.DutyBegun, m.now)
		}
	}
	reports := m.core.WaveReports()
	if len(reports) != 1 || reports[0].State != control.WaveCompleted || len(m.maintained) != 1 {
		t.Fatalf("reports %+v, %d hosts had their maintenance", reports, len(m.maintained))
	}
}

// If a planner crashes after it has recorded a wave's completion and before it has reported it, its
// successor must report it.
func TestSuccessorReportsCompletedWave(t *testing.T) {
	m := newMaintenanceScenario(1, 1)
	for range 60 {
		m.now = m.now.Add(100 * time.Millisecond)
		if m.core.NeedsHosts(m.now) {
			m.core.SetHosts(m.hostListings(), m.now)
		}
		m.runRound()
		for _, o := range m.core.DutyOrders(m.now) {
			m.startMaintenance(o.Host)
			m.core.HandleDutyAnswer(o, control.DutyBegun, m.now)
		}
	}
	if reports := m.core.WaveReports(); len(reports) != 1 || reports[0].State != control.WaveCompleted {
		t.Fatalf("reports of the first planner: %+v", reports)
	}
	m.replacePlanner()
	if reports := m.core.WaveReports(); len(reports) != 1 || reports[0].State != control.WaveCompleted {
		t.Fatalf("reports of its successor: %+v", reports)
	}
}
