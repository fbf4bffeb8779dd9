// Package planner implements the planner role of one data centre: it claims the workers
// under a fencing token, takes over the gangs that run there, starts and stops gangs as
// package scheduler decides, and renews their leases.
//
// Core is the role without I/O or goroutines; Runner drives it. The election of the
// planner (package membership) serves efficiency only. Safety depends on the workers,
// which refuse lower tokens. A planner
//
//   - starts gangs only while a strict majority of the listed workers has answered
//     under its token within Authority,
//   - renews leases only while at least half of them have,
//   - starts nothing after its claim until every listed worker has answered it, or
//     until every lease that an earlier planner could have granted has ended.
//
// A strict majority and a half always have a worker in common, so of two planners one is
// refused. This requires that workers remember the tokens that they have seen; a worker
// that restarts forgets them until the planner polls it again. Not covered: half of a data
// centre's workers restarting within Authority while two planners are active.
package planner

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/planner/estimate"
	"github.com/cobalttide/cobalttide/planner/gang"
	"github.com/cobalttide/cobalttide/planner/quarantine"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/scheduler"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/state"
)

// Options are the settings of a planner.
type Options struct {
	Timing gang.Timing
	// Poll is the interval at which each worker is polled and its leases are renewed.
	Poll time.Duration
	// Authority is how long a worker's answer counts towards the majority.
	Authority time.Duration
	// PlanInterval is the longest time between two plans.
	PlanInterval time.Duration
	// MaxFailures is how many attempts of a job may fail before the job is ended.
	MaxFailures int
	// MaxCrashes is how many attempts of a job may end with a worker's crash before the
	// job is ended, since a task may crash each worker that starts it. One such crash
	// proves nothing, and four in a row are unlikely to be caused by another task or by
	// the workers. Crashes of many workers at once are not counted, up to a total of twice
	// as many.
	MaxCrashes int
	// MemoryAllowancePercent is how far a task may exceed its declared memory before its
	// gang is stopped.
	MemoryAllowancePercent int
	Policy                 scheduler.Policy
	Quarantine             quarantine.Options

	// EagerTakeover starts gangs directly after a claim, and UnorderedStart releases
	// members as soon as they are reserved. Both are deliberately broken variants, which
	// show that the tests detect them.
	EagerTakeover, UnorderedStart bool
}

// DefaultOptions returns options for data centres with round trips of milliseconds.
func DefaultOptions() Options {
	return Options{
		Timing:                 gang.DefaultTiming(),
		Poll:                   2 * time.Second,
		Authority:              5 * time.Second,
		PlanInterval:           2 * time.Second,
		MaxFailures:            3,
		MaxCrashes:             4,
		MemoryAllowancePercent: 25,
		Policy:                 scheduler.DefaultPolicy(),
		Quarantine:             quarantine.DefaultOptions(),
	}
}

// Inputs is the input of a tick, besides the workers' answers.
type Inputs struct {
	Now      time.Time
	Workers  []domain.Worker
	Accounts map[domain.AccountID]domain.ClientAccount
	Classes  map[domain.ClassName]domain.Class
	// Jobs are the jobs that have not ended.
	Jobs []state.Status
	// HasEnded reports whether a job is known to have ended. A job that is neither among
	// Jobs nor ended has not been read yet.
	HasEnded func(domain.JobID) bool
	// InputVersion changes whenever Jobs, Accounts or Classes do.
	InputVersion uint64
	// Binding is the published binding; it is read once, at the takeover.
	Binding guarantee.Binding
	// LogDown is set while records can't be appended to the log. Jobs that must not run
	// twice are not started meanwhile.
	LogDown bool
	// Draining are the workers that operators are draining.
	Draining map[domain.WorkerID]bool
	// Evacuated is set if operators want nothing new in the data centre. What runs there
	// continues.
	Evacuated bool
}

// Call is one command to send to a worker.
type Call struct {
	Worker  domain.Worker
	Command port.Command
	// Granted is the clock reading from which the command's lease was computed.
	Granted gang.Reading
}

// Emission is a record to append to the data centre's job stream.
type Emission struct {
	ID      string
	Kind    string
	Payload any
	// Await is set if HandleRecorded must be called with the outcome, and the attempt
	// waits for it. Otherwise the record is kept until it has been appended.
	Await *domain.Incarnation
}

// Output holds the calls and records that a tick requests.
type Output struct {
	Calls     []Call
	Emissions []Emission
}

type workerState struct {
	spec       domain.Worker
	reading    gang.Reading
	hasReading bool
	claimed    bool
	// lastAck is when the last command under this token that was answered without a
	// refusal was sent.
	lastAck      time.Time
	pending      bool
	nextPoll     time.Time
	foundMembers []port.Member
	listed       bool
	// rebootSeen is when a restart of the worker was noticed.
	rebootSeen time.Time
}

// Core is the planner of one data centre under one token. It is not safe for concurrent
// use.
type Core struct {
	DataCentre domain.DataCentre
	Token      domain.Token

	options       Options
	workers       map[domain.WorkerID]*workerState
	listed        []domain.Worker
	reboots       []reboot
	createdAt     time.Time
	majoritySince time.Time
	adopted       bool
	deposedBy     domain.Token
	deposed       bool

	// foundMembers are the members of gangs that claims have reported and whose jobs have
	// not been read yet.
	foundMembers map[domain.Incarnation][]gang.FoundMember
	machines     map[domain.JobID]*gang.Machine
	orphans      map[domain.Incarnation]*gang.Machine
	closing      map[domain.Incarnation]*closingGang
	localStates  map[domain.JobID]*localState

	binding      guarantee.Binding
	reservations []scheduler.Reservation
	held         map[domain.JobID]scheduler.Held
	estimates    *estimate.Estimator
	quarantine   *quarantine.Tracker
	lastPlan     time.Time
	lastVersion  uint64
	planNeeded   bool
	out          Output
}

// localState is the state of a job at this planner that may be ahead of the log.
type localState struct {
	attempt uint64
	// lastConcluded is the newest attempt whose end this planner has written to the log,
	// or is about to write.
	lastConcluded domain.Incarnation
	ended         bool
	// notBefore delays the next attempt after one that failed to start.
	notBefore time.Time
	// crashedAttempts are the attempts that ended with a worker's crash under this
	// planner.
	crashedAttempts []crashedAttempt
}

// closingGang is an ended gang that some workers still remember.
type closingGang struct {
	workers map[domain.WorkerID]bool
	// pending are the workers to which a forget command is being sent.
	pending map[domain.WorkerID]bool
	job     domain.JobID
	// endsJob is set if the job's end must be in the log before the gang is forgotten.
	endsJob bool
}

// New returns a planner that has not claimed its workers yet.
func New(dc domain.DataCentre, token domain.Token, options Options, now time.Time) *Core {
	return &Core{
		DataCentre: dc, Token: token, options: options, createdAt: now,
		workers:     map[domain.WorkerID]*workerState{},
		machines:    map[domain.JobID]*gang.Machine{},
		orphans:     map[domain.Incarnation]*gang.Machine{},
		closing:     map[domain.Incarnation]*closingGang{},
		localStates: map[domain.JobID]*localState{},
		held:        map[domain.JobID]scheduler.Held{},
		estimates:   estimate.NewEstimator(),
		quarantine:  quarantine.NewTracker(options.Quarantine),
	}
}

// Reading implements gang.Clocks.
func (c *Core) Reading(id domain.WorkerID) (gang.Reading, bool) {
	w, ok := c.workers[id]
	if !ok || !w.claimed {
		return gang.Reading{}, false
	}
	return w.reading, true
}

// Deposed reports whether a worker has seen a higher token, and which.
func (c *Core) Deposed() (domain.Token, bool) { return c.deposedBy, c.deposed }

// IsReady reports whether the planner has taken over and may start gangs.
func (c *Core) IsReady(now time.Time) bool { return c.adopted && c.canStart(now) }

// Held returns the reason for which the last plan holds a job back.
func (c *Core) Held(id domain.JobID) (scheduler.Held, bool) {
	held, ok := c.held[id]
	return held, ok
}

// Binding returns the current binding.
func (c *Core) Binding() guarantee.Binding { return c.binding }

// Machine returns the gang of a job, or nil.
func (c *Core) Machine(id domain.JobID) *gang.Machine { return c.machines[id] }

// Tick performs everything that is due and returns the calls and records to send.
func (c *Core) Tick(in Inputs) Output {
	c.out = Output{}
	if c.deposed {
		return c.out
	}
	c.updateWorkers(in.Workers)
	c.poll(in.Now)
	if !c.isTakeoverSafe(in.Now) {
		return c.out
	}
	if !c.adopted {
		c.adopt(in)
	}
	c.takeOver(in)
	c.cancelJobs(in)
	c.advanceGangs(in)
	c.recoverLost(in)
	c.planIfDue(in)
	c.advanceGangs(in)
	c.forgetClosing(in)
	return c.out
}

// updateWorkers replaces the worker list by the platform's current one. Workers that left
// it no longer count; gangs on them are stopped after their leases have ended.
func (c *Core) updateWorkers(workers []domain.Worker) {
	for _, w := range c.workers {
		w.listed = false
	}
	c.listed = workers
	for _, spec := range workers {
		w, ok := c.workers[spec.ID]
		if !ok {
			w = &workerState{}
			c.workers[spec.ID] = w
		}
		w.spec = spec
		w.listed = true
	}
}

// poll claims the workers that have not been claimed, and polls the others and renews
// their leases when they are due.
func (c *Core) poll(now time.Time) {
	canRenew := c.canRenew(now)
	gangs := c.renewable(now, canRenew)
	for _, spec := range c.listed {
		w := c.workers[spec.ID]
		if w.pending || now.Before(w.nextPoll) {
			continue
		}
		w.pending = true
		w.nextPoll = now.Add(c.options.Poll)
		if !w.claimed {
			c.call(w, port.Command{Verb: port.VerbClaim, Token: c.Token})
			continue
		}
		c.renew(w, gangs[spec.ID])
	}
}

func (c *Core) call(w *workerState, command port.Command) {
	command.Token = c.Token
	c.out.Calls = append(c.out.Calls, Call{Worker: w.spec, Command: command, Granted: w.reading})
}

func (c *Core) renew(w *workerState, gangs []*gang.Machine) {
	until := w.reading.LeaseEnd(c.options.Timing.Lease)
	command := port.Command{Verb: port.VerbRenew, Boot: w.reading.Boot, ValidUntil: domain.Duration(until)}
	for _, m := range gangs {
		command.Gangs = append(command.Gangs, m.Incarnation)
		m.RenewalSent(w.spec.ID, w.reading, until)
	}
	c.call(w, command)
}

// renewable returns, by worker, the gangs whose leases are to be renewed.
func (c *Core) renewable(now time.Time, canRenew bool) map[domain.WorkerID][]*gang.Machine {
	out := map[domain.WorkerID][]*gang.Machine{}
	if !canRenew {
		return out
	}
	for _, id := range sortedJobs(c.machines) {
		m := c.machines[id]
		for _, worker := range m.Workers() {
			if m.NeedsRenewal(worker, now) {
				out[worker] = append(out[worker], m)
			}
		}
	}
	return out
}

// countAnswering counts the listed workers that have answered within Authority.
func (c *Core) countAnswering(now time.Time) int {
	n := 0
	for _, w := range c.workers {
		if w.listed && w.claimed && now.Sub(w.lastAck) <= c.options.Authority {
			n++
		}
	}
	return n
}

// isTrusted reports whether a worker that has restarted may be given work again. It has
// forgotten the tokens that it had seen, so a majority of the workers must have answered
// since: had a new planner claimed them, they would have refused.
func (c *Core) isTrusted(w *workerState) bool {
	if w.rebootSeen.IsZero() {
		return true
	}
	n := 0
	for _, other := range c.workers {
		if other.listed && other.claimed && other.lastAck.After(w.rebootSeen) {
			n++
		}
	}
	return 2*n > len(c.listed)
}

func (c *Core) canStart(now time.Time) bool { return 2*c.countAnswering(now) > len(c.listed) }

func (c *Core) canRenew(now time.Time) bool { return 2*c.countAnswering(now) >= len(c.listed) }

// isTakeoverSafe reports whether nothing can run on the data centre's workers that this
// planner has not seen: every listed worker has answered its claim, or everything that an
// earlier planner could have granted has ended.
func (c *Core) isTakeoverSafe(now time.Time) bool {
	if c.adopted {
		return true
	}
	if len(c.listed) == 0 || !c.canStart(now) {
		c.majoritySince = time.Time{}
		return false
	}
	if c.majoritySince.IsZero() {
		c.majoritySince = now
	}
	if c.options.EagerTakeover {
		return true
	}
	for _, w := range c.workers {
		if w.listed && !w.claimed {
			return !now.Before(c.majoritySince.Add(c.TakeoverWait()))
		}
	}
	return true
}

// TakeoverWait returns how long a new planner waits for workers that do not answer: until
// the earlier planner's authority and then its last lease have ended, with clock drift.
func (c *Core) TakeoverWait() time.Duration {
	t := c.options.Timing
	longest := c.options.Authority + t.Lease
	return longest + longest*time.Duration(2*t.DriftPerMille)/1000 + t.Margin
}

// HandleRecorded passes the outcome of a recorded start to its gang: ok means that it is
// durable and that, in the order of the log, the attempt is the only one that is running
// (state.Jobs.MayRun).
func (c *Core) HandleRecorded(id domain.Incarnation, ok bool) {
	if m := c.machineOf(id); m != nil {
		m.SetRecorded(ok)
	}
}

func (c *Core) localOf(id domain.JobID) *localState {
	l, ok := c.localStates[id]
	if !ok {
		l = &localState{}
		c.localStates[id] = l
	}
	return l
}

func (c *Core) emit(id, kind string, payload any) {
	c.out.Emissions = append(c.out.Emissions, Emission{ID: id, Kind: kind, Payload: payload})
}

func recordID(kind string, id domain.Incarnation) string {
	return fmt.Sprintf("%s/%s/%d/%s", kind, id.Job, id.Attempt, id.Holder)
}
