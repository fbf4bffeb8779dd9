package seeded

import (
	"flag"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// failureRecorder is a testing.TB that records a failure without failing the test
// that runs it.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// seedCount is the number of seeds that FailsForAnySeed tries.
const seedCount = 40

// FailsForAnySeed reports whether a property fails under any of a fixed set of seeds. It is
// used to test a property test: the property must fail for a broken variant of the
// code, or it proves nothing.
func FailsForAnySeed(t testing.TB, property func(*rapid.T)) bool {
	t.Helper()
	// The failure is not printed here, so there is no need to shrink it.
	defer setFlag(t, "rapid.shrinktime", "0s")()
	for seed := range seedCount {
		restore := setFlag(t, "rapid.seed", strconv.Itoa(seed+1))
		failed := propertyFails(t, property)
		restore()
		if failed {
			return true
		}
	}
	return false
}

func propertyFails(t testing.TB, property func(*rapid.T)) bool {
	r := &failureRecorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed
}

// setFlag sets a flag and returns a function that restores its old value.
func setFlag(t testing.TB, name, value string) func() {
	t.Helper()
	f := flag.Lookup(name)
	if f == nil {
		t.Fatalf("flag %s is not defined", name)
	}
	old := f.Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := flag.Set(name, old); err != nil {
			t.Fatal(err)
		}
	}
}
