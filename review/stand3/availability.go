package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

const (
	servingID = "a0000000000000a1"
	// cutLength is how long two workers are cut off, waveAfter when the wave is declared in it.
	cutLength = 4500 * time.Millisecond
	waveAfter = 2500 * time.Millisecond
)

// playAvailability cuts off two of the four workers that run the tasks of a step that may miss one, and
// has the operator ask for the maintenance of their machines meanwhile.
func playAvailability(d *deployment, trouble bool) (string, error) {
	step := workload.Step{Count: 4, Need: workload.Resources{MilliCPU: 8000, MemoryMiB: 8000, Accelerators: 4}, EstimateMS: 1000, Label: "r1-1", Perpetual: true, PerWorker: 1, MaxUnavailable: 1}
	if err := d.submit("quotes.example", "/quotes/", servingID, d.names.ServingSteps, []workload.Step{step}); err != nil {
		return "", err
	}
	if err := d.await("all tasks at work", 10*time.Second, func() bool { return len(d.running(servingID)) == step.Count }); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	at := d.running(servingID)
	machines := []string{}
	for index := range 2 {
		machine := d.site.MachineOf(at[index])
		machines = append(machines, d.site.Cloud.Names()[machine])
		if trouble {
			d.note("cut off worker %s of machine %s for %v", at[index], machines[index], cutLength)
			d.site.CutOff(machine, cutLength)
		}
	}
	time.Sleep(waveAfter)
	d.names.Wave["machines"] = machines
	value, err := json.Marshal(d.names.Wave)
	if err != nil {
		return "", err
	}
	d.note("operator: maintenance wave %s", value)
	d.site.Store.Put(d.names.OperatorTopic, d.names.WaveKey, value)
	_ = d.await("the wave", 25*time.Second, func() bool { return d.site.Cloud.CountUpkeepDone(1) == 2 })
	time.Sleep(2 * time.Second)
	d.note("machines whose upkeep has begun: %d", d.site.Cloud.CountUpkeepDone(1))
	return d.missing(servingID, step), nil
}

// missing returns which stop ended a task at work while as many others as may be missed were away,
// ended by a stop or an upkeep, or "".
func (d *deployment) missing(id string, step workload.Step) string {
	away := map[int]bool{}
	for _, e := range d.site.Events() {
		index := e.Task.Index
		switch {
		case string(e.Task.Job) != id:
		case e.End == "":
			delete(away, index)
		case e.End == control.EndStopped:
			if len(away) >= step.MaxUnavailable && !away[index] {
				others := []int{}
				for other := range away {
					others = append(others, other)
				}
				slices.Sort(others)
				return fmt.Sprintf("task %d was stopped on %s at %.3f s while %v were away by such orders; %d may be missed", index, e.Worker, e.At.Sub(d.began).Seconds(), others, step.MaxUnavailable)
			}
			away[index] = true
		}
	}
	return ""
}
