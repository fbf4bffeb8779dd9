package decide

import (
	"slices"

	"github.com/cobalttide/cobalttide/workload"
)

// groupIndex records which groups hold what on which open workers. It is built at most once per
// plan, when the first unit looks for victims, so that each search visits only the groups on the
// workers that its unit may use instead of everything that runs.
type groupIndex struct {
	// byWorker lists the groups on each worker, ordered by the work lost per accelerator freed;
	// byGroup lists the workers of each group.
	byWorker [][]groupAllocation
	byGroup  [][]workerAllocation
}

// groupAllocation is what a given group holds on a worker.
type groupAllocation struct {
	group int
	workload.Resources
}

// workerAllocation is what a group holds on a given worker.
type workerAllocation struct {
	w *workerState
	workload.Resources
}

// workersOf lists the open workers that a group runs on.
func (g *groupIndex) workersOf(group int) []workerAllocation { return g.byGroup[group] }

func newGroupIndex(s *Snapshot, workers []*workerState) *groupIndex {
	byID := make(map[string]*workerState, len(workers))
	for _, w := range workers {
		byID[w.ID] = w
	}
	index := &groupIndex{byWorker: make([][]groupAllocation, len(workers)), byGroup: make([][]workerAllocation, len(s.Running))}
	for i := range s.Running {
		for _, held := range s.Running[i].Allocations {
			w := byID[held.Worker]
			if w == nil {
				continue
			}
			index.byGroup[i] = append(index.byGroup[i], workerAllocation{w, held.Resources})
			index.byWorker[w.index] = append(index.byWorker[w.index], groupAllocation{i, held.Resources})
		}
	}
	for _, list := range index.byWorker {
		slices.SortStableFunc(list, func(a, b groupAllocation) int {
			return compareFloats(a.lostPerAccelerator(s), b.lostPerAccelerator(s))
		})
	}
	return index
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// lostPerAccelerator is the work that stopping the group throws away for each accelerator that it
// frees on the worker.
func (a groupAllocation) lostPerAccelerator(s *Snapshot) float64 {
	return s.Running[a.group].LostWork / (0.01 + float64(a.Accelerators))
}
