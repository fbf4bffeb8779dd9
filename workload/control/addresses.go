package control

import (
	"slices"
	"time"
)

// One incarnation at a time runs at an address, but several may be listed there: the entry of one
// that has ended expires late, and a heartbeat that it sent before its end may arrive after its
// successor's and list it again. So the list only suggests that an incarnation has ended. What
// proves it is the answer of another incarnation to a call that was meant for this one.

// endedRetention is how long the planner remembers which incarnations have ended, after their
// entries were removed from the list.
const endedRetention = time.Minute

// endedIncarnation is an incarnation that is known to have ended.
type endedIncarnation struct {
	startMS   int64
	forgetsAt time.Time
}

// removeAddress removes a worker from those known at its address.
func (c *Core) removeAddress(w *worker) {
	ids := slices.DeleteFunc(c.idsByAddress[w.Address], func(id string) bool { return id == w.ID })
	if len(ids) == 0 {
		delete(c.idsByAddress, w.Address)
		return
	}
	c.idsByAddress[w.Address] = ids
}

// pollSharedAddress polls all workers that are known at an address, if there are several. Those
// that have not answered such a poll get no new work.
func (c *Core) pollSharedAddress(address string, now time.Time) {
	ids := c.idsByAddress[address]
	if len(ids) < 2 || address == "" {
		return
	}
	for _, id := range ids {
		if w := c.workers[id]; !w.gone {
			w.suspectEnd(now)
		}
	}
}

// suspectEnd has a worker polled at once, since its incarnation may have ended. The answer to a poll
// that was sent before does not count.
func (w *worker) suspectEnd(now time.Time) {
	w.endSuspected = true
	w.nextRenewalAt = now
	if w.renewalInFlight {
		w.renewalInFlight = false
		w.renewalNumber++
	}
}

// rememberEnded records a worker whose last incarnation is known to have ended, before the worker is
// forgotten.
func (c *Core) rememberEnded(w *worker, now time.Time) {
	for id, e := range c.endedIncarnations {
		if now.After(e.forgetsAt) {
			delete(c.endedIncarnations, id)
		}
	}
	if w.gone && w.Listing.StartMS != 0 {
		c.endedIncarnations[w.ID] = endedIncarnation{w.Listing.StartMS, now.Add(endedRetention)}
	}
}

// checkRememberedEnd checks whether a newly listed worker's incarnation is known to have ended.
func (c *Core) checkRememberedEnd(w *worker) {
	e, known := c.endedIncarnations[w.ID]
	if !known || w.gone || w.everReached || e.startMS != w.Listing.StartMS {
		return
	}
	w.gone = true
	c.emit(Event{Name: EventWorkerGone, Worker: w.ID, Reason: reasonEndedBefore})
}
