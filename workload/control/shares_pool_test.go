package control_test

import (
	"strings"
	"testing"

	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Guards against use within a guarantee that counts as borrowed, against borrowed use or waiting work
// that operators do not see, and against any of it where the mechanism is disabled.
func TestAccountsAreChargedForUseBeyondGuarantees(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		p := newPoolOfAccounts(40, unequalGuarantees, decide.DisabledMechanisms{decide.FairShares: disabled})
		p.jobs = 9
		p.submit(0) // of account 0, within its guarantee
		p.submit(2) // of account 1, beyond it
		for range 40 {
			p.submit(2)
		}
		shown := false
		for range 3 {
			p.core.Round(p.now, p.now.UnixMilli())
			for _, e := range p.core.Events() {
				shown = shown || (e.Name == control.EventAccountShares && strings.Contains(e.Detail, "waiting="))
			}
			p.round()
		}
		statuses := p.core.AccountStatuses()
		if disabled {
			if statuses != nil || shown {
				t.Fatalf("disabled: statuses %v, event %t", statuses, shown)
			}
			continue
		}
		if len(statuses) != len(unequalGuarantees) || statuses["1"].Use <= 0 || statuses["1"].Guaranteed != 320 || !shown {
			t.Fatalf("statuses %+v, event %t", statuses, shown)
		}
		waiting := 0
		for _, s := range statuses {
			waiting += s.Waiting
		}
		if waiting == 0 {
			t.Fatalf("no waiting work in %+v", statuses)
		}
	}
}
