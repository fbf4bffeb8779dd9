// Package admission validates a submitted job before anything is recorded: its fields, its
// class and team, and whether the data centre could ever run it. Each check is a filter;
// all filters are pure functions.
package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/guarantee"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// Snapshot is the state that the checks read besides the job.
type Snapshot struct {
	Declarations configuration.Declarations
	// Workers are the workers of the data centre as the platform lists them. While no list
	// has been read it is empty, and no job is refused as never-runnable.
	Workers []domain.Worker
}

// Filter returns nil if the job passes, or the reason for which it is refused.
type Filter func(job domain.Job, s Snapshot) *domain.Refusal

// Filters are the checks in the order in which Check applies them.
var Filters = []Filter{CheckFields, CheckClass, CheckTeam, CheckFeasible}

// Check applies all filters and returns the first refusal.
func Check(job domain.Job, s Snapshot) *domain.Refusal {
	for _, filter := range Filters {
		if refusal := filter(job, s); refusal != nil {
			return refusal
		}
	}
	return nil
}

// idPattern restricts ids to what fits into a URL path and a log line.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// IsValidID reports whether a caller's id of a job or request can be used.
func IsValidID(id string) bool { return idPattern.MatchString(id) }

// maxPayload is the largest payload of a job, in bytes.
const maxPayload = 64 << 10

// CheckFields validates the fields of the job itself.
func CheckFields(job domain.Job, _ Snapshot) *domain.Refusal {
	if !IsValidID(string(job.ID)) {
		return domain.Refuse(domain.ReasonInvalid, "id", "is missing, too long, or has characters other than letters, digits, '.', '_' and '-'",
			"choose an id of 1 to 128 such characters that begins with a letter or digit; reuse it to repeat the submission")
	}
	if problems := configuration.ShapeProblems("shape", job.Shape); len(problems) > 0 {
		p := problems[0]
		return domain.Refuse(domain.ReasonInvalid, p.Field, p.Message, p.Remedy)
	}
	if job.Estimate <= 0 {
		return domain.Refuse(domain.ReasonInvalid, "estimate", "must be above 0", `write the expected run time, such as "45m"; it need not be exact`)
	}
	if len(job.Payload) > maxPayload {
		return domain.Refuse(domain.ReasonTooLarge, "payload", fmt.Sprintf("has %d bytes, more than %d", len(job.Payload), maxPayload),
			"store the data elsewhere and pass its location")
	}
	return nil
}

// CheckClass checks that the job's class is declared as a class of jobs.
func CheckClass(job domain.Job, s Snapshot) *domain.Refusal {
	class, ok := s.Declarations.Classes[job.Class]
	if ok && class.Kind == domain.JobClass {
		return nil
	}
	return domain.Refuse(domain.ReasonUnknownClass, "class", fmt.Sprintf("%q is not a declared class of jobs", job.Class),
		"use a declared class, or have an operator declare it")
}

// CheckTeam checks that the job's team is declared if its account has teams, and that the
// job fits under the team's ceiling.
func CheckTeam(job domain.Job, s Snapshot) *domain.Refusal {
	teams := s.Declarations.Accounts[job.Account].Teams
	if len(teams) == 0 && job.Team == "" {
		return nil
	}
	team, ok := teams[job.Team]
	if !ok {
		return domain.Refuse(domain.ReasonInvalid, "team", fmt.Sprintf("%q is not a declared team of the account", job.Team),
			"use a declared team, or have an operator declare it")
	}
	if need := job.Shape.Accelerators(); team.Ceiling > 0 && need > team.Ceiling {
		return domain.Refuse(domain.ReasonNeverRunnable, "shape",
			fmt.Sprintf("needs %d accelerators, the team's ceiling is %d", need, team.Ceiling), "split the gang, or have the ceiling raised")
	}
	return nil
}

// CheckFeasible refuses a gang that would not fit into its data centre even if all workers
// were empty.
func CheckFeasible(job domain.Job, s Snapshot) *domain.Refusal {
	if len(s.Workers) == 0 {
		return nil
	}
	cluster := placement.NewCluster(s.Workers)
	var finder placement.Finder
	capacity := func(n *placement.Node) domain.Resources { return n.Worker.Capacity }
	if _, ok := finder.Find(cluster, job.Shape, placement.FirstFit, capacity); !ok {
		return neverRunnable(job, "block", finder.LargestBlock(cluster, job.Shape, capacity))
	}
	if s.Declarations.Classes[job.Class].Preemptible() {
		return nil
	}
	return checkPinnable(job, s, cluster)
}

// checkPinnable refuses a non-preemptible gang that fits neither into its own account's
// guarantees nor into the capacity outside all guarantees.
func checkPinnable(job domain.Job, s Snapshot, cluster *placement.Cluster) *domain.Refusal {
	guarantee.Bind(cluster, job.DataCentre, s.Declarations.Accounts, guarantee.Binding{})
	var finder placement.Finder
	ownCells := func(n *placement.Node) domain.Resources { return n.CellFree(job.Account) }
	if _, ok := finder.Find(cluster, job.Shape, placement.FirstFit, ownCells); ok {
		return nil
	}
	outsideCells := func(n *placement.Node) domain.Resources { return n.Worker.Capacity.Sub(n.CellTotal) }
	if _, ok := finder.Find(cluster, job.Shape, placement.FirstFit, outsideCells); ok {
		return nil
	}
	largest := max(finder.LargestBlock(cluster, job.Shape, ownCells), finder.LargestBlock(cluster, job.Shape, outsideCells))
	return neverRunnable(job, "block for non-preemptible gangs outside the guarantees", largest)
}

func neverRunnable(job domain.Job, what string, largest int) *domain.Refusal {
	return domain.Refuse(domain.ReasonNeverRunnable, "shape",
		fmt.Sprintf("the gang has %d tasks, the largest %s %s of %s holds %d", job.Shape.Tasks, adjacencyOrDefault(job.Shape), what, job.DataCentre, largest),
		"request fewer or smaller tasks or a looser adjacency, or use a preemptible class")
}

func adjacencyOrDefault(s domain.Shape) domain.Adjacency {
	if s.Adjacency == "" {
		return domain.Anywhere
	}
	return s.Adjacency
}

// Digest returns a hash of what the caller submitted. It shows when an id is reused with
// another body. The time of submission is not part of it.
func Digest(job domain.Job) string {
	raw, err := json.Marshal(struct {
		ID, Account, Team, Class, DataCentre, Payload string
		Shape                                         domain.Shape
		Estimate                                      domain.Duration
	}{string(job.ID), string(job.Account), string(job.Team), string(job.Class), string(job.DataCentre), job.Payload, job.Shape, job.Estimate})
	if err != nil {
		panic(err) // every field can be marshalled
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
