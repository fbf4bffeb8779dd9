package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// lapseSlack is added to the computed end of a lease.
const lapseSlack = 100 * time.Millisecond

// worker is what the planner knows of one life of a worker.
type worker struct {
	Listing
	// born is what its last answer told of when it was born; 0 is unknown.
	born       int64
	listed     bool
	unlistedAt time.Time
	labels     map[string]bool
	// clockMS was shown by the worker's clock at clockAt or before.
	clockMS int64
	clockAt time.Time
	// deadlineMS is the latest that any order has set.
	deadlineMS int64
	// met tells that it has answered a hold under this planner's token, and
	// every call since.
	met bool
	// ever tells that it has answered a hold under this planner's token.
	ever bool
	// gone lives never come back.
	gone   bool
	silent time.Time
	// seen is the number of the last end taken in; cursor the last one whose
	// effect is in the log; told the last one that the worker may forget.
	seen, batchCursor, cursor, told int64
	tasks                           map[workload.TaskID]*live
	// holding tells that a hold is under way.
	holding bool
	holdAt  time.Time
	trust   trust
	// coldUntil is when the worker is as fast as ever after its start; zero is now.
	coldUntil time.Time
	// leavesAt is when a draining worker may be gone; zero is never.
	leavesAt time.Time
	// strange holds what runs there and should not.
	strange map[workload.TaskID]int64
}

// stretched is the time that a lease lasts at most by our clock.
func stretched(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - clockDrift))
}

func (c *Core) workerFor(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{Listing: Listing{ID: id}, tasks: map[workload.TaskID]*live{}, strange: map[workload.TaskID]int64{}}
		c.workers[id] = w
	}
	return w
}

// List takes the platform's list over. A life that left the list is not taken
// for dead: it may be cut off and run on.
func (c *Core) List(list []Listing, now time.Time) {
	present := map[string]bool{}
	addresses := map[string]string{}
	for _, l := range list {
		present[l.ID] = true
		addresses[l.Address] = l.ID
		c.listOne(l, now)
	}
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		if present[id] {
			continue
		}
		if w.listed {
			w.listed = false
			w.unlistedAt = now
			c.note(Note{Event: EventWorkerUnlisted, Worker: id})
		}
		if successor := addresses[w.Address]; successor != "" && w.Address != "" {
			c.lose(w, whyTakenOver, now)
		}
		if !w.listed && len(w.tasks) == 0 {
			delete(c.workers, id)
			delete(c.speeds, id)
		}
	}
}

func (c *Core) listOne(l Listing, now time.Time) {
	w := c.workerFor(l.ID)
	if !w.listed {
		w.listed = true
		c.note(Note{Event: EventWorkerListed, Worker: l.ID, Detail: l.Rack})
	}
	if l.Draining && !w.Draining {
		c.note(Note{Event: EventWorkerDraining, Worker: l.ID})
	}
	if l.Unreadable && !w.Unreadable {
		c.note(Note{Event: EventWorkerUnreadable, Worker: l.ID})
	}
	resized := w.Capacity != l.Capacity && w.Address != ""
	w.leaving(l, now)
	w.warming(l, now)
	w.Listing = l
	w.labels = make(map[string]bool, len(l.Labels))
	for _, label := range l.Labels {
		w.labels[label] = true
	}
	if resized {
		c.note(Note{Event: EventWorkerResized, Worker: l.ID, Detail: fmt.Sprintf("cpu=%d mem_mib=%d accelerators=%d over=%t", l.Capacity.MilliCPU, l.Capacity.MemoryMiB, l.Capacity.Accelerators, w.free().Short())})
	}
	c.readClock(w, l.ClockMS, now)
}

// readClock takes a reading of the worker's clock that is already past. Only
// readings that move the known lower bound forward count.
func (c *Core) readClock(w *worker, clockMS int64, now time.Time) {
	if clockMS == 0 {
		return
	}
	if w.clockMS != 0 && clockMS < w.clockNow(now) {
		return
	}
	w.clockMS = clockMS
	w.clockAt = now
}

// clockNow is a lower bound of the worker's clock.
func (w *worker) clockNow(now time.Time) int64 {
	passed := now.Sub(w.clockAt)
	return w.clockMS + int64(float64(passed.Milliseconds())*(1-clockDrift))
}

// deadline returns the deadline for the next order. It is not raised while the
// worker does not answer, so that its lease comes to an end.
func (c *Core) deadline(w *worker, now time.Time) int64 {
	if w.clockMS == 0 || (w.ever && !w.met) {
		return w.deadlineMS
	}
	w.deadlineMS = max(w.deadlineMS, w.clockNow(now)+c.bounds.Lease.Milliseconds())
	return w.deadlineMS
}

// lapsed tells whether everything on a worker that does not answer must have
// been killed by the end of its lease.
func (c *Core) lapsed(w *worker, now time.Time) bool {
	if w.met {
		return false
	}
	if !w.ever && now.Before(c.strangersUntil) {
		return false
	}
	if w.deadlineMS == 0 {
		return true
	}
	left := time.Duration(w.deadlineMS-w.clockMS) * time.Millisecond
	return now.After(w.clockAt.Add(stretched(left) + lapseSlack))
}

// lose settles everything on a life that is gone for good.
func (c *Core) lose(w *worker, why string, now time.Time) {
	if w.gone {
		return
	}
	w.gone = true
	w.met = false
	c.note(Note{Event: EventWorkerGone, Worker: w.ID, Why: why})
	c.release(w, why, now)
}

// silence notes a call without an answer.
func (c *Core) silence(w *worker, now time.Time) {
	if w.met {
		w.silent = now
		c.note(Note{Event: EventWorkerSilent, Worker: w.ID})
	}
	w.met = false
}

// NeedsHold lists the workers that have something to be held, to be asked
// about or to be told, and no hold under way.
func (c *Core) NeedsHold(now time.Time) []string {
	var out []string
	probes := map[string]int{}
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		switch {
		case w.holding || now.Before(w.holdAt):
		case c.wantsHold(w):
			out = append(out, id)
		case c.probes(w) && probes[w.DataCentre] < probesOfCentre:
			probes[w.DataCentre]++
			out = append(out, id)
		}
	}
	return out
}

func (c *Core) wantsHold(w *worker) bool {
	if w.gone || w.Address == "" {
		return false
	}
	if len(w.tasks) > 0 || len(w.strange) > 0 || w.cursor > w.told {
		return true
	}
	return w.listed && !w.met
}

// probes tells whether an idle worker is asked to see whether its data centre
// answers again.
func (c *Core) probes(w *worker) bool { return w.listed && !w.gone && w.Address != "" && c.cutOff(w) }

// Hold returns the next hold of a worker; ok is false if it needs none.
func (c *Core) Hold(id string, now time.Time) (HoldOrder, bool) {
	w := c.workers[id]
	if w == nil || w.holding || (!c.wantsHold(w) && !c.probes(w)) || now.Before(w.holdAt) {
		return HoldOrder{}, false
	}
	w.holding = true
	order := HoldOrder{Worker: id, Address: w.Address, Token: c.token, Cursor: w.cursor}
	if w.met {
		order.DeadlineMS = c.deadline(w, now)
		order.Wait = c.lookAgain(w, c.bounds.Wait)
	} else {
		order.DeadlineMS = w.deadlineMS
	}
	if len(w.strange) > 0 || w.seen > w.cursor {
		// Ends that are still listed would be answered at once.
		order.Wait = 0
	}
	if len(w.tasks) == 0 {
		order.Wait = 0
		order.DeadlineMS = 0
	}
	return order, true
}
