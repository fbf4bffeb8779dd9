package control

import (
	"fmt"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// AdviceOrder asks the advice service which of the given workers may run a step.
type AdviceOrder struct {
	Key     decide.UnitKey
	Step    string
	Workers []string
	// ExpectedTime is the expected response time of the service.
	ExpectedTime time.Duration
}

// AdviceAnswer is the response to an AdviceOrder. OK is false if there was none.
type AdviceAnswer struct {
	OK bool
	// Tickets maps the workers that may run the step to their tickets.
	Tickets  map[string]string
	ValidFor time.Duration
}

// advice caches the service's answers for one step. Whether a worker is allowed never changes,
// but tickets expire.
type advice struct {
	// allowed has an entry for each worker that was asked about: whether it may run the step.
	allowed map[string]bool
	tickets map[string]ticket
	// notBefore delays the next call after a failed one.
	notBefore time.Time
}

type ticket struct {
	text  string
	until time.Time
}

const (
	// maxWorkersPerCall is the most workers that one call may name. A job's objective allows for
	// one call per this many workers.
	maxWorkersPerCall = 30
	// adviceOverask is how many times as many workers as a step needs its first call names, since
	// the policy may refuse some of them.
	adviceOverask = 2
	// adviceRetryPause is the pause after a call without an answer.
	adviceRetryPause = 200 * time.Millisecond
	// ticketShare is the share of a ticket's validity during which it is used. The rest allows
	// for the delay of the start order and for clock differences.
	ticketShare = 0.9
)

func newAdvice() *advice {
	return &advice{allowed: map[string]bool{}, tickets: map[string]ticket{}}
}

func (a *advice) valid(worker string, now time.Time) bool { return now.Before(a.tickets[worker].until) }

// restrictToAllowed restricts a unit to the workers that its queue's policy is known to allow,
// and queues a call for advice if those do not have enough free capacity.
func (c *Core) restrictToAllowed(u *decide.Unit, terms workload.QueueSettings, now time.Time) {
	if terms.Advice == nil {
		return
	}
	a := c.advice[u.Key]
	if a == nil {
		a = newAdvice()
		c.advice[u.Key] = a
	}
	u.Allowed = map[string]bool{}
	capacity := 0
	for id := range a.tickets {
		w := c.workers[id]
		if w == nil || !a.valid(id, now) {
			continue
		}
		u.Allowed[id] = true
		capacity += w.freeCapacity().Count(u.Step.CapacityNeed(), len(u.Indexes))
	}
	if capacity < len(u.Indexes) {
		c.adviceWanted = append(c.adviceWanted, u)
	}
}

// sortAdviceWanted sorts the units that wait for advice by urgency.
func (c *Core) sortAdviceWanted() {
	sort.SliceStable(c.adviceWanted, func(x, y int) bool {
		a, b := c.adviceWanted[x], c.adviceWanted[y]
		if a.Guaranteed != b.Guaranteed {
			return a.Guaranteed
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.LatestStart.Before(b.LatestStart)
	})
}

// freeCapacity returns the worker's capacity that is not taken by any run.
func (w *worker) freeCapacity() workload.Resources {
	free := w.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.step.CapacityNeed())
	}
	return free
}

// NextAdviceOrder returns the next call for advice. ok is false while a call is in flight or if
// none is needed. The service accepts one call at a time from each caller.
func (c *Core) NextAdviceOrder(now time.Time) (AdviceOrder, bool) {
	if c.adviceInFlight {
		return AdviceOrder{}, false
	}
	for _, u := range c.adviceWanted {
		a := c.advice[u.Key]
		j := c.jobs[u.Key.Job]
		if a == nil || j == nil || now.Before(a.notBefore) {
			continue
		}
		workers := c.workersToAsk(u, a, now)
		if len(workers) == 0 {
			continue
		}
		c.adviceInFlight = true
		terms := c.queueSettings(j).Advice
		expected := time.Duration(0)
		if terms != nil {
			expected = time.Duration(terms.DecideMS+terms.PerWorkerMS*int64(len(workers))) * time.Millisecond
		}
		step := workload.TaskID{Job: u.Key.Job, Occurrence: u.Key.Occurrence, Step: u.Key.Step}.StepID()
		return AdviceOrder{Key: u.Key, Step: step, Workers: workers, ExpectedTime: expected}, true
	}
	return AdviceOrder{}, false
}

// workersToAsk lists the workers to ask about: first those whose tickets have expired, then those
// that were never asked about, each by descending free capacity.
func (c *Core) workersToAsk(u *decide.Unit, a *advice, now time.Time) []string {
	var out []string
	capacity := map[string]int{}
	for _, w := range c.workersByID {
		id := w.ID
		allowed, asked := a.allowed[id]
		if !w.reachable || !w.listed || w.Draining || w.Service != u.Service || (asked && !allowed) || a.valid(id, now) {
			continue
		}
		if u.Step.Label != "" && !w.labels[u.Step.Label] {
			continue
		}
		if n := w.Capacity.Count(u.Step.CapacityNeed(), len(u.Indexes)); n == 0 {
			continue
		}
		capacity[id] = w.freeCapacity().Count(u.Step.CapacityNeed(), len(u.Indexes))
		out = append(out, id)
	}
	sort.SliceStable(out, func(x, y int) bool {
		if a.allowed[out[x]] != a.allowed[out[y]] {
			return a.allowed[out[x]]
		}
		return capacity[out[x]] > capacity[out[y]]
	})
	return out[:workersNeeded(out, capacity, adviceOverask*len(u.Indexes))]
}

// workersNeeded returns how many of the workers, from the first on, have capacity for the given
// number of tasks, up to the most that one call may name.
func workersNeeded(workers []string, capacity map[string]int, tasks int) int {
	for i, id := range workers {
		if tasks -= capacity[id]; tasks <= 0 || i+1 == maxWorkersPerCall {
			return i + 1
		}
	}
	return len(workers)
}

// HandleAdvice handles the answer to a call that was sent at the given time.
func (c *Core) HandleAdvice(order AdviceOrder, answer AdviceAnswer, sent, now time.Time) {
	c.adviceInFlight = false
	a := c.advice[order.Key]
	if a == nil {
		return
	}
	if !answer.OK {
		c.emit(Event{Name: EventAdviceUnanswered, Job: order.Key.Job, Task: order.Step})
		a.notBefore = now.Add(adviceRetryPause)
		return
	}
	until := sent.Add(time.Duration(ticketShare * float64(answer.ValidFor)))
	for _, id := range order.Workers {
		text, allowed := answer.Tickets[id]
		a.allowed[id] = allowed
		if allowed {
			a.tickets[id] = ticket{text, until}
		}
	}
	c.emit(Event{Name: EventAdviceTaken, Job: order.Key.Job, Task: order.Step, Detail: fmt.Sprintf("%d of %d", len(answer.Tickets), len(order.Workers))})
}

// ticketFor returns the ticket for starting a run.
func (c *Core) ticketFor(r *activeRun) string {
	if a := c.advice[r.key]; a != nil {
		return a.tickets[r.worker.ID].text
	}
	return ""
}

// dropTicket discards a ticket that its worker has refused.
func (c *Core) dropTicket(r *activeRun) {
	if a := c.advice[r.key]; a != nil {
		delete(a.tickets, r.worker.ID)
	}
}

// forgetAdvice drops the cached advice of jobs that are no longer known.
func (c *Core) forgetAdvice() {
	for key := range c.advice {
		if c.jobs[key.Job] == nil {
			delete(c.advice, key)
		}
	}
}
