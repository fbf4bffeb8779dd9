package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
)

const (
	lastingID = "90000000000000a1"
	batchID   = "90000000000000a2"
	urgentID  = "90000000000000a3"
	// goneFor is longer than the case: the worker is lost for good.
	goneFor = time.Hour
	// reservedWatched is how long the lost task is watched.
	reservedWatched = 40 * time.Second
)

// fillingJob is a job of one step that takes a part of the pool.
type fillingJob struct {
	host, prefix, id string
	wire             json.RawMessage
	step             workload.Step
}

var oneAccelerator = workload.Resources{MilliCPU: 4000, MemoryMiB: 8000, Accelerators: 1}

// playReserved fills five of six racks with work, some of it urgent, and has one worker lost for good
// under a job that lasts. The last rack is idle.
func playReserved(d *deployment, trouble bool) (string, error) {
	return d.loseWorker(trouble, []fillingJob{
		{"forecasts.example", "/forecasts/", lastingID, d.names.LastingSteps, workload.Step{Count: 2, Need: oneAccelerator, EstimateMS: 3600000, Perpetual: true}},
		{"forecasts.example", "/forecasts/", batchID, d.names.BatchSteps, workload.Step{Count: 134, Need: oneAccelerator, EstimateMS: 600000}},
		{"quotes.example", "/quotes/", urgentID, d.names.UrgentSteps, workload.Step{Count: 24, Need: oneAccelerator, EstimateMS: 600000}},
	})
}

// playData does the same without urgent work, to a job that lasts and has its data in a full rack.
func playData(d *deployment, trouble bool) (string, error) {
	return d.loseWorker(trouble, []fillingJob{
		{"forecasts.example", "/forecasts/", lastingID, d.names.NearDataSteps, workload.Step{Count: 2, Need: oneAccelerator, EstimateMS: 3600000, Perpetual: true, DataRack: "r1-1"}},
		{"forecasts.example", "/forecasts/", batchID, d.names.FillingSteps, workload.Step{Count: 158, Need: oneAccelerator, EstimateMS: 600000}},
	})
}

// loseWorker starts the jobs one after the other, and has the worker of the first one's task 0 lost for
// good.
func (d *deployment) loseWorker(trouble bool, jobs []fillingJob) (string, error) {
	for _, j := range jobs {
		if err := d.submit(j.host, j.prefix, j.id, j.wire, []workload.Step{j.step}); err != nil {
			return "", err
		}
		if err := d.await("job "+j.id+" at work", 15*time.Second, func() bool { return len(d.running(j.id)) == j.step.Count }); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	worker := d.running(lastingID)[0]
	d.note("workers without work: %v", d.idleWorkers())
	if !trouble {
		time.Sleep(reservedWatched)
		if len(d.running(lastingID)) < 2 {
			return "a task of the job that lasts does not run", nil
		}
		return "", nil
	}
	d.note("worker %s is lost for good", worker)
	d.site.Succeed(d.site.MachineOf(worker), standin.Succession{Downtime: goneFor})
	lost := time.Now()
	waited := time.Duration(0)
	for time.Since(lost) < reservedWatched && d.running(lastingID)[0] == "" {
		waited = time.Since(lost)
		time.Sleep(20 * time.Millisecond)
	}
	idle := d.idleWorkers()
	d.note("task 0 of the job that lasts has not run for %.1f s; workers without work: %v", waited.Seconds(), idle)
	if waited >= calm+judged {
		return fmt.Sprintf("%v after the only disruption the task had not run for %v, beside %d idle workers that may run it", calm, judged, len(idle)), nil
	}
	return "", nil
}

// idleWorkers returns the workers of the machines on which nothing runs.
func (d *deployment) idleWorkers() []string {
	busy := map[string]bool{}
	for _, id := range []string{lastingID, batchID, urgentID} {
		for _, worker := range d.running(id) {
			busy[worker] = true
		}
	}
	var out []string
	for machine := range 24 {
		if id := d.workerOf(machine); id != "nothing" && !busy[id] {
			out = append(out, id)
		}
	}
	return out
}
