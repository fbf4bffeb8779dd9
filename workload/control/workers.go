package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// lapseSlack is added to the computed end of a lease.
const lapseSlack = 100 * time.Millisecond

// worker is what the planner knows of a worker: its newest entry in the list, and the incarnation
// that answers under its id.
type worker struct {
	Listing
	incarnation
	listed     bool
	unlistedAt time.Time
	// departed is set if the removal of its entry shows that it has left.
	departed bool
	labels   map[string]bool
	// problem is what is wrong with the start time that it last reported.
	problem string
	// gone is set once the current incarnation is known to have ended. The worker can only come
	// back as another incarnation.
	gone bool
	runs map[workload.TaskID]*activeRun
	// renewalInFlight is set while a lease renewal is in flight, the one with renewalNumber.
	// Answers to earlier ones are ignored, since they may have overtaken one another.
	renewalInFlight bool
	renewalNumber   int
	nextRenewalAt   time.Time
	// warmupUntil is when the worker has warmed up; zero is now.
	warmupUntil time.Time
	// slowSince is since when all runs have been slow in all their windows; zero if they are not.
	slowSince time.Time
	// leavesAt is when a draining worker may be gone; zero is never.
	leavesAt time.Time
	// endSuspected is set if the list shows another incarnation under its id or at its address,
	// previousDrained if the incarnation before that was draining.
	endSuspected, previousDrained bool
	// token fences the worker's orders.
	token int64
	// strayOrdersUntil is until when an unanswered order may still be carried out.
	strayOrdersUntil time.Time
	// unansweredSince is when the first of the lease renewals should have been answered that were
	// not answered since the last answer.
	unansweredSince time.Time
}

// maxLeaseTime returns the longest time that a lease can last by the planner's clock.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - clockDrift))
}

func newWorker(id string, token int64) *worker {
	return &worker{Listing: Listing{ID: id}, incarnation: newIncarnation(1, 0), runs: map[workload.TaskID]*activeRun{}, token: token}
}

// takeListing updates a worker from its newest entry.
func (c *Core) takeListing(w *worker, l Listing, now time.Time) {
	if l.Draining && !w.Draining {
		c.emit(Event{Name: EventWorkerDraining, Worker: l.ID})
	}
	if l.Unreadable && !w.Unreadable {
		c.emit(Event{Name: EventWorkerUnreadable, Worker: l.ID})
	}
	resized := w.Capacity != l.Capacity && w.Address != ""
	c.checkListedStart(w, l, now)
	c.updateLeavesAt(w, l, now)
	w.updateWarmup(l, now)
	if w.labels == nil || !slices.Equal(w.Labels, l.Labels) {
		w.labels = labelSet(l.Labels)
	}
	w.Listing = l
	if resized {
		c.emit(Event{Name: EventWorkerResized, Worker: l.ID, Detail: fmt.Sprintf("cpu=%d mem_mib=%d accelerators=%d over=%t", l.Capacity.MilliCPU, l.Capacity.MemoryMiB, l.Capacity.Accelerators, w.freeCapacity().HasNegative())})
	}
	if l.StartMS == w.startMS || !w.everReached {
		c.readClock(w, l.ClockMS, now)
	}
}

func labelSet(labels []string) map[string]bool {
	out := make(map[string]bool, len(labels))
	for _, label := range labels {
		out[label] = true
	}
	return out
}

// readClock records a past reading of the worker's clock. Only readings that raise the known
// lower bound count.
func (c *Core) readClock(w *worker, clockMS int64, now time.Time) {
	if clockMS == 0 {
		return
	}
	if w.clockMS != 0 && clockMS < w.clockLowerBound(now) {
		return
	}
	w.clockMS = clockMS
	w.clockAt = now
}

// clockLowerBound returns a lower bound of the worker's clock.
func (w *worker) clockLowerBound(now time.Time) int64 {
	elapsed := now.Sub(w.clockAt)
	return w.clockMS + int64(float64(elapsed.Milliseconds())*(1-clockDrift))
}

// hasLapsed reports whether all runs on an unreachable worker must have been killed at the end of
// its lease.
func (c *Core) hasLapsed(w *worker, now time.Time) bool {
	if w.reachable {
		return false
	}
	if !w.everReached && now.Before(c.inheritedLeaseEnd(w)) {
		return false
	}
	return w.deadlineMS == 0 || now.After(w.leaseEnd())
}

// handleGone handles an answer that another worker is at an address. It proves that the incarnation
// has ended only if that is the address at which it has answered, or at which it is listed if it has
// never answered. A late entry may show the address of an earlier incarnation under the id.
func (c *Core) handleGone(w *worker, address string, now time.Time) {
	switch {
	case address != "" && address != w.Address:
		// The order was sent before the worker was listed at another address.
	case address != "" && w.answeredAddress != "" && address != w.answeredAddress:
		c.markSilent(w, now)
		w.nextRenewalAt = now.Add(RenewalRetryPause)
	default:
		c.declareGone(w, reasonAnotherIncarnation, now)
	}
}

// declareGone settles everything on an incarnation that has ended.
func (c *Core) declareGone(w *worker, reason string, now time.Time) {
	if w.gone {
		return
	}
	w.gone = true
	w.reachable = false
	c.emit(Event{Name: EventWorkerGone, Worker: w.ID, Reason: reason})
	c.releaseRuns(w, reason, now)
}

// markSilent records an unanswered call.
func (c *Core) markSilent(w *worker, now time.Time) {
	if w.reachable {
		w.silentSince = now
		c.raiseToken(w)
		if w.renewalInFlight {
			// The call in flight waits for changes, but what matters now is which incarnation
			// answers.
			w.renewalInFlight, w.nextRenewalAt = false, now
		}
		c.emit(Event{Name: EventWorkerSilent, Worker: w.ID})
	}
	w.reachable = false
}

// maxFirstPolls limits the workers without runs that are polled for the first time in one pass.
// Otherwise a new planner would connect to thousands at once, ahead of those whose leases are
// about to expire.
const maxFirstPolls = 500

// WorkersToRenew lists the workers that need a lease renewal, a poll or an acknowledgement, and
// have no renewal in flight.
func (c *Core) WorkersToRenew(now time.Time) []string {
	var out []string
	probes := map[string]int{}
	anySilent := c.hasSilentCentre()
	firstPolls := 0
	for _, w := range c.workersByID {
		switch {
		case w.renewalInFlight || now.Before(w.nextRenewalAt):
		case !w.everReached && len(w.runs) == 0 && firstPolls == maxFirstPolls:
			// It is polled in one of the next passes.
		case c.wantsRenewal(w, now):
			out = append(out, w.ID)
			if !w.everReached && len(w.runs) == 0 {
				firstPolls++
			}
		case anySilent && c.isProbed(w) && probes[w.DataCentre] < maxProbesPerCentre:
			probes[w.DataCentre]++
			out = append(out, w.ID)
		}
	}
	return out
}

func (c *Core) wantsRenewal(w *worker, now time.Time) bool {
	if w.gone || w.Address == "" {
		return false
	}
	if len(w.runs) > 0 || len(w.unexpectedRuns) > 0 || w.persistedEnd > w.acknowledgedEnd || len(w.unappliedEnds) > 0 {
		return true
	}
	return w.listed && (!w.reachable || w.endSuspected || now.Before(w.strayOrdersUntil))
}

// isProbed reports whether an idle worker is polled to check whether its data centre is reachable
// again.
func (c *Core) isProbed(w *worker) bool { return w.listed && !w.gone && w.Address != "" && c.cutOff(w) }

// NextRenewal returns the next lease renewal of a worker. ok is false if it needs none.
func (c *Core) NextRenewal(id string, now time.Time) (RenewalOrder, bool) {
	w := c.workers[id]
	if w == nil || w.renewalInFlight || (!c.wantsRenewal(w, now) && !c.isProbed(w)) || now.Before(w.nextRenewalAt) {
		return RenewalOrder{}, false
	}
	w.renewalInFlight = true
	w.renewalNumber++
	w.renewalClockMS = w.clockMS
	order := RenewalOrder{Worker: id, Address: w.Address, Incarnation: w.number, Number: w.renewalNumber, Token: w.token}
	if w.reachable && !w.endSuspected && w.persistedEnd > w.acknowledgedEnd {
		// One acknowledgement is enough. It must not be sent while it is unknown which
		// incarnation answers: another one would drop as many ends that the planner has not
		// read.
		order.AcknowledgedEnd = w.persistedEnd
		c.emit(Event{Name: EventEndsAcknowledged, Worker: id, Detail: fmt.Sprintf("before=%d cursor=%d seen=%d", w.acknowledgedEnd, w.persistedEnd, w.receivedEnd)})
		order.To = w.recipient(now)
	}
	if w.reachable {
		order.DeadlineMS = c.nextDeadline(w, now)
		order.Wait = c.boundPollWait(w, c.bounds.PollWait)
	} else {
		order.DeadlineMS = c.lastDeadline(w)
	}
	if len(w.unexpectedRuns) > 0 || w.receivedEnd > w.persistedEnd || c.isHeld(w) || w.endSuspected {
		// Ends that are still listed would be returned at once anyway. A lease that may not be
		// extended yet must be as soon as it may.
		order.Wait = 0
	}
	if len(w.runs) == 0 {
		order.DeadlineMS = 0
		if !now.Before(w.strayOrdersUntil) {
			order.Wait = 0
		}
	}
	return order, true
}
