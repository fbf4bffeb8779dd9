package control

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// newMeasuredCore returns a planner with workers of which every third is slow and every third fast.
func newMeasuredCore(token int64, workers int) *Core {
	c := New(Bounds{}, token, time.Unix(1_000_000, 0))
	c.roundAt = c.startedAt
	for i := range workers {
		id := fmt.Sprintf("%016x", i*7919)
		c.workerFor(id).startMS = 1_800_000_000_000
		c.speeds[id] = &speed{runs: 30, sum: 30 * math.Log([]float64{0.6, 1, 1.6}[i%3])}
	}
	c.speedRecords.due = true
	return c
}

// restoreInto passes state records to a new planner with the next token.
func restoreInto(records []Record, token int64) *Core {
	c := New(Bounds{}, token, time.Unix(1_000_000, 0))
	c.roundAt = c.startedAt
	for _, r := range records {
		c.RestoreState(r.Key, r.Value)
	}
	return c
}

// Guards against records that are too large for the log at 18,000 workers, or of which so many are
// due at once that they delay the start orders of the round, and against speeds that a successor
// reads as others. It prints the size.
func TestSpeedRecordsAtTargetSize(t *testing.T) {
	c := newMeasuredCore(2, 18_000)
	newest, rounds, largest, total := map[string]Record{}, 0, 0, 0
	for ; rounds < 60 && c.speedRecords.due; rounds++ {
		batch := 0
		for _, r := range c.Changes() {
			newest[r.Key] = r
			largest, batch = max(largest, len(r.Value)), batch+len(r.Value)
		}
		if batch > maxSpeedBytes {
			t.Errorf("%d bytes of speeds are due in one round", batch)
		}
		total += batch
		c.roundAt = c.roundAt.Add(stateInterval)
		c.speedRecords.due = batch > 0
	}
	t.Logf("%d records of at most %d bytes, %d bytes in %d writes", len(newest), largest, total, rounds)
	if largest > 64<<10 || len(newest) != speedParts {
		t.Errorf("%d records of at most %d bytes", len(newest), largest)
	}
	var records []Record
	for _, r := range newest {
		records = append(records, r)
	}
	successor := restoreInto(records, 3)
	for id, s := range c.speeds {
		class := classOf(s.factor())
		if got := successor.speeds[id]; classOf(got.factor()) != class || (class != keptAverage && (got.runs != maxKeptRuns || math.Abs(got.logFactor()-s.logFactor()) > 0.006)) {
			t.Fatalf("%s: %+v was restored as %+v", id, s, got)
		}
	}
	if per := float64(total)/12_000 - 16; per > 20.5 {
		t.Errorf("an entry takes %.1f bytes beside the id", per)
	}
}

// Guards against a record in each round: only a change of a worker's class is worth a write. A
// worker that becomes average or leaves is removed from its record.
func TestSpeedsAreRecordedOnlyWhenAClassChanges(t *testing.T) {
	c := newMeasuredCore(2, 3)
	write := func(due bool) []Record {
		c.roundAt = c.roundAt.Add(stateInterval)
		c.speedRecords.due = due
		return c.Changes()
	}
	slow, fast := fmt.Sprintf("%016x", 0), fmt.Sprintf("%016x", 2*7919)
	if got := write(true); len(got) != 2 {
		t.Fatalf("%d records of one slow and one fast worker", len(got))
	}
	c.speeds[slow].sum *= 0.9
	if got := write(true); len(got) != 0 {
		t.Errorf("%d records without a change of class", len(got))
	}
	c.speeds[slow].sum = 0
	c.dropWorker(fast, c.roundAt)
	c.dropMissingSpeeds(c.roundAt.Add(2 * missingSpeedTime))
	for _, r := range write(true) {
		if len(r.Value) != 0 {
			t.Errorf("%s still holds %s", r.Key, r.Value)
		}
	}
	if len(restoreInto(nil, 3).speeds) != 0 {
		t.Error("a planner without records knows speeds")
	}
}

// Guards against a speed that stays wrong after another machine has taken over a worker's id, with
// and without a known start of its incarnation.
func TestWrongRestoredSpeedIsCorrectedWithinAFewRuns(t *testing.T) {
	records := newMeasuredCore(2, 3).Changes()
	id := fmt.Sprintf("%016x", 2*7919)
	for _, test := range []struct {
		startMS  int64
		wantRuns int
	}{{0, 6}, {1_900_000_000_000, 4}} {
		c := restoreInto(records, 3)
		if classOf(c.speeds[id].factor()) != keptFast {
			t.Fatalf("restored as %+v", c.speeds[id])
		}
		w := c.workerFor(id)
		w.startMS = test.startMS
		c.compareSpeedIncarnation(w)
		runs := 0
		for ; classOf(c.speeds[id].factor()) != keptSlow; runs++ {
			c.speeds[id].sum += math.Log(0.6)
			c.speeds[id].runs++
		}
		if runs > test.wantRuns {
			t.Errorf("started at %d: slow after %d runs, want %d", test.startMS, runs, test.wantRuns)
		}
	}
}

// Guards against runs that weigh twice on a worker's speed after it restarts, and against a worker that
// counts as slow for ever although it was not measured for many incarnations.
func TestIncarnationsLowerTheWeightOfSpeeds(t *testing.T) {
	c := New(Bounds{}, 2, time.Unix(1_000_000, 0))
	c.roundAt = c.startedAt
	key := decide.UnitKey{Job: "j"}
	rates := map[int]rating{}
	for i := range 9 {
		id := []string{"a", "b", "c"}[i%3]
		c.workerFor(id).startMS = 1
		rates[i] = rating{worker: id}
		if id == "a" {
			rates[i] = rating{id, math.Log(0.5)}
		}
	}
	c.jobs["j"] = &job{rates: map[decide.UnitKey]map[int]rating{key: rates}}
	now := c.startedAt.Add(speedsInterval)
	c.learnSpeeds(now)
	if s := c.speeds["a"]; s.openRuns != 3 {
		t.Fatalf("measured as %+v", s)
	}
	c.workers["a"].startMS++
	c.forgetIncarnation("a")
	c.learnSpeeds(now.Add(speedsInterval))
	if s := c.speeds["a"]; s != nil {
		t.Errorf("open runs of the earlier incarnation still count: %+v", s)
	}
	c.speeds["a"] = &speed{runs: 30, sum: 31.5 * math.Log(0.6)}
	for restart, want := range []float64{1.5, 0} {
		c.workers["a"].startMS++
		c.forgetIncarnation("a")
		got := 0.0
		if s := c.speeds["a"]; s != nil {
			got = s.runs
		}
		if got != want {
			t.Errorf("after %d restarts the speed rests on %.2f runs, want %.2f", restart+1, got, want)
		}
	}
}

// Guards against planners that alternate and forget, with each change, a part of what is known.
func TestSpeedsSurviveAlternatingPlanners(t *testing.T) {
	c := newMeasuredCore(2, 30)
	newest := map[string]Record{}
	for token := int64(3); token < 20; token++ {
		for _, r := range c.Changes() {
			newest[r.Key] = r
		}
		var records []Record
		for _, r := range newest {
			records = append(records, r)
		}
		c = restoreInto(records, token)
		c.learnSpeeds(c.roundAt)
	}
	slow, fast := 0, 0
	for _, s := range c.speeds {
		slow += int(min(1, max(0, -math.Round(10*s.logFactor()))))
		fast += int(min(1, max(0, math.Round(10*s.logFactor()))))
	}
	if slow != 10 || fast != 10 {
		t.Errorf("%d slow and %d fast workers after 17 planners, want 10 each", slow, fast)
	}
}

// Guards against a planner that takes over a record of speeds that it can't read, or in part.
func TestMalformedSpeedRecordIsIgnored(t *testing.T) {
	for _, state := range []string{`["a,1,10,2","b"]`, `["a,1,10,99"]`, `["a,1,999,2"]`, `["a,1,x,2"]`, `["a,-1,10,2"]`, `{"a":1}`} {
		c := restoreInto([]Record{{Key: StatePrefix + "speeds/3", Value: []byte(`{"t":2,"s":` + state + `}`)}}, 3)
		if e := c.Events(); len(c.speeds) != 0 || len(e) != 1 || e[0].Name != EventStateIgnored || strings.TrimSpace(e[0].Reason) == "" {
			t.Errorf("%s: %d speeds, events %+v", state, len(c.speeds), e)
		}
	}
}

// Guards against a record every second for a worker whose speed is near the threshold.
func TestSpeedNearThresholdIsRecordedOnce(t *testing.T) {
	for _, factors := range [][2]float64{{0.90, 0.915}, {1.11, 1.09}} {
		c := New(Bounds{}, 2, time.Unix(1_000_000, 0))
		c.workerFor("a").startMS = 1
		c.speeds["a"] = &speed{runs: 30}
		records := 0
		for i := range 20 {
			c.roundAt = c.startedAt.Add(time.Duration(i) * stateInterval)
			c.speeds["a"].sum = (30 + speedPrior) * math.Log(factors[i%2])
			c.speedRecords.due = true
			records += len(c.Changes())
		}
		if records != 1 {
			t.Errorf("%d records of a worker between %v", records, factors)
		}
		c.roundAt = c.roundAt.Add(stateInterval)
		c.speeds["a"].sum, c.speedRecords.due = 0, true
		if got := c.Changes(); len(got) != 1 || len(got[0].Value) != 0 {
			t.Errorf("an average worker is still recorded: %+v", got)
		}
	}
}

// Guards against one bad entry, or one of another part, that discards all others of the record.
func TestBadSpeedEntryIsLeftOut(t *testing.T) {
	part := speedPart("a")
	other := 0
	for speedPart(fmt.Sprint(other)) == part {
		other++
	}
	state := fmt.Sprintf(`{"t":2,"s":["a,1,-50,3","a,1,-50,9","%d,1,-50,3"]}`, other)
	c := restoreInto([]Record{{Key: fmt.Sprintf("%sspeeds/%d", StatePrefix, part), Value: []byte(state)}}, 3)
	if e := c.Events(); len(c.speeds) != 1 || c.speeds["a"] == nil || len(e) != 1 || e[0].Name != EventStateIgnored {
		t.Errorf("%d speeds, events %+v", len(c.speeds), e)
	}
}

// BenchmarkChangedSpeeds measures the search for changed classes at the target size, once a second.
func BenchmarkChangedSpeeds(b *testing.B) {
	c := newMeasuredCore(2, 18_000)
	for b.Loop() {
		c.speedRecords.due = true
		c.changedSpeeds()
	}
}
