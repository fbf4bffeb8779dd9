// Command cobalttide-entry is the entry instance of cobalttide on the users'
// platform. It is implemented in package platform.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/cobalttide/cobalttide/platform"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	file := flag.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	check := flag.Bool("check", false, "check the settings and exit")
	without := flag.String("without", "", "mechanisms of the policy to disable, separated by commas")
	flag.Parse()
	settings, err := platform.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	settings.Disabled, err = decide.ParseDisabled(*without)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are good")
		return exitOK
	}
	if err := platform.Run(settings, *file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
