// Package seeded runs property tests with the same seed every time, so that CI gives
// the same result for the same code. The flag -rapid.seed N selects another seed.
package seeded

import (
	"flag"
	"os"
)

// defaultSeed is used if the command line sets no seed.
const defaultSeed = "20261202"

// rapidSteps is rapid's own default number of actions in one run of a state machine,
// and gangSteps replaces it: gangs need more actions to start.
const (
	rapidSteps = "30"
	gangSteps  = "150"
)

// Runner is implemented by *testing.M.
type Runner interface{ Run() int }

// Main runs a package's tests; call it from TestMain.
func Main(m Runner) {
	flag.Parse()
	overrideDefault("rapid.seed", "0", defaultSeed)
	overrideDefault("rapid.steps", rapidSteps, gangSteps)
	os.Exit(m.Run())
}

func overrideDefault(name, old, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != old {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err) // the flag exists and accepts these values
	}
}
