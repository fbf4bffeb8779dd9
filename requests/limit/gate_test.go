package limit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// serve sends requests of one account through the gate at a rate and counts
// what was served in time, was late, and was refused.
type served struct {
	mu                    sync.Mutex
	inTime, late, refused int
	slowestRefusal        time.Duration
}

const (
	testService  = 10 * time.Millisecond
	testDeadline = 500 * time.Millisecond
)

func (s *served) send(g *Gate, account domain.AccountID, every time.Duration, n int, wg *sync.WaitGroup) {
	defer wg.Done()
	for range n {
		time.Sleep(every)
		wg.Go(func() { s.one(g, account) })
	}
}

func (s *served) one(g *Gate, account domain.AccountID) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	err := g.Enter(ctx, Ticket{Account: account, Weight: 1, Deadline: began.Add(testDeadline)}, began)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused++
		s.slowestRefusal = max(s.slowestRefusal, time.Since(began))
		if domain.AsRefusal(err).RetryAfter <= 0 {
			s.late++ // a refusal must say when to come back
		}
		return
	}
	entered := time.Now()
	time.Sleep(testService)
	g.Leave(account, time.Since(entered), time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(began) <= testDeadline {
		s.inTime++
		return
	}
	s.late++
}

func TestBurstOfOneAccountMakesNoOtherLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(8, DefaultGateOptions()) // 800 requests a second
		var greedy, modest served
		var wg sync.WaitGroup
		wg.Add(2)
		go greedy.send(g, "greedy", time.Second/3000, 9000, &wg)
		go modest.send(g, "modest", time.Second/200, 600, &wg)
		wg.Wait()
		if modest.refused > 0 || modest.late > 0 {
			t.Errorf("the modest account: %d refused, %d late", modest.refused, modest.late)
		}
		if greedy.late > 0 {
			t.Errorf("%d of the greedy account were served late or refused without a time", greedy.late)
		}
		if greedy.inTime < 1500 {
			t.Errorf("the greedy account had only %d of the 1,800 that were left", greedy.inTime)
		}
	})
}

func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1, GateOptions{MaxWaiting: 1000, Least: 1, Most: 1})
		var s served
		s.one(g, "a") // the gate learns the service time
		var wg sync.WaitGroup
		for range 400 {
			wg.Go(func() { s.one(g, "a") })
		}
		wg.Wait()
		if s.late > 0 {
			t.Errorf("%d were served late", s.late)
		}
		began := time.Now()
		ctx := context.Background()
		g.service = time.Second
		if err := g.Enter(ctx, Ticket{Account: "a", Deadline: began.Add(time.Minute)}, began); err != nil {
			t.Fatal(err)
		}
		err := g.Enter(ctx, Ticket{Account: "a", Deadline: began.Add(2 * time.Second)}, began)
		if refusal := domain.AsRefusal(err); refusal.Reason != domain.ReasonOverloaded || refusal.Outcome != domain.NotRun {
			t.Errorf("got %+v", refusal)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("the refusal took %v", waited)
		}
	})
}

func TestFullQueueShedsTheLowestPriorityOfTheAccountThatWaitsMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1, GateOptions{MaxWaiting: 2, Least: 1, Most: 1})
		ctx := context.Background()
		deadline := time.Now().Add(time.Hour)
		if err := g.Enter(ctx, Ticket{Account: "a", Deadline: deadline}, time.Now()); err != nil {
			t.Fatal(err)
		}
		results := make([]error, 3)
		var wg sync.WaitGroup
		for i, ticket := range []Ticket{{Account: "a", Priority: 5}, {Account: "a", Priority: 1}, {Account: "b", Priority: 0}} {
			ticket.Deadline = deadline
			wg.Go(func() {
				results[i] = g.Enter(ctx, ticket, time.Now())
				if results[i] == nil {
					g.Leave(ticket.Account, 0, time.Now())
				}
			})
			synctest.Wait()
		}
		g.Leave("a", 0, time.Now())
		wg.Wait()
		if results[0] != nil || results[2] != nil || results[1] == nil {
			t.Errorf("got %v", results)
		}
	})
}
