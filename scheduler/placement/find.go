package placement

import (
	"slices"

	"github.com/cobalttide/cobalttide/domain"
)

// Available returns the amount of a node that the current gang may use. It returns zero or
// negative resources for a node that must not be used.
type Available func(n *Node) domain.Resources

// Strategy is the rule that selects among the blocks that fit.
type Strategy int

// The strategies.
const (
	// BestFit takes the worker or run of racks with the least usable capacity and fills
	// its fullest workers first, which keeps the largest adjacent blocks whole.
	BestFit Strategy = iota
	// FirstFit takes the first worker or run of racks that fits; the baseline for
	// comparison.
	FirstFit
	// EmptiestFirst takes the block with the most free capacity, which preempts the fewest
	// gangs when a guarantee is reclaimed.
	EmptiestFirst
)

// isBetter reports whether a block with that many free accelerators is preferred to the
// best one so far.
func (s Strategy) isBetter(free, best int) bool {
	if s == EmptiestFirst {
		return free > best
	}
	return free < best
}

// Finder holds the buffers of Find, so that a search allocates only the placement that it
// returns. It is not safe for concurrent use.
type Finder struct {
	taskCounts []int
	// usableAccelerators are the accelerators of each node that the search may use.
	usableAccelerators []int
	order              []int
}

// Find returns workers for the shape, or false if no block fits.
func (f *Finder) Find(c *Cluster, shape domain.Shape, strategy Strategy, available Available) (domain.Placement, bool) {
	f.countTasks(c, shape, available)
	switch shape.Adjacency {
	case domain.SameWorker:
		return f.onOneWorker(c, shape, strategy)
	case domain.SameRack:
		return f.inRackWindow(c, shape, strategy, 1)
	case domain.NeighbouringRacks:
		return f.inRackWindow(c, shape, strategy, neighbouringRacks)
	}
	return f.fill(c, shape, strategy, 0, len(c.Nodes))
}

// neighbouringRacks is how many consecutive racks count as adjacent.
const neighbouringRacks = 2

// countTasks computes for each node how many tasks fit on it.
func (f *Finder) countTasks(c *Cluster, shape domain.Shape, available Available) {
	f.taskCounts = slices.Grow(f.taskCounts[:0], len(c.Nodes))[:len(c.Nodes)]
	f.usableAccelerators = slices.Grow(f.usableAccelerators[:0], len(c.Nodes))[:len(c.Nodes)]
	for i := range c.Nodes {
		f.taskCounts[i], f.usableAccelerators[i] = 0, 0
		if c.Nodes[i].Schedulable {
			have := available(&c.Nodes[i])
			f.taskCounts[i] = have.Count(shape.PerTask, shape.Tasks)
			f.usableAccelerators[i] = max(0, have.Accelerators)
		}
	}
}

func (f *Finder) onOneWorker(c *Cluster, shape domain.Shape, strategy Strategy) (domain.Placement, bool) {
	best, bestFree := -1, 0
	for i, n := range f.taskCounts {
		if n < shape.Tasks {
			continue
		}
		if strategy == FirstFit {
			best = i
			break
		}
		free := f.spareAccelerators(c, i, strategy)
		if best < 0 || strategy.isBetter(free, bestFree) {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return nil, false
	}
	return domain.Placement{{Worker: c.Nodes[best].Worker.ID, Tasks: shape.Tasks}}, true
}

// inRackWindow searches every run of up to width consecutive racks in neighbouring rows.
func (f *Finder) inRackWindow(c *Cluster, shape domain.Shape, strategy Strategy, width int) (domain.Placement, bool) {
	bestFirst, bestEnd, bestFree := -1, 0, 0
	for r := range c.Racks {
		first, end := c.Racks[r].First, c.windowEnd(r, width)
		tasks, free := f.sumWindow(c, first, end, strategy)
		if tasks < shape.Tasks {
			continue
		}
		if strategy == FirstFit {
			return f.fill(c, shape, strategy, first, end)
		}
		if bestFirst < 0 || strategy.isBetter(free, bestFree) {
			bestFirst, bestEnd, bestFree = first, end, free
		}
	}
	if bestFirst < 0 {
		return nil, false
	}
	return f.fill(c, shape, strategy, bestFirst, bestEnd)
}

func (c *Cluster) windowEnd(rack, width int) int {
	last := rack
	for last+1 < len(c.Racks) && last+1-rack < width && c.Racks[last+1].Row-c.Racks[last].Row <= 1 {
		last++
	}
	return c.Racks[last].End
}

func (f *Finder) sumWindow(c *Cluster, first, end int, strategy Strategy) (tasks, free int) {
	for i := first; i < end; i++ {
		tasks += f.taskCounts[i]
		free += f.spareAccelerators(c, i, strategy)
	}
	return tasks, free
}

// spareAccelerators is the value by which blocks are compared: the accelerators that the
// search may use, or, for EmptiestFirst, those that are free now.
func (f *Finder) spareAccelerators(c *Cluster, i int, strategy Strategy) int {
	if strategy == EmptiestFirst {
		return max(0, c.Nodes[i].Free().Accelerators)
	}
	return f.usableAccelerators[i]
}

// fill assigns the tasks to nodes of the window, in the order of the strategy.
func (f *Finder) fill(c *Cluster, shape domain.Shape, strategy Strategy, first, end int) (domain.Placement, bool) {
	tasks, _ := f.sumWindow(c, first, end, strategy)
	if tasks < shape.Tasks {
		return nil, false
	}
	f.order = f.order[:0]
	for i := first; i < end; i++ {
		if f.taskCounts[i] > 0 {
			f.order = append(f.order, i)
		}
	}
	switch strategy {
	case BestFit:
		f.sortFullestFirst(shape)
	case EmptiestFirst:
		f.sortEmptiestFirst(c)
	}
	return f.assignTasks(c, shape.Tasks), true
}

// sortFullestFirst orders the nodes by their usable accelerators, so that a gang takes
// first the workers that it fills exactly, and breaks up larger free amounts last. It
// prefers the nodes that take the most tasks if fewer workers then suffice.
func (f *Finder) sortFullestFirst(shape domain.Shape) {
	slices.SortStableFunc(f.order, func(i, j int) int {
		if f.usableAccelerators[i] != f.usableAccelerators[j] {
			return f.usableAccelerators[i] - f.usableAccelerators[j]
		}
		return f.taskCounts[j] - f.taskCounts[i]
	})
	if need := shape.Tasks; need > 1 {
		f.preferFewWorkers(need)
	}
}

func (f *Finder) sortEmptiestFirst(c *Cluster) {
	slices.SortStableFunc(f.order, func(i, j int) int {
		return c.Nodes[j].Free().Accelerators - c.Nodes[i].Free().Accelerators
	})
}

// preferFewWorkers moves the nodes that can take the most tasks to the front if the
// fullest-first order would spread the gang over more workers.
func (f *Finder) preferFewWorkers(need int) {
	spread := 0
	for left := need; left > 0; spread++ {
		left -= f.taskCounts[f.order[spread]]
	}
	byCount := slices.Clone(f.order)
	slices.SortStableFunc(byCount, func(i, j int) int { return f.taskCounts[j] - f.taskCounts[i] })
	dense := 0
	for left := need; left > 0; dense++ {
		left -= f.taskCounts[byCount[dense]]
	}
	if dense < spread {
		f.order = byCount
	}
}

func (f *Finder) assignTasks(c *Cluster, need int) domain.Placement {
	workers := 0
	for left := need; left > 0; workers++ {
		left -= f.taskCounts[f.order[workers]]
	}
	out := make(domain.Placement, 0, workers)
	for _, i := range f.order[:workers] {
		tasks := min(need, f.taskCounts[i])
		out = append(out, domain.Assignment{Worker: c.Nodes[i].Worker.ID, Tasks: tasks})
		need -= tasks
	}
	return out
}

// LargestBlock returns how many tasks of the shape fit into the best block of its
// adjacency. Refusals quote it.
func (f *Finder) LargestBlock(c *Cluster, shape domain.Shape, available Available) int {
	unbounded := shape
	unbounded.Tasks = domain.MaxGangSize
	f.countTasks(c, unbounded, available)
	best := 0
	switch shape.Adjacency {
	case domain.SameWorker:
		return slices.Max(append(f.taskCounts, 0))
	case domain.SameRack, domain.NeighbouringRacks:
		width := 1
		if shape.Adjacency == domain.NeighbouringRacks {
			width = neighbouringRacks
		}
		for r := range c.Racks {
			tasks, _ := f.sumWindow(c, c.Racks[r].First, c.windowEnd(r, width), BestFit)
			best = max(best, tasks)
		}
		return best
	}
	best, _ = f.sumWindow(c, 0, len(c.Nodes), BestFit)
	return best
}
