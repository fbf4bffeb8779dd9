package service

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// claimLog calls a function before each claim, which returns whether the answer to the claim is
// lost.
type claimLog struct {
	*sharedLog
	background sync.WaitGroup

	claimMu sync.Mutex
	onClaim func() (lost bool)
	// acceptanceDelay is the additional duration of snapshot reads of acceptances.
	acceptanceDelay time.Duration
	// blocked is set while a planner's other appends are neither answered nor carried out.
	blocked bool
}

// setOnClaim sets the function that is called before each claim.
func (l *claimLog) setOnClaim(f func() (lost bool)) {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	l.onClaim = f
}

// unblock ends the blocking of appends.
func (l *claimLog) unblock() {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	l.blocked = false
}

func (l *claimLog) delayAcceptances(d time.Duration) {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	l.acceptanceDelay = d
}

func (l *claimLog) Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error) {
	l.claimMu.Lock()
	onClaim, blocked := l.onClaim, l.blocked
	l.claimMu.Unlock()
	if blocked && writer != nil && writer.ExpectedEnd < 0 {
		await(ctx, unansweredTimeout)
		return 0, ErrOutcomeUnknown
	}
	if writer == nil || writer.ExpectedEnd < 0 || onClaim == nil || !onClaim() {
		return l.sharedLog.Append(ctx, topic, records, writer)
	}
	lateWriter := *writer
	l.background.Go(func() {
		time.Sleep(lateClaimDelay)
		_, _ = l.sharedLog.Append(context.Background(), topic, records, &lateWriter)
	})
	return 0, ErrOutcomeUnknown
}

// lateClaimDelay is how long after its call an unanswered claim is carried out.
const lateClaimDelay = time.Second

func (l *claimLog) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	l.claimMu.Lock()
	delay := l.acceptanceDelay
	l.claimMu.Unlock()
	if isAcceptTopic(topic) {
		time.Sleep(delay)
	}
	return l.sharedLog.Newest(ctx, topic, after)
}

// termPool is a pool of two instances, of which only the first is a standby. The first one plans
// and is stopped while jobs are running, so that the second starts to read the plans and claims
// the role.
type termPool struct {
	*pool
	log    *claimLog
	second *poolInstance
}

func newTermPool(t *testing.T) *termPool {
	p := newPool(t, 0, 40)
	out := &termPool{pool: p, log: &claimLog{sharedLog: p.log}}
	for _, name := range []string{"edge-0", "edge-1"} {
		settings := poolSettings(name, 0.1, "0")
		settings.Standbys = 1
		p.startInstance(settings, out.log, p.workers, nil)
	}
	out.second = p.instances[1]
	time.Sleep(poolWarmup)
	for i := range 20 {
		p.submit(i, p.instances[0])
	}
	time.Sleep(1200 * time.Millisecond)
	return out
}

// setSecondRank sets the rank of the second instance and restarts the silence of its planner, so
// that it stops to read the plans unless its rank makes it a standby.
func (p *termPool) setSecondRank(rank int) {
	b := p.second.standby
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rank, b.neededAt, b.silentSince = rank, time.Time{}, time.Now()
}

// stopFirst stops the first instance.
func (p *termPool) stopFirst() {
	p.instances[0].stop()
	p.instances = p.instances[1:]
}

// checkJobs checks that all jobs complete and that no task ran twice.
func (p *termPool) checkJobs() {
	defer p.log.background.Wait()
	p.awaitCompleted(p.jobs, 20*time.Second)
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	if n := len(p.workers.duplicates); n > 0 {
		p.t.Errorf("%d tasks started while they were running or after they were done, the first is %s", n, p.workers.duplicates[0])
	}
}

// Guards against tasks that run again, or jobs that never continue, under a planner whose book was
// emptied between its claim and the start of its term.
func TestNoTermStartsFromABookThatWasEmptiedAfterTheClaim(t *testing.T) {
	t.Parallel()
	for name, resumeAfter := range map[string]time.Duration{"it stops reading": 0, "it stops and resumes reading": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newTermPool(t)
				defer p.stopAll()
				p.log.setOnClaim(func() bool {
					p.setSecondRank(9)
					time.Sleep(3 * standbyInterval)
					if resumeAfter > 0 {
						p.log.background.Go(func() {
							time.Sleep(resumeAfter)
							p.setSecondRank(0)
						})
					}
					return false
				})
				p.stopFirst()
				p.checkJobs()
			})
		})
	}
}

// Guards against a planner that starts its term on a claim that was carried out late, before it
// has read everything that it needs.
func TestNoPlanningOnALateClaimBeforeEverythingIsRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newTermPool(t)
		defer p.stopAll()
		claims := 0
		p.log.setOnClaim(func() bool {
			if claims++; claims > 1 {
				return false
			}
			p.log.delayAcceptances(time.Second)
			p.setSecondRank(9)
			p.log.background.Go(func() {
				time.Sleep(lateClaimDelay / 2)
				p.setSecondRank(0)
			})
			return true
		})
		p.stopFirst()
		p.checkJobs()
	})
}

// Guards against orders of a planner whose claim was carried out late: it may have been succeeded
// before its term started.
func TestLateClaimGivesNoAuthorityBeforeAWrite(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 0, 20)
		defer p.stopAll()
		log := &claimLog{sharedLog: p.log, blocked: true}
		defer log.background.Wait()
		log.setOnClaim(func() bool { return true })
		var orders atomic.Int64
		p.workers.onOrder = func(int64) { orders.Add(1) }
		p.startInstance(poolSettings("edge-0", 0.1, "0"), log, p.workers, nil)
		time.Sleep(8 * time.Second)
		if len(p.planners()) != 1 {
			t.Fatal("no instance plans on the late claim")
		}
		if n := orders.Load(); n > 0 {
			t.Errorf("%d orders were sent before the planner had written", n)
		}
		log.unblock()
		time.Sleep(time.Second)
		if orders.Load() == 0 {
			t.Error("no order was sent after the planner had written")
		}
	})
}

// Guards against a claim by an instance that has not read the progress of a started job.
func TestNoClaimWhileProgressOfAStartedJobIsMissing(t *testing.T) {
	b := workload.NewBook()
	for _, record := range []struct{ key, value string }{
		{workload.AcceptedKey("a"), `{"id":"a","queue":"q"}`},
		{workload.StatusKey("a"), `{"q":"q","s":"running","b":true}`},
	} {
		if err := b.Fold(0, record.key, []byte(record.value)); err != nil {
			t.Fatal(err)
		}
	}
	if b.IsComplete() {
		t.Fatal("the book is complete without the progress of a started job")
	}
	if err := b.Fold(1, workload.ProgressKey("a"), []byte(`{"state":"running","begun":true}`)); err != nil {
		t.Fatal(err)
	}
	if !b.IsComplete() {
		t.Fatal("the book is not complete although it has all progress")
	}
}

// Guards against a role that stays vacant because every candidate waits for a record that can't be
// decoded.
func TestUnreadableRecordDoesNotBlockClaims(t *testing.T) {
	b := workload.NewBook()
	for offset, record := range []struct{ key, value string }{
		{workload.AcceptedKey("a"), "{"},
		{workload.ProgressKey("a"), `{"state":"running","begun":true}`},
		{workload.AcceptedKey("b"), `{"id":"b","queue":"q"}`},
		{workload.StatusKey("b"), `{"q":"q","s":"running","b":true}`},
		{workload.ProgressKey("b"), "["},
	} {
		_ = b.Fold(int64(offset), record.key, []byte(record.value))
	}
	if !b.IsComplete() {
		t.Fatal("the book waits for records that were read and can't be decoded")
	}
}

// Guards against an instance that refuses its callers before the first write of its term, although
// it reads the log.
func TestLateClaimDoesNotStopAnswersToCallers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 0, 20)
		defer p.stopAll()
		log := &claimLog{sharedLog: p.log, blocked: true}
		defer log.background.Wait()
		log.setOnClaim(func() bool { return true })
		p.startInstance(poolSettings("edge-0", 0.1, "0"), log, p.workers, nil)
		instance := p.instances[0]
		for !instance.planning.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if age := instance.states.age(time.Now()); age > instance.settings.StaleAfter {
			t.Fatalf("the states were read %v ago", age)
		}
		if err := instance.CheckCurrent(); err != nil {
			t.Errorf("an instance that has just read the log refuses its callers: %v", err)
		}
		log.unblock()
	})
}

// countUnreadyTerms observes the second instance for 20 s and counts the terms that it starts
// before it has read everything that a planner adopts.
func countUnreadyTerms(p *termPool) (unready func() int) {
	n, wasPlanning := 0, false
	p.log.background.Go(func() {
		for range 20_000 {
			time.Sleep(time.Millisecond)
			isPlanning := p.second.planning.Load()
			if isPlanning && !wasPlanning && !p.second.caughtUp() {
				n++
			}
			wasPlanning = isPlanning
		}
	})
	return func() int { return n }
}

// Guards against the same fault as TestNoPlanningOnALateClaimBeforeEverythingIsRead, in the same
// situation, by the time at which the term starts.
func TestLateTermStartsOnlyAfterEverythingIsRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newTermPool(t)
		defer p.stopAll()
		unreadyTerms := countUnreadyTerms(p)
		claims := 0
		p.log.setOnClaim(func() bool {
			if claims++; claims > 1 {
				return false
			}
			p.log.delayAcceptances(time.Second)
			p.setSecondRank(9)
			p.log.background.Go(func() {
				time.Sleep(lateClaimDelay / 2)
				p.setSecondRank(0)
			})
			return true
		})
		p.stopFirst()
		p.log.background.Wait()
		if n := unreadyTerms(); n > 0 {
			t.Errorf("%d terms started before everything was read", n)
		}
	})
}

// Guards against an instance that discards what it has read during its claim.
func TestReadRecordsAreKeptDuringAClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newTermPool(t)
		defer p.stopAll()
		claims, kept := 0, 0
		p.log.setOnClaim(func() bool {
			p.setSecondRank(9)
			time.Sleep(3 * standbyInterval)
			claims++
			if p.second.caughtUp() {
				kept++
			}
			return false
		})
		p.stopFirst()
		p.checkJobs()
		if claims == 0 || kept != claims {
			t.Errorf("everything was still read at the end of %d of %d claims", kept, claims)
		}
	})
}

// Guards against a term that starts without the plans before the claim: the claim's offset is
// beyond the one up to which the plans were read.
func TestClaimBeyondTheReadOffsetStartsNoTerm(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := New(poolSettings("edge-0", 1, "0"), newSharedLog(poolReadRate), poolDecoder{}, nil, nil, nil)
		s.directory.Store(&Directory{})
		for _, f := range s.planningTopics() {
			f.setFollowing(true)
			if err := f.readSnapshot(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if !s.caughtUpTo(1) {
			t.Fatal("not caught up to a claim at the offset that was read to")
		}
		if s.caughtUpTo(6) {
			t.Error("caught up to a claim five records beyond the offset that was read to")
		}
	})
}

// Guards against a planner that takes the time at which it sent an unanswered claim for the start
// of its authority.
func TestSendTimeIsKnownOnlyForAnAnsweredClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := New(poolSettings("edge-0", 1, "0"), newSharedLog(poolReadRate), poolDecoder{}, nil, nil, nil).succession
		began := time.Now()
		if _, err := s.claim(t.Context(), newSharedLog(poolReadRate), 0, time.Time{}); err != nil {
			t.Fatal(err)
		}
		if got := s.claimSent(); !got.Equal(began) {
			t.Errorf("the answered claim was sent at %v, want %v", got, began)
		}
		s.observe(Entry{Offset: 0, Key: claimKey, Value: s.self.record().Value}, time.Now())
		if got := s.claimSent(); !got.Equal(began) {
			t.Errorf("the answered claim was sent at %v after it was read again, want %v", got, began)
		}
		s.observe(Entry{Offset: 7, Key: claimKey, Value: s.self.record().Value}, time.Now())
		if got := s.claimSent(); !got.IsZero() {
			t.Errorf("the unanswered claim was sent at %v, want no time", got)
		}
	})
}
