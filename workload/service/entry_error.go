package service

import "fmt"

// Fault is a stable code for what is wrong with an entry that another system has written.
type Fault string

// The faults of entries.
const (
	// FaultSyntax: the bytes can't be parsed.
	FaultSyntax Fault = "syntax"
	// FaultMissing: a field is missing, null or empty.
	FaultMissing Fault = "missing"
	// FaultType: a field has another type.
	FaultType Fault = "type"
	// FaultRange: a number is negative or implausibly large.
	FaultRange Fault = "range"
	// FaultUnknown: a value that is not defined, such as an undefined state.
	FaultUnknown Fault = "unknown"
)

// EntryError reports why an entry, or a part of one, is not used. The parts that could be
// decoded are used.
type EntryError struct {
	Fault Fault
	// Field is the path of the field; "" is the whole entry.
	Field   string
	Problem string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("the entry %s: write it in the format that the platform documents", e.Problem)
	}
	return fmt.Sprintf("%s %s: write it in the format that the platform documents", e.Field, e.Problem)
}
