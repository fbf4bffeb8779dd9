// Package limit bounds the load that an instance accepts: requests per second for
// each account, and concurrent requests in total, shared fairly between accounts.
package limit

import (
	"context"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// GateOptions configure a Gate.
type GateOptions struct {
	// MaxWaiting is the maximum number of queued requests of all accounts.
	MaxWaiting int
	// MinLimit and MaxLimit bound the adaptive limit on concurrent requests.
	MinLimit, MaxLimit int
}

// DefaultGateOptions returns options for an instance with some dozens of backend
// servers.
func DefaultGateOptions() GateOptions {
	return GateOptions{MaxWaiting: 2000, MinLimit: 8, MaxLimit: 20_000}
}

// Request describes one request that asks for admission.
type Request struct {
	Account  domain.AccountID
	Weight   int
	Priority int
	// Deadline is the time by which the answer must arrive.
	Deadline time.Time
}

type waiter struct {
	Request
	seq   uint64
	ready chan error
}

type share struct {
	inFlight int
	weight   int
	waiting  int
}

// Gate admits a bounded number of concurrent requests. When it is full, requests
// queue, and a slot that becomes free goes to the account with the lowest use
// relative to its weight; within the account to the highest priority, then to the
// earliest request. A request that cannot be served by its deadline is refused
// immediately with a retry delay. Gate is safe for concurrent use.
type Gate struct {
	options GateOptions

	mu       sync.Mutex
	limit    int
	inFlight int
	waiting  []*waiter
	shares   map[domain.AccountID]*share
	seq      uint64
	// meanServiceTime is the moving average of the time that requests stay
	// admitted.
	meanServiceTime time.Duration
}

// NewGate returns a gate that admits limit concurrent requests.
func NewGate(limit int, options GateOptions) *Gate {
	return &Gate{options: options, limit: limit, shares: map[domain.AccountID]*share{}}
}

// SetLimit changes the limit on concurrent requests, within the options' bounds.
func (g *Gate) SetLimit(limit int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = min(max(limit, g.options.MinLimit), g.options.MaxLimit)
	g.grant(now)
}

// Load returns the numbers of admitted and of queued requests.
func (g *Gate) Load() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, len(g.waiting)
}

// Enter admits the request, waits until it can be admitted, or refuses it. After
// a nil error the caller must call Leave.
func (g *Gate) Enter(ctx context.Context, request Request, now time.Time) error {
	g.mu.Lock()
	s := g.accountShare(request)
	if g.inFlight < g.limit && len(g.waiting) == 0 {
		g.admit(s)
		g.mu.Unlock()
		return nil
	}
	if refusal := g.refuseIfLate(request, now); refusal != nil {
		g.mu.Unlock()
		return refusal
	}
	queued := g.enqueue(request, s)
	g.shed(now)
	g.mu.Unlock()

	select {
	case err := <-queued.ready:
		return err
	case <-ctx.Done():
		return g.leaveQueue(queued)
	}
}

func (g *Gate) accountShare(request Request) *share {
	s, ok := g.shares[request.Account]
	if !ok {
		s = &share{}
		g.shares[request.Account] = s
	}
	s.weight = max(1, request.Weight)
	return s
}

func (g *Gate) admit(s *share) {
	s.inFlight++
	g.inFlight++
}

func (g *Gate) enqueue(request Request, s *share) *waiter {
	g.seq++
	s.waiting++
	w := &waiter{Request: request, seq: g.seq, ready: make(chan error, 1)}
	g.waiting = append(g.waiting, w)
	return w
}

// expectedWait estimates how long the account's queue takes to drain at its share
// of the gate.
func (g *Gate) expectedWait(request Request) time.Duration {
	if g.meanServiceTime == 0 {
		return 0
	}
	own := g.shares[request.Account]
	weights := 0
	for _, s := range g.shares {
		if s.inFlight+s.waiting > 0 || s == own {
			weights += s.weight
		}
	}
	slots := max(1, g.limit*own.weight/max(1, weights))
	ahead := 0
	for _, w := range g.waiting {
		if w.Account == request.Account && w.Priority >= request.Priority {
			ahead++
		}
	}
	return domain.ExpectedWait(ahead+1, g.meanServiceTime, float64(slots))
}

// marginServiceTimes is the number of mean service times that must remain before
// the deadline when a request is admitted. Service times have long tails: with a
// margin of one, a third of the requests admitted last under overload are late and
// their work is lost.
const marginServiceTimes = 4

func (g *Gate) deadlineMargin() time.Duration { return marginServiceTimes * g.meanServiceTime }

// refuseIfLate returns a refusal if the request would have to wait past its
// deadline, and nil otherwise.
func (g *Gate) refuseIfLate(request Request, now time.Time) *domain.Refusal {
	wait := g.expectedWait(request)
	if now.Add(wait + g.deadlineMargin()).Before(request.Deadline) {
		return nil
	}
	return overloaded(wait + g.deadlineMargin())
}

func overloaded(retryAfter time.Duration) *domain.Refusal {
	return domain.Refuse(domain.ReasonOverloaded, "",
		"the request would not be served by its deadline",
		"retry after the given time, or set a later deadline").WithRetryAfter(max(retryAfter, 100*time.Millisecond))
}

// shed refuses one queued request when too many wait: of the account with the
// most queued requests relative to its weight, the newest one of the lowest
// priority.
func (g *Gate) shed(now time.Time) {
	if len(g.waiting) <= g.options.MaxWaiting {
		return
	}
	worst := 0
	for i, w := range g.waiting {
		if g.shedsBefore(w, g.waiting[worst]) {
			worst = i
		}
	}
	w := g.remove(worst)
	w.ready <- overloaded(g.expectedWait(w.Request))
}

// shedsBefore reports whether a is shed before b.
// shedsBefore reports whether a is shed before b.
func (g *Gate) shedsBefore(a, b *waiter) bool {
	sa, sb := g.shares[a.Account], g.shares[b.Account]
	if a.Account != b.Account {
		return sa.waiting*sb.weight > sb.waiting*sa.weight
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.seq > b.seq
}

func (g *Gate) remove(i int) *waiter {
	w := g.waiting[i]
	g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	g.shares[w.Account].waiting--
	return w
}

// grant admits queued requests while there are free slots, and refuses those that
// would be late.
func (g *Gate) grant(now time.Time) {
	for g.inFlight < g.limit && len(g.waiting) > 0 {
		best := 0
		for i, w := range g.waiting {
			if g.grantsBefore(w, g.waiting[best]) {
				best = i
			}
		}
		w := g.remove(best)
		if !now.Add(g.deadlineMargin()).Before(w.Deadline) {
			w.ready <- overloaded(g.expectedWait(w.Request))
			continue
		}
		g.admit(g.shares[w.Account])
		w.ready <- nil
	}
}

// grantsBefore reports whether a is admitted before b.
// grantsBefore reports whether a is admitted before b.
func (g *Gate) grantsBefore(a, b *waiter) bool {
	sa, sb := g.shares[a.Account], g.shares[b.Account]
	if useA, useB := sa.inFlight*sb.weight, sb.inFlight*sa.weight; useA != useB {
		return useA < useB
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.seq < b.seq
}

func (g *Gate) leaveQueue(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiting {
		if other == w {
			g.remove(i)
			return domain.Refuse(domain.ReasonDeadline, "", "the deadline passed while the request waited",
				"retry after the given time").WithRetryAfter(max(g.meanServiceTime, 100*time.Millisecond))
		}
	}
	// The request was admitted or refused at the same moment.
	return <-w.ready
}

// serviceSmoothing is the divisor of the newest service time's weight in the
// moving average: the weight is 1/16.
const serviceSmoothing = 16

// Leave releases the slot of an admitted request and updates the mean service
// time.
func (g *Gate) Leave(account domain.AccountID, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meanServiceTime += (took - g.meanServiceTime) / serviceSmoothing
	g.shares[account].inFlight--
	g.inFlight--
	g.grant(now)
}
