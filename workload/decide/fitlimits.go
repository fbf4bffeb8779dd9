package decide

import "github.com/cobalttide/cobalttide/workload"

// fitLimits caches, for the duration of one plan, upper bounds on what still fits. When the pool
// is full and hundreds of units wait, most of them have the same shape, and a search that failed
// for one fails for the next. The bounds stay valid because free capacity only shrinks in the
// course of a plan, and capacity being freed grows only where the plan decides on a stop, which
// clears them.
type fitLimits map[shape]fitLimit

// shape holds everything that decides where a unit's tasks fit, except for constraints on
// individual workers.
type shape struct {
	need    workload.Resources
	service string
	label   string
	// skipsReserved reports whether the unit may not use reserved racks.
	skipsReserved bool
	// class is the speed class of the workers that are searched.
	class speedClass
}

// fitLimit is the largest number of tasks of a shape that can fit: in total over all workers, and
// in any one rack.
type fitLimit struct {
	total, perRack int
}

const noLimit = 1 << 30

func (l fitLimits) get(s shape) fitLimit {
	if limit, known := l[s]; known {
		return limit
	}
	return fitLimit{noLimit, noLimit}
}

// lowerTotal records that fewer than n tasks fit over all workers.
func (l fitLimits) lowerTotal(s shape, n int) {
	limit := l.get(s)
	limit.total = min(limit.total, n-1)
	limit.perRack = min(limit.perRack, n-1)
	l[s] = limit
}

// lowerPerRack records that fewer than n tasks fit in any rack.
func (l fitLimits) lowerPerRack(s shape, n int) {
	limit := l.get(s)
	limit.perRack = min(limit.perRack, n-1)
	l[s] = limit
}

func (p *planner) shapeOf(u *Unit, class speedClass) shape {
	return shape{need: u.Step.CapacityNeed(), service: u.Service, label: u.Step.Label, skipsReserved: p.skipsReserved, class: class}
}

// isUnconstrained reports whether the unit has no constraints on individual workers, so that a
// search that fails for it also fails for every other unit of its shape.
func (u *Unit) isUnconstrained() bool {
	return u.Allowed == nil && len(u.Avoid) == 0 && u.Step.PerWorker == 0 && !u.Suspect
}

// limits returns the limits for the given kind of capacity, free or being freed.
func (p *planner) limits(kind capacityKind) fitLimits {
	if kind == freeingCapacity {
		return p.freeingLimits
	}
	return p.freeLimits
}
