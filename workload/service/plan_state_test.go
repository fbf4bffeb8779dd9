package service

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against an older state record that is read after a newer one, or after the key was
// deleted, and replaces it.
func TestPlanStateKeepsTheNewestRecordOfEachKey(t *testing.T) {
	s := newPlanState()
	s.record(Entry{Offset: 5, Key: "h/a", Value: []byte("new")})
	s.record(Entry{Offset: 3, Key: "h/a", Value: []byte("old")})
	s.record(Entry{Offset: 7, Key: "h/b"})
	s.record(Entry{Offset: 6, Key: "h/b", Value: []byte("old")})
	var got []string
	s.each(func(e Entry) { got = append(got, e.Key+" "+string(e.Value)) })
	if strings.Join(got, ",") != "h/a new" {
		t.Fatalf("%v", got)
	}
}

// Guards against a successor that does not get its predecessors' state after all instances were
// lost and the log keeps only the newest record of each key.
func TestFreshInstanceGetsStateFromASnapshotOfThePlans(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 0, 5)
		defer p.stopAll()
		ctx := context.Background()
		for _, r := range []control.Record{{Key: "h/lost", Value: []byte("1")}, {Key: "h/kept", Value: []byte("1")}, {Key: "h/kept", Value: []byte("22")}, {Key: "h/lost"}} {
			if _, err := p.log.Append(ctx, Plans, []control.Record{r}, nil); err != nil {
				t.Fatal(err)
			}
		}
		p.log.compact(Plans)
		output := &bytes.Buffer{}
		lines := events.New(output, events.Fields{}, nil)
		p.startInstance(poolSettings("edge-0", 1, "0"), p.log, p.workers, lines)
		time.Sleep(8 * time.Second)
		p.stopAll()
		p.instances = nil
		lines.Close(time.Second)
		var got []string
		for line := range strings.SplitSeq(output.String(), "\n") {
			if strings.Contains(line, control.EventStateIgnored) {
				got = append(got, line)
			}
		}
		if len(got) != 1 || !strings.Contains(got[0], "key=h/kept bytes=2") {
			t.Fatalf("state records passed to the planner: %v", got)
		}
	})
}
