package service

import "fmt"

// Fault is what is wrong with an entry that others have written; a stable code.
type Fault string

// The faults of entries.
const (
	// FaultSyntax: the bytes can't be read at all.
	FaultSyntax Fault = "syntax"
	// FaultMissing: a field is missing, null or empty.
	FaultMissing Fault = "missing"
	// FaultType: a field is of another type.
	FaultType Fault = "type"
	// FaultRange: a figure is negative, or larger than anything that it may stand for.
	FaultRange Fault = "range"
	// FaultUnknown: a word that nobody has named, a state for one.
	FaultUnknown Fault = "unknown"
)

// EntryError says why an entry, or a part of one, is not used. What can be understood
// of the others holds.
type EntryError struct {
	Fault Fault
	// Field is the path of the field; "" is the whole entry.
	Field   string
	Problem string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("the entry %s: write it as the platform's pages have it", e.Problem)
	}
	return fmt.Sprintf("%s %s: write it as the platform's pages have it", e.Field, e.Problem)
}
