package configuration

import (
	"encoding/json"
	"sync"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Version counts the accepted changes of a deployment's configuration.
type Version uint64

// KindChange is the record kind of a Change in the log.
const KindChange = "configuration-change"

// Change sets and deletes entries, made against one version. Only what
// changes is carried, so that a change costs a few hundred bytes however much
// is declared.
type Change struct {
	ID       string                                     `json:"id"`
	Base     Version                                    `json:"base"`
	Operator string                                     `json:"operator,omitempty"`
	Accounts map[domain.AccountID]*domain.ClientAccount `json:"accounts,omitempty"`
	Classes  map[domain.ClassName]*domain.Class         `json:"classes,omitempty"`
	// OperatorTokenHashes replaces the hashes when it is not empty.
	OperatorTokenHashes []string `json:"operator_token_hashes,omitempty"`
}

// Empty tells whether the change changes nothing.
func (c Change) Empty() bool {
	return len(c.Accounts) == 0 && len(c.Classes) == 0 && len(c.OperatorTokenHashes) == 0
}

// Apply returns the declarations with the change made. A nil entry deletes.
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

// patch copies the map, so that a snapshot handed out earlier never changes.
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

// Diff returns the change that leads from one set of declarations to another.
func Diff(from, to Declarations) Change {
	change := Change{
		Accounts: diffMap(from.Accounts, to.Accounts),
		Classes:  diffMap(from.Classes, to.Classes),
	}
	if !sameJSON(from.OperatorTokenHashes, to.OperatorTokenHashes) {
		change.OperatorTokenHashes = to.OperatorTokenHashes
	}
	return change
}

func diffMap[K comparable, V any](from, to map[K]V) map[K]*V {
	out := map[K]*V{}
	for key, value := range to {
		if old, ok := from[key]; !ok || !sameJSON(old, value) {
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

func sameJSON(a, b any) bool {
	rawA, errA := json.Marshal(a)
	rawB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(rawA) == string(rawB)
}

// Snapshot is the configuration at one version. It is never changed.
type Snapshot struct {
	Version Version `json:"version"`
	// Offset is the log offset that follows the last record folded in.
	Offset       int64        `json:"offset"`
	Declarations Declarations `json:"declarations"`
	// LastChange is the id of the change that made this version.
	LastChange string `json:"last_change,omitempty"`
	// Operator is who made it.
	Operator string `json:"operator,omitempty"`
}

// Store holds the newest snapshot that an instance knows. Versions only go up,
// whatever order log records, snapshots and peers' words arrive in. Safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	current  Snapshot
	outcomes map[outcomeKey]Outcome
	accepted map[string]Outcome
	order    []outcomeKey
	watchers []chan struct{}
	// history holds past snapshots, oldest first.
	history []Snapshot
}

// Outcome is what became of one change in the log's order.
type Outcome struct {
	Accepted bool
	// Version is the one that the change made, or that beat it.
	Version Version
}

// keptOutcomes bounds how many outcomes a store remembers for operators who
// ask again after a lost answer.
const keptOutcomes = 1024

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

// Fold takes the change at one offset of the log. The log's order decides:
// a change counts only when its base is the version before it. The result
// depends on nothing but the version and the declarations before, which
// snapshots carry, so that every instance folds the same records to the same
// versions wherever it began to read. A change that was accepted and stands in
// the log again has a base that is no longer met. Offsets already folded are
// passed over.
func (s *Store) Fold(offset int64, change Change) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < s.current.Offset {
		return s.known(change.ID, change.Base, Outcome{Version: s.current.Version})
	}
	s.advance(offset)
	outcome := s.judge(change)
	if outcome.Accepted {
		s.current.Version = outcome.Version
		s.current.Declarations = change.Apply(s.current.Declarations)
		s.current.LastChange = change.ID
		s.current.Operator = change.Operator
		s.changed()
	}
	s.remember(change, outcome)
	return s.known(change.ID, change.Base, outcome)
}

// known returns the remembered outcome of a change: its acceptance under
// whatever base, else what became of it under this one.
func (s *Store) known(id string, base Version, otherwise Outcome) Outcome {
	if accepted, ok := s.accepted[id]; ok {
		return accepted
	}
	if outcome, ok := s.outcomes[outcomeKey{id, base}]; ok {
		return outcome
	}
	return otherwise
}

// outcomeKey is a change under one base; the same id may be tried again under a
// newer base after a conflict.
type outcomeKey struct {
	id   string
	base Version
}

func (s *Store) advance(offset int64) {
	s.current.Offset = max(s.current.Offset, offset+1)
}

// judge looks at the base alone. The instance that took the change has checked
// the declarations that follow from this base; checking again here would let
// daemons of different versions fold the same log differently.
func (s *Store) judge(change Change) Outcome {
	if change.Base != s.current.Version {
		return Outcome{Version: s.current.Version}
	}
	return Outcome{Accepted: true, Version: s.current.Version + 1}
}

func (s *Store) remember(change Change, outcome Outcome) {
	key := outcomeKey{change.ID, change.Base}
	s.outcomes[key] = outcome
	if outcome.Accepted {
		s.accepted[change.ID] = outcome
	}
	s.order = append(s.order, key)
	if len(s.order) > keptOutcomes {
		delete(s.outcomes, s.order[0])
		delete(s.accepted, s.order[0].id)
		s.order = s.order[1:]
	}
}

// Adopt takes a snapshot from a peer or the log. It is kept only when it is
// newer; the result says whether it was.
func (s *Store) Adopt(snapshot Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.current.Version {
		return false
	}
	// The offset moves with the version: records below it are part of the
	// snapshot, and Fold passes them over.
	s.current = snapshot
	if snapshot.LastChange != "" {
		s.remember(Change{ID: snapshot.LastChange, Base: snapshot.Version - 1}, Outcome{Accepted: true, Version: snapshot.Version})
	}
	s.changed()
	return true
}

// keptHistory bounds the versions that can be looked up and rolled back to.
const keptHistory = 100

func (s *Store) changed() {
	s.history = append(s.history, s.current)
	if len(s.history) > keptHistory {
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

// Outcome returns what became of a change, when it has been folded.
func (s *Store) Outcome(id string, base Version) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := Outcome{Version: noVersion}
	outcome := s.known(id, base, none)
	return outcome, outcome.Version != noVersion
}

// noVersion is none that a fold can reach.
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

// FoldEntry folds an entry of the configuration stream. Other kinds, and
// changes that can't be read, are passed over by every instance alike.
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
