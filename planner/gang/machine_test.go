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

// Guards against a renewal that overtakes the reserve and is counted as an extension of
// the lease, although it found no member to extend: a member was then released after
// another's lease had ended. Found by 10,746 random worlds (seed 78004833).
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
	before := m.leasesValidUntil()

	later := Reading{Boot: "b", Clock: 2 * time.Minute, Sent: now.Add(time.Minute), Received: now.Add(time.Minute)}
	renew := port.Command{Verb: port.VerbRenew, Gangs: []domain.Incarnation{gang}, ValidUntil: domain.Duration(later.LeaseEnd(timing.Lease))}
	m.Observe("w", renew, port.Report{Boot: "b"}, later)
	if got := m.leasesValidUntil(); !got.Equal(before) {
		t.Errorf("the lease counts as valid for %v longer than it is", got.Sub(before))
	}
	m.Observe("w", renew, live, later)
	if got := m.leasesValidUntil(); !got.After(before) {
		t.Error("a renewal that found the member did not extend its lease")
	}
}
