package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// lapseSlack is added to the computed end of a lease.
const lapseSlack = 100 * time.Millisecond

// worker is what the planner knows of a worker: what its newest entry in the list says, and
// the life that answers under its id.
type worker struct {
	Listing
	life
	listed     bool
	unlistedAt time.Time
	// departed tells that its entry was removed since it has left, as far as the list tells.
	departed bool
	labels   map[string]bool
	// problem is what is wrong with the birth that it last told.
	problem string
	// gone workers never come back but as another life.
	gone  bool
	tasks map[workload.TaskID]*live
	// holding tells that a hold is under way, the one numbered asked. The answers to those
	// before it count for nothing: they may have overtaken one another.
	holding bool
	asked   int
	holdAt  time.Time
	// coldUntil is when the worker is as fast as ever after its start; zero is now.
	coldUntil time.Time
	// leavesAt is when a draining worker may be gone; zero is never.
	leavesAt time.Time
	// doubt tells that the list shows another life than the one that has answered, left that
	// the one before had said that it leaves.
	doubt, left bool
	// token fences the worker's orders; orderToken is that of the last one but holds.
	token, orderToken int64
	// strayUntil is until when an order without an answer may still be carried out.
	strayUntil time.Time
}

// stretched is the time that a lease lasts at most by our clock.
func stretched(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - clockDrift))
}

func newWorker(id string, token int64) *worker {
	return &worker{Listing: Listing{ID: id}, life: newLife(1, 0), tasks: map[workload.TaskID]*live{}, token: token}
}

// takeListing takes a worker's newest entry over.
func (c *Core) takeListing(w *worker, l Listing, now time.Time) {
	if l.Draining && !w.Draining {
		c.note(Note{Event: EventWorkerDraining, Worker: l.ID})
	}
	if l.Unreadable && !w.Unreadable {
		c.note(Note{Event: EventWorkerUnreadable, Worker: l.ID})
	}
	resized := w.Capacity != l.Capacity && w.Address != ""
	c.doubted(w, l, now)
	w.leaving(l, now)
	w.warming(l, now)
	if w.labels == nil || !slices.Equal(w.Labels, l.Labels) {
		w.labels = labelled(l.Labels)
	}
	w.Listing = l
	if resized {
		c.note(Note{Event: EventWorkerResized, Worker: l.ID, Detail: fmt.Sprintf("cpu=%d mem_mib=%d accelerators=%d over=%t", l.Capacity.MilliCPU, l.Capacity.MemoryMiB, l.Capacity.Accelerators, w.free().Short())})
	}
	if l.Born == w.born || !w.ever {
		c.readClock(w, l.ClockMS, now)
	}
}

func labelled(labels []string) map[string]bool {
	out := make(map[string]bool, len(labels))
	for _, label := range labels {
		out[label] = true
	}
	return out
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

// goneFrom takes an answer that another worker is at an address. One from an address that
// the worker has left says nothing of it.
func (c *Core) goneFrom(w *worker, address string, now time.Time) {
	if address == w.Address || address == "" {
		c.lose(w, whyAnotherLife, now)
	}
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
		c.raise(w)
		if w.holding {
			// It waits for news, and what is asked for now is who is there.
			w.holding, w.holdAt = false, now
		}
		c.note(Note{Event: EventWorkerSilent, Worker: w.ID})
	}
	w.met = false
}

// strangersAtOnce bounds the workers with nothing to hold that are met for the first time in one
// look: a planner that begins would else make a connection to each of thousands in one moment,
// before those whose leases run out.
const strangersAtOnce = 500

// NeedsHold lists the workers that have something to be held, to be asked
// about or to be told, and no hold under way.
func (c *Core) NeedsHold(now time.Time) []string {
	var out []string
	probes := map[string]int{}
	silent := c.anySilent()
	strangers := 0
	for _, w := range c.inOrder {
		switch {
		case w.holding || now.Before(w.holdAt):
		case !w.ever && len(w.tasks) == 0 && strangers == strangersAtOnce:
			// Its turn comes with the next looks.
		case c.wantsHold(w, now):
			out = append(out, w.ID)
			if !w.ever && len(w.tasks) == 0 {
				strangers++
			}
		case silent && c.probes(w) && probes[w.DataCentre] < probesOfCentre:
			probes[w.DataCentre]++
			out = append(out, w.ID)
		}
	}
	return out
}

func (c *Core) wantsHold(w *worker, now time.Time) bool {
	if w.gone || w.Address == "" {
		return false
	}
	if len(w.tasks) > 0 || len(w.strange) > 0 || w.cursor > w.told || len(w.unapplied) > 0 {
		return true
	}
	return w.listed && (!w.met || w.doubt || now.Before(w.strayUntil))
}

// probes tells whether an idle worker is asked to see whether its data centre
// answers again.
func (c *Core) probes(w *worker) bool { return w.listed && !w.gone && w.Address != "" && c.cutOff(w) }

// Hold returns the next hold of a worker; ok is false if it needs none.
func (c *Core) Hold(id string, now time.Time) (HoldOrder, bool) {
	w := c.workers[id]
	if w == nil || w.holding || (!c.wantsHold(w, now) && !c.probes(w)) || now.Before(w.holdAt) {
		return HoldOrder{}, false
	}
	w.holding = true
	w.asked++
	w.heldMS = w.clockMS
	order := HoldOrder{Worker: id, Address: w.Address, Life: w.number, Number: w.asked, Token: w.token}
	if w.met && !w.doubt && w.cursor > w.told {
		// Told once is enough, and never while it is not known who answers: another life
		// would forget as many ends that nobody has read.
		order.Cursor = w.cursor
		c.note(Note{Event: EventEndsAcknowledged, Worker: id, Detail: fmt.Sprintf("before=%d cursor=%d seen=%d", w.told, w.cursor, w.seen)})
		order.To = w.recipient(now)
	}
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
		order.DeadlineMS = 0
		if !now.Before(w.strayUntil) {
			order.Wait = 0
		}
	}
	return order, true
}
