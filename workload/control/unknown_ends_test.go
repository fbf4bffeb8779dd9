package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// unknownEndsScenario is a planner that has just started. Its worker reports the ends of a job's two
// tasks, which are placed there according to the job's record.
type unknownEndsScenario struct {
	c   *Core
	now time.Time
	id  workload.JobID
	job *workload.Job
}

func newUnknownEndsScenario() *unknownEndsScenario {
	s := &unknownEndsScenario{now: time.Unix(1000, 0), id: "00000000000000aa"}
	s.c = New(Bounds{Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, StopTimeout: 400 * time.Millisecond, PollWait: time.Second, RemoteFactor: 3}, 2, s.now)
	s.c.Configure(Configuration{Queues: map[string]workload.QueueSettings{"q": {MaxAttempts: 3, Stretch: 3, TargetMS: 1000}}})
	s.c.SetWorkers([]Listing{{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}}, s.now)
	s.job = &workload.Job{ID: s.id, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 2, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
	return s
}

func (s *unknownEndsScenario) task(index int) workload.TaskID {
	return workload.TaskID{Job: s.id, Index: index}
}

// adopt passes the job to the planner, with progress in which both tasks are placed for their first
// run.
func (s *unknownEndsScenario) adopt(t *testing.T) {
	t.Helper()
	progress := &workload.Progress{State: workload.Running, Started: true, NextOccurrence: 1}
	placed := workload.Task{Phase: workload.Placed, Run: 1, Worker: "w0"}
	progress.Open = []*workload.Occurrence{{Steps: [][]workload.Task{{placed, placed}}}}
	value, err := json.Marshal(progress)
	if err != nil {
		t.Fatal(err)
	}
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Running, Started: true, Progress: value})
}

// maxListedEnds is the number of ends that a worker reports at a time.
const maxListedEnds = 500

// renew carries out one lease renewal. The worker forgets acknowledged ends. It returns the number
// of the last acknowledged end.
func (s *unknownEndsScenario) renew(rows ...EndedRow) int64 {
	s.now = s.now.Add(500 * time.Millisecond)
	order, _ := s.c.NextRenewal("w0", s.now)
	if order.Worker == "" {
		order = RenewalOrder{Worker: "w0", Token: s.c.workerToken(), Incarnation: 1}
	}
	listed := []EndedRow{}
	for _, row := range rows {
		if row.Number > order.AcknowledgedEnd {
			listed = append(listed, row)
		}
	}
	page := listed[:min(len(listed), maxListedEnds)]
	s.c.HandleRenewal(order, RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000, Ended: page, More: len(listed) > len(page)}, s.now, s.now)
	return order.AcknowledgedEnd
}

func (s *unknownEndsScenario) round() []StartOrder {
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	return s.c.Persisted(s.now)
}

// If an end is acknowledged before it was applied to its job's record, its task is started again.
func TestEndOfUnknownJobIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, End: EndDone}, {Number: 2, Task: s.task(1), Run: 1, End: EndDone}}
	for range 3 {
		if cursor := s.renew(ends...); cursor > 0 {
			t.Fatalf("ends up to %d are acknowledged while their job is unknown", cursor)
		}
		s.round()
	}
	s.adopt(t)
	for range 3 {
		s.renew(ends...)
		if starts := s.round(); len(starts) > 0 {
			t.Fatalf("%v is started again after it was done", starts[0].Task)
		}
	}
	if j := s.c.jobs[s.id]; j != nil && j.progress.State != workload.Completed {
		t.Fatalf("the job is %s after all of its tasks were done", j.progress.State)
	}
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 2 {
		t.Errorf("ends up to %d are acknowledged, want 2", cursor)
	}
}

// The end of a finished job must be acknowledged, and so must the end of a job that is still unknown
// when no run of an earlier planner can be left.
func TestEndOfFinishedJobIsAcknowledged(t *testing.T) {
	for name, finish := range map[string]func(*unknownEndsScenario){
		"finished, with progress": func(s *unknownEndsScenario) {
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Completed, Settled: true, Progress: []byte(`{"state":"completed","begun":true,"next":1}`)})
		},
		"finished, without progress": func(s *unknownEndsScenario) {
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Completed, Started: true})
		},
		"unknown until all inherited leases have expired": func(s *unknownEndsScenario) { s.now = s.c.inheritedLeasesEnd },
	} {
		t.Run(name, func(t *testing.T) {
			s := newUnknownEndsScenario()
			finish(s)
			end := EndedRow{Number: 1, Task: s.task(0), Run: 1, End: EndStopped}
			for range 3 {
				s.renew(end)
				s.round()
			}
			if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 1 {
				t.Errorf("ends up to %d are acknowledged, want 1", cursor)
			}
		})
	}
}

// A job that has started must not be restarted from the beginning because its progress has not been
// read yet.
func TestStartedJobIsNotAdoptedWithoutProgress(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew()
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Running, Started: true})
	if starts := s.round(); len(starts) > 0 {
		t.Fatalf("%v is started although its earlier runs are unknown", starts[0].Task)
	}
	s.adopt(t)
	if s.c.jobs[s.id] == nil {
		t.Fatal("the job is not adopted once its progress was read")
	}
}

// A job with a reduced acceptance record has ended: it must not be started, and its ends are
// acknowledged.
func TestJobWithReducedAcceptanceIsNotStarted(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew()
	s.job.Reduced, s.job.Steps = true, nil
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
	if s.c.jobs[s.id] != nil {
		t.Fatal("a job that has ended was adopted")
	}
	s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 1, End: EndDone})
	s.round()
	s.renew()
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", cursor)
	}
}

// The end of an occurrence that the job's record does not contain yet must not be acknowledged, like
// the end of a run that is newer than the record.
func TestEndOfUncreatedOccurrenceIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.job.Repetitions, s.job.FirstMS, s.job.IntervalMS = 10, s.now.UnixMilli()+3_600_000, 1000
	progress := &workload.Progress{State: workload.Running, Started: true, NextOccurrence: 2}
	value, err := json.Marshal(progress)
	if err != nil {
		t.Fatal(err)
	}
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Running, Started: true, Progress: value})
	if s.c.jobs[s.id] == nil {
		t.Fatal("the job was not adopted")
	}
	end := EndedRow{Number: 1, Task: workload.TaskID{Job: s.id, Occurrence: 2}, Run: 1, End: EndDone}
	for range 3 {
		if cursor := s.renew(end); cursor > 0 {
			t.Fatal("the end of an occurrence that is not in the record was acknowledged")
		}
		s.round()
	}
}

// A job without progress is adopted as a new one and has no occurrences before the first round. Ends
// of its tasks must not be acknowledged until then.
func TestEndIsNotAcknowledgedBeforeFirstRoundOfNewJob(t *testing.T) {
	s := newUnknownEndsScenario()
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, End: EndDone}, {Number: 2, Task: s.task(1), Run: 1, End: EndDone}}
	for range 4 {
		cursor := s.renew(ends...)
		if j := s.c.jobs[s.id]; cursor > 0 && j != nil && !j.progress.State.IsFinal() {
			t.Fatalf("ends up to %d are acknowledged although they changed no record", cursor)
		}
		s.round()
	}
}

// A worker reports at most 500 ends at a time. A run that is neither among the running ones nor among
// these ends may have ended too, and must not be restarted.
func TestRunMissingFromTruncatedEndListIsNotRestarted(t *testing.T) {
	for name, unknown := range map[string]bool{"all ends known": false, "first end unknown": true} {
		t.Run(name, func(t *testing.T) {
			const tasks = maxListedEnds + 20
			s := newUnknownEndsScenario()
			s.c.SetWorkers([]Listing{{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 2 * tasks}, ClockMS: 1}}, s.now)
			s.job.Steps[0].Count = tasks
			s.renew()
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
			ordered := map[workload.TaskID]int64{}
			restarted := 0
			order := func() {
				for _, o := range s.round() {
					if ordered[o.Task] != 0 {
						restarted++
					}
					ordered[o.Task] = o.Run
					s.c.HandleStartAnswer(o, Answer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000}, s.now)
				}
			}
			for range 200 {
				order()
				s.now = s.now.Add(20 * time.Millisecond)
			}
			if len(ordered) != tasks {
				t.Fatalf("%d of %d tasks were ordered", len(ordered), tasks)
			}
			var ends []EndedRow
			if unknown {
				ends = append(ends, EndedRow{Number: 1, Task: workload.TaskID{Job: "00000000000000bb"}, Run: 1, End: EndDone})
			}
			for id, run := range ordered {
				ends = append(ends, EndedRow{Number: int64(len(ends) + 1), Task: id, Run: run, End: EndDone})
			}
			acknowledged := int64(0)
			for i := 0; i < 20 && restarted == 0; i++ {
				listed := ends
				for len(listed) > 0 && listed[0].Number <= acknowledged {
					listed = listed[1:]
				}
				acknowledged = max(acknowledged, s.renew(listed...))
				order()
			}
			if restarted > 0 {
				t.Errorf("%d tasks were restarted that were done and whose ends came with a later page", restarted)
			}
		})
	}
}

// The state of a worker that has left must be dropped, even if it has unacknowledged ends.
func TestDepartedWorkerWithUnknownEndsIsForgotten(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 1, End: EndDone})
	s.round()
	s.c.SetWorkers(nil, s.now)
	s.now = s.c.inheritedLeasesEnd.Add(time.Minute)
	for range 3 {
		s.round()
	}
	if s.c.workers["w0"] != nil {
		t.Fatal("the worker was not dropped")
	}
	if n := len(s.c.unpersisted); n > 0 {
		t.Errorf("the ends of %d departed workers were not dropped", n)
	}
}

// A job whose progress record can't be read must not be started from the beginning.
func TestJobWithUnreadableProgressIsNotAdopted(t *testing.T) {
	for name, begun := range map[string]bool{"without stated state": false, "stated as begun": true} {
		t.Run(name, func(t *testing.T) {
			b := workload.NewBook()
			job := &workload.Job{ID: "00000000000000aa", Queue: "q", Steps: []workload.Step{{Count: 2, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
			value, err := json.Marshal(job)
			if err != nil {
				t.Fatal(err)
			}
			if err := b.Fold(0, workload.AcceptedKey(job.ID), value); err != nil {
				t.Fatal(err)
			}
			if begun {
				if err := b.Fold(0, workload.StatusKey(job.ID), []byte(`{"q":"q","s":"running","b":true}`)); err != nil {
					t.Fatal(err)
				}
			}
			if b.Fold(1, workload.ProgressKey(job.ID), []byte("[")) == nil {
				t.Fatal("the record was read without an error")
			}
			if !b.IsComplete() {
				t.Fatal("the book is incomplete although all records were read")
			}
			s := newUnknownEndsScenario()
			b.ForEach(s.c.Adopt)
			if s.c.Jobs() > 0 {
				t.Error("a job whose progress can't be read was adopted")
			}
		})
	}
}

// A worker on which nothing runs must be polled again, but not too often, until its end is
// acknowledged.
func TestIdleWorkerIsPolledUntilItsUnknownEndIsAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	end := EndedRow{Number: 1, Task: s.task(0), Run: 1, End: EndDone}
	polls := 0
	for range 60 {
		s.now = s.now.Add(500 * time.Millisecond)
		for _, id := range s.c.WorkersToRenew(s.now) {
			order, ok := s.c.NextRenewal(id, s.now)
			if !ok {
				continue
			}
			polls++
			answer := RenewalAnswer{Result: Accepted, ClockMS: s.now.UnixMilli() - 999_000}
			if order.AcknowledgedEnd < end.Number {
				answer.Ended = []EndedRow{end}
			}
			s.c.HandleRenewal(order, answer, s.now, s.now)
		}
		s.round()
	}
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 1 {
		t.Errorf("ends up to %d are acknowledged after %d polls, want 1", cursor, polls)
	}
	if polls > 40 {
		t.Errorf("an idle worker was polled %d times for one end", polls)
	}
}

// The end of a run that is newer than the job's record must not be acknowledged before the record
// contains it.
func TestEndOfRunAheadOfRecordIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.adopt(t)
	for range 3 {
		cursor := s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 2, End: EndDone})
		if task := s.c.jobs[s.id].progress.FindTask(s.task(0)); cursor > 0 && task.Phase != workload.Done {
			t.Fatalf("an end was acknowledged whose run is newer than its record, %+v", *task)
		}
		s.c.Changes()
		s.c.Persisted(s.now)
	}
}

// A late end of a job that has ended under this planner must be acknowledged.
func TestLateEndOfJobFinishedByThisPlannerIsAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.adopt(t)
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, End: EndDone}, {Number: 2, Task: s.task(1), Run: 1, End: EndDone}}
	for range 3 {
		s.renew(ends...)
		s.round()
	}
	if s.c.jobs[s.id] != nil {
		t.Fatal("the job was not dropped")
	}
	for range 3 {
		s.renew(append(ends, EndedRow{Number: 3, Task: s.task(1), Run: 2, End: EndStopped})...)
		s.round()
	}
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 3 {
		t.Errorf("ends up to %d are acknowledged, want 3", cursor)
	}
}

// An end of an unknown job must not be acknowledged without an event, however late it is reported.
func TestAcknowledgedUnknownEndEmitsEvent(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew()
	s.now = s.c.inheritedLeasesEnd
	s.c.Events()
	s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 1, End: EndDone})
	for _, n := range s.c.Events() {
		if n.Name == EventEndUnknown {
			return
		}
	}
	t.Error("no event for the end of an unknown job")
}
