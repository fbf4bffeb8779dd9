// Command standin runs the stand-ins for the platform and for backend servers. It is for
// development and tests only.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cobalttide/cobalttide/standin"
)

func main() { os.Exit(run()) }

func run() int {
	fleetFile := flag.String("fleet", "", "description of the fleet, JSON with comments")
	listen := flag.String("listen", "127.0.0.1:7100", "IP and port of the platform")
	flag.Usage = usage
	flag.Parse()
	fleet, err := standin.LoadFleet(*fleetFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	running, err := standin.Start(fleet, *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("stand-in platform at %s with %d backend servers\n", running.Address, len(running.Backends()))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	running.Stop()
	return 0
}

func usage() {
	fmt.Fprint(os.Stderr, `standin runs stand-ins for the platform's log service, lists and workers, and for backend servers.

  standin -fleet deployments/midlands/fleet.json -listen 127.0.0.1:7100

Faults are switched on and off at run time:

  curl -d '{"log":{"down":true}}' http://127.0.0.1:7100/faults
  curl -d '{"worker":"tyseley-hall-r0-w0","worker_faults":{"fail_tasks":true}}' http://127.0.0.1:7100/faults
  curl -d '{"backend":"tyseley-hall-b0","backend_faults":{"leaving":true}}' http://127.0.0.1:7100/faults

`)
	flag.PrintDefaults()
}
