package workload

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cobalttide/cobalttide/domain"
)

// Limits of a submission.
const (
	// MaxSpecBytes is the largest size of a spec.
	MaxSpecBytes = 4000
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 100
	// MaxTasks is the largest number of tasks of one occurrence of a job, and of all its
	// occurrences that are open at once. A job's progress is one record of the log and must not
	// exceed the record size limit.
	MaxTasks = 2_000
	// MaxRepetitions is the largest number of occurrences.
	MaxRepetitions = 1_000_000
	idLength       = 16
)

// JobID identifies a job; the caller chooses it.
type JobID string

// IsValid reports whether the id consists of 16 hexadecimal digits.
func (id JobID) IsValid() bool {
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

// Resources is an amount of the resources that a worker has or a task needs.
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

// FitsIn reports whether each component of r is at most that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// HasNegative reports whether any component is negative.
func (r Resources) HasNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// Count returns how many times unit fits into r, up to limit.
func (r Resources) Count(unit Resources, limit int) int {
	n := limitBy(limit, r.MilliCPU, unit.MilliCPU)
	n = limitBy(n, r.MemoryMiB, unit.MemoryMiB)
	return limitBy(n, r.Accelerators, unit.Accelerators)
}

func limitBy(n int, have, need int64) int {
	if need <= 0 {
		return n
	}
	if have < need {
		return 0
	}
	return int(min(int64(n), have/need))
}

// CoreEquivalent converts the processors and accelerators to cores; an accelerator counts as 8
// cores.
func (r Resources) CoreEquivalent() float64 {
	return float64(r.MilliCPU)/1000 + 8*float64(r.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMS is the caller's rough estimate of a task's run time.
	EstimateMS int64 `json:"e,omitempty"`
	// DependsOn lists earlier steps that have to complete first.
	DependsOn []int `json:"d,omitempty"`
	// Checkpoint means that a task saves its progress.
	Checkpoint bool `json:"k,omitempty"`
	// Gang means that the tasks have to run together.
	Gang bool `json:"g,omitempty"`
	// SameRack means that the tasks run more slowly if they span racks.
	SameRack bool `json:"s,omitempty"`
	// Speculative means that several copies of a task may run at once.
	Speculative bool `json:"p,omitempty"`
	// Perpetual tasks run until the job is cancelled.
	Perpetual bool `json:"l,omitempty"`
	// BestEffortCPU means that the processor need is not counted against the worker's capacity.
	BestEffortCPU bool `json:"f,omitempty"`
	// Label is a label that the worker must have.
	Label string `json:"b,omitempty"`
	// DataRack is the rack that holds the data.
	DataRack string `json:"w,omitempty"`
	// PerWorker is the largest number of tasks of one occurrence on a worker; 0 is unlimited.
	PerWorker int `json:"q,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// LatencyTargetMS bounds the tail latency of a perpetual task.
	LatencyTargetMS int64 `json:"t,omitempty"`
	// MaxUnavailable is the largest number of perpetual tasks that the planner may make unavailable
	// at once by its own actions.
	MaxUnavailable int `json:"y,omitempty"`
}

// CapacityNeed returns the resources that a task of the step takes from a worker's capacity.
func (s Step) CapacityNeed() Resources {
	need := s.Need
	if s.BestEffortCPU {
		need.MilliCPU = 0
	}
	return need
}

// QueueSettings are the settings of a job's queue at the time when the job was accepted. They stay
// in force even if the queue is removed from the configuration.
type QueueSettings struct {
	// Service names the workers that run the queue's tasks.
	Service string `json:"service"`
	// Priority orders queues; 0 goes first and may preempt others.
	Priority int `json:"priority"`
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int `json:"attempts"`
	// Stretch and TargetMS define the objective: a job is to end within Stretch times its longest
	// chain of work plus TargetMS.
	Stretch  float64 `json:"stretch"`
	TargetMS int64   `json:"target"`
	// Advice is set if the queue's policy restricts which workers may run a step, and describes
	// the service that decides on them; nil means no restriction.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes the cost of asking which workers may run a step.
type Advice struct {
	// DecideMS is the duration of a call and PerWorkerMS the additional time per worker named in it,
	// in milliseconds.
	DecideMS    int64 `json:"decide"`
	PerWorkerMS int64 `json:"each"`
	// ValidMS is how long a ticket may be used, in milliseconds.
	ValidMS int64 `json:"valid"`
}

// Job is a job as accepted.
type Job struct {
	ID      JobID            `json:"id"`
	Account domain.AccountID `json:"account,omitempty"`
	// Queue is the route by which the job was submitted.
	Queue         string        `json:"queue"`
	Spec          string        `json:"spec"`
	Steps         []Step        `json:"steps"`
	AcceptedMS    int64         `json:"at"`
	QueueSettings QueueSettings `json:"terms"`
	// Reduced reports that the job has ended and that its spec and steps were dropped (see
	// Reduce).
	Reduced bool `json:"reduced,omitempty"`
	// Repetitions is the number of occurrences if positive; occurrence k is due at FirstMS +
	// k*IntervalMS.
	Repetitions int   `json:"times,omitempty"`
	FirstMS     int64 `json:"first,omitempty"`
	IntervalMS  int64 `json:"every,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	total := 0
	for _, s := range j.Steps {
		total += s.Count
	}
	return total
}

// DueMS returns when occurrence k may start.
func (j *Job) DueMS(k int) int64 {
	if j.Repetitions == 0 {
		return j.AcceptedMS
	}
	return j.FirstMS + int64(k)*j.IntervalMS
}

// IsPerpetual reports whether the job never completes by itself.
func (j *Job) IsPerpetual() bool {
	for _, s := range j.Steps {
		if s.Perpetual {
			return true
		}
	}
	return false
}

// ClaimAccelerators is the number of accelerators that the job takes of its account's guarantee
// until it ends: those of its widest step.
func (j *Job) ClaimAccelerators() int64 {
	most := int64(0)
	for _, s := range j.Steps {
		most = max(most, int64(s.Count)*s.Need.Accelerators)
	}
	return most
}

// Estimated memory of a job beside its texts, in bytes: of its acceptance, a step and a task.
const (
	jobBytes  = 1000
	stepBytes = 300
	taskBytes = 500
)

// MemoryBytes estimates the memory that the job takes until it has ended.
func (j *Job) MemoryBytes() int64 {
	// The text of an acceptance is held as read and as decoded.
	texts := 2 * len(j.Spec)
	for _, s := range j.Steps {
		texts += stepBytes + 2*(len(s.Label)+len(s.DataRack)+len(s.Image)+8*len(s.DependsOn))
	}
	return int64(jobBytes + texts + taskBytes*j.TaskCount())
}

// Validate returns a refusal that names the first invalid field, or nil.
func (j *Job) Validate() error {
	if !j.ID.IsValid() {
		return invalidField("id", "the id does not consist of 16 hexadecimal digits", "choose another id")
	}
	if len(j.Spec) > MaxSpecBytes {
		return invalidField("spec", fmt.Sprintf("the spec has %d bytes", len(j.Spec)), fmt.Sprintf("send at most %d bytes", MaxSpecBytes))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalidField("steps", "the job has no steps, or too many", fmt.Sprintf("send 1 to %d", MaxSteps))
	}
	if j.Repetitions < 0 || j.Repetitions > MaxRepetitions || j.FirstMS < 0 || j.IntervalMS < 0 {
		return invalidField("repetitions", "the schedule has a negative or too large value", "send a schedule within bounds")
	}
	return j.validateSteps()
}

// validateRecord refuses acceptances that no instance writes and that would do harm if they were
// started: a dependency on a missing step would crash every planner that reads it, and the tasks
// of a job under another job's key would belong to no job.
func (j *Job) validateRecord(id JobID) error {
	if len(j.Steps) > 0 && j.ID != id {
		return invalidField("id", fmt.Sprintf("the record under the key of job %s holds job %s", id, j.ID), "write it under the job's own key")
	}
	if len(j.Steps) > MaxSteps || j.Repetitions < 0 || j.Repetitions > MaxRepetitions {
		return invalidField("steps", fmt.Sprintf("the job has %d steps and %d repetitions", len(j.Steps), j.Repetitions), "write a job within bounds")
	}
	return j.validateSteps()
}

func (j *Job) validateSteps() error {
	total := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		total += s.Count
		if total > MaxTasks {
			return invalidField("count", "the job has too many tasks", fmt.Sprintf("send at most %d", MaxTasks))
		}
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return invalidField("count", fmt.Sprintf("step %d has %d tasks", index, s.Count), fmt.Sprintf("send 1 to %d", MaxTasks))
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMiB < 0 || s.Need.Accelerators < 0 || s.EstimateMS < 0 || s.PerWorker < 0 || s.LatencyTargetMS < 0 || s.MaxUnavailable < 0 {
		return invalidField("steps", fmt.Sprintf("step %d has a negative amount", index), "send amounts of 0 or more")
	}
	if len(s.DependsOn) > MaxSteps {
		return invalidField("depends_on", fmt.Sprintf("step %d names too many steps", index), fmt.Sprintf("name each step once, at most %d", MaxSteps))
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return invalidField("depends_on", fmt.Sprintf("step %d depends on step %d", index, d), "name earlier steps only")
		}
	}
	return nil
}

func invalidField(field, message, remedy string) error {
	return domain.Refuse(domain.ReasonInvalid, field, message, remedy)
}

// Features lists what a job uses beyond plain tasks, for the event log.
func (j *Job) Features() string {
	used := map[string]bool{}
	for _, s := range j.Steps {
		used["depends_on"] = used["depends_on"] || len(s.DependsOn) > 0
		used["gang"] = used["gang"] || s.Gang
		used["same-rack"] = used["same-rack"] || s.SameRack
		used["data-rack"] = used["data-rack"] || s.DataRack != ""
		used["label"] = used["label"] || s.Label != ""
		used["spread"] = used["spread"] || s.PerWorker > 0
		used["checkpoint"] = used["checkpoint"] || s.Checkpoint
		used["speculative"] = used["speculative"] || s.Speculative
		used["perpetual"] = used["perpetual"] || s.Perpetual
		used["fills"] = used["fills"] || s.BestEffortCPU
	}
	used["scheduled"] = j.Repetitions > 0
	var out []string
	for name, isUsed := range used {
		if isUsed {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}
