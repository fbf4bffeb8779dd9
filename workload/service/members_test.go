package service

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
)

// Members that come in one page are told of once: the order of all is made anew for each page,
// not for each of the members of a fleet that starts together.
func TestMembersThatComeTogetherAreToldOfOnce(t *testing.T) {
	const instances = 600
	log := newShared(1e9)
	tells, others := 0, 0
	m := &members{self: "self", own: member{Address: "self"}, others: map[string]member{}}
	m.changed = func(all []string, _ int) { tells, others = tells+1, len(all) }
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
	if tells != 1 || others != instances {
		t.Fatalf("%d others told of, %d times", others, tells)
	}
}
