package control_test

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// drainFaults are faults in which a draining worker runs on although its entry disappears and it
// does not answer.
var drainFaults = map[string]func(s *scenario, id string){
	"cut off from everything at once": func(s *scenario, id string) { s.cutOff(id, 10*time.Second, 10*time.Second) },
	"cut off from the store, then from planners": func(s *scenario, id string) {
		s.cutOff(id, 10*time.Second, 0)
		s.advance(3 * time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"cut off from planners, then from the store": func(s *scenario, id string) {
		s.cutOff(id, 0, 10*time.Second)
		s.advance(time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"entry expires while the store is down": func(s *scenario, id string) {
		s.takeStoreDown(5 * time.Second)
		s.advance(2500 * time.Millisecond)
		s.cutOff(id, 10*time.Second, 10*time.Second)
	},
	"store loses its entries when it goes down": func(s *scenario, id string) {
		s.registry.losesEntries = true
		s.cutOff(id, 10*time.Second, 10*time.Second)
		s.takeStoreDown(time.Second)
	},
	"list is read later before the fault than after it": func(s *scenario, id string) {
		s.registry.readLag = 3 * time.Second
		s.advance(3 * time.Second)
		s.cutOff(id, 10*time.Second, 10*time.Second)
		s.advance(3 * time.Second)
		s.registry.readLag = 0
	},
}

// runDrain starts a long run, has its worker drain, injects a fault and advances the time until the
// worker's lease has expired. It returns the worker and the time of the fault.
func runDrain(m mutant, fault func(s *scenario, id string)) (s *scenario, id string, since time.Time) {
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
	fault(s, id)
	s.advance(9*time.Second - s.now.Sub(since))
	return s, id, since
}

// Guards against a task that runs twice because its worker, which is draining and unreachable, is
// taken for departed.
func TestUnreachableDrainingWorkerIsNotTakenForDeparted(t *testing.T) {
	t.Parallel()
	for name, fault := range drainFaults {
		t.Run(name, func(t *testing.T) {
			s, id, _ := runDrain(mutant{}, fault)
			s.check(t)
			for _, entry := range s.registry.history[0].list {
				if entry.ID == id {
					t.Error("the worker's entry is still listed")
				}
			}
		})
	}
}

func TestMutantsThatTakeUnreachableWorkerForDepartedAreDetected(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		m     mutant
		fault string
	}{
		"each removal counts as a departure":                     {mutant{heartbeatFactor: 1000}, "cut off from everything at once"},
		"each removal counts as a departure, reachable at first": {mutant{heartbeatFactor: 1000}, "cut off from the store, then from planners"},
		"entries expire later than assumed":                      {mutant{heartbeatFactor: 2}, "cut off from everything at once"},
		"entries are dated by when they are read":                {mutant{datedByRead: true}, "list is read later before the fault than after it"},
		"removals while the store is down count":                 {mutant{hiddenGaps: true}, "store loses its entries when it goes down"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, _ := runDrain(c.m, drainFaults[c.fault])
			if len(s.violations) == 0 {
				t.Fatal("no violations")
			}
			t.Log(s.violations[0])
		})
	}
}

// Guards against waiting for a departed worker's lease when the list is read late.
func TestDepartureIsNoticedInDelayedList(t *testing.T) {
	for _, lag := range []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			s, _, leftAt := runDrain(mutant{}, func(s *scenario, id string) {
				s.registry.readLag = lag
				s.departAsPlanned(id)
			})
			s.check(t)
			starts := s.starts(jobA)
			if len(starts) != 2 {
				t.Fatalf("%d starts, want 2", len(starts))
			}
			if took := starts[1].At.Sub(leftAt); took > maxIdleTime {
				t.Fatalf("the run was restarted only after %v", took)
			}
		})
	}
}
