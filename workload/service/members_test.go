package service

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// Guards against sorting all members once for each entry when many instances start together:
// the members of one page are reported once.
func TestMembersReadInOnePageAreReportedOnce(t *testing.T) {
	const instances = 600
	log := newSharedLog(1e9)
	reports, others := 0, 0
	m := &members{self: "self", own: member{Address: "self"}, others: map[string]member{}}
	m.changed = func(all []string, _ int) { reports, others = reports+1, len(all) }
	f := &follower{topic: Members, log: log, wait: func() time.Duration { return 0 }, applyOne: m.apply, afterPage: m.notifyChanged}
	var records []control.Record
	for i := range instances {
		records = append(records, control.Record{Key: fmt.Sprint(i), Value: []byte(fmt.Sprintf(`{"address":"a%d","power":%d}`, i, i%3))})
	}
	if _, err := log.Append(context.Background(), Members, records, nil); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := f.readPage(context.Background(), 0); err != nil {
			t.Fatal(err)
		}
		f.next = instances
	}
	if reports != 1 || others != instances {
		t.Fatalf("%d other members were reported, in %d calls", others, reports)
	}
}
