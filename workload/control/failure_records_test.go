package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// succeed starts a planner from the job's record.
func (s *cutOffScenario) succeed(t *testing.T, progress []byte) {
	t.Helper()
	s.now = s.now.Add(100 * time.Millisecond)
	j, list := s.c.jobs[s.id].Job, []Listing{s.c.workers["w0"].Listing, s.c.workers["w1"].Listing}
	next := New(s.c.bounds, s.c.token+1, s.now)
	next.Configure(s.c.config)
	next.SetWorkers(list, s.now)
	next.Adopt(s.id, workload.Entry{Job: j, State: workload.Running, Started: true, Progress: progress})
	s.c = next
}

// Guards against counting one failed run of a gang for each of its members, in whichever order and by
// whichever planner their ends are read, before or after the record of the first one.
func TestFailedRunOfGangIsCountedOnceAcrossPlanners(t *testing.T) {
	for name, c := range map[string]struct {
		first    int
		recorded bool
	}{
		"first member, recorded":      {0, true},
		"first member, not recorded":  {0, false},
		"second member, recorded":     {1, true},
		"second member, not recorded": {1, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCutOffScenario(true)
			if n := len(s.round()); n != 2 {
				t.Fatalf("%d tasks were started, want 2", n)
			}
			s.now = s.now.Add(100 * time.Millisecond)
			before := marshalProgress(t, s.c.jobs[s.id].progress)
			ends := []EndedRow{{Number: 1, Task: s.firstStepTask(c.first), Run: 1, End: EndFailed}}
			s.renew("w0", []RunningRow{{Task: s.firstStepTask(1 - c.first), Run: 1}}, ends)
			after := marshalProgress(t, s.c.jobs[s.id].progress)
			if !c.recorded {
				after = before
			}
			s.succeed(t, after)
			ends = append(ends, EndedRow{Number: 2, Task: s.firstStepTask(1 - c.first), Run: 1, End: EndFailed})
			for range 2 {
				s.renew("w0", nil, ends)
			}
			first := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0))
			if second := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(1)); first.Failures != 1 || second.Failures != 0 {
				t.Errorf("%d and %d failures are counted, want 1 for the gang", first.Failures, second.Failures)
			}
		})
	}
}

// Guards against counting an end as a failure whose kind is unknown or missing.
func TestUnknownEndIsNoFailure(t *testing.T) {
	for _, end := range []End{"", "FAILED", "failed ", "error", EndLapsed, EndBroken, EndGangIncomplete, EndStopped} {
		s := newCutOffScenario(false)
		s.round()
		s.renew("w0", []RunningRow{{Task: s.firstStepTask(1), Run: 1}}, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: end}})
		if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Failures != 0 || task.Phase != workload.Waiting {
			t.Errorf("end %q: %+v", end, *task)
		}
	}
}

// Guards against counting a refused start, or a run that a worker no longer lists, as a failure.
func TestRefusedAndVanishedRunsAreNoFailures(t *testing.T) {
	for _, result := range []Result{Invalid, Full, Late, Unhealthy, NoTicket, Superseded, Unreachable, Accepted} {
		s := newCutOffScenario(false)
		s.c.Round(s.now, s.now.UnixMilli())
		s.c.Changes()
		for _, o := range s.c.Persisted(s.now) {
			s.c.HandleStartAnswer(o, Answer{Result: result}, s.now)
		}
		s.now = s.now.Add(time.Second)
		s.renew("w0", nil, nil)
		if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Failures != 0 || task.TotalCrashes() != 0 || task.Phase != workload.Waiting {
			t.Errorf("start answered %s: %+v", result, *task)
		}
	}
}

// Guards against failing a job by another limit than its queue's: the configured one, the one recorded
// with the job where the queue is not configured, and one where neither has any.
func TestLimitOnAttemptsIsThatOfQueue(t *testing.T) {
	for _, c := range []struct {
		name                       string
		configured, recorded, want int
	}{
		{"configured", 3, 1, 3},
		{"queue not configured", 0, 2, 2},
		{"no limit recorded", 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCutOffScenario(false)
			s.c.Configure(Configuration{})
			if c.configured > 0 {
				s.c.Configure(Configuration{Queues: map[string]workload.QueueSettings{"q": {MaxAttempts: c.configured}}})
			}
			s.c.jobs[s.id].QueueSettings.MaxAttempts = c.recorded
			s.round()
			r := s.c.runs[s.firstStepTask(0)]
			for n := 1; n <= c.want; n++ {
				if s.c.jobs[s.id].progress.State == workload.Failed {
					t.Fatalf("the job failed after %d failures, want %d", n-1, c.want)
				}
				s.c.countFailure(r)
			}
			if s.c.jobs[s.id].progress.State != workload.Failed {
				t.Errorf("the job has not failed after %d failures", c.want)
			}
		})
	}
}

func marshalProgress(t *testing.T, progress *workload.Progress) []byte {
	t.Helper()
	value, err := json.Marshal(progress)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
