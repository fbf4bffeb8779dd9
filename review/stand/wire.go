package main

import (
	_ "embed"
	"encoding/json"
)

// Only the adapter's Go files use the platform's names (TestOnlyTheAdapterUsesThePlatformsNames), so
// those that this stand-in speaks are in a file of their own.

//go:embed wire.json
var wireFile []byte

var wireNames = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wireFile, &out); err != nil {
		panic(err)
	}
	return out
}()

// wire returns the platform's name of something.
func wire(what string) string {
	name, known := wireNames[what]
	if !known {
		panic("no name of the platform for " + what)
	}
	return name
}
