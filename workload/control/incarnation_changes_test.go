package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// answerAsIncarnation answers the next lease renewal of a worker as the incarnation with the given
// start time and clock, on which nothing runs.
func (s *cutOffScenario) answerAsIncarnation(t *testing.T, worker string, born, clockMS int64) {
	t.Helper()
	s.now = s.now.Add(RenewalRetryPause + pollPause)
	order, ok := s.c.NextRenewal(worker, s.now)
	if !ok {
		t.Fatalf("no lease renewal is sent to %s", worker)
	}
	s.c.HandleRenewal(order, RenewalAnswer{Result: Accepted, ClockMS: clockMS, StartMS: born}, s.now, s.now)
}

// Guards against a gang that waits for ever for a run that was never started. Its start was decided
// while the worker was reachable, and sent after the worker had fallen silent, so the order carried
// the raised token. The worker's next incarnation answered under that token, so the run counted as
// one that might still be started there for as long as the worker answered: it was still there 3 s
// and 12 lease renewals after the restart.
func TestStartSentToSilentWorkerIsSettledByNextIncarnation(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newCutOffScenario(gang)
		s.c.workers["w0"].startMS = 7
		s.c.Round(s.now, s.now.UnixMilli())
		s.c.Changes()
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Unanswered}, s.now, s.now)
		for _, o := range s.c.Persisted(s.now) {
			s.c.HandleStartAnswer(o, Answer{Result: Unanswered}, s.now)
		}
		if len(s.c.runs) != 2 {
			t.Fatalf("%d runs were ordered", len(s.c.runs))
		}
		for i := range int64(3) {
			s.answerAsIncarnation(t, "w0", 8, 10+300*i)
		}
		for id, r := range s.c.runs {
			if r.incarnation != s.c.workers["w0"].number {
				t.Fatalf("gang %t: %v still belongs to an incarnation that has ended", gang, id)
			}
		}
	}
}

// If the planner did not notice that the previous incarnation fell silent, orders to it may still
// arrive. Its runs must not be settled before the next one has answered under a raised token.
func TestUnnoticedRestartIsSettledOnlyUnderRaisedToken(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].startMS = 7
	if n := len(s.round()); n != 2 {
		t.Fatalf("%d tasks were started", n)
	}
	s.answerAsIncarnation(t, "w0", 8, 10)
	if len(s.c.runs) != 2 {
		t.Fatalf("%d runs are left while orders to their incarnation may be in transit, want 2", len(s.c.runs))
	}
	s.now = s.now.Add(time.Second)
	s.answerAsIncarnation(t, "w0", 8, 900)
	if len(s.c.runs) != 0 {
		t.Fatalf("%d runs are not settled", len(s.c.runs))
	}
}

// A worker whose address belonged to another worker for a while must be used again once it is listed
// with another start time.
func TestGoneWorkerIsUsedAgainAsNewIncarnation(t *testing.T) {
	s := newCutOffScenario(false)
	entry := Listing{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: 7}
	s.c.SetWorkers([]Listing{entry}, s.now)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1, Address: "0"}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if n := len(s.round()); n != 0 {
		t.Fatalf("%d tasks were started on a worker that is gone", n)
	}
	entry.StartMS = 8
	s.c.SetWorkers([]Listing{entry}, s.now)
	s.answerAsIncarnation(t, "w0", 8, 10)
	if n := len(s.round()); n != 2 {
		t.Fatalf("%d tasks were started on its next incarnation, want 2", n)
	}
}

// An answer from a worker's former address must not settle its runs.
func TestAnswerFromFormerAddressDoesNotEndIncarnation(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1, Address: "elsewhere"}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if len(s.c.runs) != 2 || s.c.workers["w0"].gone {
		t.Fatalf("%d runs are left", len(s.c.runs))
	}
}

// Guards against a task that runs twice because a late entry shows its worker at the address of an
// earlier incarnation, where another worker answers.
func TestAnswerFromAddressOfEarlierIncarnationDoesNotEndTheCurrentOne(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1, Address: "0"}, RenewalAnswer{Result: Accepted, ClockMS: 1, StartMS: 8}, s.now, s.now)
	s.round()
	s.c.UpdateWorker(Listing{ID: "w0", Address: "elsewhere", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, StartMS: 7}, s.now)
	order, _ := s.c.NextRenewal("w0", s.now)
	s.c.HandleRenewal(order, RenewalAnswer{Result: Gone}, s.now, s.now)
	if order.Address != "elsewhere" || len(s.c.runs) != 2 || s.c.workers["w0"].gone {
		t.Fatalf("%d of 2 runs are left after an answer from %s", len(s.c.runs), order.Address)
	}
}

// Guards against settling runs because of a late answer to a stop that was sent to an earlier
// incarnation.
func TestAnswerToStopOfEarlierIncarnationDoesNotEndTheCurrentOne(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].startMS = 7
	s.round()
	r := s.c.runs[s.firstStepTask(0)]
	stop := newStopOrder(r.worker, r.id, r.run)
	s.answerAsIncarnation(t, "w0", 8, 10)
	s.c.HandleStopAnswer(stop, Answer{Result: Gone}, s.now)
	if s.c.workers["w0"].gone {
		t.Fatal("the worker is taken to have ended")
	}
}

// Runs that a planner adopted and saw running must be lost with their worker's incarnation, and the
// crash must count, as for runs that it ordered itself.
func TestAdoptedRunsAreLostWithTheirWorkersIncarnation(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].startMS = 7
	s.round()
	for _, r := range s.c.runs {
		r.ordered, r.incarnation, r.token = false, 0, 0
	}
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: 1, Percent: 1}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
	s.answerAsIncarnation(t, "w0", 8, 10)
	for i := range 2 {
		if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(i)); task.Phase != workload.Waiting || task.Crashes != 1 {
			t.Fatalf("task is %+v, want it waiting with 1 crash", task)
		}
	}
}
