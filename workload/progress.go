package workload

import (
	"fmt"
	"strconv"
	"strings"
)

// State is where a job is on its way.
type State string

// The states of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether no further change follows.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is where a task is on its way.
type Phase int

// The phases of a task.
const (
	// Waiting tasks have no run that may still be at work.
	Waiting Phase = iota
	// Placed tasks have a run that was ordered, and may be at work.
	Placed
	// Done tasks have ended with success.
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `json:"p,omitempty"`
	// Run numbers the task's latest start.
	Run int64 `json:"r,omitempty"`
	// Worker is where that start was ordered.
	Worker string `json:"w,omitempty"`
	// Fails counts the runs that ended by a failure.
	Fails int `json:"f,omitempty"`
	// FailedRun is the latest run of a gang that was counted as a failure; it is
	// kept at the gang's first task.
	FailedRun int64 `json:"x,omitempty"`
	// Crashes counts the workers that crashed under the task since it was last at work for
	// long; CrashMS is how long after its start the last of them did at the most, in
	// milliseconds, and CrashRun the latest run that ended so.
	Crashes  int   `json:"c,omitempty"`
	CrashMS  int64 `json:"m,omitempty"`
	CrashRun int64 `json:"u,omitempty"`
	// Excluded counts those crashes that are no evidence against the task since many workers
	// crashed with them.
	Excluded int `json:"o,omitempty"`
	// Exonerated counts the crashes that were taken off Crashes since another job was given up
	// for them.
	Exonerated int `json:"n,omitempty"`
	// Saved is the latest checkpoint.
	Saved string `json:"s,omitempty"`
}

// Evidence is the number of crashes under the task that point at it.
func (t *Task) Evidence() int { return t.Crashes - t.Excluded }

// TotalCrashes is the number of crashes under the task, those that others caused included.
func (t *Task) TotalCrashes() int { return t.Crashes + t.Exonerated }

// ResetCrashes forgets the crashes under the task.
func (t *Task) ResetCrashes() {
	t.Crashes, t.CrashMS, t.CrashRun, t.Excluded, t.Exonerated = 0, 0, 0, 0, 0
}

// Occurrence is the progress of one repetition that has begun and not ended.
type Occurrence struct {
	K     int      `json:"k,omitempty"`
	Steps [][]Task `json:"s"`
}

// Progress is everything that the planner has decided and seen of a job.
type Progress struct {
	State State `json:"state"`
	// Begun tells whether any task was ever started.
	Begun bool `json:"begun,omitempty"`
	// Next is the first occurrence that has not been created.
	Next int `json:"next,omitempty"`
	// EndedMS is when the job came to its end; 0 before.
	EndedMS int64 `json:"ended,omitempty"`
	// Open are the occurrences that have been created and have not ended.
	Open []*Occurrence `json:"open,omitempty"`
}

// NewProgress is that of a job which was just accepted.
func NewProgress() *Progress { return &Progress{State: Queued} }

// Check refuses progress that is not the job's: another number of steps or tasks than
// it has, or occurrences that it never had.
func (p *Progress) Check(j *Job) error {
	if p.Next < 0 || p.Next > j.Occurrences() {
		return fmt.Errorf("the job has %d occurrences, its progress %d", j.Occurrences(), p.Next)
	}
	for _, o := range p.Open {
		if err := o.check(j); err != nil {
			return err
		}
	}
	return nil
}

func (o *Occurrence) check(j *Job) error {
	if o == nil || o.K < 0 || o.K >= j.Occurrences() || len(o.Steps) != len(j.Steps) {
		return fmt.Errorf("an occurrence is not one of the job's %d with %d steps", j.Occurrences(), len(j.Steps))
	}
	for i, tasks := range o.Steps {
		if len(tasks) != j.Steps[i].Count {
			return fmt.Errorf("step %d has %d tasks, its progress %d", i, j.Steps[i].Count, len(tasks))
		}
		for _, t := range tasks {
			if t.Phase < Waiting || t.Phase > Done || t.Run < 0 || t.Fails < 0 || t.Crashes < 0 || t.CrashMS < 0 || t.Excluded < 0 || t.Excluded > t.Crashes || t.Exonerated < 0 {
				return fmt.Errorf("step %d has a task in phase %d with run %d, %d failures and %d crashes", i, t.Phase, t.Run, t.Fails, t.Crashes)
			}
		}
	}
	return nil
}

// Create opens the next occurrence.
func (p *Progress) Create(j *Job) *Occurrence {
	o := &Occurrence{K: p.Next, Steps: make([][]Task, len(j.Steps))}
	for i, s := range j.Steps {
		o.Steps[i] = make([]Task, s.Count)
	}
	p.Next++
	p.Open = append(p.Open, o)
	return o
}

// StepDone tells whether all tasks of a step have ended with success.
func (o *Occurrence) StepDone(step int) bool {
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != Done {
			return false
		}
	}
	return true
}

// Done tells whether all steps have ended with success.
func (o *Occurrence) Done() bool {
	for i := range o.Steps {
		if !o.StepDone(i) {
			return false
		}
	}
	return true
}

// Ready tells whether the steps that a step depends on are done.
func (o *Occurrence) Ready(j *Job, step int) bool {
	for _, d := range j.Steps[step].DependsOn {
		if !o.StepDone(d) {
			return false
		}
	}
	return true
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job   JobID
	K     int
	Step  int
	Index int
}

// String writes the id as ID.K.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.K) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName writes the id of the task's step as ID.K.STEP.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.K) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads what String wrote.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%q is not a task's name: want ID.K.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("%q is not a task's name: %q is no index", text, part)
		}
		numbers[i] = n
	}
	return TaskID{JobID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Find returns the task's progress, or nil where the job has no such open task.
func (p *Progress) Find(id TaskID) *Task {
	for _, o := range p.Open {
		if o.K != id.K {
			continue
		}
		if id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step]) {
			return nil
		}
		return &o.Steps[id.Step][id.Index]
	}
	return nil
}
