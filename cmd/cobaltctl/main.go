// Command cobaltctl is the command line of cobalttide for operators and callers. It is
// implemented in package command.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/cobalttide/cobalttide/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := command.Main(ctx, command.Default(), os.Args[1:])
	stop()
	os.Exit(code)
}
