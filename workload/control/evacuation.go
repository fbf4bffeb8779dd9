package control

import (
	"fmt"
	"time"
)

// Evacuations: operators ask that a data centre gets nothing new until they take it
// back. What runs there goes on to its end under its lease: to move it would throw
// work away, and nothing asks for it. The worst that may happen is a start that was
// decided before the request was read and goes out after its bound, so that starts on
// their way are taken back (withdraw) and orders without an answer are not repeated.

// evacuation is what the planner knows of one.
type evacuation struct {
	// since is when this planner read of it.
	since time.Time
	// empty tells that nothing runs there any more.
	empty bool
}

// Evacuate takes over which data centres are to get nothing new.
func (c *Core) Evacuate(centres []string, now time.Time) {
	asked := make(map[string]bool, len(centres))
	for _, name := range centres {
		asked[name] = true
		if c.evacuations[name] == nil {
			c.evacuations[name] = &evacuation{since: now}
			c.note(Note{Event: EventEvacuationBegins, Detail: fmt.Sprintf("centre=%s runs=%d", name, c.runsIn(name))})
		}
	}
	for _, name := range sortedKeys(c.evacuations) {
		if !asked[name] {
			c.note(Note{Event: EventEvacuationEnds, Detail: fmt.Sprintf("centre=%s runs=%d lasted_ms=%d", name, c.runsIn(name), now.Sub(c.evacuations[name].since).Milliseconds())})
			delete(c.evacuations, name)
		}
	}
}

func (c *Core) evacuates(w *worker) bool { return c.evacuations[w.DataCentre] != nil }

// unknownCentre is where workers are whose entries were not read yet.
const unknownCentre = ""

// runsIn counts the runs that may be at work in a data centre.
func (c *Core) runsIn(name string) int {
	n := 0
	for _, w := range c.workers {
		if w.DataCentre == name {
			n += len(w.tasks)
		}
	}
	return n
}

// Evacuated is what is left to do of the evacuations.
type Evacuated struct {
	// Centres is how many data centres get nothing new, Runs how many runs are left
	// there, or may be: those on workers of which it is not known where they are count.
	Centres, Runs int
}

// Evacuated counts what is left, and notes when a data centre has become empty.
func (c *Core) Evacuated(now time.Time) Evacuated {
	out := Evacuated{Centres: len(c.evacuations)}
	if out.Centres == 0 {
		return out
	}
	anywhere := c.runsIn(unknownCentre)
	out.Runs = anywhere
	for _, name := range sortedKeys(c.evacuations) {
		e := c.evacuations[name]
		runs := c.runsIn(name)
		out.Runs += runs
		empty := runs+anywhere == 0
		if empty && !e.empty {
			c.note(Note{Event: EventEvacuationEmpty, Detail: fmt.Sprintf("centre=%s after_ms=%d", name, now.Sub(e.since).Milliseconds())})
		}
		e.empty = empty
	}
	return out
}
