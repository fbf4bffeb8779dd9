package control

import (
	"strconv"
	"time"

	"github.com/cobalttide/cobalttide/workload"
)

// PaceOrder lets a run that fills work at a share of its pace.
type PaceOrder struct {
	Worker, Address string
	Life            int
	Task            workload.TaskID
	Run             int64
	// Percent is the share, 0 to 100.
	Percent int
	Token   int64
}

const (
	// paceDownAt is the share of its target at which a serving task's tail slows
	// what fills beside it, paceUpAt the share below which that is taken back.
	paceDownAt = 0.85
	paceUpAt   = 0.6
	// paceDown is the factor by which fillers are slowed, and paceStop the one
	// where the target is passed already.
	paceDown = 0.5
	paceStop = 0.2
	// paceUp is what fillers get back at a time, in percent.
	paceUp = 10
	// leastPace is the pace below which a filler is halted.
	leastPace = 10
	// figureSpan is the time that a worker's figure looks back over.
	figureSpan = 500 * time.Millisecond
	// harmLooks is how often the tail is looked at while it may be over target.
	harmLooks = 8
)

// serves tells whether the run has a target to keep.
func (l *live) serves() bool { return l.step.Perpetual && l.step.TargetMS > 0 }

// fillsBeside tells whether the worker runs serving tasks beside ones that fill.
func (w *worker) fillsBeside() bool {
	serves, fills := false, false
	for _, l := range w.tasks {
		serves = serves || l.serves()
		fills = fills || l.step.Fills
	}
	return serves && fills
}

// strain is the highest share of its target that a serving task's tail has
// reached on the worker; 0 where nothing serves.
func (w *worker) strain() float64 {
	most := 0.0
	for _, l := range w.tasks {
		if l.serves() && l.confirmed && !l.stopping {
			most = max(most, float64(l.figure)/float64(l.step.TargetMS))
		}
	}
	return most
}

// controlPace slows what fills on a worker while a serving task beside it comes
// near its target, and lets it go on step by step afterwards.
func (c *Core) controlPace(w *worker, now time.Time) {
	strain := w.strain()
	for _, l := range w.sortedTasks() {
		if !l.step.Fills || !l.confirmed || l.stopping || l.pacing || now.Before(l.pacedAt.Add(c.bounds.Pace+figureSpan)) {
			continue
		}
		if next := nextPace(l.paced(), strain); next != l.paced() {
			l.pacing = true
			c.paces = append(c.paces, PaceOrder{Worker: w.ID, Address: w.Address, Task: l.id, Run: l.run, Percent: next, Life: w.number, Token: w.token})
		}
	}
}

// nextPace is the pace that follows one under a strain.
func nextPace(current int, strain float64) int {
	switch {
	case strain >= 1:
		return halted(paceStop * float64(current))
	case strain >= paceDownAt:
		return halted(paceDown * float64(current))
	case strain < paceUpAt:
		return min(fullWork, current+paceUp)
	}
	return current
}

func halted(pace float64) int {
	if pace < leastPace {
		return 0
	}
	return int(pace)
}

// paced is the share at which the run works as far as its worker has answered.
func (l *live) paced() int { return fullWork - l.slowed }

// adoptPace takes a run of an earlier planner for slowed as far as it may be:
// raising a pace that is not known could harm.
func (l *live) adoptPace() {
	if l.step.Fills {
		l.slowed = fullWork - leastPace
	}
}

// Paces hands out the orders on pace that are due.
func (c *Core) Paces() []PaceOrder {
	out := c.paces
	c.paces = nil
	return out
}

// Paced takes the answer to an order on pace. One without an answer is decided
// on anew with the worker's next news.
func (c *Core) Paced(order PaceOrder, answer Answer, now time.Time) {
	w := c.workers[order.Worker]
	if w == nil {
		return
	}
	if order.Life == w.number {
		c.readClock(w, answer.ClockMS, now)
	}
	if answer.Verdict == Fenced {
		c.fenced(w, order.Token)
	}
	l := c.live[order.Task]
	if l == nil || l.run != order.Run || l.worker != w {
		return
	}
	l.pacing = false
	if answer.Verdict != Accepted || order.Life != w.number {
		return
	}
	l.slowed = fullWork - order.Percent
	l.pacedAt = now
	c.note(Note{Event: EventRunPaced, Job: l.id.Job, Task: l.id.String(), Worker: w.ID, Run: l.run, Detail: strconv.Itoa(order.Percent)})
}

// lookAgain bounds a hold's wait where a tail has to be watched.
func (c *Core) lookAgain(w *worker, wait time.Duration) time.Duration {
	if c.bounds.Harm <= 0 || !w.fillsBeside() {
		return wait
	}
	return min(wait, c.bounds.Harm/harmLooks)
}
