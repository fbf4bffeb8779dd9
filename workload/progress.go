package workload

import (
	"fmt"
	"strconv"
	"strings"
)

// State is the state of a job.
type State string

// The states of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is the phase of a task.
type Phase int

// The phases of a task.
const (
	// Waiting tasks have no run that may still be running.
	Waiting Phase = iota
	// Placed tasks have a run that was ordered and that may be running.
	Placed
	// Done tasks have ended successfully.
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `json:"p,omitempty"`
	// Run is the number of the task's latest start.
	Run int64 `json:"r,omitempty"`
	// Worker is the worker on which that start was ordered.
	Worker string `json:"w,omitempty"`
	// Number of runs that ended in failure.
	Failures int `json:"f,omitempty"`
	// FailedRun is the latest run that was counted as a failure, of a gang in the gang's first task.
	// Instances of older versions record it for gangs only.
	FailedRun int64 `json:"x,omitempty"`
	// SavedRun is the latest run of a gang of which a stop has saved progress; it is stored in the
	// gang's first task. Instances that don't know it drop it.
	SavedRun int64 `json:"v,omitempty"`
	// Crashes counts the workers that crashed under the task since it last ran for long; CrashMS
	// is an upper bound on how long after its start the last of them crashed, in milliseconds, and
	// CrashRun the latest run that ended so.
	Crashes  int   `json:"c,omitempty"`
	CrashMS  int64 `json:"m,omitempty"`
	CrashRun int64 `json:"u,omitempty"`
	// Excluded counts those of the crashes that are no evidence against the task because many
	// workers crashed at the same time.
	Excluded int `json:"o,omitempty"`
	// Unproven counts those of the crashes that are no evidence against the task because its run
	// there is not known to have begun. Instances that don't know it drop it.
	Unproven int `json:"b,omitempty"`
	// Lapsed counts the runs that were lost since their workers' leases had ended. These workers may
	// have crashed, which limits further starts, but is no evidence. Instances that don't know it drop
	// it.
	Lapsed int `json:"l,omitempty"`
	// Exonerated counts the crashes that were subtracted from Crashes because another job was
	// abandoned as their cause.
	Exonerated int `json:"n,omitempty"`
	// The latest checkpoint.
	LastCheckpoint string `json:"s,omitempty"`
}

// Evidence returns the number of crashes that are evidence against the task.
func (t *Task) Evidence() int { return t.Crashes - t.Excluded - t.Unproven }

// TotalCrashes returns the number of crashes under the task, including those caused by others.
func (t *Task) TotalCrashes() int { return t.Crashes + t.Exonerated }

// PossibleCrashes returns the number of crashes under the task, including those that are not known to
// be crashes.
func (t *Task) PossibleCrashes() int { return t.TotalCrashes() + t.Lapsed }

// ProvenCrashes returns the number of crashes of workers on which a run of the task had begun.
func (t *Task) ProvenCrashes() int { return t.TotalCrashes() - t.Unproven }

// AttributableCrashes returns the number of crashes that the task may have caused: those of workers
// on which a run of it had begun, outside outages. Those for which another job failed are included.
func (t *Task) AttributableCrashes() int { return t.ProvenCrashes() - t.Excluded }

// ResetCrashes clears the crashes under the task.
func (t *Task) ResetCrashes() {
	t.Crashes, t.CrashMS, t.CrashRun, t.Excluded, t.Unproven, t.Exonerated, t.Lapsed = 0, 0, 0, 0, 0, 0, 0
}

// Occurrence is the progress of one repetition that was created and has not ended.
type Occurrence struct {
	Number int      `json:"k,omitempty"`
	Steps  [][]Task `json:"s"`
}

// Progress is everything that the planner has decided and observed of a job.
type Progress struct {
	State State `json:"state"`
	// Whether any task was ever started.
	Started bool `json:"begun,omitempty"`
	// The first occurrence that has not been created.
	NextOccurrence int `json:"next,omitempty"`
	// EndedMS is when the job ended; 0 before.
	EndedMS int64 `json:"ended,omitempty"`
	// Open are the occurrences that were created and have not ended.
	Open []*Occurrence `json:"open,omitempty"`
}

// NewProgress returns the progress of a newly accepted job.
func NewProgress() *Progress { return &Progress{State: Queued} }

// Validate refuses progress that does not match the job: a different number of steps or tasks, or
// occurrences that the job does not have.
func (p *Progress) Validate(j *Job) error {
	if p.NextOccurrence < 0 || p.NextOccurrence > j.Occurrences() {
		return fmt.Errorf("the job has %d occurrences, its progress created %d", j.Occurrences(), p.NextOccurrence)
	}
	for _, o := range p.Open {
		if err := o.validate(j); err != nil {
			return err
		}
	}
	return nil
}

func (o *Occurrence) validate(j *Job) error {
	if o == nil || o.Number < 0 || o.Number >= j.Occurrences() || len(o.Steps) != len(j.Steps) {
		return fmt.Errorf("an open occurrence does not match the job's %d occurrences of %d steps", j.Occurrences(), len(j.Steps))
	}
	for i, tasks := range o.Steps {
		if len(tasks) != j.Steps[i].Count {
			return fmt.Errorf("step %d has %d tasks, its progress has %d", i, j.Steps[i].Count, len(tasks))
		}
		for _, t := range tasks {
			if t.Phase < Waiting || t.Phase > Done || t.Run < 0 || t.Failures < 0 || t.Crashes < 0 || t.CrashMS < 0 || t.Excluded < 0 || t.Unproven < 0 || t.Excluded > t.Crashes-t.Unproven || t.Exonerated < 0 || t.Lapsed < 0 {
				return fmt.Errorf("step %d has a task with invalid progress: phase %d, run %d, %d failures, %d crashes", i, t.Phase, t.Run, t.Failures, t.Crashes)
			}
		}
	}
	return nil
}

// AddOccurrence opens the next occurrence.
func (p *Progress) AddOccurrence(j *Job) *Occurrence {
	o := &Occurrence{Number: p.NextOccurrence, Steps: make([][]Task, len(j.Steps))}
	for i, s := range j.Steps {
		o.Steps[i] = make([]Task, s.Count)
	}
	p.NextOccurrence++
	p.Open = append(p.Open, o)
	return o
}

// IsStepDone reports whether all tasks of a step have ended successfully.
func (o *Occurrence) IsStepDone(step int) bool {
	for i := range o.Steps[step] {
		if o.Steps[step][i].Phase != Done {
			return false
		}
	}
	return true
}

// IsDone reports whether all steps have ended successfully.
func (o *Occurrence) IsDone() bool {
	for i := range o.Steps {
		if !o.IsStepDone(i) {
			return false
		}
	}
	return true
}

// IsStepReady reports whether all dependencies of a step are done.
func (o *Occurrence) IsStepReady(j *Job, step int) bool {
	for _, d := range j.Steps[step].DependsOn {
		if !o.IsStepDone(d) {
			return false
		}
	}
	return true
}

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String formats the id as ID.K.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID formats the id of the task's step as ID.K.STEP.
func (t TaskID) StepID() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the result of String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("invalid task id %q: want ID.K.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("invalid task id %q: %q is not a non-negative integer", text, part)
		}
		numbers[i] = n
	}
	return TaskID{JobID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// FindTask returns the task's progress, or nil if the job has no such open task.
func (p *Progress) FindTask(id TaskID) *Task {
	for _, o := range p.Open {
		if o.Number != id.Occurrence {
			continue
		}
		if id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step]) {
			return nil
		}
		return &o.Steps[id.Step][id.Index]
	}
	return nil
}
