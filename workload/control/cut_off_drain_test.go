package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// cutOffDrains are troubles in which a worker that drains runs on although its entry goes and it
// does not answer.
var cutOffDrains = map[string]func(s *scene, id string){
	"from all at once": func(s *scene, id string) { s.cutOff(id, 10*time.Second, 10*time.Second) },
	"from the store, then from planners": func(s *scene, id string) {
		s.cutOff(id, 10*time.Second, 0)
		s.pass(3 * time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"from planners, then from the store": func(s *scene, id string) {
		s.cutOff(id, 0, 10*time.Second)
		s.pass(time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"its entry expires while the store is down": func(s *scene, id string) {
		s.goDown(5 * time.Second)
		s.pass(2500 * time.Millisecond)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"the store loses its entries as it goes down": func(s *scene, id string) {
		s.registry.drops = true
		s.cutOff(id, 10*time.Second, 10*time.Second)
		s.goDown(time.Second)
	},
	"the list is read later before it than after": func(s *scene, id string) {
		s.registry.lag = 3 * time.Second
		s.pass(3 * time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
		s.pass(3 * time.Second)
		s.registry.lag = 0
	},
}

// playDrain begins a long run, has its worker drain and what else happens, and passes the time
// until its lease is over.
func playDrain(m mutant, trouble func(s *scene, id string)) (s *scene, id string, since time.Time) {
	s = newScene()
	s.mutant = m
	s.registry = newRegistry()
	s.leaving = map[string]int64{}
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 40 * time.Second} }
	s.seats[0].dead = true
	s.claim(nil)
	s.add(jobA, nil, workload.Step{Count: 1, Need: need(8), EstimateMS: 8000})
	s.pass(2 * time.Second)
	id = s.starts(jobA)[0].Worker
	s.leaving[id] = 60_000
	s.pass(2 * time.Second)
	since = s.now
	trouble(s, id)
	s.pass(9*time.Second - s.now.Sub(since))
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
		"each removal is a departure":            {mutant{heartbeats: 1000}, "from all at once"},
		"answers show that the worker is heard":  {mutant{heartbeats: 1000}, "from the store, then from planners"},
		"entries expire later than believed":     {mutant{heartbeats: 2}, "from all at once"},
		"entries are dated by their reading":     {mutant{datedByReading: true}, "the list is read later before it than after"},
		"removals while the store is down count": {mutant{untoldGaps: true}, "the store loses its entries as it goes down"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, _ := playDrain(c.m, cutOffDrains[c.scene])
			if len(s.problems) == 0 {
				t.Fatal("nothing broke")
			}
			t.Log(s.problems[0])
		})
	}
}

func TestAWorkerThatHasLeftIsNoticedInAListThatIsReadLate(t *testing.T) {
	for _, lag := range []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			s, _, left := playDrain(mutant{}, func(s *scene, id string) {
				s.registry.lag = lag
				s.leave(id)
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
