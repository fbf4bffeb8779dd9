package decide

import "slices"

// Workers differ permanently in speed, and a gang runs at the speed of its slowest member: if a
// third of the workers take 1.3 times as long, a gang of 8 on arbitrary workers takes 1.3 times as
// long in 19 of 20 cases. Gangs of the top priority, which have little time, are therefore placed
// on fast workers if these have room, then on workers that are not slow. Other gangs leave the
// fast workers to them while there is room elsewhere, and single tasks, which each run at their
// own speed, fill the slow workers first. Workers in a slow spell take several times as long, so they
// are in none of these classes and come last for every unit.

// speedClass selects the workers that are searched.
type speedClass int

const (
	// anySpeed selects all workers.
	anySpeed speedClass = iota
	// notSlow selects the workers that are not known to be slow.
	notSlow
	// slow selects the workers that are.
	slow
	// fast selects the workers that are known to be faster than most, notFast all others.
	fast
	notFast
	// notSlowed selects the workers that are in no slow spell.
	notSlowed
)

// speedThreshold is the factor to the average speed from which on a worker counts as fast or slow.
// Twice the usual difference between tasks of one step is far more, but a worker's runs are
// compared with several others.
const speedThreshold = 1.1

// IsSlow reports whether a worker with the given speed relative to the average counts as slow; 0 is
// unknown.
func IsSlow(speed float64) bool { return speed > 0 && speed < 1/speedThreshold }

// IsFast reports whether a worker with the given speed counts as faster than most.
func IsFast(speed float64) bool { return speed > speedThreshold }

// groupBySpeed lists the workers by speed class. If none is slow, or all are, no distinction is
// made.
func (p *planner) groupBySpeed() {
	p.byClass = map[speedClass][]*workerState{}
	p.racksByClass = map[speedClass]map[string][]*workerState{notSlow: {}, slow: {}, fast: {}, notFast: {}, notSlowed: {}}
	for _, w := range p.workers {
		if w.Slowed {
			continue
		}
		p.addToClass(w, true, notSlowed, notSlowed)
		p.addToClass(w, IsSlow(w.Speed), slow, notSlow)
		p.addToClass(w, IsFast(w.Speed), fast, notFast)
	}
}

// addToClass lists a worker under one of two classes.
func (p *planner) addToClass(w *workerState, matches bool, class, otherwise speedClass) {
	if !matches {
		class = otherwise
	}
	p.byClass[class] = append(p.byClass[class], w)
	p.racksByClass[class][w.Rack] = append(p.racksByClass[class][w.Rack], w)
}

// classOrder returns the speed classes that a unit is tried on, in order.
func (p *planner) classOrder(u *Unit) []speedClass {
	order := p.speedOrder(u)
	if n := len(p.byClass[notSlowed]); n == 0 || n == len(p.workers) {
		return order
	}
	last := len(order) - 1
	return append(slices.Clone(order[:last]), notSlowed, anySpeed)
}

// speedOrder returns the order by lasting speeds; it ends with anySpeed.
func (p *planner) speedOrder(u *Unit) []speedClass {
	someSlow := len(p.byClass[slow]) > 0 && len(p.byClass[notSlow]) > 0
	someFast := len(p.byClass[fast]) > 0 && len(p.byClass[notFast]) > 0
	switch {
	case p.snapshot.Disabled[WorkerSpeeds] || !(someSlow || someFast):
		return anySpeedOnly
	case u.Priority == 0 && someFast:
		return fastThenNotSlow
	case u.Priority == 0:
		return notSlowFirst
	case u.Step.Gang && someFast:
		return notFastFirst
	case u.Step.Gang:
		return anySpeedOnly
	}
	return slowFirst
}

var (
	anySpeedOnly    = []speedClass{anySpeed}
	fastThenNotSlow = []speedClass{fast, notSlow, anySpeed}
	notSlowFirst    = []speedClass{notSlow, anySpeed}
	notFastFirst    = []speedClass{notFast, anySpeed}
	slowFirst       = []speedClass{slow, anySpeed}
)

// workersIn returns the workers of a speed class.
func (p *planner) workersIn(class speedClass) []*workerState {
	if class == anySpeed {
		return p.workers
	}
	return p.byClass[class]
}

// rackWorkersIn returns the workers of a speed class in a rack.
func (p *planner) rackWorkersIn(rack string) func(speedClass) []*workerState {
	return func(class speedClass) []*workerState {
		if class == anySpeed {
			return p.racks[rack]
		}
		return p.racksByClass[class][rack]
	}
}
