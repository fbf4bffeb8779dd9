package service

import (
	"context"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Hosts is the platform's service for the hosts that workers run on.
type Hosts interface {
	// List returns all hosts.
	List(ctx context.Context) ([]control.HostListing, error)
	// Maintain starts a host's maintenance on behalf of the holder.
	Maintain(ctx context.Context, holder string, order control.DutyOrder) control.DutyResult
}

// maintenanceWaves holds the declared maintenance waves and the planners' records of them. It
// is safe for concurrent use.
type maintenanceWaves struct {
	mu       sync.Mutex
	declared map[int64]control.Wave
	records  map[string][]byte
}

func newMaintenanceWaves() *maintenanceWaves {
	return &maintenanceWaves{declared: map[int64]control.Wave{}, records: map[string][]byte{}}
}

func (w *maintenanceWaves) declare(wave control.Wave) {
	w.mu.Lock()
	w.declared[wave.ID] = wave
	w.mu.Unlock()
}

func (w *maintenanceWaves) record(e Entry) {
	w.mu.Lock()
	w.records[e.Key] = e.Value
	w.mu.Unlock()
}

// each calls f with each declared wave and the planners' record of it.
func (w *maintenanceWaves) each(f func(control.Wave, []byte)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, wave := range w.declared {
		f(wave, w.records[control.WaveKey(id)])
	}
}

const (
	hostsInterval = 100 * time.Millisecond
	hostsTimeout  = 2 * time.Second
	// dutyTimeout limits one order; the platform may be slow.
	dutyTimeout   = 2 * time.Second
	reportTimeout = time.Second
)

// runMaintenance reads the hosts, sends the orders of maintenance waves and reports the states
// of the waves, while this instance plans.
func (p *planner) runMaintenance(ctx context.Context) {
	if p.s.settings.Hosts == nil {
		return
	}
	tick := time.NewTicker(hostsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.readHosts(ctx)
			p.sendDuties(ctx)
			p.reportWaves(ctx)
		}
	}
}

func (p *planner) readHosts(ctx context.Context) {
	requested := p.s.clock.Now()
	p.mu.Lock()
	wants := p.core.NeedsHosts(requested)
	p.mu.Unlock()
	if !wants {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, hostsTimeout)
	list, err := p.s.settings.Hosts.List(callCtx)
	cancel()
	p.logHostsConnection(err)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.core.SetHosts(list, requested)
	p.mu.Unlock()
	notify(p.wakeRound)
}

// logHostsConnection logs when the service of hosts becomes unreachable or reachable again.
func (p *planner) logHostsConnection(err error) {
	if (err != nil) == p.hostsUnreachable {
		return
	}
	p.hostsUnreachable = err != nil
	fields := events.Fields{"dependency": "hosts"}
	if err != nil {
		fields["cause"] = err.Error()
		p.s.events.Info(events.DependencyLost, fields)
		return
	}
	p.s.events.Info(events.DependencyRegained, fields)
}

func (p *planner) sendDuties(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	if !p.canOrder(now) {
		return
	}
	for _, o := range p.core.DutyOrders(now) {
		p.goroutines.Go(func() { p.sendDuty(ctx, o) })
	}
}

func (p *planner) sendDuty(ctx context.Context, o control.DutyOrder) {
	callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
	result := p.s.settings.Hosts.Maintain(callCtx, p.s.settings.Instance, o)
	cancel()
	p.mu.Lock()
	p.core.HandleDutyAnswer(o, result, p.s.clock.Now())
	p.mu.Unlock()
	notify(p.wakeRound)
}

// reportWaves writes the progress of maintenance waves for operators.
func (p *planner) reportWaves(ctx context.Context) {
	p.mu.Lock()
	reports := p.core.WaveReports()
	p.mu.Unlock()
	for _, r := range reports {
		record := p.s.decoder.WaveReport(r)
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := p.s.log.Append(callCtx, Reports, []control.Record{record}, nil)
		cancel()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.core.WaveReported(r)
		p.mu.Unlock()
		p.s.events.Info(events.WaveReported, events.Fields{"wave": r.ID, "state": string(r.State), "token": p.token})
	}
}
