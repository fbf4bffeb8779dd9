package planner

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler"
	"github.com/cobalttide/cobalttide/state"
)

// Publisher puts the planner's records where they last.
type Publisher interface {
	// Keep puts a record into the log, now or once the log is back.
	Keep(e Emission)
	// Record puts a record into the log now, and tells whether the log's order
	// lets the attempt go on.
	Record(ctx context.Context, e Emission) bool
}

// Runner drives a Core while its instance holds the planner's role.
type Runner struct {
	DataCentre domain.DataCentre
	Instance   domain.InstanceID
	Options    Options
	Workers    port.Workers
	Publisher  Publisher
	Jobs       *state.Jobs
	// Configuration, Fleet, Draining and LogDown give the present view.
	Configuration func() configuration.Snapshot
	Fleet         func() []domain.Worker
	Draining      func() map[domain.WorkerID]bool
	LogDown       func() bool
	// Evacuated tells whether operators want nothing new in the data centre.
	Evacuated func() bool
	// Mine tells whether this instance holds the role.
	Mine func() bool
	// OnChange is told when the role is taken up or given up.
	OnChange func(planning bool)

	core     *Core
	epoch    uint64
	notUntil time.Time
	answers  chan func()
	queries  chan func()
	jobs     []state.Status
	version  uint64
	cfg      configuration.Version
	inputs   uint64
}

// tickEvery is the longest time between two ticks.
const tickEvery = 100 * time.Millisecond

// callTimeout bounds one call to a worker.
const callTimeout = 2 * time.Second

// Run takes part until ctx ends. What runs on the workers goes on after it, and
// is taken over by the next planner.
func (r *Runner) Run(ctx context.Context) {
	r.answers = make(chan func(), 1024)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.answers:
			f()
			r.takeAnswers()
		case f := <-r.queries:
			f()
			continue
		case <-ticker.C:
		}
		r.step(ctx, time.Now())
	}
}

// takeAnswers takes what else has come in, so that one tick serves many.
func (r *Runner) takeAnswers() {
	for {
		select {
		case f := <-r.answers:
			f()
		default:
			return
		}
	}
}

// Init makes the runner ready for queries; call it before Run.
func (r *Runner) Init() { r.queries = make(chan func()) }

// Explain returns why a job waits. ok is false when this instance does not plan
// or does not hold the job back.
func (r *Runner) Explain(ctx context.Context, id domain.JobID) (held scheduler.Held, ok bool) {
	done := make(chan struct{})
	query := func() {
		defer close(done)
		if r.core != nil {
			held, ok = r.core.Held(id)
		}
	}
	select {
	case r.queries <- query:
		<-done
	case <-ctx.Done():
	}
	return held, ok
}

func (r *Runner) step(ctx context.Context, now time.Time) {
	if !r.hold(now) {
		return
	}
	out := r.core.Tick(r.input(now))
	core := r.core
	for _, call := range out.Calls {
		go r.do(ctx, core, call)
	}
	for _, e := range out.Emissions {
		r.emit(ctx, core, e)
	}
}

// deposedPause keeps two instances that both believe they plan from taking the
// role from each other without end.
const deposedPause = 3 * time.Second

// hold takes the role up or gives it up.
func (r *Runner) hold(now time.Time) bool {
	if !r.Mine() {
		r.giveUp()
		return false
	}
	if r.core != nil {
		by, deposed := r.core.Deposed()
		if !deposed {
			return true
		}
		r.epoch = max(r.epoch, by.Epoch)
		if by.Holder != r.Instance && r.core.adopted {
			r.notUntil = now.Add(deposedPause)
		}
		r.giveUp()
	}
	if now.Before(r.notUntil) {
		return false
	}
	r.epoch++
	r.core = New(r.DataCentre, domain.Token{Epoch: r.epoch, Holder: r.Instance}, r.Options, now)
	r.OnChange(true)
	return true
}

func (r *Runner) giveUp() {
	if r.core == nil {
		return
	}
	r.core = nil
	r.OnChange(false)
}

func (r *Runner) input(now time.Time) Inputs {
	configured := r.Configuration()
	if version := r.Jobs.Version(); r.jobs == nil || version != r.version || configured.Version != r.cfg {
		r.jobs, r.version = r.Jobs.Active()
		r.cfg = configured.Version
		r.inputs++
	}
	return Inputs{
		Now: now, Workers: r.Fleet(), Accounts: configured.Declarations.Accounts, Classes: configured.Declarations.Classes,
		Jobs: r.jobs, Ended: r.ended, Version: r.inputs, Binding: r.Jobs.Binding(), Draining: r.Draining(), LogDown: r.LogDown(), Evacuated: r.Evacuated(),
	}
}

func (r *Runner) ended(id domain.JobID) bool {
	status, ok := r.Jobs.Get(id)
	return ok && status.State.Final()
}

// do carries out one call and hands its answer to the loop. Answers to a core
// that has been given up are dropped with it.
func (r *Runner) do(ctx context.Context, core *Core, call Call) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	report, err := r.Workers.Do(callCtx, call.Worker, call.Command)
	received := time.Now()
	r.hand(ctx, core, func() { core.Answer(call, report, err, sent, received) })
}

func (r *Runner) hand(ctx context.Context, core *Core, f func()) {
	guarded := func() {
		if r.core == core {
			f()
		}
	}
	select {
	case r.answers <- guarded:
	case <-ctx.Done():
	}
}

func (r *Runner) emit(ctx context.Context, core *Core, e Emission) {
	if e.Await == nil {
		r.Publisher.Keep(e)
		return
	}
	go func() {
		ok := r.Publisher.Record(ctx, e)
		r.hand(ctx, core, func() { core.Recorded(*e.Await, ok) })
	}()
}
