package main

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
)

const (
	plainID = "c0000000000000c1"
	// crashes is how many workers crash, one machine after the other, crashEvery how far apart, and
	// crashDown how long each is gone.
	crashes    = 4
	crashEvery = 4200 * time.Millisecond
	crashDown  = time.Second
	// firstCrash is how long the job has been at work before.
	firstCrash = 3 * time.Second
	// shownWithin is how long the job is asked for after the last crash.
	shownWithin = 15 * time.Second
)

// playCrashes has the workers of four machines crash, one after the other, while a job that lasts has
// one task. No run of it ever ends as failed.
func playCrashes(d *deployment, trouble bool) (string, error) {
	step := workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 4}, EstimateMS: 20000, Perpetual: true}
	if err := d.submit("quotes.example", "/quotes/", plainID, d.names.PlainSteps, []workload.Step{step}); err != nil {
		return "", err
	}
	if err := d.await("the task at work", 20*time.Second, func() bool { return len(d.running(plainID)) == step.Count }); err != nil {
		return "", err
	}
	time.Sleep(firstCrash)
	for machine := range crashes {
		if trouble {
			d.note("worker %s of machine %d crashes; another starts at its address after %v", d.workerOf(machine), machine, crashDown)
			d.site.Succeed(machine, standin.Succession{Downtime: crashDown})
		}
		time.Sleep(crashEvery)
	}
	state := ""
	for until := time.Now().Add(shownWithin); time.Now().Before(until) && state != "failed" && state != "cancelled"; {
		time.Sleep(500 * time.Millisecond)
		state = d.state(d.processes[1], "quotes.example", "/quotes/", plainID)
	}
	failed := 0
	for _, e := range d.site.Events() {
		if string(e.Task.Job) == plainID && e.End == "failed" {
			failed++
		}
	}
	if state == "failed" || state == "cancelled" {
		return fmt.Sprintf("the job is shown as %s, and %d of its runs ended as failed", state, failed), nil
	}
	return "", nil
}
