package control

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// PoolInterval is how often the pool is summarised for the instances that admit jobs.
const PoolInterval = time.Second

// measureBacklogs records the work that waits or runs after a round, by service and class. Tasks
// without an end are left out: it is not known when their capacity becomes free. So is work that
// may be bound to a part of the pool or can't run now (see competes): it would make work late
// that starts before it. If nothing else waits, work that is accepted now starts at once.
func (c *Core) measureBacklogs(plan decide.Plan, s *decide.Snapshot, now time.Time) {
	if now.Sub(c.backlogsAt) < PoolInterval {
		return
	}
	c.backlogsAt = now
	c.backlogs = map[string]*[admission.Classes]admission.Backlog{}
	if len(plan.Deferred) == 0 {
		return
	}
	started := map[int]int{}
	for _, a := range plan.Starts {
		started[a.Unit]++
	}
	shapes := c.openShapes(now)
	for _, d := range plan.Deferred {
		u := &s.Waiting[d.Unit]
		if u.Step.Perpetual || u.Allowed != nil || u.Exclusive || !competes(u.Step) || !fitsShapes(u, shapes[u.Service]) {
			continue
		}
		b := c.backlog(u.Service, u.Priority)
		b.Work.Add(u.Step.CapacityNeed(), len(u.Indexes)-started[d.Unit], u.RunTime)
		if estimate := time.Duration(u.Step.EstimateMS) * time.Millisecond; estimate > 0 {
			b.Estimated += estimate
			b.Expected += u.RunTime
		}
	}
	c.addRunningWork(now)
}

// competes reports whether the tasks of a step can take the capacity of any worker.
func competes(step *workload.Step) bool { return step.Label == "" && step.DataRack == "" }

// openShapes counts the workers that get new work by service and capacity.
func (c *Core) openShapes(now time.Time) map[string]map[workload.Resources]int {
	out := map[string]map[workload.Resources]int{}
	for _, w := range c.workersByID {
		if !c.isOpen(w, now) {
			continue
		}
		if out[w.Service] == nil {
			out[w.Service] = map[workload.Resources]int{}
		}
		out[w.Service][w.Capacity]++
	}
	return out
}

func (c *Core) isOpen(w *worker, now time.Time) bool {
	return w.listed && !w.gone && c.closedReason(w, now) == notClosed
}

// fitsShapes reports whether the workers could run a unit if they were empty: all tasks of a gang
// at once, or one task of another unit.
func fitsShapes(u *decide.Unit, shapes map[workload.Resources]int) bool {
	want := 1
	if u.Step.Gang {
		want = len(u.Indexes)
	}
	for capacity, workers := range shapes {
		each := capacity.Count(u.Step.CapacityNeed(), want)
		if u.Step.PerWorker > 0 {
			each = min(each, u.Step.PerWorker)
		}
		if want -= workers * each; want <= 0 {
			return true
		}
	}
	return false
}

// addRunningWork adds the rest of what runs to the backlogs of the services in which work waits.
func (c *Core) addRunningWork(now time.Time) {
	for _, r := range c.allRuns() {
		settings := c.queueSettings(r.job)
		if r.step.Perpetual || r.settled || settings.Advice != nil || !competes(r.step) || c.backlogs[settings.Service] == nil {
			continue
		}
		rest := r.remainingByProgress(now)
		if rest == 0 {
			rest = c.estimates.expected(r.job, r.id.Step)
			if !r.orderedAt.IsZero() {
				rest = max(0, rest-now.Sub(r.orderedAt))
			}
		}
		c.backlog(settings.Service, settings.Priority).Work.Add(r.step.CapacityNeed(), 1, rest)
	}
}

func (c *Core) backlog(service string, priority int) *admission.Backlog {
	backlogs := c.backlogs[service]
	if backlogs == nil {
		backlogs = &[admission.Classes]admission.Backlog{}
		c.backlogs[service] = backlogs
	}
	return &backlogs[admission.ClassOf(priority)]
}

// SummarizePool describes the listed workers and the waiting work by service. readable is unset
// if the entry of a worker can't be decoded.
func (c *Core) SummarizePool(now time.Time) (services map[string]admission.Service, readable bool) {
	services = map[string]admission.Service{}
	capacities := map[string]workload.Resources{}
	readable = true
	for _, w := range c.workersByID {
		if !w.listed {
			continue
		}
		readable = readable && !w.Unreadable
		s := services[w.Service]
		s.Add(w.Capacity, w.Listing.Labels)
		if c.isOpen(w, now) {
			s.AddFree(w.freeCapacity(), len(w.runs) == 0)
			capacities[w.Service] = capacities[w.Service].Add(w.Capacity)
		}
		services[w.Service] = s
	}
	for name, s := range services {
		if backlogs := c.backlogs[name]; backlogs != nil {
			s.SetStarts(*backlogs, capacities[name])
			services[name] = s
		}
	}
	return services, readable
}
