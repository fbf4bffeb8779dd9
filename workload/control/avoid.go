package control

import "github.com/cobalttide/cobalttide/workload/decide"

// keepOff has a unit keep off the workers on which tasks of its job have failed, as long as the
// others could take it with all of their room: else it would wait for ever.
func (c *Core) keepOff(u *decide.Unit, j *job) {
	if len(j.avoid) == 0 {
		return
	}
	left := 1
	if u.Step.Gang {
		left = len(u.Indexes)
	}
	for _, w := range c.inOrder {
		if !w.listed || j.avoid[w.ID] || w.Service != u.Service || c.removed(w) != open || !carries(w, u.Step.Label) {
			continue
		}
		if left -= w.Capacity.Count(u.Step.Counted(), left); left <= 0 {
			u.Avoid = j.avoid
			return
		}
	}
}

// carries tells whether a worker has a label; "" is none that is asked for.
func carries(w *worker, label string) bool { return label == "" || w.labels[label] }
