package dispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/seeded"
	"github.com/cobalttide/cobalttide/port"
	"github.com/cobalttide/cobalttide/requests/attempt"
	"github.com/cobalttide/cobalttide/requests/dispatch"
	"github.com/cobalttide/cobalttide/standin"
	"github.com/cobalttide/cobalttide/state"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// scenario lists the events of one simulation: callers that repeat their requests
// at other instances, and faults. It is generated first and then run in fake time
// with the real keeper, journal, ledger and follower of each instance.
type scenario struct {
	calls      []clientCall
	faults     []logFault
	killTimes  []time.Duration // by instance; 0 means never
	partitions []logFault      // by instance: when it cannot reach the log
}

// clientCall is one call by a caller.
type clientCall struct {
	at       time.Duration
	instance int
	id       int
	timeout  time.Duration
	// pause is the delay between permission to dispatch and the dispatch.
	pause            time.Duration
	backendBehaviour string
}

type logFault struct {
	from, to time.Duration
	faults   standin.LogFaults
}

const instances = 3

var backendBehaviours = []string{"answers", "answers", "runs and drops the answer", "refuses"}

func drawScenario(t *rapid.T) scenario {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	var s scenario
	for range rapid.IntRange(2, 10).Draw(t, "tries") {
		s.calls = append(s.calls, clientCall{
			at: ms("at", 4000), instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
			id: rapid.IntRange(0, 1).Draw(t, "id"), timeout: 100*time.Millisecond + ms("patience", 4000),
			pause:            rapid.SampledFrom([]time.Duration{0, 0, 20 * time.Millisecond, 2 * time.Second, 90 * time.Second}).Draw(t, "pause"),
			backendBehaviour: rapid.SampledFrom(backendBehaviours).Draw(t, "backend"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "faults") {
		from := ms("from", 3000)
		s.faults = append(s.faults, logFault{from: from, to: from + ms("for", 3000), faults: standin.LogFaults{
			Down: rapid.Bool().Draw(t, "down"), Slow: domain.Duration(ms("slow", 1500)), LoseResponses: rapid.IntRange(0, 2).Draw(t, "lose"),
		}})
	}
	for range instances {
		s.killTimes = append(s.killTimes, rapid.SampledFrom([]time.Duration{0, 0, 500 * time.Millisecond, 2 * time.Second}).Draw(t, "kill"))
		from := ms("cut from", 3000)
		s.partitions = append(s.partitions, logFault{from: from, to: from + ms("cut for", 2000)})
	}
	return s
}

// partitionableLog is one instance's connection to the log.
type partitionableLog struct {
	port.Log
	mu          sync.Mutex
	partitioned bool
}

func (c *partitionableLog) setPartitioned(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = cut
}

func (c *partitionableLog) isPartitioned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned
}

func (c *partitionableLog) Append(ctx context.Context, s port.Stream, r []port.Record) (int64, error) {
	if c.isPartitioned() {
		return 0, errors.New("cut off")
	}
	return c.Log.Append(ctx, s, r)
}

func (c *partitionableLog) Read(ctx context.Context, s port.Stream, from int64) (port.Page, error) {
	if c.isPartitioned() {
		return port.Page{}, errors.New("cut off")
	}
	return c.Log.Read(ctx, s, from)
}

// simulation runs a scenario.
type simulation struct {
	log       *standin.Log
	mutate    func(*attempt.Options)
	instances []*simInstance

	mu sync.Mutex
	// runsByRequest and runsByCall count the runs on backend servers.
	runsByRequest    map[int]int
	runsByCall       map[int]int
	answersByRequest map[int][]string
	reportedNotRun   []int // calls that were refused with outcome NotRun
	completeAnswers  int
}

// simInstance is one simulated instance.
type simInstance struct {
	log     *partitionableLog
	keeper  *attempt.Coordinator
	journal *state.Journal
	cancel  context.CancelFunc
	ctx     context.Context
}

func (p *simulation) start(i int) *simInstance {
	log := &partitionableLog{Log: p.log}
	ctx, cancel := context.WithCancel(context.Background())
	in := &simInstance{log: log, journal: state.NewJournal(log, state.DefaultJournalOptions()), ctx: ctx, cancel: cancel}
	ledger := attempt.NewLedger()
	options := attempt.DefaultOptions()
	if p.mutate != nil {
		p.mutate(&options)
	}
	in.keeper = &attempt.Coordinator{Instance: domain.InstanceID(fmt.Sprint("i", i)), Journal: in.journal, Ledger: ledger, Options: options}
	follower := &state.Follower{Log: log, Stream: state.AttemptStream, NextOffset: ledger.Offset, Apply: func(e port.Entry) {
		if err := ledger.FoldEntry(e); err != nil {
			panic(err) // the simulation writes only decodable records
		}
		in.journal.ConfirmRead(state.AttemptStream, e)
	}}
	go follower.Run(ctx)
	return in
}

// run runs the scenario and returns the first violated invariant, or "".
func (p *simulation) run(s scenario) string {
	p.log = standin.NewLog(200 * time.Millisecond)
	for i := range instances {
		p.instances = append(p.instances, p.start(i))
	}
	var wg sync.WaitGroup
	for _, f := range s.faults {
		wg.Go(func() {
			time.Sleep(f.from)
			p.log.SetFaults(f.faults)
			time.Sleep(f.to - f.from)
			p.log.SetFaults(standin.LogFaults{})
		})
	}
	for i, in := range p.instances {
		wg.Go(func() { p.injectFaults(in, s.killTimes[i], s.partitions[i]) })
	}
	for n, t := range s.calls {
		wg.Go(func() { p.runCall(n, t) })
	}
	wg.Wait()
	for _, in := range p.instances {
		in.cancel()
		in.journal.Close()
	}
	return p.checkInvariants()
}

func (p *simulation) injectFaults(in *simInstance, kill time.Duration, cut logFault) {
	time.Sleep(cut.from)
	in.log.setPartitioned(true)
	time.Sleep(cut.to - cut.from)
	in.log.setPartitioned(false)
	if kill > 0 {
		time.Sleep(kill)
		in.cancel()
		in.journal.Close()
	}
}

func (p *simulation) runCall(n int, t clientCall) {
	time.Sleep(t.at)
	in := p.instances[t.instance]
	if in.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(in.ctx, t.timeout)
	defer cancel()
	last := func(context.Context, any) (any, error) { return p.dispatch(n, t, in) }
	call := &dispatch.Call{ID: fmt.Sprint("r", t.id), Account: "a", ClassName: "c", Body: []byte("body")}
	response, err := dispatch.Deduplicate(in.keeper)(last)(ctx, call)
	if err != nil {
		if domain.AsRefusal(err).Outcome == domain.NotRun {
			p.mu.Lock()
			p.reportedNotRun = append(p.reportedNotRun, n)
			p.mu.Unlock()
		}
		return
	}
	answer := response.(*dispatch.Answer)
	raw, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close() // already read to its end
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersByRequest[t.id] = append(p.answersByRequest[t.id], string(raw))
	p.completeAnswers++
}

// dispatch simulates the backend server. An instance that was killed during its
// pause does not dispatch; one that was only paused does.
func (p *simulation) dispatch(n int, t clientCall, in *simInstance) (any, error) {
	time.Sleep(t.pause)
	if in.ctx.Err() != nil {
		return nil, in.ctx.Err()
	}
	if t.backendBehaviour == "refuses" {
		return nil, domain.Refuse(domain.ReasonDraining, "", "leaving", "")
	}
	p.mu.Lock()
	p.runsByRequest[t.id]++
	p.runsByCall[n]++
	p.mu.Unlock()
	if t.backendBehaviour != "answers" {
		return nil, domain.OutcomeUnknown(domain.ReasonBackendFailed, "dropped")
	}
	body := []byte(fmt.Sprint("answer of try ", n))
	return &dispatch.Answer{Status: 200, Length: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}, nil
}

func (p *simulation) checkInvariants() string {
	for id, n := range p.runsByRequest {
		if n > 1 {
			return fmt.Sprintf("request %d ran %d times", id, n)
		}
	}
	for _, n := range p.reportedNotRun {
		if p.runsByCall[n] > 0 {
			return fmt.Sprintf("call %d ran, but was refused with outcome not-run", n)
		}
	}
	for id, answers := range p.answersByRequest {
		for _, a := range answers {
			if a != answers[0] {
				return fmt.Sprintf("request %d received two different answers: %q and %q", id, answers[0], a)
			}
		}
	}
	return ""
}

// runScenario runs a scenario in fake time and returns the first violated
// invariant, or "", and the number of complete answers.
func runScenario(t *testing.T, s scenario, mutate func(*attempt.Options)) (violation string, completeAnswers int) {
	synctest.Test(t, func(*testing.T) {
		p := &simulation{mutate: mutate, runsByRequest: map[int]int{}, runsByCall: map[int]int{}, answersByRequest: map[int][]string{}}
		violation = p.run(s)
		completeAnswers = p.completeAnswers
	})
	return violation, completeAnswers
}

func TestRequestsRunAtMostOnceWhateverFails(t *testing.T) {
	completeAnswers := 0
	rapid.Check(t, func(rt *rapid.T) {
		violation, n := runScenario(t, drawScenario(rt), nil)
		completeAnswers += n
		if violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
	if completeAnswers == 0 {
		t.Error("no request was answered, so the property was not exercised")
	}
	t.Logf("%d complete answers", completeAnswers)
}

func TestAtMostOnceCatchesMutants(t *testing.T) {
	mutants := map[string]func(*attempt.Options){
		"dispatched although the record failed": func(o *attempt.Options) { o.DispatchUnrecorded = true },
		"dispatched although another was first": func(o *attempt.Options) { o.IgnoreOrder = true },
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			caught := seeded.FailsForAnySeed(t, func(rt *rapid.T) {
				if violation, _ := runScenario(t, drawScenario(rt), mutate); violation != "" {
					rt.Fatalf("%s", violation)
				}
			})
			if !caught {
				t.Fatal("the property does not detect this mutant")
			}
		})
	}
}
