package configuration

import (
	"encoding/json"
	"sync"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Version is the number of accepted changes of a deployment's configuration.
type Version uint64

// KindChange is the record kind of a Change in the log.
const KindChange = "configuration-change"

// Change sets and deletes entries relative to one version. It contains only the
// changed entries, so that a change takes a few hundred bytes whatever the size of
// the declarations.
type Change struct {
	ID       string                                     `json:"id"`
	Base     Version                                    `json:"base"`
	Operator string                                     `json:"operator,omitempty"`
	Accounts map[domain.AccountID]*domain.ClientAccount `json:"accounts,omitempty"`
	Classes  map[domain.ClassName]*domain.Class         `json:"classes,omitempty"`
	// OperatorTokenHashes replaces the hashes when it is not empty.
	OperatorTokenHashes []string `json:"operator_token_hashes,omitempty"`
}

// IsEmpty reports whether the change has no entries.
func (c Change) IsEmpty() bool {
	return len(c.Accounts) == 0 && len(c.Classes) == 0 && len(c.OperatorTokenHashes) == 0
}

// Apply returns the declarations with the change applied. A nil entry deletes.
func (c Change) Apply(d Declarations) Declarations {
	out := Declarations{
		Accounts:            patch(d.Accounts, c.Accounts),
		Classes:             patch(d.Classes, c.Classes),
		OperatorTokenHashes: d.OperatorTokenHashes,
	}
	if len(c.OperatorTokenHashes) > 0 {
		out.OperatorTokenHashes = c.OperatorTokenHashes
	}
	return out
}

// patch returns a changed copy of the map, so that snapshots returned earlier never
// change.
func patch[K comparable, V any](old map[K]V, change map[K]*V) map[K]V {
	out := make(map[K]V, len(old)+len(change))
	for key, value := range old {
		out[key] = value
	}
	for key, value := range change {
		if value == nil {
			delete(out, key)
			continue
		}
		out[key] = *value
	}
	return out
}

// Diff returns the change that turns one set of declarations into another.
func Diff(from, to Declarations) Change {
	change := Change{
		Accounts: diffMap(from.Accounts, to.Accounts),
		Classes:  diffMap(from.Classes, to.Classes),
	}
	if !equalJSON(from.OperatorTokenHashes, to.OperatorTokenHashes) {
		change.OperatorTokenHashes = to.OperatorTokenHashes
	}
	return change
}

func diffMap[K comparable, V any](from, to map[K]V) map[K]*V {
	out := map[K]*V{}
	for key, value := range to {
		if old, ok := from[key]; !ok || !equalJSON(old, value) {
			out[key] = &value
		}
	}
	for key := range from {
		if _, kept := to[key]; !kept {
			out[key] = nil
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

func equalJSON(a, b any) bool {
	rawA, errA := json.Marshal(a)
	rawB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(rawA) == string(rawB)
}

// Snapshot is the configuration at one version. It is immutable.
type Snapshot struct {
	Version Version `json:"version"`
	// Offset is the log offset after the last applied record.
	Offset       int64        `json:"offset"`
	Declarations Declarations `json:"declarations"`
	// LastChange is the id of the change that created this version.
	LastChange string `json:"last_change,omitempty"`
	// Operator is the operator who made that change.
	Operator string `json:"operator,omitempty"`
}

// Store contains the newest snapshot at an instance. Versions only increase, in
// whatever order records of the log and snapshots from peers arrive. It is safe
// for concurrent use.
type Store struct {
	mu       sync.Mutex
	current  Snapshot
	outcomes map[outcomeKey]Outcome
	accepted map[string]Outcome
	order    []outcomeKey
	watchers []chan struct{}
	// history contains the latest snapshots, oldest first.
	history []Snapshot
}

// Outcome is the result of applying one change in log order.
type Outcome struct {
	Accepted bool
	// Version is the version that the change created or, if it was rejected, the
	// version that it conflicts with.
	Version Version
}

// maxOutcomes is the number of outcomes that a store keeps for operators that retry
// after a lost answer.
const maxOutcomes = 1024

// NewStore returns a store at version 0.
func NewStore() *Store {
	return &Store{outcomes: map[outcomeKey]Outcome{}, accepted: map[string]Outcome{}}
}

// Current returns the newest snapshot.
func (s *Store) Current() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Fold applies the change at one offset of the log. A change is accepted only if
// its base is the current version, so the log order decides between concurrent
// changes. The result depends only on the preceding version and declarations,
// which snapshots contain, so that every instance derives the same versions from
// the same records, wherever it started to read. A change that was accepted and
// appears in the log again conflicts, because its base is no longer current.
// Offsets that are already applied are skipped.
func (s *Store) Fold(offset int64, change Change) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < s.current.Offset {
		return s.lookupOutcome(change.ID, change.Base, Outcome{Version: s.current.Version})
	}
	s.advance(offset)
	outcome := s.decide(change)
	if outcome.Accepted {
		s.current.Version = outcome.Version
		s.current.Declarations = change.Apply(s.current.Declarations)
		s.current.LastChange = change.ID
		s.current.Operator = change.Operator
		s.addVersion()
	}
	s.recordOutcome(change, outcome)
	return s.lookupOutcome(change.ID, change.Base, outcome)
}

// lookupOutcome returns the recorded outcome of a change: its acceptance under any
// base, otherwise its outcome under this base, otherwise fallback.
func (s *Store) lookupOutcome(id string, base Version, fallback Outcome) Outcome {
	if accepted, ok := s.accepted[id]; ok {
		return accepted
	}
	if outcome, ok := s.outcomes[outcomeKey{id, base}]; ok {
		return outcome
	}
	return fallback
}

// outcomeKey identifies a change under one base; the same id may be retried under a
// newer base after a conflict.
type outcomeKey struct {
	id   string
	base Version
}

func (s *Store) advance(offset int64) {
	s.current.Offset = max(s.current.Offset, offset+1)
}

// decide accepts or rejects a change by its base alone. The instance that received
// the change has validated the resulting declarations; validating them again here
// could make instances of different software versions derive different
// configurations from the same log.
func (s *Store) decide(change Change) Outcome {
	if change.Base != s.current.Version {
		return Outcome{Version: s.current.Version}
	}
	return Outcome{Accepted: true, Version: s.current.Version + 1}
}

func (s *Store) recordOutcome(change Change, outcome Outcome) {
	key := outcomeKey{change.ID, change.Base}
	s.outcomes[key] = outcome
	if outcome.Accepted {
		s.accepted[change.ID] = outcome
	}
	s.order = append(s.order, key)
	if len(s.order) > maxOutcomes {
		delete(s.outcomes, s.order[0])
		delete(s.accepted, s.order[0].id)
		s.order = s.order[1:]
	}
}

// Adopt replaces the current snapshot by one from a peer or the log if that is
// newer, and reports whether it did.
func (s *Store) Adopt(snapshot Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.current.Version {
		return false
	}
	// The offset is replaced with the version: the snapshot includes the records
	// below it, and Fold skips them.
	s.current = snapshot
	if snapshot.LastChange != "" {
		s.recordOutcome(Change{ID: snapshot.LastChange, Base: snapshot.Version - 1}, Outcome{Accepted: true, Version: snapshot.Version})
	}
	s.addVersion()
	return true
}

// maxHistory is the number of versions that can be looked up and rolled back to.
const maxHistory = 100

// addVersion adds the current snapshot to the history and notifies the watchers.
func (s *Store) addVersion() {
	s.history = append(s.history, s.current)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.notify()
}

// History returns up to limit versions, newest first.
func (s *Store) History(limit int) []Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Snapshot
	for i := len(s.history) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, s.history[i])
	}
	return out
}

// Outcome returns the outcome of a change, and whether it is known.
func (s *Store) Outcome(id string, base Version) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := Outcome{Version: noVersion}
	outcome := s.lookupOutcome(id, base, none)
	return outcome, outcome.Version != noVersion
}

// noVersion is a version that is never reached.
const noVersion = ^Version(0)

// Changed returns a channel that is closed at the next change of version.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	s.watchers = append(s.watchers, ch)
	return ch
}

func (s *Store) notify() {
	for _, ch := range s.watchers {
		close(ch)
	}
	s.watchers = nil
}

// FoldEntry applies an entry of the configuration stream. Every instance skips
// records of other kinds and changes that cannot be decoded, so that all agree.
func (s *Store) FoldEntry(e port.Entry) Outcome {
	var change Change
	if e.Record.Kind != KindChange || json.Unmarshal(e.Record.Data, &change) != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(e.Offset)
		return Outcome{Version: s.current.Version}
	}
	return s.Fold(e.Offset, change)
}
