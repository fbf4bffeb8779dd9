// Package port defines the interfaces that the system requires of the platform: an
// append-only log service, a list of instances and backend servers, and the agents
// of workers. The implementations are HTTP clients; package standin contains small
// servers that replace the platform in development.
package port

import (
	"context"
	"encoding/json"

	"github.com/cobalttide/cobalttide/domain"
)

// Stream names one append-only sequence of records in the log service.
type Stream string

// Record is one record of a stream. The writer chooses ID, so that it can find out
// by reading whether an append whose answer was lost succeeded.
type Record struct {
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Data json.RawMessage `json:"data"`
}

// Entry is a record with its offset in the stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry `json:"entries"`
	// Oldest is the first offset that the log still retains.
	Oldest int64 `json:"oldest"`
	// Next is the offset to read from next.
	Next int64 `json:"next"`
	// End is the offset of the next append.
	End int64 `json:"end"`
}

// Log is the platform's log service.
type Log interface {
	// Append appends the records consecutively in one call and returns the offset
	// of the first. After an error they may or may not have been appended.
	Append(ctx context.Context, stream Stream, records []Record) (int64, error)
	// Read returns the entries from an offset on. If there are none, it waits for
	// one until ctx ends or the service's own timeout, and then returns an empty
	// page.
	Read(ctx context.Context, stream Stream, from int64) (Page, error)
}

// ListedInstance is an instance in the platform's list, which may be out of date.
type ListedInstance struct {
	ID         domain.InstanceID `json:"id"`
	DataCentre domain.DataCentre `json:"data_centre"`
	// Address is the IP and port at which peers reach the instance.
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ListVersions identifies the versions of the three lists. A list that the reader
// already has is not sent again, so that frequent reads are cheap.
type ListVersions struct {
	Instances string `json:"instances,omitempty"`
	Workers   string `json:"workers,omitempty"`
	Backends  string `json:"backends,omitempty"`
}

// ListQuery is a query for the lists.
type ListQuery struct {
	// Self is registered as alive if it has an ID.
	Self ListedInstance `json:"self"`
	// DataCentre restricts workers to one data centre; empty means all.
	DataCentre domain.DataCentre `json:"data_centre,omitempty"`
	// Known are the versions that the reader has.
	Known ListVersions `json:"known"`
}

// Inventory is the content of the platform's lists; each may be out of date.
type Inventory struct {
	Versions  ListVersions           `json:"versions"`
	Instances []ListedInstance       `json:"instances,omitempty"`
	Workers   []domain.Worker        `json:"workers,omitempty"`
	Backends  []domain.BackendServer `json:"backends,omitempty"`
}

// Merge returns the inventory with the lists that changed in an answer.
func (i Inventory) Merge(answer Inventory) Inventory {
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
	// List returns the lists whose versions differ from those that the reader has.
	List(ctx context.Context, query ListQuery) (Inventory, error)
}

// TaskState is the state of one gang's tasks on one worker.
type TaskState string

// The states of a gang member on its worker.
const (
	// TaskReserved has resources reserved under a lease, with nothing started.
	TaskReserved TaskState = "reserved"
	// TaskArmed has prepared processes that wait to be released.
	TaskArmed TaskState = "armed"
	// TaskRunning has released processes that are running.
	TaskRunning TaskState = "running"
	// TaskFinished ended on its own, successfully.
	TaskFinished TaskState = "finished"
	// TaskFailed ended on its own with an error.
	TaskFailed TaskState = "failed"
	// TaskStopped was stopped, or its lease expired.
	TaskStopped TaskState = "stopped"
	// TaskAbsent has no record on the worker.
	TaskAbsent TaskState = "absent"
)

// HoldsResources reports whether the member occupies resources of its worker.
func (s TaskState) HoldsResources() bool {
	return s == TaskReserved || s == TaskArmed || s == TaskRunning
}

// Verb is the operation of a command to a worker.
type Verb string

// Verbs of a worker's agent. All but VerbClaim are idempotent.
const (
	// VerbClaim raises the worker's fencing token and returns all its members.
	VerbClaim Verb = "claim"
	// VerbReserve reserves resources under a lease.
	VerbReserve Verb = "reserve"
	// VerbArm prepares processes without releasing them. It is refused after ValidUntil.
	VerbArm Verb = "arm"
	// VerbRelease starts the processes of an armed member. It is refused after
	// ValidUntil, when the lease of another member may end.
	VerbRelease Verb = "release"
	// VerbRenew extends the leases of the members of Gangs.
	VerbRenew Verb = "renew"
	// VerbCheckpoint saves the member's progress.
	VerbCheckpoint Verb = "checkpoint"
	// VerbStop stops a member and releases its resources.
	VerbStop Verb = "stop"
	// VerbForget deletes the record of an ended member.
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
	// Tasks and PerTask are the resources that VerbReserve reserves.
	Tasks   int              `json:"tasks,omitempty"`
	PerTask domain.Resources `json:"per_task,omitzero"`
	// Boot is the last boot of the worker that the sender has seen; a worker that
	// has restarted since refuses the command. Empty for VerbClaim.
	Boot string `json:"boot,omitempty"`
	// ValidUntil is the end of the lease, or of the command's validity, on the worker's
	// own clock. It is computed from a clock reading that the worker reported, so
	// that a command that arrives late cannot extend a lease beyond the end that its
	// sender assumes.
	ValidUntil domain.Duration `json:"until,omitempty"`
	// Payload is passed to the tasks by VerbArm.
	Payload string `json:"payload,omitempty"`
}

// Member is the state of one gang on a worker, as the worker reports it.
type Member struct {
	Gang domain.Incarnation `json:"gang"`
	// Members is the number of workers that the whole gang spans.
	Members int              `json:"members"`
	State   TaskState        `json:"state"`
	Tasks   int              `json:"tasks"`
	PerTask domain.Resources `json:"per_task"`
	// Result is set once the tasks have finished or failed.
	Result string `json:"result,omitempty"`
	// Progress is the run time saved by the last checkpoint.
	Progress domain.Duration `json:"progress,omitempty"`
	// UsedMemoryMiB is the measured memory of one task; it may be out of date.
	UsedMemoryMiB int `json:"used_memory_mib,omitempty"`
}

// Report is a worker's answer to any command.
type Report struct {
	// Refused is set if the command's token was too low or the command could not be
	// executed; the command then had no effect.
	Refused string `json:"refused,omitempty"`
	// HighestToken is the highest token that the worker has seen.
	HighestToken domain.Token `json:"seen"`
	// Boot identifies the worker's boot; it changes whenever the worker restarts
	// with nothing running.
	Boot string `json:"boot"`
	// Clock is the worker's monotonic clock since its boot.
	Clock domain.Duration `json:"clock"`
	// Members are the worker's gangs, including ended ones whose record it still
	// has.
	Members []Member `json:"members"`
}

// Workers calls the agents of workers.
type Workers interface {
	// Do executes one command. After an error it may or may not have taken effect.
	Do(ctx context.Context, worker domain.Worker, command Command) (Report, error)
}
