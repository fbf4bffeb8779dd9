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

// claimLog hands claims to a function before they are made; what it returns says whether the
// answer is lost.
type claimLog struct {
	*shared
	late sync.WaitGroup

	guard   sync.Mutex
	claimed func() (lost bool)
	// slow is what reads of acceptances take beyond the others.
	slow time.Duration
	// blocked tells that a planner's other appends have no answer and are not done.
	blocked bool
}

// atClaim has a function called at each claim from here on.
func (l *claimLog) atClaim(f func() (lost bool)) {
	l.guard.Lock()
	defer l.guard.Unlock()
	l.claimed = f
}

// unblock lets appends through again.
func (l *claimLog) unblock() {
	l.guard.Lock()
	defer l.guard.Unlock()
	l.blocked = false
}

func (l *claimLog) slowAcceptances(d time.Duration) {
	l.guard.Lock()
	defer l.guard.Unlock()
	l.slow = d
}

func (l *claimLog) Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error) {
	l.guard.Lock()
	claimed, blocked := l.claimed, l.blocked
	l.guard.Unlock()
	if blocked && writer != nil && writer.Expect < 0 {
		await(ctx, silence)
		return 0, ErrUnknown
	}
	if writer == nil || writer.Expect < 0 || claimed == nil || !claimed() {
		return l.shared.Append(ctx, topic, records, writer)
	}
	one := *writer
	l.late.Go(func() {
		time.Sleep(lateClaim)
		_, _ = l.shared.Append(context.Background(), topic, records, &one)
	})
	return 0, ErrUnknown
}

// lateClaim is how long after its call a claim without an answer is carried out.
const lateClaim = time.Second

func (l *claimLog) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	l.guard.Lock()
	slow := l.slow
	l.guard.Unlock()
	if isAcceptTopic(topic) {
		time.Sleep(slow)
	}
	return l.shared.Newest(ctx, topic, after)
}

// termPool is a pool of two instances, of which only the first stands by. It has planned and
// is lost while jobs are at work, so that the second wakes and claims the role.
type termPool struct {
	*pool
	log    *claimLog
	second *poolInstance
}

func newTermPool(t *testing.T) *termPool {
	p := newPool(t, 0, 40)
	out := &termPool{pool: p, log: &claimLog{shared: p.log}}
	for _, name := range []string{"edge-0", "edge-1"} {
		settings := poolSettings(name, 0.1, "0")
		settings.Standbys = 1
		p.begin(settings, out.log, p.workers, nil)
	}
	out.second = p.instances[1]
	time.Sleep(poolWarm)
	for i := range 20 {
		p.submit(i, p.instances[0])
	}
	time.Sleep(1200 * time.Millisecond)
	return out
}

// unneeded has the second instance taken for one that need not read the plans.
func (p *termPool) unneeded(place int) {
	b := p.second.standby
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rank, b.neededAt, b.silentSince = place, time.Time{}, time.Now()
}

// losePlanner ends the first instance.
func (p *termPool) losePlanner() {
	p.instances[0].stop()
	p.instances = p.instances[1:]
}

// check holds that everything is done, and that nothing began again.
func (p *termPool) check() {
	defer p.log.late.Wait()
	p.waitFor(p.jobs, 20*time.Second)
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	if n := len(p.workers.twice); n > 0 {
		p.t.Errorf("%d tasks began beside themselves or after they were done, %s first", n, p.workers.twice[0])
	}
}

// Guards against work that begins again, or stands still for ever, under a planner whose book was
// emptied between its claim and the start of its term.
func TestNobodyPlansFromABookThatWasEmptiedAfterItsClaim(t *testing.T) {
	for name, again := range map[string]time.Duration{"and reads no more": 0, "and reads again": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTermPool(t)
				defer p.stopAll()
				p.log.atClaim(func() bool {
					p.unneeded(9)
					time.Sleep(3 * standbyInterval)
					if again > 0 {
						p.log.late.Go(func() {
							time.Sleep(again)
							p.unneeded(0)
						})
					}
					return false
				})
				p.losePlanner()
				p.check()
			})
		})
	}
}

// Guards against a planner that begins on a claim that was carried out late, before it has
// read what it has to know.
func TestNobodyPlansOnALateClaimBeforeAllIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTermPool(t)
		defer p.stopAll()
		claims := 0
		p.log.atClaim(func() bool {
			if claims++; claims > 1 {
				return false
			}
			p.log.slowAcceptances(time.Second)
			p.unneeded(9)
			p.log.late.Go(func() {
				time.Sleep(lateClaim / 2)
				p.unneeded(0)
			})
			return true
		})
		p.losePlanner()
		p.check()
	})
}

// Guards against a planner that orders on a claim which was carried out late: it may have been
// succeeded before it began.
func TestALateClaimGivesNoAuthorityBeforeAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 0, 20)
		defer p.stopAll()
		log := &claimLog{shared: p.log, blocked: true}
		defer log.late.Wait()
		log.atClaim(func() bool { return true })
		var orders atomic.Int64
		p.workers.ordered = func(int64) { orders.Add(1) }
		p.begin(poolSettings("edge-0", 0.1, "0"), log, p.workers, nil)
		time.Sleep(8 * time.Second)
		if len(p.planners()) != 1 {
			t.Fatal("nobody plans on the late claim")
		}
		if n := orders.Load(); n > 0 {
			t.Errorf("%d orders went out before the planner had written", n)
		}
		log.unblock()
		time.Sleep(time.Second)
		if orders.Load() == 0 {
			t.Error("no order went out after the planner had written")
		}
	})
}

// A job that has begun, and of which no progress was read, is not complete.
func TestNobodyClaimsWhileProgressIsMissingOfAJobThatHasBegun(t *testing.T) {
	b := workload.NewBook()
	for _, record := range []struct{ key, value string }{
		{workload.AcceptedKey("a"), `{"id":"a","queue":"q"}`},
		{workload.StatedKey("a"), `{"q":"q","s":"running","b":true}`},
	} {
		if err := b.Fold(0, record.key, []byte(record.value)); err != nil {
			t.Fatal(err)
		}
	}
	if b.Complete() {
		t.Fatal("a book without the progress of a job that has begun is complete")
	}
	if err := b.Fold(1, workload.ProgressKey("a"), []byte(`{"state":"running","begun":true}`)); err != nil {
		t.Fatal(err)
	}
	if !b.Complete() {
		t.Fatal("a book with all progress is not complete")
	}
}

// A record that can't be read is not waited for: nobody would ever claim.
func TestAnUnreadableRecordHoldsNoClaimUp(t *testing.T) {
	b := workload.NewBook()
	for offset, record := range []struct{ key, value string }{
		{workload.AcceptedKey("a"), "{"},
		{workload.ProgressKey("a"), `{"state":"running","begun":true}`},
		{workload.AcceptedKey("b"), `{"id":"b","queue":"q"}`},
		{workload.StatedKey("b"), `{"q":"q","s":"running","b":true}`},
		{workload.ProgressKey("b"), "["},
	} {
		_ = b.Fold(int64(offset), record.key, []byte(record.value))
	}
	if !b.Complete() {
		t.Fatal("a book waits for records that were read and are unreadable")
	}
}

// An instance that reads the log answers its callers, also before the first write of its term.
func TestALateClaimDoesNotStopAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 0, 20)
		defer p.stopAll()
		log := &claimLog{shared: p.log, blocked: true}
		defer log.late.Wait()
		log.atClaim(func() bool { return true })
		p.begin(poolSettings("edge-0", 0.1, "0"), log, p.workers, nil)
		one := p.instances[0]
		for !one.planning.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if age := one.states.age(time.Now()); age > one.settings.Stale {
			t.Fatalf("the states were read %v ago", age)
		}
		if err := one.CheckCurrent(); err != nil {
			t.Errorf("an instance that has just read the log refuses its callers: %v", err)
		}
		log.unblock()
	})
}

// watchTerms looks at an instance until the test ends and returns how often it planned although
// it did not know all that a planner takes over.
func watchTerms(p *termPool) (blind func() int) {
	n, begun := 0, false
	p.log.late.Go(func() {
		for range 20_000 {
			time.Sleep(time.Millisecond)
			now := p.second.planning.Load()
			if now && !begun && !p.second.caughtUp() {
				n++
			}
			begun = now
		}
	})
	return func() int { return n }
}

// The scene of TestNobodyPlansOnALateClaimBeforeAllIsRead, held against when the term begins.
func TestALateTermBeginsOnlyOnceAllIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTermPool(t)
		defer p.stopAll()
		blind := watchTerms(p)
		claims := 0
		p.log.atClaim(func() bool {
			if claims++; claims > 1 {
				return false
			}
			p.log.slowAcceptances(time.Second)
			p.unneeded(9)
			p.log.late.Go(func() {
				time.Sleep(lateClaim / 2)
				p.unneeded(0)
			})
			return true
		})
		p.losePlanner()
		p.log.late.Wait()
		if n := blind(); n > 0 {
			t.Errorf("%d terms began before all was read", n)
		}
	})
}

// What was read is kept while a claim is under way.
func TestNothingIsLetGoWhileTheRoleIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTermPool(t)
		defer p.stopAll()
		claims, kept := 0, 0
		p.log.atClaim(func() bool {
			p.unneeded(9)
			time.Sleep(3 * standbyInterval)
			claims++
			if p.second.caughtUp() {
				kept++
			}
			return false
		})
		p.losePlanner()
		p.check()
		if claims == 0 || kept != claims {
			t.Errorf("the book was current at the end of %d of %d claims", kept, claims)
		}
	})
}

// A claim that stands beyond what was read of the plans begins no term.
func TestAClaimBeyondWhatWasReadBeginsNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(poolSettings("edge-0", 1, "0"), newShared(poolRate), poolDecoder{}, nil, nil, nil)
		s.directory.Store(&Directory{})
		for _, f := range s.planningTopics() {
			f.setFollowing(true)
			if err := f.readSnapshot(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if !s.caughtUpTo(1) {
			t.Fatal("a claim at the place that was read to is not read for")
		}
		if s.caughtUpTo(6) {
			t.Error("a claim five records beyond what was read is read for")
		}
	})
}

// When a claim was sent is known of an answered claim, and of that alone.
func TestWhenAClaimWasSentIsKnownOfAnAnsweredClaimAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(poolSettings("edge-0", 1, "0"), newShared(poolRate), poolDecoder{}, nil, nil, nil).succession
		began := time.Now()
		if _, err := s.claim(t.Context(), newShared(poolRate), 0); err != nil {
			t.Fatal(err)
		}
		if got := s.claimSent(); !got.Equal(began) {
			t.Errorf("the answered claim was sent at %v, want %v", got, began)
		}
		s.observe(Entry{Offset: 0, Key: claimKey, Value: s.self.record().Value}, time.Now())
		if got := s.claimSent(); !got.Equal(began) {
			t.Errorf("the answered claim, read once more, was sent at %v, want %v", got, began)
		}
		s.observe(Entry{Offset: 7, Key: claimKey, Value: s.self.record().Value}, time.Now())
		if got := s.claimSent(); !got.IsZero() {
			t.Errorf("a claim that had no answer was sent at %v", got)
		}
	})
}
