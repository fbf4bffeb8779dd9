package decide

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/workload"
)

// drawCrowded draws a pool that is nearly full, with many units of few shapes.
func drawCrowded(t *rapid.T) *Snapshot {
	s := &Snapshot{Now: now, RemoteFactor: 3, ReclaimWithin: 3 * time.Second, StopTimeout: 400 * time.Millisecond, Headroom: int64(rapid.IntRange(0, 60).Draw(t, "headroom"))}
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	for i := range rapid.IntRange(3, 20).Draw(t, "workers") {
		w := Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 4), Capacity: capacity, Free: capacity}
		for g := range rapid.IntRange(0, 4).Draw(t, "groups") {
			held := workload.Resources{MilliCPU: 8000, MemoryMiB: 9000, Accelerators: int64(rapid.IntRange(0, 4).Draw(t, "held"))}
			if !held.FitsIn(w.Free) {
				continue
			}
			w.Free = w.Free.Sub(held)
			group := Group{Key: UnitKey{Job: workload.JobID(fmt.Sprint(i, g))}, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), LostWork: float64(rapid.IntRange(0, 9).Draw(t, "lost")), Stopping: rapid.Bool().Draw(t, "stopping")}
			group.Add(w.ID, held)
			if group.Stopping {
				w.Freeing = w.Freeing.Add(held)
			}
			s.Running = append(s.Running, group)
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(1, 25).Draw(t, "units") {
		u := gang(rapid.IntRange(1, 6).Draw(t, "width"), int64(rapid.SampledFrom([]int{1, 4, 8}).Draw(t, "each")), rapid.Bool().Draw(t, "rack"))
		u.Step.Gang = rapid.Bool().Draw(t, "gang")
		u.Key.Job = workload.JobID(fmt.Sprint("u", i))
		u.Priority = rapid.IntRange(0, 2).Draw(t, "unit priority")
		u.LatestStart = now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, "slack")) * time.Second)
		u.WorthlessAfter = u.LatestStart.Add(time.Second)
		u.ReadySince = now
		if rapid.Bool().Draw(t, "avoids") {
			u.Avoid = map[string]bool{"0": true}
		}
		s.Waiting = append(s.Waiting, u)
	}
	return s
}

// The cached limits must not change a decision: a plan that searches without cached limits
// for each unit must be the same.
func TestFitLimitsDoNotChangeThePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawCrowded(t)
		withLimits := MakePlan(s)
		p := newPlanner(s)
		for _, i := range order(s) {
			p.freeLimits, p.freeingLimits, p.totalLimits = fitLimits{}, fitLimits{}, fitLimits{}
			p.place(i)
		}
		if !reflect.DeepEqual(withLimits, p.plan) {
			t.Fatalf("with cached limits: %+v\nwithout: %+v", withLimits, p.plan)
		}
	})
}

// No worker is given more than it has free, whatever limits were cached.
func TestCrowdedPoolIsNeverOverbooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawCrowded(t)
		free := map[string]workload.Resources{}
		for _, w := range s.Workers {
			free[w.ID] = w.Free
		}
		for _, a := range MakePlan(s).Starts {
			free[a.Worker] = free[a.Worker].Sub(s.Waiting[a.Unit].Step.CapacityNeed())
			if !(workload.Resources{}).FitsIn(free[a.Worker]) {
				t.Fatalf("worker %s is overbooked", a.Worker)
			}
		}
	})
}
