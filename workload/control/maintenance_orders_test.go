package control

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// orderMaintenance declares a wave for the host of w0 and has its order recorded. It returns the wave
// and its record.
func (s *cutOffScenario) orderMaintenance(t *testing.T) (Wave, []byte) {
	t.Helper()
	wave := Wave{ID: 1, Hosts: []string{"h0"}, Within: time.Minute, MaxDown: 1}
	s.c.AdoptWave(wave, nil, s.now.UnixMilli())
	s.c.SetHosts([]HostListing{{Host: "h0", Worker: "w0", Up: true}}, s.now)
	s.c.Round(s.now, s.now.UnixMilli())
	records := s.c.Changes()
	s.c.Persisted(s.now)
	for _, r := range records {
		if r.Key == WaveKey(wave.ID) {
			return wave, r.Value
		}
	}
	t.Fatal("no order was recorded")
	return wave, nil
}

// advanceRounds runs rounds for a duration, in which w0 answers its lease renewals and each call for
// its host gets the result. It returns the time from the first round until a task is started.
func (s *cutOffScenario) advanceRounds(duration time.Duration, result DutyResult) (after time.Duration, started bool) {
	begin := s.now
	for ; s.now.Sub(begin) < duration; s.now = s.now.Add(100 * time.Millisecond) {
		for _, o := range s.c.DutyOrders(s.now) {
			s.c.HandleDutyAnswer(o, result, s.now)
		}
		s.renew("w0", nil, nil)
		if len(s.round()) > 0 {
			return s.now.Sub(begin), true
		}
	}
	return 0, false
}

// Guards against tasks that are started on a host, and ended there, because the call for its
// maintenance, which is in the log, was not answered, or was inherited from an earlier planner.
func TestHostWithOrderedMaintenanceGetsNoNewWork(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		s := newCutOffScenario(false)
		wave, record := s.orderMaintenance(t)
		if inherited {
			successor := newCutOffScenario(false)
			successor.now = s.now
			successor.c.AdoptWave(wave, record, s.now.UnixMilli())
			s = successor
		}
		if after, started := s.advanceRounds(dutyRetryTime+maxDutyDelay-time.Second, DutyUnanswered); started {
			t.Errorf("inherited %t: a task was started %v after the host's maintenance was ordered", inherited, after)
		}
	}
}

// A host must not stay closed for ever if the platform never answers the calls for its maintenance. No
// call may be made while it is open. Once the platform answers again, the order is carried out.
func TestUnansweredMaintenanceOrderIsPaused(t *testing.T) {
	s := newCutOffScenario(false)
	s.orderMaintenance(t)
	bound := dutyRetryTime + maxDutyDelay
	if after, started := s.advanceRounds(bound+time.Minute, DutyUnanswered); !started || after > bound+time.Second {
		t.Fatalf("started %t after %v, want at most %v", started, after, bound)
	}
	running := []RunningRow{{Task: s.firstStepTask(0), Run: 1, Percent: 1}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}
	s.c.jobs[s.id].Steps[1].Count = 0
	opened := s.now
	resumed := false
	for ; s.now.Sub(opened) < 2*dutyPause && !resumed; s.now = s.now.Add(100 * time.Millisecond) {
		s.renew("w0", running, nil)
		s.c.SetHosts([]HostListing{{Host: "h0", Worker: "w0", Up: true}}, s.now)
		s.round()
		if len(s.c.DutyOrders(s.now)) > 0 {
			t.Fatal("a call was made while tasks were running on the host")
		}
		resumed = s.c.vacating["w0"]
	}
	if !resumed {
		t.Fatal("the order was not resumed although the platform answers")
	}
	s.renew("w0", nil, []EndedRow{{Number: 1, Task: s.firstStepTask(0), Run: 1, End: EndDone}, {Number: 2, Task: s.firstStepTask(1), Run: 1, End: EndDone}})
	s.round()
	if n := len(s.c.DutyOrders(s.now)); n != 1 {
		t.Fatalf("%d calls were made for the empty host, want 1", n)
	}
}

// What a host's maintenance ends must not count as a crash.
func TestMaintenanceIsNoCrash(t *testing.T) {
	s := newCutOffScenario(false)
	s.round()
	s.c.AdoptWave(Wave{ID: 1, Hosts: []string{"h0"}, Within: time.Minute, MaxDown: 1}, []byte(`{"ordered":["h0"],"workers":{"h0":"w0"}}`), s.now.UnixMilli())
	s.renew("w0", []RunningRow{{Task: s.firstStepTask(0), Run: 1, Percent: 1}, {Task: s.firstStepTask(1), Run: 1, Percent: 1}}, nil)
	s.round()
	s.c.HandleDutyAnswer(DutyOrder{Host: "h0", Wave: 1}, DutyBegun, s.now)
	s.round()
	s.c.HandleRenewal(RenewalOrder{Worker: "w0", Token: 1}, RenewalAnswer{Result: Gone}, s.now, s.now)
	if task := s.c.jobs[s.id].progress.FindTask(s.firstStepTask(0)); task.Phase != workload.Waiting || task.TotalCrashes() != 0 {
		t.Errorf("%d crashes are counted: %+v", task.TotalCrashes(), *task)
	}
}
