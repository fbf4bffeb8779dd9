package control

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// A worker may restart under the same id. Nothing that was known of the previous incarnation
// applies to the next one: it runs nothing, has seen no token, numbers its ends from 1 and counts
// its clock from 0. So everything that is known of an incarnation is kept in one struct, which a
// restart replaces as a whole.
//
// Orders name only the worker's id. An unanswered order may still be in transit, and the next
// incarnation would carry it out: a start order would start a run there that was taken for lost,
// and a lease renewal would make it drop ends that the planner has not read. So each time a worker
// falls silent, its fencing token is raised. Whichever incarnation answers a lease renewal under
// the raised token accepts no order that was sent before, and everything that the earlier orders
// caused is in its list then.
//
// A raised token that has not reached the next incarnation yet stops nothing there. So start
// orders, and lease renewals that let ends be forgotten, are sent only over connections to the
// incarnation that they are meant for. These connections end with it, and so does anything still
// in transit on them.

// incarnation is what the planner knows of one incarnation of a worker.
type incarnation struct {
	// number counts the incarnations of the worker that this planner has seen, from 1.
	number int
	// startMS is when it started according to its own report, in Unix milliseconds; 0 is unknown.
	startMS int64
	// clockMS was shown by its clock at clockAt or before. renewalClockMS is the value of clockMS
	// when the lease renewal in flight was sent.
	clockMS        int64
	clockAt        time.Time
	renewalClockMS int64
	// anchorMS was shown by its clock at anchorAt or later.
	anchorMS int64
	anchorAt time.Time
	// newestConnection is the newest connection that leads to this incarnation, or nowhere.
	newestConnection int64
	// deadlineMS is the latest deadline that any order may have set, by the worker's clock,
	// grantedMS the latest that an order of this planner has.
	deadlineMS, grantedMS int64
	// answeredAddress is the address at which it last answered a lease renewal; "" is none.
	answeredAddress string
	// reachable is set if it has answered a lease renewal under this planner's token, and every
	// call since.
	reachable bool
	// everReached is set if it has ever answered a lease renewal under this planner's token.
	everReached bool
	silentSince time.Time
	// lossRecorded is set if the end of its lease was recorded as a possible crash, and it has not
	// answered since.
	lossRecorded bool
	// receivedEnd is the number of the last end that was received, batchedEnd and persistedEnd
	// the last ones whose effect is in the current batch and in the log, and acknowledgedEnd the
	// last one that it may forget.
	receivedEnd, batchedEnd, persistedEnd, acknowledgedEnd int64
	// unappliedEnds are the numbers of ends up to receivedEnd whose runs are missing from the
	// planner's records. Neither they nor any later ends are acknowledged.
	unappliedEnds map[int64]bool
	trust         trust
	// unexpectedRuns are the runs there that the planner has not placed there.
	unexpectedRuns map[workload.TaskID]int64
}

func (c *Core) workerToken() int64 { return c.token<<raiseBits + c.tokenRaises }

// recipient returns the current incarnation as the recipient of an order that no other
// incarnation may carry out.
func (w *worker) recipient(now time.Time) Recipient {
	to := Recipient{NewestConnection: w.newestConnection, StartMS: w.startMS}
	if w.clockMS != 0 {
		to.ClockMS = w.clockLowerBound(now)
	}
	return to
}

func newIncarnation(number int, startMS int64) incarnation {
	return incarnation{number: number, startMS: startMS, unexpectedRuns: map[workload.TaskID]int64{}, unappliedEnds: map[int64]bool{}}
}

// lastAppliedEnd returns the number of the last end that may be acknowledged: it and all before
// it were applied to their jobs' records, or don't change any.
func (inc *incarnation) lastAppliedEnd() int64 {
	last := inc.receivedEnd
	for number := range inc.unappliedEnds {
		last = min(last, number-1)
	}
	return last
}

// raiseBits is the number of low bits of a token in which a planner counts its raises. A
// successor's token is higher regardless of them.
const raiseBits = 20

// ClaimToken returns the planner's fencing token from which a worker's token was derived.
func ClaimToken(token int64) int64 { return token >> raiseBits }

// raiseToken raises a worker's token, so that no earlier order has any effect there once the next
// lease renewal is answered. If the counter is exhausted, tokens stay as they are, and orders are
// as safe as without raises.
func (c *Core) raiseToken(w *worker) {
	c.tokenRaises = min(c.tokenRaises+1, 1<<raiseBits-1)
	w.token = c.workerToken()
}

// isAnotherIncarnation reports whether the answer to a lease renewal comes from a later
// incarnation than the known one. Lease renewals to one worker are sequential, so that no answer
// is older than what is known. The start time alone is not enough, since it could be set back, or
// two could fall into the same millisecond. The worker's clock, which never goes back within an
// incarnation, detects these cases too.
func (w *worker) isAnotherIncarnation(answer RenewalAnswer) bool {
	return w.everReached && (startsDiffer(w.startMS, answer.StartMS) || answer.ClockMS < w.renewalClockMS)
}

// startsDiffer reports whether two start times, of which either may be unknown, belong to
// different incarnations.
func startsDiffer(a, b int64) bool { return a != 0 && b != 0 && a != b }

// checkListedStart checks whether the list shows another incarnation than the one that has
// answered. The entry may be older than what is known, so it only triggers a lease renewal, whose
// answer decides.
func (c *Core) checkListedStart(w *worker, l Listing, now time.Time) {
	if l.StartMS == w.Listing.StartMS {
		return
	}
	if w.gone {
		// The address belonged to another worker for a while, and all runs there are settled.
		w.gone = false
		w.incarnation = newIncarnation(w.number+1, 0)
		c.raiseToken(w)
	}
	// An incarnation that was draining was followed by one that is not: that was no crash.
	w.previousDrained = w.Draining && !l.Draining
	if w.everReached && l.StartMS != 0 && l.StartMS != w.startMS {
		w.suspectEnd(now)
	}
}

// replaceIncarnation replaces the previous incarnation by a new one. Runs that the new one
// reports were started there by orders that were meant for the previous one. The others are lost.
func (c *Core) replaceIncarnation(w *worker, order RenewalOrder, answer RenewalAnswer, now time.Time) {
	reported := map[workload.TaskID]int64{}
	for _, row := range answer.Running {
		reported[row.Task] = row.Run
	}
	var lost []*activeRun
	for _, r := range w.sortedRuns() {
		switch {
		case reported[r.id] == r.run:
			r.restartOn(w.number+1, now)
		case r.incarnation == w.number:
			lost = append(lost, r)
		}
	}
	c.emit(Event{Name: EventWorkerRestarted, Worker: w.ID, Detail: fmt.Sprintf("born=%d before=%d seen=%d told=%d lost=%d", answer.StartMS, w.startMS, w.receivedEnd, w.acknowledgedEnd, len(lost))})
	givenUp := c.attributeCrash(w, lost, reasonRestarted, now)
	for _, r := range lost {
		c.emitRunLost(r, reasonRestarted, len(lost)-1, now)
	}
	w.incarnation = newIncarnation(w.number+1, answer.StartMS)
	w.previousDrained = false
	c.forgetIncarnation(w.ID)
	// Orders for the previous incarnation carry the token of this answer, and may still arrive: a
	// lease renewal would set a deadline by the previous incarnation's clock.
	c.raiseToken(w)
	w.nextRenewalAt = now
	for _, r := range givenUp {
		c.failForCrashes(r)
	}
}

// forgetIncarnation drops whatever else is kept under the worker's id: its tickets, and that jobs
// avoid it. Its speed counts for less from now on.
func (c *Core) forgetIncarnation(id string) {
	c.ageSpeed(id)
	delete(c.spells, id)
	delete(c.maintained, id)
	for _, j := range c.jobs {
		delete(j.avoidedWorkers, id)
	}
	for _, a := range c.advice {
		delete(a.allowed, id)
		delete(a.tickets, id)
	}
}

// restartOn records that a run was restarted on the given incarnation of its worker.
func (r *activeRun) restartOn(number int, now time.Time) {
	r.incarnation = number
	r.orderedAt = now
	r.percent, r.runningSinceMS, r.firstPercent, r.throttledPercent = 0, 0, 0, 0
	r.progressedAt, r.reportedAt, r.firstAt = time.Time{}, time.Time{}, time.Time{}
	r.rateCheck = rateCheck{}
	if r.stopping {
		r.stopAccepted = false
		r.retryAt = now
	}
}

// maxOrderDelay is how long a worker is polled although nothing runs there. An unanswered order
// may still be carried out in that time, also by another incarnation if that one is not contacted
// first.
func (c *Core) maxOrderDelay() time.Duration { return maxLeaseTime(c.bounds.Lease) }

// recordStrayOrder records that an order sent at the given time or earlier was not answered.
func (c *Core) recordStrayOrder(w *worker, sent time.Time) {
	if until := sent.Add(c.maxOrderDelay()); until.After(w.strayOrdersUntil) {
		w.strayOrdersUntil = until
	}
}
