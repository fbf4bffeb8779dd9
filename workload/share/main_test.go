package share

import (
	"testing"

	"github.com/cobalttide/cobalttide/internal/seeded"
)

// TestMain gives the property tests a fixed seed.
func TestMain(m *testing.M) { seeded.Main(m) }
