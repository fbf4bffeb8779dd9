// Package planner runs the planner's role for one data centre: it claims the
// workers under a fencing token, takes over what runs there, starts and stops
// gangs as package scheduler decides, and renews their leases.
//
// Core is the role without I/O or goroutines; Runner drives it. Who is planner
// is settled for efficiency only (package membership). Safety rests on the
// workers: they refuse lower tokens, and a planner
//
//   - starts gangs only while a strict majority of the listed workers has
//     answered under its token within Authority,
//   - renews leases only while at least half has,
//   - starts nothing after its claim until every listed worker has answered it,
//     or until every lease that an earlier planner could have granted has ended.
//
// Any strict majority meets any half, so of two planners one is refused. That
// rests on workers that remember the tokens they have seen; one that restarts
// forgets them until the planner polls it again. Not covered: half of a data
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

// Options bound a planner.
type Options struct {
	Timing gang.Timing
	// Poll is the interval at which each worker is renewed and asked.
	Poll time.Duration
	// Authority is how long a worker's answer counts towards the majority.
	Authority time.Duration
	// PlanEvery is the longest time between two plans.
	PlanEvery time.Duration
	// MaxFailures is how many attempts of a job may fail before it is ended.
	MaxFailures int
	// MaxCrashes is how many attempts of a job may end with a worker's crash before it is
	// ended: a task may be what crashes each worker that starts it. One such crash proves
	// nothing, and four in a row are another task's or a worker's doing only by chance. Crashes
	// of many workers together don't count up to twice as many.
	MaxCrashes int
	// MemoryAllowancePercent is how far a task may exceed its declared memory
	// before its gang is stopped.
	MemoryAllowancePercent int
	Policy                 scheduler.Policy
	Quarantine             quarantine.Options

	// EagerTakeover starts at once after a claim, and UnorderedStart releases
	// members as they come. Both are broken variants for tests of tests.
	EagerTakeover, UnorderedStart bool
}

// DefaultOptions suit data centres with round trips of milliseconds.
func DefaultOptions() Options {
	return Options{
		Timing:                 gang.DefaultTiming(),
		Poll:                   2 * time.Second,
		Authority:              5 * time.Second,
		PlanEvery:              2 * time.Second,
		MaxFailures:            3,
		MaxCrashes:             4,
		MemoryAllowancePercent: 25,
		Policy:                 scheduler.DefaultPolicy(),
		Quarantine:             quarantine.DefaultOptions(),
	}
}

// Inputs is what a tick depends on besides the workers' answers.
type Inputs struct {
	Now      time.Time
	Workers  []domain.Worker
	Accounts map[domain.AccountID]domain.ClientAccount
	Classes  map[domain.ClassName]domain.Class
	// Jobs are the jobs that have not ended.
	Jobs []state.Status
	// Ended tells whether a job is known to have ended. One that is neither among
	// Jobs nor ended has not been read yet.
	Ended func(domain.JobID) bool
	// Version changes whenever Jobs, Accounts or Classes do.
	Version uint64
	// Binding is the published one, taken over once.
	Binding guarantee.Binding
	// LogDown is set while records don't reach the log. Jobs that must not run
	// twice are not started meanwhile.
	LogDown bool
	// Draining are workers that operators are emptying.
	Draining map[domain.WorkerID]bool
	// Evacuated tells that operators want nothing new in the data centre. What runs
	// goes on.
	Evacuated bool
}

// Call is one command to carry out.
type Call struct {
	Worker  domain.Worker
	Command port.Command
	// Granted is the reading that the command's lease was computed from.
	Granted gang.Reading
}

// Emission is a record to put into the data centre's job stream.
type Emission struct {
	ID      string
	Kind    string
	Payload any
	// Await is set when Recorded must be called with the outcome, and nothing
	// goes on before that; otherwise the record is kept until it lands.
	Await *domain.Incarnation
}

// Output is what a tick asks for.
type Output struct {
	Calls     []Call
	Emissions []Emission
}

type workerState struct {
	spec    domain.Worker
	reading gang.Reading
	known   bool
	claimed bool
	// acked is when the last answered command under this token was sent.
	acked    time.Time
	busy     bool
	nextPoll time.Time
	found    []port.Member
	listed   bool
	// rebooted is when a restart of the worker was noticed.
	rebooted time.Time
}

// Core is the planner of one data centre under one token. Not safe for
// concurrent use.
type Core struct {
	DataCentre domain.DataCentre
	Token      domain.Token

	options   Options
	workers   map[domain.WorkerID]*workerState
	order     []domain.Worker
	reboots   []reboot
	began     time.Time
	majority  time.Time
	adopted   bool
	deposedBy domain.Token
	deposed   bool

	// found are gangs that the claims have shown and whose jobs are not known yet.
	found    map[domain.Incarnation][]gang.Found
	machines map[domain.JobID]*gang.Machine
	orphans  map[domain.Incarnation]*gang.Machine
	closing  map[domain.Incarnation]*closing
	local    map[domain.JobID]*localState

	binding      guarantee.Binding
	reservations []scheduler.Reservation
	held         map[domain.JobID]scheduler.Held
	estimates    *estimate.Book
	book         *quarantine.Book
	lastPlan     time.Time
	lastVersion  uint64
	dirty        bool
	out          Output
}

// localState is what this planner knows of a job ahead of the log.
type localState struct {
	attempt uint64
	// concluded is the newest attempt whose end this planner has put into the
	// log, or is about to.
	concluded domain.Incarnation
	ended     bool
	// notBefore delays the next attempt after one that failed to start.
	notBefore time.Time
	// crashed are the attempts that ended with a worker's crash under this planner.
	crashed []crashedAttempt
}

// closing is an ended gang whose workers still remember it.
type closing struct {
	workers map[domain.WorkerID]bool
	// asked are those of them with a forget under way.
	asked map[domain.WorkerID]bool
	job   domain.JobID
	// final is set when the job's end must be in the log first.
	final bool
}

// New returns a planner that has yet to claim its workers.
func New(dc domain.DataCentre, token domain.Token, options Options, now time.Time) *Core {
	return &Core{
		DataCentre: dc, Token: token, options: options, began: now,
		workers:   map[domain.WorkerID]*workerState{},
		machines:  map[domain.JobID]*gang.Machine{},
		orphans:   map[domain.Incarnation]*gang.Machine{},
		closing:   map[domain.Incarnation]*closing{},
		local:     map[domain.JobID]*localState{},
		held:      map[domain.JobID]scheduler.Held{},
		estimates: estimate.NewBook(),
		book:      quarantine.NewBook(options.Quarantine),
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

// Deposed tells whether a worker has seen a higher token, and which.
func (c *Core) Deposed() (domain.Token, bool) { return c.deposedBy, c.deposed }

// Ready tells whether the planner has taken over and may start gangs.
func (c *Core) Ready(now time.Time) bool { return c.adopted && c.mayStart(now) }

// Held returns why a job waits, from the last plan.
func (c *Core) Held(id domain.JobID) (scheduler.Held, bool) {
	held, ok := c.held[id]
	return held, ok
}

// Binding returns the cells in force.
func (c *Core) Binding() guarantee.Binding { return c.binding }

// Machine returns the gang of a job, or nil.
func (c *Core) Machine(id domain.JobID) *gang.Machine { return c.machines[id] }

// Tick does all that is due and returns what it asks for.
func (c *Core) Tick(in Inputs) Output {
	c.out = Output{}
	if c.deposed {
		return c.out
	}
	c.list(in.Workers)
	c.poll(in.Now)
	if !c.settled(in.Now) {
		return c.out
	}
	if !c.adopted {
		c.adopt(in)
	}
	c.takeOver(in)
	c.cancelRequested(in)
	c.advance(in)
	c.recoverLost(in)
	c.planIfDue(in)
	c.advance(in)
	c.forget(in)
	return c.out
}

// list takes in the platform's list. Workers that leave it are no longer
// counted; what ran on them is stopped when their leases have ended.
func (c *Core) list(workers []domain.Worker) {
	for _, w := range c.workers {
		w.listed = false
	}
	c.order = workers
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

// poll claims workers that have not been claimed, and renews and asks the
// others when they are due.
func (c *Core) poll(now time.Time) {
	mayRenew := c.mayRenew(now)
	gangs := c.renewable(now, mayRenew)
	for _, spec := range c.order {
		w := c.workers[spec.ID]
		if w.busy || now.Before(w.nextPoll) {
			continue
		}
		w.busy = true
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
	until := w.reading.Until(c.options.Timing.Lease)
	command := port.Command{Verb: port.VerbRenew, Boot: w.reading.Boot, Until: domain.Duration(until)}
	for _, m := range gangs {
		command.Gangs = append(command.Gangs, m.Gang)
		m.RenewalSent(w.spec.ID, w.reading, until)
	}
	c.call(w, command)
}

// renewable lists by worker the gangs whose leases are to be extended.
func (c *Core) renewable(now time.Time, may bool) map[domain.WorkerID][]*gang.Machine {
	out := map[domain.WorkerID][]*gang.Machine{}
	if !may {
		return out
	}
	for _, id := range sortedJobs(c.machines) {
		m := c.machines[id]
		for _, worker := range m.Workers() {
			if m.WantsRenewal(worker, now) {
				out[worker] = append(out[worker], m)
			}
		}
	}
	return out
}

// answering counts the listed workers that have answered within Authority.
func (c *Core) answering(now time.Time) int {
	n := 0
	for _, w := range c.workers {
		if w.listed && w.claimed && now.Sub(w.acked) <= c.options.Authority {
			n++
		}
	}
	return n
}

// trusted tells whether a worker that has restarted may be given work again. It
// has forgotten the tokens it had seen, so a majority of the others must have
// answered since: had a new planner claimed them, they would have refused.
func (c *Core) trusted(w *workerState) bool {
	if w.rebooted.IsZero() {
		return true
	}
	n := 0
	for _, other := range c.workers {
		if other.listed && other.claimed && other.acked.After(w.rebooted) {
			n++
		}
	}
	return 2*n > len(c.order)
}

func (c *Core) mayStart(now time.Time) bool { return 2*c.answering(now) > len(c.order) }

func (c *Core) mayRenew(now time.Time) bool { return 2*c.answering(now) >= len(c.order) }

// settled tells whether nothing can run on this data centre's workers that
// this planner does not know of: every listed worker has answered its claim,
// or everything that an earlier planner could have granted has ended.
func (c *Core) settled(now time.Time) bool {
	if c.adopted {
		return true
	}
	if len(c.order) == 0 || !c.mayStart(now) {
		c.majority = time.Time{}
		return false
	}
	if c.majority.IsZero() {
		c.majority = now
	}
	if c.options.EagerTakeover {
		return true
	}
	for _, w := range c.workers {
		if w.listed && !w.claimed {
			return !now.Before(c.majority.Add(c.TakeoverWait()))
		}
	}
	return true
}

// TakeoverWait is how long a new planner waits for workers that do not answer:
// the earlier planner's authority ends, then its last lease, with drift.
func (c *Core) TakeoverWait() time.Duration {
	t := c.options.Timing
	longest := c.options.Authority + t.Lease
	return longest + longest*time.Duration(2*t.DriftPerMille)/1000 + t.Margin
}

// Recorded says whether the start of an attempt is durable and, in the log's
// order, the only one under way (state.Jobs.MayRun).
func (c *Core) Recorded(id domain.Incarnation, ok bool) {
	if m := c.machineOf(id); m != nil {
		m.Recorded(ok)
	}
}

func (c *Core) localOf(id domain.JobID) *localState {
	l, ok := c.local[id]
	if !ok {
		l = &localState{}
		c.local[id] = l
	}
	return l
}

func (c *Core) emit(id, kind string, payload any) {
	c.out.Emissions = append(c.out.Emissions, Emission{ID: id, Kind: kind, Payload: payload})
}

func recordID(kind string, id domain.Incarnation) string {
	return fmt.Sprintf("%s/%s/%d/%s", kind, id.Job, id.Attempt, id.Holder)
}
