package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// errSetup means that the situation of a case did not come about.
var errSetup = errors.New("the situation of the case did not come about")

// accept hands a job in and expects a 2xx answer.
func (d *deployment) accept(one *daemon, id workload.JobID, job jobFile) error {
	status, err := d.submit(one, id, job)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("job %s was not accepted: %d", id, status)
	}
	return err
}

// acceptServing hands in a job whose tasks last, and waits until all of them run.
func (d *deployment) acceptServing(id workload.JobID, job jobFile, tasks int) error {
	if err := d.accept(d.daemons[0], id, job); err != nil {
		return err
	}
	if !await(10*time.Second, func() bool { return len(d.running(id)) == tasks }) {
		return errSetup
	}
	return nil
}

// neverStarted returns a finding for each job that is not completed and of which no task was ever
// started.
func (d *deployment) neverStarted(ids []workload.JobID, one *daemon, job jobFile, waited time.Duration) []string {
	var findings []string
	for _, id := range ids {
		_, state := d.state(one, id, job)
		if state != "completed" && len(d.runs(id)) == 0 {
			findings = append(findings, fmt.Sprintf("LOST: job %s is %q at %s, and no task of it was started within %v", id, state, one.name, waited))
		}
	}
	return findings
}

// playEvacuated: an operator evacuates one of three zones. Jobs come on a queue whose policy allows
// only some workers, in all zones.
func playEvacuated(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	const zone = "z0"
	if trouble {
		d.record.printf("operator evacuates %s", zone)
		d.site.Evacuate(zone)
		time.Sleep(evacuateTime + time.Second)
	}
	var ids []workload.JobID
	for n := range 6 {
		id := workload.JobID(fmt.Sprintf("00000000000e%04x", n+1))
		d.site.Advice.Govern(id)
		if err := d.accept(d.daemons[n], id, jobs["advised"]); err != nil {
			return nil, err
		}
		ids = append(ids, id)
		time.Sleep(200 * time.Millisecond)
	}
	const wait = finish + 6*time.Second
	time.Sleep(wait)
	return d.neverStarted(ids, d.daemons[1], jobs["advised"], wait), nil
}

// playTopics: the platform changes the number of writing calls that it allows, and one process
// starts again with the settings in effect.
func playTopics(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	job := jobs["batch"]
	last, other := d.daemons[len(d.daemons)-1], d.daemons[1]
	if trouble {
		if err := d.changeWrites(raisedWrites); err != nil {
			return nil, err
		}
		time.Sleep(contact)
	}
	if err := d.restart(last); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * contact)
	var ids []workload.JobID
	for n := range 24 {
		id := workload.JobID(fmt.Sprintf("%08x%08x", 0xb0000000+n*2654435, n))
		if err := d.accept(last, id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	time.Sleep(visible + time.Second)
	var findings []string
	for _, id := range ids {
		if status, _ := d.state(other, id, job); status == http.StatusGone {
			findings = append(findings, fmt.Sprintf("LOST: job %s, accepted by %s, is answered 410 by %s", id, last.name, other.name))
		}
	}
	time.Sleep(finish)
	return append(findings, d.neverStarted(ids, last, job, finish)...), nil
}

// playLowered is the other way round: the number is lowered while jobs run, and all processes are
// stopped and started in turn.
func playLowered(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	long := jobs["long"]
	ids := func(from int) []workload.JobID {
		var out []workload.JobID
		for n := from; n < from+12; n++ {
			out = append(out, workload.JobID(fmt.Sprintf("%08x%08x", 0xb0000000+n*2654435, n)))
		}
		return out
	}
	running, later := ids(0), ids(100)
	for n, id := range running {
		if err := d.accept(d.daemons[n%daemonCount], id, long); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := d.changeWrites(usualWrites); err != nil {
			return nil, err
		}
	}
	for _, one := range d.daemons {
		if err := d.restart(one); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * contact)
	for n, id := range later {
		if err := d.accept(d.daemons[n%daemonCount], id, jobs["batch"]); err != nil {
			return nil, err
		}
	}
	time.Sleep(finish)
	var findings []string
	for _, id := range running {
		if _, state := d.state(d.daemons[1], id, long); state != "completed" && len(d.running(id)) == 0 {
			findings = append(findings, fmt.Sprintf("LOST: job %s is %q, and its task is not running any more", id, state))
		}
	}
	return append(findings, d.neverStarted(later, d.daemons[1], jobs["batch"], finish)...), nil
}

// playAvoided: seven of the eight workers with a label are taken by tasks that last. A job that
// requires the label starts on the eighth, which fails what it starts for some seconds.
func playAvoided(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	const serving, batch workload.JobID = "00000000000a0001", "00000000000a0002"
	if err := d.acceptServing(serving, jobs["serving"], perRack-1); err != nil {
		return nil, err
	}
	taken := map[int]bool{}
	for _, worker := range d.running(serving) {
		taken[d.site.MachineOf(worker)] = true
	}
	free := -1
	for machine := range perRack {
		if !taken[machine] {
			free = machine
		}
	}
	if len(taken) != perRack-1 || free < 0 {
		return nil, errSetup
	}
	const faultyFor = 3 * time.Second
	if trouble {
		d.record.printf("machine %d fails all that it starts, for %v", free, faultyFor)
		d.site.MakeFaulty(free, faultyFor)
	}
	if err := d.accept(d.daemons[0], batch, jobs["batch"]); err != nil {
		return nil, err
	}
	time.Sleep(faultyFor)
	return d.judgeWaiting(batch, jobs["batch"])
}

// judgeWaiting judges a job that can be done, from finish_s after now on: it must not have had
// nothing running for longer than 10 s.
func (d *deployment) judgeWaiting(id workload.JobID, job jobFile) ([]string, error) {
	time.Sleep(finish)
	var idleSince time.Time
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		status, state := d.state(d.daemons[1], id, job)
		switch {
		case state == "completed":
			return nil, nil
		case status != http.StatusOK || state == "failed" || state == "cancelled":
			return []string{fmt.Sprintf("LOST: job %s is shown as %q (%d)", id, state, status)}, nil
		case len(d.running(id)) > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) > 10*time.Second:
			return []string{fmt.Sprintf("LOST: job %s is %q and has had nothing running for over 10 s, although a worker that it may use is idle", id, state)}, nil
		}
	}
	return nil, errors.New("the job neither ended nor waited")
}

// playUnstable: six of the eight workers of a rack crash once, and are back after some seconds.
// Tasks that last require that rack.
func playUnstable(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	const serving workload.JobID = "00000000000b0001"
	const tasks, crashed = 4, 6
	if err := d.acceptServing(serving, jobs["serving"], tasks); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const downtime = 3 * time.Second
	if trouble {
		for machine := range crashed {
			d.record.printf("the worker of machine %d crashes, and another is there after %v", machine, downtime)
			d.site.Succeed(machine, standin.Succession{Downtime: downtime})
		}
	}
	time.Sleep(downtime + contact + 4*time.Second)
	idleSince, longest := time.Now(), time.Duration(0)
	for deadline := time.Now().Add(50 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if len(d.running(serving)) == tasks {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	if longest > 6*time.Second {
		return []string{fmt.Sprintf("LOST: tasks that last have not been running for %v, counted from 7 s after their workers were back", longest.Round(time.Second))}, nil
	}
	return nil, nil
}

// crashCount counts the starts of the job whose workers crash.
var crashCount atomic.Int64

const (
	crashedJob workload.JobID = "00000000000c0001"
	// maxCrashes is how many workers crash, of 48.
	maxCrashes = 5
)

// crashingWork lets the worker crash some time after a task of the job has started there, a few
// times in all.
func crashingWork(trouble bool) workFunc {
	return func(id workload.TaskID, _ int64, _ string) workertest.Work {
		w := workertest.Work{Takes: time.Hour}
		if trouble && id.Job == crashedJob && crashCount.Add(1) <= maxCrashes {
			w.Crashes, w.CrashAfter = true, 700*time.Millisecond
		}
		return w
	}
}

// playCrashes: workers crash one after the other, each while it runs the task of a job that lasts.
func playCrashes(d *deployment, jobs map[string]jobFile, _ bool) ([]string, error) {
	job := jobs["serving"]
	if err := d.accept(d.daemons[0], crashedJob, job); err != nil {
		return nil, err
	}
	state := ""
	await(40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, state = d.state(d.daemons[1], crashedJob, job)
		return state == "failed" || state == "cancelled"
	})
	failed := 0
	for _, e := range d.runs(crashedJob) {
		if e.End == control.EndFailed {
			failed++
		}
	}
	switch {
	case state == "failed":
		return []string{fmt.Sprintf("LOST: job %s, whose task lasts, is shown as failed; %d of its runs have ended so", crashedJob, failed)}, nil
	case state != "active" || len(d.running(crashedJob)) != 1:
		return nil, fmt.Errorf("the job is %q", state)
	}
	return nil, nil
}

// playSpread: gangs that spread come on a queue with a policy, or, without trouble, on one without.
func playSpread(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	job := jobs["batch"]
	if trouble {
		job = jobs["advised"]
	}
	var ids []workload.JobID
	for n := range 4 {
		id := workload.JobID(fmt.Sprintf("00000000000f%04x", n+1))
		if trouble {
			d.site.Advice.Govern(id)
		}
		if err := d.accept(d.daemons[n], id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	const wait = finish + 6*time.Second
	time.Sleep(wait)
	return d.neverStarted(ids, d.daemons[1], job, wait), nil
}

// playWave: workers of a maintenance wave are cut off for some seconds and run on.
func playWave(d *deployment, jobs map[string]jobFile, trouble bool) ([]string, error) {
	const serving workload.JobID = "00000000000d0001"
	const tasks, mayMiss = 4, 1
	if err := d.acceptServing(serving, jobs["serving"], tasks); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	all := d.site.Cloud.Names()
	var machines []string
	for _, worker := range d.running(serving) {
		machine := d.site.MachineOf(worker)
		machines = append(machines, all[machine])
		if trouble {
			d.record.printf("the worker of machine %d is cut off for 5 s and runs on", machine)
			d.site.CutOff(machine, 5*time.Second)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	wave := with(jobs["wave"].Wave, "machines", machines)
	if err := d.put(d.names.WaveKey, wave); err != nil {
		return nil, err
	}
	time.Sleep(40 * time.Second)
	return judgeAvailability(d.runs(serving), mayMiss), nil
}

// judgeAvailability judges the stops of a step's tasks: none may end a task at work while as many
// others are away by such orders as may be.
func judgeAvailability(events []workertest.Event, mayMiss int) []string {
	var findings []string
	working, stopped := map[workload.TaskID]bool{}, map[workload.TaskID]bool{}
	for _, e := range events {
		switch e.End {
		case "":
			working[e.Task], stopped[e.Task] = true, false
		case control.EndStopped:
			away := 0
			for task, isAway := range stopped {
				if isAway && task != e.Task {
					away++
				}
			}
			if working[e.Task] && away >= mayMiss {
				findings = append(findings, fmt.Sprintf("AVAIL: task %s is stopped on %s while %d others of its step are away by such orders; %d may be", e.Task, e.Worker, away, mayMiss))
			}
			working[e.Task], stopped[e.Task] = false, true
		default:
			working[e.Task] = false
		}
	}
	return findings
}
