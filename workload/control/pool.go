package control

import (
	"cmp"
	"slices"
	"time"
)

// The planner looks at its workers and jobs many times a second, and nearly all of them are as
// they were. So they are kept in order instead of sorted at each look, the list is taken over
// entry by entry, and what has to be told or removed is found without a look at all.

// workerFor returns the worker with the id, and makes one that nothing is known of.
func (c *Core) workerFor(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = newWorker(id, c.workerToken())
		c.workers[id] = w
		c.unlisted[id] = true
		at, _ := slices.BinarySearchFunc(c.inOrder, id, byID)
		c.inOrder = slices.Insert(c.inOrder, at, w)
	}
	return w
}

func byID(w *worker, id string) int { return cmp.Compare(w.ID, id) }

func (c *Core) dropWorker(id string) {
	if at, ok := slices.BinarySearchFunc(c.inOrder, id, byID); ok {
		c.inOrder = slices.Delete(c.inOrder, at, at+1)
	}
	delete(c.unwritten, c.workers[id])
	delete(c.workers, id)
	delete(c.speeds, id)
	delete(c.unlisted, id)
}

// List takes the platform's whole list over. A life that is not in the list any more may be cut
// off and run on.
func (c *Core) List(list []Listing, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		c.ListOne(l, now)
	}
	for _, w := range c.inOrder {
		if !present[w.ID] {
			c.Unlist(w.ID, now)
		}
	}
	c.Sweep(now)
}

// ListOne takes one entry of the platform's list over. Sweep has to follow, as it has to
// Unlist.
func (c *Core) ListOne(l Listing, now time.Time) {
	w := c.workerFor(l.ID)
	if w.listed && w.Address != l.Address {
		c.leaveAddress(w)
	}
	if !w.listed {
		w.listed, w.departed = true, false
		c.listed++
		delete(c.unlisted, l.ID)
		c.note(Note{Event: EventWorkerListed, Worker: l.ID, Detail: l.Rack})
	}
	c.addresses[l.Address] = l.ID
	c.takeListing(w, l, now)
}

// Unlist takes it that the list has no entry of a worker any more.
func (c *Core) Unlist(id string, now time.Time) {
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
	c.listed--
	c.leaveAddress(w)
	c.note(Note{Event: EventWorkerUnlisted, Worker: id, Detail: w.removal(now)})
}

// leaveAddress notes that a worker is not listed at its address any more.
func (c *Core) leaveAddress(w *worker) {
	if c.addresses[w.Address] == w.ID {
		delete(c.addresses, w.Address)
	}
}

// Sweep settles what is on workers that are not listed: lost where another one is listed at
// the address; forgotten once nothing is there.
func (c *Core) Sweep(now time.Time) {
	if len(c.unlisted) == 0 {
		return
	}
	for _, id := range sortedKeys(c.unlisted) {
		w := c.workers[id]
		if c.addresses[w.Address] != "" && w.Address != "" {
			c.lose(w, whyTakenOver, now)
		}
		if len(w.tasks) == 0 {
			c.dropWorker(id)
		}
	}
}

// jobOrder returns the jobs in the order in which they were accepted.
func (c *Core) jobOrder() []*job { return c.queue }

func (c *Core) addJob(j *job) {
	c.jobs[j.ID] = j
	at, _ := slices.BinarySearchFunc(c.queue, j, byAcceptance)
	c.queue = slices.Insert(c.queue, at, j)
}

func (c *Core) dropJob(j *job) {
	if at, ok := slices.BinarySearchFunc(c.queue, j, byAcceptance); ok {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
	delete(c.jobs, j.ID)
}

func byAcceptance(a, b *job) int {
	return cmp.Or(cmp.Compare(a.AcceptedMS, b.AcceptedMS), cmp.Compare(a.ID, b.ID))
}
