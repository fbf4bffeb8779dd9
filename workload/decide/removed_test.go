package decide

import (
	"testing"
	"time"
)

// While operators evacuate half of the pool, what is left is what work can wait for:
// a job waits for the rack of its data there as it would in a smaller pool. Where
// hardly anything of the whole pool is in use nothing waits for long all the same.
func TestRemovedRoomIsNotPartOfThePool(t *testing.T) {
	for name, c := range map[string]struct {
		free    []int64
		removed bool
		idle    bool
	}{
		"half is closed, the rest is busy":                {free: []int64{2, 2, 8, 8}, idle: true},
		"half is removed, the rest is busy":               {free: []int64{2, 2, 4, 4}, removed: true},
		"half is removed, the rest is busy, little runs":  {free: []int64{2, 2, 8, 8}, removed: true, idle: true},
		"half is removed, the rest is idle, the half not": {free: []int64{7, 7, 0, 0}, removed: true, idle: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Snapshot{Now: now, Workers: racks(c.free)}
			for i := range s.Workers {
				s.Workers[i].Closed = i >= 2
				s.Workers[i].Removed = i >= 2 && c.removed
			}
			if got := Make(s).Load; got.Idle != c.idle {
				t.Fatalf("%+v", got)
			}
		})
	}
}

// Workers whose rack is not known are in no rack together.
func TestWorkersWithoutARackAreNotInOne(t *testing.T) {
	u := gang(2, 8, true)
	u.LatestStart = now.Add(-time.Hour)
	s := &Snapshot{Now: now, Workers: racks([]int64{8, 8}), Waiting: []Unit{u}}
	for i := range s.Workers {
		s.Workers[i].Rack = ""
	}
	p := Make(s)
	if len(p.Starts) != 2 || !p.Starts[0].Far {
		t.Fatalf("%+v", p)
	}
}
