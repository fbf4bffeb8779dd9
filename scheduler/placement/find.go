package placement

import (
	"slices"

	"github.com/cobalttide/cobalttide/domain"
)

// Available says what of a node may be used for the gang at hand. It returns
// zero Resources for a node that must not be used.
type Available func(n *Node) domain.Resources

// Strategy is the rule by which a block is chosen among those that fit.
type Strategy int

// The strategies.
const (
	// BestFit takes the domain that has least to spare and fills its fullest
	// workers first, so that the largest adjacent blocks stay whole.
	BestFit Strategy = iota
	// FirstFit takes the first domain that fits; the baseline.
	FirstFit
	// EmptiestFirst takes the block with most to spare, which costs the fewest
	// victims when a guarantee is reclaimed.
	EmptiestFirst
)

// better tells whether a block with that many free accelerators is preferred
// to the best one so far.
func (s Strategy) better(free, best int) bool {
	if s == EmptiestFirst {
		return free > best
	}
	return free < best
}

// Finder holds the scratch memory of Find, so that a decision allocates only
// the placement that it returns. Not safe for concurrent use.
type Finder struct {
	counts []int
	// usable are the accelerators of each node that the search may use.
	usable []int
	order  []int
}

// Find returns workers for the shape, or false when no block fits.
func (f *Finder) Find(c *Cluster, shape domain.Shape, strategy Strategy, available Available) (domain.Placement, bool) {
	f.count(c, shape, available)
	switch shape.Adjacency {
	case domain.SameWorker:
		return f.onOneWorker(c, shape, strategy)
	case domain.SameRack:
		return f.inRackWindow(c, shape, strategy, 1)
	case domain.NeighbouringRack:
		return f.inRackWindow(c, shape, strategy, neighbouringRacks)
	}
	return f.fill(c, shape, strategy, 0, len(c.Nodes))
}

// neighbouringRacks is how many consecutive racks count as adjacent.
const neighbouringRacks = 2

// count notes for every node how many tasks it could take.
func (f *Finder) count(c *Cluster, shape domain.Shape, available Available) {
	f.counts = slices.Grow(f.counts[:0], len(c.Nodes))[:len(c.Nodes)]
	f.usable = slices.Grow(f.usable[:0], len(c.Nodes))[:len(c.Nodes)]
	for i := range c.Nodes {
		f.counts[i], f.usable[i] = 0, 0
		if c.Nodes[i].Schedulable {
			have := available(&c.Nodes[i])
			f.counts[i] = have.Count(shape.PerTask, shape.Tasks)
			f.usable[i] = max(0, have.Accelerators)
		}
	}
}

func (f *Finder) onOneWorker(c *Cluster, shape domain.Shape, strategy Strategy) (domain.Placement, bool) {
	best, bestFree := -1, 0
	for i, n := range f.counts {
		if n < shape.Tasks {
			continue
		}
		if strategy == FirstFit {
			best = i
			break
		}
		free := f.spare(c, i, strategy)
		if best < 0 || strategy.better(free, bestFree) {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return nil, false
	}
	return domain.Placement{{Worker: c.Nodes[best].Worker.ID, Tasks: shape.Tasks}}, true
}

// inRackWindow looks at every run of racks in neighbouring rows.
func (f *Finder) inRackWindow(c *Cluster, shape domain.Shape, strategy Strategy, width int) (domain.Placement, bool) {
	bestFirst, bestEnd, bestFree := -1, 0, 0
	for r := range c.Racks {
		first, end := c.Racks[r].First, c.windowEnd(r, width)
		tasks, free := f.sum(c, first, end, strategy)
		if tasks < shape.Tasks {
			continue
		}
		if strategy == FirstFit {
			return f.fill(c, shape, strategy, first, end)
		}
		if bestFirst < 0 || strategy.better(free, bestFree) {
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

func (f *Finder) sum(c *Cluster, first, end int, strategy Strategy) (tasks, free int) {
	for i := first; i < end; i++ {
		tasks += f.counts[i]
		free += f.spare(c, i, strategy)
	}
	return tasks, free
}

// spare is what blocks are compared by: what the search may use, or, when
// victims are to be few, what is free by now.
func (f *Finder) spare(c *Cluster, i int, strategy Strategy) int {
	if strategy == EmptiestFirst {
		return max(0, c.Nodes[i].Free().Accelerators)
	}
	return f.usable[i]
}

// fill spreads the tasks over the nodes of one window, fullest nodes first.
func (f *Finder) fill(c *Cluster, shape domain.Shape, strategy Strategy, first, end int) (domain.Placement, bool) {
	tasks, _ := f.sum(c, first, end, strategy)
	if tasks < shape.Tasks {
		return nil, false
	}
	f.order = f.order[:0]
	for i := first; i < end; i++ {
		if f.counts[i] > 0 {
			f.order = append(f.order, i)
		}
	}
	switch strategy {
	case BestFit:
		f.sortFullestFirst(shape)
	case EmptiestFirst:
		f.sortEmptiestFirst(c)
	}
	return f.take(c, shape.Tasks), true
}

// sortFullestFirst orders candidates by what they have free. A gang that fills
// whole workers takes those that it fills exactly; the rest is broken up last.
func (f *Finder) sortFullestFirst(shape domain.Shape) {
	slices.SortStableFunc(f.order, func(i, j int) int {
		if f.usable[i] != f.usable[j] {
			return f.usable[i] - f.usable[j]
		}
		return f.counts[j] - f.counts[i]
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

// preferFewWorkers moves the nodes that can take most tasks to the front when
// the fullest-first order would spread the gang over more workers.
func (f *Finder) preferFewWorkers(need int) {
	spread := 0
	for left := need; left > 0; spread++ {
		left -= f.counts[f.order[spread]]
	}
	byCount := slices.Clone(f.order)
	slices.SortStableFunc(byCount, func(i, j int) int { return f.counts[j] - f.counts[i] })
	dense := 0
	for left := need; left > 0; dense++ {
		left -= f.counts[byCount[dense]]
	}
	if dense < spread {
		f.order = byCount
	}
}

func (f *Finder) take(c *Cluster, need int) domain.Placement {
	workers := 0
	for left := need; left > 0; workers++ {
		left -= f.counts[f.order[workers]]
	}
	out := make(domain.Placement, 0, workers)
	for _, i := range f.order[:workers] {
		tasks := min(need, f.counts[i])
		out = append(out, domain.Assignment{Worker: c.Nodes[i].Worker.ID, Tasks: tasks})
		need -= tasks
	}
	return out
}

// LargestBlock returns how many whole tasks of the shape's kind the best block
// of its adjacency could take. It is what a refusal quotes.
func (f *Finder) LargestBlock(c *Cluster, shape domain.Shape, available Available) int {
	unbounded := shape
	unbounded.Tasks = domain.MaxGang
	f.count(c, unbounded, available)
	best := 0
	switch shape.Adjacency {
	case domain.SameWorker:
		return slices.Max(append(f.counts, 0))
	case domain.SameRack, domain.NeighbouringRack:
		width := 1
		if shape.Adjacency == domain.NeighbouringRack {
			width = neighbouringRacks
		}
		for r := range c.Racks {
			tasks, _ := f.sum(c, c.Racks[r].First, c.windowEnd(r, width), BestFit)
			best = max(best, tasks)
		}
		return best
	}
	best, _ = f.sum(c, 0, len(c.Nodes), BestFit)
	return best
}
