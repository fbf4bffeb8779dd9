package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

const (
	rackLongID = "e0000000000000e1"
	shortID    = "e0000000000000e2"
)

// playMaintenance has the operator ask for the maintenance of the four machines of a rack, with a
// quarter of an hour to do it in, while a task of five minutes runs on each. A short job comes that
// may run only there, beside them.
func playMaintenance(d *deployment, trouble bool) (string, error) {
	need := workload.Resources{MilliCPU: 4000, MemoryMiB: 8000, Accelerators: 1}
	long := workload.Step{Count: 4, Need: need, EstimateMS: 300000, Label: "r1-2", PerWorker: 1}
	if err := d.submit("forecasts.example", "/forecasts/", rackLongID, d.names.RackLongSteps, []workload.Step{long}); err != nil {
		return "", err
	}
	if err := d.await("the long job at work", 10*time.Second, func() bool { return len(d.running(rackLongID)) == long.Count }); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.names.Wave["machines"] = d.site.Cloud.Names()[rackFirst : rackLast+1]
		value, err := json.Marshal(d.names.Wave)
		if err != nil {
			return "", err
		}
		d.note("operator: maintenance wave %s", value)
		d.site.Store.Put(d.names.OperatorTopic, d.names.WaveKey, value)
	}
	time.Sleep(3 * time.Second)
	body := bytes.ReplaceAll(d.names.LateSteps, []byte("@rack@"), []byte("r1-2"))
	short := workload.Step{Count: 2, Need: need, EstimateMS: 5000, Label: "r1-2"}
	if err := d.submit("forecasts.example", "/forecasts/", shortID, body, []workload.Step{short}); err != nil {
		return "", err
	}
	accepted := time.Now()
	d.note("the short job is accepted; the traffic ends")
	waited := time.Duration(0)
	for time.Since(accepted) < watched && !d.hasStarted(shortID) {
		waited = time.Since(accepted)
		time.Sleep(20 * time.Millisecond)
	}
	d.note("the short job waited %.1f s; it is shown as %q; %d upkeeps have begun, %d tasks of the long job run", waited.Seconds(), d.state(d.processes[2], "forecasts.example", "/forecasts/", shortID), d.site.Cloud.CountUpkeepDone(1), len(d.running(rackLongID)))
	if waited >= finish+judged {
		return fmt.Sprintf("%v after the end of the traffic the short job had nothing running for %v, beside 4 workers with 7 of 8 accelerators free", finish, judged), nil
	}
	return "", nil
}
