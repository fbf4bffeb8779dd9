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
	decided   time.Duration
	decidedAt time.Time
	tempo     tempo
	// forgot is when jobs were last looked through for ones to forget.
	forgot time.Time
	// reduced is when jobs were last reduced.
	reduced time.Time
	// reducing tells that this is under way.
	reducing atomic.Bool
	// wake asks for a round, due for a look at what is due.
	wake, due chan struct{}
	// stated is signalled when there is something to state.
	stated chan struct{}
	work   sync.WaitGroup

	answers AnswerTimes

	mu   sync.Mutex
	core *control.Core
	// written is when the last append that succeeded was sent.
	written time.Time
	listed  bool
	version int64
	list    map[string]control.Listing
	// bad holds what is wrong with entries of the list, for each that was noted.
	bad map[string]string
	// fresh tells that the whole list is to be taken over, changed which entries are.
	fresh   bool
	changed map[string]bool
	// interrupted tells that the list was not followed without a gap since it was taken over last.
	interrupted bool
	lister      *follower
	// dropped are to be written among the states.
	dropped []control.Record
	// resigned tells that the role is being given up: no order goes out any more.
	resigned bool
	// hostsLost tells that the service of hosts did not answer last.
	hostsLost bool
}

const (
	roundEvery = 100 * time.Millisecond
	roundRest  = 10 * time.Millisecond
	keepEvery  = 50 * time.Millisecond
	// roundShare is how many times its own length the pause after a decision is, the
	// write counted: decisions take a third of the processor at the most, and what
	// comes waits for the pause.
	roundShare  = 2
	listRest    = 200 * time.Millisecond
	appendTry   = 2 * time.Second
	appendPause = 50 * time.Millisecond
	recordsMost = 200
	bytesMost   = 1 << 20
)

// playPlanner plans until another instance has claimed the role, the log has
// not answered for too long, or this instance leaves.
func (s *Service) playPlanner(ctx context.Context, token int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now, claimed := s.clock.Now(), s.succession.claimed()
	p := &planner{
		s: s, token: token, writer: Writer{Epoch: token, Seq: s.succession.firstSeq() + 1, Expect: -1},
		wake: make(chan struct{}, 1), due: make(chan struct{}, 1), stated: make(chan struct{}, 1), core: control.New(s.settings.Bounds, token, now),
		written: claimed, list: map[string]control.Listing{}, bad: map[string]string{}, changed: map[string]bool{},
	}
	if ended := s.succession.ordersEnded(); !ended.IsZero() {
		p.core.Succeeds(ended)
	}
	s.wrote.Store(&claimed)
	s.planning.Store(true)
	s.book.Fresh()
	s.book.All(p.core.Adopt)
	p.noteBegin()
	p.lister = s.follow(WorkerList, p.listAll, p.listOne, func() time.Duration { return listRest })
	p.lister.changed = p.listConnection
	p.work.Go(func() { p.lister.run(ctx) })
	p.work.Go(func() { p.keep(ctx) })
	p.work.Go(func() { p.maintain(ctx) })
	p.work.Go(func() { p.publish(ctx) })
	why := p.run(ctx)
	s.succession.spend(token)
	s.planning.Store(false)
	cancel()
	s.events.Info(events.PlannerEnds, events.Fields{"token": token, "why": why})
	p.work.Wait()
}

// noteBegin tells what the planner begins from.
func (p *planner) noteBegin() {
	known := p.s.book.Census()
	p.s.events.Info(events.PlannerBegins, events.Fields{
		"token": p.token, "read_to": p.s.plans.place(), "current": p.s.plans.upToDate() && p.s.accepts.upToDate(),
		"strangers_ms": p.core.StrangersUntil().Sub(p.s.clock.Now()).Milliseconds(), "adopted": p.core.Jobs(), "open": known.Open, "unaccepted": known.Unaccepted, "unrecorded": known.Unrecorded,
	})
}

func (p *planner) run(ctx context.Context) string {
	timer := time.NewTicker(roundEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return "shutdown"
		case <-timer.C:
		case <-p.wake:
		case <-p.s.book.Wake():
		}
		if why := p.round(ctx); why != "" {
			return why
		}
		// A round that takes long leaves the processor to others for longer.
		sleep(ctx, max(roundRest, roundShare*p.decided-time.Since(p.decidedAt)))
	}
}

// round decides, writes and orders; it returns why the role has ended, if it has.
func (p *planner) round(ctx context.Context) string {
	if why := p.over(ctx); why != "" {
		return why
	}
	p.mu.Lock()
	p.takeNews()
	// What was read too long ago may have been cancelled, drained or declared anew.
	if now := p.s.clock.Now(); p.listed && p.informed(now) {
		began := time.Now()
		p.core.Round(now, began.UnixMilli())
		p.decidedAt = time.Now()
		p.decided = p.decidedAt.Sub(began)
		p.s.metrics.Observe(telemetry.Round, p.decided)
		p.tempo.rounds.add(p.decided)
	}
	p.measure(p.core.Evacuated(p.s.clock.Now()))
	records := p.core.Changes()
	p.tell()
	p.mu.Unlock()
	signal(p.due)
	if len(records) > 0 || p.s.clock.Since(p.written) > p.s.settings.Patience/4 {
		began := time.Now()
		if err := p.write(ctx, records); err != nil {
			return err.Error()
		}
		p.tempo.writes.add(time.Since(began))
		signal(p.stated)
	}
	p.tempo.note(p.s.events, time.Now())
	p.release(ctx)
	p.reduce(ctx)
	p.forget(ctx)
	return ""
}

func (p *planner) over(ctx context.Context) string {
	if _, mine := p.s.succession.mine(); !mine {
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
	c.Left = true
	if _, err := p.append(ctx, []control.Record{c.record()}); err != nil {
		p.s.events.Info(events.ClaimFailed, events.Fields{"cause": err.Error()})
	}
}

// takeNews brings the core up to date with the log and the lists.
func (p *planner) takeNews() {
	if d := p.s.directory.Load(); d != nil && d.Version != p.version {
		p.version = d.Version
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
	p.takePlaces()
}

// Quantities of the planner's that go up and down.
const (
	quantityEvacuated   = "evacuated_centres"
	quantityRunsToLeave = "evacuated_runs"
)

func (p *planner) measure(left control.Evacuated) {
	p.s.metrics.Set(quantityEvacuated, float64(left.Centres))
	p.s.metrics.Set(quantityRunsToLeave, float64(left.Runs))
}

// tell writes the core's notes as events.
func (p *planner) tell() {
	for _, n := range p.core.Notes() {
		fields := events.Fields{"token": p.token, "version": p.version}
		add(fields, "job", string(n.Job))
		add(fields, "task", n.Task)
		add(fields, "worker", n.Worker)
		add(fields, "why", n.Why)
		add(fields, "detail", n.Detail)
		if n.Run != 0 {
			fields["run"] = n.Run
		}
		p.s.events.Info(events.Name(n.Event), fields)
	}
}

func add(fields events.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}

// write puts records into the log in as many calls as its bounds ask for.
func (p *planner) write(ctx context.Context, records []control.Record) error {
	if len(records) == 0 {
		records = []control.Record{{Key: signKey, Value: []byte("{}")}}
	}
	for len(records) > 0 {
		n := part(records)
		first, err := p.append(ctx, records[:n])
		if err != nil {
			return err
		}
		for i, r := range records[:n] {
			p.s.keepPlan(Entry{Offset: first + int64(i), Key: r.Key, Value: r.Value})
		}
		records = records[n:]
	}
	return nil
}

func part(records []control.Record) int {
	bytes := 0
	for i, r := range records {
		bytes += len(r.Key) + len(r.Value)
		if i > 0 && (bytes > bytesMost || i >= recordsMost) {
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
		attempt, cancel := context.WithTimeout(ctx, appendTry)
		one := *writer
		first, err := p.s.log.Append(attempt, topic, records, &one)
		cancel()
		if err == nil {
			writer.Seq++
			p.wrote(topic, sent)
			return first, nil
		}
		if fenced(err) || ctx.Err() != nil {
			return 0, err
		}
		if _, mine := p.s.succession.mine(); !mine {
			return 0, errors.New("succeeded while the log did not answer")
		}
		if time.Since(began) > appendTry {
			p.s.events.Info(events.AppendRepeated, events.Fields{"token": p.token, "topic": string(topic), "cause": err.Error(), "for_ms": time.Since(began).Milliseconds()})
		}
		sleep(ctx, appendPause)
	}
}

// wrote notes when an append was sent that succeeded.
func (p *planner) wrote(topic Topic, sent time.Time) {
	if topic != Plans {
		return
	}
	p.mu.Lock()
	p.written = sent
	p.mu.Unlock()
	p.s.wrote.Store(&sent)
}

// entitled tells whether orders may be given: the last write is recent enough
// that no successor counts this planner's leases as over.
func (p *planner) entitled(now time.Time) bool {
	return now.Sub(p.written) < p.s.settings.Bounds.Authority
}

// release orders the starts that the last write has made safe.
func (p *planner) release(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	p.takePlaces()
	starts := p.core.Persisted(now)
	if !p.entitled(now) {
		return
	}
	for _, o := range starts {
		p.work.Go(func() { p.start(ctx, o) })
	}
}

// keep holds leases, stops and repeats what is due, besides the rounds: a write
// that the log does not answer must not let leases lapse.
func (p *planner) keep(ctx context.Context) {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.due:
			p.sendStops(ctx)
		case <-tick.C:
			p.sendStops(ctx)
			p.sendDue(ctx)
		}
	}
}

// acting tells whether this planner may give orders now; p.mu is held.
func (p *planner) acting(now time.Time) bool {
	return p.entitled(now) && !p.resigned && !p.core.Deposed()
}

func (p *planner) sendStops(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.acting(p.s.clock.Now()) {
		return
	}
	for _, o := range p.core.Stops() {
		p.work.Go(func() { p.stop(ctx, o) })
	}
	for _, o := range p.core.Paces() {
		p.work.Go(func() { p.pace(ctx, o) })
	}
}

func (p *planner) sendDue(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.clock.Now()
	if !p.acting(now) {
		return
	}
	if p.informed(now) {
		p.takePlaces()
		for _, o := range p.core.Due(now) {
			p.work.Go(func() { p.start(ctx, o) })
		}
	}
	if o, ok := p.core.Ask(now); ok {
		p.work.Go(func() { p.advise(ctx, o) })
	}
	for _, id := range p.core.NeedsHold(now) {
		if o, ok := p.core.Hold(id, now); ok {
			p.work.Go(func() { p.hold(ctx, o) })
		}
	}
}

// informed tells whether what was read is recent enough to start something: what was
// read too long ago may have been cancelled, drained or evacuated since.
func (p *planner) informed(now time.Time) bool {
	return p.s.recent(p.s.accepts.youngest(now), p.s.accepts.oldest(now), p.lister.age(now), p.s.declared.age(now), now.Sub(p.written))
}

func (p *planner) nudge() {
	signal(p.wake)
	signal(p.due)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
