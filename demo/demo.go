// Package demo runs a whole deployment in one process over TCP on loopback: the
// committed settings and declarations, two instances per data centre, and the
// stand-ins. It uses the same code as the daemons. It submits all kinds of work of
// the deployment, checks the outcomes against the invariants, and reports them.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// Options configures a run.
type Options struct {
	// Root is the directory of the deployments, Deployment the name of the one to run.
	Root, Deployment string
	// Faults injects faults during the run.
	Faults bool
	// Progress receives a line every few seconds; it may be nil.
	Progress io.Writer
}

// deployment holds what differs between the two deployments.
type deployment struct {
	// clientLatency is the one-way latency between callers and instances, dcLatency
	// the one between data centres.
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

// Duration and load of a run.
const (
	loadDuration    = 20 * time.Second
	interactiveRate = 240 // requests per second over all instances
	onceRate        = 60
	gangInterval    = 250 * time.Millisecond
	endTimeout      = 30 * time.Second
)

// Run runs a deployment and returns a report. It returns an error only if the
// deployment could not run; broken invariants are in the report.
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
