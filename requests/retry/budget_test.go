package retry

import "testing"

// With every backend server failing, attempts stay under 1.2 for each request.
func TestRetriesStayAShareOfTraffic(t *testing.T) {
	b := NewBudget(0.1, 10)
	attempts := 0
	const requests = 1000
	for range requests {
		b.Earn()
		attempts++
		for range 2 {
			if b.Spend() {
				attempts++
			}
		}
	}
	if share := float64(attempts) / requests; share >= 1.2 {
		t.Errorf("%.2f attempts for each request", share)
	}
}
