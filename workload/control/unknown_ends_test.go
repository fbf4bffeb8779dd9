package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// unknownScene is a planner that has just begun. Its worker lists the ends of a job's two tasks,
// whose record has them as placed there.
type unknownEndsScenario struct {
	c   *Core
	now time.Time
	id  workload.JobID
	job *workload.Job
}

func newUnknownEndsScenario() *unknownEndsScenario {
	s := &unknownEndsScenario{now: time.Unix(1000, 0), id: "00000000000000aa"}
	s.c = New(Bounds{Lease: 6 * time.Second, Authority: 6 * time.Second, StopTimeout: 400 * time.Millisecond, Wait: time.Second, FarFactor: 3}, 2, s.now)
	s.c.Configure(Configuration{Queues: map[string]workload.Terms{"q": {Attempts: 3, Stretch: 3, TargetMS: 1000}}})
	s.c.List([]Listing{{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}}, s.now)
	s.job = &workload.Job{ID: s.id, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 2, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
	return s
}

func (s *unknownEndsScenario) task(index int) workload.TaskID {
	return workload.TaskID{Job: s.id, Index: index}
}

// adopt hands the job to the planner, with progress in which its tasks are at their first run.
func (s *unknownEndsScenario) adopt(t *testing.T) {
	t.Helper()
	progress := &workload.Progress{State: workload.Running, Begun: true, Next: 1}
	placed := workload.Task{Phase: workload.Placed, Run: 1, Worker: "w0"}
	progress.Open = []*workload.Occurrence{{Steps: [][]workload.Task{{placed, placed}}}}
	value, err := json.Marshal(progress)
	if err != nil {
		t.Fatal(err)
	}
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Running, Begun: true, Progress: value})
}

// mostListed is how many ends a worker lists at a time.
const maxListedEnds = 500

// hold carries one hold out; the worker forgets what it is told to. It returns the cursor.
func (s *unknownEndsScenario) renew(rows ...EndedRow) int64 {
	s.now = s.now.Add(500 * time.Millisecond)
	order, _ := s.c.Hold("w0", s.now)
	if order.Worker == "" {
		order = HoldOrder{Worker: "w0", Token: s.c.workerToken(), Life: 1}
	}
	listed := []EndedRow{}
	for _, row := range rows {
		if row.Number > order.Cursor {
			listed = append(listed, row)
		}
	}
	page := listed[:min(len(listed), maxListedEnds)]
	s.c.Held(order, HoldAnswer{Verdict: Accepted, ClockMS: s.now.UnixMilli() - 999_000, Ended: page, More: len(listed) > len(page)}, s.now, s.now)
	return order.Cursor
}

func (s *unknownEndsScenario) round() []StartOrder {
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	return s.c.Persisted(s.now)
}

// Guards against ends that are acknowledged although they changed no job's record: their tasks
// would be started again.
func TestAnEndOfAJobThatIsNotKnownYetIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, How: EndDone}, {Number: 2, Task: s.task(1), Run: 1, How: EndDone}}
	for range 3 {
		if cursor := s.renew(ends...); cursor > 0 {
			t.Fatalf("ends up to %d are acknowledged while nothing is known of their job", cursor)
		}
		s.round()
	}
	s.adopt(t)
	for range 3 {
		s.renew(ends...)
		if starts := s.round(); len(starts) > 0 {
			t.Fatalf("%v starts again after it was done", starts[0].Task)
		}
	}
	if j := s.c.jobs[s.id]; j != nil && j.progress.State != workload.Completed {
		t.Fatalf("the job is %s after all of its tasks were done", j.progress.State)
	}
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 2 {
		t.Errorf("ends up to %d are acknowledged, want 2", cursor)
	}
}

// Ends whose job is known to be over, or that is not known for longer than any earlier planner's
// runs last, hold nothing up.
func TestAnEndOfAJobThatIsOverIsAcknowledged(t *testing.T) {
	for name, over := range map[string]func(*unknownEndsScenario){
		"it has ended": func(s *unknownEndsScenario) {
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Completed, Settled: true, Progress: []byte(`{"state":"completed","begun":true,"next":1}`)})
		},
		"it is shown as ended": func(s *unknownEndsScenario) {
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Completed, Begun: true})
		},
		"nothing was known of it for long": func(s *unknownEndsScenario) { s.now = s.c.inheritedLeasesEnd },
	} {
		t.Run(name, func(t *testing.T) {
			s := newUnknownEndsScenario()
			over(s)
			end := EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndStopped}
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

// Guards against a job that begins anew because its progress was not read.
func TestAJobThatHasBegunIsNotAdoptedWithoutItsProgress(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew()
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Running, Begun: true})
	if starts := s.round(); len(starts) > 0 {
		t.Fatalf("%v starts although nothing is known of the runs before", starts[0].Task)
	}
	s.adopt(t)
	if s.c.jobs[s.id] == nil {
		t.Fatal("the job is not taken over once its progress is there")
	}
}

// A reduced acceptance stands for a job that has ended.
func TestAJobWhoseAcceptanceIsReducedDoesNotBegin(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew()
	s.job.Reduced, s.job.Steps = true, nil
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
	if s.c.jobs[s.id] != nil {
		t.Fatal("a job that has ended is taken over")
	}
	s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndDone})
	s.round()
	s.renew()
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", cursor)
	}
}

// An occurrence that the record has not created yet is as unknown as a run that is ahead of it.
func TestAnEndOfAnOccurrenceThatIsNotThereYetIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.job.Repetitions, s.job.FirstMS, s.job.IntervalMS = 10, s.now.UnixMilli()+3_600_000, 1000
	progress := &workload.Progress{State: workload.Running, Begun: true, Next: 2}
	value, err := json.Marshal(progress)
	if err != nil {
		t.Fatal(err)
	}
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Running, Begun: true, Progress: value})
	if s.c.jobs[s.id] == nil {
		t.Fatal("the job is not taken over")
	}
	end := EndedRow{Number: 1, Task: workload.TaskID{Job: s.id, K: 2}, Run: 1, How: EndDone}
	for range 3 {
		if cursor := s.renew(end); cursor > 0 {
			t.Fatal("the end of an occurrence that the record lacks is acknowledged")
		}
		s.round()
	}
}

// A job that is taken for a new one has no occurrence before the first round.
func TestAnEndOfAJobTakenForNewIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, How: EndDone}, {Number: 2, Task: s.task(1), Run: 1, How: EndDone}}
	for range 4 {
		cursor := s.renew(ends...)
		if j := s.c.jobs[s.id]; cursor > 0 && j != nil && !j.progress.State.Final() {
			t.Fatalf("ends up to %d are acknowledged, and changed no record", cursor)
		}
		s.round()
	}
}

// A worker lists 500 ends at a time: a run that is in neither list may be among the ends that
// were left out.
func TestARunWhoseEndIsNotListedYetHasNotVanished(t *testing.T) {
	for name, unknown := range map[string]bool{"all are known": false, "the first is unknown": true} {
		t.Run(name, func(t *testing.T) {
			const tasks = maxListedEnds + 20
			s := newUnknownEndsScenario()
			s.c.List([]Listing{{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 2 * tasks}, ClockMS: 1}}, s.now)
			s.job.Steps[0].Count = tasks
			s.renew()
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
			ordered := map[workload.TaskID]int64{}
			again := 0
			order := func() {
				for _, o := range s.round() {
					if ordered[o.Task] != 0 {
						again++
					}
					ordered[o.Task] = o.Run
					s.c.Started(o, Answer{Verdict: Accepted, ClockMS: s.now.UnixMilli() - 999_000}, s.now)
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
				ends = append(ends, EndedRow{Number: 1, Task: workload.TaskID{Job: "00000000000000bb"}, Run: 1, How: EndDone})
			}
			for id, run := range ordered {
				ends = append(ends, EndedRow{Number: int64(len(ends) + 1), Task: id, Run: run, How: EndDone})
			}
			forgotten := int64(0)
			for i := 0; i < 20 && again == 0; i++ {
				listed := ends
				for len(listed) > 0 && listed[0].Number <= forgotten {
					listed = listed[1:]
				}
				forgotten = max(forgotten, s.renew(listed...))
				order()
			}
			if again > 0 {
				t.Errorf("%d tasks began again that were done and whose ends came with a later page", again)
			}
		})
	}
}

// What is kept of a worker ends with it.
func TestAWorkerThatLeftWithUnknownEndsIsLetGo(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndDone})
	s.round()
	s.c.List(nil, s.now)
	s.now = s.c.inheritedLeasesEnd.Add(time.Minute)
	for range 3 {
		s.round()
	}
	if s.c.workers["w0"] != nil {
		t.Fatal("the worker is still known")
	}
	if n := len(s.c.unpersisted); n > 0 {
		t.Errorf("%d workers that have left are kept for their ends", n)
	}
}

// A job with an unreadable record is left aside, as the log of changes says.
func TestAJobWithAnUnreadableRecordIsLeftAside(t *testing.T) {
	for name, begun := range map[string]bool{"nothing is stated of it": false, "it is stated as begun": true} {
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
				if err := b.Fold(0, workload.StatedKey(job.ID), []byte(`{"q":"q","s":"running","b":true}`)); err != nil {
					t.Fatal(err)
				}
			}
			if b.Fold(1, workload.ProgressKey(job.ID), []byte("[")) == nil {
				t.Fatal("the record is readable")
			}
			if !b.Complete() {
				t.Fatal("the book waits for a record that was read")
			}
			s := newUnknownEndsScenario()
			b.All(s.c.Adopt)
			if s.c.Jobs() > 0 {
				t.Error("a job whose progress can't be read is begun anew")
			}
		})
	}
}

// A worker with nothing at work is asked again for an end that was not acknowledged.
func TestAnIdleWorkersUnknownEndIsAcknowledgedInTheEnd(t *testing.T) {
	s := newUnknownEndsScenario()
	end := EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndDone}
	asked := 0
	for range 60 {
		s.now = s.now.Add(500 * time.Millisecond)
		for _, id := range s.c.NeedsHold(s.now) {
			order, ok := s.c.Hold(id, s.now)
			if !ok {
				continue
			}
			asked++
			answer := HoldAnswer{Verdict: Accepted, ClockMS: s.now.UnixMilli() - 999_000}
			if order.Cursor < end.Number {
				answer.Ended = []EndedRow{end}
			}
			s.c.Held(order, answer, s.now, s.now)
		}
		s.round()
	}
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 1 {
		t.Errorf("ends up to %d are acknowledged after %d holds, want 1", cursor, asked)
	}
	if asked > 40 {
		t.Errorf("an idle worker was asked %d times for one end", asked)
	}
}

// The end of a run that is ahead of its record is kept until the record has it.
func TestAnEndAheadOfItsRecordIsNotAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.adopt(t)
	for range 3 {
		cursor := s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 2, How: EndDone})
		if task := s.c.jobs[s.id].progress.Find(s.task(0)); cursor > 0 && task.Phase != workload.Done {
			t.Fatalf("an end that is ahead of its record is acknowledged, which has %+v", *task)
		}
		s.c.Changes()
		s.c.Persisted(s.now)
	}
}

// Ends of a job that has ended under this planner hold nothing up.
func TestAnEndOfAJobThatEndedInThisTermIsAcknowledged(t *testing.T) {
	s := newUnknownEndsScenario()
	s.adopt(t)
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, How: EndDone}, {Number: 2, Task: s.task(1), Run: 1, How: EndDone}}
	for range 3 {
		s.renew(ends...)
		s.round()
	}
	if s.c.jobs[s.id] != nil {
		t.Fatal("the job is not forgotten")
	}
	for range 3 {
		s.renew(append(ends, EndedRow{Number: 3, Task: s.task(1), Run: 2, How: EndStopped})...)
		s.round()
	}
	if cursor := s.c.workers["w0"].acknowledgedEnd; cursor != 3 {
		t.Errorf("ends up to %d are acknowledged, want 3", cursor)
	}
}

// An end of an unknown job that is acknowledged has a line, however late it is listed.
func TestAnUnknownEndThatIsAcknowledgedHasALine(t *testing.T) {
	s := newUnknownEndsScenario()
	s.renew()
	s.now = s.c.inheritedLeasesEnd
	s.c.Notes()
	s.renew(EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndDone})
	for _, n := range s.c.Notes() {
		if n.Event == EventEndUnknown {
			return
		}
	}
	t.Error("the end of a job that the planner does not know is passed over without a line")
}
