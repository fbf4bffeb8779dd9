package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A worker may start again under the id that it had. Nothing that was known of the life
// before holds for the next one: it runs nothing, has seen no token, numbers its ends from 1
// and counts its clock from 0. So all that is known of a life stands in one place, which a
// restart replaces as a whole.
//
// Orders name the id alone. One that had no answer may still be on its way, and the next life
// would carry it out: a start begins there a run that was taken for lost, a hold makes it
// forget ends that nobody has read. So each silence raises the fencing token of its worker:
// whoever answers a hold under the raised token, in the same life or the next, takes nothing
// any more that was sent before, and what it lists then is all that will ever come of it.
//
// A fence that nobody has brought to the next life yet stops nothing there. So starts, and
// holds that let ends be forgotten, go only over connections that lead to the life that they
// are meant for: those end with it, and with them whatever is still on its way.

// life is what the planner knows of one life of a worker.
type life struct {
	// number counts the lives of the worker that this planner has known, from 1.
	number int
	// born is when it says that it was born; 0 is unknown.
	born int64
	// clockMS was shown by its clock at clockAt or before; heldMS had been shown when the
	// hold under way was sent.
	clockMS int64
	clockAt time.Time
	heldMS  int64
	// anchorMS was shown by its clock at anchorAt or later.
	anchorMS int64
	anchorAt time.Time
	// connections is the newest connection that leads to this life, or nowhere.
	connections int64
	// deadlineMS is the latest that any order has set.
	deadlineMS int64
	// met tells that it has answered a hold under this planner's token, and
	// every call since.
	met bool
	// ever tells that it has answered a hold under this planner's token.
	ever   bool
	silent time.Time
	// seen is the number of the last end taken in; cursor the last one whose
	// effect is in the log; told the last one that it may forget.
	seen, batchCursor, cursor, told int64
	// unapplied are the numbers of ends up to seen of which the planner lacks the run. They,
	// and what comes after them, are not acknowledged.
	unapplied map[int64]bool
	trust     trust
	// strange holds what runs there and should not.
	strange map[workload.TaskID]int64
}

func (c *Core) workerToken() int64 { return c.token<<raiseBits + c.raises }

// recipient is the life for orders that no other may carry out.
func (w *worker) recipient(now time.Time) Recipient {
	to := Recipient{Connections: w.connections, Born: w.born}
	if w.clockMS != 0 {
		to.ClockMS = w.clockNow(now)
	}
	return to
}

func newLife(number int, born int64) life {
	return life{number: number, born: born, strange: map[workload.TaskID]int64{}, unapplied: map[int64]bool{}}
}

// applied is the number of the last end that may be acknowledged: it and all before it have
// changed their job's record, or change none.
func (l *life) applied() int64 {
	last := l.seen
	for number := range l.unapplied {
		last = min(last, number-1)
	}
	return last
}

// raiseBits are the low bits of a token, in which one planner counts silences; a successor's
// token is higher whatever they are.
const raiseBits = 20

// Claim returns the token of the claim under which a worker's token was made.
func Claim(token int64) int64 { return token >> raiseBits }

// raise lets nothing that was sent to a worker before have any effect there once the next
// hold is answered. Beyond the bits tokens stay as they are: orders are then as safe as
// without.
func (c *Core) raise(w *worker) {
	c.raises = min(c.raises+1, 1<<raiseBits-1)
	w.token = c.workerToken()
}

// anotherLife tells whether the answer to a hold comes from a later life than the one that is
// known. Holds to one worker follow one another, so that no answer is older than what is
// known; a time of birth alone could be set back, or two could fall into one millisecond, and
// the clock, which never goes back in one life, tells those apart too.
func (w *worker) anotherLife(answer HoldAnswer) bool {
	return w.ever && (otherBirth(w.born, answer.Born) || answer.ClockMS < w.heldMS)
}

// otherBirth tells whether two births, of which either may be unknown, are those of two lives.
func otherBirth(known, told int64) bool { return known != 0 && told != 0 && known != told }

// doubted notes that the list shows another life than the one that has answered. The entry
// may be older than what is known, so that it only asks for a hold, which tells.
func (c *Core) doubted(w *worker, l Listing, now time.Time) {
	if l.Born == w.Listing.Born {
		return
	}
	if w.gone {
		// Its address was another's for a while; all that ran there is settled.
		w.gone = false
		w.life = newLife(w.number+1, 0)
		c.raise(w)
	}
	// A life that said that it leaves and one that begins: that was no crash.
	w.left = w.Draining && !l.Draining
	if w.ever && l.Born != 0 && l.Born != w.born {
		w.doubt = true
		w.holdAt = now
	}
}

// restart takes the life before for over and begins an empty one. Runs that the new life
// lists were begun there by an order that was meant for the life before; the others are lost
// with it.
func (c *Core) restart(w *worker, order HoldOrder, answer HoldAnswer, now time.Time) {
	listed := map[workload.TaskID]int64{}
	for _, row := range answer.Running {
		listed[row.Task] = row.Run
	}
	var lost []*live
	for _, l := range w.sortedTasks() {
		switch {
		case listed[l.id] == l.run:
			l.beginAnew(w.number+1, now)
		case l.life == w.number:
			lost = append(lost, l)
		}
	}
	c.note(Note{Event: EventWorkerRestarted, Worker: w.ID, Detail: fmt.Sprintf("born=%d before=%d seen=%d told=%d lost=%d", answer.Born, w.born, w.seen, w.told, len(lost))})
	givenUp := c.countCrash(w, lost, whyRestarted, now)
	for _, l := range lost {
		c.noteLost(l, whyRestarted, len(lost)-1, now)
	}
	w.life = newLife(w.number+1, answer.Born)
	w.left = false
	c.forgetLife(w.ID)
	if order.Token <= w.orderToken {
		// Orders for the life before carry the token that it answered, and may still come.
		c.raise(w)
		w.holdAt = now
	}
	for _, l := range givenUp {
		c.giveUp(l)
	}
}

// forgetLife drops what else is remembered of a life by its worker's id: its speed, tickets,
// and that jobs keep off it.
func (c *Core) forgetLife(id string) {
	delete(c.speeds, id)
	for _, j := range c.jobs {
		delete(j.avoid, id)
	}
	for _, a := range c.advice {
		delete(a.known, id)
		delete(a.tickets, id)
	}
}

// beginAnew takes a run that a worker's new life shows for begun there.
func (l *live) beginAnew(number int, now time.Time) {
	l.life = number
	l.orderedAt = now
	l.percent, l.workMS, l.firstPercent, l.slowed = 0, 0, 0, 0
	l.movedAt, l.seenAt, l.firstAt = time.Time{}, time.Time{}, time.Time{}
	if l.stopping {
		l.barred = false
		l.retryAt = now
	}
}

// strayFor is for how long a worker is asked although nothing runs there: an order without an
// answer may be carried out until then, and would be by another life unless that one is met
// first.
func (c *Core) strayFor() time.Duration { return stretched(c.bounds.Lease) }

// stray notes that an order sent at a time had no answer.
func (c *Core) stray(w *worker, sent time.Time) {
	if until := sent.Add(c.strayFor()); until.After(w.strayUntil) {
		w.strayUntil = until
	}
}
