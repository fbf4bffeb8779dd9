package domain

import "time"

// MaxGangSize is the largest number of tasks that one gang may have.
const MaxGangSize = 128

// JobID identifies a job within its deployment. The caller chooses it, so that a
// repeated submission is recognised.
type JobID string

// Adjacency bounds the distance between the tasks of a gang.
type Adjacency string

// Adjacencies, strictest first.
const (
	SameWorker        Adjacency = "same-worker"
	SameRack          Adjacency = "same-rack"
	NeighbouringRacks Adjacency = "neighbouring-racks"
	Anywhere          Adjacency = "anywhere"
)

// IsValid reports whether a is one of the defined adjacencies.
func (a Adjacency) IsValid() bool {
	switch a {
	case SameWorker, SameRack, NeighbouringRacks, Anywhere:
		return true
	}
	return false
}

// Shape describes the resources that a gang needs or that a guarantee covers.
type Shape struct {
	// Tasks is the number of tasks of the gang, 1 to MaxGangSize.
	Tasks int `json:"tasks"`
	// PerTask are the resources that each task needs on its worker.
	PerTask Resources `json:"per_task"`
	// Adjacency bounds the distance between tasks; empty means Anywhere.
	Adjacency Adjacency `json:"adjacency,omitempty"`
}

// Accelerators returns the number of accelerators of the whole shape.
func (s Shape) Accelerators() int { return s.Tasks * s.PerTask.Accelerators }

// Total returns the resources of the whole shape.
func (s Shape) Total() Resources { return s.PerTask.Times(s.Tasks) }

// JobState is a state in the life cycle of a job.
type JobState string

// The states of a job. Completed, Failed, Cancelled and Unknown are final.
const (
	JobWaiting   JobState = "waiting"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobUnknown is the final state of a job that must not run twice and whose only
	// start cannot be proved to have finished.
	JobUnknown JobState = "outcome-unknown"
)

// IsFinal reports whether the state never changes again.
func (s JobState) IsFinal() bool {
	switch s {
	case JobCompleted, JobFailed, JobCancelled, JobUnknown:
		return true
	}
	return false
}

// Job is an accepted gang job.
type Job struct {
	ID         JobID      `json:"id"`
	Account    AccountID  `json:"account"`
	Team       TeamID     `json:"team,omitempty"`
	Class      ClassName  `json:"class"`
	DataCentre DataCentre `json:"data_centre"`
	Shape      Shape      `json:"shape"`
	// Estimate is the run time that the caller declares; it may be inaccurate.
	Estimate Duration `json:"estimate"`
	// Submitted is the wall-clock time at the accepting instance. It is used for
	// display and ageing only, never for an ordering on which safety depends.
	Submitted time.Time `json:"submitted"`
	// Payload is passed to every task unchanged.
	Payload string `json:"payload,omitempty"`
}

// Incarnation identifies one attempt to run a job's gang. Attempt numbers of a job
// increase. Holder is the planner that started the attempt, so that two planners
// that are active at the same time never use the same identifier. It is not a
// worker's incarnation, which workload/control tracks.
type Incarnation struct {
	Job     JobID      `json:"job"`
	Attempt uint64     `json:"attempt"`
	Holder  InstanceID `json:"holder"`
}

// Newer reports whether i is newer than o, an incarnation of the same job: by
// attempt, then by holder.
func (i Incarnation) Newer(o Incarnation) bool {
	if i.Attempt != o.Attempt {
		return i.Attempt > o.Attempt
	}
	return i.Holder > o.Holder
}

// Assignment places Tasks tasks of a gang on one worker.
type Assignment struct {
	Worker WorkerID `json:"worker"`
	Tasks  int      `json:"tasks"`
}

// Placement is the assignment of a complete gang, one entry per worker.
type Placement []Assignment

// Tasks returns the number of tasks placed.
func (p Placement) Tasks() int {
	n := 0
	for _, a := range p {
		n += a.Tasks
	}
	return n
}
