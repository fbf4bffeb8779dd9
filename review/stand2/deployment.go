package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cobalttide/cobalttide/platform/standin"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// names holds what the platform's pages name, the configuration and the settings, from platform.json.
type names struct {
	Environment     string         `json:"environment"`
	Declarations    string         `json:"declarations"`
	ConfigKey       string         `json:"config_key"`
	WaveKey         string         `json:"wave_key"`
	KeyHeader       string         `json:"key_header"`
	RemainingHeader string         `json:"remaining_header"`
	Key             string         `json:"key"`
	Host            string         `json:"host"`
	Config          map[string]any `json:"config"`
	Settings        map[string]any `json:"settings"`
}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// daemon is one process of the project.
type daemon struct {
	name     string
	listen   map[string]string
	settings map[string]any
	path     string
	command  *exec.Cmd
	exited   chan struct{}
}

// deployment is a site of stand-ins with the project's processes in front of it.
type deployment struct {
	names   names
	record  *recorder
	site    *standin.Site
	dir     string
	program string
	daemons []*daemon
	client  *http.Client
}

// The sizes of the deployment: those of the smaller site on the users' pages.
const (
	daemonCount = 8
	workerCount = 48
	perRack     = 8
	heartbeatMS = 1500
	lease       = 10 * time.Second
	visible     = 3 * time.Second
	contact     = 3 * time.Second
	finish      = 14 * time.Second
	// evacuateTime is the bound for evacuations.
	evacuateTime = 5 * time.Second
)

// writesField is the setting that cases 4 and "lowered" change: the writing calls a second that the
// platform allows. The two values are those of the users' small and large sheets.
const (
	writesField               = "writes_per_s"
	usualWrites, raisedWrites = 800, 3200
)

var zones = []string{"tyseley-hall", "wednesbury-hall", "coventry-hall"}

func newDeployment(namesFile, program, dir string, record *recorder, work workFunc, writes int) (*deployment, error) {
	d := &deployment{record: record, dir: dir, program: program, client: &http.Client{Timeout: 5 * time.Second}}
	raw, err := os.ReadFile(namesFile)
	if err != nil {
		return d, err
	}
	if err := json.Unmarshal(raw, &d.names); err != nil {
		return d, err
	}
	if writes > 0 {
		d.names.Settings["platform"] = with(d.names.Settings["platform"], writesField, writes)
	}
	d.site, err = standin.Start(standin.Shape{
		Workers: workerCount, PerRack: perRack, HeartbeatMS: heartbeatMS, RestartDelay: 3 * time.Second, Zones: len(zones),
		Capacity: workload.Resources{MilliCPU: 32_000, MemoryMiB: 131_072, Accelerators: 8},
		Limits:   workertest.Limits{MaxLease: lease, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond, Restore: 250 * time.Millisecond},
	}, work)
	if err != nil {
		return d, err
	}
	if err := d.put(d.names.ConfigKey, d.names.Config); err != nil {
		return d, err
	}
	for i := range daemonCount {
		if err := d.addDaemon(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)]); err != nil {
			return d, err
		}
	}
	d.setSeeds()
	for _, one := range d.daemons {
		if err := d.start(one); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(20 * time.Second)
}

// put writes a record as the operator.
func (d *deployment) put(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	d.site.Store.Put(d.names.Declarations, key, raw)
	d.record.printf("operator writes %s: %s", key, raw)
	return nil
}

// host is a loopback address that only this process uses.
func host() string { return fmt.Sprintf("127.%d.%d.1", 1+(os.Getpid()>>8)%250, os.Getpid()%256) }

func freeAddress(taken map[string]bool) (string, error) {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(host(), "0"))
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !taken[address] {
			taken[address] = true
			return address, nil
		}
	}
}

var takenAddresses = map[string]bool{}

func (d *deployment) addDaemon(name, zone string) error {
	store, err := d.site.AddStoreEndpoint(name)
	if err != nil {
		return err
	}
	one := &daemon{name: name, listen: map[string]string{}, path: filepath.Join(d.dir, name+".json")}
	for _, use := range []string{"front", "ready", "control"} {
		if one.listen[use], err = freeAddress(takenAddresses); err != nil {
			return err
		}
	}
	one.settings = maps.Clone(d.names.Settings)
	one.settings["node"], one.settings["ip"], one.settings["zone"], one.settings["listen"] = name, host(), zone, one.listen
	one.settings["advice"] = d.site.AdviceAddress
	one.settings["platform"] = with(d.names.Settings["platform"], "address", store)
	one.settings["cloud"] = with(d.names.Settings["cloud"], "address", d.site.CloudAddress)
	d.daemons = append(d.daemons, one)
	return nil
}

// with returns a copy of a table with one more field.
func with(table any, field string, value any) map[string]any {
	out := maps.Clone(table.(map[string]any))
	out[field] = value
	return out
}

func (d *deployment) setSeeds() {
	var seeds []string
	for _, one := range d.daemons[:3] {
		seeds = append(seeds, one.listen["control"])
	}
	for _, one := range d.daemons {
		one.settings["seeds"] = seeds
	}
}

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(one *daemon) error {
	raw, err := json.Marshal(one.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(one.path, raw, 0o600)
}

func (d *deployment) start(one *daemon) error {
	if err := d.writeSettings(one); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, one.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	one.command = exec.Command(d.program)
	one.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, d.names.Environment + "=" + one.path}
	one.command.Stdout, one.command.Stderr = log, log
	if err := one.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	one.exited = exited
	command := one.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	d.record.printf("started %s", one.name)
	return nil
}

// signal sends a signal to a process of this deployment.
func (d *deployment) signal(one *daemon, s syscall.Signal) {
	d.record.printf("signal %v to %s", s, one.name)
	_ = one.command.Process.Signal(s)
}

// killAll ends all processes.
func (d *deployment) killAll() {
	for _, one := range d.daemons {
		if one.exited == nil {
			continue
		}
		_ = one.command.Process.Kill()
		<-one.exited
	}
}

// restart stops a process with SIGTERM and starts it again with the settings in effect.
func (d *deployment) restart(one *daemon) error {
	d.signal(one, syscall.SIGTERM)
	<-one.exited
	time.Sleep(500 * time.Millisecond)
	return d.start(one)
}

// changeWrites changes the settings of all processes and tells them.
func (d *deployment) changeWrites(writes int) error {
	for _, one := range d.daemons {
		one.settings["platform"] = with(one.settings["platform"], writesField, writes)
		if err := d.writeSettings(one); err != nil {
			return err
		}
		d.signal(one, syscall.SIGHUP)
	}
	d.record.printf("settings of all processes: %s = %d", writesField, writes)
	return nil
}

// stop ends all processes and the stand-ins.
func (d *deployment) stop() {
	d.killAll()
	if d.site != nil {
		d.site.Stop()
	}
}

func (d *deployment) isReady(one *daemon) bool {
	response, err := d.client.Get("http://" + one.listen["ready"] + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, one := range d.daemons {
		for !d.isReady(one) {
			if time.Now().After(deadline) {
				return errors.New(one.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.printf("all processes are ready")
	return nil
}

// call sends a client's request, and returns the status (0 for no answer) and the body.
func (d *deployment) call(one *daemon, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+one.listen["front"]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = d.names.Host
	request.Header.Set(d.names.KeyHeader, d.names.Key)
	request.Header.Set(d.names.RemainingHeader, "3000")
	request.Header.Set("Content-Type", "application/json")
	status, text := 0, ""
	if response, err := d.client.Do(request); err != nil {
		text = err.Error()
	} else {
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, strings.TrimSpace(string(raw))
	}
	d.record.printf("%s %s at %s -> %d %s", method, path, one.name, status, text)
	return status, text
}

// jobFile is a job that a client sends: the queue's path, and the body.
type jobFile struct {
	Path string          `json:"path"`
	Body json.RawMessage `json:"body"`
	// Wave is the request for a maintenance wave, without its machines.
	Wave map[string]any `json:"wave"`
}

// stepShape is what the stand-in of a worker needs of a step.
type stepShape struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu"`
	GPU        int64 `json:"gpu"`
	EstimateMS int64 `json:"estimate_ms"`
	Checkpoint bool  `json:"checkpoint"`
	Gang       bool  `json:"gang"`
	Perpetual  bool  `json:"perpetual"`
	Fills      bool  `json:"fills"`
}

// submit hands a job in, and tells the stand-ins of the workers its steps. It returns the status.
func (d *deployment) submit(one *daemon, id workload.JobID, job jobFile) (int, error) {
	shape := struct {
		Steps []stepShape `json:"steps"`
	}{}
	if err := json.Unmarshal(job.Body, &shape); err != nil {
		return 0, err
	}
	var steps []workload.Step
	for _, s := range shape.Steps {
		steps = append(steps, workload.Step{Count: s.Count, Need: workload.Resources{MilliCPU: s.CPU, Accelerators: s.GPU}, EstimateMS: s.EstimateMS, Checkpoint: s.Checkpoint, Gang: s.Gang, Perpetual: s.Perpetual, BestEffortCPU: s.Fills})
	}
	d.site.SetJobSteps(id, steps)
	status, _ := d.call(one, http.MethodPost, job.Path+string(id), job.Body)
	return status, nil
}

// state returns the state that a process shows of a job, or the status if there is none.
func (d *deployment) state(one *daemon, id workload.JobID, job jobFile) (int, string) {
	status, text := d.call(one, http.MethodGet, job.Path+string(id), nil)
	answer := struct {
		State string `json:"state"`
	}{}
	_ = json.Unmarshal([]byte(text), &answer)
	return status, answer.State
}

// runs returns the events of one job's runs so far.
func (d *deployment) runs(id workload.JobID) []workertest.Event {
	var out []workertest.Event
	for _, e := range d.site.Events() {
		if e.Task.Job == id {
			out = append(out, e)
		}
	}
	return out
}

// recordRuns writes the starts and ends of runs into the record.
func (d *deployment) recordRuns() {
	for _, e := range d.site.Events() {
		what := "starts"
		if e.End != "" {
			what = "ends " + string(e.End)
		}
		fmt.Fprintf(d.record.out, "%8.3f run %s:%d on %s (machine %d) %s\n", e.At.Sub(d.record.start).Seconds(), e.Task, e.Run, e.Worker, d.site.MachineOf(e.Worker), what)
	}
}

// running returns the tasks of a job that run, with their workers.
func (d *deployment) running(id workload.JobID) map[workload.TaskID]string {
	out := map[workload.TaskID]string{}
	for _, e := range d.runs(id) {
		if e.End == "" {
			out[e.Task] = e.Worker
		} else if out[e.Task] == e.Worker {
			delete(out, e.Task)
		}
	}
	return out
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
