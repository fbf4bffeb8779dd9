package seeded

import (
	"flag"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// recorder is a test that may fail without failing the one that runs it.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// catchTries is how many seeds Catches tries.
const catchTries = 40

// Catches reports whether a property fails under any of a fixed row of seeds.
// It tests a test: a property that a broken variant of the code does not fail
// proves nothing.
func Catches(t testing.TB, property func(*rapid.T)) bool {
	t.Helper()
	// The smallest failure is looked for in vain: nobody reads it here.
	defer set(t, "rapid.shrinktime", "0s")()
	for seed := range catchTries {
		restore := set(t, "rapid.seed", strconv.Itoa(seed+1))
		failed := fails(t, property)
		restore()
		if failed {
			return true
		}
	}
	return false
}

func fails(t testing.TB, property func(*rapid.T)) bool {
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed
}

// set gives a flag a value and returns what sets it back.
func set(t testing.TB, name, value string) func() {
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
