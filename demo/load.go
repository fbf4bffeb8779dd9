package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/standin"
	"github.com/cobalttide/cobalttide/state"
)

// tally is what became of one class.
type tally struct {
	submitted, correct, late, unknown, failed int
	refused                                   map[domain.Reason]int
	times                                     *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{refused: map[domain.Reason]int{}, times: hdrhistogram.New(1, 600_000_000, 3)}
}

// sent is one request and what its caller was told in the end.
type sent struct {
	class   domain.ClassName
	account domain.AccountID
	id      string
	// notRun is set when every answer said that it was not run.
	notRun bool
	whole  bool
}

// load sends work as callers would, through a balancer that knows no more than
// which instances answer.
type load struct {
	c *cluster
	d deployment

	mu         sync.Mutex
	tallies    map[domain.ClassName]*tally
	sent       []sent
	jobs       []submitted
	violations []string
	wg         sync.WaitGroup
}

// submitted is one accepted job.
type submitted struct {
	id      domain.JobID
	account domain.AccountID
	class   domain.ClassName
	dc      domain.DataCentre
	at      time.Time
}

func newLoad(c *cluster, d deployment) *load {
	return &load{c: c, d: d, tallies: map[domain.ClassName]*tally{}}
}

func (l *load) tally(class domain.ClassName) *tally {
	t, ok := l.tallies[class]
	if !ok {
		t = newTally()
		l.tallies[class] = t
	}
	return t
}

func (l *load) with(class domain.ClassName, f func(t *tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.tally(class))
}

func (l *load) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *load) run(ctx context.Context, progress io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	began := time.Now()
	random := rand.New(rand.NewPCG(1, 2))
	interactive := time.NewTicker(time.Second / interactiveRate)
	once := time.NewTicker(time.Second / onceRate)
	gangs := time.NewTicker(gangEvery)
	report := time.NewTicker(5 * time.Second)
	for n := 0; ctx.Err() == nil; n++ {
		account := l.d.accounts[random.IntN(len(l.d.accounts))]
		select {
		case <-interactive.C:
			l.spawn(func() { l.request(l.d.interactive, account, fmt.Sprintf("i%d", n), rand.IntN(20)) })
		case <-once.C:
			l.spawn(func() { l.request(l.d.once, account, fmt.Sprintf("o%d", n), rand.IntN(20)) })
		case <-gangs.C:
			job := l.newJob(random, account, n)
			l.spawn(func() { l.submit(job) })
		case <-report.C:
			say(progress, "%5.1fs %s", time.Since(began).Seconds(), l.progress())
		case <-ctx.Done():
		}
	}
	l.wg.Wait()
	say(progress, "%5.1fs all is submitted; waiting for the gangs", time.Since(began).Seconds())
	l.awaitJobs()
}

func (l *load) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

func (l *load) progress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := ""
	for class, t := range l.tallies {
		out += fmt.Sprintf("%s %d/%d  ", class, t.correct, t.submitted)
	}
	return out
}

// callerTries is how often a caller comes back before it gives a request up.
const callerTries = 8

// request sends one request until it has an answer, as a caller behind the
// balancer would: again with the same id, at another instance, not before it
// was told to.
func (l *load) request(class domain.ClassName, account domain.AccountID, id string, millis int) {
	body, _ := json.Marshal(standin.Work{Duration: domain.Duration(time.Duration(millis) * time.Millisecond), Stream: millis%4 == 0, Size: 100 * millis})
	l.with(class, func(t *tally) { t.submitted++ })
	expectation := l.c.declared.Classes[class].Expectation.Std()
	began := time.Now()
	record := sent{class: class, account: account, id: id, notRun: true}
	var last *domain.Refusal
	for range callerTries {
		refusal := l.try(class, account, id, body)
		if refusal == nil {
			record.whole = true
			break
		}
		last = refusal
		record.notRun = record.notRun && refusal.Outcome == domain.NotRun
		if refusal.Outcome == domain.Unknown && !l.c.declared.Classes[class].Idempotent && refusal.Reason != reasonConnection {
			break
		}
		time.Sleep(min(refusal.RetryAfter.Std(), time.Second))
	}
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tally(class)
	l.sent = append(l.sent, record)
	switch {
	case record.whole:
		t.correct++
		_ = t.times.RecordValue(took.Microseconds()) // its range is ten minutes
		if took > expectation {
			t.late++
		}
	case last.Outcome == domain.Unknown:
		t.unknown++
	default:
		t.refused[last.Reason]++
	}
}

// reasonConnection is the caller's own reason for a call without an answer.
const reasonConnection domain.Reason = "connection"

// try sends a request once and checks that the answer is the whole answer to
// this request and no other.
func (l *load) try(class domain.ClassName, account domain.AccountID, id string, body []byte) *domain.Refusal {
	alive := l.c.alive()
	target := alive[rand.IntN(len(alive))]
	request, err := http.NewRequest(http.MethodPost, "http://"+target.CallersAddress()+"/v1/requests/"+string(class), bytes.NewReader(body))
	if err != nil {
		return domain.OutcomeUnknown(reasonConnection, err.Error())
	}
	request.Header.Set("Authorization", "Bearer "+string(account)+"-development")
	request.Header.Set("Cobalttide-Request-Id", id)
	response, err := l.c.client.Do(request)
	if err != nil {
		return domain.OutcomeUnknown(reasonConnection, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return domain.OutcomeUnknown(reasonConnection, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(raw)
	}
	if want := standin.Answer(string(account), id, body); !strings.HasPrefix(string(raw), want) {
		l.violation("request %s of %s got another answer", id, account)
	}
	return nil
}

func decodeRefusal(raw []byte) *domain.Refusal {
	var refusal domain.Refusal
	if err := json.Unmarshal(raw, &refusal); err != nil {
		return domain.OutcomeUnknown(reasonConnection, string(raw))
	}
	return &refusal
}

// gangSizes are the tasks of 8 accelerators that the demo's gangs have.
// Those that can't be preempted have to fit beside the guarantees.
var (
	gangSizes   = []int{1, 1, 1, 2, 2, 4, 8}
	pinnedSizes = []int{1, 1, 2, 4}
)

func (l *load) newJob(random *rand.Rand, account domain.AccountID, n int) domain.Job {
	dcs := l.c.fleet.DataCentres
	run := time.Duration(500+random.IntN(2500)) * time.Millisecond
	factor := []float64{0.25, 1, 1, 4}[random.IntN(4)] // declarations lie
	class := l.d.gangs[random.IntN(len(l.d.gangs))]
	sizes := gangSizes
	if !l.c.declared.Classes[class].Preemptible() {
		sizes = pinnedSizes
	}
	return domain.Job{
		ID: domain.JobID(fmt.Sprintf("g%d", n)), Account: account, Class: class,
		DataCentre: dcs[random.IntN(len(dcs))].Name,
		Shape: domain.Shape{
			Tasks:     sizes[random.IntN(len(sizes))],
			PerTask:   domain.Resources{Accelerators: 8, CPU: 8, MemoryMiB: 16000},
			Adjacency: domain.SameRack,
		},
		Estimate: domain.Duration(float64(run) * factor),
		Payload:  standin.Workload{Run: domain.Duration(run)}.Encode(),
	}
}

// submit submits a job until it is accepted.
func (l *load) submit(job domain.Job) {
	l.with(job.Class, func(t *tally) { t.submitted++ })
	began := time.Now()
	for range 4 * callerTries {
		alive := l.c.alive()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := alive[rand.IntN(len(alive))].Submit(ctx, job)
		cancel()
		if err == nil {
			l.mu.Lock()
			l.jobs = append(l.jobs, submitted{id: job.ID, account: job.Account, class: job.Class, dc: job.DataCentre, at: began})
			l.mu.Unlock()
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	l.with(job.Class, func(t *tally) { t.refused[domain.ReasonLogUnavailable]++ })
}

// awaitJobs follows every accepted job to its end.
func (l *load) awaitJobs() {
	end := time.Now().Add(endPatience)
	for _, job := range l.jobs {
		status := l.awaitJob(job, end)
		l.with(job.class, func(t *tally) {
			switch status.State {
			case domain.JobCompleted:
				t.correct++
				_ = t.times.RecordValue(status.Finished.Sub(job.at).Microseconds()) // its range is ten minutes
			case domain.JobUnknown:
				t.unknown++
			case domain.JobFailed:
				// True, where a worker fails every task: a job that must not
				// run twice is not tried elsewhere.
				t.failed++
			default:
				l.violations = append(l.violations, fmt.Sprintf("job %s of class %s in %s is %s (%s) in the end", job.id, job.class, job.dc, status.State, status.Cause))
			}
		})
	}
}

func (l *load) awaitJob(job submitted, end time.Time) state.Status {
	for {
		status, err := l.c.askJob(job)
		if err == nil && (status.State.Final() || time.Now().After(end)) {
			return status
		}
		if time.Now().After(end) {
			return status
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// askJob asks an instance of the job's data centre.
func (c *cluster) askJob(job submitted) (status state.Status, err error) {
	for _, m := range c.alive() {
		if m.Settings.DataCentre == job.dc {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return m.Job(ctx, job.account, job.id, job.dc)
		}
	}
	return status, domain.Refuse(domain.ReasonNotFound, "id", "no instance of the data centre is left", "")
}
