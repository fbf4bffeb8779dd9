package control

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// testState is a kind of state for tests, with an urgent twin.
type testState struct{ number, urgent *int }

func newStateCore(token int64) (*Core, *testState) {
	c, s := New(Bounds{}, token, time.Unix(1_000_000, 0)), &testState{}
	c.roundAt = time.Unix(1_000_000, 0)
	kind := func(name string, urgent bool, at **int) stateKind {
		return stateKind{name: name, urgent: urgent,
			changed: func(*Core) []statePart {
				if *at == nil {
					return nil
				}
				part := statePart{"", **at}
				*at = nil
				return []statePart{part}
			},
			restore: func(_ *Core, _ string, state json.RawMessage) error {
				number := 0
				if err := json.Unmarshal(state, &number); err != nil {
					return errors.New("form")
				}
				*at = &number
				return nil
			},
		}
	}
	c.stateKinds = []stateKind{kind("number", false, &s.number), kind("urgent", true, &s.urgent)}
	return c, s
}

// Guards against a planner that writes its state in every round, that lets a state record alone
// cause a write within a second of the last one, or that holds back an urgent one.
func TestStateRecordsAreWrittenAtMostOncePerInterval(t *testing.T) {
	c, s := newStateCore(2)
	number, urgent := 7, 8
	began := time.Unix(1_000_000, 0)
	s.number = &number
	var at []int
	for tenth := range 35 {
		c.roundAt = began.Add(time.Duration(tenth) * 100 * time.Millisecond)
		if tenth == 13 {
			s.urgent = &urgent
		}
		for range c.Changes() {
			at = append(at, tenth)
		}
		s.number = &number
	}
	if want := []int{0, 10, 13, 23, 33}; !slices.Equal(at, want) {
		t.Fatalf("state records in rounds %v, want %v", at, want)
	}
}

// Guards against a successor that does without the state of its predecessor, and against one that
// takes over a record that no earlier planner wrote, that has another form, or that belongs to a
// newer version.
func TestSuccessorRestoresOnlyUsableStateRecords(t *testing.T) {
	before, state := newStateCore(2)
	number := 7
	state.number = &number
	records := before.Changes()
	if len(records) != 1 || !IsStateKey(records[0].Key) {
		t.Fatalf("records %v", records)
	}
	for _, test := range []struct {
		name, key, value string
		token            int64
		want             string
	}{
		{"a predecessor's", records[0].Key, string(records[0].Value), 3, ""},
		{"its own token", records[0].Key, string(records[0].Value), 2, "foreign-writer"},
		{"a later planner's", records[0].Key, string(records[0].Value), 1, "foreign-writer"},
		{"no token", records[0].Key, `{"s":7}`, 3, "foreign-writer"},
		{"no JSON", records[0].Key, `7}`, 3, "invalid"},
		{"another form", records[0].Key, `{"t":2,"s":"x"}`, 3, "form"},
		{"unknown key", StatePrefix + "other", `{"t":2,"s":7}`, 3, "unknown-key"},
	} {
		c, restored := newStateCore(test.token)
		c.RestoreState(test.key, []byte(test.value))
		events := c.Events()
		if len(events) != 1 || (events[0].Name == EventStateIgnored) != (test.want != "") || !strings.Contains(events[0].Reason, test.want) {
			t.Errorf("%s: events %+v", test.name, events)
		}
		if (restored.number != nil) != (test.want == "") {
			t.Errorf("%s: restored %v", test.name, restored.number)
		}
	}
}

// Guards against an older instance that takes a state record for a record of a job: it would wait
// for the job's other records before it claims the role, or report the job to callers.
func TestOlderInstancesIgnoreStateRecords(t *testing.T) {
	b := workload.NewBook()
	if err := b.Fold(1, StatePrefix+"number", []byte(`{"t":2,"s":{}}`)); err != nil {
		t.Error(err)
	}
	if _, known := b.Get("number"); known || !b.IsComplete() {
		t.Error("the book has a job")
	}
}
