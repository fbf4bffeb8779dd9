package control

import "time"

// closure is why a worker gets nothing new. All causes close a worker in the same
// way: its room is not in the plan, and what waits does not wait for it. What runs
// there is held on, and ends or is stopped by the rules of its cause.
type closure string

// The causes, the one that lasts longest first: a worker that has several is counted
// under the first.
const (
	open closure = ""
	// evacuated: operators have asked that its data centre gets nothing new.
	evacuated closure = "evacuated"
	// draining: it leaves.
	draining closure = "draining"
	// unreadable: its entry in the list can't be understood.
	unreadable closure = "unreadable"
	// vacated: its host's maintenance is about to begin.
	vacated closure = "vacated"
	// centreSilent: calls to its data centre have no answer.
	centreSilent closure = "centre-silent"
	// silent: it has not answered.
	silent closure = "silent"
	// restarted: the list shows another life than the one that is known.
	restarted closure = "restarted"
	// strangers: it runs what it should not.
	strangers closure = "strange-runs"
	// short: its room has shrunk below what is there.
	short closure = "room-shrunk"
	// distrusted: it failed or refused one task after the other.
	distrusted closure = "distrusted"
)

// closure returns why a worker gets nothing new; open if it may.
func (c *Core) closure(w *worker, now time.Time) closure {
	if cause := c.removed(w); cause != open {
		return cause
	}
	switch {
	case c.vacating[w.ID]:
		return vacated
	case c.cutOff(w):
		return centreSilent
	case !w.met:
		return silent
	case w.doubt:
		return restarted
	case len(w.strange) > 0:
		return strangers
	case w.free().Short():
		return short
	case w.trust.closed(now):
		return distrusted
	}
	return open
}

// removed returns why nothing at all may begin on a worker any more; open if it may.
// For these causes a start that is already decided is taken back too, where the
// others only keep new decisions off.
func (c *Core) removed(w *worker) closure {
	switch {
	case c.evacuates(w):
		return evacuated
	case w.Draining:
		return draining
	case w.Unreadable:
		return unreadable
	}
	return open
}

// withdraw takes back what the batch would start on workers that were closed for
// good while the batch was written: on a log that is slow that takes seconds, after
// which the start would come later than a drain or an evacuation allows. A gang
// whose run has lost a member begins anew elsewhere. The records that were written
// do no harm: a successor finds that the runs never began.
func (c *Core) withdraw() {
	for _, l := range c.batch {
		if c.live[l.id] == l && !l.stopping {
			c.takeBack(l)
		}
	}
}

// takeBack gives up a run that has not begun, where its worker may begin nothing any
// more, or has no room for it any more: a worker that does not guard its room would be
// brought over it by an order that waited for its record, or is repeated. It returns whether
// it did.
func (c *Core) takeBack(l *live) bool {
	cause := c.removed(l.worker)
	if cause == open && l.worker.listed && l.worker.free().Short() {
		cause = short
	}
	if cause == open {
		return false
	}
	if l.step.Gang {
		c.breakGang(l, EndStopped, "")
		return true
	}
	c.stop(l, "place-"+string(cause))
	return true
}
