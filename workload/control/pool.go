package control

import (
	"cmp"
	"slices"
	"time"
)

// The planner goes through its workers and jobs many times a second, and nearly all of them are
// unchanged. So they are kept sorted instead of being sorted each time, the worker list is
// updated entry by entry, and workers to report or remove are tracked separately.

// workerFor returns the worker with the given id, and adds it if it is unknown.
func (c *Core) workerFor(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = newWorker(id, c.workerToken())
		c.workers[id] = w
		c.unlisted[id] = true
		at, _ := slices.BinarySearchFunc(c.workersByID, id, compareID)
		c.workersByID = slices.Insert(c.workersByID, at, w)
	}
	return w
}

func compareID(w *worker, id string) int { return cmp.Compare(w.ID, id) }

func (c *Core) dropWorker(id string, now time.Time) {
	c.rememberEnded(c.workers[id], now)
	c.removeAddress(c.workers[id])
	if at, ok := slices.BinarySearchFunc(c.workersByID, id, compareID); ok {
		c.workersByID = slices.Delete(c.workersByID, at, at+1)
	}
	delete(c.unpersisted, c.workers[id])
	delete(c.workers, id)
	c.keepMissingSpeed(id)
	delete(c.departures.leaving, id)
	delete(c.maintained, id)
	delete(c.spells, id)
	delete(c.unlisted, id)
}

// SetWorkers replaces the worker list. A worker that is no longer listed may be cut off and still
// running.
func (c *Core) SetWorkers(list []Listing, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		c.UpdateWorker(l, now)
	}
	for _, w := range c.workersByID {
		if !present[w.ID] {
			c.RemoveWorker(w.ID, now)
		}
	}
	c.SettleUnlisted(now)
}

// UpdateWorker updates one entry of the worker list. SettleUnlisted must be called after
// UpdateWorker and RemoveWorker.
func (c *Core) UpdateWorker(l Listing, now time.Time) {
	w := c.workerFor(l.ID)
	if l.isOlderThan(w.Listing) {
		l = w.Listing
	}
	appears := !w.listed || w.Address != l.Address
	if !w.listed {
		w.listed, w.departed = true, false
		c.listedCount++
		delete(c.unlisted, l.ID)
		c.emit(Event{Name: EventWorkerListed, Worker: l.ID, Detail: l.Rack})
	}
	if w.Address != l.Address {
		c.removeAddress(w)
		c.idsByAddress[l.Address] = append(c.idsByAddress[l.Address], l.ID)
	}
	c.takeListing(w, l, now)
	if appears {
		c.checkRememberedEnd(w)
		c.pollSharedAddress(l.Address, now)
	}
}

// isOlderThan reports whether the same incarnation wrote another entry later. A heartbeat that was held
// up may arrive after a newer one, and must not undo what that one says.
func (l Listing) isOlderThan(other Listing) bool {
	return l.StartMS != 0 && l.StartMS == other.StartMS && l.Sequence < other.Sequence
}

// RemoveWorker records that a worker's entry was removed from the list.
func (c *Core) RemoveWorker(id string, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.unlisted[id] = true
	if !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = now
	w.departed = c.hasLeft(w, now)
	if w.departed {
		c.observeOverstay(w, now)
	}
	c.listedCount--
	c.emit(Event{Name: EventWorkerUnlisted, Worker: id, Detail: w.removalDetail(now)})
}

// SettleUnlisted forgets the workers without runs that are not listed.
func (c *Core) SettleUnlisted(now time.Time) {
	if len(c.unlisted) == 0 {
		return
	}
	for _, id := range sortedKeys(c.unlisted) {
		if len(c.workers[id].runs) == 0 {
			c.dropWorker(id, now)
		}
	}
}

// jobsInOrder returns the jobs in the order in which they were accepted.
func (c *Core) jobsInOrder() []*job { return c.jobsByAcceptance }

func (c *Core) addJob(j *job) {
	c.jobs[j.ID] = j
	at, _ := slices.BinarySearchFunc(c.jobsByAcceptance, j, compareAcceptance)
	c.jobsByAcceptance = slices.Insert(c.jobsByAcceptance, at, j)
}

func (c *Core) dropJob(j *job) {
	if at, ok := slices.BinarySearchFunc(c.jobsByAcceptance, j, compareAcceptance); ok {
		c.jobsByAcceptance = slices.Delete(c.jobsByAcceptance, at, at+1)
	}
	delete(c.jobs, j.ID)
}

func compareAcceptance(a, b *job) int {
	return cmp.Or(cmp.Compare(a.AcceptedMS, b.AcceptedMS), cmp.Compare(a.ID, b.ID))
}
