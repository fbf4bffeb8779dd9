package control

import (
	"fmt"
	"time"
)

// A worker that leaves takes its entry from the list. One that is cut off, hangs or crashes
// keeps it for some heartbeats of silence, and may run on until its lease is over. The removal
// of an entry does not say which of the two it was; how long before the entry was written does.
// When it was read says nothing: the list may be read late, or several entries at once.

// departureHeartbeats is how old an entry may be when it is removed, in heartbeats, for its worker
// to have left. One that expires is a heartbeat older at the least.
const departureHeartbeats = 2

// ListInterrupted takes it that removals may have been missed, or may have other causes, until
// now: the list was not read for a while, or is read anew.
func (c *Core) ListInterrupted(now time.Time) { c.listUnbrokenFrom = now }

// anchor takes a reading of the worker's clock by a call that was sent at a time: the clock
// showed it no sooner. The reading that bounds the clock best is kept.
func (w *worker) anchor(clockMS int64, sent time.Time) {
	if clockMS == 0 {
		return
	}
	if w.anchorAt.IsZero() || sent.Sub(w.anchorAt) > time.Duration(clockMS-w.anchorMS)*time.Millisecond {
		w.anchorMS, w.anchorAt = clockMS, sent
	}
}

// writtenAfter is the earliest time at which the worker can have written its newest entry, by the
// clock that the entry shows; ok is false where that is not known.
func (w *worker) writtenAfter() (at time.Time, ok bool) {
	if w.doubt || w.anchorAt.IsZero() || w.ClockMS == 0 || w.Born != w.born {
		return time.Time{}, false
	}
	after := time.Duration(w.ClockMS-w.anchorMS) * time.Millisecond
	if after < 0 {
		after = -stretched(-after)
	}
	return w.anchorAt.Add(after), true
}

// hasLeft tells whether the removal of a worker's entry shows that the worker has left: it had
// said that it drains, and was heard of too recently for the entry to have expired.
func (c *Core) hasLeft(w *worker, now time.Time) bool {
	written, known := w.writtenAfter()
	if !w.Draining || !known || written.Before(c.listUnbrokenFrom) {
		return false
	}
	age := now.Sub(written)
	return age >= 0 && age < departureHeartbeats*c.bounds.Heartbeat
}

// heard takes an answer to a call that was sent at a time. One that was sent after the
// worker's entry was removed shows that the removal had another cause.
func (w *worker) heard(sent time.Time) {
	if w.departed && sent.After(w.unlistedAt) {
		w.departed = false
	}
}

// removal is what an event tells of the removal of a worker's entry.
func (w *worker) removal(now time.Time) string {
	written, known := w.writtenAfter()
	if !known {
		return ""
	}
	return fmt.Sprintf("left=%t age_ms=%d", w.departed, now.Sub(written).Milliseconds())
}
