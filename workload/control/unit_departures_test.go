package control_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// simNotice is the notice in simulations that plan departures for whole units.
const simNotice = 5 * time.Second

// gangScenario is a scenario with a gang of four tasks on four workers, and the planners' events.
type gangScenario struct {
	*scenario
	traced []string
}

// newGangScenario starts a gang whose first task takes longest, and advances the time until all
// members have reported progress.
func newGangScenario(t *testing.T, takes, ran time.Duration, checkpoint bool) *gangScenario {
	t.Helper()
	return newGangScenarioWithNotice(t, simNotice, takes, ran, checkpoint)
}

func newGangScenarioWithNotice(t *testing.T, notice, takes, ran time.Duration, checkpoint bool) *gangScenario {
	t.Helper()
	s := &gangScenario{scenario: newScenario()}
	s.notice = notice
	s.drainRemainingMS = map[string]int64{}
	s.planners[0].dead = true
	s.trace = func(format string, args ...any) { s.traced = append(s.traced, fmt.Sprintf(format, args...)) }
	s.fleet.Work = func(id workload.TaskID, _ int64, _ string) workertest.Work {
		if id.Index == 0 {
			return workertest.Work{Takes: takes}
		}
		return workertest.Work{Takes: takes / 2}
	}
	s.startPlanner(nil)
	s.add(jobA, nil, workload.Step{Count: 4, Gang: true, Need: need(8), EstimateMS: takes.Milliseconds(), Checkpoint: checkpoint})
	s.advance(ran)
	if n := len(s.starts(jobA)); n != 4 {
		t.Fatalf("%d starts, want 4", n)
	}
	return s
}

// announce makes the worker of a task drain, and leave once the notice is over.
func (s *gangScenario) announce(index int, notice time.Duration) (worker string) {
	worker = s.workerOf(index)
	s.drainRemainingMS[worker] = notice.Milliseconds()
	return worker
}

func (s *gangScenario) workerOf(index int) string {
	for _, e := range s.starts(jobA) {
		if e.Task.Index == index {
			return e.Worker
		}
	}
	return ""
}

// decisions returns the unit-departs events with the given choice.
func (s *gangScenario) decisions(choice string) int {
	n := 0
	for _, line := range s.traced {
		if strings.Contains(line, control.EventUnitDeparts) && strings.Contains(line, " "+choice+" run") {
			n++
		}
	}
	return n
}

// stopped returns the number of members that were ordered to stop.
func (s *gangScenario) stopped() int {
	n := 0
	for _, line := range s.traced {
		if strings.Contains(line, control.EventRunStopping) {
			members := 1
			if _, text, gang := strings.Cut(line, "members="); gang {
				members, _ = strconv.Atoi(strings.Fields(text)[0])
			}
			n += members
		}
	}
	return n
}

// Guards against a gang that is stopped member by member: the others then end as broken. It must be
// stopped at once if it can neither end nor save, by one decision with one event.
func TestGangThatCannotEndIsStoppedByOneDecision(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2*time.Second, false)
	s.announce(3, 2*time.Second)
	s.advance(100 * time.Millisecond)
	if s.stopped() != 4 || s.decisions("stop") != 1 {
		t.Fatalf("%d members stopped by %d decisions, want 4 by 1", s.stopped(), s.decisions("stop"))
	}
	s.advance(10 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed || len(s.starts(jobA)) != 8 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(s.starts(jobA)))
	}
}

// Guards against judging the leaving member alone. It is at 100 percent, but its gang ends only with
// the slowest member.
func TestFinishedMemberIsJudgedByTheSlowestMember(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 4500*time.Millisecond, true)
	s.announce(3, 2*time.Second)
	s.advance(12 * time.Second)
	s.check(t)
	if s.stopped() != 4 || s.decisions("save") != 2 {
		t.Fatalf("%d members stopped, %d decisions, want 4 and one when the worker drains and one with the stop", s.stopped(), s.decisions("save"))
	}
}

// Guards against a stop of a gang that ends before its worker leaves.
func TestGangThatEndsInTimeIsLetEnd(t *testing.T) {
	s := newGangScenario(t, 4*time.Second, 3*time.Second, false)
	s.announce(3, 2500*time.Millisecond)
	s.advance(3 * time.Second)
	s.check(t)
	if s.stopped() != 0 || s.decisions("let-end") != 1 || s.jobState(jobA) != workload.Completed {
		t.Fatalf("%d members stopped, %d decisions, the job is %s", s.stopped(), s.decisions("let-end"), s.jobState(jobA))
	}
}

// Guards against saves that come too early, and against progress saved by a stop that is replaced by
// the last checkpoint of a member that the stop has broken off.
func TestGangSavesAtTheLastSafeMoment(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2200*time.Millisecond, true)
	s.announce(3, 3*time.Second)
	// The stop takes 300 ms and is sent half a second before.
	s.advance(2100 * time.Millisecond)
	if s.stopped() != 0 {
		t.Fatalf("%d members were stopped before the last moment", s.stopped())
	}
	s.advance(300 * time.Millisecond)
	if s.stopped() != 4 {
		t.Fatalf("%d members were stopped at the last moment, want 4", s.stopped())
	}
	s.advance(10 * time.Second)
	s.check(t)
	starts := s.starts(jobA)
	if len(starts) != 8 {
		t.Fatalf("%d starts, want 8", len(starts))
	}
	for _, e := range starts[4:] {
		if saved, _ := strconv.Atoi(e.Checkpoint); saved < 4300 {
			t.Errorf("task %d resumes from %q ms, want what the stop saved after 4.6 s", e.Task.Index, e.Checkpoint)
		}
	}
}

// Guards against a gang that runs on in part after the planner was lost between the stops of its
// members.
func TestSuccessorStopsTheRestOfAGang(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2*time.Second, false)
	old := s.planners[len(s.planners)-1]
	s.announce(3, 5*time.Second)
	// Only the stop of the leaving member is delivered before the planner is lost.
	old.core.Adopt(jobA, s.entry(jobA))
	old.core.SetWorkers(s.listings(), s.now)
	old.core.Round(s.now, s.now.UnixMilli())
	orders := old.core.StopOrders()
	old.dead = true
	if len(orders) != 4 {
		t.Fatalf("%d stop orders, want 4", len(orders))
	}
	for _, o := range orders {
		if o.Task.Index == 3 {
			s.fleet.Workers[o.Worker].Stop(o, s.now)
		}
	}
	s.startPlanner(nil)
	s.advance(15 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed || len(s.starts(jobA)) != 8 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(s.starts(jobA)))
	}
}

// Guards against the same if the log has the member's end already: the gang has a member that waits
// for a start, and others that may run.
func TestSuccessorStopsGangsOfWhichAMemberWaits(t *testing.T) {
	now := time.Unix(5000, 0)
	bounds := simBounds
	bounds.Notice = simNotice
	c := control.New(bounds, 2, now)
	c.Configure(control.Configuration{Version: 1})
	record := []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w0"},{"p":0,"r":1}]]}]}`)
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 2, Gang: true, Need: need(1)}}}, Progress: record})
	orders := c.StopOrders()
	if len(orders) != 1 || orders[0].Worker != "w0" {
		t.Fatalf("stop orders: %+v, want one to w0", orders)
	}
}

// Guards against a gang that is never restarted, or runs on in part, if its worker leaves earlier
// than announced, before the save.
func TestWorkerThatLeavesEarlyLosesNoMoreThanACheckpoint(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2200*time.Millisecond, true)
	worker := s.announce(3, 3*time.Second)
	s.advance(time.Second)
	s.fleet.Kill(worker, s.now)
	s.advance(16 * time.Second)
	s.check(t)
	starts := s.starts(jobA)
	if s.jobState(jobA) != workload.Completed || len(starts) != 8 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(starts))
	}
	if saved, _ := strconv.Atoi(starts[7].Checkpoint); saved < 2500 {
		t.Fatalf("resumed from %q ms, want the last checkpoint before 3.2 s", starts[7].Checkpoint)
	}
}

// Guards against stops after a notice was withdrawn.
func TestNothingIsStoppedAfterTheNoticeIsWithdrawn(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2*time.Second, true)
	worker := s.announce(3, 2*time.Second)
	s.advance(time.Second)
	delete(s.drainRemainingMS, worker)
	s.advance(8 * time.Second)
	s.check(t)
	if s.stopped() != 0 || s.jobState(jobA) != workload.Completed {
		t.Fatalf("%d members stopped, the job is %s", s.stopped(), s.jobState(jobA))
	}
}

// Guards against a gang that is not restarted if the notice is withdrawn after its stop.
func TestStoppedGangRestartsAfterTheNoticeIsWithdrawn(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2*time.Second, false)
	worker := s.announce(3, 2*time.Second)
	s.advance(100 * time.Millisecond)
	delete(s.drainRemainingMS, worker)
	s.advance(10 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed || len(s.starts(jobA)) != 8 {
		t.Fatalf("%s after %d starts", s.jobState(jobA), len(s.starts(jobA)))
	}
}

// Guards against capacity for a gang's next run that is given to work of a lower priority while the
// gang is being stopped.
func TestCapacityForTheNextRunIsReserved(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 2*time.Second, false)
	s.announce(3, 2*time.Second)
	s.advance(100 * time.Millisecond)
	s.fleet.Work = func(workload.TaskID, int64, string) workertest.Work { return workertest.Work{Takes: 3 * time.Second} }
	s.add(jobB, func(j *workload.Job) { j.QueueSettings.Priority = 2 }, workload.Step{Count: 2, Need: need(8), EstimateMS: 3000})
	s.advance(1500 * time.Millisecond)
	s.check(t)
	if n := len(s.starts(jobA)); n != 8 {
		t.Fatalf("%d starts of the gang within 1.5 s, want 8", n)
	}
	if n := len(s.starts(jobB)); n != 1 {
		t.Fatalf("%d starts of the other job, want 1 on the worker that the gang leaves", n)
	}
}

// Guards against changes where the part is disabled: the leaving member is judged and stopped alone.
func TestWithoutNoticeMembersAreStoppedAsBefore(t *testing.T) {
	s := newGangScenarioWithNotice(t, 0, 8*time.Second, 4500*time.Millisecond, true)
	s.announce(3, 2*time.Second)
	s.advance(1400 * time.Millisecond)
	if n := s.decisions("save") + s.decisions("stop") + s.decisions("let-end"); n != 0 || s.stopped() != 0 {
		t.Fatalf("%d decisions, %d members stopped, want none: the leaving member is at 100 percent", n, s.stopped())
	}
}

// Guards against progress that a stop has saved and that is replaced by the last checkpoint of a
// member which ended as broken, in whatever order the ends are listed.
func TestProgressSavedByAStopIsKept(t *testing.T) {
	for _, order := range [][]string{{"w0", "w1"}, {"w1", "w0"}} {
		now := time.Unix(5000, 0)
		bounds := simBounds
		bounds.Notice = simNotice
		c := control.New(bounds, 2, now)
		c.Configure(control.Configuration{Version: 1})
		record := []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w0"},{"p":1,"r":1,"w":"w1"}]]}]}`)
		c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 2, Gang: true, Checkpoint: true, Need: need(1)}}}, Progress: record})
		ends := map[string]control.EndedRow{
			"w0": {Number: 1, Task: workload.TaskID{Job: jobA}, Run: 1, End: control.EndStopped, Checkpoint: "4600"},
			"w1": {Number: 1, Task: workload.TaskID{Job: jobA, Index: 1}, Run: 1, End: control.EndBroken, Checkpoint: "4000"},
		}
		c.SetWorkers([]control.Listing{{ID: "w0", Address: "w0", Capacity: need(8)}, {ID: "w1", Address: "w1", Capacity: need(8)}}, now)
		for _, id := range order {
			c.HandleRenewal(control.RenewalOrder{Worker: id, Token: 2}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1000, Ended: []control.EndedRow{ends[id]}}, now, now)
		}
		c.Round(now, now.UnixMilli())
		c.Changes()
		starts := c.Persisted(now)
		if len(starts) != 2 {
			t.Fatalf("%d starts, want 2", len(starts))
		}
		for _, o := range starts {
			if o.Checkpoint != "4600" {
				t.Errorf("ends in order %v: task %d resumes from %q", order, o.Task.Index, o.Checkpoint)
			}
		}
	}
}

// Guards against a host's maintenance that stops a gang member by member, or waits for a member at
// 100 percent whose gang needs longer than the wave allows.
func TestMaintenanceStopsGangsAsAWhole(t *testing.T) {
	s := newGangScenario(t, 8*time.Second, 4500*time.Millisecond, true)
	core := s.planners[len(s.planners)-1].core
	core.AdoptWave(control.Wave{ID: 1, Hosts: []string{"h" + s.workerOf(3)}, Within: 2 * time.Second, MaxDown: 1}, nil, s.now.UnixMilli())
	core.SetHosts(s.hostListings(), s.now)
	s.advance(60 * time.Millisecond)
	if s.stopped() != 4 || s.decisions("save") != 1 {
		t.Fatalf("%d members stopped by %d decisions, want 4 by 1", s.stopped(), s.decisions("save"))
	}
	s.advance(8 * time.Second)
	s.check(t)
	if s.jobState(jobA) != workload.Completed {
		t.Fatalf("the job is %s", s.jobState(jobA))
	}
}
