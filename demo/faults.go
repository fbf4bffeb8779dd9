package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/standin"
)

// fault is a fault that is injected, or cleared, at a time of the run.
type fault struct {
	at          time.Duration
	description string
	inject      func(c *cluster)
}

// faultSchedule returns the faults of a run in order. Some of them overlap.
func faultSchedule(c *cluster) []fault {
	workers := c.fleet.Workers("")
	cut := c.fleet.DataCentres[len(c.fleet.DataCentres)-1].Name
	return []fault{
		{2 * time.Second, "a worker fails every task", func(c *cluster) {
			c.platform.Worker(workers[0].ID).SetFaults(standin.WorkerFaults{FailTasks: true})
		}},
		{3 * time.Second, "a backend server leaves, another answers with errors", func(c *cluster) {
			c.platform.Backends()[0].SetFaults(standin.BackendFaults{Leaving: true})
			c.platform.Backends()[1].SetFaults(standin.BackendFaults{FailFast: true})
		}},
		{4 * time.Second, "an instance is killed", func(c *cluster) { c.kill(0) }},
		{6 * time.Second, "two appends take effect without an answer", func(c *cluster) {
			c.platform.Log.SetFaults(standin.LogFaults{LoseResponses: 2})
		}},
		{7 * time.Second, "a backend server cuts answers short, another drops them", func(c *cluster) {
			c.platform.Backends()[2].SetFaults(standin.BackendFaults{Truncate: true})
			c.platform.Backends()[3].SetFaults(standin.BackendFaults{DropAfter: true})
		}},
		{8 * time.Second, "the log service is down", func(c *cluster) {
			c.platform.Log.SetFaults(standin.LogFaults{Down: true})
		}},
		{12 * time.Second, "the log service is back", func(c *cluster) { c.platform.Log.SetFaults(standin.LogFaults{}) }},
		{13 * time.Second, "a worker restarts and loses its tasks", func(c *cluster) {
			c.platform.Worker(workers[1].ID).Restart()
		}},
		{14 * time.Second, fmt.Sprintf("data centre %s is cut off", cut), func(c *cluster) { c.cut(cut) }},
		{18 * time.Second, fmt.Sprintf("data centre %s is back", cut), func(c *cluster) { c.undoCut() }},
		{19 * time.Second, "backend servers and the worker have recovered", func(c *cluster) {
			for _, b := range c.platform.Backends() {
				b.SetFaults(standin.BackendFaults{})
			}
			c.platform.Worker(workers[0].ID).SetFaults(standin.WorkerFaults{})
		}},
	}
}

func (c *cluster) runFaults(progress io.Writer) {
	began := time.Now()
	for _, f := range faultSchedule(c) {
		time.Sleep(time.Until(began.Add(f.at)))
		logProgress(progress, "%5.1fs fault: %s", time.Since(began).Seconds(), f.description)
		f.inject(c)
	}
}

func logProgress(w io.Writer, format string, args ...any) {
	if w != nil {
		fmt.Fprintf(w, format+"\n", args...)
	}
}

// largestGuarantee returns the largest shape that an account is guaranteed in a
// data centre.
func (c *cluster) largestGuarantee(dc domain.DataCentre) domain.Shape {
	var best domain.Shape
	for _, account := range c.declared.Accounts {
		for _, g := range account.Guarantees {
			if g.DataCentre == dc && g.Shape.Accelerators() > best.Accelerators() {
				best = g.Shape
			}
		}
	}
	return best
}
