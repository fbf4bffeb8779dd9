package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

const (
	poolName  = "calendar-svc"
	heartbeat = 1500 * time.Millisecond
	// entryLife is the silence after which the store drops a minion's entry.
	entryLife = 3 * heartbeat
	perRack   = 8
)

// life is one incarnation of a minion.
type life struct {
	id      string
	worker  *workertest.Worker
	server  *http.Server
	lastPut time.Time
	// endedAt is when it crashed; zero if it has not.
	endedAt time.Time
	// removed is set while its entry is not in the list.
	removed bool
}

// machine is a machine on which one minion runs after the other, at one address.
type machine struct {
	index   int
	address string
	life    *life
	// cutOff is set while the minion's entries don't reach the store.
	cutOff bool
	// state and wave are what the machine service shows and has done.
	state string
	waves map[int64]bool
}

// pool is a set of machines with the store that lists their minions.
type pool struct {
	mu       sync.Mutex
	store    *standin.Store
	fleet    *workertest.Fleet
	machines []*machine
	// lives are all incarnations, whose entries expire by themselves.
	lives  []*life
	nextID int
	steps  map[workload.JobID][]workload.Step
	takes  map[workload.JobID]time.Duration
	record *recorder
	events []workertest.Event
	// upkeeps is when the upkeep of each minion's machine began.
	upkeeps map[string]time.Time
	stop    chan struct{}
}

func newPool(store *standin.Store, machines int, record *recorder) (*pool, error) {
	p := &pool{store: store, steps: map[workload.JobID][]workload.Step{}, takes: map[workload.JobID]time.Duration{}, upkeeps: map[string]time.Time{}, record: record, stop: make(chan struct{})}
	p.fleet = &workertest.Fleet{
		Limits: workertest.Limits{MaxLease: 6 * time.Second, StopTimeout: 150 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointEvery: time.Second, Restore: 100 * time.Millisecond},
		Step:   p.stepOf,
		Work: func(id workload.TaskID, _ int64, _ string) workertest.Work {
			return workertest.Work{Takes: p.takes[id.Job]}
		},
		OnEvent: p.onEvent,
	}
	for i := range machines {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		m := &machine{index: i, address: address, state: "up", waves: map[int64]bool{}}
		p.machines = append(p.machines, m)
		if err := p.begin(m); err != nil {
			return nil, err
		}
		p.put(m)
	}
	go p.run()
	return p, nil
}

func (p *pool) stepOf(id workload.TaskID) (workload.Step, bool) {
	steps := p.steps[id.Job]
	if id.Step >= len(steps) {
		return workload.Step{}, false
	}
	return steps[id.Step], true
}

func (p *pool) onEvent(e workertest.Event) {
	p.events = append(p.events, e)
	what := "start"
	if e.End != "" {
		what = "end " + string(e.End)
	}
	p.record.write("minion %s: %s of %s run %d", e.Worker, what, e.Task, e.Run)
}

// begin starts a new incarnation on a machine. p.mu must be held, but for the first ones.
func (p *pool) begin(m *machine) error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	p.nextID++
	now := time.Now()
	l := &life{id: fmt.Sprintf("i-%010x", p.nextID), removed: true}
	l.worker = p.fleet.Add(l.id, workload.Resources{MilliCPU: 32000, MemoryMiB: 65536, Accelerators: 8}, 1, now)
	l.server = &http.Server{Handler: p.handler(l), ReadHeaderTimeout: time.Second}
	m.life = l
	p.lives = append(p.lives, l)
	go func() { _ = l.server.Serve(listener) }()
	return nil
}

// crash ends the incarnation on a machine: its connections are reset, and what it ran is lost.
func (p *pool) crash(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.write("minion %s on machine %d crashes", m.life.id, m.index)
	p.fleet.Kill(m.life.id, time.Now())
	m.life.endedAt = time.Now()
	_ = m.life.server.Close()
}

// restart starts the next incarnation on a machine, under a new id at the same address.
func (p *pool) restart(m *machine) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(m); err != nil {
		return err
	}
	p.record.write("minion %s begins on machine %d", m.life.id, m.index)
	return nil
}

func (p *pool) rack(m *machine) string { return fmt.Sprintf("r1-%d", 1+m.index/perRack) }

// put writes the entry of a machine's minion into the store.
func (p *pool) put(m *machine) { p.putLife(m, m.life) }

func (p *pool) putLife(m *machine, l *life) {
	now, sent := time.Now(), time.Now()
	if !l.endedAt.IsZero() {
		sent = l.endedAt
	}
	value, err := json.Marshal(map[string]any{
		"service": poolName, "address": m.address, "zone": []string{"north-depot", "civic-hall", "south-yard"}[m.index%3], "version": "v1", "slots": 8,
		"state": "in_service", "cold_left_ms": 0, "seq": sent.UnixMilli(), "capacity": map[string]int64{"cpu": 32000, wire("memory"): 65536, "gpu": 8},
		"labels": []string{"a", p.rack(m)}, "clock_ms": l.worker.ClockMS(sent),
	})
	if err != nil {
		panic(err)
	}
	if l.removed {
		p.record.write("store: minion %s is listed", l.id)
	}
	l.lastPut, l.removed = now, false
	p.store.Put(wire("minions topic"), l.id, value)
}

// run writes heartbeats and drops entries that have expired, until the pool is stopped.
func (p *pool) run() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		p.mu.Lock()
		now := time.Now()
		p.fleet.Advance(now)
		for _, m := range p.machines {
			l := m.life
			if l.endedAt.IsZero() && !m.cutOff && now.Sub(l.lastPut) >= heartbeat {
				p.put(m)
			}
		}
		for _, l := range p.lives {
			if !l.removed && now.Sub(l.lastPut) > entryLife {
				l.removed = true
				p.record.write("store: the entry of minion %s has expired", l.id)
				p.store.Put(wire("minions topic"), l.id, nil)
			}
		}
		p.mu.Unlock()
	}
}

func (p *pool) close() {
	close(p.stop)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		_ = m.life.server.Close()
	}
}

// order is the body of a call to a minion.
type order struct {
	Task, Spec, Saved                    string
	Run, Deadline, Token, Cursor, WaitMS int64
	Percent                              int
}

func decodeOrder(body io.Reader) (order, error) {
	raw := map[string]json.RawMessage{}
	if err := json.NewDecoder(body).Decode(&raw); err != nil {
		return order{}, err
	}
	o := order{}
	for name, field := range map[string]any{
		"task": &o.Task, "run": &o.Run, "spec": &o.Spec, "deadline_ms": &o.Deadline, wire("token"): &o.Token,
		"saved": &o.Saved, wire("cursor"): &o.Cursor, "wait_ms": &o.WaitMS, "percent": &o.Percent,
	} {
		if text, sent := raw[name]; sent {
			if err := json.Unmarshal(text, field); err != nil {
				return order{}, err
			}
		}
	}
	return o, nil
}

var conflicts = map[control.Result]string{control.Fenced: "fence", control.Superseded: "old", control.Late: "late", control.Full: "room"}

func reply(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func answer(out http.ResponseWriter, a control.Answer) {
	if reason, refused := conflicts[a.Result]; refused {
		reply(out, http.StatusConflict, map[string]any{"clock_ms": a.ClockMS, "reason": reason})
		return
	}
	if a.Result != control.Accepted {
		reply(out, http.StatusBadRequest, map[string]any{"clock_ms": a.ClockMS})
		return
	}
	reply(out, http.StatusOK, map[string]any{"clock_ms": a.ClockMS})
}

// handler serves the calls to one incarnation.
func (p *pool) handler(l *life) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire("target header")) != l.id {
			p.record.write("minion %s answers 421 to %s for %s", l.id, r.URL.Path, r.Header.Get(wire("target header")))
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		o, err := decodeOrder(r.Body)
		if err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == wire("hold call") {
			p.hold(r.Context(), out, l, o)
			return
		}
		id, err := workload.ParseTaskID(o.Task)
		if err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		now := time.Now()
		var a control.Answer
		switch r.URL.Path {
		case wire("start call"):
			a = l.worker.Start(control.StartOrder{Task: id, Run: o.Run, Spec: o.Spec, Checkpoint: o.Saved, DeadlineMS: o.Deadline, Token: o.Token}, now)
		case wire("stop call"):
			a = l.worker.Stop(control.StopOrder{Task: id, Run: o.Run, Token: o.Token}, now)
		case wire("pace call"):
			a = l.worker.Throttle(control.ThrottleOrder{Task: id, Run: o.Run, Percent: o.Percent, Token: o.Token}, now)
		}
		p.mu.Unlock()
		if r.URL.Path == wire("start call") {
			p.record.write("minion %s: %s of %s run %d with token %d: %s", l.id, r.URL.Path, o.Task, o.Run, o.Token, a.Result)
		}
		answer(out, a)
	})
}

// hold answers a /hold call: at once if ends are listed, else after the wait.
func (p *pool) hold(ctx context.Context, out http.ResponseWriter, l *life, o order) {
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for {
		p.mu.Lock()
		a := l.worker.Renew(control.RenewalOrder{Token: o.Token, AcknowledgedEnd: o.Cursor, DeadlineMS: o.Deadline}, time.Now())
		p.mu.Unlock()
		if a.Result != control.Accepted {
			answer(out, control.Answer{Result: a.Result, ClockMS: a.ClockMS})
			return
		}
		if len(a.Ended) > 0 || !time.Now().Before(until) {
			running, ended := [][]any{}, [][]any{}
			for _, row := range a.Running {
				running = append(running, []any{row.Task.String(), row.Run, row.Checkpoint, row.Percent, row.Metric})
			}
			for _, row := range a.Ended {
				ended = append(ended, []any{row.Number, row.Task.String(), row.Run, string(row.End), row.Checkpoint})
			}
			reply(out, http.StatusOK, map[string]any{"clock_ms": a.ClockMS, "running_tasks": running, "ended": ended})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// snapshot returns the starts and ends so far.
func (p *pool) snapshot() []workertest.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]workertest.Event(nil), p.events...)
}
