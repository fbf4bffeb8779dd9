package workload

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// Records of another writer in our own topics: what can't be a job is refused, and the
// jobs beside it hold.
func TestRecordsOfAnotherWriterAreNoJobs(t *testing.T) {
	const id = JobID("00000000000000aa")
	for name, value := range map[string]string{
		"no JSON":                  "\xff{",
		"an array":                 "[]",
		"another job's":            `{"id":"00000000000000bb","steps":[{"count":1}]}`,
		"nobody's":                 `{"steps":[{"count":1}]}`,
		"a negative count":         `{"id":"00000000000000aa","steps":[{"count":-1}]}`,
		"a huge count":             `{"id":"00000000000000aa","steps":[{"count":1000000000}]}`,
		"a step that is not there": `{"id":"00000000000000aa","steps":[{"count":1,"depends_on":[7]}]}`,
		"itself before it":         `{"id":"00000000000000aa","steps":[{"count":1,"depends_on":[0]}]}`,
		"a need below zero":        `{"id":"00000000000000aa","steps":[{"count":1,"need":{"accelerators":-1}}]}`,
		"endless repetitions":      `{"id":"00000000000000aa","steps":[{"count":1}],"repetitions":99999999999}`,
		"steps of another type":    `{"id":"00000000000000aa","steps":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			fold(t, b, 0, AcceptedKey("00000000000000cc"), accepted(t, "00000000000000cc", "q"))
			if err := b.Fold(1, AcceptedKey(id), []byte(value)); err == nil {
				e, _ := b.Get(id)
				t.Errorf("taken for %+v", e.Job)
			}
			if e, known := b.Get("00000000000000cc"); !known || e.Job == nil {
				t.Error("the other job is gone")
			}
		})
	}
}

func TestProgressOfAnotherShapeIsNotTheJobs(t *testing.T) {
	job := &Job{ID: "00000000000000aa", Steps: []Step{{Count: 2}, {Count: 1}}}
	for value, good := range map[string]bool{
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
		if err := p.Check(job); (err == nil) != good {
			t.Errorf("%s: %v", value, err)
		}
	}
}

// What a planner writes of a job is always the job's.
func TestProgressThatWasMadeIsTheJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := &Job{ID: "00000000000000aa", Repetitions: rapid.IntRange(0, 4).Draw(t, "repetitions")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			job.Steps = append(job.Steps, Step{Count: rapid.IntRange(1, 5).Draw(t, "count")})
		}
		p := NewProgress()
		for range rapid.IntRange(0, job.Occurrences()).Draw(t, "created") {
			p.Create(job)
		}
		raw, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		again := NewProgress()
		if json.Unmarshal(raw, again) != nil || again.Check(job) != nil {
			t.Fatalf("%s: %v", raw, again.Check(job))
		}
	})
}

// Whatever bytes stand under whatever key, taking them in ends, and a job that results
// can be worked on.
func FuzzFold(f *testing.F) {
	f.Add("a/00000000000000aa", []byte(`{"id":"00000000000000aa","steps":[{"count":2},{"count":1,"depends_on":[0]}]}`))
	f.Add("p/00000000000000aa", []byte(`{"state":"running","open":[null]}`))
	f.Add("s/", []byte(`{}`))
	f.Add("c/x", []byte("\xff"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		b := NewBook()
		_ = b.Fold(1, key, value)
		b.All(func(_ JobID, e Entry) {
			if e.Job == nil || e.Job.Reduced {
				return
			}
			p := NewProgress()
			p.Create(e.Job)
			if err := p.Check(e.Job); err != nil {
				t.Fatal(err)
			}
		})
	})
}
