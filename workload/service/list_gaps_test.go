package service

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against taking the removal of an entry for a departure if the list was not followed
// without a gap before the removal: what happened in the gap is not known.
func TestRemovalsNextToAGapInTheListAreNotDepartures(t *testing.T) {
	nothing := func(*planner, Entry) {}
	disconnect := func(p *planner, _ Entry) { p.reportListConnection(WorkerList, false, "test") }
	reconnect := func(p *planner, _ Entry) { p.reportListConnection(WorkerList, true, "") }
	for name, c := range map[string]struct {
		before, gap func(p *planner, entry Entry)
		left        bool
	}{
		"no gap":                         {nothing, nothing, true},
		"the connection was lost before": {disconnect, nothing, true},
		"the connection was lost":        {nothing, disconnect, false},
		"the connection was restored":    {nothing, reconnect, false},
		"the list was reloaded":          {nothing, func(p *planner, e Entry) { p.applyList([]Entry{e}) }, false},
		"reloaded without the entry":     {nothing, func(p *planner, _ Entry) { p.applyList(nil) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{Instance: "a"}, &partialLog{}, poolDecoder{}, nil, nil, nil)
			now := s.clock.Now()
			p := &planner{s: s, core: control.New(control.Bounds{Heartbeat: 10 * time.Second}, 1, now), listings: map[string]control.Listing{}, unreadable: map[string]string{}, changedListings: map[string]bool{}}
			value, err := json.Marshal(control.Listing{ID: "w", Address: "w", Capacity: workload.Resources{MilliCPU: 1000}, Draining: true, ClockMS: 100_000})
			if err != nil {
				t.Fatal(err)
			}
			entry := Entry{Key: "w", Value: value}
			c.before(p, entry)
			p.syncWorkers()
			p.applyListEntry(entry)
			p.syncWorkers()
			written := s.clock.Now()
			p.core.HandleRenewal(control.RenewalOrder{Worker: "w", Token: 1}, control.RenewalAnswer{Result: control.Accepted, ClockMS: 100_000}, written, written)
			c.gap(p, entry)
			p.syncWorkers()
			p.applyListEntry(Entry{Key: "w"})
			p.syncWorkers()
			if left := isReportedAsLeft(p); left != c.left {
				t.Fatalf("the removal was taken for a departure: %t", left)
			}
		})
	}
}

// isReportedAsLeft reports whether the core has noted an unlisted worker as departed.
func isReportedAsLeft(p *planner) bool {
	for _, n := range p.core.Events() {
		if n.Name == control.EventWorkerUnlisted {
			return strings.Contains(n.Detail, "left=true")
		}
	}
	return false
}
