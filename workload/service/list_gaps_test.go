package service

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against a removal that was read beside a gap in the list being taken for a departure: what
// happened in the gap is not known.
func TestRemovalsBesideAGapInTheListAreNoDepartures(t *testing.T) {
	nothing := func(*planner, Entry) {}
	lost := func(p *planner, _ Entry) { p.reportListConnection(WorkerList, false, "test") }
	back := func(p *planner, _ Entry) { p.reportListConnection(WorkerList, true, "") }
	for name, c := range map[string]struct {
		before, gap func(p *planner, entry Entry)
		left        bool
	}{
		"no gap":                         {nothing, nothing, true},
		"the connection was lost before": {lost, nothing, true},
		"the connection was lost":        {nothing, lost, false},
		"the connection is back":         {nothing, back, false},
		"the whole list is read anew":    {nothing, func(p *planner, e Entry) { p.applyList([]Entry{e}) }, false},
		"it is read anew without it":     {nothing, func(p *planner, _ Entry) { p.applyList(nil) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{Instance: "a"}, &partly{}, poolDecoder{}, nil, nil, nil)
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
			p.core.Held(control.HoldOrder{Worker: "w", Token: 1}, control.HoldAnswer{Verdict: control.Accepted, ClockMS: 100_000}, written, written)
			c.gap(p, entry)
			p.syncWorkers()
			p.applyListEntry(Entry{Key: "w"})
			p.syncWorkers()
			if left := unlistedAsLeft(p); left != c.left {
				t.Fatalf("taken for a departure: %t", left)
			}
		})
	}
}

func unlistedAsLeft(p *planner) bool {
	for _, n := range p.core.Notes() {
		if n.Event == control.EventWorkerUnlisted {
			return strings.Contains(n.Detail, "left=true")
		}
	}
	return false
}
