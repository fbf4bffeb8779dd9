package retry

import "testing"

// Guards against a retry storm: with every backend server failing, there are fewer
// than 1.2 attempts per request.
func TestRetriesStayAShareOfTraffic(t *testing.T) {
	b := NewBudget(0.1, 10)
	attempts := 0
	const requests = 1000
	for range requests {
		b.Deposit()
		attempts++
		for range 2 {
			if b.TryWithdraw() {
				attempts++
			}
		}
	}
	if share := float64(attempts) / requests; share >= 1.2 {
		t.Errorf("%.2f attempts per request, want less than 1.2", share)
	}
}
