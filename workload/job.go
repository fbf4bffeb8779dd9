package workload

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cobalttide/cobalttide/domain"
)

// Bounds of a submission.
const (
	// MaxSpec is the longest spec, in bytes.
	MaxSpec = 4000
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 100
	// MaxTasks is the largest number of tasks of one occurrence of a job, and of
	// all its occurrences that are open at once. A job's progress is one record of
	// the log, and has to stay below what a record may hold.
	MaxTasks = 2_000
	// MaxRepetitions is the largest number of occurrences.
	MaxRepetitions = 1_000_000
	idLength       = 16
)

// JobID identifies a job; its caller chooses it.
type JobID string

// Valid tells whether the id is made of 16 hexadecimal digits.
func (id JobID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Resources is an amount of what a worker has and a task needs.
type Resources struct {
	MilliCPU     int64 `json:"c,omitempty"`
	MemoryMiB    int64 `json:"m,omitempty"`
	Accelerators int64 `json:"a,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits tells whether r is available in o, component by component.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Short tells whether any component is below zero.
func (r Resources) Short() bool {
	return r.MilliCPU < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// Count returns how many times unit fits into r, at most limit.
func (r Resources) Count(unit Resources, limit int) int {
	n := boundBy(limit, r.MilliCPU, unit.MilliCPU)
	n = boundBy(n, r.MemoryMiB, unit.MemoryMiB)
	return boundBy(n, r.Accelerators, unit.Accelerators)
}

func boundBy(n int, have, need int64) int {
	if need <= 0 {
		return n
	}
	if have < need {
		return 0
	}
	return int(min(int64(n), have/need))
}

// CoreEquivalent weighs accelerators against cores: one counts as 8 cores.
func (r Resources) CoreEquivalent() float64 {
	return float64(r.MilliCPU)/1000 + 8*float64(r.Accelerators)
}

// Step is a set of equal tasks.
type Step struct {
	// Count is the number of tasks, 1 or more.
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMS is the caller's rough estimate of a task's run time.
	EstimateMS int64 `json:"e,omitempty"`
	// DependsOn lists earlier steps that have to be complete first.
	DependsOn []int `json:"d,omitempty"`
	// Checkpoint means that a task saves its progress.
	Checkpoint bool `json:"k,omitempty"`
	// Gang means that the tasks work only together.
	Gang bool `json:"g,omitempty"`
	// SameRack means that the tasks slow down when they span racks.
	SameRack bool `json:"s,omitempty"`
	// Speculative means that copies of a task may run at once.
	Speculative bool `json:"p,omitempty"`
	// Perpetual tasks run until the job is cancelled.
	Perpetual bool `json:"l,omitempty"`
	// Fills means that the processor need is not counted against a worker.
	Fills bool `json:"f,omitempty"`
	// Label is one that the worker must carry.
	Label string `json:"b,omitempty"`
	// DataRack is the rack that holds the data.
	DataRack string `json:"w,omitempty"`
	// Spread is the most tasks of one occurrence on a worker; 0 is no bound.
	Spread int `json:"q,omitempty"`
	// Image names what runs; tasks of an image behave alike.
	Image string `json:"i,omitempty"`
	// TargetMS bounds the latency tail of a perpetual task.
	TargetMS int64 `json:"t,omitempty"`
	// MayMiss is how many perpetual tasks may be away at once by our own action.
	MayMiss int `json:"y,omitempty"`
}

// Counted returns what a task of the step takes of a worker's capacity.
func (s Step) Counted() Resources {
	need := s.Need
	if s.Fills {
		need.MilliCPU = 0
	}
	return need
}

// Terms are what the configuration said of a job's queue when it was accepted.
// They hold on for jobs whose queue has left the configuration since.
type Terms struct {
	// Service names the workers that run the queue's tasks.
	Service string `json:"service"`
	// Priority orders queues; 0 goes first and may preempt others.
	Priority int `json:"priority"`
	// Attempts is how often a task may fail before its job does.
	Attempts int `json:"attempts"`
	// Stretch and TargetMS make the objective: Stretch times the job's longest
	// chain of work, and TargetMS more.
	Stretch  float64 `json:"stretch"`
	TargetMS int64   `json:"target"`
	// Advice is set where only workers that the queue's policy allows may run a
	// step, and says how long the service that knows them takes; nil is no policy.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice is what asking which workers may run a step costs.
type Advice struct {
	// DecideMS is what a call takes, EachMS what each worker named adds, in
	// milliseconds.
	DecideMS int64 `json:"decide"`
	EachMS   int64 `json:"each"`
	// ValidMS is how long a ticket may be used, in milliseconds.
	ValidMS int64 `json:"valid"`
}

// Job is a job as accepted.
type Job struct {
	ID      JobID            `json:"id"`
	Account domain.AccountID `json:"account,omitempty"`
	// Queue is the route by which the job came.
	Queue      string `json:"queue"`
	Spec       string `json:"spec"`
	Steps      []Step `json:"steps"`
	AcceptedMS int64  `json:"at"`
	Terms      Terms  `json:"terms"`
	// Reduced tells that the job has ended and that its spec and steps were
	// dropped (see Reduce).
	Reduced bool `json:"reduced,omitempty"`
	// Repetitions above 0 is the number of occurrences; occurrence k is due at
	// FirstMS + k IntervalMS.
	Repetitions int   `json:"times,omitempty"`
	FirstMS     int64 `json:"first,omitempty"`
	IntervalMS  int64 `json:"every,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	total := 0
	for _, s := range j.Steps {
		total += s.Count
	}
	return total
}

// DueMS returns when occurrence k may begin.
func (j *Job) DueMS(k int) int64 {
	if j.Repetitions == 0 {
		return j.AcceptedMS
	}
	return j.FirstMS + int64(k)*j.IntervalMS
}

// Perpetual tells whether the job never completes by itself.
func (j *Job) Perpetual() bool {
	for _, s := range j.Steps {
		if s.Perpetual {
			return true
		}
	}
	return false
}

// ClaimAccelerators is what the job needs of its account's guarantee while it
// has not ended: all of its first step, and no less than its widest step.
func (j *Job) ClaimAccelerators() int64 {
	most := int64(0)
	for _, s := range j.Steps {
		most = max(most, int64(s.Count)*s.Need.Accelerators)
	}
	return most
}

// Check returns a refusal that names the first wrong field, or nil.
func (j *Job) Check() error {
	if !j.ID.Valid() {
		return invalid("id", "the id is not made of 16 hexadecimal digits", "choose another id")
	}
	if len(j.Spec) > MaxSpec {
		return invalid("spec", fmt.Sprintf("%d bytes are too long", len(j.Spec)), fmt.Sprintf("send at most %d bytes", MaxSpec))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalid("steps", fmt.Sprintf("there are %d steps", len(j.Steps)), fmt.Sprintf("send 1 to %d", MaxSteps))
	}
	if j.Repetitions < 0 || j.Repetitions > MaxRepetitions || j.FirstMS < 0 || j.IntervalMS < 0 {
		return invalid("repetitions", "a schedule has no negative or unbounded values", "send a schedule within bounds")
	}
	return j.checkSteps()
}

// checkRecord refuses an acceptance that no instance has written and of which something
// could start: one whose step depends on a step that is not there would end every planner
// that reads it, and the tasks of one under another job's key would be nobody's.
func (j *Job) checkRecord(id JobID) error {
	if len(j.Steps) > 0 && j.ID != id {
		return invalid("id", fmt.Sprintf("the record of job %s is of job %s", id, j.ID), "write it under the job's own key")
	}
	if len(j.Steps) > MaxSteps || j.Repetitions < 0 || j.Repetitions > MaxRepetitions {
		return invalid("steps", fmt.Sprintf("there are %d steps, %d times", len(j.Steps), j.Repetitions), "write a job within bounds")
	}
	return j.checkSteps()
}

func (j *Job) checkSteps() error {
	total := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Count
		if total > MaxTasks {
			return invalid("count", "there are too many tasks", fmt.Sprintf("send at most %d", MaxTasks))
		}
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return invalid("count", fmt.Sprintf("step %d has %d tasks", index, s.Count), fmt.Sprintf("send 1 to %d", MaxTasks))
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMiB < 0 || s.Need.Accelerators < 0 || s.EstimateMS < 0 || s.Spread < 0 || s.TargetMS < 0 || s.MayMiss < 0 {
		return invalid("steps", fmt.Sprintf("step %d has a negative amount", index), "send amounts of 0 or more")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return invalid("depends_on", fmt.Sprintf("step %d depends on step %d", index, d), "name earlier steps only")
		}
	}
	return nil
}

func invalid(field, message, remedy string) error {
	return domain.Refuse(domain.ReasonInvalid, field, message, remedy)
}

// Features names what a job asks for beyond plain tasks, for the event log.
func (j *Job) Features() string {
	seen := map[string]bool{}
	for _, s := range j.Steps {
		seen["depends_on"] = seen["depends_on"] || len(s.DependsOn) > 0
		seen["gang"] = seen["gang"] || s.Gang
		seen["same-rack"] = seen["same-rack"] || s.SameRack
		seen["data-rack"] = seen["data-rack"] || s.DataRack != ""
		seen["label"] = seen["label"] || s.Label != ""
		seen["spread"] = seen["spread"] || s.Spread > 0
		seen["checkpoint"] = seen["checkpoint"] || s.Checkpoint
		seen["speculative"] = seen["speculative"] || s.Speculative
		seen["perpetual"] = seen["perpetual"] || s.Perpetual
		seen["fills"] = seen["fills"] || s.Fills
	}
	seen["scheduled"] = j.Repetitions > 0
	var out []string
	for name, there := range seen {
		if there {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}
