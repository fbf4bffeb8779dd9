package decide

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/workload"
)

var now = time.Unix(1000, 0)

func gpus(n int64) workload.Resources { return workload.Resources{Accelerators: n} }

// racks makes workers a0, a1, ... in rack a, b0, b1, ... in rack b and so on, each with 8
// accelerators of which the given numbers are free.
func racks(free ...[]int64) []Worker {
	var out []Worker
	for r, workers := range free {
		for i, n := range workers {
			id := string(rune('a'+r)) + string(rune('0'+i))
			out = append(out, Worker{ID: id, Rack: string(rune('a' + r)), Capacity: gpus(8), Free: gpus(n)})
		}
	}
	return out
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func gang(count int, each int64, sameRack bool) Unit {
	return Unit{
		Key: UnitKey{Job: "g"}, Step: &workload.Step{Count: count, Need: gpus(each), Gang: true, SameRack: sameRack},
		Indexes: indexes(count), ReadySince: now, LatestStart: now.Add(time.Second), WorthlessAfter: now.Add(time.Minute),
	}
}

func singles(count int, each int64) Unit {
	u := gang(count, each, false)
	u.Step.Gang = false
	return u
}

func workersOf(p Plan) []string {
	var out []string
	for _, a := range p.Starts {
		out = append(out, a.Worker)
	}
	return out
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 4}), Waiting: []Unit{gang(4, 4, false)}}
	p := MakePlan(s)
	if len(p.Starts) != 0 || len(p.Deferred) != 1 || p.Deferred[0].Reason != NoCapacity {
		t.Fatalf("%+v", p)
	}
}

func TestSameRackGangTakesTheTightestRack(t *testing.T) {
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 8}, []int64{4, 4}), Waiting: []Unit{gang(2, 4, true)}}
	for _, w := range workersOf(MakePlan(s)) {
		if w[0] != 'b' {
			t.Fatalf("a task started on %s", w)
		}
	}
}

func TestSameRackGangWaitsForARackUntilItIsLate(t *testing.T) {
	u := gang(2, 8, true)
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 0}, []int64{8, 0}), Waiting: []Unit{u}}
	if p := MakePlan(s); len(p.Starts) != 0 {
		t.Fatalf("the gang spans racks although it could wait: %+v", p)
	}
	s.Waiting[0].LatestStart = now.Add(-time.Second)
	if p := MakePlan(s); len(p.Starts) != 2 || !p.Starts[0].Remote {
		t.Fatalf("the gang does not span racks although it is late: %+v", p)
	}
}

func TestTasksFillTheTightestWorker(t *testing.T) {
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 2, 5}), Waiting: []Unit{singles(1, 2)}}
	if got := workersOf(MakePlan(s)); len(got) != 1 || got[0] != "a1" {
		t.Fatalf("%v", got)
	}
}

func TestPlacementRespectsWorkerConstraints(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Snapshot)
		want   []string
	}{
		"label":   {func(s *Snapshot) { s.Waiting[0].Step.Label = "x"; s.Workers[2].Labels = map[string]bool{"x": true} }, []string{"a2", "a2"}},
		"service": {func(s *Snapshot) { s.Waiting[0].Service = "x"; s.Workers[1].Service = "x" }, []string{"a1", "a1"}},
		"avoid":   {func(s *Snapshot) { s.Waiting[0].Avoid = map[string]bool{"a0": true, "a1": true} }, []string{"a2", "a2"}},
		"allowed": {func(s *Snapshot) { s.Waiting[0].Allowed = map[string]bool{"a1": true} }, []string{"a1", "a1"}},
		"closed":  {func(s *Snapshot) { s.Workers[0].Closed = true; s.Workers[1].Closed = true }, []string{"a2", "a2"}},
		"spread":  {func(s *Snapshot) { s.Waiting[0].Step.PerWorker = 1 }, []string{"a0", "a1"}},
		"beside":  {func(s *Snapshot) { s.Waiting[0].Step.PerWorker = 1; s.Waiting[0].Placed = map[string]int{"a0": 1} }, []string{"a1", "a2"}},
		"data":    {func(s *Snapshot) { s.Waiting[0].Step.DataRack = "b"; s.Workers[1].Rack = "b" }, []string{"a1", "a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Snapshot{Now: now, Workers: racks([]int64{4, 4, 4}), Waiting: []Unit{singles(2, 1)}}
			c.change(s)
			got := workersOf(MakePlan(s))
			if len(got) != 2 || got[0] != c.want[0] || got[1] != c.want[1] {
				t.Fatalf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestGuaranteedWorkPreemptsTheCheapestBorrowersAndReservesTheirCapacity(t *testing.T) {
	urgent := gang(2, 8, true)
	urgent.Guaranteed = true
	later := singles(4, 1)
	later.Key.Job = "later"
	later.Priority = 2
	s := &Snapshot{
		Now: now, Workers: racks([]int64{0, 0}, []int64{0, 0}), Waiting: []Unit{later, urgent},
		Running: []Group{
			{Key: UnitKey{Job: "dear"}, Priority: 1, LostWork: 900, Allocations: []Allocation{{"a0", gpus(8)}, {"a1", gpus(8)}}},
			{Key: UnitKey{Job: "cheap"}, Priority: 2, LostWork: 10, Allocations: []Allocation{{"b0", gpus(8)}, {"b1", gpus(8)}}},
		},
	}
	p := MakePlan(s)
	if len(p.Stops) != 1 || s.Running[p.Stops[0]].Key.Job != "cheap" || len(p.Starts) != 0 {
		t.Fatalf("%+v", p)
	}
	// While the stop is in progress its capacity stays reserved, and nothing else is stopped.
	s.Running[1].Stopping = true
	s.Workers[2].Freeing, s.Workers[3].Freeing = gpus(8), gpus(8)
	if p = MakePlan(s); len(p.Stops) != 0 || len(p.Starts) != 0 {
		t.Fatalf("while the stop is in progress: %+v", p)
	}
	// Once the capacity is free, the gang gets it and the later unit does not.
	s.Running = s.Running[:1]
	s.Workers[2].Free, s.Workers[3].Free = gpus(8), gpus(8)
	s.Workers[2].Freeing, s.Workers[3].Freeing = gpus(0), gpus(0)
	if p = MakePlan(s); len(p.Starts) != 2 || p.Starts[0].Unit != 1 {
		t.Fatalf("after the stop: %+v", p)
	}
}

func TestWorkBeyondTheGuaranteePreemptsOnlyWhatLosesLess(t *testing.T) {
	for name, c := range map[string]struct {
		lost     float64
		priority int
		late     bool
		stops    int
	}{
		"less is lost":          {lost: 100, stops: 1},
		"more is lost":          {lost: 200},
		"late":                  {lost: 100, late: true},
		"not of first priority": {lost: 100, priority: 1},
	} {
		t.Run(name, func(t *testing.T) {
			u := gang(1, 8, false)
			u.RunTime = 2 * time.Second
			u.Priority = c.priority
			if c.late {
				u.LatestStart = now.Add(-time.Second)
			}
			s := &Snapshot{Now: now, Workers: racks([]int64{0}), Waiting: []Unit{u}, Running: []Group{{Key: UnitKey{Job: "x"}, Priority: 2, LostWork: c.lost, Allocations: []Allocation{{"a0", gpus(8)}}}}}
			if p := MakePlan(s); len(p.Stops) != c.stops {
				t.Fatalf("%+v", p)
			}
		})
	}
}

// No worker is given more than it has free, no gang is placed in part, and only groups that may be
// preempted are stopped.
func TestPlansRespectCapacityAndNeverSplitGangs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		p := MakePlan(s)
		used := map[string]int64{}
		per := map[int]int{}
		for _, a := range p.Starts {
			used[a.Worker] += s.Waiting[a.Unit].Step.Need.Accelerators
			per[a.Unit]++
		}
		for _, w := range s.Workers {
			if used[w.ID] > w.Free.Accelerators {
				t.Fatalf("worker %s is given %d accelerators and has %d free", w.ID, used[w.ID], w.Free.Accelerators)
			}
		}
		for i, n := range per {
			if s.Waiting[i].Step.Gang && n != len(s.Waiting[i].Indexes) {
				t.Fatalf("%[2]d of %[3]d tasks of gang %[1]d are started", i, n, len(s.Waiting[i].Indexes))
			}
		}
		guaranteed := slices.ContainsFunc(s.Waiting, func(u Unit) bool { return u.Guaranteed })
		for _, v := range p.Stops {
			if s.Running[v].Guaranteed || s.Running[v].Stopping || (s.Running[v].Priority == 0 && !guaranteed) {
				t.Fatalf("the plan stops %+v", s.Running[v])
			}
		}
	})
}

func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{Now: now}
	for r := range rapid.IntRange(1, 3).Draw(t, "racks") {
		for i := range 3 {
			w := racks([]int64{8})[0]
			w.ID = string(rune('a'+r)) + string(rune('0'+i))
			w.Rack = string(rune('a' + r))
			held := rapid.Int64Range(0, 8).Draw(t, "held")
			w.Free = gpus(8 - held)
			if held > 0 {
				g := Group{Key: UnitKey{Job: workload.JobID(w.ID)}, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Allocations: []Allocation{{w.ID, gpus(held)}}, LostWork: float64(held)}
				g.Guaranteed = rapid.Bool().Draw(t, "guaranteed")
				if rapid.Bool().Draw(t, "stopping") {
					g.Stopping = true
					w.Freeing = gpus(held)
				}
				s.Running = append(s.Running, g)
			}
			s.Workers = append(s.Workers, w)
		}
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "waiting") {
		u := gang(rapid.IntRange(1, 5).Draw(t, "count"), rapid.Int64Range(1, 8).Draw(t, "each"), rapid.Bool().Draw(t, "rack"))
		u.Key.Job = workload.JobID(rune('A' + i))
		u.Step.Gang = rapid.Bool().Draw(t, "gang")
		u.Priority = rapid.IntRange(0, 2).Draw(t, "unitPriority")
		u.Guaranteed = u.Priority == 0 && rapid.Bool().Draw(t, "unitGuaranteed")
		u.LatestStart = now.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "slack")) * time.Second)
		s.Waiting = append(s.Waiting, u)
	}
	return s
}

// While most capacity is free no unit waits long for a better place.
func TestWorkIsNotDeferredWhileMostCapacityIsFree(t *testing.T) {
	rack := gang(2, 8, true)
	rack.Priority = 1
	data := singles(2, 8)
	data.Priority = 1
	data.Step.DataRack = "b"
	nonCheckpointed := gang(2, 8, false)
	nonCheckpointed.Priority = 1
	for name, c := range map[string]struct {
		unit     Unit
		headroom int64
	}{
		"waits for one rack":        {rack, 0},
		"waits for the data's rack": {data, 0},
		"all racks are reserved":    {nonCheckpointed, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			c.unit.ReadySince = now.Add(-2 * time.Second)
			c.unit.LatestStart = now.Add(time.Minute)
			free := racks([]int64{8, 7, 7, 7}, []int64{7, 7, 7, 8})
			free[7].Rack = "c"
			s := &Snapshot{Now: now, Workers: free, Waiting: []Unit{c.unit}, Headroom: c.headroom}
			if p := MakePlan(s); len(p.Starts) != 2 {
				t.Fatalf("%+v", p)
			}
		})
	}
}

// Guaranteed work that is no gang has to be able to preempt as well: here a single task that fills
// a worker.
func TestGuaranteedSingleTasksPreemptBorrowers(t *testing.T) {
	u := singles(2, 8)
	u.Guaranteed = true
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 4, 4}), Waiting: []Unit{u}, Running: []Group{
		{Key: UnitKey{Job: "dear"}, Priority: 1, LostWork: 900, Allocations: []Allocation{{"a1", gpus(4)}}},
		{Key: UnitKey{Job: "cheap"}, Priority: 1, LostWork: 10, Allocations: []Allocation{{"a2", gpus(4)}}},
	}}
	p := MakePlan(s)
	if len(p.Starts) != 1 || len(p.Stops) != 1 || s.Running[p.Stops[0]].Key.Job != "cheap" {
		t.Fatalf("%+v", p)
	}
}

func TestGuaranteedWorkDoesNotWaitForItsDataRackBeyondReclaimTime(t *testing.T) {
	u := singles(1, 8)
	u.Guaranteed = true
	u.Step.DataRack = "b"
	u.LatestStart = now.Add(time.Minute)
	u.ReadySince = now.Add(-2 * time.Second)
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 0, 0}, []int64{0, 0, 0}), Waiting: []Unit{u}, ReclaimWithin: 3 * time.Second, StopTimeout: 900 * time.Millisecond}
	if p := MakePlan(s); len(p.Starts) != 1 {
		t.Fatalf("%+v", p)
	}
}

// After its latest start a gang waits for one rack for as long as spanning racks would cost it,
// and no longer.
func TestLateGangSpansRacksOnceWaitingHasCostAsMuch(t *testing.T) {
	u := gang(2, 8, true)
	u.Priority = 1
	u.RunTime = 4 * time.Second
	for _, c := range []struct {
		late   time.Duration
		starts int
	}{{0, 0}, {7 * time.Second, 0}, {9 * time.Second, 2}} {
		u.LatestStart = now.Add(-c.late)
		u.ReadySince = now.Add(-time.Minute)
		s := &Snapshot{Now: now, Workers: racks([]int64{8, 0, 0}, []int64{8, 0, 0}), Waiting: []Unit{u}, RemoteFactor: 3}
		if p := MakePlan(s); len(p.Starts) != c.starts {
			t.Errorf("%v after the latest start: %+v", c.late, p)
		}
	}
}

func TestOnlyGuaranteedWorkPreemptsBorrowersOfItsOwnPriority(t *testing.T) {
	for name, c := range map[string]struct {
		waits, runs bool
		stops       int
	}{
		"guaranteed work preempts a borrower":              {true, false, 1},
		"a borrower does not preempt a borrower":           {false, false, 0},
		"guaranteed work does not preempt guaranteed work": {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			u := gang(2, 8, false)
			u.Guaranteed = c.waits
			s := &Snapshot{Now: now, Workers: racks([]int64{0, 0}), Waiting: []Unit{u}, Running: []Group{
				{Key: UnitKey{Job: "runs"}, Guaranteed: c.runs, LostWork: 1, Allocations: []Allocation{{"a0", gpus(8)}, {"a1", gpus(8)}}},
			}}
			if p := MakePlan(s); len(p.Stops) != c.stops {
				t.Fatalf("%+v", p)
			}
		})
	}
}

func TestBorrowersOfTheSamePriorityArePreemptedLast(t *testing.T) {
	u := gang(1, 8, false)
	u.Guaranteed = true
	s := &Snapshot{Now: now, Workers: racks([]int64{0, 0}), Waiting: []Unit{u}, Running: []Group{
		{Key: UnitKey{Job: "young"}, LostWork: 1, Allocations: []Allocation{{"a0", gpus(8)}}},
		{Key: UnitKey{Job: "later"}, Priority: 1, LostWork: 900, Allocations: []Allocation{{"a1", gpus(8)}}},
	}}
	if p := MakePlan(s); len(p.Stops) != 1 || s.Running[p.Stops[0]].Key.Job != "later" {
		t.Fatalf("%+v", p)
	}
}

func TestPreemptionLosesTheLeastWorkInTotal(t *testing.T) {
	u := gang(1, 8, false)
	u.Guaranteed = true
	half := func(id workload.JobID, worker string, lost float64) Group {
		return Group{Key: UnitKey{Job: id}, Priority: 1, LostWork: lost, Allocations: []Allocation{{worker, gpus(4)}}}
	}
	s := &Snapshot{Now: now, Workers: racks([]int64{0, 0}), Waiting: []Unit{u}, Running: []Group{
		half("a", "a0", 10), half("b", "a0", 60), half("c", "a1", 20), half("d", "a1", 55),
	}}
	stopped := map[workload.JobID]bool{}
	for _, v := range MakePlan(s).Stops {
		stopped[s.Running[v].Key.Job] = true
	}
	if len(stopped) != 2 || !stopped["a"] || !stopped["b"] {
		t.Fatalf("the plan stops %v, not the groups that lose the least", stopped)
	}
}
