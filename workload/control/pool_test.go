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

// describeWorkers returns the core's state of each worker, as text.
func describeWorkers(c *Core) map[string]string {
	out := map[string]string{}
	for _, w := range c.workers {
		out[w.ID] = fmt.Sprintf("%s %s %t gone=%t labels=%v draining=%t", w.Address, w.Rack, w.listed, w.gone, slices.Sorted(maps.Keys(w.labels)), w.Draining)
	}
	return out
}

// Updating the worker list entry by entry must give the same state as replacing it as a whole, also
// if workers take over each other's addresses. The sorted list of workers must match the map.
func TestIncrementalListUpdatesMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		full, incremental := New(Bounds{}, 1, now), New(Bounds{}, 1, now)
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
			full.SetWorkers(slices.Collect(maps.Values(list)), now)
			for _, id := range slices.Sorted(maps.Keys(changed)) {
				if l, ok := list[id]; ok {
					incremental.UpdateWorker(l, now)
				} else {
					incremental.RemoveWorker(id, now)
				}
			}
			incremental.SettleUnlisted(now)
			if diff := cmp.Diff(describeWorkers(full), describeWorkers(incremental)); diff != "" {
				t.Fatalf("full list (-), entry by entry (+):\n%s", diff)
			}
			checkWorkerOrder(t, incremental)
		}
	})
}

func checkWorkerOrder(t *rapid.T, c *Core) {
	var ids []string
	listed := 0
	for _, w := range c.workersByID {
		ids = append(ids, w.ID)
		if w.listed {
			listed++
		}
	}
	if want := sortedKeys(c.workers); !slices.Equal(ids, want) || listed != c.listedCount {
		t.Fatalf("workers in order: %v, want %v; %d are listed, the counter is %d", ids, want, listed, c.listedCount)
	}
}

// Jobs must stay sorted by acceptance, in whichever order they are added and dropped.
func TestJobsStayInAcceptanceOrder(t *testing.T) {
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
			t.Fatalf("%d jobs, %d in the list, or the list is not sorted", len(c.jobs), len(c.jobsByAcceptance))
		}
	})
}

// A check for due lease renewals must not allocate memory if none are due, whatever the size of the
// pool.
func TestIdlePollDoesNotAllocate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(Bounds{PollWait: time.Second}, 1, now)
	for i := range 2000 {
		c.UpdateWorker(Listing{ID: fmt.Sprint(i), Address: fmt.Sprint(i), DataCentre: "d"}, now)
	}
	for range 2000 / maxFirstPolls {
		for _, id := range c.WorkersToRenew(now) {
			o, _ := c.NextRenewal(id, now)
			c.HandleRenewal(o, RenewalAnswer{Result: Accepted, ClockMS: 1}, now, now)
		}
	}
	c.Events()
	later := now.Add(time.Second)
	if n := testing.AllocsPerRun(10, func() {
		if len(c.WorkersToRenew(later)) > 0 {
			t.Error("a lease renewal is due")
		}
		c.SettleUnlisted(later)
	}); n > 0 {
		t.Fatalf("%v allocations, want 0", n)
	}
}

// A new planner polls thousands of workers over several rounds of polls. Those that may have runs
// must be in the first one.
func TestNewPlannerPollsWorkersWithRunsFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(Bounds{PollWait: time.Second}, 1, now)
	step := &workload.Step{Count: 1}
	for i := range 4 * maxFirstPolls {
		id := fmt.Sprintf("%05d", i)
		c.UpdateWorker(Listing{ID: id, Address: id, DataCentre: "d"}, now)
		if i%4 == 3 {
			c.workers[id].runs[workload.TaskID{Index: i}] = &activeRun{worker: c.workers[id], step: step}
		}
	}
	polled, withRuns := 0, 0
	for _, id := range c.WorkersToRenew(now) {
		if _, ok := c.NextRenewal(id, now); ok {
			polled++
			withRuns += len(c.workers[id].runs)
		}
	}
	if polled != 2*maxFirstPolls || withRuns != maxFirstPolls {
		t.Fatalf("%d workers in the first round of polls, %d of them with runs", polled, withRuns)
	}
	for range 2 {
		for _, id := range c.WorkersToRenew(now) {
			if _, ok := c.NextRenewal(id, now); ok {
				polled++
			}
		}
	}
	if polled != 4*maxFirstPolls {
		t.Fatalf("%d of %d workers polled after three rounds of polls", polled, 4*maxFirstPolls)
	}
}
