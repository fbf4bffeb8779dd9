package control

import "github.com/cobalttide/cobalttide/workload/decide"

// avoidFailedWorkers excludes the workers on which tasks of the unit's job have failed, provided
// that the total capacity of the others could hold the unit: otherwise it might wait forever.
func (c *Core) avoidFailedWorkers(u *decide.Unit, j *job) {
	if len(j.avoidedWorkers) == 0 {
		return
	}
	needed := 1
	if u.Step.Gang {
		needed = len(u.Indexes)
	}
	for _, w := range c.workersByID {
		if !w.listed || j.avoidedWorkers[w.ID] || w.Service != u.Service || c.removedReason(w) != notClosed || !hasLabel(w, u.Step.Label) {
			continue
		}
		if needed -= w.Capacity.Count(u.Step.CapacityNeed(), needed); needed <= 0 {
			u.Avoid = j.avoidedWorkers
			return
		}
	}
}

// hasLabel reports whether a worker has a label. An empty label matches every worker.
func hasLabel(w *worker, label string) bool { return label == "" || w.labels[label] }
