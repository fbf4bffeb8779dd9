// Package demo runs a whole deployment in one process: the committed settings
// and declarations, two instances a data centre, and the stand-ins, over TCP on
// loopback, through the same code as the daemons. It submits all kinds of work
// of the deployment, holds what came against what was promised, and reports.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Options choose what runs.
type Options struct {
	// Root is the directory of the deployments, Deployment one of them.
	Root, Deployment string
	// Faults kills, cuts, loses and fails things meanwhile.
	Faults bool
	// Progress gets a line every few seconds; may be nil.
	Progress io.Writer
}

// deployment is what differs between the two users.
type deployment struct {
	// clientLatency is one way between callers and instances, dcLatency between
	// data centres.
	clientLatency, dcLatency time.Duration
	interactive, once        domain.ClassName
	gangs                    []domain.ClassName
	accounts                 []domain.AccountID
}

var deployments = map[string]deployment{
	"midlands": {
		clientLatency: 1500 * time.Microsecond, dcLatency: 250 * time.Microsecond,
		interactive: "trade-counter-quote", once: "catalogue-fitment-check",
		gangs:    []domain.ClassName{"restock-forecast", "restock-forecast", "urgent-restock"},
		accounts: []domain.AccountID{"repair-shops", "council-depots", "training-schemes", "online-orders"},
	},
	"vestmark": {
		clientLatency: 500 * time.Microsecond, dcLatency: 750 * time.Microsecond,
		interactive: "single-household-answer", once: "household-letter",
		gangs:    []domain.ClassName{"district-rebuild", "district-rebuild", "overnight-route-replot"},
		accounts: []domain.AccountID{"residents", "call-centre", "route-planners", "district-crews"},
	},
}

// The length of a run and its load.
const (
	loadTime        = 20 * time.Second
	interactiveRate = 240 // requests a second over all instances
	onceRate        = 60
	gangEvery       = 250 * time.Millisecond
	endPatience     = 30 * time.Second
)

// Run runs a deployment and reports. An error says that it could not run at
// all; broken invariants are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	d, ok := deployments[options.Deployment]
	if !ok {
		return Report{}, domain.Refuse(domain.ReasonInvalid, "deployment", fmt.Sprintf("%q is unknown", options.Deployment), "use midlands or vestmark")
	}
	c, err := startCluster(options, d)
	if err != nil {
		return Report{}, err
	}
	defer c.stop()
	if err := c.applyDeclarations(ctx); err != nil {
		return Report{}, err
	}
	w := newWatcher(c)
	go w.run()
	l := newLoad(c, d)
	if options.Faults {
		go c.runFaults(options.Progress)
	}
	l.run(ctx, options.Progress)
	w.stop()
	return l.report(w, options.Faults), nil
}
