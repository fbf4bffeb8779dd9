package placement

import "github.com/cobalttide/cobalttide/domain"

// Fragmentation returns the free accelerators of a cluster, and how many of them are left
// over after as many blocks of the shape as possible have been placed.
func Fragmentation(c *Cluster, shape domain.Shape) (free, unusable int) {
	scratch := &Cluster{Nodes: append([]Node(nil), c.Nodes...), Racks: c.Racks, index: c.index}
	for i := range scratch.Nodes {
		if scratch.Nodes[i].Schedulable {
			free += max(0, scratch.Nodes[i].Free().Accelerators)
		}
	}
	if shape.Accelerators() == 0 {
		return free, 0
	}
	var finder Finder
	unusable = free
	for {
		p, ok := finder.Find(scratch, shape, BestFit, (*Node).Free)
		if !ok {
			return free, unusable
		}
		scratch.Allocate(p, shape.PerTask)
		unusable -= shape.Accelerators()
	}
}
