package domain

// AccountID names a client account.
type AccountID string

// TeamID names a team within its client account.
type TeamID string

// ClassName names a class of jobs or requests.
type ClassName string

// DataCentre names one data centre of a deployment.
type DataCentre string

// Guarantee is a shape that an account may reclaim at any time, in one data
// centre, so that a data centre on its own can honour it.
type Guarantee struct {
	// DataCentre is where the guarantee holds.
	DataCentre DataCentre `json:"data_centre"`
	// Shape is the block of accelerators.
	Shape Shape `json:"shape"`
	// Count is how many such blocks are guaranteed; at least 1.
	Count int `json:"count"`
}

// Team is a share of a client account with a quota of its own.
type Team struct {
	// Nominal is the number of accelerators the team may use before it borrows
	// from its account's other teams.
	Nominal int `json:"nominal"`
	// Ceiling is the most accelerators the team may use; 0 means no ceiling.
	Ceiling int `json:"ceiling,omitempty"`
}

// ClientAccount is a customer with guarantees.
type ClientAccount struct {
	// Weight is the account's share when accounts compete for spare capacity;
	// at least 1.
	Weight int `json:"weight"`
	// Ceiling is the most accelerators the account may use in one data centre
	// beyond its guarantees; 0 means no ceiling.
	Ceiling int `json:"ceiling,omitempty"`
	// Guarantees are the shapes that the account may always reclaim.
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	// Teams by name; empty means that the account has no teams.
	Teams map[TeamID]Team `json:"teams,omitempty"`
	// TokenHashes are the hex SHA-256 hashes of the account's bearer tokens.
	// Two may be in force at once, so that a token is rotated without a gap.
	TokenHashes []string `json:"token_hashes"`
	// RequestsPerSecond bounds the account's requests at one instance.
	RequestsPerSecond float64 `json:"requests_per_second"`
}

// ClassKind says which pipeline serves a class.
type ClassKind string

// The kinds of class.
const (
	// RequestClass is served by backend servers on minions.
	RequestClass ClassKind = "request"
	// JobClass runs as a gang on workers.
	JobClass ClassKind = "job"
)

// Class is a declared kind of work.
type Class struct {
	Kind ClassKind `json:"kind"`
	// Expectation is the time within which an accepted unit should complete.
	Expectation Duration `json:"expectation"`
	// Idempotent work may be run again after a failure. Work that is not runs
	// at most once: it is never preempted, and never restarted once it may
	// have begun.
	Idempotent bool `json:"idempotent"`
	// Checkpointable gangs save their progress when they are preempted, and
	// continue from there.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Grace is the time a gang gets to checkpoint before it is stopped.
	Grace Duration `json:"grace,omitempty"`
	// Priority orders classes; higher goes first, and is shed last.
	Priority int `json:"priority"`
	// Urgent gangs start within seconds, at the cost of borrowers.
	Urgent bool `json:"urgent,omitempty"`
}

// Preemptible tells whether a gang of the class may be stopped for another.
func (c Class) Preemptible() bool { return c.Idempotent }
