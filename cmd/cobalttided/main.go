// Command cobalttided is the entry instance of cobalttide. It is implemented in package
// instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/instance/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	file := flag.String("settings", "", "settings file, JSON with comments")
	check := flag.Bool("check", false, "check the settings, print all errors, and exit")
	flag.Usage = usage
	flag.Parse()
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are good")
		return exitOK
	}
	in, err := instance.New(s, instance.Options{})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := in.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

func usage() {
	fmt.Fprint(os.Stderr, `cobalttided runs one entry instance.

  cobalttided -settings deployments/midlands/settings/tyseley-1.json
  cobalttided -check -settings FILE

SIGTERM or SIGINT drains it: it finishes the requests in progress, then exits with 0.
Exit codes: 0 success, 1 failed, 2 invalid settings.

`)
	flag.PrintDefaults()
}
