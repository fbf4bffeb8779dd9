package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// names holds what is spoken with the platform.
type names struct {
	Settings         json.RawMessage `json:"settings"`
	Configuration    json.RawMessage `json:"configuration"`
	OperatorTopic    string          `json:"operator_topic"`
	ConfigurationKey string          `json:"configuration_key"`
	KeyHeader        string          `json:"key_header"`
	Key              string          `json:"key"`
	RemainingHeader  string          `json:"remaining_header"`
	WaveKey          string          `json:"wave_key"`
	LongSteps        json.RawMessage `json:"long_steps"`
	LateSteps        json.RawMessage `json:"late_steps"`
	GoodSteps        json.RawMessage `json:"good_steps"`
	HopelessSteps    json.RawMessage `json:"hopeless_steps"`
	ChainSteps       json.RawMessage `json:"chain_steps"`
	RackLongSteps    json.RawMessage `json:"rack_long_steps"`
	LastingSteps     json.RawMessage `json:"lasting_steps"`
	NearDataSteps    json.RawMessage `json:"near_data_steps"`
	FillingSteps     json.RawMessage `json:"filling_steps"`
	BatchSteps       json.RawMessage `json:"batch_steps"`
	UrgentSteps      json.RawMessage `json:"urgent_steps"`
	Wave             map[string]any  `json:"wave"`
}

// process is one running instance.
type process struct {
	name, settings, front, ready string
	command                      *exec.Cmd
	exited                       chan struct{}
}

// deployment is the platform's stand-in with the project's program in separate processes.
type deployment struct {
	names     names
	site      *standin.Site
	dir       string
	program   string
	variable  string
	processes []*process
	client    *http.Client
	began     time.Time
	// assigned holds the addresses that instances were given.
	assigned map[string]bool

	mu     sync.Mutex
	record *os.File
}

const (
	readyTimeout = 15 * time.Second
	callTimeout  = 3 * time.Second
)

// What the rules say of work that waits: it is asked for finish after the end of the traffic, and must not
// have waited for judged beside free capacity. A task that lasts is judged at any time after calm, which
// is longer than what a task may take to run again.
const (
	finish = 14 * time.Second
	judged = 3 * time.Second
	calm   = 7 * time.Second
)

// The machines of the second rack, and of each rack their number.
const (
	rackFirst, rackLast = 4, 7
	perRack             = 4
)

var zones = []string{"tyseley-hall", "wednesbury-hall", "coventry-hall"}

func newDeployment(out, namesPath, program, variable string, instances, workers int) (*deployment, error) {
	raw, err := os.ReadFile(namesPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, variable: variable, client: &http.Client{Timeout: callTimeout}, began: time.Now(), assigned: map[string]bool{}}
	if err := json.Unmarshal(raw, &d.names); err != nil {
		return nil, err
	}
	if d.record, err = os.Create(out); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	limits := workertest.Limits{MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond, Restore: 250 * time.Millisecond}
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 131072, Accelerators: 8}
	shape := standin.Shape{Workers: workers, PerRack: perRack, Capacity: capacity, Limits: limits, HeartbeatMS: 1500, RestartDelay: time.Second}
	if d.site, err = standin.Start(shape, nil); err != nil {
		return nil, err
	}
	d.site.Cloud.Upkeep = 2 * time.Second
	d.site.Store.Put(d.names.OperatorTopic, d.names.ConfigurationKey, d.names.Configuration)
	for i := range instances {
		if err := d.addProcess(i); err != nil {
			d.stop()
			return nil, err
		}
	}
	if err := d.awaitReady(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// note writes a line to the record.
func (d *deployment) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, values...))
}

// host returns a loopback address that depends on the process, so that cases played at the same time
// don't take each other's ports.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+(pid>>8)%250, pid%256)
}

// freeAddress returns an address that was not returned before. The operating system may offer a port
// again after it was closed.
func (d *deployment) freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(host(), "0"))
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !d.assigned[address] {
			d.assigned[address] = true
			return address, nil
		}
	}
}

func (d *deployment) addProcess(index int) error {
	p := &process{name: fmt.Sprintf("edge-%d", index+1)}
	store, err := d.site.AddStoreEndpoint(p.name)
	if err != nil {
		return err
	}
	values := map[string]string{"node": p.name, "ip": host(), "zone": zones[index%len(zones)], "store": store, "advice": d.site.AdviceAddress, "cloud": d.site.CloudAddress}
	for _, use := range []string{"front", "ready", "control"} {
		if values[use], err = d.freeAddress(); err != nil {
			return err
		}
	}
	p.front, p.ready = values["front"], values["ready"]
	text := string(d.names.Settings)
	for name, value := range values {
		text = strings.ReplaceAll(text, "@"+name+"@", value)
	}
	p.settings = filepath.Join(d.dir, p.name+".json")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return d.start(p)
}

func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(d.program)
	command.Env = append(os.Environ(), d.variable+"="+p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

func (d *deployment) isReady(p *process) bool {
	response, err := d.client.Get("http://" + p.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, p := range d.processes {
		for !d.isReady(p) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", p.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and the stand-in.
func (d *deployment) stop() {
	for _, p := range d.processes {
		if p.exited == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	d.site.Stop()
	_ = d.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("logs:", d.dir)
}

// call makes a client's call and records it. A status of 0 means that there was no answer.
func (d *deployment) call(p *process, method, host, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set(d.names.KeyHeader, d.names.Key)
	request.Header.Set(d.names.RemainingHeader, "3000")
	response, err := d.client.Do(request)
	if err != nil {
		d.note("client: %s %s at %s: no answer", method, path, p.name)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	answer := strings.TrimSpace(string(text))
	d.note("client: %s %s at %s: %d %s", method, path, p.name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (d *deployment) submit(host, prefix, id string, wire json.RawMessage, steps []workload.Step) error {
	d.site.SetJobSteps(workload.JobID(id), steps)
	body, err := json.Marshal(map[string]any{"spec": "review", "steps": wire})
	if err != nil {
		return err
	}
	d.note("client: job %s: %s", id, body)
	for try := range 10 {
		if status, _ := d.call(d.processes[try%len(d.processes)], http.MethodPost, host, prefix+id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state that a client is shown, or "" if there is none.
func (d *deployment) state(p *process, host, prefix, id string) string {
	status, answer := d.call(p, http.MethodGet, host, prefix+id, nil)
	shown := struct {
		State string `json:"state"`
	}{}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &shown) != nil {
		return ""
	}
	return shown.State
}

// recordEvents writes what has run on the workers.
func (d *deployment) recordEvents() {
	for _, e := range d.site.Events() {
		what := "start"
		if e.End != "" {
			what = "end " + string(e.End)
		}
		d.mu.Lock()
		fmt.Fprintf(d.record, "%8.3f worker %s: %s of %s run %d\n", e.At.Sub(d.began).Seconds(), e.Worker, what, e.Task, e.Run)
		d.mu.Unlock()
	}
}

// running returns the worker on which each task of a job runs.
func (d *deployment) running(id string) map[int]string {
	out := map[int]string{}
	for _, e := range d.site.Events() {
		switch {
		case string(e.Task.Job) != id:
		case e.End == "":
			out[e.Task.Index] = e.Worker
		case out[e.Task.Index] == e.Worker:
			delete(out, e.Task.Index)
		}
	}
	return out
}

func (d *deployment) await(what string, timeout time.Duration, done func() bool) error {
	until := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(until) {
			return fmt.Errorf("not within %v: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// maxWorkers is more than the incarnations of workers in any case.
const maxWorkers = 100

// workerOf returns the worker on a machine.
func (d *deployment) workerOf(machine int) string {
	for n := range maxWorkers {
		if id := fmt.Sprintf("i-%08x", n); d.site.MachineOf(id) == machine {
			return id
		}
	}
	return "nothing"
}
