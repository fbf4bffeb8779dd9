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

func mbits(rate float64) float64 { return rate * 1e6 / 8 }

func steady(rate float64) func() float64 { return func() float64 { return rate } }

func jobKey(i int) string { return fmt.Sprintf("j/%016x", i) }

// reader follows one topic and keeps what it was handed.
type reader struct {
	f         *follower
	snapshots [][]Entry
	seen      map[string]bool
	readyAt   time.Time
}

func newReader(log Log, topic Topic) *reader {
	r := &reader{seen: map[string]bool{}}
	r.f = &follower{topic: topic, log: log, wait: func() time.Duration { return readerWait }, pause: func() time.Duration { return standbyPause }, retry: readRetryPause}
	r.f.applyAll = func(entries []Entry) {
		r.snapshots = append(r.snapshots, entries)
		for _, e := range entries {
			r.seen[e.Key] = true
		}
		if r.readyAt.IsZero() {
			r.readyAt = time.Now()
		}
	}
	r.f.applyOne = func(e Entry) { r.seen[e.Key] = true }
	return r
}

// recover lets a reader follow for a while and returns it.
func recoverFor(t *testing.T, most time.Duration, log Log, during func()) *reader {
	r := newReader(log, Jobs)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.f.run(ctx) })
	if during != nil {
		group.Go(during)
	}
	time.Sleep(most)
	cancel()
	group.Wait()
	return r
}

const (
	someJobs   = 2000
	recordSize = 1500
)

// bounded is twice what the bytes of someJobs take on a link, and some.
func bounded(rate float64) time.Duration {
	return time.Second + time.Duration(2*linkedOverhead*someJobs*recordSize/rate*float64(time.Second))
}

func TestAnInstanceComesBackThroughTroubles(t *testing.T) {
	thin := mbits(10)
	for name, c := range map[string]struct {
		rate   func(began time.Time) func() float64
		lose   func(n int) bool
		during func(*linked)
		large  int
	}{
		"a thin link":               {},
		"a link that slows midway":  {rate: func(b time.Time) func() float64 { return slows(b, thin) }},
		"a page lost midway":        {lose: func(n int) bool { return n == 3 }},
		"one page in two is lost":   {lose: func(n int) bool { return n%2 == 0 }},
		"a cut during recovery":     {rate: func(b time.Time) func() float64 { return cutBetween(b, thin, 2*time.Second, 4*time.Second) }},
		"a record larger than most": {large: 250_000},
		"history dropped meanwhile": {during: func(l *linked) {
			time.Sleep(time.Second)
			l.add(Jobs, "j/late", make([]byte, recordSize))
			l.drop(Jobs)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newLinked(0)
				log.fill(Jobs, someJobs, recordSize, jobKey, make([]byte, recordSize))
				if c.large > 0 {
					log.topics[Jobs].newest[someJobs/2].Value = make([]byte, c.large)
				}
				d := newDoor(log, steady(thin))
				d.lose = c.lose
				if c.rate != nil {
					d.rate = c.rate(time.Now())
				}
				var during func()
				if c.during != nil {
					during = func() { c.during(log) }
				}
				began := time.Now()
				r := recoverFor(t, 3*bounded(thin), d, during)
				if r.readyAt.IsZero() || !r.f.everRead() {
					t.Fatalf("not ready after %v", time.Since(began))
				}
				if want := len(log.topics[Jobs].newest); len(r.seen) != want {
					t.Fatalf("%d records of %d were read", len(r.seen), want)
				}
			})
		})
	}
}

// slows halves a rate again and again.
func slows(began time.Time, rate float64) func() float64 {
	return func() float64 { return rate / (1 + time.Since(began).Seconds()/2) }
}

func cutBetween(began time.Time, rate float64, from, to time.Duration) func() float64 {
	return func() float64 {
		if since := time.Since(began); since >= from && since < to {
			return 0
		}
		return rate
	}
}

// A page that was read is not read again after a try that failed.
func TestAPageThatWasReadIsKeptOverAFailedTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLinked(0)
		log.fill(Jobs, someJobs, recordSize, jobKey, make([]byte, recordSize))
		d := newDoor(log, steady(mbits(10)))
		d.lose = func(n int) bool { return n == 3 }
		first := snapshotReader{}
		ctx := context.Background()
		if err := first.read(ctx, d, Jobs, nil); !errors.Is(err, ErrUnknown) {
			t.Fatalf("the third page was lost: %v", err)
		}
		if err := first.read(ctx, d, Jobs, nil); err != nil {
			t.Fatal(err)
		}
		const pages, again = someJobs / 500, 1
		if log.calls != pages+again || len(first.entries) != someJobs {
			t.Fatalf("%d calls for %d pages, %d records", log.calls, pages, len(first.entries))
		}
	})
}

// Whatever the order of failures, an instance in touch becomes ready, and
// nothing is handed over before all of it was read.
func TestAnInstanceInTouchBecomesReadyAndNeverActsOnAHalf(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lost := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(rt, "lost")
		cut := time.Duration(rapid.IntRange(0, 4000).Draw(rt, "cut")) * time.Millisecond
		for_ := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "for")) * time.Millisecond
		drop := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "drop")) * time.Millisecond
		const jobs = 1200
		synctest.Test(t, func(*testing.T) {
			log := newLinked(mbits(400))
			log.fill(Jobs, jobs, recordSize, jobKey, make([]byte, recordSize))
			d := newDoor(log, cutBetween(time.Now(), mbits(10), cut, cut+for_))
			d.lose = func(n int) bool { return n < len(lost) && lost[n] }
			r := recoverFor(t, 40*time.Second, d, func() {
				time.Sleep(drop)
				log.add(Jobs, jobKey(7), make([]byte, recordSize))
				log.drop(Jobs)
			})
			if r.readyAt.IsZero() || len(r.seen) != jobs {
				rt.Fatalf("%d of %d records, ready at %v", len(r.seen), jobs, r.readyAt)
			}
			for _, s := range r.snapshots {
				if len(s) < jobs {
					rt.Fatalf("%d of %d records were handed over", len(s), jobs)
				}
			}
		})
	})
}

// broken answers one page in a way that can't be, then as it should.
type broken struct {
	*door
	newest  func(NewestPage) NewestPage
	read    func(Page) Page
	answers int
}

func (b *broken) Probe(ctx context.Context, topic Topic) error {
	_, err := b.Read(ctx, topic, 0, 0)
	return err
}

func (b *broken) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	page, err := b.door.Newest(ctx, topic, after)
	if b.answers++; b.newest != nil && b.answers <= 3 {
		page = b.newest(page)
	}
	return page, err
}

func (b *broken) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	page, err := b.door.Read(ctx, topic, from, wait)
	if b.answers++; b.read != nil && b.answers <= 3 {
		page = b.read(page)
	}
	return page, err
}

func TestAnAnswerThatCanNotBeIsNotedOnceAndReadAgain(t *testing.T) {
	for name, b := range map[string]*broken{
		"pages never end": {newest: func(p NewestPage) NewestPage { return NewestPage{More: true} }},
		"an end below what was read": {read: func(p Page) Page {
			p.End = 1
			return p
		}},
		"no whole record below the end": {read: func(p Page) Page { return Page{Next: p.End, End: p.End + 5} }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newLinked(0)
				log.fill(Jobs, 30, 10, jobKey, make([]byte, 10))
				b.door = newDoor(log, steady(mbits(100)))
				r := newReader(b, Jobs)
				noted := 0
				r.f.connectionChanged = func(_ Topic, ok bool, cause string) {
					if !ok && cause != "" {
						noted++
					}
				}
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				group.Go(func() { r.f.run(ctx) })
				time.Sleep(5 * time.Second)
				log.add(Jobs, "j/new", nil)
				time.Sleep(5 * time.Second)
				connected, notedThen := r.f.connected(), noted
				cancel()
				group.Wait()
				if len(r.seen) != 31 || !connected {
					t.Fatalf("%d of 31 records were read, connected %t", len(r.seen), connected)
				}
				if notedThen != 1 {
					t.Fatalf("noted %d times", notedThen)
				}
			})
		})
	}
}

// An instance that comes back accepts jobs as soon as it knows the
// configuration, tells what is final, and denies nothing before all is read.
func TestWhatAnInstanceServesBeforeItHasReadAll(t *testing.T) {
	s := New(Settings{Instance: "a", Stale: 2 * time.Second, Stretch: 5 * time.Second}, &partly{}, nil, nil, nil, nil)
	if s.Configured() == nil {
		t.Fatal("accepts without a configuration")
	}
	s.directory.Store(&Directory{Version: 1})
	s.declarations.readToEndAt = time.Now()
	if err := s.Configured(); err != nil {
		t.Fatalf("does not accept with the configuration alone: %v", err)
	}
	if s.Ready() {
		t.Fatal("says that it is ready")
	}
	ended, open, unknown := workload.JobID("00000000000000aa"), workload.JobID("00000000000000bb"), workload.JobID("00000000000000cc")
	for _, id := range []workload.JobID{ended, open} {
		s.applyJobRecord(Entry{Key: workload.AcceptedKey(id), Value: []byte(`{}`)})
	}
	s.applyJobRecord(Entry{Offset: 1, Key: workload.ProgressKey(ended), Value: []byte(`{"state":"completed"}`)})
	if state, err := s.State(context.Background(), ended); err != nil || state != workload.Completed {
		t.Fatalf("of a job that has ended: %s, %v", state, err)
	}
	for _, id := range []workload.JobID{open, unknown} {
		if _, err := s.State(context.Background(), id); domain.AsRefusal(err).Reason != domain.ReasonLogUnavailable {
			t.Fatalf("of a job that may have changed: %v", err)
		}
		if err := s.Cancel(context.Background(), unknown); domain.AsRefusal(err).Reason != domain.ReasonLogUnavailable {
			t.Fatalf("a job that may be there is denied: %v", err)
		}
	}
}

var fullRecovery = flag.Bool("recovery.full", false, "measure recovery at all sizes")

// TestRecoveryAtScale measures how long instances take that come back all at
// once: all sizes with -recovery.full, which docs/CAPACITY.md quotes.
func TestRecoveryAtScale(t *testing.T) {
	links, instances, known := []float64{10}, []int{40}, []int{500}
	if *fullRecovery {
		links, instances, known = []float64{2, 10, 100}, []int{10, 40, 100}, []int{500, 5_000, 50_000}
	}
	t.Log("link Mbit/s | instances | jobs | first ready s | last ready s | MB | calls")
	for _, link := range links {
		for _, n := range instances {
			for _, jobs := range known {
				synctest.Test(t, func(t *testing.T) { recoverAll(t, link, n, jobs) })
			}
		}
	}
}

// recoverAll measures one row and holds it against what the bytes take.
func recoverAll(t *testing.T, link float64, instances, jobs int) {
	const storeRate, acceptance, progress = 80e6, 1500, 120
	log := newLinked(storeRate)
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
		d := newDoor(log, steady(mbits(link)))
		parts := 0
		for _, topic := range []Topic{Jobs, Plans} {
			f := newReader(d, topic).f
			f.applyAll = func([]Entry) {
				mu.Lock()
				defer mu.Unlock()
				if parts++; parts < 2 {
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
	byLink := bytes * linkedOverhead / mbits(link)
	byStore := bytes * float64(instances) / storeRate
	if least := max(byLink, byStore); last.Seconds() > 2*least+1 {
		t.Errorf("%v Mbit/s, %d instances, %d jobs: %.1f s where the bytes take %.1f s", link, instances, jobs, last.Seconds(), least)
	}
	t.Logf("%g | %d | %d | %.1f | %.1f | %.0f | %d", link, instances, jobs, first.Seconds(), last.Seconds(), float64(log.bytes)/1e6, log.calls)
}

// away is a log that refuses all reads until a time.
type away struct {
	*door
	until atomic.Int64
}

// leave lets the log refuse all reads for a while.
func (a *away) leave(d time.Duration) { a.until.Store(time.Now().Add(d).UnixNano()) }

func (a *away) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	if time.Now().UnixNano() < a.until.Load() {
		return Page{}, ErrNotDone
	}
	return a.door.Read(ctx, topic, from, wait)
}

// Callers wait for 3 s and come back a few times: what is known has to be known
// for current as soon as the log is back, though there is no news in it.
func TestReadingIsCurrentSoonAfterTheLogIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLinked(0)
		log.fill(Declarations, 3, 10, jobKey, make([]byte, 10))
		a := &away{door: newDoor(log, steady(mbits(100)))}
		r := newReader(a, Declarations)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { r.f.run(ctx) })
		time.Sleep(2 * time.Second)
		a.leave(4 * time.Second)
		const soon = 300 * time.Millisecond
		time.Sleep(4*time.Second + soon)
		if age := r.f.age(time.Now()); age > soon {
			t.Errorf("what was read is %v old %v after the log is back", age, soon)
		}
		cancel()
		group.Wait()
	})
}

// While the log is away one topic finds out whether it is back and wakes the
// others: instances that all ask for everything all the time make thousands of
// calls a second for nothing.
func TestWhileTheLogIsAwayFewCallsAreMadeAndAllTopicsComeBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLinked(0)
		a := &counting{away: &away{door: newDoor(log, steady(mbits(100)))}}
		s := New(Settings{Instance: "a", Stale: 2 * time.Second}, a, nil, nil, nil, nil)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		followers := []*follower{s.states, s.acceptances.topics[0], s.plans}
		for _, f := range followers {
			group.Go(func() { f.run(ctx) })
		}
		time.Sleep(2 * time.Second)
		const outage = 6 * time.Second
		a.leave(outage)
		before := a.calls.Load()
		time.Sleep(outage)
		// One topic asks each 0.15 s, the two others each 0.6 s.
		if calls := a.calls.Load() - before; calls > 40+2*10+5 {
			t.Errorf("%d calls in %v", calls, outage)
		}
		back := time.Now()
		time.Sleep(300 * time.Millisecond)
		for _, f := range followers {
			// An answer without news counts from a little before it came.
			if read := time.Now().Add(-f.age(time.Now())); read.Before(back.Add(-transitSlack)) {
				t.Errorf("%s was read last %v before the log was back", f.topic, back.Sub(read))
			}
		}
		cancel()
		group.Wait()
	})
}

// counting counts reads.
type counting struct {
	*away
	calls atomic.Int64
}

func (c *counting) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	c.calls.Add(1)
	return c.away.Read(ctx, topic, from, wait)
}
