package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// newDepartingGang returns a planner with a running gang of account a, one worker of which leaves,
// and two waiting jobs of account b.
func newDepartingGang(now time.Time) *Core {
	c := New(Bounds{
		Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, StopTimeout: 400 * time.Millisecond,
		ReclaimWithin: 2900 * time.Millisecond, PollWait: time.Second, Notice: 5 * time.Second,
	}, 2, now)
	c.Configure(Configuration{Version: 1, Guaranteed: map[domain.AccountID]int64{"a": 16, "b": 1}})
	need := workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 8}
	settings := workload.QueueSettings{Priority: 2}
	gang := &workload.Job{ID: "a1", Account: "a", QueueSettings: settings, Steps: []workload.Step{{Count: 2, Gang: true, EstimateMS: 20_000, Need: need}}}
	c.Adopt(gang.ID, workload.Entry{Job: gang, Progress: []byte(`{"state":"running","begun":true,"next":1,"open":[{"s":[[{"p":1,"r":1,"w":"w0"},{"p":1,"r":1,"w":"w1"}]]}]}`)})
	for i := range 2 {
		id := workload.JobID(fmt.Sprint("b", i))
		c.Adopt(id, workload.Entry{Job: &workload.Job{ID: id, Account: "b", QueueSettings: settings, Steps: []workload.Step{{Count: 1, EstimateMS: 3000, Need: need}}}, State: workload.Queued})
	}
	c.SetWorkers([]Listing{{ID: "w0", Address: "w0", Capacity: need}, {ID: "w1", Address: "w1", Capacity: need, Draining: true, RemainingMS: 3000}}, now)
	for i, id := range []string{"w0", "w1"} {
		c.HandleRenewal(RenewalOrder{Worker: id, Token: 2}, RenewalAnswer{Result: Accepted, ClockMS: 1000, Running: []RunningRow{{Task: workload.TaskID{Job: gang.ID, Index: i}, Run: 1, Percent: 5}}}, now, now)
	}
	return c
}

// Guards against the next run of a departing unit that is ordered as work of an unknown account, or
// that operators see as waiting work although it still runs.
func TestDepartingUnitsBelongToTheirAccounts(t *testing.T) {
	now := time.Unix(5000, 0)
	c := newDepartingGang(now)
	c.Round(now, now.UnixMilli())
	shown := ""
	for _, e := range c.Events() {
		if e.Name == EventAccountShares {
			shown = e.Detail
		}
	}
	if !strings.HasPrefix(shown, "accounts=1 b:") {
		t.Errorf("shown as waiting: %q, want account b only", shown)
	}
	s, _ := c.snapshot(now, now.UnixMilli())
	departing := 0
	for _, u := range s.Waiting {
		if !u.Departing {
			continue
		}
		departing++
		if u.Account != "a" {
			t.Errorf("the departing unit is of account %q, want a", u.Account)
		}
	}
	if departing != 1 {
		t.Errorf("%d departing units, want 1", departing)
	}
}
