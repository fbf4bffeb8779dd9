package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// State that a planner leaves for its successor is in the log under keys that begin with
// StatePrefix. Losing it costs quality, never correctness: a successor that can't use a record
// starts without it.
//
// The prefix differs from all prefixes that workload.Book.Fold knows, so that instances of older
// versions ignore these records. "s/" is the prefix of job states: an older instance would enter
// such a record into its book as an accepted job.

// StatePrefix begins the keys of state records.
const StatePrefix = "h/"

// IsStateKey reports whether a key is that of a state record.
func IsStateKey(key string) bool {
	return len(key) > len(StatePrefix) && strings.HasPrefix(key, StatePrefix)
}

// stateInterval is the minimum time between two records of one kind of state, and between a state
// record and the next one that is written without other records. Each write costs one of the
// store's calls, which all instances share.
const stateInterval = time.Second

// stateKind is one kind of state.
type stateKind struct {
	// name is the key without StatePrefix. A kind that needs several records appends "/" and the
	// name of a part.
	name string
	// urgent is set if a change must be written at once, also without other records. changed
	// must then be cheap, since it is called in every round.
	urgent bool
	// changed returns the parts that differ from their records.
	changed func(c *Core) []statePart
	// restore takes over a part that an earlier planner has recorded.
	restore func(c *Core, part string, state json.RawMessage) error
}

// statePart is the new state of a part; "" is the only part of its kind. A nil state deletes the
// record.
type statePart struct {
	name  string
	state any
}

// stateKinds lists all kinds of state.
var stateKinds = []stateKind{speedsState, usageKind, silentState}

// stateRecord is the value of a state record.
type stateRecord struct {
	// Token is the fencing token of the planner that wrote the record.
	Token int64           `json:"t"`
	State json.RawMessage `json:"s"`
}

// Reasons for ignoring a state record.
var (
	errUnknownState  = errors.New("unknown-key")
	errForeignWriter = errors.New("foreign-writer")
)

// RestoreState takes over a state record that an earlier planner has left. It must be called before
// Adopt. A record that can't be used is ignored and stays in the log, since a planner of a newer
// version may have left it.
func (c *Core) RestoreState(key string, value []byte) {
	if err := c.restoreState(key, value); err != nil {
		c.emit(Event{Name: EventStateIgnored, Reason: err.Error(), Detail: fmt.Sprintf("key=%s bytes=%d", key, len(value))})
		return
	}
	c.emit(Event{Name: EventStateRestored, Detail: fmt.Sprintf("key=%s bytes=%d", key, len(value))})
}

func (c *Core) restoreState(key string, value []byte) error {
	name, part, _ := strings.Cut(strings.TrimPrefix(key, StatePrefix), "/")
	kind := c.stateKind(name)
	if kind == nil || !IsStateKey(key) {
		return errUnknownState
	}
	record := stateRecord{}
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	// All records that were there before this planner's claim have lower tokens.
	if record.Token <= 0 || record.Token >= c.token {
		return errForeignWriter
	}
	return kind.restore(c, part, record.State)
}

func (c *Core) stateKind(name string) *stateKind {
	for i := range c.stateKinds {
		if c.stateKinds[i].name == name {
			return &c.stateKinds[i]
		}
	}
	return nil
}

// addStateRecords appends the state records that are due to the other records of a round.
func (c *Core) addStateRecords(out []Record) []Record {
	alone := len(out) == 0
	for i := range c.stateKinds {
		kind := &c.stateKinds[i]
		if kind.urgent {
			if out = c.addStateKind(kind, out); len(out) > 0 {
				alone = false
			}
		}
	}
	if alone && c.roundAt.Sub(c.stateWrittenAt) < stateInterval {
		return out
	}
	for i := range c.stateKinds {
		kind := &c.stateKinds[i]
		if !kind.urgent && c.roundAt.Sub(c.stateKindWrittenAt[kind.name]) >= stateInterval {
			out = c.addStateKind(kind, out)
		}
	}
	return out
}

// addStateKind appends the changed parts of a kind.
func (c *Core) addStateKind(kind *stateKind, out []Record) []Record {
	for _, part := range kind.changed(c) {
		record, err := c.newStateRecord(kind.name, part)
		if err != nil {
			c.emit(Event{Name: EventStateIgnored, Reason: err.Error(), Detail: "key=" + record.Key})
			continue
		}
		out = append(out, record)
		c.stateWrittenAt = c.roundAt
		c.stateKindWrittenAt[kind.name] = c.roundAt
	}
	return out
}

func (c *Core) newStateRecord(name string, part statePart) (Record, error) {
	r := Record{Key: StatePrefix + name}
	if part.name != "" {
		r.Key += "/" + part.name
	}
	if part.state == nil {
		return r, nil
	}
	state, err := json.Marshal(part.state)
	if err == nil {
		r.Value, err = json.Marshal(stateRecord{Token: c.token, State: state})
	}
	return r, err
}
