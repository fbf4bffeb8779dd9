package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"
)

// A planner records the workers that have runs and do not answer, with the ends of their leases. A
// successor then waits only for these ends, and not for those of leases that the planner might have
// granted since: in return the planner grants nothing to a recorded worker, and starts nothing there,
// before a record without it is in the log. docs/design/lease-bounds.md has the proof.

const (
	// silentRecordDelay is how long a worker is out of reach before it is recorded. Single calls
	// without an answer are frequent, and each change of the record costs a write.
	silentRecordDelay = time.Second
	// maxSilentWorkers limits a record to about 64 KB. Workers beyond it are not recorded.
	maxSilentWorkers = 2000
)

// silentState is the kind of state for the record of silent workers.
var silentState = stateKind{name: "silent", urgent: true, changed: (*Core).changedSilent, restore: (*Core).restoreSilent}

// silentRecord is the state of the record. All times are milliseconds since its planner started, by
// that planner's clock.
type silentRecord struct {
	Token int64 `json:"t"`
	// ClockMS is the time when the record was made.
	ClockMS int64 `json:"c"`
	// LeaseEndMS is when the lease of each silent worker must have ended.
	LeaseEndMS map[string]int64 `json:"w"`
}

// Predecessor is the planner that held the role right before this one.
type Predecessor struct {
	Token int64
	// Reached is a time at which everything that it has written was in the log.
	Reached time.Time
	// ClockMS is a reading of its clock in one of its records, as in silentRecord; 0 is none.
	ClockMS int64
}

// silentWorkers is what a planner has recorded.
type silentWorkers struct {
	predecessor Predecessor
	// inheritedEnds are the ends of leases that the predecessor has recorded.
	inheritedEnds map[string]time.Time
	// recorded are the lease ends in the last record that was made. held are the workers in any
	// record that may be the newest one in the log.
	recorded map[string]int64
	held     map[string]bool
}

var errWrongPlanner = errors.New("not-the-predecessor")

// SetPredecessor must be called before RestoreState.
func (c *Core) SetPredecessor(p Predecessor) { c.silent.predecessor = p }

// ClockMS returns a reading of this planner's clock for a record.
func (c *Core) ClockMS(now time.Time) int64 { return now.Sub(c.startedAt).Milliseconds() }

// HasSilentWorkers reports whether any worker is recorded as silent.
func (c *Core) HasSilentWorkers() bool { return len(c.silent.recorded) > 0 }

// isHeld reports whether a successor may rely on a record that the worker is silent.
func (c *Core) isHeld(w *worker) bool { return c.silent.held[w.ID] }

// changedSilent returns the record if the set of silent workers has changed.
func (c *Core) changedSilent() []statePart {
	if c.bounds.Horizon == 0 {
		return nil
	}
	ends := map[string]int64{}
	for _, w := range c.workersByID {
		if len(ends) < maxSilentWorkers && c.isSilent(w) {
			ends[w.ID] = c.recordedLeaseEnd(w)
		}
	}
	if maps.Equal(ends, c.silent.recorded) {
		return nil
	}
	c.silent.recorded = ends
	for id := range ends {
		c.silent.held[id] = true
	}
	c.emit(Event{Name: EventSilentRecorded, Detail: fmt.Sprintf("workers=%d", len(ends))})
	return []statePart{{state: silentRecord{Token: c.token, ClockMS: c.ClockMS(c.roundAt), LeaseEndMS: ends}}}
}

func (c *Core) isSilent(w *worker) bool {
	if len(w.runs) == 0 || w.reachable || w.gone || w.unansweredSince.IsZero() {
		return false
	}
	_, recorded := c.silent.recorded[w.ID]
	return recorded || c.roundAt.Sub(w.unansweredSince) >= silentRecordDelay
}

// recordedLeaseEnd returns when the lease of a silent worker must have ended. It does not change while
// the worker is recorded, since nothing is granted to it.
func (c *Core) recordedLeaseEnd(w *worker) int64 {
	if end, recorded := c.silent.recorded[w.ID]; recorded {
		return end
	}
	end := c.inheritedLeaseEnd(w)
	if w.everReached {
		end = w.leaseEnd()
	}
	return max(0, c.ClockMS(end)) + 1
}

// leaseEnd returns when the lease of a worker that has been reached must have ended.
func (w *worker) leaseEnd() time.Time {
	left := time.Duration(w.deadlineMS-w.clockMS) * time.Millisecond
	return w.clockAt.Add(LeaseTime(left))
}

// confirmSilent must be called once the last record is in the log.
func (c *Core) confirmSilent(now time.Time) {
	for id := range c.silent.held {
		if _, recorded := c.silent.recorded[id]; recorded {
			continue
		}
		delete(c.silent.held, id)
		if w := c.workers[id]; w != nil {
			w.nextRenewalAt = now
		}
	}
}

// restoreSilent takes over the record of the predecessor. The wait counts from when the successor
// knew the end of the log: the predecessor's clock had shown the newest reading before.
func (c *Core) restoreSilent(_ string, state json.RawMessage) error {
	record := silentRecord{}
	if err := json.Unmarshal(state, &record); err != nil {
		return err
	}
	p := c.silent.predecessor
	if p.Token == 0 || record.Token != p.Token {
		return errWrongPlanner
	}
	reading := max(record.ClockMS, p.ClockMS)
	for id, endMS := range record.LeaseEndMS {
		end := p.Reached.Add(time.Duration(endMS-reading)*time.Millisecond + lapseSlack)
		if earliest := c.startedAt.Add(firstContactTime); end.Before(earliest) {
			end = earliest
		}
		c.silent.inheritedEnds[id] = end
	}
	return nil
}

// inheritedLeaseEnd returns when leases given by earlier planners to a worker that has not answered
// yet must have expired.
func (c *Core) inheritedLeaseEnd(w *worker) time.Time {
	if end, known := c.silent.inheritedEnds[w.ID]; known && end.Before(c.inheritedLeasesEnd) {
		return end
	}
	return c.inheritedLeasesEnd
}
