package control

import (
	"strings"
	"testing"
	"time"
)

// eventDetails returns the details of the events with the given name since the last call of Events.
func (s *cutOffScenario) eventDetails(name string) []string {
	var out []string
	for _, e := range s.c.Events() {
		if e.Name == name {
			out = append(out, e.Detail)
		}
	}
	return out
}

// The log must show which runs were counted as failures of a task, and up to which limit.
func TestEventsShowEachCountedFailure(t *testing.T) {
	s := newCutOffScenario(false)
	for run := int64(1); run <= 3; run++ {
		clear(s.c.jobs[s.id].avoidedWorkers)
		s.round()
		s.now = s.now.Add(100 * time.Millisecond)
		s.renew("w0", nil, []EndedRow{{Number: run, Task: s.firstStepTask(0), Run: run, End: EndFailed}})
	}
	got := strings.Join(s.eventDetails(EventAttemptCounted), ", ")
	if want := "failures=1 allowed=3, failures=2 allowed=3, failures=3 allowed=3"; got != want {
		t.Errorf("counted failures are logged as %q, want %q", got, want)
	}
}

// The log must show what the loss of a worker counted as for each task there.
func TestEventsShowWhatEachCrashCountsAs(t *testing.T) {
	for want, answer := range map[crashWeight]Result{crashEvidence: Accepted, crashUnproven: Unanswered} {
		s := newCutOffScenario(false)
		s.c.Round(s.now, s.now.UnixMilli())
		s.c.Changes()
		for _, o := range s.c.Persisted(s.now) {
			s.c.HandleStartAnswer(o, Answer{Result: answer}, s.now)
		}
		s.c.Events()
		s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
		lost := s.eventDetails(EventRunLost)
		if len(lost) != 2 || !strings.Contains(lost[0], " counts="+string(want)+" ") {
			t.Errorf("lost runs are logged as %q, want counts=%s", lost, want)
		}
	}
}
