package service

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

func submission(n int) *workload.Job {
	return &workload.Job{
		ID: workload.JobID(fmt.Sprintf("%016x", n)), Account: "shop", Queue: "batch", Steps: []workload.Step{{Count: 13, Need: workload.Resources{MilliCPU: 26000, Accelerators: 2}, EstimateMS: 9000, Gang: true}},
		QueueSettings: workload.QueueSettings{Service: "pool", Priority: 1, Stretch: 3, TargetMS: 1000},
	}
}

// startAccepting returns a service of which only the acceptances run.
func startAccepting(ctx context.Context, log *partialLog) *Service {
	s := New(Settings{Instance: "a", StaleAfter: 2 * time.Second, EffectiveCores: 0.4, AcceptTopics: 2}, log, nil, nil, nil, nil)
	go s.acceptances.run(ctx)
	return s
}

// Guards against a delay that does not grow with the outage, that callers get although the log
// accepts again, or that is longer than the longest outage seen or than half of what the caller
// waits. The log is away for 7 s, twice, and loses its answers as a partition does.
func TestDelayFollowsAnOutageOfTheLog(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{}}
		s := startAccepting(ctx, log)
		setFault := func(fault func(context.Context) error) {
			log.mu.Lock()
			defer log.mu.Unlock()
			for _, f := range s.acceptances.topics {
				log.faults[f.topic] = fault
			}
		}
		submit := func(n int, waits time.Duration) time.Duration {
			caller := Caller{Priority: 1}
			if waits > 0 {
				caller.Deadline = time.Now().Add(waits)
			}
			err := s.Submit(WithCaller(ctx, caller), submission(n))
			if err == nil {
				return 0
			}
			return domain.AsRefusal(err).RetryAfter.Std()
		}
		for outage := range 2 {
			if got := submit(100*outage, 0); got != 0 {
				t.Fatalf("refused for %v while the log is up", got)
			}
			setFault(refuse)
			began, n := time.Now(), 100*outage+1
			for ; time.Since(began) < 7*time.Second; n++ {
				lasted := time.Since(began)
				got, short := submit(n, 0), submit(n, 3*time.Second)
				if got < time.Second || got > lasted+2*time.Second || short != time.Second {
					t.Errorf("%v into the outage callers are told %v, those with 3 s left %v", lasted, got, short)
				}
				if lasted > 4*time.Second && got < 4*time.Second {
					t.Errorf("%v into the outage callers are told %v", lasted, got)
				}
				time.Sleep(300 * time.Millisecond)
			}
			setFault(nil)
		}
		if got := submit(999, 0); got != 0 {
			t.Fatalf("refused for %v after the outage", got)
		}
		setFault(refuse)
		for range 40 {
			time.Sleep(time.Second)
			if got := submit(1000, 0); got > 10*time.Second {
				t.Fatalf("told %v, the longest outage was 7 s", got)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// BenchmarkSubmission measures an acceptance with a log that answers at once.
func BenchmarkSubmission(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := startAccepting(ctx, &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{}})
	n := atomic.Int64{}
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Submit(ctx, submission(int(n.Add(1)))); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against delays of submissions that grow with the polls, cancels and repeated submissions
// which were sent away: they take no turns of callers that come back.
func TestOnlySubmissionsCountAsCallersToComeBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{}}
		s := startAccepting(ctx, log)
		for _, f := range s.acceptances.topics {
			log.faults[f.topic] = refuse
		}
		caller := WithCaller(ctx, Caller{Priority: 0})
		waiting := func() int {
			s.sentAway.mu.Lock()
			defer s.sentAway.mu.Unlock()
			n := 0
			for _, callers := range s.sentAway.returns.Waiting(time.Now()).BySecond {
				n += callers
			}
			return n
		}
		for n := range 100 {
			id := submission(n).ID
			_, state := s.State(caller, id)
			_, count := s.Pending(caller, "batch")
			for _, err := range []error{state, count, s.Cancel(caller, id)} {
				if got := domain.AsRefusal(err); got.RetryAfter == 0 {
					t.Fatalf("%+v without a delay", got)
				}
			}
		}
		if got := waiting(); got != 0 {
			t.Errorf("%d callers to come back after polls and cancels", got)
		}
		var group sync.WaitGroup
		for n := range 30 {
			group.Go(func() { _ = s.Submit(caller, submission(n%10)) })
		}
		group.Wait()
		if got := waiting(); got != 10 {
			t.Errorf("%d callers to come back, want 10 for 10 jobs submitted three times", got)
		}
		cancel()
		synctest.Wait()
	})
}
