package control

import (
	"testing"
	"time"
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
