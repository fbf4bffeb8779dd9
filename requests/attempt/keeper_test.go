package attempt

import (
	"context"
	"testing"

	"github.com/cobalttide/cobalttide/domain"
)

// Guards against outcome NotRun for an id that the ledger evicted while a repeat
// waited for its first attempt, which may have run.
func TestAForgottenAttemptIsNotToldAsNotRun(t *testing.T) {
	k := &Coordinator{Instance: "i", Ledger: NewLedger(), Options: DefaultOptions()}
	_, err := k.awaitAnswer(context.Background(), Key{Account: "a", ID: "x"}, "d")
	if refusal := domain.AsRefusal(err); refusal.Outcome != domain.Unknown {
		t.Errorf("outcome %s (reason %s), want unknown", refusal.Outcome, refusal.Reason)
	}
}
