package control

import "time"

// How long leases last after the loss of their planner. docs/design/lease-bounds.md has the proof.

// firstContactTime is how long a new planner waits for the first answers of workers, whatever is
// known of their leases: an answer also tells which runs have ended.
const firstContactTime = time.Second

// LeaseTime returns the time, by any instance's clock, after which a lease of the given length
// must have ended, even by a worker's clock that is slow.
func LeaseTime(lease time.Duration) time.Duration { return maxLeaseTime(lease) + lapseSlack }

// leasesEnd returns when all leases must have expired if no order was sent after the given time.
func leasesEnd(since time.Time, bounds Bounds) time.Time {
	return since.Add(LeaseTime(bounds.Lease))
}

// SetPredecessorSilentSince records that no earlier planner has sent an order after the given time.
func (c *Core) SetPredecessorSilentSince(since time.Time) {
	if end := leasesEnd(since, c.bounds); end.Before(c.inheritedLeasesEnd) {
		c.inheritedLeasesEnd = end
	}
}

// InheritedLeasesEnd returns when leases that earlier planners gave to workers which have not
// answered yet must have expired.
func (c *Core) InheritedLeasesEnd() time.Time { return c.inheritedLeasesEnd }

// LimitInheritedLeases records that leases given by earlier planners have ended by the given time.
func (c *Core) LimitInheritedLeases(end time.Time) {
	if earliest := c.startedAt.Add(firstContactTime); end.Before(earliest) {
		end = earliest
	}
	if end.Before(c.inheritedLeasesEnd) {
		c.inheritedLeasesEnd = end
	}
}

// AwaitedLeases returns the number of workers that are out of reach and whose runs are restarted only
// after their leases.
func (c *Core) AwaitedLeases() int {
	n := 0
	for _, w := range c.workersByID {
		if len(w.runs) > 0 && !w.reachable && !w.gone {
			n++
		}
	}
	return n
}

// RecordWrite records when a successful append was sent. If it was sent several times, this is the
// first time: the append may have been carried out then, and a successor may count from there.
func (c *Core) RecordWrite(sent time.Time) { c.lastWrite = sent }

// grantableLease returns the longest lease that may be granted now. It is negative beyond the
// horizon.
func (c *Core) grantableLease(now time.Time) time.Duration {
	if c.bounds.Horizon == 0 {
		return c.bounds.Lease
	}
	return min(c.bounds.Lease, c.lastWrite.Add(c.bounds.Horizon).Sub(now))
}

// nextDeadline returns the deadline for the next order. It is not extended while the worker does
// not answer, so that its lease expires, nor while a successor may rely on a record that it does not.
func (c *Core) nextDeadline(w *worker, now time.Time) int64 {
	if w.clockMS == 0 || (w.everReached && !w.reachable) || c.isHeld(w) {
		return c.lastDeadline(w)
	}
	if lease := c.grantableLease(now); lease > 0 {
		w.grantedMS = max(w.grantedMS, w.clockLowerBound(now)+lease.Milliseconds())
		w.deadlineMS = max(w.deadlineMS, w.grantedMS)
	}
	return c.lastDeadline(w)
}

// lastDeadline returns the deadline of an order that does not extend the worker's lease. With a
// horizon it leaves out what an earlier planner may have granted, which may lie beyond it.
func (c *Core) lastDeadline(w *worker) int64 {
	if c.bounds.Horizon == 0 {
		return w.deadlineMS
	}
	return w.grantedMS
}
