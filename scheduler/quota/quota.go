// Package quota keeps accounts' and teams' use apart from placement: nominal
// quotas, ceilings, borrowing and the dominant share (DRF, NSDI 2011) by which
// accounts take turns at spare capacity.
package quota

import (
	"github.com/cobalttide/cobalttide/domain"
)

// Usage is what each account and team uses in one data centre.
type Usage struct {
	// Capacity is the whole fleet's, the denominator of shares.
	Capacity domain.Resources
	accounts map[domain.AccountID]domain.Resources
	borrowed map[domain.AccountID]int
	teams    map[teamKey]int
}

type teamKey struct {
	account domain.AccountID
	team    domain.TeamID
}

// NewUsage returns the usage of an idle fleet.
func NewUsage(capacity domain.Resources) *Usage {
	return &Usage{
		Capacity: capacity,
		accounts: map[domain.AccountID]domain.Resources{},
		borrowed: map[domain.AccountID]int{},
		teams:    map[teamKey]int{},
	}
}

// Add books a gang. Guaranteed gangs count for teams, but not as borrowed.
func (u *Usage) Add(job domain.Job, guaranteed bool) {
	u.accounts[job.Account] = u.accounts[job.Account].Add(job.Shape.Total())
	u.teams[teamKey{job.Account, job.Team}] += job.Shape.Accelerators()
	if !guaranteed {
		u.borrowed[job.Account] += job.Shape.Accelerators()
	}
}

// DominantShare is the account's largest share of any resource, divided by its
// weight; the account with the lowest goes first.
func (u *Usage) DominantShare(id domain.AccountID, weight int) float64 {
	used := u.accounts[id]
	share := ratio(used.Accelerators, u.Capacity.Accelerators)
	share = max(share, ratio(used.CPU, u.Capacity.CPU))
	share = max(share, ratio(used.MemoryMiB, u.Capacity.MemoryMiB))
	return share / float64(max(1, weight))
}

func ratio(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Block is why a quota holds a job back.
type Block struct {
	// Limit names the limit: "team-ceiling" or "account-ceiling".
	Limit string
	// Need and Have are accelerators: what the job would bring the use to, and
	// the limit.
	Need, Have int
}

// TeamBlock returns the team's ceiling when the job would exceed it.
func (u *Usage) TeamBlock(job domain.Job, account domain.ClientAccount) *Block {
	team, declared := account.Teams[job.Team]
	if !declared || team.Ceiling == 0 {
		return nil
	}
	need := u.teams[teamKey{job.Account, job.Team}] + job.Shape.Accelerators()
	if need <= team.Ceiling {
		return nil
	}
	return &Block{Limit: "team-ceiling", Need: need, Have: team.Ceiling}
}

// BorrowBlock returns the account's ceiling on borrowing when the job would
// exceed it.
func (u *Usage) BorrowBlock(job domain.Job, account domain.ClientAccount) *Block {
	if account.Ceiling == 0 {
		return nil
	}
	need := u.borrowed[job.Account] + job.Shape.Accelerators()
	if need <= account.Ceiling {
		return nil
	}
	return &Block{Limit: "account-ceiling", Need: need, Have: account.Ceiling}
}

// OverNominal tells whether the job's team already uses its nominal quota, so
// that teams within theirs go first.
func (u *Usage) OverNominal(job domain.Job, account domain.ClientAccount) bool {
	team, declared := account.Teams[job.Team]
	return declared && u.teams[teamKey{job.Account, job.Team}] >= team.Nominal
}
