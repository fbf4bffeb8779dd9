package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// restart has another incarnation answer under the worker's id.
func (s *cutOffScenario) restart(worker string, startMS int64) {
	s.c.HandleRenewal(RenewalOrder{Worker: worker, Token: 1}, RenewalAnswer{Result: Accepted, ClockMS: 1, StartMS: startMS}, s.now, s.now)
}

// Guards against counting one crash under a run twice: a run that was lost with one incarnation keeps
// its place until the next one has seen the raised token, and that one may end before.
func TestLostRunIsNotCountedAgainAtEndOfNextIncarnation(t *testing.T) {
	for name, end := range map[string]func(s *cutOffScenario){
		"another incarnation answers at the address": func(s *cutOffScenario) {
			s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
		},
		"lease expired, no longer listed": func(s *cutOffScenario) {
			s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
			s.c.RemoveWorker("w0", s.now)
			s.now = s.now.Add(8 * time.Second)
			s.round()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(false)
			s.c.workers["w0"].startMS = 1
			s.round()
			s.now = s.now.Add(100 * time.Millisecond)
			s.restart("w0", 2)
			task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
			if task.Crashes != 1 {
				t.Fatalf("%d crashes are counted after the first restart, want 1", task.Crashes)
			}
			s.now = s.now.Add(100 * time.Millisecond)
			end(s)
			if task.Crashes != 1 {
				t.Errorf("%d crashes are counted under one run, want 1", task.Crashes)
			}
		})
	}
}

// failCall has a call to a worker fail for as long as calls wait.
func (s *cutOffScenario) failCall(worker string) {
	sent := s.now
	s.now = s.now.Add(700 * time.Millisecond)
	s.c.HandleRenewal(RenewalOrder{Worker: worker, Token: 1}, RenewalAnswer{Result: Unanswered}, sent, s.now)
}

// Guards against counting as a crash that a worker was cut off with its data centre, when another
// worker there answers again just before the lease ends.
func TestLeaseThatEndsAsDataCentreReturnsIsNoCrash(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	neighbour := s.c.workers["w1"].Listing
	neighbour.DataCentre = "dc"
	s.c.workers["w0"].DataCentre, s.c.workers["w1"].DataCentre = "dc", "dc"
	s.failCall("w0")
	s.failCall("w1")
	s.now = s.now.Add(2 * time.Second)
	s.c.RemoveWorker("w0", s.now)
	s.c.RemoveWorker("w1", s.now)
	s.now = s.now.Add(1800 * time.Millisecond)
	s.failCall("w0")
	s.now = s.now.Add(100 * time.Millisecond)
	s.c.UpdateWorker(neighbour, s.now)
	s.renew("w1", nil, nil)
	s.now = s.now.Add(300 * time.Millisecond)
	s.round()
	if n := len(s.c.workers["w0"].runs); n != 0 {
		t.Fatalf("%d runs are still taken to be running", n)
	}
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Crashes != 0 {
		t.Errorf("%d crashes are counted although the whole data centre was cut off", task.Crashes)
	}
}

// Guards against taking a worker for crashed whose data centre is cut off, because a new planner has
// not read the entry that says in which one the worker is.
func TestWorkerInSilentDataCentreIsNoCrashForSuccessor(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.now = s.now.Add(time.Second)
	s.c.RemoveWorker("w0", s.now)
	progress := marshalProgress(t, s.c.jobs[s.id].progress)
	j, neighbour := s.c.jobs[s.id].Job, s.c.workers["w1"].Listing
	neighbour.DataCentre = "dc"
	s.c = New(s.c.bounds, 2, s.now)
	s.c.LimitInheritedLeases(s.now.Add(2 * time.Second))
	s.c.SetWorkers([]Listing{neighbour}, s.now)
	s.c.Adopt(s.id, workload.Entry{Job: j, State: workload.Running, Started: true, Progress: progress})
	s.failCall("w1")
	s.now = s.now.Add(2 * time.Second)
	s.c.Round(s.now, s.now.UnixMilli())
	if len(s.c.runs) != 0 {
		t.Fatalf("%d runs are still taken to be running", len(s.c.runs))
	}
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Crashes != 0 {
		t.Errorf("%d crashes are counted, %d of them as evidence, although no data centre answers", task.Crashes, task.Evidence())
	}
}

// Guards against taking a worker for crashed because its entry, which expired while the list could not
// be read, is not back at once. Until two seconds later that says nothing.
func TestEntryMissingRightAfterListGapIsNoCrash(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.now = s.now.Add(12 * time.Second)
	s.c.RecordListGap(s.now)
	s.c.RemoveWorker("w0", s.now)
	s.failCall("w0")
	s.round()
	if len(s.c.runs) != 0 {
		t.Fatalf("%d runs are still taken to be running", len(s.c.runs))
	}
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Crashes != 0 {
		t.Errorf("%d crashes are counted %v after the list could be read again", task.Crashes, s.now.Sub(s.c.listContinuousSince))
	}
}

// Guards against counting a crash under a run that had not begun: its only start was refused since a
// stop had arrived before it.
func TestRefusedStartOfStoppedRunIsNoProofThatItBegan(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	orders := s.c.Persisted(s.now)
	s.c.stop(s.c.runs[orders[0].Task], "preempted")
	stop := s.c.StopOrders()[0]
	s.c.HandleStopAnswer(stop, Answer{Result: Accepted}, s.now)
	s.c.HandleStartAnswer(orders[0], Answer{Result: Superseded}, s.now)
	s.now = s.now.Add(100 * time.Millisecond)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if task := s.c.jobs[s.id].progress.FindTask(orders[0].Task); task.AttributableCrashes() != 0 {
		t.Errorf("%d crashes are counted under a run that never began", task.AttributableCrashes())
	}
}

// Guards against counting a crash under a run that had been stopped for longer than a stop takes.
func TestCrashAfterStopHasEndedDoesNotCount(t *testing.T) {
	s := newCutOffScenario(false)
	orders := s.round()
	s.c.stop(s.c.runs[orders[0].Task], "preempted")
	s.c.HandleStopAnswer(s.c.StopOrders()[0], Answer{Result: Accepted}, s.now)
	s.now = s.now.Add(2 * s.c.bounds.StopTimeout)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
	s.now = s.now.Add(time.Second)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if task := s.c.jobs[s.id].progress.FindTask(orders[0].Task); task.Crashes != 0 {
		t.Errorf("%d crashes are counted under a run that had been stopped", task.Crashes)
	}
}
