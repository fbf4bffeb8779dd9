package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

func TestCrashHistoryCountsTheCrashesThatAJobHadNoPartIn(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	h := newCrashHistory()
	for i, jobs := range [][]workload.JobID{{"a"}, {"a", "b"}, nil, {"b"}, nil} {
		h.add(crash{at: at(i), noticed: at(i + 1)}, jobs)
	}
	for _, c := range []struct {
		what      string
		got, want int
	}{
		{"around the second, without a", h.around(at(1), "a", time.Second), 1},
		{"around the second, without b", h.around(at(1), "b", time.Second), 2},
		{"around the second, all", h.around(at(1), "c", time.Second), 3},
		{"since the third, without b", h.since(at(3), "b"), 2},
		{"since the third, all", h.since(at(3), "c"), 3},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d crashes, want %d", c.what, c.got, c.want)
		}
	}
	h.expire(at(3))
	if got := h.around(at(2), "a", time.Hour); got != 3 || len(h.ofJob["a"]) != 0 || len(h.ofJob["b"]) != 1 {
		t.Errorf("%d crashes are left, of jobs %v", got, h.ofJob)
	}
}

// A crash that comes with many others is no evidence, also where those are noticed after it.
func TestACrashIsWeighedAgainOnceTheOthersAreNoticed(t *testing.T) {
	s := newCutOffScene(false)
	s.round()
	s.c.Held(HoldOrder{Worker: "w0", Token: 1}, HoldAnswer{Verdict: Gone}, s.now, s.now)
	task := s.c.jobs[s.id].progress.Find(s.first(0))
	if task.Crashes != 1 || task.Evidence() != 1 {
		t.Fatalf("%d crashes, of which %d point at the task", task.Crashes, task.Evidence())
	}
	s.now = s.now.Add(outageWaits * time.Second)
	for range outageLeast {
		s.c.crashes.add(crash{at: s.now, noticed: s.now}, nil)
	}
	s.round()
	if task.Crashes != 1 || task.Evidence() != 0 {
		t.Errorf("%d crashes, of which %d point at the task", task.Crashes, task.Evidence())
	}
}

// A task under which several workers have crashed waits for a pool without outages, and no longer.
func TestATaskUnderSeveralCrashesWaitsForASettledPool(t *testing.T) {
	for _, c := range []struct {
		crashes, others int
		perpetual       bool
		waits           time.Duration
	}{
		{crashes: 1, others: unsettledLeast, waits: 0},
		{crashes: 2, others: unsettledLeast - 1, waits: 0},
		{crashes: 2, others: unsettledLeast, waits: 4 * time.Second},
		{crashes: 3, others: unsettledLeast, waits: 8 * time.Second},
		{crashes: 3, others: unsettledLeast, perpetual: true, waits: 4 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d crashes, %d others, perpetual %t", c.crashes, c.others, c.perpetual), func(t *testing.T) {
			s := newCutOffScene(false)
			j := s.c.jobs[s.id]
			j.Steps[0].Perpetual = c.perpetual
			s.c.Round(s.now, s.now.UnixMilli())
			for i := range j.progress.Open[0].Steps[0] {
				s.c.ended(s.c.live[s.first(i)], EndStopped, "")
				*j.progress.Find(s.first(i)) = workload.Task{Run: 1, Crashes: c.crashes, CrashMS: 2000, CrashRun: 1, Excluded: c.crashes}
			}
			j.suspected = true
			s.c.starts = nil
			s.now = s.now.Add(time.Minute)
			for range c.others {
				s.c.crashes.add(crash{at: s.now, noticed: s.now}, nil)
			}
			outage := s.now
			for len(s.round()) == 0 {
				s.hold("w0", nil, nil)
				if s.now = s.now.Add(100 * time.Millisecond); s.now.Sub(outage) > time.Minute {
					t.Fatal("nothing begins")
				}
			}
			if waited := s.now.Sub(outage); waited < c.waits || waited > c.waits+200*time.Millisecond {
				t.Errorf("it began after %v, want %v", waited, c.waits)
			}
		})
	}
}
