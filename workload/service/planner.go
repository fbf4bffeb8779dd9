package service

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/telemetry"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Workers carries orders out.
type Workers interface {
	Start(ctx context.Context, order control.StartOrder) control.Answer
	Stop(ctx context.Context, order control.StopOrder) control.Answer
	Hold(ctx context.Context, order control.HoldOrder) control.HoldAnswer
	Pace(ctx context.Context, order control.PaceOrder) control.Answer
	// Advise asks the service that knows a queue's policy.
	Advise(ctx context.Context, order control.AdviceOrder) control.AdviceAnswer
}

// planner drives a core while this instance holds the claim.
type planner struct {
	s      *Service
	token  int64
	writer Writer
	// decided is how long the last decision took.
	decisionTime time.Duration
	decisionEnd  time.Time
	stats        roundStats
	// forgot is when jobs were last looked through for ones to forget.
	lastDrop time.Time
	// reduced is when jobs were last reduced.
	lastReduce time.Time
	// reducing tells that this is under way.
	reducing atomic.Bool
	// wake asks for a round, due for a look at what is due.
	wakeRound, wakeOrders chan struct{}
	// stated is signalled when there is something to state.
	statesChanged chan struct{}
	goroutines    sync.WaitGroup

	orderTimeout AnswerTimes

	mu   sync.Mutex
	core *control.Core
	// written is when the last append that succeeded was sent.
	lastWrite     time.Time
	listRead      bool
	configVersion int64
	listings      map[string]control.Listing
	// bad holds what is wrong with entries of the list, for each that was noted.
	unreadable map[string]string
	// fresh tells that the whole list is to be taken over, changed which entries are.
	listReplaced    bool
	changedListings map[string]bool
	// interrupted tells that the list was not followed without a gap since it was taken over last.
	listInterrupted bool
	listFollower    *follower
	// dropped are to be written among the states.
	droppedStates []control.Record
	// resigned tells that the role is being given up: no order goes out any more.
	resigned bool
	// hostsLost tells that the service of hosts did not answer last.
	hostsUnreachable bool
}

const (
	roundInterval  = 100 * time.Millisecond
	minRoundPause  = 10 * time.Millisecond
	ordersInterval = 50 * time.Millisecond
	// roundShare is how many times its own length the pause after a decision is, the
	// write counted: decisions take a third of the processor at the most, and what
	// comes waits for the pause.
	roundPauseFactor = 2
	listPause        = 200 * time.Millisecond
	appendTimeout    = 2 * time.Second
	appendRetryPause = 50 * time.Millisecond
	maxBatchRecords  = 200
	maxBatchBytes    = 1 << 20
)

// playPlanner plans until another instance has claimed the role, the log has
// not answered for too long, or this instance leaves.
func (s *Service) runPlanner(ctx context.Context, token int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now, claimed := s.clock.Now(), s.succession.claimSent()
	p := &planner{
		s: s, token: token, writer: Writer{Epoch: token, Seq: s.succession.firstSeq() + 1, Expect: -1},
		wakeRound: make(chan struct{}, 1), wakeOrders: make(chan struct{}, 1), statesChanged: make(chan struct{}, 1), core: control.New(s.settings.Bounds, token, now),
		lastWrite: claimed, listings: map[string]control.Listing{}, unreadable: map[string]string{}, changedListings: map[string]bool{},
	}
	if ended := s.succession.ordersEnded(); !ended.IsZero() {
		p.core.Succeeds(ended)
	}
	s.lastPlanWrite.Store(&claimed)
	s.planning.Store(true)
	s.book.Fresh()
	s.book.All(p.core.Adopt)
	p.logBegin()
	p.listFollower = s.follow(WorkerList, p.applyList, p.applyListEntry, func() time.Duration { return listPause })
	p.listFollower.connectionChanged = p.reportListConnection
	p.goroutines.Go(func() { p.listFollower.run(ctx) })
	p.goroutines.Go(func() { p.sendOrders(ctx) })
	p.goroutines.Go(func() { p.runMaintenance(ctx) })
	p.goroutines.Go(func() { p.publishStates(ctx) })
	why := p.run(ctx)
	s.succession.abandon(token)
	s.planning.Store(false)
	cancel()
	s.events.Info(events.PlannerEnds, events.Fields{"token": token, "why": why})
	p.goroutines.Wait()
}

// noteBegin tells what the planner begins from.
func (p *planner) logBegin() {
	known := p.s.book.Census()
	p.s.events.Info(events.PlannerBegins, events.Fields{
		"token": p.token, "read_to": p.s.plans.offset(), "current": p.s.plans.upToDate() && p.s.acceptances.upToDate(),
		"strangers_ms": p.core.StrangersUntil().Sub(p.s.clock.Now()).Milliseconds(), "adopted": p.core.Jobs(), "open": known.Open, "unaccepted": known.Unaccepted, "unrecorded": known.Unrecorded,
	})
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
		case <-p.s.book.Wake():
		}
		if why := p.round(ctx); why != "" {
			return why
		}
		// A round that takes long leaves the processor to others for longer.
		sleep(ctx, max(minRoundPause, roundPauseFactor*p.decisionTime-time.Since(p.decisionEnd)))
	}
}

// round decides, writes and orders; it returns why the role has ended, if it has.
func (p *planner) round(ctx context.Context) string {
	if why := p.endReason(ctx); why != "" {
		return why
	}
	p.mu.Lock()
	p.syncCore()
	// What was read too long ago may have been cancelled, drained or declared anew.
	if now := p.s.clock.Now(); p.listRead && p.hasRecentReadings(now) {
		began := time.Now()
		p.core.Round(now, began.UnixMilli())
		p.decisionEnd = time.Now()
		p.decisionTime = p.decisionEnd.Sub(began)
		p.s.metrics.Observe(telemetry.Round, p.decisionTime)
		p.stats.rounds.add(p.decisionTime)
	}
	p.updateGauges(p.core.Evacuated(p.s.clock.Now()))
	records := p.core.Changes()
	p.logNotes()
	p.mu.Unlock()
	notify(p.wakeOrders)
	if len(records) > 0 || p.s.clock.Since(p.lastWrite) > p.s.settings.Patience/4 {
		began := time.Now()
		if err := p.write(ctx, records); err != nil {
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
	if _, mine := p.s.succession.heldToken(); !mine {
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

// resign lets the others claim at once. Orders end before the record is sent: whoever follows
// counts from it how long leases last.
func (p *planner) resign(ctx context.Context) {
	p.mu.Lock()
	p.resigned = true
	p.mu.Unlock()
	c := p.s.succession.self
	c.Resigned = true
	if _, err := p.append(ctx, []control.Record{c.record()}); err != nil {
		p.s.events.Info(events.ClaimFailed, events.Fields{"cause": err.Error()})
	}
}

// takeNews brings the core up to date with the log and the lists.
func (p *planner) syncCore() {
	if d := p.s.directory.Load(); d != nil && d.Version != p.configVersion {
		p.configVersion = d.Version
		p.core.Configure(d.Configuration())
	}
	for _, id := range p.s.book.Fresh() {
		if e, ok := p.s.book.Get(id); ok && e.Job != nil {
			p.core.Adopt(id, e)
		}
	}
	p.s.waves.each(func(declared control.Wave, record []byte) {
		p.core.AdoptWave(declared, record, time.Now().UnixMilli())
	})
	p.syncWorkers()
}

// Quantities of the planner's that go up and down.
const (
	gaugeEvacuatedCentres = "evacuated_centres"
	gaugeEvacuatedRuns    = "evacuated_runs"
)

func (p *planner) updateGauges(left control.Evacuated) {
	p.s.metrics.Set(gaugeEvacuatedCentres, float64(left.Centres))
	p.s.metrics.Set(gaugeEvacuatedRuns, float64(left.Runs))
}

// tell writes the core's notes as events.
func (p *planner) logNotes() {
	for _, n := range p.core.Notes() {
		fields := events.Fields{"token": p.token, "version": p.configVersion}
		addField(fields, "job", string(n.Job))
		addField(fields, "task", n.Task)
		addField(fields, "worker", n.Worker)
		addField(fields, "why", n.Why)
		addField(fields, "detail", n.Detail)
		if n.Run != 0 {
			fields["run"] = n.Run
		}
		p.s.events.Info(events.Name(n.Event), fields)
	}
}

func addField(fields events.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}

// write puts records into the log in as many calls as its bounds ask for.
func (p *planner) write(ctx context.Context, records []control.Record) error {
	if len(records) == 0 {
		records = []control.Record{{Key: planHeartbeatKey, Value: []byte("{}")}}
	}
	for len(records) > 0 {
		n := batchSize(records)
		first, err := p.append(ctx, records[:n])
		if err != nil {
			return err
		}
		for i, r := range records[:n] {
			p.s.storePlanRecord(Entry{Offset: first + int64(i), Key: r.Key, Value: r.Value})
		}
		records = records[n:]
	}
	return nil
}

func batchSize(records []control.Record) int {
	bytes := 0
	for i, r := range records {
		bytes += len(r.Key) + len(r.Value)
		if i > 0 && (bytes > maxBatchBytes || i >= maxBatchRecords) {
			return i
		}
	}
	return len(records)
}

// append writes to the planner's own topic. An append that succeeds lengthens its
// authority.
func (p *planner) append(ctx context.Context, records []control.Record) (int64, error) {
	first, err := p.appendTo(ctx, Plans, &p.writer, records)
	return first, errors.Wrap(err, "the planner's append failed")
}

// appendTo repeats a call until the log has answered it. The sequence number lets
// the log recognise a repetition.
func (p *planner) appendTo(ctx context.Context, topic Topic, writer *Writer, records []control.Record) (int64, error) {
	began := time.Now()
	for {
		sent := p.s.clock.Now()
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		one := *writer
		first, err := p.s.log.Append(attempt, topic, records, &one)
		cancel()
		if err == nil {
			writer.Seq++
			p.recordAppend(topic, sent)
			return first, nil
		}
		if isFenced(err) || ctx.Err() != nil {
			return 0, err
		}
		if _, mine := p.s.succession.heldToken(); !mine {
			return 0, errors.New("succeeded while the log did not answer")
		}
		if time.Since(began) > appendTimeout {
			p.s.events.Info(events.AppendRepeated, events.Fields{"token": p.token, "topic": string(topic), "cause": err.Error(), "for_ms": time.Since(began).Milliseconds()})
		}
		sleep(ctx, appendRetryPause)
	}
}

// wrote notes when an append was sent that succeeded.
func (p *planner) recordAppend(topic Topic, sent time.Time) {
	if topic != Plans {
		return
	}
	p.mu.Lock()
	p.lastWrite = sent
	p.mu.Unlock()
	p.s.lastPlanWrite.Store(&sent)
}

// entitled tells whether orders may be given: the last write is recent enough
// that no successor counts this planner's leases as over.
func (p *planner) hasAuthority(now time.Time) bool {
	return now.Sub(p.lastWrite) < p.s.settings.Bounds.Authority
}

// release orders the starts that the last write has made safe.
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

// keep holds leases, stops and repeats what is due, besides the rounds: a write
// that the log does not answer must not let leases lapse.
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

// acting tells whether this planner may give orders now; p.mu is held.
func (p *planner) canOrder(now time.Time) bool {
	return p.hasAuthority(now) && !p.resigned && !p.core.Deposed()
}

func (p *planner) sendStops(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.canOrder(p.s.clock.Now()) {
		return
	}
	for _, o := range p.core.Stops() {
		p.goroutines.Go(func() { p.sendStop(ctx, o) })
	}
	for _, o := range p.core.Paces() {
		p.goroutines.Go(func() { p.sendPace(ctx, o) })
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
		for _, o := range p.core.Due(now) {
			p.goroutines.Go(func() { p.sendStart(ctx, o) })
		}
	}
	if o, ok := p.core.Ask(now); ok {
		p.goroutines.Go(func() { p.requestAdvice(ctx, o) })
	}
	for _, id := range p.core.NeedsHold(now) {
		if o, ok := p.core.Hold(id, now); ok {
			p.goroutines.Go(func() { p.renewLease(ctx, o) })
		}
	}
}

// informed tells whether what was read is recent enough to start something: what was
// read too long ago may have been cancelled, drained or evacuated since.
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
