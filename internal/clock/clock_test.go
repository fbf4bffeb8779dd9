package clock

import (
	"testing"
	"time"
)

func TestBootClockAgreesWithRuntimeClock(t *testing.T) {
	ages, err := Boot()
	if err != nil {
		t.Fatal(err)
	}
	began, steady := ages.Now(), time.Now()
	for range 1000 {
		if now := ages.Now(); now.Before(began) {
			t.Fatalf("the clock went back by %v", began.Sub(now))
		}
	}
	if off := ages.Since(began) - time.Since(steady); off < -time.Second || off > time.Second {
		t.Errorf("elapsed time differs from the runtime clock's by %v", off)
	}
	if off := ages.Now().Sub(time.Now().Round(0)); off < -time.Second || off > time.Second {
		t.Errorf("the clock differs from the time of day by %v", off)
	}
}

func TestNilClockIsSteady(t *testing.T) {
	var none Clock
	if took := none.Since(time.Now()); took < 0 || took > time.Minute {
		t.Errorf("Since(time.Now()) = %v", took)
	}
}

func BenchmarkBoot(b *testing.B) {
	ages, err := Boot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		ages.Now()
	}
}
