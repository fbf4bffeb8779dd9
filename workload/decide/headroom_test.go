package decide

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// twoRacks has two racks of two workers; the first rack is empty, the second
// holds what the first priority may not throw away.
func twoRacks() *Snapshot {
	whole := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	s := &Snapshot{Now: time.Unix(1000, 0), Headroom: 8, FarFactor: 3, StopTimeout: 900 * time.Millisecond}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		w := Worker{ID: id, Rack: id[:1], Service: "s", Capacity: whole, Free: whole}
		if id[0] == 'b' {
			w.Free.Accelerators, w.Firm = 1, 7
		}
		s.Workers = append(s.Workers, w)
	}
	// Most room is in use.
	s.Workers[0].Free.Accelerators, s.Workers[1].Free.Accelerators = 4, 4
	return s
}

func saving(s *Snapshot, slack time.Duration) Unit {
	return Unit{
		Step: &workload.Step{Count: 1, Need: workload.Resources{Accelerators: 2}, Checkpoint: true}, Service: "s", Indexes: []int{0}, Priority: 1,
		Since: s.Now, LatestStart: s.Now.Add(slack), Worthless: s.Now.Add(time.Hour), Run: time.Second,
	}
}

// Short work of the first priority can't wait for a stop: the racks kept for it
// are closed to work that could be stopped without loss, as long as that has time.
func TestKeptRacksStayIdleWhereTheFirstPriorityCanNotWaitForAStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		hurried float64
		slack   time.Duration
		without Without
		starts  int
	}{
		{"the first priority hurries", 0.5, time.Minute, nil, 0},
		{"it has time", 0.1, time.Minute, nil, 1},
		{"the other work has none", 0.5, -time.Second, nil, 1},
		{"switched off", 0.5, time.Minute, Without{KeepIdle: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := twoRacks()
			s.Hurried, s.Without = c.hurried, c.without
			s.Waiting = []Unit{saving(s, c.slack)}
			if plan := Make(s); len(plan.Starts) != c.starts {
				t.Fatalf("%d starts, want %d (%+v)", len(plan.Starts), c.starts, plan.Load)
			}
		})
	}
}

// While a data centre is closed the others look full, though most room is free:
// nothing is held back for a better place for long.
func TestClosedWorkersCountForWhetherMostRoomIsFree(t *testing.T) {
	s := twoRacks()
	s.Hurried = 1
	for _, id := range []string{"c1", "c2", "c3", "c4", "c5"} {
		w := Worker{ID: id, Rack: "c", Service: "s", Capacity: s.Workers[0].Capacity, Free: s.Workers[0].Capacity, Closed: true}
		s.Workers = append(s.Workers, w)
	}
	u := saving(s, time.Minute)
	u.Since = s.Now.Add(-2 * idleWait)
	s.Waiting = []Unit{u}
	if plan := Make(s); len(plan.Starts) != 1 || !plan.Load.Idle || plan.Load.Closed != 5 {
		t.Fatalf("%d starts, %+v", len(plan.Starts), plan.Load)
	}
}

func TestMechanismsAreReadFromAList(t *testing.T) {
	got, err := ParseWithout(" keep-idle, distrust,")
	if err != nil || len(got) != 2 || !got[KeepIdle] || !got[Distrust] {
		t.Fatalf("%v, %v", got, err)
	}
	if _, err := ParseWithout("luck"); err == nil {
		t.Fatal("an unknown mechanism is taken")
	}
}

// Work that takes many processors and few accelerators leaves the accelerators
// free. Once nothing new comes, nothing is held back for what may come.
func TestNothingIsHeldBackOnceNothingNewComes(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		s := twoRacks()
		s.Hurried, s.Quiet = 1, quiet
		for i := range s.Workers {
			s.Workers[i].Free = workload.Resources{MilliCPU: 8000, MemoryMiB: 64000, Accelerators: 5}
			s.Workers[i].Firm = 0
		}
		for i := range 2 {
			s.Workers[i].Free.Accelerators = 5
			s.Workers[2+i].Free.Accelerators = 3
		}
		u := saving(s, time.Minute)
		u.Step.Need.Accelerators = 4
		u.Since = s.Now.Add(-2 * idleWait)
		s.Waiting = []Unit{u}
		if plan := Make(s); (len(plan.Starts) == 1) != quiet {
			t.Errorf("quiet %t: %d starts, %+v", quiet, len(plan.Starts), plan.Load)
		}
	}
}
