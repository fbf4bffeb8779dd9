package limit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// loadResult counts the requests of one account that were served in time, late,
// and refused.
type loadResult struct {
	mu                    sync.Mutex
	inTime, late, refused int
	slowestRefusal        time.Duration
}

const (
	testService  = 10 * time.Millisecond
	testDeadline = 500 * time.Millisecond
)

func (s *loadResult) sendRequests(g *Gate, account domain.AccountID, every time.Duration, n int, wg *sync.WaitGroup) {
	defer wg.Done()
	for range n {
		time.Sleep(every)
		wg.Go(func() { s.sendOne(g, account) })
	}
}

func (s *loadResult) sendOne(g *Gate, account domain.AccountID) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	err := g.Enter(ctx, Request{Account: account, Weight: 1, Deadline: began.Add(testDeadline)}, began)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused++
		s.slowestRefusal = max(s.slowestRefusal, time.Since(began))
		if domain.AsRefusal(err).RetryAfter <= 0 {
			s.late++ // a refusal must contain a retry delay
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
		var greedy, modest loadResult
		var wg sync.WaitGroup
		wg.Add(2)
		go greedy.sendRequests(g, "greedy", time.Second/3000, 9000, &wg)
		go modest.sendRequests(g, "modest", time.Second/200, 600, &wg)
		wg.Wait()
		if modest.refused > 0 || modest.late > 0 {
			t.Errorf("the modest account: %d refused, %d late", modest.refused, modest.late)
		}
		if greedy.late > 0 {
			t.Errorf("%d requests of the greedy account were served late or refused without a retry delay", greedy.late)
		}
		if greedy.inTime < 1500 {
			t.Errorf("%d requests of the greedy account were served in time; 1,800 were left for it", greedy.inTime)
		}
	})
}

func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1, GateOptions{MaxWaiting: 1000, MinLimit: 1, MaxLimit: 1})
		var s loadResult
		s.sendOne(g, "a") // gives the gate a mean service time
		var wg sync.WaitGroup
		for range 400 {
			wg.Go(func() { s.sendOne(g, "a") })
		}
		wg.Wait()
		if s.late > 0 {
			t.Errorf("%d requests were served late", s.late)
		}
		began := time.Now()
		ctx := context.Background()
		g.meanServiceTime = time.Second
		if err := g.Enter(ctx, Request{Account: "a", Deadline: began.Add(time.Minute)}, began); err != nil {
			t.Fatal(err)
		}
		err := g.Enter(ctx, Request{Account: "a", Deadline: began.Add(2 * time.Second)}, began)
		if refusal := domain.AsRefusal(err); refusal.Reason != domain.ReasonOverloaded || refusal.Outcome != domain.NotRun {
			t.Errorf("refusal %+v, want reason overloaded and outcome not-run", refusal)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("the refusal took %v, want 0", waited)
		}
	})
}

func TestFullQueueShedsTheLowestPriorityOfTheAccountThatWaitsMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1, GateOptions{MaxWaiting: 2, MinLimit: 1, MaxLimit: 1})
		ctx := context.Background()
		deadline := time.Now().Add(time.Hour)
		if err := g.Enter(ctx, Request{Account: "a", Deadline: deadline}, time.Now()); err != nil {
			t.Fatal(err)
		}
		results := make([]error, 3)
		var wg sync.WaitGroup
		for i, request := range []Request{{Account: "a", Priority: 5}, {Account: "a", Priority: 1}, {Account: "b", Priority: 0}} {
			request.Deadline = deadline
			wg.Go(func() {
				results[i] = g.Enter(ctx, request, time.Now())
				if results[i] == nil {
					g.Leave(request.Account, 0, time.Now())
				}
			})
			synctest.Wait()
		}
		g.Leave("a", 0, time.Now())
		wg.Wait()
		if results[0] != nil || results[2] != nil || results[1] == nil {
			t.Errorf("results %v, want only the second request refused", results)
		}
	})
}
