// Package limit bounds what an instance takes on: requests a second for each
// account, and requests at once for all, shared fairly between accounts.
package limit

import (
	"context"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// GateOptions bound a gate.
type GateOptions struct {
	// MaxWaiting bounds the requests that wait, over all accounts.
	MaxWaiting int
	// Least and Most bound the adaptive number of requests at once.
	Least, Most int
}

// DefaultGateOptions suit an instance with some dozens of backend servers.
func DefaultGateOptions() GateOptions {
	return GateOptions{MaxWaiting: 2000, Least: 8, Most: 20_000}
}

// Ticket is one request's claim to pass a gate.
type Ticket struct {
	Account  domain.AccountID
	Weight   int
	Priority int
	// Deadline is when the answer must be there.
	Deadline time.Time
}

type waiter struct {
	Ticket
	seq   uint64
	ready chan error
}

type share struct {
	inFlight int
	weight   int
	waiting  int
}

// Gate lets a bounded number of requests through at once. When it is full,
// free places go to the account that uses least for its weight, within it to
// the highest priority, then to the earliest. A request that can't be served
// by its deadline is refused at once, and told when to come back. Safe for
// concurrent use.
type Gate struct {
	options GateOptions

	mu       sync.Mutex
	limit    int
	inFlight int
	waiting  []*waiter
	shares   map[domain.AccountID]*share
	seq      uint64
	// service is the moving average of the time between Enter and Leave.
	service time.Duration
}

// NewGate returns a gate that lets limit requests through at once.
func NewGate(limit int, options GateOptions) *Gate {
	return &Gate{options: options, limit: limit, shares: map[domain.AccountID]*share{}}
}

// SetLimit changes the number of requests at once, within the options' bounds.
func (g *Gate) SetLimit(limit int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = min(max(limit, g.options.Least), g.options.Most)
	g.grant(now)
}

// Load returns the requests that are through, and those that wait.
func (g *Gate) Load() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, len(g.waiting)
}

// Enter passes the gate, or waits, or refuses. After a nil error the caller
// must call Leave.
func (g *Gate) Enter(ctx context.Context, ticket Ticket, now time.Time) error {
	g.mu.Lock()
	s := g.share(ticket)
	if g.inFlight < g.limit && len(g.waiting) == 0 {
		g.admit(s)
		g.mu.Unlock()
		return nil
	}
	if refusal := g.tooLate(ticket, now); refusal != nil {
		g.mu.Unlock()
		return refusal
	}
	w := g.wait(ticket, s)
	g.shed(now)
	g.mu.Unlock()

	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
		return g.leaveQueue(w)
	}
}

func (g *Gate) share(t Ticket) *share {
	s, ok := g.shares[t.Account]
	if !ok {
		s = &share{}
		g.shares[t.Account] = s
	}
	s.weight = max(1, t.Weight)
	return s
}

func (g *Gate) admit(s *share) {
	s.inFlight++
	g.inFlight++
}

func (g *Gate) wait(t Ticket, s *share) *waiter {
	g.seq++
	s.waiting++
	w := &waiter{Ticket: t, seq: g.seq, ready: make(chan error, 1)}
	g.waiting = append(g.waiting, w)
	return w
}

// expectedWait is how long the account's queue takes to drain at its share of
// the gate.
func (g *Gate) expectedWait(t Ticket) time.Duration {
	if g.service == 0 {
		return 0
	}
	mine := g.shares[t.Account]
	weights := 0
	for _, s := range g.shares {
		if s.inFlight+s.waiting > 0 || s == mine {
			weights += s.weight
		}
	}
	places := max(1, g.limit*mine.weight/max(1, weights))
	ahead := 0
	for _, w := range g.waiting {
		if w.Account == t.Account && w.Priority >= t.Priority {
			ahead++
		}
	}
	return g.service * time.Duration(ahead+1) / time.Duration(places)
}

// marginServices is how many mean service times must be left to a deadline when
// a place is granted. Service times have long tails: with one, a third of what
// is granted last under overload is late, and its work is lost.
const marginServices = 4

func (g *Gate) margin() time.Duration { return marginServices * g.service }

// tooLate refuses a request that would have to wait past its deadline.
func (g *Gate) tooLate(t Ticket, now time.Time) *domain.Refusal {
	wait := g.expectedWait(t)
	if now.Add(wait + g.margin()).Before(t.Deadline) {
		return nil
	}
	return overloaded(wait + g.margin())
}

func overloaded(retryAfter time.Duration) *domain.Refusal {
	return domain.Refuse(domain.ReasonOverloaded, "",
		"the request would not be served by its deadline",
		"come back after the time given, or allow more time").After(max(retryAfter, 100*time.Millisecond))
}

// shed ends the waiter that has least claim when too many wait: of the account
// that waits with most for its weight, the one with the lowest priority that
// came last.
func (g *Gate) shed(now time.Time) {
	if len(g.waiting) <= g.options.MaxWaiting {
		return
	}
	worst := 0
	for i, w := range g.waiting {
		if g.lessClaim(w, g.waiting[worst]) {
			worst = i
		}
	}
	w := g.remove(worst)
	w.ready <- overloaded(g.expectedWait(w.Ticket))
}

func (g *Gate) lessClaim(a, b *waiter) bool {
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

// grant hands free places out.
func (g *Gate) grant(now time.Time) {
	for g.inFlight < g.limit && len(g.waiting) > 0 {
		best := 0
		for i, w := range g.waiting {
			if g.moreClaim(w, g.waiting[best]) {
				best = i
			}
		}
		w := g.remove(best)
		if !now.Add(g.margin()).Before(w.Deadline) {
			w.ready <- overloaded(g.expectedWait(w.Ticket))
			continue
		}
		g.admit(g.shares[w.Account])
		w.ready <- nil
	}
}

func (g *Gate) moreClaim(a, b *waiter) bool {
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
				"come back after the time given").After(max(g.service, 100*time.Millisecond))
		}
	}
	// The place was granted at the same moment; the caller has it.
	return <-w.ready
}

// serviceSmoothing is the weight of the newest service time.
const serviceSmoothing = 16

// Leave gives a place back.
func (g *Gate) Leave(account domain.AccountID, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service += (took - g.service) / serviceSmoothing
	g.shares[account].inFlight--
	g.inFlight--
	g.grant(now)
}
