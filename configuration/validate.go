package configuration

import (
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/cobalttide/cobalttide/domain"
)

// Validate checks declarations as a whole and returns all problems in a stable
// order. It does not check them against the fleet; guarantee.Bind does.
func Validate(d Declarations) Problems {
	v := validator{}
	v.tokenHashes("operator_token_hashes", d.OperatorTokenHashes)
	for _, id := range sortedKeys(d.Accounts) {
		v.account("accounts."+string(id), d.Accounts[id])
	}
	for _, name := range sortedKeys(d.Classes) {
		v.class("classes."+string(name), d.Classes[name])
	}
	return v.problems
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

type validator struct{ problems Problems }

func (v *validator) add(field, message, remedy string) {
	v.problems = append(v.problems, Problem{Field: field, Message: message, Remedy: remedy})
}

func (v *validator) require(ok bool, field, message, remedy string) {
	if !ok {
		v.add(field, message, remedy)
	}
}

func (v *validator) tokenHashes(field string, hashes []string) {
	v.require(len(hashes) > 0, field, "no token is declared", "add the SHA-256 hash of a token: cobaltctl token")
	for i, hash := range hashes {
		raw, err := hex.DecodeString(hash)
		ok := err == nil && len(raw) == 32
		v.require(ok, fmt.Sprintf("%s[%d]", field, i), "not a hex SHA-256 hash", "use the 64 hex digits that cobaltctl token prints")
	}
}

func (v *validator) account(field string, a domain.ClientAccount) {
	v.require(a.Weight >= 1, field+".weight", "must be at least 1", "set the account's share, such as 1")
	v.require(a.Ceiling >= 0, field+".ceiling", "must not be negative", "use 0 for no ceiling")
	v.require(a.RequestsPerSecond > 0, field+".requests_per_second", "must be greater than 0", "set the account's rate limit at each instance")
	v.tokenHashes(field+".token_hashes", a.TokenHashes)
	for i, g := range a.Guarantees {
		at := fmt.Sprintf("%s.guarantees[%d]", field, i)
		v.require(g.DataCentre != "", at+".data_centre", "is missing", "name the data centre that guarantees the shape")
		v.require(g.Count >= 1, at+".count", "must be at least 1", "set the number of guaranteed blocks")
		v.shape(at+".shape", g.Shape)
	}
	for _, id := range sortedKeys(a.Teams) {
		t := a.Teams[id]
		at := fmt.Sprintf("%s.teams.%s", field, id)
		v.require(t.Nominal >= 0, at+".nominal", "must not be negative", "set the team's quota in accelerators")
		v.require(t.Ceiling == 0 || t.Ceiling >= t.Nominal, at+".ceiling", "is below the nominal quota", "raise it, or use 0 for no ceiling")
	}
}

func (v *validator) shape(field string, s domain.Shape) {
	v.problems = append(v.problems, ShapeProblems(field, s)...)
}

// ShapeProblems validates the shape of a guarantee or a job.
func ShapeProblems(field string, s domain.Shape) Problems {
	v := validator{}
	inRange := s.Tasks >= 1 && s.Tasks <= domain.MaxGangSize
	v.require(inRange, field+".tasks", fmt.Sprintf("%d is not within 1 to %d", s.Tasks, domain.MaxGangSize), "split the gang, or set at least one task")
	v.require(!s.PerTask.HasNegative(), field+".per_task", "must not be negative", "set accelerators, cpu and memory_mib to 0 or more")
	v.require(!s.PerTask.IsZero(), field+".per_task", "requests no resources", "set at least one of accelerators, cpu and memory_mib")
	v.require(s.Adjacency == "" || s.Adjacency.IsValid(), field+".adjacency", fmt.Sprintf("%q is unknown", s.Adjacency),
		"use same-worker, same-rack, neighbouring-racks or anywhere")
	return v.problems
}

func (v *validator) class(field string, c domain.Class) {
	validKind := c.Kind == domain.RequestClass || c.Kind == domain.JobClass
	v.require(validKind, field+".kind", fmt.Sprintf("%q is unknown", c.Kind), `use "request" or "job"`)
	v.require(c.Expectation > 0, field+".expectation", "must be greater than 0", `set the time that a caller expects, such as "2s"`)
	v.require(c.Grace >= 0, field+".grace", "must not be negative", "set the time to checkpoint")
	v.require(!c.Checkpointable || c.Grace > 0, field+".grace", "is missing for a checkpointable class", `set the time to checkpoint, such as "30s"`)
	v.require(!c.Urgent || c.Kind == domain.JobClass, field+".urgent", "only jobs can be urgent", "raise the request class's priority instead")
}
