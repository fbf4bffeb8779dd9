package decide

import (
	"slices"
	"sort"

	"github.com/cobalttide/cobalttide/workload"
)

// victimSearch looks for groups to stop so that a unit fits on some workers. It frees capacity
// worker by worker, each time where one more task costs the least work: stopping the cheapest
// groups wherever they are would free parts of many workers and no whole one. The result for a
// worker stays valid until a group on it is chosen or taken back.
type victimSearch struct {
	p          *planner
	u          *Unit
	candidates []*candidate
	// fitting is the number of tasks that fit over all candidates; each candidate counts with at
	// most the unit's number of tasks.
	fitting int
	chosen  []int
}

// candidate is a worker of a victim search.
type candidate struct {
	w *workerState
	// stoppable lists the groups that may be stopped there, the cheapest first.
	stoppable []groupAllocation
	freed     workload.Resources
	// fits is the number of tasks that fit.
	fits int
	// nextStops are the groups whose stop lets at least one more task fit, gain is how many more
	// fit then and cost the work lost; current reports whether the three are up to date.
	nextStops []groupAllocation
	gain      int
	cost      float64
	current   bool
}

// victimsOn returns the groups whose stop makes room for the unit on the workers; nil if no stops
// do.
func (p *planner) victimsOn(u *Unit, workers []*workerState, canStop victimFilter) *victimSet {
	n := len(u.Indexes)
	s := p.newVictimSearch(u, workers, canStop)
	defer s.detach()
	if s.maxFits() < n {
		return nil
	}
	for s.fitting < n {
		best := s.cheapest(n - s.fitting)
		if best == nil {
			return nil
		}
		for _, alloc := range best.nextStops {
			s.choose(alloc.group)
		}
	}
	kept := s.prune(n)
	set := &victimSet{groups: kept, placements: p.findPlacements(u, workers, n, searchedCapacity)}
	for _, g := range kept {
		set.lost += p.snapshot.Running[g].LostWork
	}
	return set
}

func (p *planner) newVictimSearch(u *Unit, workers []*workerState, canStop victimFilter) *victimSearch {
	if p.groups == nil {
		p.groups = newGroupIndex(p.snapshot, p.workers)
	}
	s := &victimSearch{p: p, u: u}
	for _, w := range workers {
		if !u.accepts(w) {
			continue
		}
		c := &candidate{w: w}
		for _, alloc := range p.groups.byWorker[w.index] {
			if g := &p.snapshot.Running[alloc.group]; !g.Stopping && !g.NonPreemptible && !p.stopped[alloc.group] && canStop(u, g) {
				c.stoppable = append(c.stoppable, alloc)
			}
		}
		w.candidate = c
		c.fits = s.fitCount(c, searchedCapacity.on(w))
		s.fitting += c.fits
		s.candidates = append(s.candidates, c)
	}
	return s
}

// detach removes the search from its workers.
func (s *victimSearch) detach() {
	for _, c := range s.candidates {
		c.w.candidate = nil
	}
}

// maxFits is the number of tasks that would fit if all stoppable groups were stopped.
func (s *victimSearch) maxFits() int {
	total := 0
	for _, c := range s.candidates {
		capacity := searchedCapacity.on(c.w)
		for _, alloc := range c.stoppable {
			capacity = capacity.Add(alloc.Resources)
		}
		total += s.fitCount(c, capacity)
	}
	return total
}

func (s *victimSearch) fitCount(c *candidate, capacity workload.Resources) int {
	return s.p.fitCount(s.u, c.w, capacity, len(s.u.Indexes))
}

// choose adds a group to those to be stopped.
func (s *victimSearch) choose(group int) {
	s.chosen = append(s.chosen, group)
	s.adjust(group, workload.Resources.Add)
}

// adjust adds what a group holds to the capacity that would be freed, or subtracts it again.
func (s *victimSearch) adjust(group int, by func(a, b workload.Resources) workload.Resources) {
	for _, alloc := range s.p.groups.workersOf(group) {
		c := alloc.w.candidate
		if c == nil {
			continue
		}
		c.freed = by(c.freed, alloc.Resources)
		c.current = false
		s.fitting -= c.fits
		c.fits = s.fitCount(c, searchedCapacity.on(c.w))
		s.fitting += c.fits
	}
}

// cheapest returns the candidate with the lowest cost for each task that then fits; useful is how
// many more tasks are needed at most.
func (s *victimSearch) cheapest(useful int) *candidate {
	var best *candidate
	bestCost := 0.0
	for _, c := range s.candidates {
		s.updateNextStops(c)
		if c.nextStops == nil {
			continue
		}
		if cost := c.cost / float64(min(useful, c.gain)); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// updateNextStops computes the groups of a candidate whose stop lets at least one more task fit
// there, and how many more fit then.
func (s *victimSearch) updateNextStops(c *candidate) {
	if c.current {
		return
	}
	c.current, c.nextStops, c.cost = true, nil, 0
	capacity := searchedCapacity.on(c.w)
	var stops []groupAllocation
	for _, alloc := range c.stoppable {
		if slices.Contains(s.chosen, alloc.group) {
			continue
		}
		capacity = capacity.Add(alloc.Resources)
		stops = append(stops, alloc)
		if s.fitCount(c, capacity) > c.fits {
			break
		}
	}
	c.nextStops = s.dropUnneeded(c, stops, capacity)
	capacity = searchedCapacity.on(c.w)
	for _, alloc := range c.nextStops {
		capacity = capacity.Add(alloc.Resources)
		c.cost += s.p.snapshot.Running[alloc.group].LostWork
	}
	c.gain = s.fitCount(c, capacity) - c.fits
}

// dropUnneeded drops the groups without which one more task still fits, the most expensive first;
// nil if not even stopping all of them makes one more fit.
func (s *victimSearch) dropUnneeded(c *candidate, stops []groupAllocation, capacity workload.Resources) []groupAllocation {
	if s.fitCount(c, capacity) <= c.fits {
		return nil
	}
	var kept []groupAllocation
	for i := len(stops) - 1; i >= 0; i-- {
		smaller := capacity.Sub(stops[i].Resources)
		if s.fitCount(c, smaller) > c.fits {
			capacity = smaller
			continue
		}
		kept = append(kept, stops[i])
	}
	return kept
}

// prune takes back the groups that are not needed, the most expensive first.
func (s *victimSearch) prune(n int) []int {
	running := s.p.snapshot.Running
	sort.SliceStable(s.chosen, func(a, b int) bool { return running[s.chosen[a]].LostWork > running[s.chosen[b]].LostWork })
	var kept []int
	for _, g := range s.chosen {
		s.adjust(g, workload.Resources.Sub)
		if s.fitting < n {
			s.adjust(g, workload.Resources.Add)
			kept = append(kept, g)
		}
	}
	return kept
}
