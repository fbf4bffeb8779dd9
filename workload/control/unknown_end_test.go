package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// unknownScene is a planner that has just begun. Its worker lists the ends of a job's two tasks,
// whose record has them as placed there.
type unknownScene struct {
	c   *Core
	now time.Time
	id  workload.JobID
	job *workload.Job
}

func newUnknownScene() *unknownScene {
	s := &unknownScene{now: time.Unix(1000, 0), id: "00000000000000aa"}
	s.c = New(Bounds{Lease: 6 * time.Second, Authority: 6 * time.Second, StopTimeout: 400 * time.Millisecond, Wait: time.Second, FarFactor: 3}, 2, s.now)
	s.c.Configure(Configuration{Queues: map[string]workload.Terms{"q": {Attempts: 3, Stretch: 3, TargetMS: 1000}}})
	s.c.List([]Listing{{ID: "w0", Address: "0", Rack: "r", Capacity: workload.Resources{Accelerators: 8}, ClockMS: 1}}, s.now)
	s.job = &workload.Job{ID: s.id, Queue: "q", AcceptedMS: s.now.UnixMilli(), Steps: []workload.Step{{Count: 2, EstimateMS: 2000, Need: workload.Resources{Accelerators: 1}}}}
	return s
}

func (s *unknownScene) task(index int) workload.TaskID {
	return workload.TaskID{Job: s.id, Index: index}
}

// adopt hands the job to the planner, with progress in which its tasks are at their first run.
func (s *unknownScene) adopt(t *testing.T) {
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

// hold carries one hold out; the worker forgets what it is told to. It returns the cursor.
func (s *unknownScene) hold(rows ...EndedRow) int64 {
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
	s.c.Held(order, HoldAnswer{Verdict: Accepted, ClockMS: s.now.UnixMilli() - 999_000, Ended: listed}, s.now, s.now)
	return order.Cursor
}

func (s *unknownScene) round() []StartOrder {
	s.c.Round(s.now, s.now.UnixMilli())
	s.c.Changes()
	return s.c.Persisted(s.now)
}

// Guards against ends that are acknowledged although they changed no job's record: their tasks
// would be started again.
func TestAnEndOfAJobThatIsNotKnownYetIsNotAcknowledged(t *testing.T) {
	s := newUnknownScene()
	ends := []EndedRow{{Number: 1, Task: s.task(0), Run: 1, How: EndDone}, {Number: 2, Task: s.task(1), Run: 1, How: EndDone}}
	for range 3 {
		if cursor := s.hold(ends...); cursor > 0 {
			t.Fatalf("ends up to %d are acknowledged while nothing is known of their job", cursor)
		}
		s.round()
	}
	s.adopt(t)
	for range 3 {
		s.hold(ends...)
		if starts := s.round(); len(starts) > 0 {
			t.Fatalf("%v starts again after it was done", starts[0].Task)
		}
	}
	if j := s.c.jobs[s.id]; j != nil && j.progress.State != workload.Completed {
		t.Fatalf("the job is %s after all of its tasks were done", j.progress.State)
	}
	if cursor := s.c.workers["w0"].told; cursor != 2 {
		t.Errorf("ends up to %d are acknowledged, want 2", cursor)
	}
}

// Ends whose job is known to be over, or that is not known for longer than any earlier planner's
// runs last, hold nothing up.
func TestAnEndOfAJobThatIsOverIsAcknowledged(t *testing.T) {
	for name, over := range map[string]func(*unknownScene){
		"it has ended": func(s *unknownScene) {
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Completed, Settled: true, Progress: []byte(`{"state":"completed","begun":true,"next":1}`)})
		},
		"it is shown as ended": func(s *unknownScene) {
			s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Completed, Begun: true})
		},
		"nothing was known of it for long": func(s *unknownScene) { s.now = s.c.strangersUntil },
	} {
		t.Run(name, func(t *testing.T) {
			s := newUnknownScene()
			over(s)
			end := EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndStopped}
			for range 3 {
				s.hold(end)
				s.round()
			}
			if cursor := s.c.workers["w0"].told; cursor != 1 {
				t.Errorf("ends up to %d are acknowledged, want 1", cursor)
			}
		})
	}
}

// Guards against a job that begins anew because its progress was not read.
func TestAJobThatHasBegunIsNotAdoptedWithoutItsProgress(t *testing.T) {
	s := newUnknownScene()
	s.hold()
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
	s := newUnknownScene()
	s.hold()
	s.job.Reduced, s.job.Steps = true, nil
	s.c.Adopt(s.id, workload.Entry{Job: s.job, State: workload.Queued})
	if s.c.jobs[s.id] != nil {
		t.Fatal("a job that has ended is taken over")
	}
	s.hold(EndedRow{Number: 1, Task: s.task(0), Run: 1, How: EndDone})
	s.round()
	s.hold()
	if cursor := s.c.workers["w0"].told; cursor != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", cursor)
	}
}
