package domain

// AccountID names a client account.
type AccountID string

// TeamID names a team within its client account.
type TeamID string

// ClassName names a class of jobs or requests.
type ClassName string

// DataCentre names one data centre of a deployment.
type DataCentre string

// Guarantee is a shape that an account may reclaim at any time. It applies to one
// data centre, so that an isolated data centre can honour it.
type Guarantee struct {
	// DataCentre is the data centre in which the guarantee applies.
	DataCentre DataCentre `json:"data_centre"`
	// Shape is the guaranteed block of accelerators.
	Shape Shape `json:"shape"`
	// Count is the number of guaranteed blocks; at least 1.
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
	// Teams are the account's teams by name; empty means that it has none.
	Teams map[TeamID]Team `json:"teams,omitempty"`
	// TokenHashes are the hex SHA-256 hashes of the account's bearer tokens.
	// Two may be valid at once, so that a token can be rotated without a gap.
	TokenHashes []string `json:"token_hashes"`
	// RequestsPerSecond is the account's rate limit at each instance.
	RequestsPerSecond float64 `json:"requests_per_second"`
}

// ClassKind selects the pipeline that serves a class.
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
	// Expectation is the time within which an accepted job or request should
	// complete.
	Expectation Duration `json:"expectation"`
	// Idempotent work may be run again after a failure. Other work runs at most
	// once: it is never preempted, and never restarted once it may have started.
	Idempotent bool `json:"idempotent"`
	// Checkpointable gangs save their progress when they are preempted, and resume
	// from it.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Grace is the time a gang gets to checkpoint before it is stopped.
	Grace Duration `json:"grace,omitempty"`
	// Priority orders classes; a higher one is served first and shed last.
	Priority int `json:"priority"`
	// Urgent gangs start within seconds, by preempting borrowers.
	Urgent bool `json:"urgent,omitempty"`
}

// Preemptible reports whether a gang of the class may be stopped for another.
func (c Class) Preemptible() bool { return c.Idempotent }
