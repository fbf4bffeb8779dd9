package control

import (
	"fmt"
	"time"
)

// Evacuation: operators request that a data centre gets no new work until they revoke the
// request. Runs there finish under their leases: moving them would waste work, and is not
// required. The worst case is a start that was planned before the request was read and is sent
// after the deadline, so pending starts are withdrawn (withdrawStarts) and unanswered start
// orders are not repeated.

// evacuation is the state of one evacuated data centre.
type evacuation struct {
	// since is when this planner read the request.
	since time.Time
	// empty is set once nothing runs there any more.
	empty bool
}

// Evacuate sets the data centres that are to get no new work.
func (c *Core) Evacuate(centres []string, now time.Time) {
	requested := make(map[string]bool, len(centres))
	for _, name := range centres {
		requested[name] = true
		if c.evacuations[name] == nil {
			c.evacuations[name] = &evacuation{since: now}
			c.emit(Event{Name: EventEvacuationBegins, Detail: fmt.Sprintf("centre=%s runs=%d", name, c.runsIn(name))})
		}
	}
	for _, name := range sortedKeys(c.evacuations) {
		if !requested[name] {
			c.emit(Event{Name: EventEvacuationEnds, Detail: fmt.Sprintf("centre=%s runs=%d lasted_ms=%d", name, c.runsIn(name), now.Sub(c.evacuations[name].since).Milliseconds())})
			delete(c.evacuations, name)
		}
	}
}

func (c *Core) isEvacuated(w *worker) bool { return c.evacuations[w.DataCentre] != nil }

// unknownCentre stands for the data centre of workers whose entries have not been read yet.
const unknownCentre = ""

// runsIn counts the runs that may be running in a data centre.
func (c *Core) runsIn(name string) int {
	n := 0
	for _, w := range c.workers {
		if w.DataCentre == name {
			n += len(w.runs)
		}
	}
	return n
}

// EvacuationStatus is the remaining work of the evacuations.
type EvacuationStatus struct {
	// Centres is the number of evacuated data centres, Runs the number of runs that are or may be
	// left there, including those on workers whose data centre is unknown.
	Centres, Runs int
}

// EvacuationStatus counts the remaining work, and emits an event when a data centre has become
// empty.
func (c *Core) EvacuationStatus(now time.Time) EvacuationStatus {
	out := EvacuationStatus{Centres: len(c.evacuations)}
	if out.Centres == 0 {
		return out
	}
	inUnknown := c.runsIn(unknownCentre)
	out.Runs = inUnknown
	for _, name := range sortedKeys(c.evacuations) {
		e := c.evacuations[name]
		runs := c.runsIn(name)
		out.Runs += runs
		empty := runs+inUnknown == 0
		if empty && !e.empty {
			c.emit(Event{Name: EventEvacuationEmpty, Detail: fmt.Sprintf("centre=%s after_ms=%d", name, now.Sub(e.since).Milliseconds())})
		}
		e.empty = empty
	}
	return out
}
