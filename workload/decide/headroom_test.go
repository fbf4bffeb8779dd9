package decide

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// twoRackSnapshot has two racks of two workers: a is half free, b is nearly full of
// non-checkpointed work, which must not be thrown away.
func twoRackSnapshot() *Snapshot {
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	s := &Snapshot{Now: time.Unix(1000, 0), Headroom: 8, RemoteFactor: 3, StopTimeout: 900 * time.Millisecond}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		w := Worker{ID: id, Rack: id[:1], Service: "s", Capacity: capacity, Free: capacity}
		if id[0] == 'b' {
			w.Free.Accelerators, w.NonCheckpointed = 1, 7
		}
		s.Workers = append(s.Workers, w)
	}
	// Most capacity is in use.
	s.Workers[0].Free.Accelerators, s.Workers[1].Free.Accelerators = 4, 4
	return s
}

func checkpointingUnit(s *Snapshot, slack time.Duration) Unit {
	return Unit{
		Step: &workload.Step{Count: 1, Need: workload.Resources{Accelerators: 2}, Checkpoint: true}, Service: "s", Indexes: []int{0}, Priority: 1,
		ReadySince: s.Now, LatestStart: s.Now.Add(slack), WorthlessAfter: s.Now.Add(time.Hour), RunTime: time.Second,
	}
}

// Short top-priority work can't wait for a stop: the racks reserved for it are closed even to work
// that could be stopped without loss, as long as that work has time.
func TestReservedRacksStayIdleWhenTheFirstPriorityCannotWaitForAStop(t *testing.T) {
	for _, c := range []struct {
		name     string
		urgent   float64
		slack    time.Duration
		disabled DisabledMechanisms
		starts   int
	}{
		{"top-priority work is urgent", 0.5, time.Minute, nil, 0},
		{"top-priority work has time", 0.1, time.Minute, nil, 1},
		{"the other work has no time", 0.5, -time.Second, nil, 1},
		{"disabled", 0.5, time.Minute, DisabledMechanisms{KeepReservedIdle: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := twoRackSnapshot()
			s.UrgentShare, s.Disabled = c.urgent, c.disabled
			s.Waiting = []Unit{checkpointingUnit(s, c.slack)}
			if plan := MakePlan(s); len(plan.Starts) != c.starts {
				t.Fatalf("%d starts, want %d; load %+v", len(plan.Starts), c.starts, plan.Load)
			}
		})
	}
}

// While a data centre is closed the others look full although most capacity is free: no unit waits
// long for a better place.
func TestClosedWorkersCountTowardsUtilization(t *testing.T) {
	s := twoRackSnapshot()
	s.UrgentShare = 1
	for _, id := range []string{"c1", "c2", "c3", "c4", "c5"} {
		w := Worker{ID: id, Rack: "c", Service: "s", Capacity: s.Workers[0].Capacity, Free: s.Workers[0].Capacity, Closed: true}
		s.Workers = append(s.Workers, w)
	}
	u := checkpointingUnit(s, time.Minute)
	u.ReadySince = s.Now.Add(-2 * maxUnderusedWait)
	s.Waiting = []Unit{u}
	if plan := MakePlan(s); len(plan.Starts) != 1 || !plan.Load.Underused || plan.Load.ClosedWorkers != 5 {
		t.Fatalf("%d starts, load %+v", len(plan.Starts), plan.Load)
	}
}

func TestParseDisabledMechanisms(t *testing.T) {
	got, err := ParseDisabled(" keep-idle, distrust,")
	if err != nil || len(got) != 2 || !got[KeepReservedIdle] || !got[Distrust] {
		t.Fatalf("%v, %v", got, err)
	}
	if got, err := ParseDisabled("admission"); err != nil || !got[Admission] {
		t.Errorf("%v, %v: the instances' admission can't be disabled", got, err)
	}
	if _, err := ParseDisabled("luck"); err == nil {
		t.Fatal("an unknown mechanism is accepted")
	}
}

// Work that takes many processors and few accelerators leaves accelerators free. Once no new work
// arrives, no capacity is held back for arrivals.
func TestNothingIsDeferredOnceArrivalsStop(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		s := twoRackSnapshot()
		s.UrgentShare, s.NoRecentArrivals = 1, quiet
		for i := range s.Workers {
			s.Workers[i].Free = workload.Resources{MilliCPU: 8000, MemoryMiB: 64000, Accelerators: 5}
			s.Workers[i].NonCheckpointed = 0
		}
		for i := range 2 {
			s.Workers[i].Free.Accelerators = 5
			s.Workers[2+i].Free.Accelerators = 3
		}
		u := checkpointingUnit(s, time.Minute)
		u.Step.Need.Accelerators = 4
		u.ReadySince = s.Now.Add(-2 * maxUnderusedWait)
		s.Waiting = []Unit{u}
		if plan := MakePlan(s); (len(plan.Starts) == 1) != quiet {
			t.Errorf("quiet %t: %d starts, load %+v", quiet, len(plan.Starts), plan.Load)
		}
	}
}
