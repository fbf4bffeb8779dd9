package service

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, order control.StartOrder) control.Answer
	Stop(ctx context.Context, order control.StopOrder) control.Answer
	Renew(ctx context.Context, order control.RenewalOrder) control.RenewalAnswer
	Throttle(ctx context.Context, order control.ThrottleOrder) control.Answer
	// Advise calls the service that implements a queue's policy.
	Advise(ctx context.Context, order control.AdviceOrder) control.AdviceAnswer
}

// planner drives a control.Core while this instance holds the claim.
type planner struct {
	s      *Service
	token  int64
	writer Writer
	// decisionTime is how long the last decision took.
	decisionTime time.Duration
	decisionEnd  time.Time
	stats        roundStats
	// accountGaugesAt is when the gauges of client accounts were last set.
	accountGaugesAt time.Time
	// lastDrop is when the planner last checked for expired jobs.
	lastDrop time.Time
	// lastReduce is when records of ended jobs were last reduced.
	lastReduce time.Time
	// reducing is set while records are being reduced.
	reducing atomic.Bool
	// wakeRound triggers a round, wakeOrders the sending of orders that are due.
	wakeRound, wakeOrders chan struct{}
	// statesChanged is signalled when there are job states to publish.
	statesChanged chan struct{}
	goroutines    sync.WaitGroup

	orderTimeout AdaptiveTimeout

	mu   sync.Mutex
	core *control.Core
	// lastWrite is when the last successful append was first sent.
	lastWrite time.Time
	// heartbeatAt is when the last heartbeat was made.
	heartbeatAt   time.Time
	listRead      bool
	pool          publishedPool
	configVersion int64
	listings      map[string]control.Listing
	// unreadable holds the last logged problem of each entry of the worker list that can't be
	// decoded.
	unreadable map[string]string
	// listReplaced is set when the whole list is to be passed to the core; changedListings
	// holds the workers whose entries have changed.
	listReplaced    bool
	changedListings map[string]bool
	// listInterrupted is set when the list was not followed without a gap since it was last
	// passed to the core.
	listInterrupted bool
	listFollower    *follower
	// droppedStates are records, to be written to the states, that drop the states of expired
	// jobs.
	droppedStates []control.Record
	// resigned is set while the role is being given up: no more orders are sent.
	resigned bool
	// hostsUnreachable is set when the last call to the service of hosts failed.
	hostsUnreachable bool
}

const (
	roundInterval  = 100 * time.Millisecond
	minRoundPause  = 10 * time.Millisecond
	ordersInterval = 50 * time.Millisecond
	// roundPauseFactor is the length of the pause after a decision, as a multiple of the
	// decision's duration; the write counts towards the pause. Decisions thus take at most a
	// third of the processor, at the price that new input waits for the pause.
	roundPauseFactor = 2
	listPause        = 200 * time.Millisecond
)

// runPlanner plans until another instance has claimed the role, the log has not answered for
// too long, or this instance leaves.
func (s *Service) runPlanner(ctx context.Context, token int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now, claimed := s.clock.Now(), s.succession.claimSent()
	p := &planner{
		s: s, token: token, writer: Writer{Epoch: token, Seq: s.succession.firstSeq() + 1, ExpectedEnd: -1},
		wakeRound: make(chan struct{}, 1), wakeOrders: make(chan struct{}, 1), statesChanged: make(chan struct{}, 1), core: control.New(s.settings.Bounds, token, now),
		lastWrite: claimed, pool: s.newPublishedPool(now), listings: map[string]control.Listing{}, unreadable: map[string]string{}, changedListings: map[string]bool{},
	}
	if ended := s.succession.ordersEnded(); !ended.IsZero() {
		p.core.SetPredecessorSilentSince(ended)
	}
	if end := s.succession.inheritedLeasesEnd(); !end.IsZero() {
		p.core.LimitInheritedLeases(end)
	}
	p.core.RecordWrite(claimed)
	s.lastPlanWrite.Store(&claimed)
	s.planning.Store(true)
	p.core.SetPredecessor(s.succession.heldPredecessor())
	s.planState.each(func(e Entry) { p.core.RestoreState(e.Key, e.Value) })
	s.book.TakeChanged()
	s.book.ForEach(p.core.Adopt)
	p.logBegin()
	p.listFollower = s.follow(WorkerList, p.applyList, p.applyListEntry, func() time.Duration { return listPause })
	p.listFollower.connectionChanged = p.reportListConnection
	p.goroutines.Go(func() { p.listFollower.run(ctx) })
	p.goroutines.Go(func() { p.sendOrders(ctx) })
	p.goroutines.Go(func() { p.runMaintenance(ctx) })
	p.goroutines.Go(func() { p.publishStates(ctx) })
	reason := p.run(ctx)
	s.succession.abandon(token)
	s.planning.Store(false)
	s.metrics.SetAccountGauges(nil)
	cancel()
	p.logEnd(reason)
	p.goroutines.Wait()
}

// logBegin logs the state from which the planner starts.
func (p *planner) logBegin() {
	known := p.s.book.CountOpen()
	p.s.events.Info(events.PlannerBegins, events.Fields{
		"token": p.token, "read_to": p.s.plans.offset(), "current": p.s.plans.upToDate() && p.s.acceptances.upToDate(),
		"strangers_ms": p.core.InheritedLeasesEnd().Sub(p.s.clock.Now()).Milliseconds(), "adopted": p.core.Jobs(), "open": known.Open, "unaccepted": known.MissingAcceptance, "unrecorded": known.MissingProgress,
	})
}

// logEnd logs the remaining events with a summary, which the report would otherwise miss, and the end
// of the planner.
func (p *planner) logEnd(reason string) {
	p.mu.Lock()
	p.core.EmitSummary()
	p.logNotes()
	p.mu.Unlock()
	p.s.events.Info(events.PlannerEnds, events.Fields{"token": p.token, "why": reason})
}

func (p *planner) run(ctx context.Context) string {
	timer := time.NewTicker(roundInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return "shutdown"
		case <-timer.C:
		case <-p.wakeRound:
		case <-p.s.book.Changes():
		}
		if reason := p.round(ctx); reason != "" {
			return reason
		}
		// A long decision is followed by a long pause, which leaves the processor to others.
		sleep(ctx, max(minRoundPause, roundPauseFactor*p.decisionTime-time.Since(p.decisionEnd)))
	}
}

// round makes decisions, writes them and sends the orders. It returns the reason why the role
// has ended, or "".
func (p *planner) round(ctx context.Context) string {
	if reason := p.endReason(ctx); reason != "" {
		return reason
	}
	p.mu.Lock()
	p.syncCore()
	// If the last reads are too old, jobs may have been cancelled, workers drained or the
	// configuration changed since.
	if now := p.s.clock.Now(); p.listRead && p.hasRecentReadings(now) {
		began := time.Now()
		p.core.Round(now, began.UnixMilli())
		p.decisionEnd = time.Now()
		p.decisionTime = p.decisionEnd.Sub(began)
		p.s.metrics.Observe(telemetry.Round, p.decisionTime)
		p.stats.rounds.add(p.decisionTime)
	}
	p.updateGauges(p.core.EvacuationStatus(p.s.clock.Now()))
	p.updateAccountGauges(p.s.clock.Now())
	records := p.core.Changes()
	p.logNotes()
	p.mu.Unlock()
	notify(p.wakeOrders)
	if len(records) > 0 || p.s.clock.Since(p.lastWrite) > p.s.settings.PlannerTimeout/4 {
		began := time.Now()
		if err := p.write(ctx, p.withReading(records)); err != nil {
			return err.Error()
		}
		if err := p.renewAuthority(ctx); err != nil {
			return err.Error()
		}
		p.stats.writes.add(time.Since(began))
		notify(p.statesChanged)
	}
	p.stats.logIfDue(p.s.events, time.Now())
	p.sendStarts(ctx)
	p.reduceEnded(ctx)
	p.dropExpired(ctx)
	return ""
}

func (p *planner) endReason(ctx context.Context) string {
	if _, held := p.s.succession.heldToken(); !held {
		return "succeeded"
	}
	p.mu.Lock()
	deposed := p.core.Deposed()
	p.mu.Unlock()
	if deposed {
		return "token refused by a worker"
	}
	if p.s.leaving.Load() {
		p.resign(ctx)
		return "leaving"
	}
	return ""
}

// resign gives up the role, so that other instances can claim it at once. Orders stop before
// the record is sent, since the successor computes the end of earlier leases from it.
func (p *planner) resign(ctx context.Context) {
	p.mu.Lock()
	p.resigned = true
	p.mu.Unlock()
	c := p.s.succession.self
	c.Resigned, c.Ends = true, p.token
	if _, err := p.append(ctx, []control.Record{c.record()}); err != nil {
		p.s.events.Info(events.ClaimFailed, events.Fields{"cause": err.Error()})
	}
}

// syncCore passes new records of the log and changed entries of the lists to the core.
func (p *planner) syncCore() {
	if d := p.s.directory.Load(); d != nil && d.Version != p.configVersion {
		p.configVersion = d.Version
		p.core.Configure(d.Configuration())
	}
	for _, id := range p.s.book.TakeChanged() {
		if e, ok := p.s.book.Get(id); ok && e.Job != nil {
			p.core.Adopt(id, e)
		}
	}
	p.s.waves.each(func(declared control.Wave, record []byte) {
		p.core.AdoptWave(declared, record, time.Now().UnixMilli())
	})
	p.syncWorkers()
}

// Gauges of the planner.
const (
	gaugeEvacuatedCentres = "evacuated_centres"
	gaugeEvacuatedRuns    = "evacuated_runs"
	gaugeAwaitedLeases    = "awaited_leases"
	gaugeSlowedWorkers    = "slowed_workers"
	gaugeKnownSpeeds      = "known_speeds"
)

func (p *planner) updateGauges(remaining control.EvacuationStatus) {
	p.s.metrics.SetGauge(gaugeEvacuatedCentres, float64(remaining.Centres))
	p.s.metrics.SetGauge(gaugeEvacuatedRuns, float64(remaining.Runs))
	p.s.metrics.SetGauge(gaugeAwaitedLeases, float64(p.core.AwaitedLeases()))
	p.s.metrics.SetGauge(gaugeSlowedWorkers, float64(p.core.SlowedWorkers()))
	p.s.metrics.SetGauge(gaugeKnownSpeeds, float64(p.core.KnownSpeeds()))
}

// logNotes logs the core's notes as events.
func (p *planner) logNotes() {
	p.core.EmitDueSummary(p.s.clock.Now())
	for _, n := range p.core.Events() {
		fields := events.Fields{"token": p.token, "version": p.configVersion}
		addField(fields, "job", string(n.Job))
		addField(fields, "task", n.Task)
		addField(fields, "worker", n.Worker)
		addField(fields, "why", n.Reason)
		addField(fields, "detail", n.Detail)
		if n.Run != 0 {
			fields["run"] = n.Run
		}
		p.s.events.Info(events.Name(n.Name), fields)
	}
}

func addField(fields events.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}

// sendStarts sends the start orders that the last write has made safe.
func (p *planner) sendStarts(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	p.syncWorkers()
	starts := p.core.Persisted(now)
	if !p.hasAuthority(now) {
		return
	}
	for _, o := range starts {
		p.goroutines.Go(func() { p.sendStart(ctx, o) })
	}
}

// sendOrders renews leases, sends stops and repeats orders that are due. It runs independently
// of the rounds, so that leases do not expire while a write waits for the log.
func (p *planner) sendOrders(ctx context.Context) {
	tick := time.NewTicker(ordersInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wakeOrders:
			p.sendStops(ctx)
		case <-tick.C:
			p.sendStops(ctx)
			p.sendDue(ctx)
		}
	}
}

// canOrder reports whether this planner may give orders now. p.mu must be held.
func (p *planner) canOrder(now time.Time) bool {
	return p.hasAuthority(now) && !p.resigned && !p.core.Deposed()
}

func (p *planner) sendStops(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.canOrder(p.s.clock.Now()) {
		return
	}
	for _, o := range p.core.StopOrders() {
		p.goroutines.Go(func() { p.sendStop(ctx, o) })
	}
	for _, o := range p.core.ThrottleOrders() {
		p.goroutines.Go(func() { p.sendThrottle(ctx, o) })
	}
}

func (p *planner) sendDue(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	if !p.canOrder(now) {
		return
	}
	if p.hasRecentReadings(now) {
		p.syncWorkers()
		for _, o := range p.core.RetryOrders(now) {
			p.goroutines.Go(func() { p.sendStart(ctx, o) })
		}
	}
	if o, ok := p.core.NextAdviceOrder(now); ok {
		p.goroutines.Go(func() { p.requestAdvice(ctx, o) })
	}
	for _, id := range p.core.WorkersToRenew(now) {
		if o, ok := p.core.NextRenewal(id, now); ok {
			p.goroutines.Go(func() { p.renewLease(ctx, o) })
		}
	}
}

// hasRecentReadings reports whether the last reads are recent enough to start something: jobs
// may have been cancelled, workers drained or data centres evacuated since.
func (p *planner) hasRecentReadings(now time.Time) bool {
	return p.s.isRecent(p.s.acceptances.minAge(now), p.s.acceptances.maxAge(now), p.listFollower.age(now), p.s.declarations.age(now), now.Sub(p.lastWrite))
}

func (p *planner) wakeAll() {
	notify(p.wakeRound)
	notify(p.wakeOrders)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
