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

// drawChange makes a change against any version, some of them stale, some of
// them not valid.
func drawChange(t *rapid.T, n int) Change {
	return Change{
		ID: fmt.Sprint("c", rapid.IntRange(0, n).Draw(t, "id")), Base: Version(rapid.IntRange(0, 4).Draw(t, "base")),
		Accounts: map[domain.AccountID]*domain.ClientAccount{
			domain.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")): account(rapid.IntRange(0, 3).Draw(t, "weight")),
		},
		OperatorTokenHashes: []string{someHash},
	}
}

// peer is one instance: a store, and how far it has read the log.
type peer struct {
	store *Store
	read  int
	seen  []Version
}

// driveFold lets instances read one log at their own pace, repeat reads, lose
// their memory, and adopt each other's snapshots in any order. adopt is
// replaced by mutants.
func driveFold(t *rapid.T, adopt func(*Store, Snapshot) bool) {
	var log []Change
	truth := NewStore()
	peers := []*peer{{store: NewStore()}, {store: NewStore()}, {store: NewStore()}}
	var kept []Snapshot
	any := func(t *rapid.T) *peer { return peers[rapid.IntRange(0, len(peers)-1).Draw(t, "peer")] }
	fold := func(p *peer) {
		if p.read < len(log) {
			p.store.Fold(int64(p.read), log[p.read])
			p.read++
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			for i, p := range peers {
				now := p.store.Current()
				if n := len(p.seen); n > 0 && now.Version < p.seen[n-1] {
					t.Fatalf("instance %d went back from version %d to %d", i, p.seen[n-1], now.Version)
				}
				p.seen = append(p.seen, now.Version)
				if now.Version > truth.Current().Version {
					t.Fatalf("instance %d is at version %d, the log has %d", i, now.Version, truth.Current().Version)
				}
				if now.Version == truth.Current().Version {
					if d := cmp.Diff(truth.Current().Declarations, now.Declarations); d != "" {
						t.Fatalf("instance %d differs at version %d: %s", i, now.Version, d)
					}
				}
			}
		},
		"append": func(t *rapid.T) {
			log = append(log, drawChange(t, len(log)))
			truth.Fold(int64(len(log)-1), log[len(log)-1])
		},
		"read": func(t *rapid.T) { fold(any(t)) }, "read on": func(t *rapid.T) { fold(any(t)) },
		"read again": func(t *rapid.T) {
			p := any(t)
			p.read = rapid.IntRange(0, p.read).Draw(t, "from")
		},
		"keep a snapshot": func(t *rapid.T) { kept = append(kept, any(t).store.Current()) },
		"adopt": func(t *rapid.T) {
			if len(kept) == 0 {
				t.Skip("no snapshot")
			}
			p := any(t)
			adopt(p.store, rapid.SampledFrom(kept).Draw(t, "snapshot"))
			p.read = max(p.read, min(len(log), int(p.store.Current().Offset)))
		},
		"replace": func(t *rapid.T) { *any(t) = peer{store: NewStore()} },
	})
	for i, p := range peers {
		for p.read < len(log) {
			fold(p)
		}
		if got, want := p.store.Current().Version, truth.Current().Version; got != want {
			t.Fatalf("instance %d ends at version %d, the log has %d", i, got, want)
		}
	}
}

func TestVersionsOnlyGoUpAndConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { driveFold(t, (*Store).Adopt) })
}

func TestVersionPropertyCatchesARevertedVersion(t *testing.T) {
	revert := func(s *Store, snapshot Snapshot) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.current = snapshot
		return true
	}
	if !seeded.Catches(t, func(t *rapid.T) { driveFold(t, revert) }) {
		t.Fatal("the property does not notice that versions go back")
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
		t.Errorf("first: %+v", first)
	}
	if second.Accepted || second.Version != 1 {
		t.Errorf("second: %+v", second)
	}
	repeated := s.Fold(2, change("first", 1))
	if !repeated.Accepted || repeated.Version != 1 || s.Current().Version != 1 {
		t.Errorf("a repeated change counts again: %+v", repeated)
	}
}

func TestUnknownRecordKindsArePassedOver(t *testing.T) {
	s := NewStore()
	s.FoldEntry(port.Entry{Offset: 0, Record: port.Record{Kind: "of-a-later-version", Data: json.RawMessage(`{}`)}})
	if got := s.Current().Offset; got != 1 {
		t.Errorf("the reader stands at %d", got)
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

// Whatever the text, decoding ends with a value or with a problem that names a
// remedy, and a value that was decoded can be encoded and decoded again.
func FuzzDeclarations(f *testing.F) {
	f.Add(`{"accounts": {"a": {"weight": 1, "ceiling": 2}}, /* comment */ "classes": {},}`)
	f.Add(`{"classes": {"c": {"kind": "job", "expectation": "1h"}}}`)
	f.Add(`{"accounts": {"a": {"wait": 1}}}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, text string) {
		var d Declarations
		if problem := DecodeStrict("file", []byte(text), &d); problem != nil {
			if problem.Remedy == "" || problem.Line < 0 || problem.Line > 1+strings.Count(text, "\n") {
				t.Fatalf("unhelpful: %+v", problem)
			}
			return
		}
		Validate(d)
		if d2 := d.Clone(); cmp.Diff(d, d2) != "" && !sameJSON(d, d2) {
			t.Fatal("declarations change when they are written and read")
		}
	})
}

// Guards against a conflict for a change that is repeated at an instance which has its version
// from a peer, and not the records that made it.
func TestTheChangeThatMadeAnAdoptedVersionIsKnown(t *testing.T) {
	made := NewStore()
	if outcome := made.Fold(0, Change{ID: "first"}); !outcome.Accepted {
		t.Fatalf("%+v", outcome)
	}
	late := NewStore()
	if !late.Adopt(made.Current()) {
		t.Fatal("the version is not adopted")
	}
	if outcome, known := late.Outcome("first", 0); !known || !outcome.Accepted || outcome.Version != 1 {
		t.Errorf("of the change that made the version: %+v, known %t", outcome, known)
	}
	if outcome := late.Fold(0, Change{ID: "first"}); !outcome.Accepted || outcome.Version != 1 {
		t.Errorf("its record is folded as %+v", outcome)
	}
	if outcome, known := late.Outcome("second", 0); known {
		t.Errorf("of a change that nobody made: %+v", outcome)
	}
}
