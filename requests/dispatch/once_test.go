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

// A script is what happens in one world: callers that repeat their requests at
// other instances, and faults. It is drawn first and then played in fake time
// with the real keeper, journal, ledger and follower of each instance.
type script struct {
	tries  []try
	faults []logFault
	kills  []time.Duration // by instance; 0 never
	cuts   []logFault      // by instance: its own way to the log
}

// try is one call of a caller.
type try struct {
	at       time.Duration
	instance int
	id       int
	patience time.Duration
	// pause is between the right to dispatch and the dispatch.
	pause   time.Duration
	backend string
}

type logFault struct {
	from, to time.Duration
	faults   standin.LogFaults
}

const instances = 3

var backendFates = []string{"answers", "answers", "runs and drops the answer", "refuses"}

func drawScript(t *rapid.T) script {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	var s script
	for range rapid.IntRange(2, 10).Draw(t, "tries") {
		s.tries = append(s.tries, try{
			at: ms("at", 4000), instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
			id: rapid.IntRange(0, 1).Draw(t, "id"), patience: 100*time.Millisecond + ms("patience", 4000),
			pause:   rapid.SampledFrom([]time.Duration{0, 0, 20 * time.Millisecond, 2 * time.Second, 90 * time.Second}).Draw(t, "pause"),
			backend: rapid.SampledFrom(backendFates).Draw(t, "backend"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "faults") {
		from := ms("from", 3000)
		s.faults = append(s.faults, logFault{from: from, to: from + ms("for", 3000), faults: standin.LogFaults{
			Down: rapid.Bool().Draw(t, "down"), Slow: domain.Duration(ms("slow", 1500)), LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose"),
		}})
	}
	for range instances {
		s.kills = append(s.kills, rapid.SampledFrom([]time.Duration{0, 0, 500 * time.Millisecond, 2 * time.Second}).Draw(t, "kill"))
		from := ms("cut from", 3000)
		s.cuts = append(s.cuts, logFault{from: from, to: from + ms("cut for", 2000)})
	}
	return s
}

// cuttable is one instance's way to the log.
type cuttable struct {
	port.Log
	mu  sync.Mutex
	cut bool
}

func (c *cuttable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cuttable) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cuttable) Append(ctx context.Context, s port.Stream, r []port.Record) (int64, error) {
	if c.isCut() {
		return 0, errors.New("cut off")
	}
	return c.Log.Append(ctx, s, r)
}

func (c *cuttable) Read(ctx context.Context, s port.Stream, from int64) (port.Page, error) {
	if c.isCut() {
		return port.Page{}, errors.New("cut off")
	}
	return c.Log.Read(ctx, s, from)
}

// player plays a script.
type player struct {
	log       *standin.Log
	mutate    func(*attempt.Options)
	instances []*player1

	mu sync.Mutex
	// ran counts runs by request, and by try.
	ran     map[int]int
	ranTry  map[int]int
	answers map[int][]string
	notRun  []int // tries that were told so
	whole   int
}

// player1 is one instance.
type player1 struct {
	way     *cuttable
	keeper  *attempt.Keeper
	journal *state.Journal
	cancel  context.CancelFunc
	ctx     context.Context
}

func (p *player) start(i int) *player1 {
	way := &cuttable{Log: p.log}
	ctx, cancel := context.WithCancel(context.Background())
	in := &player1{way: way, journal: state.NewJournal(way, state.DefaultJournalOptions()), ctx: ctx, cancel: cancel}
	ledger := attempt.NewLedger()
	options := attempt.DefaultOptions()
	if p.mutate != nil {
		p.mutate(&options)
	}
	in.keeper = &attempt.Keeper{Instance: domain.InstanceID(fmt.Sprint("i", i)), Journal: in.journal, Ledger: ledger, Options: options}
	follower := &state.Follower{Log: way, Stream: state.AttemptStream, From: ledger.Offset, Apply: func(e port.Entry) {
		if err := ledger.FoldEntry(e); err != nil {
			panic(err) // the script writes only records that can be read
		}
		in.journal.Seen(state.AttemptStream, e)
	}}
	go follower.Run(ctx)
	return in
}

// play returns the first broken promise, or "".
func (p *player) play(s script) string {
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
		wg.Go(func() { p.disturb(in, s.kills[i], s.cuts[i]) })
	}
	for n, t := range s.tries {
		wg.Go(func() { p.try(n, t) })
	}
	wg.Wait()
	for _, in := range p.instances {
		in.cancel()
		in.journal.Close()
	}
	return p.verdict()
}

func (p *player) disturb(in *player1, kill time.Duration, cut logFault) {
	time.Sleep(cut.from)
	in.way.set(true)
	time.Sleep(cut.to - cut.from)
	in.way.set(false)
	if kill > 0 {
		time.Sleep(kill)
		in.cancel()
		in.journal.Close()
	}
}

func (p *player) try(n int, t try) {
	time.Sleep(t.at)
	in := p.instances[t.instance]
	if in.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(in.ctx, t.patience)
	defer cancel()
	last := func(context.Context, any) (any, error) { return p.dispatch(n, t, in) }
	call := &dispatch.Call{ID: fmt.Sprint("r", t.id), Account: "a", ClassName: "c", Body: []byte("body")}
	response, err := dispatch.Deduplicate(in.keeper)(last)(ctx, call)
	if err != nil {
		if domain.AsRefusal(err).Outcome == domain.NotRun {
			p.mu.Lock()
			p.notRun = append(p.notRun, n)
			p.mu.Unlock()
		}
		return
	}
	answer := response.(*dispatch.Answer)
	raw, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close() // it is read
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[t.id] = append(p.answers[t.id], string(raw))
	p.whole++
}

// dispatch is the backend server. A process that was killed during its pause
// dispatches nothing; one that was only paused does.
func (p *player) dispatch(n int, t try, in *player1) (any, error) {
	time.Sleep(t.pause)
	if in.ctx.Err() != nil {
		return nil, in.ctx.Err()
	}
	if t.backend == "refuses" {
		return nil, domain.Refuse(domain.ReasonDraining, "", "leaving", "")
	}
	p.mu.Lock()
	p.ran[t.id]++
	p.ranTry[n]++
	p.mu.Unlock()
	if t.backend != "answers" {
		return nil, domain.OutcomeUnknown(domain.ReasonBackendFailed, "dropped")
	}
	body := []byte(fmt.Sprint("answer of try ", n))
	return &dispatch.Answer{Status: 200, Length: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}, nil
}

func (p *player) verdict() string {
	for id, n := range p.ran {
		if n > 1 {
			return fmt.Sprintf("request %d ran %d times", id, n)
		}
	}
	for _, n := range p.notRun {
		if p.ranTry[n] > 0 {
			return fmt.Sprintf("try %d ran, but its caller was told that it did not", n)
		}
	}
	for id, answers := range p.answers {
		for _, a := range answers {
			if a != answers[0] {
				return fmt.Sprintf("request %d got two answers: %q and %q", id, answers[0], a)
			}
		}
	}
	return ""
}

// playScript plays a script in fake time and returns the verdict.
func playScript(t *testing.T, s script, mutate func(*attempt.Options)) (verdict string, whole int) {
	synctest.Test(t, func(*testing.T) {
		p := &player{mutate: mutate, ran: map[int]int{}, ranTry: map[int]int{}, answers: map[int][]string{}}
		verdict = p.play(s)
		whole = p.whole
	})
	return verdict, whole
}

func TestRequestsRunAtMostOnceWhateverFails(t *testing.T) {
	whole := 0
	rapid.Check(t, func(rt *rapid.T) {
		verdict, n := playScript(t, drawScript(rt), nil)
		whole += n
		if verdict != "" {
			rt.Fatalf("%s", verdict)
		}
	})
	if whole == 0 {
		t.Error("no request was ever answered: the property holds of nothing")
	}
	t.Logf("%d whole answers", whole)
}

func TestAtMostOnceCatchesMutants(t *testing.T) {
	mutants := map[string]func(*attempt.Options){
		"dispatched although the record failed": func(o *attempt.Options) { o.DispatchUnrecorded = true },
		"dispatched although another was first": func(o *attempt.Options) { o.IgnoreOrder = true },
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			caught := seeded.Catches(t, func(rt *rapid.T) {
				if verdict, _ := playScript(t, drawScript(rt), mutate); verdict != "" {
					rt.Fatalf("%s", verdict)
				}
			})
			if !caught {
				t.Fatal("the property does not notice this mutant")
			}
		})
	}
}
