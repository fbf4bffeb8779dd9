package main

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
)

const (
	chainID = "f0000000000000f1"
	// messages is how many jobs come within burst, and hopelessEvery which share of them can never be
	// done: one in twenty.
	messages      = 100
	hopelessEvery = 20
	burst         = 2500 * time.Millisecond
	// chainWatched is how long the chain is watched after the end of the traffic.
	chainWatched = 35 * time.Second
)

// playHopeless has a few jobs come that can never be done, among many others, and a job of two steps.
// Its second step's turn comes when all else has ended.
func playHopeless(d *deployment, trouble bool) (string, error) {
	need := workload.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
	good := workload.Step{Count: 1, Need: need, EstimateMS: 1000}
	hopeless := workload.Step{Count: 24, Need: need, EstimateMS: 11000, PerWorker: 1}
	chain := []workload.Step{{Count: 1, Need: need, EstimateMS: 10000}, {Count: 2, Need: need, EstimateMS: 5000, DependsOn: []int{0}}}
	for n := range messages {
		began := time.Now()
		id := fmt.Sprintf("f%015x", 0x1000+n)
		wire, step := d.names.GoodSteps, good
		if n%hopelessEvery == hopelessEvery/2 {
			wire, step = d.names.HopelessSteps, hopeless
			if trouble {
				d.note("job %s can never be done: each of its runs fails", id)
				d.site.FailRunsOf(workload.JobID(id), standin.Failures{Always: true})
			}
		}
		if err := d.submit("forecasts.example", "/forecasts/", id, wire, []workload.Step{step}); err != nil {
			return "", err
		}
		time.Sleep(time.Until(began.Add(burst / messages)))
	}
	if err := d.submit("forecasts.example", "/forecasts/", chainID, d.names.ChainSteps, chain); err != nil {
		return "", err
	}
	ended := time.Now()
	d.note("the chain is accepted; the traffic ends")
	// turnAt is when the second step's turn came, startedAt when its first task started.
	var turnAt, startedAt time.Time
	for time.Since(ended) < chainWatched && startedAt.IsZero() {
		turnAt, startedAt = d.secondStep()
		time.Sleep(20 * time.Millisecond)
	}
	if turnAt.IsZero() {
		return "", fmt.Errorf("the first step has not ended")
	}
	if startedAt.IsZero() {
		startedAt = time.Now()
		d.note("the second step has not started")
	}
	d.note("the turn of the second step came %.2f s after the end of the traffic, it started %.2f s after it; the job is shown as %q", turnAt.Sub(ended).Seconds(), startedAt.Sub(ended).Seconds(), d.state(d.processes[1], "forecasts.example", "/forecasts/", chainID))
	from := ended.Add(finish)
	if turnAt.After(from) {
		from = turnAt
	}
	if waited := startedAt.Sub(from); waited >= judged {
		return fmt.Sprintf("from %.1f s after the end of the traffic on, the job had nothing running for %.1f s although the turn of its second step had come, beside an idle pool of 24 workers", from.Sub(ended).Seconds(), waited.Seconds()), nil
	}
	return "", nil
}

// secondStep returns when the chain's first step ended and when its second one started.
func (d *deployment) secondStep() (turn, started time.Time) {
	for _, e := range d.site.Events() {
		switch {
		case string(e.Task.Job) != chainID:
		case e.Task.Step == 0 && e.End == "done":
			turn = e.At
		case e.Task.Step == 1 && e.End == "" && started.IsZero():
			started = e.At
		}
	}
	return turn, started
}
