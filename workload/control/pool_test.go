package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/workload"
)

// listedNow is what a core knows of its list.
func listedNow(c *Core) map[string]string {
	out := map[string]string{}
	for _, w := range c.workers {
		out[w.ID] = fmt.Sprintf("%s %s %t gone=%t labels=%v draining=%t", w.Address, w.Rack, w.listed, w.gone, slices.Sorted(maps.Keys(w.labels)), w.Draining)
	}
	return out
}

// A list that is taken over entry by entry is known as one that is taken over whole, whatever
// comes, goes and takes over whose address; and what is kept in order is what there is.
func TestAListTakenOverEntryByEntryIsKnownAsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		whole, parts := New(Bounds{}, 1, now), New(Bounds{}, 1, now)
		list := map[string]Listing{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			changed := map[string]bool{}
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				id := fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "id"))
				changed[id] = true
				if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
					delete(list, id)
					continue
				}
				list[id] = Listing{ID: id, Address: fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "address")), Rack: "r", Labels: []string{fmt.Sprint("l", rapid.IntRange(0, 1).Draw(t, "label"))}}
			}
			whole.List(slices.Collect(maps.Values(list)), now)
			for _, id := range slices.Sorted(maps.Keys(changed)) {
				if l, ok := list[id]; ok {
					parts.ListOne(l, now)
				} else {
					parts.Unlist(id, now)
				}
			}
			parts.Sweep(now)
			if diff := cmp.Diff(listedNow(whole), listedNow(parts)); diff != "" {
				t.Fatalf("whole (-), entry by entry (+):\n%s", diff)
			}
			checkOrder(t, parts)
		}
	})
}

func checkOrder(t *rapid.T, c *Core) {
	var order []string
	listed := 0
	for _, w := range c.workersByID {
		order = append(order, w.ID)
		if w.listed {
			listed++
		}
	}
	if want := sortedKeys(c.workers); !slices.Equal(order, want) || listed != c.listedCount {
		t.Fatalf("in order %v of %v, listed %d of %d", order, want, listed, c.listedCount)
	}
}

// Jobs are kept in the order in which they were accepted, whatever the order in which they
// come and go.
func TestJobsAreKeptInTheOrderOfTheirAcceptance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Bounds{}, 1, time.Unix(1_000_000, 0))
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			id := workload.JobID(fmt.Sprintf("%016x", rapid.IntRange(0, 9).Draw(t, "id")))
			if j := c.jobs[id]; j != nil {
				c.dropJob(j)
				continue
			}
			c.addJob(&job{Job: &workload.Job{ID: id, AcceptedMS: rapid.Int64Range(0, 4).Draw(t, "accepted")}})
		}
		if !slices.IsSortedFunc(c.jobsByAcceptance, compareAcceptance) || len(c.jobsByAcceptance) != len(c.jobs) {
			t.Fatalf("%d jobs, %d in order", len(c.jobs), len(c.jobsByAcceptance))
		}
	})
}

// A look at who is to be held takes no memory where nobody is, whatever the size of the pool.
func TestALookWhereNothingHappenedTakesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(Bounds{Wait: time.Second}, 1, now)
	for i := range 2000 {
		c.ListOne(Listing{ID: fmt.Sprint(i), Address: fmt.Sprint(i), DataCentre: "d"}, now)
	}
	for range 2000 / maxFirstPolls {
		for _, id := range c.NeedsHold(now) {
			o, _ := c.Hold(id, now)
			c.Held(o, HoldAnswer{Verdict: Accepted, ClockMS: 1}, now, now)
		}
	}
	c.Notes()
	later := now.Add(time.Second)
	if n := testing.AllocsPerRun(10, func() {
		if len(c.NeedsHold(later)) > 0 {
			t.Error("somebody is to be held")
		}
		c.Sweep(later)
	}); n > 0 {
		t.Fatalf("%v allocations", n)
	}
}

// A planner that begins meets thousands of workers over some looks; those that may have runs it
// meets in the first.
func TestAPlannerThatBeginsMeetsWorkersWithRunsFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(Bounds{Wait: time.Second}, 1, now)
	step := &workload.Step{Count: 1}
	for i := range 4 * maxFirstPolls {
		id := fmt.Sprintf("%05d", i)
		c.ListOne(Listing{ID: id, Address: id, DataCentre: "d"}, now)
		if i%4 == 3 {
			c.workers[id].runs[workload.TaskID{Index: i}] = &activeRun{worker: c.workers[id], step: step}
		}
	}
	held, withRuns := 0, 0
	for _, id := range c.NeedsHold(now) {
		if _, ok := c.Hold(id, now); ok {
			held++
			withRuns += len(c.workers[id].runs)
		}
	}
	if held != 2*maxFirstPolls || withRuns != maxFirstPolls {
		t.Fatalf("%d held at the first look, %d with runs", held, withRuns)
	}
	for range 2 {
		for _, id := range c.NeedsHold(now) {
			if _, ok := c.Hold(id, now); ok {
				held++
			}
		}
	}
	if held != 4*maxFirstPolls {
		t.Fatalf("%d of %d held after three looks", held, 4*maxFirstPolls)
	}
}
