package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// cutOffDrains are troubles in which a worker that drains runs on although its entry goes and it
// does not answer.
var cutOffDrains = map[string]func(s *scenario, id string){
	"from all at once": func(s *scenario, id string) { s.cutOff(id, 10*time.Second, 10*time.Second) },
	"from the store, then from planners": func(s *scenario, id string) {
		s.cutOff(id, 10*time.Second, 0)
		s.advance(3 * time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"from planners, then from the store": func(s *scenario, id string) {
		s.cutOff(id, 0, 10*time.Second)
		s.advance(time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"its entry expires while the store is down": func(s *scenario, id string) {
		s.takeStoreDown(5 * time.Second)
		s.advance(2500 * time.Millisecond)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"the store loses its entries as it goes down": func(s *scenario, id string) {
		s.registry.losesEntries = true
		s.cutOff(id, 10*time.Second, 10*time.Second)
		s.takeStoreDown(time.Second)
	},
	"the list is read later before it than after": func(s *scenario, id string) {
		s.registry.readLag = 3 * time.Second
		s.advance(3 * time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
		s.advance(3 * time.Second)
		s.registry.readLag = 0
	},
}

// playDrain begins a long run, has its worker drain and what else happens, and passes the time
// until its lease is over.
func playDrain(m mutant, trouble func(s *scenario, id string)) (s *scenario, id string, since time.Time) {
	s = newScenario()
	s.mutant = m
	s.registry = newRegistry()
	s.drainRemainingMS = map[string]int64{}
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 40 * time.Second} }
	s.planners[0].dead = true
	s.startPlanner(nil)
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(8), EstimateMS: 8000})
	s.advance(2 * time.Second)
	id = s.starts(jobA)[0].Worker
	s.drainRemainingMS[id] = 60_000
	s.advance(2 * time.Second)
	since = s.now
	trouble(s, id)
	s.advance(9*time.Second - s.now.Sub(since))
	return s, id, since
}

// Guards against a task that runs twice since its worker, which drains and is cut off, is taken for
// one that has left.
func TestADrainingWorkerThatIsOnlyCutOffIsNotTakenForGone(t *testing.T) {
	for name, trouble := range cutOffDrains {
		t.Run(name, func(t *testing.T) {
			s, id, _ := playDrain(mutant{}, trouble)
			s.check(t)
			for _, l := range s.registry.history[0].list {
				if l.ID == id {
					t.Error("its entry is still listed")
				}
			}
		})
	}
}

func TestMutantsThatTakeACutOffWorkerForGoneAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		m     mutant
		scene string
	}{
		"each removal is a departure":            {mutant{heartbeatFactor: 1000}, "from all at once"},
		"answers show that the worker is heard":  {mutant{heartbeatFactor: 1000}, "from the store, then from planners"},
		"entries expire later than believed":     {mutant{heartbeatFactor: 2}, "from all at once"},
		"entries are dated by their reading":     {mutant{datedByRead: true}, "the list is read later before it than after"},
		"removals while the store is down count": {mutant{hiddenGaps: true}, "the store loses its entries as it goes down"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, _ := playDrain(c.m, cutOffDrains[c.scene])
			if len(s.violations) == 0 {
				t.Fatal("nothing broke")
			}
			t.Log(s.violations[0])
		})
	}
}

func TestAWorkerThatHasLeftIsNoticedInAListThatIsReadLate(t *testing.T) {
	for _, lag := range []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			s, _, left := playDrain(mutant{}, func(s *scenario, id string) {
				s.registry.readLag = lag
				s.departAsPlanned(id)
			})
			s.check(t)
			starts := s.starts(jobA)
			if len(starts) != 2 {
				t.Fatalf("%d starts", len(starts))
			}
			if took := starts[1].At.Sub(left); took > forgottenAfter {
				t.Fatalf("its run begins again after %v", took)
			}
		})
	}
}
