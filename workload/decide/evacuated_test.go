package decide

import (
	"testing"
	"time"
)

// While operators evacuate half of the pool, utilization is that of the other half, so that a job
// waits for the rack of its data as it would in a smaller pool. If hardly anything of the whole
// pool is in use, no unit waits for long all the same.
func TestEvacuatedWorkersAreNotPartOfThePool(t *testing.T) {
	for name, c := range map[string]struct {
		free      []int64
		evacuated bool
		idle      bool
	}{
		"half is closed, the rest is busy":                           {free: []int64{2, 2, 8, 8}, idle: true},
		"half is evacuated, the rest is busy":                        {free: []int64{2, 2, 4, 4}, evacuated: true},
		"half is evacuated, the rest is busy, little is used in all": {free: []int64{2, 2, 8, 8}, evacuated: true, idle: true},
		"half is evacuated, the rest is idle, the half is not":       {free: []int64{7, 7, 0, 0}, evacuated: true, idle: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Snapshot{Now: now, Workers: racks(c.free)}
			for i := range s.Workers {
				s.Workers[i].Closed = i >= 2
				s.Workers[i].Evacuated = i >= 2 && c.evacuated
			}
			if got := MakePlan(s).Load; got.Underused != c.idle {
				t.Fatalf("%+v", got)
			}
		})
	}
}

// Workers whose rack is unknown must not be treated as one rack.
func TestWorkersWithoutARackDoNotShareOne(t *testing.T) {
	u := gang(2, 8, true)
	u.LatestStart = now.Add(-time.Hour)
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 8}), Waiting: []Unit{u}}
	for i := range s.Workers {
		s.Workers[i].Rack = ""
	}
	p := MakePlan(s)
	if len(p.Starts) != 2 || !p.Starts[0].Remote {
		t.Fatalf("%+v", p)
	}
}
