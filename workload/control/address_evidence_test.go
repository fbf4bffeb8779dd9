package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// listAt lists a worker at the address of w0.
func (s *cutOffScenario) listAt(id string, startMS int64) {
	s.c.UpdateWorker(Listing{ID: id, Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: startMS}, s.now)
	s.c.SettleUnlisted(s.now)
}

func (s *cutOffScenario) unlist(id string) {
	s.c.RemoveWorker(id, s.now)
	s.c.SettleUnlisted(s.now)
}

// nextPoll returns the worker's next lease renewal, which must be due.
func (s *cutOffScenario) nextPoll(t *testing.T, worker string) RenewalOrder {
	t.Helper()
	order, ok := s.c.NextRenewal(worker, s.now)
	if !ok {
		t.Fatalf("no lease renewal of %s is due", worker)
	}
	return order
}

// Guards against starting the tasks of a running worker a second time because a late heartbeat of
// its predecessor at the address, which has ended, lists that one again.
func TestLateHeartbeatOfEndedIncarnationDoesNotEndItsSuccessor(t *testing.T) {
	for name, ended := range map[string]bool{"known to have ended": true, "not polled yet": false} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			if n := len(s.round()); n != 2 {
				t.Fatalf("%d tasks were started, want 2", n)
			}
			s.listAt("predecessor", 5)
			if ended {
				s.c.HandleRenewal(s.nextPoll(t, "predecessor"), RenewalAnswer{Result: Gone}, s.now, s.now)
			}
			s.unlist("w0")
			if n := len(s.round()); n != 0 || len(s.c.runs) != 2 || s.c.workers["w0"].gone {
				t.Fatalf("%d tasks were started again, %d of 2 runs are left", n, len(s.c.runs))
			}
			order := s.nextPoll(t, "w0")
			s.c.HandleRenewal(order, RenewalAnswer{Result: Gone}, s.now, s.now)
			if len(s.c.runs) != 0 {
				t.Fatal("an answer of another incarnation did not end the worker's")
			}
		})
	}
}

// A worker must get no new work while another one is listed at its address, until it has answered a
// poll that was sent after that one appeared.
func TestWorkersAtOneAddressGetNoWorkBeforeTheyAnswer(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].strayOrdersUntil = s.now.Add(time.Second)
	s.now = s.now.Add(pollPause)
	early := s.nextPoll(t, "w0")
	s.listAt("successor", 5)
	answer := RenewalAnswer{Result: Accepted, ClockMS: 10}
	s.c.HandleRenewal(early, answer, s.now, s.now)
	if n := len(s.round()); n != 0 {
		t.Fatalf("%d tasks were started at an address that two workers claim", n)
	}
	order := s.nextPoll(t, "w0")
	if order.Wait != 0 {
		t.Errorf("the poll may take %v, want an immediate answer", order.Wait)
	}
	s.c.HandleRenewal(order, answer, s.now, s.now)
	if n := len(s.round()); n != 2 {
		t.Fatalf("%d tasks were started after the worker had answered, want 2", n)
	}
}

// Guards against polling an ended incarnation, and counting its end as another crash, each time that
// a late heartbeat lists it again.
func TestEndedIncarnationListedAgainIsKnownToHaveEnded(t *testing.T) {
	s := newCutOffScenario(false)
	s.listAt("predecessor", 5)
	s.c.HandleRenewal(s.nextPoll(t, "predecessor"), RenewalAnswer{Result: Gone}, s.now, s.now)
	crashes := len(s.c.crashHistory.crashes)
	s.unlist("predecessor")
	s.now = s.now.Add(time.Second)
	s.listAt("predecessor", 5)
	if _, polled := s.c.NextRenewal("predecessor", s.now); polled || len(s.c.crashHistory.crashes) != crashes {
		t.Errorf("polled %t, %d crashes instead of %d", polled, len(s.c.crashHistory.crashes), crashes)
	}
	s.listAt("predecessor", 6)
	s.nextPoll(t, "predecessor")
	s.unlist("predecessor")
	s.now = s.now.Add(2 * endedRetention)
	s.unlist("w0")
	s.listAt("predecessor", 5)
	s.nextPoll(t, "predecessor")
}

// Guards against tasks that are started on a draining worker because a heartbeat that it had sent
// before arrives late.
func TestOlderEntryOfSameIncarnationDoesNotUndoDrain(t *testing.T) {
	for name, c := range map[string]struct {
		startMS  int64
		sequence int64
		starts   int
	}{
		"older entry":                       {startMS: 7, sequence: 3},
		"newer entry":                       {startMS: 7, sequence: 5, starts: 2},
		"first entry of a next incarnation": {startMS: 8, sequence: 1, starts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			entry := Listing{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: 7, Sequence: 4, Draining: true}
			s.c.UpdateWorker(entry, s.now)
			entry.StartMS, entry.Sequence, entry.Draining = c.startMS, c.sequence, false
			s.c.UpdateWorker(entry, s.now)
			s.answerAsIncarnation(t, "w0", c.startMS, 10)
			if n := len(s.round()); n != c.starts {
				t.Errorf("%d tasks were started, want %d", n, c.starts)
			}
		})
	}
}
