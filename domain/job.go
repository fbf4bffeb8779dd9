package domain

import "time"

// MaxGang is the largest number of tasks that one gang may have.
const MaxGang = 128

// JobID identifies a job in its whole deployment; the caller chooses it, so
// that a repeated submission is recognised.
type JobID string

// Adjacency says how close together the tasks of a gang must be.
type Adjacency string

// The adjacencies, from the strictest to none.
const (
	SameWorker       Adjacency = "same-worker"
	SameRack         Adjacency = "same-rack"
	NeighbouringRack Adjacency = "neighbouring-racks"
	Anywhere         Adjacency = "anywhere"
)

// Valid tells whether a is one of the declared adjacencies.
func (a Adjacency) Valid() bool {
	switch a {
	case SameWorker, SameRack, NeighbouringRack, Anywhere:
		return true
	}
	return false
}

// Shape is what a gang needs, and what a guarantee promises.
type Shape struct {
	// Tasks is the size of the gang, 1 to MaxGang.
	Tasks int `json:"tasks"`
	// PerTask is what each task needs on its worker.
	PerTask Resources `json:"per_task"`
	// Adjacency bounds the distance between tasks; empty means Anywhere.
	Adjacency Adjacency `json:"adjacency,omitempty"`
}

// Accelerators returns the number of accelerators of the whole shape.
func (s Shape) Accelerators() int { return s.Tasks * s.PerTask.Accelerators }

// Total returns the resources of the whole shape.
func (s Shape) Total() Resources { return s.PerTask.Times(s.Tasks) }

// JobState is where a job is on its way.
type JobState string

// The states of a job. Completed, Failed, Cancelled and Unknown are final.
const (
	JobWaiting   JobState = "waiting"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobUnknown ends a job that must not run twice and whose only start can't
	// be proved to have finished.
	JobUnknown JobState = "outcome-unknown"
)

// Final tells whether no further change follows.
func (s JobState) Final() bool {
	switch s {
	case JobCompleted, JobFailed, JobCancelled, JobUnknown:
		return true
	}
	return false
}

// Job is a gang job as accepted.
type Job struct {
	ID         JobID      `json:"id"`
	Account    AccountID  `json:"account"`
	Team       TeamID     `json:"team,omitempty"`
	Class      ClassName  `json:"class"`
	DataCentre DataCentre `json:"data_centre"`
	Shape      Shape      `json:"shape"`
	// Estimate is the run time that the caller declares; it may be far off.
	Estimate Duration `json:"estimate"`
	// Submitted is the acceptor's wall clock, for display and ageing only;
	// it never decides an order that safety needs.
	Submitted time.Time `json:"submitted"`
	// Payload is passed on to every task as it is.
	Payload string `json:"payload,omitempty"`
}

// Incarnation names one attempt to run a job's gang. Attempts of one job count
// up. Holder is the planner that began the attempt, so that two planners that
// know nothing of each other never use the same name.
type Incarnation struct {
	Job     JobID      `json:"job"`
	Attempt uint64     `json:"attempt"`
	Holder  InstanceID `json:"holder"`
}

// Newer tells whether i is a later attempt than o at the same job.
func (i Incarnation) Newer(o Incarnation) bool {
	if i.Attempt != o.Attempt {
		return i.Attempt > o.Attempt
	}
	return i.Holder > o.Holder
}

// Assignment puts Tasks tasks of a gang on one worker.
type Assignment struct {
	Worker WorkerID `json:"worker"`
	Tasks  int      `json:"tasks"`
}

// Placement is the whole gang's assignment, one entry a worker.
type Placement []Assignment

// Tasks returns the number of tasks placed.
func (p Placement) Tasks() int {
	n := 0
	for _, a := range p {
		n += a.Tasks
	}
	return n
}
