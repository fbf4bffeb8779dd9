package control_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// centres is a planner over workers of 8 accelerators, two in each of two data centres.
type centres struct {
	*control.Core
	now  time.Time
	list []control.Listing
}

func newCentres(t *testing.T, change func(*control.Bounds)) *centres {
	t.Helper()
	bounds := simBounds
	if change != nil {
		change(&bounds)
	}
	c := &centres{now: time.Unix(1000, 0)}
	c.Core = control.New(bounds, 1, c.now)
	c.Configure(control.Configuration{Version: 1})
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		c.list = append(c.list, control.Listing{
			ID: id, Address: id, Rack: "rack-" + id[:1], DataCentre: id[:1], ClockMS: 1000,
			Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8},
		})
	}
	c.meet()
	return c
}

func (c *centres) meet() {
	c.List(c.list, c.now)
	for _, l := range c.list {
		c.Held(control.HoldOrder{Worker: l.ID, Token: 1}, control.HoldAnswer{Verdict: control.Accepted, ClockMS: 1000}, c.now, c.now)
	}
}

func (c *centres) submit(id workload.JobID, step workload.Step) {
	c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Steps: []workload.Step{step}, Terms: workload.Terms{Priority: 1, Attempts: 3, Stretch: 3}}})
}

// decide makes a round and returns the records that it wants written.
func (c *centres) decide() []control.Record {
	c.Round(c.now, c.now.UnixMilli())
	return c.Changes()
}

// starts makes a round and returns the workers that are given tasks.
func (c *centres) starts() []string {
	c.decide()
	return workersOf(c.Persisted(c.now))
}

func workersOf(orders []control.StartOrder) []string {
	var out []string
	for _, o := range orders {
		out = append(out, o.Worker)
	}
	slices.Sort(out)
	return out
}

func (c *centres) pass(d time.Duration) { c.now = c.now.Add(d) }

func (c *centres) noted(event string) string {
	for _, n := range c.Notes() {
		if n.Event == event {
			return n.Detail
		}
	}
	return ""
}

var whole = workload.Step{Count: 4, Need: need(8)}

func TestAnEvacuatedDataCentreGetsNothingNewUntilItIsTakenBack(t *testing.T) {
	c := newCentres(t, nil)
	c.Evacuate([]string{"a"}, c.now)
	if got := c.noted(control.EventEvacuationBegins); got != "centre=a runs=0" {
		t.Fatalf("noted as %q", got)
	}
	c.submit(jobA, whole)
	if got := c.starts(); !slices.Equal(got, []string{"b0", "b1"}) {
		t.Fatalf("started on %v", got)
	}
	if left := c.Evacuated(c.now); left != (control.Evacuated{Centres: 1}) {
		t.Fatalf("left: %+v", left)
	}
	if c.noted(control.EventEvacuationEmpty) == "" {
		t.Fatal("an empty data centre is not noted")
	}
	c.pass(time.Second)
	c.Evacuate(nil, c.now)
	if got := c.noted(control.EventEvacuationEnds); got != "centre=a runs=0 lasted_ms=1000" {
		t.Fatalf("noted as %q", got)
	}
	if got := c.starts(); !slices.Equal(got, []string{"a0", "a1"}) {
		t.Fatalf("after it was taken back: started on %v", got)
	}
}

func TestWhatRunsInAnEvacuatedDataCentreGoesOn(t *testing.T) {
	c := newCentres(t, nil)
	c.submit(jobA, whole)
	if got := c.starts(); len(got) != 4 {
		t.Fatalf("started on %v", got)
	}
	c.Evacuate([]string{"a"}, c.now)
	c.pass(time.Second)
	c.decide()
	if stops := c.Stops(); len(stops) != 0 {
		t.Fatalf("stopped: %+v", stops)
	}
	if left := c.Evacuated(c.now); left.Runs != 2 {
		t.Fatalf("left: %+v", left)
	}
	if ids := c.NeedsHold(c.now); !slices.Contains(ids, "a0") || !slices.Contains(ids, "a1") {
		t.Fatalf("only %v are held on", ids)
	}
}

// A write may take seconds, and the request may be read meanwhile. So may a drain, and
// an entry that has become unreadable.
func TestAStartThatWasDecidedBeforeItsWorkerWasRemovedIsTakenBack(t *testing.T) {
	for name, remove := range map[string]func(*centres){
		"evacuated":  func(c *centres) { c.Evacuate([]string{"a"}, c.now) },
		"draining":   func(c *centres) { c.list[0].Draining, c.list[1].Draining = true, true; c.List(c.list, c.now) },
		"unreadable": func(c *centres) { c.list[0].Unreadable, c.list[1].Unreadable = true, true; c.List(c.list, c.now) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCentres(t, nil)
			c.submit(jobA, whole)
			gang := whole
			gang.Gang, gang.Need = true, workload.Resources{MilliCPU: 1000}
			c.submit(jobB, gang)
			c.decide()
			remove(c)
			for _, o := range c.Persisted(c.now) {
				if o.Worker[0] == 'a' {
					t.Errorf("%v is started on %s", o.Task, o.Worker)
				}
				if o.Task.Job == jobB {
					t.Errorf("member %d of a gang that is not whole is started", o.Task.Index)
				}
			}
			again := 0
			c.decide()
			for _, o := range c.Persisted(c.now) {
				if o.Worker[0] == 'a' {
					t.Errorf("%v is started on %s in the next round", o.Task, o.Worker)
				}
				if o.Task.Job == jobB {
					again++
				}
			}
			if again != 4 {
				t.Errorf("%d of 4 members are started elsewhere", again)
			}
		})
	}
}

func TestAStartWithoutAnAnswerIsNotRepeatedInAnEvacuatedDataCentre(t *testing.T) {
	c := newCentres(t, nil)
	c.submit(jobA, workload.Step{Count: 1, Need: need(8)})
	c.Evacuate([]string{"b"}, c.now)
	c.decide()
	order := c.Persisted(c.now)[0]
	c.Started(order, control.Answer{Verdict: control.Unanswered}, c.now)
	c.Evacuate([]string{"a"}, c.now)
	for range 100 {
		c.pass(50 * time.Millisecond)
		if again := c.Due(c.now); len(again) > 0 {
			t.Fatalf("repeated on %s", again[0].Worker)
		}
	}
	if stops := c.Stops(); len(stops) == 0 || stops[0].Worker != "a0" && stops[0].Worker != "a1" {
		t.Fatalf("its worker is not told to refuse it: %+v", stops)
	}
}

// Work whose data lies in a data centre that is evacuated, or that fits into a rack
// there alone, does not wait for it.
func TestNothingWaitsForAnEvacuatedDataCentre(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"data":     {Count: 1, Need: need(1), DataRack: "rack-a"},
		"one rack": {Count: 2, Need: need(8), Gang: true, SameRack: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCentres(t, func(b *control.Bounds) { b.FarFactor = 3 })
			c.Evacuate([]string{"a"}, c.now)
			c.submit(jobA, step)
			if got := c.starts(); len(got) != step.Count || got[0][0] != 'b' {
				t.Fatalf("started on %v", got)
			}
		})
	}
}

// A cold worker is slow for a while: work whose time is short goes elsewhere, single
// tasks behind it go there first, and it counts as warm when its time is over.
func TestColdWorkersAreTakenForSlowOnes(t *testing.T) {
	c := newCentres(t, nil)
	for i := range c.list {
		if c.list[i].DataCentre == "a" {
			c.list[i].ColdMS = 2000
		}
	}
	c.List(c.list, c.now)
	c.pass(time.Second)
	// Entries are read again with each change of others: the time does not begin anew.
	c.List(c.list, c.now)
	c.submit(jobA, workload.Step{Count: 1, Need: need(1)})
	if got := c.starts(); got[0][0] != 'a' {
		t.Fatalf("a task that can wait starts on %v", got)
	}
	c.Adopt(jobB, workload.Entry{Job: &workload.Job{ID: jobB, Steps: []workload.Step{{Count: 2, Need: need(4), Gang: true}}, Terms: workload.Terms{Stretch: 2, TargetMS: 5000, Attempts: 1}}})
	if got := c.starts(); len(got) != 2 || got[0][0] != 'b' || got[1][0] != 'b' {
		t.Fatalf("urgent work starts on %v", got)
	}
	c.pass(1100 * time.Millisecond)
	c.Adopt(jobC, workload.Entry{Job: &workload.Job{ID: jobC, Steps: []workload.Step{{Count: 1, Need: need(7), Gang: true}}, Terms: workload.Terms{Stretch: 2, TargetMS: 5000, Attempts: 1}}})
	if got := c.starts(); len(got) != 1 || got[0][0] != 'a' {
		t.Fatalf("after it is warm: started on %v", got)
	}
}

const jobC = workload.JobID("00000000000000cc")

// evacuating lets data centres of a world be evacuated and taken back again and again,
// with planners that read of it late, writes that take long, and everything else that
// disturbs a world.
type evacuating struct {
	*simulation
	// asked is since when a data centre is evacuated; views are what was asked, by time.
	asked map[string]time.Time
	views []view
	// lag is how late declarations are read, write how long a write takes.
	lag, write time.Duration
	mutant     evacuationMutant
}

type view struct {
	at      time.Time
	centres []string
}

// evacuationMutant breaks one of the steps that keep starts out of a data centre.
type evacuationMutant struct {
	// early: what was read is not looked at again between a decision and its orders.
	early bool
	// blind: a successor plans before it has read the declarations.
	blind bool
	// newest: only the newest request counts.
	newest bool
}

func centreOf(worker string) string { return string(worker[len(worker)-1]%2 + 'a') }

// read is what a planner knows of at a time.
func (e *evacuating) read(now time.Time) []string {
	var out []string
	for _, v := range e.views {
		if !v.at.Add(e.lag).After(now) {
			out = v.centres
		}
	}
	if e.mutant.newest && len(out) > 1 {
		out = out[len(out)-1:]
	}
	return out
}

// turn evacuates a data centre, or takes it back.
func (e *evacuating) turn() {
	centre := string('a' + byte(e.rng.Intn(2)))
	if _, asked := e.asked[centre]; asked {
		delete(e.asked, centre)
	} else {
		e.asked[centre] = e.now
	}
	var all []string
	for name := range e.asked {
		all = append(all, name)
	}
	slices.SortFunc(all, func(a, b string) int { return e.asked[a].Compare(e.asked[b]) })
	e.views = append(e.views, view{e.now, all})
}

func (e *evacuating) places(s *planner, began time.Time) {
	if e.mutant.blind && e.now.Sub(began) < 5*time.Second {
		return
	}
	s.core.Evacuate(e.read(e.now), e.now)
}

// play is one planner's rounds: between a decision and its orders lies a write.
func (e *evacuating) play(s *planner, began time.Time) {
	list := e.listings()
	for i := range list {
		list[i].DataCentre = centreOf(list[i].ID)
	}
	for _, id := range e.jobIDs {
		s.core.Adopt(workload.JobID(id), e.entry(workload.JobID(id)))
	}
	s.core.List(list, e.now)
	e.places(s, began)
	s.core.Round(e.now, e.now.UnixMilli())
	for _, r := range s.core.Changes() {
		e.log[r.Key] = r.Value
	}
	for until := e.now.Add(e.write); e.now.Before(until); {
		e.tick(20 * time.Millisecond)
		if !e.mutant.early {
			e.places(s, began)
		}
		e.give(s, s.core.Due(e.now))
		e.sendOrders(s)
	}
	if !e.mutant.early {
		e.places(s, began)
	}
	e.give(s, s.core.Persisted(e.now))
	e.give(s, s.core.Due(e.now))
	e.sendOrders(s)
}

func (e *evacuating) give(s *planner, orders []control.StartOrder) {
	for _, o := range orders {
		e.check(o)
		e.sendStart(s, o)
	}
}

// check holds an order against what was asked for.
func (e *evacuating) check(o control.StartOrder) {
	since, asked := e.asked[centreOf(o.Worker)]
	if asked && e.now.Sub(since) > e.lag+40*time.Millisecond {
		e.violation("%v is started in %s, which was evacuated %v ago", o.Task, centreOf(o.Worker), e.now.Sub(since))
	}
}

func playEvacuating(seed int64, m evacuationMutant) *evacuating {
	e := &evacuating{simulation: newSimulation(seed, true), asked: map[string]time.Time{}, mutant: m}
	e.lag = time.Duration(e.rng.Intn(800)) * time.Millisecond
	began := e.now
	e.startPlanner(nil)
	for i := range 120 {
		// Seats play here, not in tick.
		s := e.planners[len(e.planners)-1]
		seats := e.planners
		e.planners = nil
		e.write = time.Duration(e.rng.Intn(10)) * time.Millisecond
		if e.rng.Intn(8) == 0 {
			e.write = time.Duration(e.rng.Intn(3000)) * time.Millisecond
		}
		if i%5 == 0 {
			e.submit(i / 5)
		}
		if e.rng.Intn(6) == 0 {
			e.turn()
		}
		e.play(s, began)
		e.tick(60 * time.Millisecond)
		e.planners = append(seats, e.planners...)
		if e.rng.Intn(20) == 0 {
			s.dead = true
			began = e.now
			e.startPlanner(nil)
		}
		if len(e.violations) > 0 {
			return e
		}
	}
	return e
}

func TestNoStartGoesOutIntoAnEvacuatedDataCentre(t *testing.T) {
	worlds, starts := 150, 0
	if testing.Short() {
		worlds = 20
	}
	for seed := range worlds {
		e := playEvacuating(int64(seed), evacuationMutant{})
		starts += e.startCount
		if len(e.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, e.violations)
		}
	}
	if starts < worlds {
		t.Fatalf("%d starts in %d worlds show nothing", starts, worlds)
	}
}

func TestEveryMutantOfEvacuationsIsCaught(t *testing.T) {
	for name, m := range map[string]evacuationMutant{
		"declarations are read before decisions alone": {early: true},
		"a successor has not read the declarations":    {blind: true},
		"only the newest request counts":               {newest: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range mutantSeeds {
				e := playEvacuating(int64(seed), m)
				for _, p := range e.violations {
					if strings.Contains(p, "evacuated") {
						t.Logf("caught at seed %d: %s", seed, p)
						return
					}
				}
			}
			t.Fatalf("not caught in %d worlds", mutantSeeds)
		})
	}
}

// A planner that has not read yet where its workers are does not say that nothing runs in an evacuated data centre.
func TestNoDataCentreIsEmptyWhileAWorkerWithRunsIsNotListed(t *testing.T) {
	first := newCentres(t, nil)
	first.submit(jobA, whole)
	entry := workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{whole}, Terms: workload.Terms{Priority: 1, Attempts: 3, Stretch: 3}}}
	for _, r := range first.decide() {
		if r.Key == workload.ProgressKey(jobA) {
			entry.Progress = r.Value
		}
	}
	next := &centres{now: first.now, list: first.list, Core: control.New(simBounds, 2, first.now)}
	next.Configure(control.Configuration{Version: 1})
	next.Adopt(jobA, entry)
	next.Evacuate([]string{"a"}, next.now)
	if left := next.Evacuated(next.now); left.Runs == 0 || next.noted(control.EventEvacuationEmpty) != "" {
		t.Fatalf("left before the list is read: %+v", left)
	}
	next.List(next.list, next.now)
	if left := next.Evacuated(next.now); left != (control.Evacuated{Centres: 1, Runs: 2}) || next.noted(control.EventEvacuationEmpty) != "" {
		t.Fatalf("left after it was read: %+v", left)
	}
}
