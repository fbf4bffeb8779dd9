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

// partialLog is a log whose topics fail independently of each other.
type partialLog struct {
	mu      sync.Mutex
	faults  map[Topic]func(context.Context) error
	written map[Topic]int
}

func (p *partialLog) faultOf(topic Topic) func(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[topic]
}

func (p *partialLog) Append(ctx context.Context, topic Topic, records []control.Record, _ *Writer) (int64, error) {
	if fail := p.faultOf(topic); fail != nil {
		return 0, fail(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written[topic] += len(records)
	return int64(p.written[topic] - len(records)), nil
}

func (p *partialLog) Read(ctx context.Context, topic Topic, from int64, _ time.Duration) (Page, error) {
	if fail := p.faultOf(topic); fail != nil {
		return Page{}, fail(ctx)
	}
	return Page{Next: from, End: from}, nil
}

func (p *partialLog) Probe(ctx context.Context, topic Topic) error {
	if fail := p.faultOf(topic); fail != nil {
		return fail(ctx)
	}
	return nil
}

func (p *partialLog) Newest(context.Context, Topic, string) (NewestPage, error) {
	return NewestPage{}, nil
}

func refuse(context.Context) error { return ErrNotDone }

func hang(ctx context.Context) error {
	<-ctx.Done()
	return errors.Mark(ctx.Err(), ErrOutcomeUnknown)
}

// Guards against submissions that fail while one of their two topics accepts them, and against a
// wrong outcome if neither does: it is not done only if both topics have refused.
func TestAcceptancesGoToTheOtherTopicWhileTheHomeTopicFails(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		home, other func(context.Context) error
		want        error
	}{
		"the home topic refuses":                           {refuse, nil, nil},
		"the home topic does not answer":                   {hang, nil, nil},
		"the other topic refuses":                          {nil, refuse, nil},
		"both refuse":                                      {refuse, refuse, ErrNotDone},
		"no answer from the home topic, the other refuses": {hang, refuse, ErrOutcomeUnknown},
		"the home topic refuses, no answer from the other": {refuse, hang, ErrOutcomeUnknown},
		"neither refuses":                                  {nil, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{Jobs: c.home, SpareJobs: c.other}}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				topicCommitter := newCommitter(log, Jobs, SpareJobs)
				go topicCommitter.run(ctx)
				callerCtx, callerDone := context.WithTimeout(ctx, minCommitTimeout)
				defer callerDone()
				err := topicCommitter.add(callerCtx, control.Record{Key: "j/a", Value: []byte("{}")})
				if (c.want == nil) != (err == nil) || (c.want != nil && !errors.Is(err, c.want)) {
					t.Fatalf("the commit returned %v, want %v", err, c.want)
				}
			})
		})
	}
}

// Guards against an instance that stops working as soon as one part of the log is down, and
// against one that acts on stale reads for an unlimited time.
func TestPartlyStaleReadsAreActedOnForALimitedTime(t *testing.T) {
	s := &Service{settings: Settings{StaleAfter: 2 * time.Second, PartialOutageGrace: 5 * time.Second}}
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
			t.Errorf("with ages %v and %v: recent %t", c.oldest, c.youngest, got)
		}
	}
}

// Guards against not-found for a job whose acceptance may be in a topic that can't be read.
func TestNotFoundIsNotReturnedWhileAnAcceptanceTopicIsUnreadable(t *testing.T) {
	for _, topic := range []Topic{Jobs, SpareJobs} {
		t.Run(string(topic), func(t *testing.T) {
			log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{topic: refuse}}
			s := New(Settings{Instance: "a", StaleAfter: time.Second, PartialOutageGrace: time.Hour}, log, nil, nil, nil, nil)
			s.directory.Store(&Directory{Version: 1})
			for _, f := range append(slices.Clone(s.acceptances.topics), s.states, s.plans, s.declarations) {
				f.readToEndAt = time.Now()
				if f.topic == topic {
					f.readToEndAt = time.Now().Add(-2 * s.settings.StaleAfter)
				}
			}
			_, err := s.State(context.Background(), workload.JobID("00000000000000aa"))
			if reason := domain.AsRefusal(err).Reason; reason != domain.ReasonLogUnavailable {
				t.Fatalf("the reason of the refusal is %s while the topic is unreadable", reason)
			}
			log.faults = nil
			_, err = s.State(context.Background(), workload.JobID("00000000000000aa"))
			if reason := domain.AsRefusal(err).Reason; reason != domain.ReasonNotFound {
				t.Fatalf("the reason of the refusal is %s although all topics can be read", reason)
			}
		})
	}
}

// Guards against not-found for a job that another instance has accepted since the last read.
func TestNotFoundIsNotReturnedFromEarlierReads(t *testing.T) {
	for _, topic := range []Topic{Jobs, SpareJobs} {
		log := &partialLog{written: map[Topic]int{}, faults: map[Topic]func(context.Context) error{topic: refuse}}
		s := New(Settings{Instance: "a", StaleAfter: time.Second, PartialOutageGrace: time.Hour}, log, nil, nil, nil, nil)
		s.directory.Store(&Directory{Version: 1})
		for _, f := range append(slices.Clone(s.acceptances.topics), s.states, s.plans, s.declarations) {
			f.readToEndAt = time.Now()
		}
		_, stateErr := s.State(context.Background(), workload.JobID("00000000000000aa"))
		cancelErr := s.Cancel(context.Background(), workload.JobID("00000000000000aa"))
		for _, err := range []error{stateErr, cancelErr} {
			if reason := domain.AsRefusal(err).Reason; reason != domain.ReasonLogUnavailable {
				t.Errorf("%s can't be read: the reason of the refusal is %s", topic, reason)
			}
		}
	}
}

// Guards against decisions and answers from stale reads. The log may hold back new records from
// a read that waits, so every topic that they depend on is read again within half of the age at
// which reads are stale.
func TestTopicsForDecisionsAreReadOften(t *testing.T) {
	s := New(Settings{Instance: "a"}, &partialLog{}, nil, nil, nil, nil)
	const minStale = 2 * time.Second
	for _, f := range append(slices.Clone(s.acceptances.topics), s.states, s.plans, s.declarations) {
		if max(f.wait()+f.pause(), f.minInterval()) > minStale/2 {
			t.Errorf("%s is read with a wait of %v", f.topic, f.wait())
		}
	}
}

// Guards against starts of jobs that may have been cancelled, or on workers that may have been
// drained, since the last reads.
func TestNothingStartsOnStaleReads(t *testing.T) {
	now := time.Now()
	for _, topic := range []Topic{Jobs, SpareJobs, WorkerList} {
		s := New(Settings{Instance: "a", StaleAfter: 2 * time.Second, PartialOutageGrace: 5 * time.Second}, &partialLog{}, nil, nil, nil, nil)
		p := &planner{s: s, lastWrite: now, listFollower: s.follow(WorkerList, nil, nil, nil)}
		for _, f := range append(slices.Clone(s.acceptances.topics), p.listFollower) {
			f.readToEndAt = now
			if f.topic == topic {
				f.readToEndAt = now.Add(-8 * time.Second)
			}
		}
		if p.hasRecentReadings(now) {
			t.Errorf("starts are allowed although %s was last read 8 s ago", topic)
		}
	}
}
