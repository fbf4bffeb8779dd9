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

// Publisher appends the planner's records to the log.
type Publisher interface {
	// AppendWithRetry appends a record to the log, now or as soon as the log is available again.
	AppendWithRetry(e Emission)
	// AppendAndConfirm appends a record to the log now, and reports whether the order of the log
	// allows the attempt to run.
	AppendAndConfirm(ctx context.Context, e Emission) bool
}

// Runner runs a Core while its instance holds the planner role.
type Runner struct {
	DataCentre domain.DataCentre
	Instance   domain.InstanceID
	Options    Options
	Workers    port.Workers
	Publisher  Publisher
	Jobs       *state.Jobs
	// Configuration, Fleet, Draining and LogDown return the current state.
	Configuration func() configuration.Snapshot
	Fleet         func() []domain.Worker
	Draining      func() map[domain.WorkerID]bool
	LogDown       func() bool
	// Evacuated reports whether operators want nothing new in the data centre.
	Evacuated func() bool
	// HoldsRole reports whether this instance holds the planner role.
	HoldsRole func() bool
	// OnRoleChange is called when the role is taken or released.
	OnRoleChange func(planning bool)

	core          *Core
	epoch         uint64
	retryRoleAt   time.Time
	answers       chan func()
	queries       chan func()
	jobs          []state.Status
	jobsVersion   uint64
	configVersion configuration.Version
	inputVersion  uint64
}

// tickInterval is the longest time between two ticks.
const tickInterval = 100 * time.Millisecond

// callTimeout is the timeout of one call to a worker.
const callTimeout = 2 * time.Second

// Run runs until ctx is done. The gangs on the workers continue after that and are taken
// over by the next planner.
func (r *Runner) Run(ctx context.Context) {
	r.answers = make(chan func(), 1024)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.answers:
			f()
			r.drainAnswers()
		case f := <-r.queries:
			f()
			continue
		case <-ticker.C:
		}
		r.step(ctx, time.Now())
	}
}

// drainAnswers processes all answers that have arrived, so that one tick serves them all.
func (r *Runner) drainAnswers() {
	for {
		select {
		case f := <-r.answers:
			f()
		default:
			return
		}
	}
}

// Init prepares the runner for queries; call it before Run.
func (r *Runner) Init() { r.queries = make(chan func()) }

// Explain returns the reason for which a job waits. ok is false if this instance does not
// plan or does not hold the job back.
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
	if !r.updateRole(now) {
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

// deposedPause is the pause after which a deposed planner takes the role again. It keeps
// two instances that both hold the role from deposing each other endlessly.
const deposedPause = 3 * time.Second

// updateRole takes or releases the role and reports whether this instance plans.
func (r *Runner) updateRole(now time.Time) bool {
	if !r.HoldsRole() {
		r.releaseRole()
		return false
	}
	if r.core != nil {
		by, deposed := r.core.Deposed()
		if !deposed {
			return true
		}
		r.epoch = max(r.epoch, by.Epoch)
		if by.Holder != r.Instance && r.core.adopted {
			r.retryRoleAt = now.Add(deposedPause)
		}
		r.releaseRole()
	}
	if now.Before(r.retryRoleAt) {
		return false
	}
	r.epoch++
	r.core = New(r.DataCentre, domain.Token{Epoch: r.epoch, Holder: r.Instance}, r.Options, now)
	r.OnRoleChange(true)
	return true
}

func (r *Runner) releaseRole() {
	if r.core == nil {
		return
	}
	r.core = nil
	r.OnRoleChange(false)
}

func (r *Runner) input(now time.Time) Inputs {
	configured := r.Configuration()
	if version := r.Jobs.Version(); r.jobs == nil || version != r.jobsVersion || configured.Version != r.configVersion {
		r.jobs, r.jobsVersion = r.Jobs.Active()
		r.configVersion = configured.Version
		r.inputVersion++
	}
	return Inputs{
		Now: now, Workers: r.Fleet(), Accounts: configured.Declarations.Accounts, Classes: configured.Declarations.Classes,
		Jobs: r.jobs, HasEnded: r.hasEnded, InputVersion: r.inputVersion, Binding: r.Jobs.Binding(), Draining: r.Draining(), LogDown: r.LogDown(), Evacuated: r.Evacuated(),
	}
}

func (r *Runner) hasEnded(id domain.JobID) bool {
	status, ok := r.Jobs.Get(id)
	return ok && status.State.IsFinal()
}

// do carries out one call and passes its answer to the loop. Answers to a Core that has
// been released are dropped.
func (r *Runner) do(ctx context.Context, core *Core, call Call) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	report, err := r.Workers.Do(callCtx, call.Worker, call.Command)
	received := time.Now()
	r.deliver(ctx, core, func() { core.HandleAnswer(call, report, err, sent, received) })
}

func (r *Runner) deliver(ctx context.Context, core *Core, f func()) {
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
		r.Publisher.AppendWithRetry(e)
		return
	}
	go func() {
		ok := r.Publisher.AppendAndConfirm(ctx, e)
		r.deliver(ctx, core, func() { core.HandleRecorded(*e.Await, ok) })
	}()
}
