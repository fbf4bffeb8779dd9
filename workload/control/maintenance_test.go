package control_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

func (s *scenario) hosts() []control.HostListing {
	var out []control.HostListing
	for _, l := range s.listings() {
		out = append(out, control.HostListing{Host: "h" + l.ID, Worker: l.ID, Up: true})
	}
	return out
}

func allHosts(list []control.HostListing) []string {
	var out []string
	for _, h := range list {
		out = append(out, h.Host)
	}
	return out
}

// maintenance plays a planner's part in waves against hosts that go down and
// come back, with answers that are lost or late.
type maintenance struct {
	core    *control.Core
	now     time.Time
	record  []byte
	down    map[string]time.Time
	had     map[string]bool
	ordered map[string]bool
	late    []control.DutyOrder
	wave    control.Wave
}

const hostDownFor = 500 * time.Millisecond

func newMaintenance(hosts, most int) *maintenance {
	m := &maintenance{now: time.Unix(1000, 0), down: map[string]time.Time{}, had: map[string]bool{}, ordered: map[string]bool{}}
	m.wave = control.Wave{ID: 7, Within: 20 * time.Second, Most: most}
	for i := range hosts {
		m.wave.Hosts = append(m.wave.Hosts, fmt.Sprintf("h%d", i))
	}
	m.succeed()
	return m
}

// succeed seats a new planner, which knows what is in the log.
func (m *maintenance) succeed() {
	bounds := simBounds
	bounds.Maintenance = hostDownFor
	bounds.DutyLease = 300 * time.Millisecond
	m.core = control.New(bounds, m.now.UnixMilli(), m.now)
	m.core.AdoptWave(m.wave, m.record, m.now.UnixMilli())
}

func (m *maintenance) list() []control.HostListing {
	var out []control.HostListing
	for _, h := range m.wave.Hosts {
		out = append(out, control.HostListing{Host: h, Worker: "w" + h, Up: m.now.After(m.down[h])})
	}
	return out
}

// begin is the platform's part: a host that has had its maintenance is left alone.
func (m *maintenance) begin(h string) {
	if !m.had[h] {
		m.had[h] = true
		m.down[h] = m.now.Add(hostDownFor)
	}
}

func (m *maintenance) downNow() int {
	n := 0
	for _, until := range m.down {
		if m.now.Before(until) {
			n++
		}
	}
	return n
}

func (m *maintenance) write() {
	m.core.Round(m.now, m.now.UnixMilli())
	for _, r := range m.core.Changes() {
		if r.Key == control.WaveKey(7) {
			m.record = r.Value
		}
	}
	m.core.Persisted(m.now)
}

// dieUnwritten lets the planner decide once more and end before its records are
// in the log. What it orders all the same arrives late.
func (m *maintenance) dieUnwritten() {
	m.now = m.now.Add(100 * time.Millisecond)
	m.core.Hosts(m.list(), m.now)
	m.core.Round(m.now, m.now.UnixMilli())
	m.core.Changes()
	m.late = append(m.late, m.core.Duties(m.now)...)
}

func TestWavesKeepTheirBoundWhateverIsLostAndWhoeverPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 3).Draw(t, "most")
		m := newMaintenance(rapid.IntRange(1, 6).Draw(t, "hosts"), most)
		for step := range 400 {
			m.now = m.now.Add(100 * time.Millisecond)
			if m.core.WantsHosts(m.now) {
				m.core.Hosts(m.list(), m.now)
			}
			m.write()
			for _, o := range m.core.Duties(m.now) {
				// After a while everything is answered, so that the wave can end.
				fate := 3
				if step < 200 {
					fate = rapid.IntRange(0, 5).Draw(t, "fate")
				}
				switch fate {
				case 0:
					m.late = append(m.late, o)
					m.core.DutyDone(o, control.DutyUnanswered, m.now)
				case 1:
					m.begin(o.Host)
					m.core.DutyDone(o, control.DutyUnanswered, m.now)
				case 2:
					m.core.DutyDone(o, control.DutyRefused, m.now)
				default:
					m.begin(o.Host)
					m.core.DutyDone(o, control.DutyBegun, m.now)
				}
			}
			if len(m.late) > 0 && (step >= 200 || rapid.IntRange(0, 9).Draw(t, "arrives") == 0) {
				m.begin(m.late[0].Host)
				m.late = m.late[1:]
			}
			if step < 200 && rapid.IntRange(0, 19).Draw(t, "succession") == 0 {
				m.dieUnwritten()
				m.succeed()
			}
			if n := m.downNow(); n > most {
				t.Fatalf("%d hosts are down, %d may be", n, most)
			}
			for _, r := range m.core.WaveReports() {
				if r.State == control.WaveCompleted && len(m.had) != len(m.wave.Hosts) {
					t.Fatalf("reported as completed with %d of %d hosts", len(m.had), len(m.wave.Hosts))
				}
				m.core.WaveReported(r)
			}
		}
		if len(m.had) != len(m.wave.Hosts) {
			t.Fatalf("%d of %d hosts had their maintenance", len(m.had), len(m.wave.Hosts))
		}
	})
}

func TestAHostIsVacatedBeforeItsMaintenance(t *testing.T) {
	s := newScenario()
	s.fleet.Work = nil
	s.fleet.Work = s.randomWork
	s.add(jobA, nil, workload.Step{Count: 6, Need: need(8), Checkpoint: true, EstimateMS: 60_000})
	s.advance(time.Second)
	core := s.planners[0].core
	list := s.hosts()
	core.AdoptWave(control.Wave{ID: 1, Hosts: allHosts(list), Within: 30 * time.Second, Most: 1}, nil, s.now.UnixMilli())
	core.Hosts(list, s.now)
	for range 300 {
		s.advance(20 * time.Millisecond)
		for _, o := range core.Duties(s.now) {
			if n := s.fleet.Workers[o.Host[1:]].Running(); n > 0 {
				t.Fatalf("%s has %d runs when its maintenance begins", o.Host, n)
			}
			return
		}
	}
	t.Fatal("no maintenance was ordered")
}

func TestAHostThatLeftIsNotWaitedFor(t *testing.T) {
	m := newMaintenance(2, 1)
	m.now = m.now.Add(time.Second)
	m.core.Hosts(m.list()[:1], m.now)
	for range 40 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.write()
		for _, o := range m.core.Duties(m.now) {
			m.begin(o.Host)
			m.core.DutyDone(o, control.DutyBegun, m.now)
		}
	}
	reports := m.core.WaveReports()
	if len(reports) != 1 || reports[0].State != control.WaveCompleted || len(m.had) != 1 {
		t.Fatalf("%+v, %d hosts", reports, len(m.had))
	}
}

// A planner that ends between the record of a wave's completion and its report leaves the report to its successor.
func TestACompletedWaveIsReportedByTheSuccessor(t *testing.T) {
	m := newMaintenance(1, 1)
	for range 60 {
		m.now = m.now.Add(100 * time.Millisecond)
		if m.core.WantsHosts(m.now) {
			m.core.Hosts(m.list(), m.now)
		}
		m.write()
		for _, o := range m.core.Duties(m.now) {
			m.begin(o.Host)
			m.core.DutyDone(o, control.DutyBegun, m.now)
		}
	}
	if reports := m.core.WaveReports(); len(reports) != 1 || reports[0].State != control.WaveCompleted {
		t.Fatalf("the first planner would report %+v", reports)
	}
	m.succeed()
	if reports := m.core.WaveReports(); len(reports) != 1 || reports[0].State != control.WaveCompleted {
		t.Fatalf("its successor reports %+v", reports)
	}
}
