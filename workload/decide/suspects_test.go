package decide

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// suspectCase has three workers of 8 accelerators, the first of which is the fullest.
func suspectCase(change func(s *Snapshot)) map[string]int {
	now := time.Unix(1000, 0)
	full := workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8}
	s := &Snapshot{Now: now, ReclaimWithin: 3 * time.Second, FarFactor: 1}
	for _, id := range []string{"w1", "w2", "w3"} {
		s.Workers = append(s.Workers, Worker{ID: id, Rack: "r", Capacity: full, Free: full})
	}
	s.Workers[0].Free.Accelerators = 6
	s.Workers[0].Occupant = "other"
	s.Waiting = []Unit{
		{Key: UnitKey{Job: "a"}, Step: &workload.Step{Count: 1, Need: workload.Resources{Accelerators: 1}}, Indexes: []int{0}, LatestStart: now, Worthless: now},
		{Key: UnitKey{Job: "b"}, Step: &workload.Step{Count: 1, Need: workload.Resources{Accelerators: 1}}, Indexes: []int{0}, LatestStart: now.Add(time.Second), Worthless: now.Add(time.Second)},
	}
	change(s)
	at := map[string]int{}
	for _, start := range Make(s).Starts {
		at[start.Worker+string(s.Waiting[start.Unit].Key.Job)]++
	}
	return at
}

func TestSuspectsArePlacedApart(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Snapshot)
		want   []string
	}{
		"without suspects the fullest worker is filled": {func(*Snapshot) {}, []string{"w1a", "w1b"}},
		"a suspect goes where most is free, another one elsewhere": {func(s *Snapshot) {
			s.Waiting[0].Suspect, s.Waiting[1].Suspect = true, true
		}, []string{"w2a", "w3b"}},
		"nothing new comes beside a suspect": {func(s *Snapshot) {
			s.Workers[0].Watched = "other"
		}, []string{"w2a", "w2b"}},
		"of its own job more may come": {func(s *Snapshot) {
			s.Workers[0].Watched = "a"
		}, []string{"w1a", "w2b"}},
		"where something has just begun is the second choice": {func(s *Snapshot) {
			s.Waiting[0].Suspect = true
			s.Workers[1].Unsettled = true
		}, []string{"w3a", "w1b"}},
		"one that is to be alone waits for a worker with nothing on it": {func(s *Snapshot) {
			s.Waiting[0].Suspect, s.Waiting[0].Alone = true, true
			s.Workers[1].Occupant, s.Workers[2].Shared = "other", true
		}, []string{"w1b"}},
	} {
		t.Run(name, func(t *testing.T) {
			at := suspectCase(c.change)
			for _, place := range c.want {
				if at[place] != 1 {
					t.Errorf("placed %v, want %v", at, c.want)
				}
			}
			if len(at) != len(c.want) {
				t.Errorf("placed %v, want %v", at, c.want)
			}
		})
	}
}
