package main

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
)

const (
	pinnedID = "b0000000000000b1"
	// rackFirst and rackLast are the machines of the rack r1-2.
	rackFirst, rackLast = 4, 7
	// rackDown is how long the workers of the rack are gone after their crash.
	rackDown = time.Second
	// calm is the time without a disruption before the judged span, and longer than the time that a
	// task that lasts may be down. judged is the span for which it must not wait beside free capacity.
	calm, judged = 7 * time.Second, 3 * time.Second
)

// playRack has the workers of one rack crash once and start again, while a job that lasts runs there
// and may run on no other rack.
func playRack(d *deployment, trouble bool) (string, error) {
	step := workload.Step{Count: 2, Need: workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 4}, EstimateMS: 20000, Label: "r1-2", Perpetual: true}
	if err := d.submit("quotes.example", "/quotes/", pinnedID, d.names.PinnedSteps, []workload.Step{step}); err != nil {
		return "", err
	}
	atWork := func() bool { return len(d.running(pinnedID)) == step.Count }
	if err := d.await("all tasks at work", 10*time.Second, atWork); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.note("the 4 workers of rack r1-2 crash; others start at their addresses after %v", rackDown)
		for machine := rackFirst; machine <= rackLast; machine++ {
			d.site.Succeed(machine, standin.Succession{Downtime: rackDown})
		}
	}
	crashed := time.Now()
	time.Sleep(rackDown + calm)
	from := time.Now()
	d.note("calm for %v; the 4 workers of the rack are up: machines 4 to 7 run %s, %s, %s, %s", calm, d.workerOf(4), d.workerOf(5), d.workerOf(6), d.workerOf(7))
	waited := len(d.running(pinnedID)) == 0
	for time.Since(from) < judged {
		waited = waited && len(d.running(pinnedID)) == 0
		time.Sleep(10 * time.Millisecond)
	}
	d.note("running after the judged %v: %d of %d; the job is shown as %s", judged, len(d.running(pinnedID)), step.Count, d.state(d.processes[0], "quotes.example", "/quotes/", pinnedID))
	if err := d.await("the tasks at work again", 60*time.Second, atWork); err != nil {
		d.note("%v", err)
	} else {
		d.note("all tasks at work again, %.1f s after the crash", time.Since(crashed).Seconds())
	}
	if waited {
		return fmt.Sprintf("for %v no task of the job ran, %v after the last disruption, beside 4 idle workers that may run it", judged, calm), nil
	}
	return "", nil
}

// workerOf returns the worker on a machine.
func (d *deployment) workerOf(machine int) string {
	for id := range d.workers() {
		if d.site.MachineOf(id) == machine {
			return id
		}
	}
	return "nothing"
}
