package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// If one task in 33 takes seven times as long as the others, a third of all gangs of 13 have one.
// The finished members are reported at 100 percent until it ends. They were taken for stalled: each
// was stopped, its worker got no work for a while, and the whole gang was restarted.

// stragglerFactor is how many times as long a straggler takes.
const stragglerFactor = 7

// newStragglerScenario returns a scenario in which the first task of each step is a straggler.
func newStragglerScenario(takes time.Duration) *scenario {
	s := newScenario()
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Index == 0 {
			return workertest.Work{Takes: stragglerFactor * takes}
		}
		return workertest.Work{Takes: takes}
	}
	return s
}

func TestGangMemberWaitingForAStragglerIsNotStopped(t *testing.T) {
	const takes = 2500 * time.Millisecond
	s := newStragglerScenario(takes)
	s.add(jobA, nil, workload.Step{Count: 5, Gang: true, Need: need(2), EstimateMS: takes.Milliseconds()})
	s.advance(stragglerFactor*takes + 4*time.Second)
	s.check(t)
	if n := len(s.starts(jobA)); n != 5 || s.jobState(jobA) != workload.Completed {
		t.Fatalf("%d starts of 5 tasks, and the job is %s", n, s.jobState(jobA))
	}
}

// Guards against stalled gangs that are never stopped since their finished members are not
// expected to make progress.
func TestStalledGangIsStopped(t *testing.T) {
	const takes = 2500 * time.Millisecond
	s := newStragglerScenario(takes)
	work, hangs := s.fleet.Work, true
	s.fleet.Work = func(id workload.TaskID, run int64, worker string) workertest.Work {
		out := work(id, run, worker)
		out.Hangs = id.Index == 0 && hangs
		return out
	}
	reported := 0
	s.trace = func(format string, args ...any) {
		if strings.Contains(fmt.Sprintf(format, args...), control.EventRunStandsStill) {
			reported++
		}
	}
	s.add(jobA, nil, workload.Step{Count: 5, Gang: true, Need: need(2), EstimateMS: takes.Milliseconds()})
	s.advance(20 * time.Second)
	hangs = false
	s.advance(40 * time.Second)
	s.check(t)
	if n := len(s.starts(jobA)); n <= 5 || s.jobState(jobA) != workload.Completed {
		t.Fatalf("%d starts, and the job is %s", n, s.jobState(jobA))
	}
	if reported == 0 {
		t.Fatal("no run-stands-still event for the stalled member")
	}
}
