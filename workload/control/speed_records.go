package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cobalttide/cobalttide/workload/decide"
)

// A planner records the speeds that it has measured for its successor, which would otherwise place
// gangs on slow workers until it has measured them again: a first-priority gang that runs for 2 s
// on a worker of speed 0.6 is late. Speed belongs to the machine, so it is also kept for the next
// incarnation of a worker, with less weight.

// keptClass is a worker's class in a speed record; workers of average speed are not in one.
type keptClass int8

const (
	keptAverage keptClass = iota
	keptSlow
	keptFast
)

const (
	// minKeptRuns is the number of runs from which on a speed is recorded. After one run, a task
	// that is longer than the others of its step still makes its worker slow.
	minKeptRuns = 2
	// maxKeptRuns limits the weight of a recorded speed, in runs. A worker of speed 0.6 that
	// replaces one of 1.6 under the same id counts as slow after 6 runs, or after 4 if its
	// replacement is noticed.
	maxKeptRuns = 3
	// speedParts is the number of records that hold the speeds, by a hash of the id. With 18,000
	// workers and ids of 36 bytes a record has 31 KB.
	speedParts = 32
	// maxSpeedBytes limits the records that are due at once. The others follow a second later.
	maxSpeedBytes = 64 << 10
	// missingSpeedTime is how long the speed of a worker is kept that is not in the list: a machine
	// that is replaced under its id is back within the time of a restart, and a successor may take
	// some seconds to read the list.
	missingSpeedTime = time.Minute
	// maxKeptLog limits the logarithm of a recorded factor, which is measured with at most a
	// difference of maxApart per run.
	maxKeptLog = 2 * math.Ln2
	// maxUnrecordedLog is the logarithm of the factor 1.05 up to which a recorded worker is removed
	// from its record. Entries are made from 1.1 on: with one threshold for both, a worker near it was
	// written every second.
	maxUnrecordedLog = 0.0488
)

// speedsState is the state of kind "speeds".
var speedsState = stateKind{name: "speeds", changed: (*Core).changedSpeeds, restore: (*Core).restoreSpeeds}

// speedRecords is what is known of the recorded speeds.
type speedRecords struct {
	// due is set when speeds may have changed since the last records.
	due bool
	// dropped are the parts with an entry of a worker that is gone.
	dropped [speedParts]bool
	// next is the part that is recorded first.
	next int
}

// keptClass returns the class in which the worker is to be recorded. A worker that is recorded
// stays so until it counts as average.
func (s *speed) keptClass() keptClass {
	if s.recorded == keptAverage && s.runs+s.openRuns < minKeptRuns {
		return keptAverage
	}
	class := classOf(s.factor())
	if class == keptAverage && s.recorded == recordedClass(s.logFactor()) && math.Abs(s.logFactor()) > maxUnrecordedLog {
		return s.recorded
	}
	return class
}

// recordedClass returns the class that an entry with the given logarithm was recorded for.
func recordedClass(log float64) keptClass {
	switch {
	case log < 0:
		return keptSlow
	case log > 0:
		return keptFast
	}
	return keptAverage
}

func classOf(factor float64) keptClass {
	switch {
	case decide.IsSlow(factor):
		return keptSlow
	case decide.IsFast(factor):
		return keptFast
	}
	return keptAverage
}

// halveRuns halves the number of closed runs on which the speed rests, at most maxKeptRuns, without
// changing it. Open runs no longer count.
func (s *speed) halveRuns() {
	s.openSum, s.openRuns = 0, 0
	factor := s.logFactor()
	s.runs = min(s.runs, maxKeptRuns) / 2
	s.sum = factor * (s.runs + speedPrior)
}

func (c *Core) keepsSpeeds() bool { return !c.bounds.Disabled[decide.KeepSpeeds] }

// KnownSpeeds returns the number of workers whose speed was measured or taken over.
func (c *Core) KnownSpeeds() int { return len(c.speeds) }

// ageSpeed halves the weight of a worker's speed for its next incarnation, which may run on
// another machine. A speed that rests on less than one run is dropped, so that a worker that gets no
// runs is not slow for ever. Ratings of the earlier incarnation in open jobs are dropped too: they
// would be added again as closed runs at the jobs' end.
func (c *Core) ageSpeed(id string) {
	c.dropRatings(id)
	s := c.speeds[id]
	if s == nil {
		return
	}
	if !c.keepsSpeeds() {
		delete(c.speeds, id)
		return
	}
	if s.halveRuns(); s.runs < 1 {
		c.dropSpeed(id)
		return
	}
	if w := c.workers[id]; w != nil {
		s.startMS = w.startMS
	}
}

// dropRatings drops the ratings of a worker's runs in all jobs.
func (c *Core) dropRatings(id string) {
	for _, j := range c.jobs {
		for _, rates := range j.rates {
			maps.DeleteFunc(rates, func(_ int, r rating) bool { return r.worker == id })
		}
	}
}

// dropSpeed drops a worker's speed and has its record written without it.
func (c *Core) dropSpeed(id string) {
	if c.speeds[id].recorded != keptAverage {
		c.speedRecords.dropped[speedPart(id)] = true
	}
	delete(c.speeds, id)
}

// compareSpeedIncarnation ages the speed of a worker that answers as another incarnation than the
// one that was measured.
func (c *Core) compareSpeedIncarnation(w *worker) {
	s := c.speeds[w.ID]
	if s == nil || w.startMS == 0 {
		return
	}
	if startsDiffer(s.startMS, w.startMS) {
		c.ageSpeed(w.ID)
	}
	s.startMS = w.startMS
}

// keepMissingSpeed keeps the speed of a worker that is dropped, in case that it comes back.
func (c *Core) keepMissingSpeed(id string) {
	if s := c.speeds[id]; s != nil && c.keepsSpeeds() {
		s.missingSince = c.roundAt
		return
	}
	delete(c.speeds, id)
}

// dropMissingSpeeds drops the speeds of workers that have been missing for too long.
func (c *Core) dropMissingSpeeds(now time.Time) {
	for id, s := range c.speeds {
		switch {
		case c.workers[id] != nil:
			s.missingSince = time.Time{}
		case s.missingSince.IsZero():
			s.missingSince = now
		case now.Sub(s.missingSince) > missingSpeedTime:
			c.dropSpeed(id)
		}
	}
}

// speedPart returns the number of the record that holds a worker.
func speedPart(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % speedParts)
}

// changedSpeeds returns the parts in which the class of a worker has changed, up to maxSpeedBytes.
func (c *Core) changedSpeeds() []statePart {
	if !c.speedRecords.due || !c.keepsSpeeds() {
		return nil
	}
	c.speedRecords.due = false
	changed := c.speedRecords.dropped
	ids := [speedParts][]string{}
	for id, s := range c.speeds {
		class, part := s.keptClass(), speedPart(id)
		changed[part] = changed[part] || class != s.recorded
		if class != keptAverage {
			ids[part] = append(ids[part], id)
		}
	}
	var out []statePart
	bytes := 0
	for i := range speedParts {
		part := (c.speedRecords.next + i) % speedParts
		if !changed[part] {
			continue
		}
		if bytes > maxSpeedBytes/2 {
			c.speedRecords.next = part
			break
		}
		entries := c.speedEntries(ids[part])
		for _, e := range entries {
			bytes += len(e)
		}
		c.speedRecords.dropped[part] = false
		out = append(out, newSpeedPart(part, entries))
	}
	c.markSpeedsRecorded(out)
	return out
}

func newSpeedPart(part int, entries []string) statePart {
	out := statePart{name: strconv.Itoa(part)}
	if len(entries) > 0 {
		out.state = entries
	}
	return out
}

// markSpeedsRecorded records the classes that the parts hold.
func (c *Core) markSpeedsRecorded(parts []statePart) {
	if len(parts) == 0 {
		return
	}
	recorded := map[string]bool{}
	for _, p := range parts {
		recorded[p.name] = true
	}
	for id, s := range c.speeds {
		if recorded[strconv.Itoa(speedPart(id))] {
			s.recorded = s.keptClass()
		}
	}
}

// speedEntries returns the entries of workers: id, start time of the incarnation in base 36,
// logarithm of the factor in hundredths and number of runs, separated by commas. This takes at most
// 20 bytes beside the id.
func (c *Core) speedEntries(ids []string) []string {
	slices.Sort(ids)
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		s := c.speeds[id]
		startMS := s.startMS
		if w := c.workers[id]; w != nil && w.startMS != 0 {
			startMS = w.startMS
		}
		runs := min(math.Round(s.runs+s.openRuns), maxKeptRuns)
		out = append(out, fmt.Sprintf("%s,%s,%.0f,%.0f", id, strconv.FormatInt(startMS, 36), 100*s.logFactor(), max(1, runs)))
	}
	return out
}

var errSpeedForm = errors.New("form")

// restoreSpeeds takes over a record of speeds. New measurements override them.
// Entries that can't be read, and those of another part, are left out: they would stay
// when the record that holds their worker changes.
func (c *Core) restoreSpeeds(part string, state json.RawMessage) error {
	if !c.keepsSpeeds() {
		return errors.New("disabled")
	}
	var entries []string
	if err := json.Unmarshal(state, &entries); err != nil {
		return err
	}
	bad := 0
	for _, e := range entries {
		id, s, err := parseSpeedEntry(e)
		if err != nil || strconv.Itoa(speedPart(id)) != part {
			bad++
			continue
		}
		s.missingSince = c.startedAt
		s.recorded = recordedClass(s.logFactor())
		c.speeds[id] = s
	}
	if bad > 0 {
		return fmt.Errorf("%w of %d entries of %d", errSpeedForm, bad, len(entries))
	}
	return nil
}

// parseSpeedEntry is the inverse of speedEntries. Only the id may contain further commas.
func parseSpeedEntry(entry string) (string, *speed, error) {
	fields := strings.Split(entry, ",")
	n := len(fields)
	if n < 4 {
		return "", nil, errSpeedForm
	}
	startMS, err1 := strconv.ParseInt(fields[n-3], 36, 64)
	hundredths, err2 := strconv.Atoi(fields[n-2])
	runs, err3 := strconv.Atoi(fields[n-1])
	factor := float64(hundredths) / 100
	if errors.Join(err1, err2, err3) != nil || math.Abs(factor) > maxKeptLog || runs < 1 || runs > maxKeptRuns || startMS < 0 {
		return "", nil, errSpeedForm
	}
	s := &speed{runs: float64(runs), sum: factor * (float64(runs) + speedPrior), startMS: startMS}
	return strings.Join(fields[:n-3], ","), s, nil
}
