// Package placement selects workers for a gang. It works on a Cluster, which holds the
// amounts of one data centre at one instant, and changes nothing else. It does not deal
// with quotas or with the order of jobs.
package placement

import (
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// CellShare is the part of one worker that one account's guaranteed cells cover.
type CellShare struct {
	Account domain.AccountID
	// Size is the amount of the worker that the cells cover.
	Size domain.Resources
	// Used is what the account's guaranteed gangs use of it.
	Used domain.Resources
}

// Node is one worker with its used and reserved amounts.
type Node struct {
	Worker domain.Worker
	// Schedulable is false for workers that are unreachable, draining, evacuated or
	// quarantined.
	Schedulable bool
	// Used is what all gangs hold, including those that are stopping.
	Used domain.Resources
	// Stopping is the part of Used that stopping gangs are freeing.
	Stopping domain.Resources
	// Pinned is the part of Used that can't be reclaimed: borrowers that are not
	// preemptible, and guaranteed gangs beyond their account's cells.
	Pinned domain.Resources
	// Cells are the guaranteed cells on this worker, one entry per account.
	Cells []CellShare
	// CellTotal is the sum of the cells' sizes.
	CellTotal domain.Resources
	// ReservedUntil is when a large job is expected to need the worker; zero if the worker
	// is not reserved.
	ReservedUntil time.Time
	// ReservedFor is the job for which the worker is reserved.
	ReservedFor domain.JobID
}

// Free returns the amount that no gang holds.
func (n *Node) Free() domain.Resources { return n.Worker.Capacity.Sub(n.Used) }

// FreeOutsideCells returns the amount of the worker that is neither in a cell nor held by
// gangs outside their account's cells.
func (n *Node) FreeOutsideCells() domain.Resources {
	outside := n.Used
	for i := range n.Cells {
		outside = outside.Sub(n.Cells[i].Used)
	}
	return n.Worker.Capacity.Sub(n.CellTotal).Sub(outside)
}

// CellFree returns the unused amount of the account's cells on the worker.
func (n *Node) CellFree(account domain.AccountID) domain.Resources {
	for i := range n.Cells {
		if n.Cells[i].Account == account {
			return n.Cells[i].Size.Sub(n.Cells[i].Used)
		}
	}
	return domain.Resources{}
}

// CellSize returns the size of the account's cells on the worker.
func (n *Node) CellSize(account domain.AccountID) domain.Resources {
	for i := range n.Cells {
		if n.Cells[i].Account == account {
			return n.Cells[i].Size
		}
	}
	return domain.Resources{}
}

// AddCell adds an amount to the account's cells on the worker.
func (n *Node) AddCell(account domain.AccountID, size domain.Resources) {
	n.CellTotal = n.CellTotal.Add(size)
	for i := range n.Cells {
		if n.Cells[i].Account == account {
			n.Cells[i].Size = n.Cells[i].Size.Add(size)
			return
		}
	}
	n.Cells = append(n.Cells, CellShare{Account: account, Size: size})
}

// UseCell adds the amount to the use of the account's cells and returns the part that
// exceeds them.
func (n *Node) UseCell(account domain.AccountID, amount domain.Resources) (excess domain.Resources) {
	for i := range n.Cells {
		cell := &n.Cells[i]
		if cell.Account != account {
			continue
		}
		within := minResources(amount, cell.Size.Sub(cell.Used))
		cell.Used = cell.Used.Add(within)
		return amount.Sub(within)
	}
	return amount
}

func minResources(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		CPU:          min(a.CPU, b.CPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
	}
}

// Rack is a range of Cluster.Nodes, from First up to but not including End.
type Rack struct {
	ID         domain.RackID
	Row        int
	First, End int
}

// Cluster holds the workers of one data centre, ordered by row, rack and id.
type Cluster struct {
	Nodes []Node
	Racks []Rack
	index map[domain.WorkerID]int
}

// NewCluster returns a cluster of the workers, all schedulable and empty.
func NewCluster(workers []domain.Worker) *Cluster {
	sorted := workers
	less := func(i, j int) bool { return isBefore(sorted[i], sorted[j]) }
	if !sort.SliceIsSorted(sorted, less) {
		sorted = append([]domain.Worker(nil), workers...)
		sort.Slice(sorted, less)
	}
	c := &Cluster{
		Nodes: make([]Node, len(sorted)),
		index: make(map[domain.WorkerID]int, len(sorted)),
	}
	for i, worker := range sorted {
		c.Nodes[i] = Node{Worker: worker, Schedulable: true}
		c.index[worker.ID] = i
		last := len(c.Racks) - 1
		if last < 0 || c.Racks[last].ID != worker.Rack {
			c.Racks = append(c.Racks, Rack{ID: worker.Rack, Row: worker.Row, First: i})
			last++
		}
		c.Racks[last].End = i + 1
	}
	return c
}

func isBefore(a, b domain.Worker) bool {
	if a.Row != b.Row {
		return a.Row < b.Row
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// Node returns the node of a worker, or nil if the worker is not in the cluster.
func (c *Cluster) Node(id domain.WorkerID) *Node {
	if i, ok := c.index[id]; ok {
		return &c.Nodes[i]
	}
	return nil
}

// Capacity returns the sum of the capacities of all schedulable workers.
func (c *Cluster) Capacity() domain.Resources {
	var sum domain.Resources
	for i := range c.Nodes {
		if c.Nodes[i].Schedulable {
			sum = sum.Add(c.Nodes[i].Worker.Capacity)
		}
	}
	return sum
}

// Allocate adds a gang's use to its workers. Workers that are not in the cluster are skipped.
func (c *Cluster) Allocate(p domain.Placement, perTask domain.Resources) {
	for _, a := range p {
		if n := c.Node(a.Worker); n != nil {
			n.Used = n.Used.Add(perTask.Times(a.Tasks))
		}
	}
}
