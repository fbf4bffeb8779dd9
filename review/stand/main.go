// Command stand plays the cases of review/ that are scripts: it stands in for the platform, its
// minions and a client, and starts the entry instances as separate processes on loopback. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit ends a case that hangs.
const limit = 110 * time.Second

// Instances end with the thread that started them, which has to be one that doesn't end before.
func init() { runtime.LockOSThread() }

// errNotPlayed means that a case didn't come to its point.
var errNotPlayed = errors.New("the case did not come to its point")

// cases are the cases by name. Each returns what broke the rule, or "".
var cases = map[string]struct {
	machines int
	play     func(s *system, trouble bool) (broken string, err error)
}{
	"old-life":      {24, playOldLife},
	"stale-minions": {64, playStaleMinions},
	"upkeep":        {8, playUpkeep},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory to which the instances' logs are copied; empty is none")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	record := &recorder{out: file, begun: time.Now()}
	code, what := play(*name, *logs, record)
	record.write("exit %d: %s", code, what)
	fmt.Printf("%s: exit %d: %s\n", *name, code, what)
	return code
}

func play(name, logs string, record *recorder) (code int, what string) {
	c, known := cases[name]
	if !known {
		return exitFailed, "unknown case"
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitFailed, err.Error()
	}
	defer os.RemoveAll(directory)
	time.AfterFunc(limit, func() {
		record.write("exit 2: the case hangs")
		os.Exit(exitFailed)
	})
	s, err := newSystem(record, directory, c.machines)
	if err != nil {
		return exitFailed, err.Error()
	}
	defer s.keepLogs(logs)
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.write("ready; trouble: %t", trouble)
	time.Sleep(2 * time.Second)
	broken, err := c.play(s, trouble)
	switch {
	case err != nil:
		return exitFailed, err.Error()
	case broken != "":
		return exitBroken, broken
	}
	return exitHeld, "the rule held"
}

func (s *system) keepLogs(directory string) {
	if directory == "" || os.MkdirAll(directory, 0o700) != nil {
		return
	}
	for _, i := range s.instances {
		if raw, err := os.ReadFile(filepath.Join(s.directory, i.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(directory, i.name+".log"), raw, 0o600)
		}
	}
}

// submit hands a job of one step in at the first instance that accepts it.
func (s *system) submit(id string, step workload.Step, takes time.Duration) error {
	body, err := json.Marshal(map[string]any{"spec": "review " + id, "steps": []map[string]any{{
		"count": step.Count, "cpu": step.Need.MilliCPU, wire("memory"): step.Need.MemoryMiB, "gpu": step.Need.Accelerators, "estimate_ms": step.EstimateMS,
		"data_rack": step.DataRack, "perpetual": step.Perpetual, wire("may miss"): step.MaxUnavailable,
	}}})
	if err != nil {
		return err
	}
	s.pool.mu.Lock()
	s.pool.steps[workload.JobID(id)], s.pool.takes[workload.JobID(id)] = []workload.Step{step}, takes
	s.pool.mu.Unlock()
	for _, i := range s.instances {
		if status, _ := s.call(i, "POST", id, body); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// runsOn returns the number of a job's runs on a machine.
func (s *system) runsOn(m *machine) int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return m.life.worker.Running()
}

// playOldLife: a minion crashes behind a cut from the store and starts again. When the cut is over,
// a heartbeat that the old life had sent reaches the store. The new life, which has work by then, is
// cut off from the store alone, and its entry expires.
func playOldLife(s *system, trouble bool) (string, error) {
	const job = "5c0e7a21d94b36f8"
	m := s.pool.machines[3]
	old := m.life
	if trouble {
		s.setCut(m, true)
		time.Sleep(500 * time.Millisecond)
		s.pool.crash(m)
		time.Sleep(500 * time.Millisecond)
		if err := s.pool.restart(m); err != nil {
			return "", err
		}
		time.Sleep(4 * time.Second)
		s.setCut(m, false)
	}
	time.Sleep(time.Second)
	// The rack of the data has room for just these tasks.
	work := workload.Step{Count: 4 * perRack, Need: workload.Resources{MilliCPU: 4000, MemoryMiB: 4000, Accelerators: 2}, EstimateMS: 14_000, DataRack: s.pool.rack(m)}
	if err := s.submit(job, work, 14*time.Second); err != nil {
		return "", err
	}
	for end := time.Now().Add(10 * time.Second); s.runsOn(m) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return "", errNotPlayed
		}
	}
	if trouble {
		s.pool.mu.Lock()
		s.record.write("store: a heartbeat of minion %s, held up by the cut, arrives", old.id)
		s.pool.putLife(m, old)
		s.pool.mu.Unlock()
		s.setCut(m, true)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		s.setCut(m, false)
	}
	time.Sleep(14 * time.Second)
	s.state(s.instances[0], job)
	return s.overlap(), nil
}

// setCut cuts a minion off from the store, and from nothing else.
func (s *system) setCut(m *machine, cut bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	m.cutOff = cut
	s.record.write("minion %s on machine %d is cut off from the store: %t", m.life.id, m.index, cut)
}

// overlap returns the first two runs of one task that were there at the same time (TWICE).
func (s *system) overlap() string {
	running := map[workload.TaskID]string{}
	for _, e := range s.pool.snapshot() {
		run := fmt.Sprintf("run %d on %s", e.Run, e.Worker)
		switch {
		case e.End != "" && running[e.Task] == run:
			delete(running, e.Task)
		case e.End == "" && running[e.Task] != "":
			return fmt.Sprintf("TWICE: %s: %s begins while %s is there", e.Task, run, running[e.Task])
		case e.End == "":
			running[e.Task] = run
		}
	}
	return ""
}

// playStaleMinions: the minions of an idle rack crash and are back under new ids within half a second,
// and listed at once. A job whose data is in that rack comes before the old entries have expired.
func playStaleMinions(s *system, trouble bool) (string, error) {
	const job = "5c0e7a21d94b36f9"
	rack := s.pool.machines[:perRack]
	// A planner that has only just begun is more careful.
	time.Sleep(10 * time.Second)
	if trouble {
		for _, m := range rack {
			s.pool.crash(m)
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range rack {
			if err := s.pool.restart(m); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	work := workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 13000, MemoryMiB: 16000, Accelerators: 8}, EstimateMS: 3000, DataRack: s.pool.rack(rack[0])}
	if err := s.submit(job, work, 3*time.Second); err != nil {
		return "", err
	}
	state := ""
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		if state = s.state(s.instances[1], job); state == "completed" || state == "failed" {
			break
		}
	}
	failed := 0
	for _, e := range s.pool.snapshot() {
		if e.End == control.EndFailed {
			failed++
		}
	}
	if state == "failed" && failed < 4 {
		return fmt.Sprintf("LOST: job %s is shown as failed; %d of its runs have begun and %d have ended failed, max_attempts is 4", job, len(s.pool.snapshot()), failed), nil
	}
	if state != "completed" {
		return "", fmt.Errorf("job %s is %q after 20 s", job, state)
	}
	return "", nil
}

// playUpkeep: an empty machine is to have its upkeep, and the first call for it gets no answer. A job
// that lasts comes before the next call. Only that machine has room for it.
func playUpkeep(s *system, trouble bool) (string, error) {
	const others, job = "5c0e7a21d94b36fa", "5c0e7a21d94b36fb"
	full := workload.Step{Count: len(s.pool.machines) - 1, Need: workload.Resources{MilliCPU: 13000, MemoryMiB: 16000, Accelerators: 8}, EstimateMS: 60_000}
	if err := s.submit(others, full, time.Minute); err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	var empty *machine
	for _, m := range s.pool.machines {
		if s.runsOn(m) == 0 {
			empty = m
		}
	}
	if empty == nil {
		return "", errNotPlayed
	}
	if trouble {
		s.cloud.mu.Lock()
		s.cloud.unanswered = 1
		s.cloud.mu.Unlock()
	}
	wave, err := json.Marshal(map[string]any{"wave": 1, "machines": []string{machineName(empty.index)}, wire("within"): 30, "maximum": 1})
	if err != nil {
		return "", err
	}
	s.record.write("operator: op/wave/1 %s", wave)
	s.store.Put(wire("config topic"), "wave/1", wave)
	time.Sleep(1500 * time.Millisecond)
	lasting := workload.Step{Count: 4, Need: workload.Resources{MilliCPU: 4000, MemoryMiB: 4000, Accelerators: 2}, EstimateMS: 1000, Perpetual: true, MaxUnavailable: 1}
	if err := s.submit(job, lasting, time.Hour); err != nil {
		return "", err
	}
	time.Sleep(15 * time.Second)
	return s.endedByUpkeep(job, lasting.MaxUnavailable), nil
}

// endedByUpkeep returns how many tasks of a job an upkeep has ended at once, if that are more than
// may be away by the system's orders (AVAIL).
func (s *system) endedByUpkeep(job string, mayMiss int) string {
	ended := 0
	begun := map[workload.TaskID]time.Time{}
	for _, e := range s.pool.snapshot() {
		if e.End == "" {
			// A task that lasts is at work from its start here.
			begun[e.Task] = e.At
			continue
		}
		s.pool.mu.Lock()
		at, upkeep := s.pool.upkeeps[e.Worker]
		s.pool.mu.Unlock()
		if string(e.Task.Job) == job && e.End == control.EndLapsed && upkeep && e.At.Sub(at).Abs() < 100*time.Millisecond && begun[e.Task].Before(at) {
			ended++
		}
	}
	if ended <= mayMiss {
		return ""
	}
	return fmt.Sprintf("AVAIL: an upkeep ended %d tasks of job %s that were at work, %s is %d", ended, job, wire("may miss"), mayMiss)
}
