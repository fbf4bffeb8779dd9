package service

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// megabits converts a rate from megabits to bytes per second.
func megabits(rate float64) float64 { return rate * 1e6 / 8 }

func constantRate(rate float64) func() float64 { return func() float64 { return rate } }

func jobKey(i int) string { return fmt.Sprintf("j/%016x", i) }

// testReader follows one topic and records what is applied.
type testReader struct {
	follower  *follower
	snapshots [][]Entry
	seen      map[string]bool
	readyAt   time.Time
}

func newTestReader(log Log, topic Topic) *testReader {
	r := &testReader{seen: map[string]bool{}}
	r.follower = &follower{topic: topic, log: log, wait: func() time.Duration { return readerWait }, pause: func() time.Duration { return standbyPause }, retry: readRetryPause}
	r.follower.applyAll = func(entries []Entry) {
		r.snapshots = append(r.snapshots, entries)
		for _, e := range entries {
			r.seen[e.Key] = true
		}
		if r.readyAt.IsZero() {
			r.readyAt = time.Now()
		}
	}
	r.follower.applyOne = func(e Entry) { r.seen[e.Key] = true }
	return r
}

// followFor follows the jobs for a while, during which it also calls during, and returns the
// reader.
func followFor(t *testing.T, duration time.Duration, log Log, during func()) *testReader {
	r := newTestReader(log, Jobs)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.follower.run(ctx) })
	if during != nil {
		group.Go(during)
	}
	time.Sleep(duration)
	cancel()
	group.Wait()
	return r
}

const (
	recoveryJobs = 2000
	recordBytes  = 1500
)

// recoveryBound is twice the time that the bytes of recoveryJobs take on a link, plus one
// second.
func recoveryBound(rate float64) time.Duration {
	return time.Second + time.Duration(2*linkOverhead*recoveryJobs*recordBytes/rate*float64(time.Second))
}

// Guards against an instance that never recovers, or recovers without some records, when its link
// or the log is faulty meanwhile.
func TestInstanceRecoversUnderFaults(t *testing.T) {
	t.Parallel()
	slowRate := megabits(10)
	for name, c := range map[string]struct {
		rate   func(began time.Time) func() float64
		lose   func(n int) bool
		during func(*linkedLog)
		large  int
	}{
		"a slow link":               {},
		"a link that keeps slowing": {rate: func(b time.Time) func() float64 { return slowingRate(b, slowRate) }},
		"the third page is lost":    {lose: func(n int) bool { return n == 3 }},
		"every second page is lost": {lose: func(n int) bool { return n%2 == 0 }},
		"a cut during recovery":     {rate: func(b time.Time) func() float64 { return interruptedRate(b, slowRate, 2*time.Second, 4*time.Second) }},
		"one very large record":     {large: 250_000},
		"history is dropped": {during: func(l *linkedLog) {
			time.Sleep(time.Second)
			l.add(Jobs, "j/late", make([]byte, recordBytes))
			l.dropHistory(Jobs)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				log := newLinkedLog(0)
				log.fill(Jobs, recoveryJobs, recordBytes, jobKey, make([]byte, recordBytes))
				if c.large > 0 {
					log.topics[Jobs].newest[recoveryJobs/2].Value = make([]byte, c.large)
				}
				d := newLogLink(log, constantRate(slowRate))
				d.isLost = c.lose
				if c.rate != nil {
					d.rate = c.rate(time.Now())
				}
				var during func()
				if c.during != nil {
					during = func() { c.during(log) }
				}
				began := time.Now()
				r := followFor(t, 3*recoveryBound(slowRate), d, during)
				if r.readyAt.IsZero() || !r.follower.everRead() {
					t.Fatalf("not ready after %v", time.Since(began))
				}
				if want := len(log.topics[Jobs].newest); len(r.seen) != want {
					t.Fatalf("%d of %d records were read", len(r.seen), want)
				}
			})
		})
	}
}

// slowingRate returns a rate that decreases over time: it is halved after 2 s, and a third of it is
// left after 4 s.
func slowingRate(began time.Time, rate float64) func() float64 {
	return func() float64 { return rate / (1 + time.Since(began).Seconds()/2) }
}

// interruptedRate returns a rate that is 0 between two times after began.
func interruptedRate(began time.Time, rate float64, from, to time.Duration) func() float64 {
	return func() float64 {
		if since := time.Since(began); since >= from && since < to {
			return 0
		}
		return rate
	}
}

// Guards against an instance on a slow link that starts its snapshot again after a failed read.
func TestPagesOfASnapshotAreKeptAfterAFailedRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := newLinkedLog(0)
		log.fill(Jobs, recoveryJobs, recordBytes, jobKey, make([]byte, recordBytes))
		d := newLogLink(log, constantRate(megabits(10)))
		d.isLost = func(n int) bool { return n == 3 }
		snapshot := snapshotReader{}
		ctx := context.Background()
		if err := snapshot.read(ctx, d, Jobs, nil); !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("a lost page returned %v, want ErrUnknown", err)
		}
		if err := snapshot.read(ctx, d, Jobs, nil); err != nil {
			t.Fatal(err)
		}
		const pages, repeated = recoveryJobs / 500, 1
		if log.calls != pages+repeated || len(snapshot.entries) != recoveryJobs {
			t.Fatalf("%d calls for %d pages, %d records", log.calls, pages, len(snapshot.entries))
		}
	})
}

// Guards against an instance that does not become ready although it can reach the log, whatever
// the order of faults, and against one that applies a snapshot before it is complete.
func TestReachableInstanceBecomesReadyAndNeverAppliesAPartialSnapshot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		lost := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(rt, "lost")
		cut := time.Duration(rapid.IntRange(0, 4000).Draw(rt, "cut")) * time.Millisecond
		cutTime := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "for")) * time.Millisecond
		drop := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "drop")) * time.Millisecond
		const jobs = 1200
		synctest.Test(t, func(*testing.T) {
			log := newLinkedLog(megabits(400))
			log.fill(Jobs, jobs, recordBytes, jobKey, make([]byte, recordBytes))
			d := newLogLink(log, interruptedRate(time.Now(), megabits(10), cut, cut+cutTime))
			d.isLost = func(n int) bool { return n < len(lost) && lost[n] }
			r := followFor(t, 40*time.Second, d, func() {
				time.Sleep(drop)
				log.add(Jobs, jobKey(7), make([]byte, recordBytes))
				log.dropHistory(Jobs)
			})
			if r.readyAt.IsZero() || len(r.seen) != jobs {
				rt.Fatalf("%d of %d records were read, ready at %v", len(r.seen), jobs, r.readyAt)
			}
			for _, s := range r.snapshots {
				if len(s) < jobs {
					rt.Fatalf("%d of %d records were applied as a snapshot", len(s), jobs)
				}
			}
		})
	})
}

// malformedLog returns malformed pages for the first three answers and correct ones afterwards.
type malformedLog struct {
	*logLink
	newest  func(NewestPage) NewestPage
	read    func(Page) Page
	answers int
}

func (b *malformedLog) Probe(ctx context.Context, topic Topic) error {
	_, err := b.Read(ctx, topic, 0, 0)
	return err
}

func (b *malformedLog) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	page, err := b.logLink.Newest(ctx, topic, after)
	if b.answers++; b.newest != nil && b.answers <= 3 {
		page = b.newest(page)
	}
	return page, err
}

func (b *malformedLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	page, err := b.logLink.Read(ctx, topic, from, wait)
	if b.answers++; b.read != nil && b.answers <= 3 {
		page = b.read(page)
	}
	return page, err
}

// Guards against a follower that stops at a malformed answer, or reports each one of a series.
func TestMalformedAnswerIsReportedOnceAndReadAgain(t *testing.T) {
	t.Parallel()
	for name, b := range map[string]*malformedLog{
		"pages without entries that never end": {newest: func(p NewestPage) NewestPage { return NewestPage{More: true} }},
		"an end below the read offset": {read: func(p Page) Page {
			p.End = 1
			return p
		}},
		"no complete record before the end": {read: func(p Page) Page { return Page{Next: p.End, End: p.End + 5} }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				log := newLinkedLog(0)
				log.fill(Jobs, 30, 10, jobKey, make([]byte, 10))
				b.logLink = newLogLink(log, constantRate(megabits(100)))
				r := newTestReader(b, Jobs)
				reports := 0
				r.follower.connectionChanged = func(_ Topic, ok bool, cause string) {
					if !ok && cause != "" {
						reports++
					}
				}
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				group.Go(func() { r.follower.run(ctx) })
				time.Sleep(5 * time.Second)
				log.add(Jobs, "j/new", nil)
				time.Sleep(5 * time.Second)
				connected, reportsThen := r.follower.connected(), reports
				cancel()
				group.Wait()
				if len(r.seen) != 31 || !connected {
					t.Fatalf("%d of 31 records were read, connected %t", len(r.seen), connected)
				}
				if reportsThen != 1 {
					t.Fatalf("the connection was reported as lost %d times, want once", reportsThen)
				}
			})
		})
	}
}

// Guards against an instance that, after a restart, serves too much or too little before
// everything is read: it accepts jobs as soon as it knows the configuration, returns final
// states, and returns not-found only once everything is read.
func TestRequestsServedBeforeEverythingIsRead(t *testing.T) {
	s := New(Settings{Instance: "a", StaleAfter: 2 * time.Second, PartialOutageGrace: 5 * time.Second}, &partialLog{}, nil, nil, nil, nil)
	if s.CheckConfigured() == nil {
		t.Fatal("accepts jobs without a configuration")
	}
	s.directory.Store(&Directory{Version: 1})
	s.declarations.readToEndAt = time.Now()
	if err := s.CheckConfigured(); err != nil {
		t.Fatalf("does not accept jobs although the configuration is current: %v", err)
	}
	if s.Ready() {
		t.Fatal("reports that it is ready before everything is read")
	}
	ended, open, unknown := workload.JobID("00000000000000aa"), workload.JobID("00000000000000bb"), workload.JobID("00000000000000cc")
	for _, id := range []workload.JobID{ended, open} {
		s.applyJobRecord(Entry{Key: workload.AcceptedKey(id), Value: []byte(`{}`)})
	}
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey(ended), Value: []byte(`{"state":"completed"}`)})
	if state, err := s.State(context.Background(), ended); err != nil || state != workload.Completed {
		t.Fatalf("an ended job is shown as %s, %v", state, err)
	}
	for _, id := range []workload.JobID{open, unknown} {
		if _, err := s.State(context.Background(), id); domain.AsRefusal(err).Reason != domain.ReasonLogUnavailable {
			t.Fatalf("the query for a job that may have changed returned %v", err)
		}
		if err := s.Cancel(context.Background(), unknown); domain.AsRefusal(err).Reason != domain.ReasonLogUnavailable {
			t.Fatalf("the cancellation of a job that may exist returned %v", err)
		}
	}
}

var fullRecovery = flag.Bool("recovery.full", false, "measure recovery at all sizes")

// TestRecoveryAtScale measures how long instances that all restart at once take to become ready.
// With -recovery.full it measures all sizes, which docs/CAPACITY.md quotes.
func TestRecoveryAtScale(t *testing.T) {
	t.Parallel()
	links, instances, known := []float64{10}, []int{40}, []int{500}
	if *fullRecovery {
		links, instances, known = []float64{2, 10, 100}, []int{10, 40, 100}, []int{500, 5_000, 50_000}
	}
	t.Log("link Mbit/s | instances | jobs | first ready s | last ready s | MB | calls")
	for _, link := range links {
		for _, n := range instances {
			for _, jobs := range known {
				synctest.Test(t, func(t *testing.T) { measureRecovery(t, link, n, jobs) })
			}
		}
	}
}

// measureRecovery measures one row and compares it with the time that the bytes take.
func measureRecovery(t *testing.T, link float64, instances, jobs int) {
	const storeRate, acceptance, progress = 80e6, 1500, 120
	log := newLinkedLog(storeRate)
	log.fill(Jobs, jobs, acceptance, jobKey, make([]byte, acceptance))
	log.fill(Plans, jobs, progress, func(i int) string { return fmt.Sprintf("p/%016x", i) }, make([]byte, progress))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	var group sync.WaitGroup
	var mu sync.Mutex
	var first, last time.Duration
	ready := 0
	for range instances {
		d := newLogLink(log, constantRate(megabits(link)))
		applied := 0
		for _, topic := range []Topic{Jobs, Plans} {
			f := newTestReader(d, topic).follower
			f.applyAll = func([]Entry) {
				mu.Lock()
				defer mu.Unlock()
				if applied++; applied < 2 {
					return
				}
				last = time.Since(began)
				if ready++; ready == 1 {
					first = last
				}
				if ready == instances {
					cancel()
				}
			}
			group.Go(func() { f.run(ctx) })
		}
	}
	group.Wait()
	bytes := float64(jobs) * (acceptance + progress + 36)
	byLink := bytes * linkOverhead / megabits(link)
	byStore := bytes * float64(instances) / storeRate
	if minimum := max(byLink, byStore); last.Seconds() > 2*minimum+1 {
		t.Errorf("%v Mbit/s, %d instances, %d jobs: %.1f s where the bytes take %.1f s", link, instances, jobs, last.Seconds(), minimum)
	}
	t.Logf("%g | %d | %d | %.1f | %.1f | %.0f | %d", link, instances, jobs, first.Seconds(), last.Seconds(), float64(log.bytes)/1e6, log.calls)
}

// unavailableLog is a log that refuses all reads until a given time.
type unavailableLog struct {
	*logLink
	until atomic.Int64
}

// setUnavailable makes the log refuse all reads for a while.
func (a *unavailableLog) setUnavailable(d time.Duration) { a.until.Store(time.Now().Add(d).UnixNano()) }

func (a *unavailableLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	if time.Now().UnixNano() < a.until.Load() {
		return Page{}, ErrNotDone
	}
	return a.logLink.Read(ctx, topic, from, wait)
}

// Guards against reads that stay stale after an outage of the log because there are no new
// records. Callers wait for 3 s and retry only a few times, so what is known has to count as
// current as soon as the log has recovered.
func TestReadsAreCurrentSoonAfterTheLogRecovers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := newLinkedLog(0)
		log.fill(Declarations, 3, 10, jobKey, make([]byte, 10))
		a := &unavailableLog{logLink: newLogLink(log, constantRate(megabits(100)))}
		r := newTestReader(a, Declarations)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { r.follower.run(ctx) })
		time.Sleep(2 * time.Second)
		a.setUnavailable(4 * time.Second)
		const maxAge = 300 * time.Millisecond
		time.Sleep(4*time.Second + maxAge)
		if age := r.follower.age(time.Now()); age > maxAge {
			t.Errorf("the last read is %v old %v after the log has recovered", age, maxAge)
		}
		cancel()
		group.Wait()
	})
}

// Guards against useless calls during an outage of the log. One topic detects the recovery and
// wakes the followers of the others: instances that all keep reading all topics make thousands
// of calls a second.
func TestFewCallsDuringALogOutageAndAllTopicsRecoverAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := newLinkedLog(0)
		a := &countingLog{unavailableLog: &unavailableLog{logLink: newLogLink(log, constantRate(megabits(100)))}}
		s := New(Settings{Instance: "a", StaleAfter: 2 * time.Second}, a, nil, nil, nil, nil)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		followers := []*follower{s.states, s.acceptances.topics[0], s.plans}
		for _, f := range followers {
			group.Go(func() { f.run(ctx) })
		}
		time.Sleep(2 * time.Second)
		const outage = 6 * time.Second
		a.setUnavailable(outage)
		before := a.calls.Load()
		time.Sleep(outage)
		// One topic is read every 0.15 s, the two others every 0.6 s.
		if calls := a.calls.Load() - before; calls > 40+2*10+5 {
			t.Errorf("%d calls in %v", calls, outage)
		}
		recoveredAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		for _, f := range followers {
			// An answer without records counts from a little before it arrived.
			if read := time.Now().Add(-f.age(time.Now())); read.Before(recoveredAt.Add(-transitSlack)) {
				t.Errorf("%s was last read %v before the log recovered", f.topic, recoveredAt.Sub(read))
			}
		}
		cancel()
		group.Wait()
	})
}

// countingLog counts the reads.
type countingLog struct {
	*unavailableLog
	calls atomic.Int64
}

func (c *countingLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	c.calls.Add(1)
	return c.unavailableLog.Read(ctx, topic, from, wait)
}
