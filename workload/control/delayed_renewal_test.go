package control_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// delayedRenewalScenario is a planner with a worker on which a job's tasks run.
type delayedRenewalScenario struct {
	began, now time.Time
	bounds     control.Bounds
	c          *control.Core
	fleet      workertest.Fleet
}

func newDelayedRenewalScenario() *delayedRenewalScenario {
	began := time.Unix(100_000, 0)
	s := &delayedRenewalScenario{began: began, now: began, bounds: control.Bounds{Lease: 10 * time.Second, AuthorityPeriod: 10 * time.Second, Horizon: 13 * time.Second, StopTimeout: 200 * time.Millisecond, PollWait: time.Second, RemoteFactor: 3}}
	s.c = control.New(s.bounds, 2, began)
	s.c.Configure(control.Configuration{Queues: map[string]workload.QueueSettings{"q": {MaxAttempts: 3, Stretch: 3, TargetMS: 1000}}})
	capacity := workload.Resources{Accelerators: 8}
	s.c.SetWorkers([]control.Listing{{ID: "w0", Address: "0", Rack: "r", Capacity: capacity}}, began)
	job := &workload.Job{ID: jobA, Queue: "q", AcceptedMS: began.UnixMilli(), Steps: []workload.Step{{Count: 2, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
	s.fleet = workertest.Fleet{Limits: workertest.Limits{MaxLease: s.bounds.Lease, StopTimeout: 200 * time.Millisecond, GangTimeout: time.Second}}
	s.fleet.Step = func(workload.TaskID) (workload.Step, bool) { return job.Steps[0], true }
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 5 * time.Minute} }
	w := s.fleet.Add("w0", capacity, 0.98, began)
	for i := range 2 {
		w.Start(control.StartOrder{Worker: "w0", Task: workload.TaskID{Job: job.ID, Index: i}, Run: 1, DeadlineMS: w.ClockMS(began) + 10_000, Token: 1}, began)
	}
	placed := workload.Task{Phase: workload.Placed, Run: 1, Worker: "w0"}
	value, _ := json.Marshal(&workload.Progress{State: workload.Running, Started: true, NextOccurrence: 1, Open: []*workload.Occurrence{{Steps: [][]workload.Task{{placed, placed}}}}})
	s.c.RecordWrite(began)
	s.c.Adopt(job.ID, workload.Entry{Job: job, State: workload.Running, Started: true, Progress: value})
	return s
}

func (s *delayedRenewalScenario) at(d time.Duration) { s.now = s.began.Add(d) }

func (s *delayedRenewalScenario) nextRenewal(t *testing.T) control.RenewalOrder {
	t.Helper()
	order, ok := s.c.NextRenewal("w0", s.now)
	if !ok {
		t.Fatalf("no lease renewal at %v", s.now.Sub(s.began))
	}
	return order
}

func (s *delayedRenewalScenario) renew(t *testing.T) {
	t.Helper()
	order := s.nextRenewal(t)
	s.c.HandleRenewal(order, s.fleet.Workers["w0"].Renew(order, s.now), s.now, s.now)
}

// loseRenewal sends a lease renewal that is not answered in time.
func (s *delayedRenewalScenario) loseRenewal(t *testing.T, ended time.Duration) control.RenewalOrder {
	t.Helper()
	order, sent := s.nextRenewal(t), s.now
	s.at(ended)
	s.c.HandleRenewal(order, control.RenewalAnswer{Result: control.Unanswered}, sent, s.now)
	return order
}

// Guards against runs that outlast the horizon: a lease renewal with a deadline by the clock of the
// previous incarnation is delayed, and reaches the next one while work runs there. That one takes
// the deadline for a whole lease.
func TestDelayedRenewalDoesNotExtendTheLeaseOfTheNextIncarnation(t *testing.T) {
	s := newDelayedRenewalScenario()
	s.at(100 * time.Millisecond)
	s.renew(t)
	s.at(200 * time.Millisecond)
	s.renew(t)
	s.at(300 * time.Millisecond)
	s.fleet.Kill("w0", s.now)
	s.loseRenewal(t, 500*time.Millisecond)
	s.fleet.Restart("w0", s.now)
	s.at(800 * time.Millisecond)
	delayed := s.loseRenewal(t, 1400*time.Millisecond)
	s.at(1700 * time.Millisecond)
	s.renew(t)
	s.at(1800 * time.Millisecond)
	s.renew(t)
	s.at(2 * time.Second)
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	s.c.RecordWrite(s.now)
	lastWrite := s.now
	starts := s.c.Persisted(s.now)
	for _, o := range starts {
		if got := s.fleet.Workers["w0"].Start(o, s.now).Result; got != control.Accepted {
			t.Errorf("a start on the next incarnation was answered %v", got)
		}
	}
	if len(starts) != 2 {
		t.Fatalf("%d starts on the next incarnation, want 2", len(starts))
	}
	s.at(9 * time.Second)
	if got := s.fleet.Workers["w0"].Renew(delayed, s.now).Result; got != control.Fenced {
		t.Errorf("the delayed renewal was answered %v", got)
	}
	s.now = lastWrite.Add(control.LeaseTime(s.bounds.Horizon))
	s.fleet.Advance(s.now)
	if n := s.fleet.Workers["w0"].Running(); n > 0 {
		t.Errorf("%d tasks run %v after the last write, when a successor takes all leases for ended", n, s.now.Sub(lastWrite))
	}
}
