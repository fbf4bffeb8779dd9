package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// answerAs answers the next hold of a worker as a life of it, with nothing running there.
func (s *cutOffScenario) answerAs(t *testing.T, worker string, born, clockMS int64) {
	t.Helper()
	s.now = s.now.Add(HoldRetry + pollPause)
	order, ok := s.c.Hold(worker, s.now)
	if !ok {
		t.Fatalf("%s is not asked", worker)
	}
	s.c.Held(order, HoldAnswer{Verdict: Accepted, ClockMS: clockMS, Born: born}, s.now, s.now)
}

// A start was decided while its worker was heard, and went out once its record was written,
// when the worker had fallen silent: it carried the raised token already. The worker's next
// life answered under that token, so that the run counted as one that might still begin there,
// and stayed so for as long as the worker answered: its gang waited until the end of the day.
//
// What settled it is this test: after the restart 1 run is live, 3 s and 12 holds later too.
func TestAStartThatWentOutInASilenceIsSettledByTheNextLife(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newCutOffScenario(gang)
		s.c.workers["w0"].startMS = 7
		s.c.Round(s.now, s.now.UnixMilli())
		s.c.Changes()
		s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Unanswered}, s.now, s.now)
		for _, o := range s.c.Persisted(s.now) {
			s.c.Started(o, Answer{Verdict: Unanswered}, s.now)
		}
		if len(s.c.runs) != 2 {
			t.Fatalf("%d runs were ordered", len(s.c.runs))
		}
		for i := range int64(3) {
			s.answerAs(t, "w0", 8, 10+300*i)
		}
		for id, l := range s.c.runs {
			if l.incarnation != s.c.workers["w0"].number {
				t.Fatalf("gang %t: %v waits for a life that is over", gang, id)
			}
		}
	}
}

// Where the planner never heard the earlier life fall silent, the next one has to answer a
// raised token before anything is settled.
func TestARestartThatNobodyHeardIsSettledUnderARaisedToken(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].startMS = 7
	if n := len(s.round()); n != 2 {
		t.Fatalf("%d tasks began", n)
	}
	s.answerAs(t, "w0", 8, 10)
	if len(s.c.runs) != 2 {
		t.Fatalf("%d runs of a life whose orders may be on their way", len(s.c.runs))
	}
	s.now = s.now.Add(time.Second)
	s.answerAs(t, "w0", 8, 900)
	if len(s.c.runs) != 0 {
		t.Fatalf("%d runs are not settled", len(s.c.runs))
	}
}

// A worker whose address was another's for a while is used again once it is listed with
// another birth.
func TestAWorkerThatWasGoneComesBackAsAnotherLife(t *testing.T) {
	s := newCutOffScenario(false)
	entry := Listing{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1, Born: 7}
	s.c.List([]Listing{entry}, s.now)
	s.c.Held(HoldOrder{Worker: "w0", Token: 1, Address: "0"}, HoldAnswer{Verdict: Gone}, s.now, s.now)
	if n := len(s.round()); n != 0 {
		t.Fatalf("%d tasks begin on a worker that is gone", n)
	}
	entry.Born = 8
	s.c.List([]Listing{entry}, s.now)
	s.answerAs(t, "w0", 8, 10)
	if n := len(s.round()); n != 2 {
		t.Fatalf("%d tasks begin on its next life", n)
	}
}

// A refusal from an address that a worker has left says nothing of it.
func TestAnAnswerFromAnAddressThatAWorkerHasLeftEndsNoLife(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.c.Held(HoldOrder{Worker: "w0", Token: 1, Address: "elsewhere"}, HoldAnswer{Verdict: Gone}, s.now, s.now)
	if len(s.c.runs) != 2 || s.c.workers["w0"].gone {
		t.Fatalf("%d runs are left", len(s.c.runs))
	}
}

// Runs that a planner took over and has seen at work are lost with their worker's life, and its
// crash counts, as for those that it ordered itself.
func TestRunsThatWereTakenOverAreLostWithTheirWorkersLife(t *testing.T) {
	s := newCutOffScenario(false)
	s.c.workers["w0"].startMS = 7
	s.round()
	for _, l := range s.c.runs {
		l.ordered, l.incarnation, l.token = false, 0, 0
	}
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: 1, Percent: 1}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
	s.answerAs(t, "w0", 8, 10)
	for i := range 2 {
		if task := s.c.jobs[s.id].progress.Find(s.firstStepTask(i)); task.Phase != workload.Waiting || task.Crashes != 1 {
			t.Fatalf("%+v", task)
		}
	}
}
