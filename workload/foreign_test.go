package workload

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// Another writer may put records into our topics: those that can't be jobs are refused, and the
// other jobs are unaffected.
func TestForeignRecordsAreNotReadAsJobs(t *testing.T) {
	const id = JobID("00000000000000aa")
	for name, value := range map[string]string{
		"invalid JSON":           "\xff{",
		"an array":               "[]",
		"another job's id":       `{"id":"00000000000000bb","steps":[{"count":1}]}`,
		"no id":                  `{"steps":[{"count":1}]}`,
		"a negative count":       `{"id":"00000000000000aa","steps":[{"count":-1}]}`,
		"a huge count":           `{"id":"00000000000000aa","steps":[{"count":1000000000}]}`,
		"a missing dependency":   `{"id":"00000000000000aa","steps":[{"count":1,"depends_on":[7]}]}`,
		"a dependency on itself": `{"id":"00000000000000aa","steps":[{"count":1,"depends_on":[0]}]}`,
		"a negative need":        `{"id":"00000000000000aa","steps":[{"count":1,"need":{"accelerators":-1}}]}`,
		"too many repetitions":   `{"id":"00000000000000aa","steps":[{"count":1}],"repetitions":99999999999}`,
		"steps of another type":  `{"id":"00000000000000aa","steps":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			fold(t, b, 0, AcceptedKey("00000000000000cc"), acceptance(t, "00000000000000cc", "q"))
			if err := b.Fold(1, AcceptedKey(id), []byte(value)); err == nil {
				e, _ := b.Get(id)
				t.Errorf("the record was read as %+v", e.Job)
			}
			if e, known := b.Get("00000000000000cc"); !known || e.Job == nil {
				t.Error("the other job is lost")
			}
		})
	}
}

func TestProgressThatDoesNotMatchTheJobIsRefused(t *testing.T) {
	job := &Job{ID: "00000000000000aa", Steps: []Step{{Count: 2}, {Count: 1}}}
	for value, valid := range map[string]bool{
		`{"next":1,"open":[{"s":[[{},{}],[{}]]}]}`: true,
		`{}`:                                             true,
		`{"next":1,"open":[null]}`:                       false,
		`{"next":1,"open":[{}]}`:                         false,
		`{"next":1,"open":[{"s":[[{},{}]]}]}`:            false,
		`{"next":1,"open":[{"s":[[{}],[{}]]}]}`:          false,
		`{"next":1,"open":[{"s":[[{},{}],[{},{}]]}]}`:    false,
		`{"next":1,"open":[{"k":3,"s":[[{},{}],[{}]]}]}`: false,
		`{"next":1,"open":[{"s":[[{"p":9},{}],[{}]]}]}`:  false,
		`{"next":1,"open":[{"s":[[{"r":-1},{}],[{}]]}]}`: false,
		`{"next":-1}`:                                    false,
		`{"next":7}`:                                     false,
	} {
		p := NewProgress()
		if err := json.Unmarshal([]byte(value), p); err != nil {
			t.Fatal(err)
		}
		if err := p.Validate(job); (err == nil) != valid {
			t.Errorf("progress %s: %v", value, err)
		}
	}
}

// Progress that a planner creates for a job always passes the check against that job.
func TestCreatedProgressMatchesTheJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := &Job{ID: "00000000000000aa", Repetitions: rapid.IntRange(0, 4).Draw(t, "repetitions")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			job.Steps = append(job.Steps, Step{Count: rapid.IntRange(1, 5).Draw(t, "count")})
		}
		p := NewProgress()
		for range rapid.IntRange(0, job.Occurrences()).Draw(t, "created") {
			p.AddOccurrence(job)
		}
		raw, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		again := NewProgress()
		if json.Unmarshal(raw, again) != nil || again.Validate(job) != nil {
			t.Fatalf("%s: %v", raw, again.Validate(job))
		}
	})
}

// Folding any bytes under any key terminates, and progress can be created for every job that
// results.
func FuzzFold(f *testing.F) {
	f.Add("a/00000000000000aa", []byte(`{"id":"00000000000000aa","steps":[{"count":2},{"count":1,"depends_on":[0]}]}`))
	f.Add("p/00000000000000aa", []byte(`{"state":"running","open":[null]}`))
	f.Add("s/", []byte(`{}`))
	f.Add("c/x", []byte("\xff"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		b := NewBook()
		_ = b.Fold(1, key, value)
		b.ForEach(func(_ JobID, e Entry) {
			if e.Job == nil || e.Job.Reduced {
				return
			}
			p := NewProgress()
			p.AddOccurrence(e.Job)
			if err := p.Validate(e.Job); err != nil {
				t.Fatal(err)
			}
		})
	})
}
