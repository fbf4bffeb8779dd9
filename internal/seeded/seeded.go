// Package seeded gives property tests the same seed on every run, so that CI
// gives the same verdict on the same code. -rapid.seed N tries another one.
package seeded

import (
	"flag"
	"os"
)

// defaultSeed is used where the command line names none.
const defaultSeed = "20261202"

// rapidSteps is rapid's own default number of actions in one run of a state
// machine, and defaultSteps what replaces it: gangs need more to get going.
const (
	rapidSteps   = "30"
	defaultSteps = "150"
)

// Runner is what testing.M offers.
type Runner interface{ Run() int }

// Main runs a package's tests; call it from TestMain.
func Main(m Runner) {
	flag.Parse()
	replaceDefault("rapid.seed", "0", defaultSeed)
	replaceDefault("rapid.steps", rapidSteps, defaultSteps)
	os.Exit(m.Run())
}

func replaceDefault(name, old, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != old {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err) // the flag exists and takes such values
	}
}
