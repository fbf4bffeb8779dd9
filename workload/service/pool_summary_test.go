package service

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/control"
)

// refusals submits a job to each instance and returns the reasons of the refusals, "" for an
// acceptance.
func (p *pool) refusals(n int, accelerators int64) (out []domain.Reason) {
	for _, at := range p.instances {
		if at.killed {
			continue
		}
		job := submission(n)
		job.QueueSettings, job.Steps[0].Count, job.Steps[0].Need.Accelerators = poolTerms, 1, accelerators
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		reason := domain.Reason("")
		if err := at.Submit(ctx, job); err != nil {
			reason = domain.AsRefusal(err).Reason
		}
		cancel()
		out = append(out, reason)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Guards against instances that decide differently or accept for ever what can never run; and
// against a refusal for good in doubt: while the pool is not known, after a change of planner,
// when a larger worker appears, while workers are not listed, and for a job that another instance
// has accepted.
func TestEveryInstanceRefusesWhatNeverRunsAndAcceptsInDoubt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 12, 4)
		defer p.stopAll()
		p.workers.mu.Lock()
		p.workers.fleet.Add("big", workload.Resources{MilliCPU: 64000, MemoryMiB: 64000, Accelerators: 16}, 1, time.Now())
		p.workers.mu.Unlock()
		// settle is longer than a pool must have been without growth before anything is refused.
		const settle = 5*time.Minute + 5*time.Second
		n := 100
		expect := func(when string, accelerators int64, want domain.Reason) {
			n++
			if got := p.refusals(n, accelerators); !slices.Equal(got, []domain.Reason{want}) {
				t.Errorf("%s: a task of %d accelerators: %q, want %q", when, accelerators, got, want)
			}
		}
		time.Sleep(4 * time.Second)
		expect("at the start", 9, "")
		early := n
		time.Sleep(settle)
		expect("settled", 9, domain.ReasonNeverRunnable)
		expect("settled", 8, "")
		if got := p.refusals(early, 9); !slices.Equal(got, []domain.Reason{""}) {
			t.Errorf("a job that was accepted earlier: %q", got)
		}
		p.killPlanner()
		time.Sleep(6 * time.Second)
		expect("after a change of planner", 9, "")
		time.Sleep(settle)
		expect("settled again", 9, domain.ReasonNeverRunnable)
		value, err := json.Marshal(control.Listing{ID: "big", Address: "big", Service: "pool", Capacity: workload.Resources{MilliCPU: 64000, MemoryMiB: 64000, Accelerators: 16}})
		if err != nil {
			t.Fatal(err)
		}
		p.appendNow(WorkerList, control.Record{Key: "big", Value: value})
		time.Sleep(4 * time.Second)
		expect("a larger worker", 16, "")
		time.Sleep(settle)
		expect("a larger worker", 16, "")
		expect("a larger worker", 17, domain.ReasonNeverRunnable)
		p.appendNow(WorkerList, control.Record{Key: "big"})
		p.killPlanner()
		time.Sleep(settle)
		expect("the larger worker is not listed since before this planner", 16, "")
		expect("the larger worker is not listed since before this planner", 17, domain.ReasonNeverRunnable)
		for _, id := range []string{"w0000", "w0001", "w0002", "w0003"} {
			p.appendNow(WorkerList, control.Record{Key: id})
		}
		time.Sleep(20 * time.Second)
		expect("no worker listed", 17, "")
	})
}

// appendNow appends records to a topic, as another program would.
func (p *pool) appendNow(topic Topic, records ...control.Record) {
	if _, err := p.log.Append(context.Background(), topic, records, nil); err != nil {
		p.t.Fatal(err)
	}
}

// Guards against a summary that is taken for newer than it is: one of a snapshot, which a planner
// may have written long ago, one that is read twice, and one that was written while this instance
// could not read.
func TestTheAgeOfASummaryIsNeverUnderestimated(t *testing.T) {
	s := New(Settings{Instance: "a"}, &partialLog{}, nil, nil, nil, nil)
	entry := func(offset int64) Entry {
		return Entry{Offset: offset, Key: poolKey, Value: admission.Pool{Settled: true}.Encode()}
	}
	s.applyStates([]Entry{entry(1)})
	if s.admissionSnapshot().Pool != nil {
		t.Error("a summary of a snapshot is used")
	}
	now := time.Now()
	s.states.readToEndAt = now.Add(-time.Minute)
	s.applyState(entry(2))
	s.states.readToEndAt = now
	s.applyState(entry(2))
	s.applyState(entry(1))
	if age := s.admissionSnapshot().PoolAge; age < time.Minute {
		t.Errorf("age %v, want a minute", age)
	}
	s.applyState(entry(3))
	if age := s.admissionSnapshot().PoolAge; age > time.Second {
		t.Errorf("age %v of a summary that was not there just now", age)
	}
	s.applyState(Entry{Offset: 4, Key: poolKey, Value: []byte("{")})
	if got := s.admissionSnapshot().Pool; got == nil || len(got.Services) > 0 {
		t.Errorf("%+v after a record that can't be decoded", got)
	}
}

// Guards against a caller of an overloaded pool that is not told when to come back, against a
// refusal that costs guaranteed work, and against a refusal with the part disabled or while it is
// not known whether another instance has accepted the job.
func TestCallersOfAnOverloadedPoolAreToldToComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		priority             int
		disabled, unreadable bool
		want                 domain.Reason
	}{
		"last priority":              {2, false, false, domain.ReasonOverloaded},
		"guaranteed":                 {0, false, false, ""},
		"disabled":                   {2, true, false, ""},
		"acceptances are unreadable": {2, false, true, ""},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{}}
		s := startAccepting(ctx, log)
		s.settings.AdmissionDisabled = c.disabled
		s.directory.Store(&Directory{Guaranteed: map[domain.AccountID]int64{"shop": 26}})
		s.states.readToEndAt = time.Now()
		service := admission.Service{StartMS: [admission.Classes]int64{200_000, 200_000, 200_000, 200_000}}
		service.Add(workload.Resources{MilliCPU: 64_000, Accelerators: 8}, nil)
		s.applyPool(Entry{Offset: 1, Value: admission.Pool{Services: map[string]admission.Service{"pool": service}}.Encode()}, time.Now())
		job := submission(7)
		job.QueueSettings.Priority = c.priority
		if c.unreadable {
			for _, f := range s.acceptances.topics {
				f.log = &partialLog{faults: map[Topic]func(context.Context) error{f.topic: refuse}}
			}
		}
		caller := Caller{Deadline: time.Now().Add(20 * time.Second)}
		err := s.Submit(WithCaller(ctx, caller), job)
		reason := domain.Reason("")
		if err != nil {
			refusal := domain.AsRefusal(err)
			reason = refusal.Reason
			if after := refusal.RetryAfter.Std(); refusal.Outcome != domain.NotRun || after < time.Second || after > 10*time.Second {
				t.Errorf("%s: %+v", name, refusal)
			}
		}
		if reason != c.want {
			t.Errorf("%s: %q, want %q", name, reason, c.want)
		}
		cancel()
	}
}

// overloadPool gives an instance a summary of a pool in which nothing starts in time.
func overloadPool(s *Service, offset int64) {
	service := admission.Service{StartMS: [admission.Classes]int64{200_000, 200_000, 200_000, 200_000}}
	service.Add(workload.Resources{MilliCPU: 64_000, Accelerators: 8}, nil)
	s.states.readToEndAt = time.Now()
	s.applyPool(Entry{Offset: offset, Value: admission.Pool{Services: map[string]admission.Service{"pool": service}}.Encode()}, time.Now())
}

// Guards against a refusal that says that a job will not run while an append of an earlier attempt
// may still reach the log, and against an outcome that stays unknown for ever or after an append
// that was certainly not done.
func TestNoRefusalWhileAnEarlierAppendIsUnanswered(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fault func(context.Context) error
		want  domain.Outcome
	}{
		"lost":    {hang, domain.Unknown},
		"refused": {refuse, domain.NotRun},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{}}
			s := startAccepting(ctx, log)
			for _, f := range s.acceptances.topics {
				log.faults[f.topic] = c.fault
			}
			short, stop := context.WithTimeout(ctx, 3*time.Second)
			if s.Submit(short, submission(7)) == nil {
				t.Errorf("%s: accepted", name)
			}
			stop()
			log.mu.Lock()
			clear(log.faults)
			log.mu.Unlock()
			overloadPool(s, 1)
			if got := domain.AsRefusal(s.Submit(ctx, submission(7))); got.Outcome != c.want || got.Reason != domain.ReasonOverloaded {
				t.Errorf("%s: %+v at the second attempt, want outcome %v", name, got, c.want)
			}
			if got := domain.AsRefusal(s.Submit(ctx, submission(8))); got.Outcome != domain.NotRun {
				t.Errorf("%s: %+v for another job", name, got)
			}
			time.Sleep(2 * time.Minute)
			overloadPool(s, 2)
			if got := domain.AsRefusal(s.Submit(ctx, submission(7))); got.Outcome != domain.NotRun {
				t.Errorf("%s: %+v two minutes later", name, got)
			}
			cancel()
			synctest.Wait()
		})
	}
}
