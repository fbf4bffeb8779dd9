package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/internal/seeded"
	"github.com/cobalttide/cobalttide/port"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const someHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func account(weight int) *domain.ClientAccount {
	return &domain.ClientAccount{Weight: weight, RequestsPerSecond: 1, TokenHashes: []string{someHash}}
}

// drawChange generates a change against any version; some are stale, and some are
// invalid.
func drawChange(t *rapid.T, n int) Change {
	return Change{
		ID: fmt.Sprint("c", rapid.IntRange(0, n).Draw(t, "id")), Base: Version(rapid.IntRange(0, 4).Draw(t, "base")),
		Accounts: map[domain.AccountID]*domain.ClientAccount{
			domain.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")): account(rapid.IntRange(0, 3).Draw(t, "weight")),
		},
		OperatorTokenHashes: []string{someHash},
	}
}

// peer is one instance: its store, the next log offset to read, and the versions
// that were observed.
type peer struct {
	store      *Store
	nextOffset int
	versions   []Version
}

// checkStoreProperties simulates instances that read one log at different speeds,
// repeat reads, restart without state, and adopt each other's snapshots in any
// order. Mutants replace adopt.
func checkStoreProperties(t *rapid.T, adopt func(*Store, Snapshot) bool) {
	var log []Change
	reference := NewStore()
	peers := []*peer{{store: NewStore()}, {store: NewStore()}, {store: NewStore()}}
	var snapshots []Snapshot
	anyPeer := func(t *rapid.T) *peer { return peers[rapid.IntRange(0, len(peers)-1).Draw(t, "peer")] }
	fold := func(p *peer) {
		if p.nextOffset < len(log) {
			p.store.Fold(int64(p.nextOffset), log[p.nextOffset])
			p.nextOffset++
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for i, p := range peers {
				now := p.store.Current()
				if n := len(p.versions); n > 0 && now.Version < p.versions[n-1] {
					t.Fatalf("instance %d went from version %d back to %d", i, p.versions[n-1], now.Version)
				}
				p.versions = append(p.versions, now.Version)
				if now.Version > reference.Current().Version {
					t.Fatalf("instance %d is at version %d, but the log ends at version %d", i, now.Version, reference.Current().Version)
				}
				if now.Version == reference.Current().Version {
					if d := cmp.Diff(reference.Current().Declarations, now.Declarations); d != "" {
						t.Fatalf("instance %d has other declarations at version %d: %s", i, now.Version, d)
					}
				}
			}
		},
		"append": func(t *rapid.T) {
			log = append(log, drawChange(t, len(log)))
			reference.Fold(int64(len(log)-1), log[len(log)-1])
		},
		"read": func(t *rapid.T) { fold(anyPeer(t)) }, "read on": func(t *rapid.T) { fold(anyPeer(t)) },
		"read again": func(t *rapid.T) {
			p := anyPeer(t)
			p.nextOffset = rapid.IntRange(0, p.nextOffset).Draw(t, "from")
		},
		"keep a snapshot": func(t *rapid.T) { snapshots = append(snapshots, anyPeer(t).store.Current()) },
		"adopt": func(t *rapid.T) {
			if len(snapshots) == 0 {
				t.Skip("no snapshot")
			}
			p := anyPeer(t)
			adopt(p.store, rapid.SampledFrom(snapshots).Draw(t, "snapshot"))
			p.nextOffset = max(p.nextOffset, min(len(log), int(p.store.Current().Offset)))
		},
		"replace": func(t *rapid.T) { *anyPeer(t) = peer{store: NewStore()} },
	})
	for i, p := range peers {
		for p.nextOffset < len(log) {
			fold(p)
		}
		if got, want := p.store.Current().Version, reference.Current().Version; got != want {
			t.Fatalf("instance %d ends at version %d, but the log ends at version %d", i, got, want)
		}
	}
}

func TestVersionsOnlyGoUpAndConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkStoreProperties(t, (*Store).Adopt) })
}

func TestVersionPropertyCatchesARevertedVersion(t *testing.T) {
	revert := func(s *Store, snapshot Snapshot) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.current = snapshot
		return true
	}
	if !seeded.FailsForAnySeed(t, func(t *rapid.T) { checkStoreProperties(t, revert) }) {
		t.Fatal("the property does not detect that a version decreases")
	}
}

func TestOfTwoRacingChangesOneWinsAndTheOtherLearnsTheNewerVersion(t *testing.T) {
	s := NewStore()
	change := func(id string, weight int) Change {
		return Change{ID: id, Accounts: map[domain.AccountID]*domain.ClientAccount{"a": account(weight)}, OperatorTokenHashes: []string{someHash}}
	}
	first := s.Fold(0, change("first", 1))
	second := s.Fold(1, change("second", 2))
	if !first.Accepted || first.Version != 1 {
		t.Errorf("outcome of the first change: %+v", first)
	}
	if second.Accepted || second.Version != 1 {
		t.Errorf("outcome of the second change: %+v", second)
	}
	repeated := s.Fold(2, change("first", 1))
	if !repeated.Accepted || repeated.Version != 1 || s.Current().Version != 1 {
		t.Errorf("a repeated change was applied again: %+v", repeated)
	}
}

func TestUnknownRecordKindsArePassedOver(t *testing.T) {
	s := NewStore()
	s.FoldEntry(port.Entry{Offset: 0, Record: port.Record{Kind: "of-a-later-version", Data: json.RawMessage(`{}`)}})
	if got := s.Current().Offset; got != 1 {
		t.Errorf("offset %d, want 1", got)
	}
}

func TestEveryMistakeIsReportedWithFieldAndRemedy(t *testing.T) {
	d := Declarations{
		Accounts: map[domain.AccountID]domain.ClientAccount{"a": {
			Guarantees: []domain.Guarantee{{Shape: domain.Shape{Tasks: 500, PerTask: domain.Resources{Accelerators: 1}, Adjacency: "close"}}},
			Teams:      map[domain.TeamID]domain.Team{"t": {Nominal: 9, Ceiling: 3}},
		}},
		Classes: map[domain.ClassName]domain.Class{"c": {Kind: "batch", Checkpointable: true}},
	}
	problems := Validate(d)
	for _, want := range []string{
		"operator_token_hashes", "accounts.a.weight", "accounts.a.requests_per_second", "accounts.a.token_hashes",
		"accounts.a.guarantees[0].data_centre", "accounts.a.guarantees[0].count", "accounts.a.guarantees[0].shape.tasks",
		"accounts.a.guarantees[0].shape.adjacency", "accounts.a.teams.t.ceiling", "classes.c.kind", "classes.c.expectation", "classes.c.grace",
	} {
		found := false
		for _, p := range problems {
			found = found || (p.Field == want && p.Remedy != "")
		}
		if !found {
			t.Errorf("no problem for %s in:\n%v", want, problems)
		}
	}
}

func TestCommittedDeclarationsAreValid(t *testing.T) {
	for _, deployment := range []string{"midlands", "vestmark"} {
		d, err := LoadDirectory("../deployments/" + deployment + "/declarations")
		if err != nil {
			t.Errorf("%s: %v", deployment, err)
		}
		if problems := Validate(d); len(problems) > 0 {
			t.Errorf("%s: %v", deployment, problems)
		}
	}
}

// Decoding any text yields either a value or a problem with a remedy, and a decoded
// value survives encoding and decoding.
func FuzzDeclarations(f *testing.F) {
	f.Add(`{"accounts": {"a": {"weight": 1, "ceiling": 2}}, /* comment */ "classes": {},}`)
	f.Add(`{"classes": {"c": {"kind": "job", "expectation": "1h"}}}`)
	f.Add(`{"accounts": {"a": {"wait": 1}}}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, text string) {
		var d Declarations
		if problem := DecodeStrict("file", []byte(text), &d); problem != nil {
			if problem.Remedy == "" || problem.Line < 0 || problem.Line > 1+strings.Count(text, "\n") {
				t.Fatalf("problem without a remedy or with an invalid line: %+v", problem)
			}
			return
		}
		Validate(d)
		if d2 := d.Clone(); cmp.Diff(d, d2) != "" && !equalJSON(d, d2) {
			t.Fatal("declarations changed by encoding and decoding")
		}
	})
}

// Guards against reporting a conflict for a change that is repeated at an instance
// which adopted the version from a peer and has not read the record of the change.
func TestTheChangeThatMadeAnAdoptedVersionIsKnown(t *testing.T) {
	original := NewStore()
	if outcome := original.Fold(0, Change{ID: "first"}); !outcome.Accepted {
		t.Fatalf("the change was not accepted: %+v", outcome)
	}
	adopter := NewStore()
	if !adopter.Adopt(original.Current()) {
		t.Fatal("the snapshot was not adopted")
	}
	if outcome, known := adopter.Outcome("first", 0); !known || !outcome.Accepted || outcome.Version != 1 {
		t.Errorf("outcome of the change that created the version: %+v, known %t", outcome, known)
	}
	if outcome := adopter.Fold(0, Change{ID: "first"}); !outcome.Accepted || outcome.Version != 1 {
		t.Errorf("outcome when its record is applied: %+v", outcome)
	}
	if outcome, known := adopter.Outcome("second", 0); known {
		t.Errorf("outcome of a change that was never made: %+v", outcome)
	}
}
