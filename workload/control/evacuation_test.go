package control_test

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// evacuationScenario is a planner with workers of 8 accelerators, two in each of two data centres.
type evacuationScenario struct {
	*control.Core
	now  time.Time
	list []control.Listing
}

func newEvacuationScenario(t *testing.T, change func(*control.Bounds)) *evacuationScenario {
	t.Helper()
	bounds := simBounds
	if change != nil {
		change(&bounds)
	}
	c := &evacuationScenario{now: time.Unix(1000, 0)}
	c.Core = control.New(bounds, 1, c.now)
	c.Configure(control.Configuration{Version: 1})
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		c.list = append(c.list, control.Listing{
			ID: id, Address: id, Rack: "rack-" + id[:1], DataCentre: id[:1], ClockMS: 1000,
			Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8},
		})
	}
	c.contactWorkers()
	return c
}

func (c *evacuationScenario) contactWorkers() {
	c.SetWorkers(c.list, c.now)
	for _, l := range c.list {
		c.HandleRenewal(control.RenewalOrder{Worker: l.ID, Token: 1}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1000}, c.now, c.now)
	}
}

func (c *evacuationScenario) submit(id workload.JobID, step workload.Step) {
	c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Steps: []workload.Step{step}, QueueSettings: workload.QueueSettings{Priority: 1, MaxAttempts: 3, Stretch: 3}}})
}

// runRound runs one round and returns the records to write.
func (c *evacuationScenario) runRound() []control.Record {
	c.Round(c.now, c.now.UnixMilli())
	return c.Changes()
}

// startedOn runs one round and returns the workers on which it starts tasks.
func (c *evacuationScenario) startedOn() []string {
	c.runRound()
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

func (c *evacuationScenario) advance(d time.Duration) { c.now = c.now.Add(d) }

func (c *evacuationScenario) eventDetail(event string) string {
	for _, n := range c.Events() {
		if n.Name == event {
			return n.Detail
		}
	}
	return ""
}

var fullWorkerStep = workload.Step{Count: 4, Need: need(8)}

func TestEvacuatedCentreGetsNoStartsUntilRevoked(t *testing.T) {
	c := newEvacuationScenario(t, nil)
	c.Evacuate([]string{"a"}, c.now)
	if got := c.eventDetail(control.EventEvacuationBegins); got != "centre=a runs=0" {
		t.Fatalf("event detail: %q", got)
	}
	c.submit(jobA, fullWorkerStep)
	if got := c.startedOn(); !slices.Equal(got, []string{"b0", "b1"}) {
		t.Fatalf("started on %v", got)
	}
	if left := c.EvacuationStatus(c.now); left != (control.EvacuationStatus{Centres: 1}) {
		t.Fatalf("remaining work: %+v", left)
	}
	if c.eventDetail(control.EventEvacuationEmpty) == "" {
		t.Fatal("no event for an empty data centre")
	}
	c.advance(time.Second)
	c.Evacuate(nil, c.now)
	if got := c.eventDetail(control.EventEvacuationEnds); got != "centre=a runs=0 lasted_ms=1000" {
		t.Fatalf("event detail: %q", got)
	}
	if got := c.startedOn(); !slices.Equal(got, []string{"a0", "a1"}) {
		t.Fatalf("after the evacuation was revoked: started on %v", got)
	}
}

func TestEvacuationKeepsRunningTasks(t *testing.T) {
	c := newEvacuationScenario(t, nil)
	c.submit(jobA, fullWorkerStep)
	if got := c.startedOn(); len(got) != 4 {
		t.Fatalf("started on %v", got)
	}
	c.Evacuate([]string{"a"}, c.now)
	c.advance(time.Second)
	c.runRound()
	if stops := c.StopOrders(); len(stops) != 0 {
		t.Fatalf("stopped: %+v", stops)
	}
	if left := c.EvacuationStatus(c.now); left.Runs != 2 {
		t.Fatalf("remaining work: %+v", left)
	}
	if ids := c.WorkersToRenew(c.now); !slices.Contains(ids, "a0") || !slices.Contains(ids, "a1") {
		t.Fatalf("leases are renewed on %v only", ids)
	}
}

// A log write may take seconds. If a worker's data centre is evacuated in the meantime, or the
// worker drains or its entry becomes unreadable, the pending start must not be sent.
func TestPlannedStartIsWithdrawnWhenWorkerCloses(t *testing.T) {
	for name, closeWorkers := range map[string]func(*evacuationScenario){
		"evacuated": func(c *evacuationScenario) { c.Evacuate([]string{"a"}, c.now) },
		"draining": func(c *evacuationScenario) {
			c.list[0].Draining, c.list[1].Draining = true, true
			c.SetWorkers(c.list, c.now)
		},
		"unreadable": func(c *evacuationScenario) {
			c.list[0].Unreadable, c.list[1].Unreadable = true, true
			c.SetWorkers(c.list, c.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newEvacuationScenario(t, nil)
			c.submit(jobA, fullWorkerStep)
			gang := fullWorkerStep
			gang.Gang, gang.Need = true, workload.Resources{MilliCPU: 1000}
			c.submit(jobB, gang)
			c.runRound()
			closeWorkers(c)
			for _, o := range c.Persisted(c.now) {
				if o.Worker[0] == 'a' {
					t.Errorf("%v was started on %s", o.Task, o.Worker)
				}
				if o.Task.Job == jobB {
					t.Errorf("member %d of an incomplete gang was started", o.Task.Index)
				}
			}
			restarted := 0
			c.runRound()
			for _, o := range c.Persisted(c.now) {
				if o.Worker[0] == 'a' {
					t.Errorf("%v was started on %s in the next round", o.Task, o.Worker)
				}
				if o.Task.Job == jobB {
					restarted++
				}
			}
			if restarted != 4 {
				t.Errorf("%d of 4 members were started elsewhere", restarted)
			}
		})
	}
}

func TestUnansweredStartIsNotRepeatedInEvacuatedCentre(t *testing.T) {
	c := newEvacuationScenario(t, nil)
	c.submit(jobA, workload.Step{Count: 1, Need: need(8)})
	c.Evacuate([]string{"b"}, c.now)
	c.runRound()
	order := c.Persisted(c.now)[0]
	c.HandleStartAnswer(order, control.Answer{Result: control.Unanswered}, c.now)
	c.Evacuate([]string{"a"}, c.now)
	for range 100 {
		c.advance(50 * time.Millisecond)
		if repeated := c.RetryOrders(c.now); len(repeated) > 0 {
			t.Fatalf("start order was repeated on %s", repeated[0].Worker)
		}
	}
	if stops := c.StopOrders(); len(stops) == 0 || stops[0].Worker != "a0" && stops[0].Worker != "a1" {
		t.Fatalf("no stop order for the unanswered start: %+v", stops)
	}
}

// Tasks whose data is in an evacuated data centre, or whose gang fits into a single rack only
// there, must not wait for it.
func TestDataAndRackPreferencesDoNotWaitForEvacuatedCentre(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"data":     {Count: 1, Need: need(1), DataRack: "rack-a"},
		"one rack": {Count: 2, Need: need(8), Gang: true, SameRack: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newEvacuationScenario(t, func(b *control.Bounds) { b.RemoteFactor = 3 })
			c.Evacuate([]string{"a"}, c.now)
			c.submit(jobA, step)
			if got := c.startedOn(); len(got) != step.Count || got[0][0] != 'b' {
				t.Fatalf("started on %v", got)
			}
		})
	}
}

// A worker that is warming up is slow. Urgent work goes to other workers, single tasks that can
// wait go there first, and the worker gets urgent work again once its warm-up is over.
func TestWarmingUpWorkersGetNoUrgentWork(t *testing.T) {
	c := newEvacuationScenario(t, nil)
	for i := range c.list {
		if c.list[i].DataCentre == "a" {
			c.list[i].WarmupMS = 2000
		}
	}
	c.SetWorkers(c.list, c.now)
	c.advance(time.Second)
	// The list is read again whenever any entry changes, which must not restart the warm-up.
	c.SetWorkers(c.list, c.now)
	c.submit(jobA, workload.Step{Count: 1, Need: need(1)})
	if got := c.startedOn(); got[0][0] != 'a' {
		t.Fatalf("a task that can wait was started on %v", got)
	}
	c.Adopt(jobB, workload.Entry{Job: &workload.Job{ID: jobB, Steps: []workload.Step{{Count: 2, Need: need(4), Gang: true}}, QueueSettings: workload.QueueSettings{Stretch: 2, TargetMS: 5000, MaxAttempts: 1}}})
	if got := c.startedOn(); len(got) != 2 || got[0][0] != 'b' || got[1][0] != 'b' {
		t.Fatalf("urgent work was started on %v", got)
	}
	c.advance(1100 * time.Millisecond)
	c.Adopt(jobC, workload.Entry{Job: &workload.Job{ID: jobC, Steps: []workload.Step{{Count: 1, Need: need(7), Gang: true}}, QueueSettings: workload.QueueSettings{Stretch: 2, TargetMS: 5000, MaxAttempts: 1}}})
	if got := c.startedOn(); len(got) != 1 || got[0][0] != 'a' {
		t.Fatalf("after the warm-up: started on %v", got)
	}
}

const jobC = workload.JobID("00000000000000cc")

// evacuationSimulation is a simulation in which data centres are evacuated and the evacuations
// revoked at random times. Planners read the requests late and log writes take long, in addition
// to the other simulated faults.
type evacuationSimulation struct {
	*simulation
	// evacuatedAt is since when each data centre is evacuated. requests are all requests in order
	// of time.
	evacuatedAt map[string]time.Time
	requests    []evacuationRequest
	// readLag is the delay with which requests are read, writeTime the duration of a log write.
	readLag, writeTime time.Duration
	mutant             evacuationMutant
}

// evacuationRequest is the set of data centres that are to be evacuated from a time on.
type evacuationRequest struct {
	at      time.Time
	centres []string
}

// evacuationMutant disables one of the steps that prevent starts in an evacuated data centre.
type evacuationMutant struct {
	// skipsRecheck: the requests are not read again between a decision and its orders.
	skipsRecheck bool
	// uninformedSuccessor: a successor plans before it has read the requests.
	uninformedSuccessor bool
	// newestOnly: only the most recently evacuated data centre counts.
	newestOnly bool
}

func centreOf(worker string) string { return string(worker[len(worker)-1]%2 + 'a') }

// readCentres returns the evacuated data centres that a planner has read of at the given time.
func (e *evacuationSimulation) readCentres(now time.Time) []string {
	var out []string
	for _, r := range e.requests {
		if !r.at.Add(e.readLag).After(now) {
			out = r.centres
		}
	}
	if e.mutant.newestOnly && len(out) > 1 {
		out = out[len(out)-1:]
	}
	return out
}

// toggleEvacuation evacuates a random data centre, or revokes its evacuation.
func (e *evacuationSimulation) toggleEvacuation() {
	centre := string('a' + byte(e.rng.Intn(2)))
	if _, evacuated := e.evacuatedAt[centre]; evacuated {
		delete(e.evacuatedAt, centre)
	} else {
		e.evacuatedAt[centre] = e.now
	}
	var all []string
	for name := range e.evacuatedAt {
		all = append(all, name)
	}
	slices.SortFunc(all, func(a, b string) int { return e.evacuatedAt[a].Compare(e.evacuatedAt[b]) })
	e.requests = append(e.requests, evacuationRequest{e.now, all})
}

func (e *evacuationSimulation) applyEvacuations(p *planner, plannerStartedAt time.Time) {
	if e.mutant.uninformedSuccessor && e.now.Sub(plannerStartedAt) < 5*time.Second {
		return
	}
	p.core.Evacuate(e.readCentres(e.now), e.now)
}

// runPlannerRound runs a round of a planner, with a log write between the decision and its orders.
func (e *evacuationSimulation) runPlannerRound(p *planner, plannerStartedAt time.Time) {
	list := e.listings()
	for i := range list {
		list[i].DataCentre = centreOf(list[i].ID)
	}
	e.adoptJobs(p)
	p.core.SetWorkers(list, e.now)
	e.applyEvacuations(p, plannerStartedAt)
	p.core.Round(e.now, e.now.UnixMilli())
	for _, r := range p.core.Changes() {
		e.log[r.Key] = r.Value
	}
	for until := e.now.Add(e.writeTime); e.now.Before(until); {
		e.tick(20 * time.Millisecond)
		if !e.mutant.skipsRecheck {
			e.applyEvacuations(p, plannerStartedAt)
		}
		e.sendStarts(p, p.core.RetryOrders(e.now))
		e.sendOrders(p)
	}
	if !e.mutant.skipsRecheck {
		e.applyEvacuations(p, plannerStartedAt)
	}
	e.sendStarts(p, p.core.Persisted(e.now))
	e.sendStarts(p, p.core.RetryOrders(e.now))
	e.sendOrders(p)
}

func (e *evacuationSimulation) sendStarts(p *planner, orders []control.StartOrder) {
	for _, o := range orders {
		e.checkStartOrder(o)
		e.sendStart(p, o)
	}
}

// checkStartOrder checks that a start order does not go to a data centre whose evacuation the
// planner must have read.
func (e *evacuationSimulation) checkStartOrder(o control.StartOrder) {
	since, evacuated := e.evacuatedAt[centreOf(o.Worker)]
	if evacuated && e.now.Sub(since) > e.readLag+40*time.Millisecond {
		e.violation("%v was started in %s, which was evacuated %v ago", o.Task, centreOf(o.Worker), e.now.Sub(since))
	}
}

func runEvacuationSimulation(seed int64, mut evacuationMutant) *evacuationSimulation {
	e := &evacuationSimulation{simulation: newSimulation(seed, true), evacuatedAt: map[string]time.Time{}, mutant: mut}
	e.readLag = time.Duration(e.rng.Intn(800)) * time.Millisecond
	plannerStartedAt := e.now
	e.startPlanner(nil)
	for i := range 120 {
		// The planner's rounds run here instead of in tick.
		p := e.planners[len(e.planners)-1]
		planners := e.planners
		e.planners = nil
		e.writeTime = time.Duration(e.rng.Intn(10)) * time.Millisecond
		if e.rng.Intn(8) == 0 {
			e.writeTime = time.Duration(e.rng.Intn(3000)) * time.Millisecond
		}
		if i%5 == 0 {
			e.submit(i / 5)
		}
		if e.rng.Intn(6) == 0 {
			e.toggleEvacuation()
		}
		e.runPlannerRound(p, plannerStartedAt)
		e.tick(60 * time.Millisecond)
		e.planners = append(planners, e.planners...)
		if e.rng.Intn(20) == 0 {
			p.dead = true
			plannerStartedAt = e.now
			e.startPlanner(nil)
		}
		if len(e.violations) > 0 {
			return e
		}
	}
	return e
}

func TestNoStartIsSentToEvacuatedCentreUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := 150
	if testing.Short() {
		seeds = 20
	}
	var starts atomic.Int64
	if seed, violations := firstSeed(seeds, func(seed int64) string {
		e := runEvacuationSimulation(seed, evacuationMutant{})
		starts.Add(int64(e.startCount))
		return e.allViolations()
	}); violations != "" {
		t.Fatalf("seed %d: %s", seed, violations)
	}
	if n := int(starts.Load()); n < seeds {
		t.Fatalf("only %d starts in %d simulations", n, seeds)
	}
}

func TestEvacuationMutantsAreDetected(t *testing.T) {
	t.Parallel()
	for name, m := range map[string]evacuationMutant{
		"requests are only read before decisions": {skipsRecheck: true},
		"a successor has not read the requests":   {uninformedSuccessor: true},
		"only the newest request counts":          {newestOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range mutantSeeds {
				e := runEvacuationSimulation(int64(seed), m)
				for _, p := range e.violations {
					if strings.Contains(p, "evacuated") {
						t.Logf("detected at seed %d: %s", seed, p)
						return
					}
				}
			}
			t.Fatalf("not detected in %d simulations", mutantSeeds)
		})
	}
}

// A planner that has not read the worker list yet must not report an evacuated data centre as
// empty.
func TestCentreIsNotReportedEmptyBeforeWorkersAreListed(t *testing.T) {
	first := newEvacuationScenario(t, nil)
	first.submit(jobA, fullWorkerStep)
	entry := workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{fullWorkerStep}, QueueSettings: workload.QueueSettings{Priority: 1, MaxAttempts: 3, Stretch: 3}}}
	for _, r := range first.runRound() {
		if r.Key == workload.ProgressKey(jobA) {
			entry.Progress = r.Value
		}
	}
	next := &evacuationScenario{now: first.now, list: first.list, Core: control.New(simBounds, 2, first.now)}
	next.Configure(control.Configuration{Version: 1})
	next.Adopt(jobA, entry)
	next.Evacuate([]string{"a"}, next.now)
	if left := next.EvacuationStatus(next.now); left.Runs == 0 || next.eventDetail(control.EventEvacuationEmpty) != "" {
		t.Fatalf("remaining work before the list was read: %+v", left)
	}
	next.SetWorkers(next.list, next.now)
	if left := next.EvacuationStatus(next.now); left != (control.EvacuationStatus{Centres: 1, Runs: 2}) || next.eventDetail(control.EventEvacuationEmpty) != "" {
		t.Fatalf("remaining work after the list was read: %+v", left)
	}
}
