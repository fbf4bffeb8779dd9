// Package quota accounts for what client accounts and teams use, independently of
// placement: nominal quotas, ceilings, borrowing, and the dominant share (DRF, NSDI 2011)
// by which accounts take turns at spare capacity.
package quota

import (
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload/share"
)

// Usage holds what each account and team uses in one data centre.
type Usage struct {
	// Capacity is that of all schedulable workers, the denominator of shares.
	Capacity domain.Resources
	accounts map[domain.AccountID]domain.Resources
	borrowed map[domain.AccountID]int
	teams    map[teamKey]int
}

type teamKey struct {
	account domain.AccountID
	team    domain.TeamID
}

// NewUsage returns an empty usage.
func NewUsage(capacity domain.Resources) *Usage {
	return &Usage{
		Capacity: capacity,
		accounts: map[domain.AccountID]domain.Resources{},
		borrowed: map[domain.AccountID]int{},
		teams:    map[teamKey]int{},
	}
}

// Add adds a gang. A guaranteed gang counts towards its team's use, but is not borrowed.
func (u *Usage) Add(job domain.Job, guaranteed bool) {
	u.accounts[job.Account] = u.accounts[job.Account].Add(job.Shape.Total())
	u.teams[teamKey{job.Account, job.Team}] += job.Shape.Accelerators()
	if !guaranteed {
		u.borrowed[job.Account] += job.Shape.Accelerators()
	}
}

// DominantShare returns the account's largest share of any resource, divided by its
// weight. The account with the lowest value goes first.
func (u *Usage) DominantShare(id domain.AccountID, weight int) float64 {
	return share.Weighted(share.Dominant(shareResources(u.accounts[id]), shareResources(u.Capacity)), float64(max(1, weight)))
}

func shareResources(r domain.Resources) share.Resources {
	return share.Resources{CPU: int64(r.CPU), Memory: int64(r.MemoryMiB), Accelerators: int64(r.Accelerators)}
}

// Exceeded describes a limit that a job would exceed.
type Exceeded struct {
	// Limit names the limit: "team-ceiling" or "account-ceiling".
	Limit string
	// Need and Have are accelerators: the use that the job would lead to, and the limit.
	Need, Have int
}

// CheckTeamCeiling returns the team's ceiling if the job would exceed it, or nil.
func (u *Usage) CheckTeamCeiling(job domain.Job, account domain.ClientAccount) *Exceeded {
	team, declared := account.Teams[job.Team]
	if !declared || team.Ceiling == 0 {
		return nil
	}
	need := u.teams[teamKey{job.Account, job.Team}] + job.Shape.Accelerators()
	if need <= team.Ceiling {
		return nil
	}
	return &Exceeded{Limit: "team-ceiling", Need: need, Have: team.Ceiling}
}

// CheckAccountCeiling returns the account's ceiling on borrowing if the job would exceed
// it, or nil.
func (u *Usage) CheckAccountCeiling(job domain.Job, account domain.ClientAccount) *Exceeded {
	if account.Ceiling == 0 {
		return nil
	}
	need := u.borrowed[job.Account] + job.Shape.Accelerators()
	if need <= account.Ceiling {
		return nil
	}
	return &Exceeded{Limit: "account-ceiling", Need: need, Have: account.Ceiling}
}

// IsOverNominal reports whether the job's team already uses its whole nominal quota. Teams
// within theirs go first.
func (u *Usage) IsOverNominal(job domain.Job, account domain.ClientAccount) bool {
	team, declared := account.Teams[job.Team]
	return declared && u.teams[teamKey{job.Account, job.Team}] >= team.Nominal
}
