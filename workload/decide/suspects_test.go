package decide

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// countStarts plans two units on three workers of 8 accelerators, the first of which is the
// fullest, and counts the starts by worker and job.
func countStarts(change func(s *Snapshot)) map[string]int {
	now := time.Unix(1000, 0)
	capacity := workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8}
	s := &Snapshot{Now: now, ReclaimWithin: 3 * time.Second, RemoteFactor: 1}
	for _, id := range []string{"w1", "w2", "w3"} {
		s.Workers = append(s.Workers, Worker{ID: id, Rack: "r", Capacity: capacity, Free: capacity})
	}
	s.Workers[0].Free.Accelerators = 6
	s.Workers[0].RunningJob = "other"
	s.Waiting = []Unit{
		{Key: UnitKey{Job: "a"}, Step: &workload.Step{Count: 1, Need: workload.Resources{Accelerators: 1}}, Indexes: []int{0}, LatestStart: now, WorthlessAfter: now},
		{Key: UnitKey{Job: "b"}, Step: &workload.Step{Count: 1, Need: workload.Resources{Accelerators: 1}}, Indexes: []int{0}, LatestStart: now.Add(time.Second), WorthlessAfter: now.Add(time.Second)},
	}
	change(s)
	starts := map[string]int{}
	for _, start := range MakePlan(s).Starts {
		starts[start.Worker+string(s.Waiting[start.Unit].Key.Job)]++
	}
	return starts
}

func TestSuspectsAreIsolated(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Snapshot)
		want   []string
	}{
		"without suspects the fullest worker is filled": {func(*Snapshot) {}, []string{"w1a", "w1b"}},
		"a suspect goes to the emptiest worker, another one elsewhere": {func(s *Snapshot) {
			s.Waiting[0].Suspect, s.Waiting[1].Suspect = true, true
		}, []string{"w2a", "w3b"}},
		"no other job joins a suspect": {func(s *Snapshot) {
			s.Workers[0].SuspectJob = "other"
		}, []string{"w2a", "w2b"}},
		"its own job may join a suspect": {func(s *Snapshot) {
			s.Workers[0].SuspectJob = "a"
		}, []string{"w1a", "w2b"}},
		"a worker with a recent start is the second choice": {func(s *Snapshot) {
			s.Waiting[0].Suspect = true
			s.Workers[1].HasRecentStart = true
		}, []string{"w3a", "w1b"}},
		"a suspect that has to run alone waits for an empty worker": {func(s *Snapshot) {
			s.Waiting[0].Suspect, s.Waiting[0].Exclusive = true, true
			s.Workers[1].RunningJob, s.Workers[2].HasSeveralJobs = "other", true
		}, []string{"w1b"}},
	} {
		t.Run(name, func(t *testing.T) {
			starts := countStarts(c.change)
			for _, place := range c.want {
				if starts[place] != 1 {
					t.Errorf("started %v, want %v", starts, c.want)
				}
			}
			if len(starts) != len(c.want) {
				t.Errorf("started %v, want %v", starts, c.want)
			}
		})
	}
}
