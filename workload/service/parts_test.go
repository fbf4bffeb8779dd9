package service

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// partly is a log of which topics fail in a way of their own.
type partly struct {
	mu      sync.Mutex
	fails   map[Topic]func(context.Context) error
	written map[Topic]int
}

func (p *partly) fault(topic Topic) func(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fails[topic]
}

func (p *partly) Append(ctx context.Context, topic Topic, records []control.Record, _ *Writer) (int64, error) {
	if fail := p.fault(topic); fail != nil {
		return 0, fail(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written[topic] += len(records)
	return int64(p.written[topic] - len(records)), nil
}

func (p *partly) Read(ctx context.Context, topic Topic, from int64, _ time.Duration) (Page, error) {
	if fail := p.fault(topic); fail != nil {
		return Page{}, fail(ctx)
	}
	return Page{Next: from, End: from}, nil
}

func (p *partly) Probe(ctx context.Context, topic Topic) error {
	if fail := p.fault(topic); fail != nil {
		return fail(ctx)
	}
	return nil
}

func (p *partly) Newest(context.Context, Topic, string) (NewestPage, error) {
	return NewestPage{}, nil
}

func refuses(context.Context) error { return ErrNotDone }

func hangs(ctx context.Context) error {
	<-ctx.Done()
	return errors.Mark(ctx.Err(), ErrUnknown)
}

func TestAcceptancesGoToTheSpareTopicWhileTheFirstOneFails(t *testing.T) {
	for name, c := range map[string]struct {
		first, spare func(context.Context) error
		want         error
	}{
		"the first is refused":       {refuses, nil, nil},
		"the first does not answer":  {hangs, nil, nil},
		"the spare one is refused":   {nil, refuses, nil},
		"both are refused":           {refuses, refuses, ErrNotDone},
		"one is, one has no answer":  {hangs, refuses, ErrUnknown},
		"the other way round":        {refuses, hangs, ErrUnknown},
		"neither of them is refused": {nil, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &partly{written: map[Topic]int{}, fails: map[Topic]func(context.Context) error{Jobs: c.first, SpareJobs: c.spare}}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				commits := newCommitter(log, Jobs, SpareJobs)
				go commits.run(ctx)
				caller, done := context.WithTimeout(ctx, minCommitTimeout)
				defer done()
				err := commits.add(caller, control.Record{Key: "j/a", Value: []byte("{}")})
				if (c.want == nil) != (err == nil) || (c.want != nil && !errors.Is(err, c.want)) {
					t.Fatalf("%v, want %v", err, c.want)
				}
			})
		})
	}
}

func TestReadingThatIsOldInPartIsActedOnForAWhile(t *testing.T) {
	s := &Service{settings: Settings{Stale: 2 * time.Second, Stretch: 5 * time.Second}}
	for _, c := range []struct {
		oldest, youngest time.Duration
		want             bool
	}{
		{time.Second, time.Second, true},
		{3 * time.Second, time.Second, true},
		{3 * time.Second, 3 * time.Second, false},
		{8 * time.Second, time.Second, false},
	} {
		if got := s.isRecent(c.oldest, c.youngest); got != c.want {
			t.Errorf("oldest %v, youngest %v: %t", c.oldest, c.youngest, got)
		}
	}
}

func TestAJobIsNotDeniedWhileOneTopicOfAcceptancesCanNotBeRead(t *testing.T) {
	for _, topic := range []Topic{Jobs, SpareJobs} {
		t.Run(string(topic), func(t *testing.T) {
			log := &partly{written: map[Topic]int{}, fails: map[Topic]func(context.Context) error{topic: refuses}}
			s := New(Settings{Instance: "a", Stale: time.Second, Stretch: time.Hour}, log, nil, nil, nil, nil)
			s.directory.Store(&Directory{Version: 1})
			for _, f := range append(slices.Clone(s.acceptances.topics), s.states, s.plans, s.declarations) {
				f.readToEndAt = time.Now()
				if f.topic == topic {
					f.readToEndAt = time.Now().Add(-2 * s.settings.Stale)
				}
			}
			_, err := s.State(context.Background(), workload.JobID("00000000000000aa"))
			if reason := domain.AsRefusal(err).Reason; reason != domain.ReasonLogUnavailable {
				t.Fatalf("answered %s", reason)
			}
			log.fails = nil
			_, err = s.State(context.Background(), workload.JobID("00000000000000aa"))
			if reason := domain.AsRefusal(err).Reason; reason != domain.ReasonNotFound {
				t.Fatalf("answered %s once all can be read", reason)
			}
		})
	}
}

// What was read a moment ago says nothing of a job that another instance has accepted since.
func TestAJobIsNotDeniedOnWhatWasReadBefore(t *testing.T) {
	for _, topic := range []Topic{Jobs, SpareJobs} {
		log := &partly{written: map[Topic]int{}, fails: map[Topic]func(context.Context) error{topic: refuses}}
		s := New(Settings{Instance: "a", Stale: time.Second, Stretch: time.Hour}, log, nil, nil, nil, nil)
		s.directory.Store(&Directory{Version: 1})
		for _, f := range append(slices.Clone(s.acceptances.topics), s.states, s.plans, s.declarations) {
			f.readToEndAt = time.Now()
		}
		_, stateErr := s.State(context.Background(), workload.JobID("00000000000000aa"))
		cancelErr := s.Cancel(context.Background(), workload.JobID("00000000000000aa"))
		for _, err := range []error{stateErr, cancelErr} {
			if reason := domain.AsRefusal(err).Reason; reason != domain.ReasonLogUnavailable {
				t.Errorf("%s can't be read: answered %s", topic, reason)
			}
		}
	}
}

// A log may keep news from a read that waits. Whatever decides or answers is
// read anew often enough for what it is worth.
func TestWhatDecisionsDependOnIsReadOften(t *testing.T) {
	s := New(Settings{Instance: "a"}, &partly{}, nil, nil, nil, nil)
	const leastStale = 2 * time.Second
	for _, f := range append(slices.Clone(s.acceptances.topics), s.states, s.plans, s.declarations) {
		if max(f.wait()+f.pause(), f.minInterval()) > leastStale/2 {
			t.Errorf("%s is read each %v", f.topic, f.wait())
		}
	}
}

func TestNothingIsStartedOnAcceptancesThatWereReadTooLongAgo(t *testing.T) {
	now := time.Now()
	for _, topic := range []Topic{Jobs, SpareJobs, WorkerList} {
		s := New(Settings{Instance: "a", Stale: 2 * time.Second, Stretch: 5 * time.Second}, &partly{}, nil, nil, nil, nil)
		p := &planner{s: s, lastWrite: now, listFollower: s.follow(WorkerList, nil, nil, nil)}
		for _, f := range append(slices.Clone(s.acceptances.topics), p.listFollower) {
			f.readToEndAt = now
			if f.topic == topic {
				f.readToEndAt = now.Add(-8 * time.Second)
			}
		}
		if p.hasRecentReadings(now) {
			t.Errorf("%s was read 8 s ago", topic)
		}
	}
}
