// Package port states what the system needs of the platform: an
// append-only log service, a list of instances and backend servers, and the
// agents of workers. Implementations are clients over HTTP; package standin
// has the small servers that take the platform's place in development.
package port

import (
	"context"
	"encoding/json"

	"github.com/cobalttide/cobalttide/domain"
)

// Stream names one append-only sequence of records in the log service.
type Stream string

// Record is one entry of a stream. ID is chosen by the writer, so that an
// append whose answer was lost is found again by reading.
type Record struct {
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Data json.RawMessage `json:"data"`
}

// Entry is a record with its place in the stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry `json:"entries"`
	// Oldest is the first offset that the log still holds.
	Oldest int64 `json:"oldest"`
	// Next is the offset to read from next.
	Next int64 `json:"next"`
	// End is the offset that the next append will take.
	End int64 `json:"end"`
}

// Log is the platform's log service.
type Log interface {
	// Append adds the records in one call, consecutively, and returns the
	// offset of the first. An error does not say whether they were added.
	Append(ctx context.Context, stream Stream, records []Record) (int64, error)
	// Read returns entries from an offset on. When there are none it waits for
	// one until ctx or the service's own bound ends, and returns an empty page.
	Read(ctx context.Context, stream Stream, from int64) (Page, error)
}

// ListedInstance is an instance as the platform's lagging list has it.
type ListedInstance struct {
	ID         domain.InstanceID `json:"id"`
	DataCentre domain.DataCentre `json:"data_centre"`
	// Address is where its peers reach it, IP and port.
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ListVersions identify the three lists; a part that the reader knows already
// is not sent again, so that reading the lists often costs little.
type ListVersions struct {
	Instances string `json:"instances,omitempty"`
	Workers   string `json:"workers,omitempty"`
	Backends  string `json:"backends,omitempty"`
}

// ListQuery asks for the lists.
type ListQuery struct {
	// Self is registered as alive when it has an ID.
	Self ListedInstance `json:"self"`
	// DataCentre restricts workers to one data centre; empty means all.
	DataCentre domain.DataCentre `json:"data_centre,omitempty"`
	// Known are the versions that the reader has.
	Known ListVersions `json:"known"`
}

// Inventory is what the platform's lists say; every part may lag.
type Inventory struct {
	Versions  ListVersions           `json:"versions"`
	Instances []ListedInstance       `json:"instances,omitempty"`
	Workers   []domain.Worker        `json:"workers,omitempty"`
	Backends  []domain.BackendServer `json:"backends,omitempty"`
}

// Update returns the inventory with the parts that an answer brought anew.
func (i Inventory) Update(answer Inventory) Inventory {
	out := answer
	if answer.Versions.Instances == i.Versions.Instances {
		out.Instances = i.Instances
	}
	if answer.Versions.Workers == i.Versions.Workers {
		out.Workers = i.Workers
	}
	if answer.Versions.Backends == i.Versions.Backends {
		out.Backends = i.Backends
	}
	return out
}

// Lister reads the platform's lists.
type Lister interface {
	// List returns the lists' parts that the reader does not know yet.
	List(ctx context.Context, query ListQuery) (Inventory, error)
}

// TaskState is the state of one gang's tasks on one worker.
type TaskState string

// The states of a gang member on its worker.
const (
	// TaskReserved holds resources under a lease, with nothing started.
	TaskReserved TaskState = "reserved"
	// TaskArmed has its processes in place, waiting to be released.
	TaskArmed TaskState = "armed"
	// TaskRunning does its work.
	TaskRunning TaskState = "running"
	// TaskFinished ended by itself with success.
	TaskFinished TaskState = "finished"
	// TaskFailed ended by itself with an error.
	TaskFailed TaskState = "failed"
	// TaskStopped was stopped, or its lease lapsed.
	TaskStopped TaskState = "stopped"
	// TaskAbsent is not known to the worker.
	TaskAbsent TaskState = "absent"
)

// Live tells whether the member holds resources of its worker.
func (s TaskState) Live() bool {
	return s == TaskReserved || s == TaskArmed || s == TaskRunning
}

// Verb is what a worker is asked to do.
type Verb string

// The verbs of a worker's agent. All but VerbClaim may be repeated with the
// same effect.
const (
	// VerbClaim raises the worker's token and returns all members it holds.
	VerbClaim Verb = "claim"
	// VerbReserve sets resources aside under a lease.
	VerbReserve Verb = "reserve"
	// VerbArm puts processes in place without releasing them. It is refused
	// after Until.
	VerbArm Verb = "arm"
	// VerbRelease lets an armed member do its work. It is refused after Until,
	// which is when another member's lease may end.
	VerbRelease Verb = "release"
	// VerbRenew extends the leases of all members named.
	VerbRenew Verb = "renew"
	// VerbCheckpoint saves the member's progress.
	VerbCheckpoint Verb = "checkpoint"
	// VerbStop ends a member and gives its resources back.
	VerbStop Verb = "stop"
	// VerbForget drops the record of an ended member.
	VerbForget Verb = "forget"
)

// Command is one call to a worker's agent.
type Command struct {
	Verb  Verb         `json:"verb"`
	Token domain.Token `json:"token"`
	// Gang is the member's gang; unused by VerbClaim and VerbRenew.
	Gang domain.Incarnation `json:"gang,omitzero"`
	// Gangs are the gangs whose leases VerbRenew extends.
	Gangs []domain.Incarnation `json:"gangs,omitempty"`
	// Members is the number of workers that the whole gang spans.
	Members int `json:"members,omitempty"`
	// Tasks and PerTask are what VerbReserve sets aside.
	Tasks   int              `json:"tasks,omitempty"`
	PerTask domain.Resources `json:"per_task,omitzero"`
	// Boot is the worker's boot that the sender knows; a worker that has
	// restarted since refuses the command. Empty for VerbClaim.
	Boot string `json:"boot,omitempty"`
	// Until is the end of the lease, or of the command's validity, on the
	// worker's own clock. Because it is
	// computed from a reading that the worker gave, a command that arrives late
	// can't extend a lease beyond what its sender counts on.
	Until domain.Duration `json:"until,omitempty"`
	// Payload is handed to the tasks by VerbArm.
	Payload string `json:"payload,omitempty"`
}

// Member is what a worker reports of one gang on it.
type Member struct {
	Gang domain.Incarnation `json:"gang"`
	// Members is the number of workers that the whole gang spans.
	Members int              `json:"members"`
	State   TaskState        `json:"state"`
	Tasks   int              `json:"tasks"`
	PerTask domain.Resources `json:"per_task"`
	// Result is set once the tasks have finished or failed.
	Result string `json:"result,omitempty"`
	// Progress is the run time that the last checkpoint has saved.
	Progress domain.Duration `json:"progress,omitempty"`
	// UsedMemoryMiB is the measured memory of one task; it lags.
	UsedMemoryMiB int `json:"used_memory_mib,omitempty"`
}

// Report is a worker's answer to any command.
type Report struct {
	// Refused is set when the command's token was too low or it could not be
	// carried out; the command had no effect.
	Refused string `json:"refused,omitempty"`
	// Seen is the highest token that the worker has seen.
	Seen domain.Token `json:"seen"`
	// Boot changes whenever the worker restarts with nothing running.
	Boot string `json:"boot"`
	// Clock is the worker's monotonic clock since its boot.
	Clock domain.Duration `json:"clock"`
	// Members are the gangs that the worker holds or remembers.
	Members []Member `json:"members"`
}

// Workers calls the agents of workers.
type Workers interface {
	// Do carries out one command. An error does not say whether it took effect.
	Do(ctx context.Context, worker domain.Worker, command Command) (Report, error)
}
