package control

import (
	"fmt"
	"time"
)

// A worker that shuts down removes its entry from the list. The entry of one that is cut off,
// hangs or crashes expires after some missed heartbeats, and the worker may run on until its
// lease expires. A removal does not say which of the two happened, but the age of the entry at
// its removal does. The time at which the entry was read does not: the list may be read late, or
// several versions of the entry at once.

// departureHeartbeats is the age, in heartbeats, below which a removed entry shows that its
// worker has left. An entry that expires is at least one heartbeat older.
const departureHeartbeats = 2

// RecordListGap records that removals up to now may have been missed or may have other causes,
// because the list was not read for a while or is read from the start.
func (c *Core) RecordListGap(now time.Time) { c.listContinuousSince = now }

// updateClockAnchor records a reading of the worker's clock by a call that was sent at the given
// time. The clock showed it no sooner. The reading that gives the tightest bound is kept.
func (w *worker) updateClockAnchor(clockMS int64, sent time.Time) {
	if clockMS == 0 {
		return
	}
	if w.anchorAt.IsZero() || sent.Sub(w.anchorAt) > time.Duration(clockMS-w.anchorMS)*time.Millisecond {
		w.anchorMS, w.anchorAt = clockMS, sent
	}
}

// entryWrittenAfter returns the earliest time at which the worker can have written its newest
// entry, computed from the clock reading in the entry. ok is false if that is unknown.
func (w *worker) entryWrittenAfter() (at time.Time, ok bool) {
	if w.endSuspected || w.anchorAt.IsZero() || w.ClockMS == 0 || w.StartMS != w.startMS {
		return time.Time{}, false
	}
	after := time.Duration(w.ClockMS-w.anchorMS) * time.Millisecond
	if after < 0 {
		after = -maxLeaseTime(-after)
	}
	return w.anchorAt.Add(after), true
}

// hasLeft reports whether the removal of a worker's entry shows that the worker has left: it was
// draining, and its entry was too recent to have expired.
func (c *Core) hasLeft(w *worker, now time.Time) bool {
	written, known := w.entryWrittenAfter()
	if !w.Draining || !known || written.Before(c.listContinuousSince) {
		return false
	}
	age := now.Sub(written)
	return age >= 0 && age < departureHeartbeats*c.bounds.Heartbeat
}

// recordAnswerSent records an answer to a call that was sent at the given time. An answer to a
// call that was sent after the removal of the worker's entry shows that the worker had not left.
func (w *worker) recordAnswerSent(sent time.Time) {
	if w.departed && sent.After(w.unlistedAt) {
		w.departed = false
	}
}

// removalDetail returns the event detail on the removal of a worker's entry.
func (w *worker) removalDetail(now time.Time) string {
	written, known := w.entryWrittenAfter()
	if !known {
		return ""
	}
	return fmt.Sprintf("left=%t age_ms=%d", w.departed, now.Sub(written).Milliseconds())
}
