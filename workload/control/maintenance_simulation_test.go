package control_test

import (
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// maintenanceModel simulates the platform's hosts: orders for their maintenance that are lost, get no
// answer or are carried out late, and a host list that is read late.
type maintenanceModel struct {
	wave control.Wave
	rng  *rand.Rand
	// workers are the hosts' workers, done the hosts that had their maintenance, tokens the highest
	// tokens that each host has seen.
	workers map[string]string
	done    map[string]bool
	tokens  map[string]int64
	// down are the hosts that are down for their maintenance.
	down map[string]bool
	// away is until when no call is answered or carried out.
	away time.Time
	// faultsEnded is set once all calls are answered.
	faultsEnded bool
	// ended counts the runs that maintenance has ended.
	ended int
}

const (
	// maxLateDuty is how late an order without an answer is carried out.
	maxLateDuty = 12 * time.Second
	// dutyTimeout is how long a planner waits for the answer to a call.
	dutyTimeout = 2 * time.Second
)

// newMaintenanceSimulation returns a simulation in which a wave takes each worker down once.
func newMaintenanceSimulation(seed int64, faulty bool) *simulation {
	sim := newSimulation(seed, faulty)
	m := &maintenanceModel{
		wave: control.Wave{ID: 1, Within: 15 * time.Second, MaxDown: 2}, rng: rand.New(rand.NewSource(seed)),
		workers: map[string]string{}, done: map[string]bool{}, tokens: map[string]int64{}, down: map[string]bool{},
	}
	sim.maintenance = m
	for _, id := range sortedIDs(sim.fleet.Workers) {
		m.wave.Hosts = append(m.wave.Hosts, "h"+id)
		m.workers["h"+id] = id
	}
	sim.crashes.entryExpiresAt = map[string]time.Time{}
	sim.schedule(time.Duration(m.rng.Intn(10_000))*time.Millisecond, func() {
		m.away = sim.now.Add(time.Duration(m.rng.Intn(60_000)) * time.Millisecond)
	})
	return sim
}

// isMaintained reports whether all hosts have had their maintenance. A host whose worker has crashed
// is gone.
func (sim *simulation) isMaintained() bool {
	if sim.maintenance == nil {
		return true
	}
	for _, h := range sim.maintenance.wave.Hosts {
		if !sim.maintenance.done[h] && !sim.isHostGone(h) {
			return false
		}
	}
	return true
}

func (sim *simulation) isHostGone(host string) bool {
	m := sim.maintenance
	return !m.down[host] && sim.fleet.Workers[m.workers[host]].Dead
}

func (sim *simulation) hostList() []control.HostListing {
	var out []control.HostListing
	for _, h := range sim.maintenance.wave.Hosts {
		if id := sim.maintenance.workers[h]; !sim.isHostGone(h) {
			out = append(out, control.HostListing{Host: h, Worker: id, Up: !sim.fleet.Workers[id].Dead})
		}
	}
	return out
}

// adoptWave passes the wave and its record to a new planner.
func (sim *simulation) adoptWave(core *control.Core) {
	if sim.maintenance != nil {
		core.AdoptWave(sim.maintenance.wave, sim.log[control.WaveKey(sim.maintenance.wave.ID)], sim.now.UnixMilli())
	}
}

// sendDuties reads the host list, if the platform answers, and sends the orders that are due.
func (sim *simulation) sendDuties(p *planner) {
	m := sim.maintenance
	if m == nil {
		return
	}
	answers := !sim.now.Before(m.away)
	if answers && p.core.NeedsHosts(sim.now) {
		list, requested := sim.hostList(), sim.now
		sim.schedule(time.Duration(m.rng.Intn(300))*time.Millisecond, func() {
			sim.deliver(p, func() { p.core.SetHosts(list, requested) })
		})
	}
	for _, o := range p.core.DutyOrders(sim.now) {
		outcome := m.rng.Intn(5)
		if m.faultsEnded {
			outcome = 4
		}
		switch {
		case !answers || outcome == 0:
			sim.answerDuty(p, o, dutyTimeout, control.DutyUnanswered)
		case outcome == 1:
			sim.schedule(time.Duration(m.rng.Int63n(int64(maxLateDuty))), func() { sim.maintain(o) })
			sim.answerDuty(p, o, dutyTimeout, control.DutyUnanswered)
		case outcome == 2:
			sim.maintain(o)
			sim.answerDuty(p, o, dutyTimeout, control.DutyUnanswered)
		default:
			sim.answerDuty(p, o, 20*time.Millisecond, sim.maintain(o))
		}
	}
}

func (sim *simulation) answerDuty(p *planner, o control.DutyOrder, after time.Duration, result control.DutyResult) {
	sim.schedule(after, func() { sim.deliver(p, func() { p.core.HandleDutyAnswer(o, result, sim.now) }) })
}

// maintain carries out an order: whatever runs on the host ends.
func (sim *simulation) maintain(o control.DutyOrder) control.DutyResult {
	m := sim.maintenance
	id := m.workers[o.Host]
	switch {
	case o.Token < m.tokens[o.Host]:
		return control.DutyFenced
	case m.done[o.Host]:
		return control.DutyBegun
	case sim.isHostGone(o.Host):
		return control.DutyUnknownHost
	}
	m.tokens[o.Host] = o.Token
	m.done[o.Host], m.down[o.Host] = true, true
	if n := sim.fleet.Workers[id].Running(); n > 0 {
		m.ended += n
		sim.violation("the maintenance of %s ends %d runs", o.Host, n)
	}
	sim.fleet.Kill(id, sim.now)
	sim.crashes.entryExpiresAt[id] = sim.now.Add(entryLifetime)
	sim.schedule(hostDownFor, func() {
		sim.startSuccessor(id, "")
		m.workers[o.Host], m.down[o.Host] = sim.crashes.successors[id], false
	})
	return control.DutyBegun
}

// Nothing that runs may be ended by a host's maintenance, whichever orders are lost, late or repeated,
// and all hosts must have it. MAINTENANCE_WORLDS=1000 runs 1,000 simulations of each kind instead of
// the 30 that CI runs.
func TestMaintenanceEndsNoRuns(t *testing.T) {
	t.Parallel()
	count := 30
	if value := os.Getenv("MAINTENANCE_WORLDS"); value != "" {
		if _, err := fmt.Sscan(value, &count); err != nil {
			t.Fatal(err)
		}
	}
	for name, faulty := range map[string]bool{"without other faults": false, "with other faults": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violations := simulationViolations(count, func(seed int64) *simulation { return newMaintenanceSimulation(seed, faulty) })
			if len(violations) > 0 {
				t.Fatalf("%d of %d simulations have violations: %v", len(violations), count, violations[:min(len(violations), 5)])
			}
		})
	}
}

// Guards against simulations in which no task could be started on a host whose maintenance is ordered.
func TestSimulationDetectsHostsOpenUntilMaintenance(t *testing.T) {
	t.Parallel()
	for seed := range mutantSeeds {
		sim := newMaintenanceSimulation(int64(seed), false)
		sim.mutant.openHosts = true
		sim.run(nil)
		if sim.maintenance.ended > 0 {
			t.Logf("detected at seed %d: %s", seed, sim.violations[0])
			return
		}
	}
	t.Fatalf("not detected in %d simulations", mutantSeeds)
}
