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

// classStats counts the outcomes of one class.
type classStats struct {
	submitted, correct, late, unknown, failed int
	refused                                   map[domain.Reason]int
	times                                     *hdrhistogram.Histogram
}

func newClassStats() *classStats {
	return &classStats{refused: map[domain.Reason]int{}, times: hdrhistogram.New(1, 600_000_000, 3)}
}

// requestRecord is one request and its final outcome for the caller.
type requestRecord struct {
	class   domain.ClassName
	account domain.AccountID
	id      string
	// notRun is set if every response stated that the request was not run.
	notRun bool
	whole  bool
}

// load submits work like callers behind a load balancer that sends requests to any
// instance that responds.
type load struct {
	c *cluster
	d deployment

	mu         sync.Mutex
	stats      map[domain.ClassName]*classStats
	requests   []requestRecord
	accepted   []acceptedJob
	violations []string
	wg         sync.WaitGroup
}

// acceptedJob is one accepted job.
type acceptedJob struct {
	id      domain.JobID
	account domain.AccountID
	class   domain.ClassName
	dc      domain.DataCentre
	at      time.Time
}

func newLoad(c *cluster, d deployment) *load {
	return &load{c: c, d: d, stats: map[domain.ClassName]*classStats{}}
}

func (l *load) statsOf(class domain.ClassName) *classStats {
	t, ok := l.stats[class]
	if !ok {
		t = newClassStats()
		l.stats[class] = t
	}
	return t
}

func (l *load) updateStats(class domain.ClassName, f func(t *classStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.statsOf(class))
}

func (l *load) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *load) run(ctx context.Context, progress io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, loadDuration)
	defer cancel()
	began := time.Now()
	random := rand.New(rand.NewPCG(1, 2))
	interactive := time.NewTicker(time.Second / interactiveRate)
	once := time.NewTicker(time.Second / onceRate)
	gangs := time.NewTicker(gangInterval)
	report := time.NewTicker(5 * time.Second)
	for n := 0; ctx.Err() == nil; n++ {
		account := l.d.accounts[random.IntN(len(l.d.accounts))]
		select {
		case <-interactive.C:
			l.start(func() { l.sendRequest(l.d.interactive, account, fmt.Sprintf("i%d", n), rand.IntN(20)) })
		case <-once.C:
			l.start(func() { l.sendRequest(l.d.once, account, fmt.Sprintf("o%d", n), rand.IntN(20)) })
		case <-gangs.C:
			job := l.newJob(random, account, n)
			l.start(func() { l.submit(job) })
		case <-report.C:
			logProgress(progress, "%5.1fs %s", time.Since(began).Seconds(), l.progress())
		case <-ctx.Done():
		}
	}
	l.wg.Wait()
	logProgress(progress, "%5.1fs all work is submitted; waiting for the gangs", time.Since(began).Seconds())
	l.awaitJobs()
}

func (l *load) start(f func()) {
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
	for class, t := range l.stats {
		out += fmt.Sprintf("%s %d/%d  ", class, t.correct, t.submitted)
	}
	return out
}

// maxAttempts is the number of attempts after which a caller gives up a request.
const maxAttempts = 8

// sendRequest sends a request until it has an answer, as a caller behind the load
// balancer would: it retries with the same id at a random instance, after the pause
// that the refusal asks for but at most 1 s. It gives up after maxAttempts, or if an
// instance responds that the outcome is unknown and the class is not idempotent.
func (l *load) sendRequest(class domain.ClassName, account domain.AccountID, id string, millis int) {
	body, _ := json.Marshal(standin.Work{Duration: domain.Duration(time.Duration(millis) * time.Millisecond), Stream: millis%4 == 0, Size: 100 * millis})
	l.updateStats(class, func(t *classStats) { t.submitted++ })
	expectation := l.c.declared.Classes[class].Expectation.Std()
	began := time.Now()
	record := requestRecord{class: class, account: account, id: id, notRun: true}
	var last *domain.Refusal
	for range maxAttempts {
		refusal := l.attempt(class, account, id, body)
		if refusal == nil {
			record.whole = true
			break
		}
		last = refusal
		record.notRun = record.notRun && refusal.Outcome == domain.NotRun
		if refusal.Outcome == domain.Unknown && !l.c.declared.Classes[class].Idempotent && refusal.Reason != reasonNoResponse {
			break
		}
		time.Sleep(min(refusal.RetryAfter.Std(), time.Second))
	}
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.statsOf(class)
	l.requests = append(l.requests, record)
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

// reasonNoResponse is the caller's own reason for a call without a valid response.
const reasonNoResponse domain.Reason = "connection"

// attempt sends a request once and checks that the answer belongs to this request.
func (l *load) attempt(class domain.ClassName, account domain.AccountID, id string, body []byte) *domain.Refusal {
	alive := l.c.aliveInstances()
	target := alive[rand.IntN(len(alive))]
	request, err := http.NewRequest(http.MethodPost, "http://"+target.CallersAddress()+"/v1/requests/"+string(class), bytes.NewReader(body))
	if err != nil {
		return domain.OutcomeUnknown(reasonNoResponse, err.Error())
	}
	request.Header.Set("Authorization", "Bearer "+string(account)+"-development")
	request.Header.Set("Cobalttide-Request-Id", id)
	response, err := l.c.client.Do(request)
	if err != nil {
		return domain.OutcomeUnknown(reasonNoResponse, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return domain.OutcomeUnknown(reasonNoResponse, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(raw)
	}
	if want := standin.ExpectedAnswer(string(account), id, body); !strings.HasPrefix(string(raw), want) {
		l.addViolation("request %s of account %s got the answer to another request", id, account)
	}
	return nil
}

func decodeRefusal(raw []byte) *domain.Refusal {
	var refusal domain.Refusal
	if err := json.Unmarshal(raw, &refusal); err != nil {
		return domain.OutcomeUnknown(reasonNoResponse, string(raw))
	}
	return &refusal
}

// gangSizes are the numbers of tasks, each with 8 accelerators, of the demo's gangs.
// Gangs that can't be preempted use nonPreemptibleSizes, since they have to fit
// beside the guarantees.
var (
	gangSizes           = []int{1, 1, 1, 2, 2, 4, 8}
	nonPreemptibleSizes = []int{1, 1, 2, 4}
)

func (l *load) newJob(random *rand.Rand, account domain.AccountID, n int) domain.Job {
	dcs := l.c.fleet.DataCentres
	run := time.Duration(500+random.IntN(2500)) * time.Millisecond
	factor := []float64{0.25, 1, 1, 4}[random.IntN(4)] // estimates are inaccurate
	class := l.d.gangs[random.IntN(len(l.d.gangs))]
	sizes := gangSizes
	if !l.c.declared.Classes[class].Preemptible() {
		sizes = nonPreemptibleSizes
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
	l.updateStats(job.Class, func(t *classStats) { t.submitted++ })
	began := time.Now()
	for range 4 * maxAttempts {
		alive := l.c.aliveInstances()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := alive[rand.IntN(len(alive))].Submit(ctx, job)
		cancel()
		if err == nil {
			l.mu.Lock()
			l.accepted = append(l.accepted, acceptedJob{id: job.ID, account: job.Account, class: job.Class, dc: job.DataCentre, at: began})
			l.mu.Unlock()
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	l.updateStats(job.Class, func(t *classStats) { t.refused[domain.ReasonLogUnavailable]++ })
}

// awaitJobs waits for every accepted job to end, and counts the outcomes.
func (l *load) awaitJobs() {
	end := time.Now().Add(endTimeout)
	for _, job := range l.accepted {
		status := l.awaitJob(job, end)
		l.updateStats(job.class, func(t *classStats) {
			switch status.State {
			case domain.JobCompleted:
				t.correct++
				_ = t.times.RecordValue(status.Finished.Sub(job.at).Microseconds()) // its range is ten minutes
			case domain.JobUnknown:
				t.unknown++
			case domain.JobFailed:
				// Expected if a worker fails every task: a job that must not run
				// twice is not retried on another worker.
				t.failed++
			default:
				l.violations = append(l.violations, fmt.Sprintf("job %s of class %s in %s has the unexpected final state %s (%s)", job.id, job.class, job.dc, status.State, status.Cause))
			}
		})
	}
}

func (l *load) awaitJob(job acceptedJob, end time.Time) state.Status {
	for {
		status, err := l.c.jobStatus(job)
		if err == nil && (status.State.IsFinal() || time.Now().After(end)) {
			return status
		}
		if time.Now().After(end) {
			return status
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// jobStatus queries an instance of the job's data centre for the job's status.
func (c *cluster) jobStatus(job acceptedJob) (status state.Status, err error) {
	for _, m := range c.aliveInstances() {
		if m.Settings.DataCentre == job.dc {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return m.Job(ctx, job.account, job.id, job.dc)
		}
	}
	return status, domain.Refuse(domain.ReasonNotFound, "id", "no instance of the data centre is left", "")
}
