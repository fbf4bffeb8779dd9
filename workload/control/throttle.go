package control

import (
	"strconv"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// ThrottleOrder throttles a filler: a run that uses spare capacity beside serving tasks.
type ThrottleOrder struct {
	Worker, Address string
	Incarnation     int
	Task            workload.TaskID
	Run             int64
	// Percent is its share of the full pace, 0 to 100.
	Percent int
	Token   int64
}

const (
	// throttleAt is the share of its latency target at which a serving task's tail latency causes
	// the fillers beside it to be throttled, recoverBelow the share below which they recover.
	throttleAt   = 0.85
	recoverBelow = 0.6
	// throttleFactor is the factor by which fillers are slowed, overTargetFactor the factor once
	// the target is exceeded.
	throttleFactor   = 0.5
	overTargetFactor = 0.2
	// recoveryStep is by how much fillers recover at a time, in percent.
	recoveryStep = 10
	// minPace is the pace below which a filler is halted.
	minPace = 10
	// metricWindow is the period that RunningRow.Metric covers.
	metricWindow = 500 * time.Millisecond
	// pollsPerHarm is how often the tail latency is polled within Bounds.MaxOverTarget.
	pollsPerHarm = 8
)

// isServing reports whether the run has a latency target.
func (r *activeRun) isServing() bool { return r.step.Perpetual && r.step.LatencyTargetMS > 0 }

// hasFillersBesideServing reports whether both serving tasks and fillers run on the worker.
func (w *worker) hasFillersBesideServing() bool {
	serves, fills := false, false
	for _, r := range w.runs {
		serves = serves || r.isServing()
		fills = fills || r.step.BestEffortCPU
	}
	return serves && fills
}

// targetUse returns the highest share of its latency target that a serving task on the worker has
// reached, or 0 if there is none.
func (w *worker) targetUse() float64 {
	highest := 0.0
	for _, r := range w.runs {
		if r.isServing() && r.confirmed && !r.stopping {
			highest = max(highest, float64(r.metric)/float64(r.step.LatencyTargetMS))
		}
	}
	return highest
}

// adjustThrottling slows the fillers on a worker while a serving task comes close to its latency
// target, and lets them recover step by step afterwards.
func (c *Core) adjustThrottling(w *worker, now time.Time) {
	targetUse := w.targetUse()
	for _, r := range w.sortedRuns() {
		if !r.step.BestEffortCPU || !r.confirmed || r.stopping || r.throttlePending || now.Before(r.throttledAt.Add(c.bounds.ThrottleDelay+metricWindow)) {
			continue
		}
		if next := nextPace(r.pace(), targetUse); next != r.pace() {
			r.throttlePending = true
			c.pendingThrottles = append(c.pendingThrottles, ThrottleOrder{Worker: w.ID, Address: w.Address, Task: r.id, Run: r.run, Percent: next, Incarnation: w.number, Token: w.token})
		}
	}
}

// nextPace returns the pace that follows the current one at a share of the latency target.
func nextPace(current int, targetUse float64) int {
	switch {
	case targetUse >= 1:
		return haltBelowMin(overTargetFactor * float64(current))
	case targetUse >= throttleAt:
		return haltBelowMin(throttleFactor * float64(current))
	case targetUse < recoverBelow:
		return min(fullPercent, current+recoveryStep)
	}
	return current
}

func haltBelowMin(pace float64) int {
	if pace < minPace {
		return 0
	}
	return int(pace)
}

// pace returns the run's pace in percent, as last confirmed by its worker.
func (r *activeRun) pace() int { return fullPercent - r.throttledPercent }

// assumeThrottled takes a run of an earlier planner to be throttled as far as possible: raising
// an unknown pace could cause harm.
func (r *activeRun) assumeThrottled() {
	if r.step.BestEffortCPU {
		r.throttledPercent = fullPercent - minPace
	}
}

// ThrottleOrders returns the throttle orders that are due.
func (c *Core) ThrottleOrders() []ThrottleOrder {
	out := c.pendingThrottles
	c.pendingThrottles = nil
	return out
}

// HandleThrottleAnswer handles the answer to a throttle order. An unanswered one is decided on
// again with the worker's next report.
func (c *Core) HandleThrottleAnswer(order ThrottleOrder, answer Answer, now time.Time) {
	w := c.workers[order.Worker]
	if w == nil {
		return
	}
	if order.Incarnation == w.number {
		c.readClock(w, answer.ClockMS, now)
	}
	if answer.Result == Fenced {
		c.handleFenced(w, order.Token)
	}
	r := c.runs[order.Task]
	if r == nil || r.run != order.Run || r.worker != w {
		return
	}
	r.throttlePending = false
	if answer.Result != Accepted || order.Incarnation != w.number {
		return
	}
	r.throttledPercent = fullPercent - order.Percent
	r.throttledAt = now
	c.emit(Event{Name: EventRunPaced, Job: r.id.Job, Task: r.id.String(), Worker: w.ID, Run: r.run, Detail: strconv.Itoa(order.Percent)})
}

// boundPollWait limits the wait of a lease renewal if the tail latency has to be watched.
func (c *Core) boundPollWait(w *worker, wait time.Duration) time.Duration {
	if c.bounds.MaxOverTarget <= 0 || !w.hasFillersBesideServing() {
		return wait
	}
	return min(wait, c.bounds.MaxOverTarget/pollsPerHarm)
}
