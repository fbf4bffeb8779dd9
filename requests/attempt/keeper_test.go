package attempt

import (
	"context"
	"testing"

	"github.com/cobalttide/cobalttide/domain"
)

// An id that the ledger has forgotten while its first attempt was waited for may have run.
func TestAForgottenAttemptIsNotToldAsNotRun(t *testing.T) {
	k := &Keeper{Instance: "i", Ledger: NewLedger(), Options: DefaultOptions()}
	_, err := k.await(context.Background(), Key{Account: "a", ID: "x"}, "d")
	if refusal := domain.AsRefusal(err); refusal.Outcome != domain.Unknown {
		t.Errorf("told %s (%s)", refusal.Outcome, refusal.Reason)
	}
}
