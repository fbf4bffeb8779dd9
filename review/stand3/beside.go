package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
)

const (
	longID = "d0000000000000d1"
	lateID = "d0000000000000d2"
	// rackDown is how long the workers of the rack are gone, watched how long the late job is watched.
	rackDown = time.Second
	watched  = 45 * time.Second
)

// playBeside has the workers of one rack crash once, under the tasks of a long job. These go on in
// another rack, and a short job comes that may run only there, beside them.
func playBeside(d *deployment, trouble bool) (string, error) {
	need := workload.Resources{MilliCPU: 4000, MemoryMiB: 8000, Accelerators: 1}
	long := workload.Step{Count: 4, Need: need, EstimateMS: 3600000, PerWorker: 1}
	if err := d.submit("forecasts.example", "/forecasts/", longID, d.names.LongSteps, []workload.Step{long}); err != nil {
		return "", err
	}
	atWork := func() bool { return len(d.running(longID)) == long.Count }
	if err := d.await("the long job at work", 10*time.Second, atWork); err != nil {
		return "", err
	}
	rack, err := d.rackOf(longID)
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.note("the workers of rack %d crash; others start at their addresses after %v", rack, rackDown)
		for machine := rack * perRack; machine < (rack+1)*perRack; machine++ {
			d.site.Succeed(machine, standin.Succession{Downtime: rackDown})
		}
		if err := d.await("the long job at work again", 10*time.Second, atWork); err != nil {
			return "", err
		}
		if rack, err = d.rackOf(longID); err != nil {
			return "", err
		}
	}
	d.note("the long job runs in rack %d: %v", rack, d.running(longID))
	time.Sleep(2 * time.Second)
	label := fmt.Sprintf("r1-%d", 1+rack)
	late := workload.Step{Count: 2, Need: need, EstimateMS: 5000, Label: label}
	body := bytes.ReplaceAll(d.names.LateSteps, []byte("@rack@"), []byte(label))
	if err := d.submit("forecasts.example", "/forecasts/", lateID, body, []workload.Step{late}); err != nil {
		return "", err
	}
	accepted := time.Now()
	d.note("the late job is accepted; the traffic ends")
	waited := time.Duration(0)
	for time.Since(accepted) < watched && len(d.running(lateID)) == 0 && !d.hasStarted(lateID) {
		waited = time.Since(accepted)
		time.Sleep(20 * time.Millisecond)
	}
	d.note("the late job waited %.1f s; it is shown as %q", waited.Seconds(), d.state(d.processes[2], "forecasts.example", "/forecasts/", lateID))
	if waited >= finish+judged {
		return fmt.Sprintf("%v after the end of the traffic the late job had nothing running for %v, beside 4 workers with 7 of 8 accelerators free", finish, judged), nil
	}
	return "", nil
}

// rackOf returns the rack, counted from 0, in which all tasks of a job run.
func (d *deployment) rackOf(id string) (int, error) {
	rack := -1
	for _, worker := range d.running(id) {
		machine := d.site.MachineOf(worker)
		if machine < 0 || (rack >= 0 && machine/perRack != rack) {
			return 0, fmt.Errorf("the tasks of job %s do not run in one rack", id)
		}
		rack = machine / perRack
	}
	return rack, nil
}

// hasStarted reports whether a task of a job was ever started.
func (d *deployment) hasStarted(id string) bool {
	for _, e := range d.site.Events() {
		if string(e.Task.Job) == id && e.End == "" {
			return true
		}
	}
	return false
}
