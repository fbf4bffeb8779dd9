package gang

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

type fixedClocks map[domain.WorkerID]Reading

func (f fixedClocks) Reading(id domain.WorkerID) (Reading, bool) {
	r, ok := f[id]
	return r, ok
}

// A renewal that overtakes the reserve on the way extends nothing, although it
// is answered without a refusal. Found by 10,746 random worlds (seed 78004833):
// a member was released after another's lease had ended.
func TestRenewalThatFoundNoMemberExtendsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	timing := DefaultTiming()
	reading := Reading{Boot: "b", Clock: time.Minute, Sent: now, Received: now}
	job := domain.Job{ID: "j", Shape: domain.Shape{Tasks: 1}}
	gang := domain.Incarnation{Job: "j", Attempt: 1}
	m := New(job, domain.Class{}, gang, domain.Placement{{Worker: "w", Tasks: 1}}, false, timing, now)

	reserve := m.Next(now, fixedClocks{"w": reading})[0].Command
	live := port.Report{Boot: "b", Members: []port.Member{{Gang: gang, State: port.TaskReserved}}}
	m.Observe("w", reserve, live, reading)
	before := m.allSurely()

	later := Reading{Boot: "b", Clock: 2 * time.Minute, Sent: now.Add(time.Minute), Received: now.Add(time.Minute)}
	renew := port.Command{Verb: port.VerbRenew, Gangs: []domain.Incarnation{gang}, Until: domain.Duration(later.Until(timing.Lease))}
	m.Observe("w", renew, port.Report{Boot: "b"}, later)
	if got := m.allSurely(); !got.Equal(before) {
		t.Errorf("the lease counts as held for %v longer than it is", got.Sub(before))
	}
	m.Observe("w", renew, live, later)
	if got := m.allSurely(); !got.After(before) {
		t.Error("a renewal that found the member did not extend its lease")
	}
}
