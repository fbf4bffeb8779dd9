// Package admission checks a submitted job before anything is recorded: its
// fields, its class and team, and whether the fleet could ever run it. Each
// check is a filter; all are pure functions.
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

// Snapshot is what a check depends on besides the job.
type Snapshot struct {
	Declarations configuration.Declarations
	// Workers are the data centre's as the platform lists them; empty when no
	// list has been read yet, and then nothing is called never-runnable.
	Workers []domain.Worker
}

// Filter passes a job, or refuses it.
type Filter func(job domain.Job, s Snapshot) *domain.Refusal

// Pipe is the order of the filters.
var Pipe = []Filter{Fields, Class, Team, Feasible}

// Check passes the job through all filters.
func Check(job domain.Job, s Snapshot) *domain.Refusal {
	for _, filter := range Pipe {
		if refusal := filter(job, s); refusal != nil {
			return refusal
		}
	}
	return nil
}

// idPattern bounds ids to what fits a URL's path and a log line.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// ValidID tells whether a caller's id of a job or request can be used.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// maxPayload bounds a job's payload, in bytes.
const maxPayload = 64 << 10

// Fields checks the job by itself.
func Fields(job domain.Job, _ Snapshot) *domain.Refusal {
	if !ValidID(string(job.ID)) {
		return domain.Refuse(domain.ReasonInvalid, "id", "is missing or has other characters than letters, digits, '.', '_' and '-'",
			"choose an id of 1 to 128 such characters; repeat a submission with the same one")
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
			"store it elsewhere and pass its place")
	}
	return nil
}

// Class checks that the job's class is declared for jobs.
func Class(job domain.Job, s Snapshot) *domain.Refusal {
	class, ok := s.Declarations.Classes[job.Class]
	if ok && class.Kind == domain.JobClass {
		return nil
	}
	return domain.Refuse(domain.ReasonUnknownClass, "class", fmt.Sprintf("%q is not a declared class of jobs", job.Class),
		"use a declared class, or have an operator declare it")
}

// Team checks that the job's team is declared, where its account has teams.
func Team(job domain.Job, s Snapshot) *domain.Refusal {
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

// Feasible refuses a gang that the whole fleet of its data centre could not
// hold even if it were empty.
func Feasible(job domain.Job, s Snapshot) *domain.Refusal {
	if len(s.Workers) == 0 {
		return nil
	}
	cluster := placement.NewCluster(s.Workers)
	var finder placement.Finder
	whole := func(n *placement.Node) domain.Resources { return n.Worker.Capacity }
	if _, ok := finder.Find(cluster, job.Shape, placement.FirstFit, whole); !ok {
		return neverRunnable(job, "block", finder.LargestBlock(cluster, job.Shape, whole))
	}
	if s.Declarations.Classes[job.Class].Preemptible() {
		return nil
	}
	return pinned(job, s, cluster)
}

// pinned refuses a gang that can't be preempted and fits neither into its own
// account's guarantees nor beside everybody's.
func pinned(job domain.Job, s Snapshot, cluster *placement.Cluster) *domain.Refusal {
	guarantee.Bind(cluster, job.DataCentre, s.Declarations.Accounts, guarantee.Binding{})
	var finder placement.Finder
	own := func(n *placement.Node) domain.Resources { return n.CellFree(job.Account) }
	if _, ok := finder.Find(cluster, job.Shape, placement.FirstFit, own); ok {
		return nil
	}
	beside := func(n *placement.Node) domain.Resources { return n.Worker.Capacity.Sub(n.CellTotal) }
	if _, ok := finder.Find(cluster, job.Shape, placement.FirstFit, beside); ok {
		return nil
	}
	largest := max(finder.LargestBlock(cluster, job.Shape, own), finder.LargestBlock(cluster, job.Shape, beside))
	return neverRunnable(job, "block that it may pin beside the guarantees", largest)
}

func neverRunnable(job domain.Job, what string, largest int) *domain.Refusal {
	return domain.Refuse(domain.ReasonNeverRunnable, "shape",
		fmt.Sprintf("the gang has %d tasks, the largest %s %s of %s holds %d", job.Shape.Tasks, adjacency(job.Shape), what, job.DataCentre, largest),
		"ask for fewer or smaller tasks, for a looser adjacency, or use a class that can be preempted")
}

func adjacency(s domain.Shape) domain.Adjacency {
	if s.Adjacency == "" {
		return domain.Anywhere
	}
	return s.Adjacency
}

// Digest identifies what a caller submitted, so that an id reused with another
// body is noticed. The time of submission is not part of it.
func Digest(job domain.Job) string {
	raw, err := json.Marshal(struct {
		ID, Account, Team, Class, DataCentre, Payload string
		Shape                                         domain.Shape
		Estimate                                      domain.Duration
	}{string(job.ID), string(job.Account), string(job.Team), string(job.Class), string(job.DataCentre), job.Payload, job.Shape, job.Estimate})
	if err != nil {
		panic(err) // it holds nothing that can't be marshalled
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
