package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// gangOfTwo returns a planner that has adopted a gang of two tasks on w0 and w1, which save.
func gangOfTwo(record []byte, token int64, now time.Time) *control.Core {
	bounds := simBounds
	bounds.Notice = simNotice
	c := control.New(bounds, token, now)
	c.Configure(control.Configuration{Version: 1})
	step := workload.Step{Count: 2, Gang: true, Checkpoint: true, EstimateMS: 9000, Need: need(1)}
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{step}}, Progress: record})
	c.SetWorkers([]control.Listing{{ID: "w0", Address: "w0", Capacity: need(8)}, {ID: "w1", Address: "w1", Capacity: need(8)}}, now)
	return c
}

const twoMembersRun = `{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w0"},{"p":1,"r":1,"w":"w1"}]]}]}`

func reportEnds(c *control.Core, token int64, worker string, now time.Time, ended ...control.EndedRow) {
	c.HandleRenewal(control.RenewalOrder{Worker: worker, Token: token}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1000, Ended: ended}, now, now)
}

// Guards against progress saved by a stop that is lost with the planner: its successor must not replace
// it by the last checkpoint of a member that ended as broken.
func TestSuccessorKeepsWhatAStopHasSaved(t *testing.T) {
	now := time.Unix(5000, 0)
	predecessor := gangOfTwo([]byte(twoMembersRun), 2, now)
	reportEnds(predecessor, 2, "w0", now, control.EndedRow{Number: 1, Task: workload.TaskID{Job: jobA}, Run: 1, End: control.EndStopped, Checkpoint: "4600"})
	predecessor.Round(now, now.UnixMilli())
	var record []byte
	for _, r := range predecessor.Changes() {
		if !control.IsStateKey(r.Key) {
			record = r.Value
		}
	}
	c := gangOfTwo(record, 3, now)
	reportEnds(c, 3, "w0", now)
	reportEnds(c, 3, "w1", now, control.EndedRow{Number: 1, Task: workload.TaskID{Job: jobA, Index: 1}, Run: 1, End: control.EndBroken, Checkpoint: "4000"})
	c.Round(now, now.UnixMilli())
	c.Changes()
	starts := c.Persisted(now)
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2; record %s", len(starts), record)
	}
	for _, o := range starts {
		if o.Checkpoint != "4600" {
			t.Errorf("task %d resumes from %q, want what the stop saved", o.Task.Index, o.Checkpoint)
		}
	}
}

// decisionsBesideStall runs a gang of two of which w0 stops to progress at 40 percent if it stalls, and
// w1's worker announces after 7.5 s that it leaves in 2 s. It returns the decisions.
func decisionsBesideStall(stalls bool) (choices []string) {
	now := time.Unix(5000, 0)
	began := now
	c := gangOfTwo([]byte(twoMembersRun), 2, now)
	for range 95 {
		now = now.Add(100 * time.Millisecond)
		ranMS := int(now.Sub(began).Milliseconds())
		slow := min(100, ranMS/90)
		if stalls {
			slow = min(40, slow)
		}
		for w, percent := range []int{slow, min(100, ranMS/45)} {
			row := control.RunningRow{Task: workload.TaskID{Job: jobA, Index: w}, Run: 1, Percent: percent, Checkpoint: fmt.Sprint(ranMS / 1000 * 1000)}
			answer := control.RenewalAnswer{Result: control.Accepted, ClockMS: now.UnixMilli(), Running: []control.RunningRow{row}}
			c.HandleRenewal(control.RenewalOrder{Worker: fmt.Sprintf("w%d", w), Token: 2}, answer, now, now)
		}
		if ranMS == 7500 {
			c.UpdateWorker(control.Listing{ID: "w1", Address: "w1", Capacity: need(8), Draining: true, RemainingMS: 2000}, now)
		}
		c.Round(now, now.UnixMilli())
		for _, e := range c.Events() {
			if e.Name == control.EventUnitDeparts {
				choices = append(choices, e.Reason)
			}
		}
	}
	return choices
}

// Guards against a member that stands still and seems nearly done because the time without progress is
// taken as progress: its gang was let run until its worker left.
func TestStalledMemberIsNotNearlyDone(t *testing.T) {
	if got := decisionsBesideStall(false); !slices.Equal(got, []string{"let-end"}) {
		t.Errorf("a gang that progresses: %v, want it to be let end", got)
	}
	if got := decisionsBesideStall(true); !slices.Equal(got, []string{"save", "save"}) {
		t.Errorf("a gang that stalls at 40 percent: %v, want a save, and its stop", got)
	}
}

// reasonsOfPerpetual adopts a perpetual task on a worker that leaves after a time, and returns why runs
// were stopped.
func reasonsOfPerpetual(left time.Duration) (reasons []string) {
	now := time.Unix(5000, 0)
	bounds := simBounds
	bounds.Notice = simNotice
	c := control.New(bounds, 2, now)
	c.Configure(control.Configuration{Version: 1})
	record := []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w0"}]]}]}`)
	c.Adopt(jobA, workload.Entry{Job: &workload.Job{ID: jobA, Steps: []workload.Step{{Count: 1, Perpetual: true, Need: need(1)}}}, Progress: record})
	l := control.Listing{ID: "w0", Address: "w0", Capacity: need(8)}
	c.SetWorkers([]control.Listing{l}, now)
	row := control.RunningRow{Task: workload.TaskID{Job: jobA}, Run: 1, Percent: 1}
	c.HandleRenewal(control.RenewalOrder{Worker: "w0", Token: 2}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1000, Running: []control.RunningRow{row}}, now, now)
	l.Draining, l.RemainingMS = true, left.Milliseconds()
	c.UpdateWorker(l, now)
	c.Round(now, now.UnixMilli())
	for _, e := range c.Events() {
		if e.Name == control.EventRunStopping {
			reasons = append(reasons, e.Reason)
		}
	}
	return reasons
}

// Guards against a perpetual run that is stopped although its worker stays for more than an hour.
func TestPerpetualRunStaysForAnHour(t *testing.T) {
	if got := reasonsOfPerpetual(2 * time.Hour); len(got) != 0 {
		t.Errorf("two hours left: stopped for %v", got)
	}
	if got := reasonsOfPerpetual(time.Minute); !slices.Equal(got, []string{"worker-leaves"}) {
		t.Errorf("a minute left: stopped for %v", got)
	}
}

// Guards against a gang withdrawn before its start is persisted whose members are settled twice.
func TestMaintenanceWithdrawsEachMemberOnce(t *testing.T) {
	now := time.Unix(5000, 0)
	c := gangOfTwo([]byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":0,"r":0},{"p":0,"r":0}]]}]}`), 2, now)
	reportEnds(c, 2, "w0", now)
	reportEnds(c, 2, "w1", now)
	c.Round(now, now.UnixMilli())
	var hosts []control.HostListing
	var names []string
	for _, id := range []string{"w0", "w1"} {
		hosts = append(hosts, control.HostListing{Host: "h" + id, Worker: id, Up: true})
		names = append(names, "h"+id)
	}
	c.AdoptWave(control.Wave{ID: 1, Hosts: names, Within: 2 * time.Second, MaxDown: 2}, nil, now.UnixMilli())
	c.SetHosts(hosts, now)
	c.Events()
	c.Round(now, now.UnixMilli())
	withdrawn := map[string]int{}
	for _, e := range c.Events() {
		if e.Name == control.EventRunWithdrawn {
			withdrawn[e.Task]++
		}
	}
	if len(withdrawn) != 2 {
		t.Fatalf("withdrawn: %v, want both members", withdrawn)
	}
	for task, n := range withdrawn {
		if n != 1 {
			t.Errorf("%s was withdrawn %d times", task, n)
		}
	}
}
