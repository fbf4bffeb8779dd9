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

// One task in 33 takes seven times as long as the others, so that a third of all gangs of 13
// has one. The members that have done their share are shown at 100 percent until it ends. Each
// was taken for one that stands still: it was stopped, its worker got nothing for a while, and
// the whole gang began again.

const stragglerFactor = 7

// newTailScene has gangs in each of which one task takes seven times as long.
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

func TestAGangsMemberThatWaitsForASlowOneDoesNotStandStill(t *testing.T) {
	const takes = 2500 * time.Millisecond
	s := newStragglerScenario(takes)
	s.add(jobA, nil, workload.Step{Count: 5, Gang: true, Need: need(2), EstimateMS: takes.Milliseconds()})
	s.advance(stragglerFactor*takes + 4*time.Second)
	s.check(t)
	if n := len(s.starts(jobA)); n != 5 || s.jobState(jobA) != workload.Completed {
		t.Fatalf("%d starts of 5 tasks, and the job is %s", n, s.jobState(jobA))
	}
}

// A gang whose members have all done their share and that does not end stands still, as does
// one whose slow member does.
func TestAGangThatStandsStillIsStopped(t *testing.T) {
	const takes = 2500 * time.Millisecond
	s := newStragglerScenario(takes)
	work, hangs := s.fleet.Work, true
	s.fleet.Work = func(id workload.TaskID, run int64, worker string) workertest.Work {
		out := work(id, run, worker)
		out.Hang = id.Index == 0 && hangs
		return out
	}
	told := 0
	s.trace = func(format string, args ...any) {
		if strings.Contains(fmt.Sprintf(format, args...), control.EventRunStandsStill) {
			told++
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
	if told == 0 {
		t.Fatal("nothing was said of the member that stands still")
	}
}
