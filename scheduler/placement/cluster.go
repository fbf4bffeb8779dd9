// Package placement finds workers for a gang. It works on a Cluster, the
// amounts of one data centre at one instant, and changes nothing but that
// view. It knows nothing of quotas or of the order of jobs.
package placement

import (
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
)

// CellShare is what one account's guaranteed cells hold of one worker.
type CellShare struct {
	Account domain.AccountID
	// Size is the account's part of the worker.
	Size domain.Resources
	// Used is what the account's gangs within their guarantee use of it.
	Used domain.Resources
}

// Node is one worker with its amounts.
type Node struct {
	Worker domain.Worker
	// Schedulable is false for workers that are lost, drained or quarantined.
	Schedulable bool
	// Used is what all gangs hold, those that are stopping included.
	Used domain.Resources
	// Stopping is the part of Used that is about to come back.
	Stopping domain.Resources
	// Pinned is the part of Used that can't be taken back: borrowers that are
	// not preemptible, and guaranteed gangs beyond their account's cells.
	Pinned domain.Resources
	// Cells are the guaranteed cells on this worker, one entry an account.
	Cells []CellShare
	// CellTotal is the sum of the cells' sizes.
	CellTotal domain.Resources
	// ReservedUntil is when a large job is expected to need the worker; zero
	// when none does.
	ReservedUntil time.Time
	// ReservedFor is the job that the worker is reserved for.
	ReservedFor domain.JobID
}

// Free returns what no gang holds.
func (n *Node) Free() domain.Resources { return n.Worker.Capacity.Sub(n.Used) }

// Beside returns what of the worker is neither in a cell nor held by gangs that
// run outside their account's cells.
func (n *Node) Beside() domain.Resources {
	outside := n.Used
	for i := range n.Cells {
		outside = outside.Sub(n.Cells[i].Used)
	}
	return n.Worker.Capacity.Sub(n.CellTotal).Sub(outside)
}

// CellFree returns what is left of the account's cells on the worker.
func (n *Node) CellFree(account domain.AccountID) domain.Resources {
	for i := range n.Cells {
		if n.Cells[i].Account == account {
			return n.Cells[i].Size.Sub(n.Cells[i].Used)
		}
	}
	return domain.Resources{}
}

// CellSize returns the account's cells on the worker, used or not.
func (n *Node) CellSize(account domain.AccountID) domain.Resources {
	for i := range n.Cells {
		if n.Cells[i].Account == account {
			return n.Cells[i].Size
		}
	}
	return domain.Resources{}
}

// AddCell grows the account's cells on the worker.
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

// UseCell books amount against the account's cells and returns what exceeds
// them.
func (n *Node) UseCell(account domain.AccountID, amount domain.Resources) (excess domain.Resources) {
	for i := range n.Cells {
		cell := &n.Cells[i]
		if cell.Account != account {
			continue
		}
		within := lesser(amount, cell.Size.Sub(cell.Used))
		cell.Used = cell.Used.Add(within)
		return amount.Sub(within)
	}
	return amount
}

func lesser(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		CPU:          min(a.CPU, b.CPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
	}
}

// Rack is a run of nodes in Cluster.Nodes.
type Rack struct {
	ID         domain.RackID
	Row        int
	First, End int
}

// Cluster is the fleet of one data centre, ordered by row, rack and worker.
type Cluster struct {
	Nodes []Node
	Racks []Rack
	index map[domain.WorkerID]int
}

// NewCluster lays out the workers. All start schedulable and empty.
func NewCluster(workers []domain.Worker) *Cluster {
	sorted := workers
	inOrder := func(i, j int) bool { return before(sorted[i], sorted[j]) }
	if !sort.SliceIsSorted(sorted, inOrder) {
		sorted = append([]domain.Worker(nil), workers...)
		sort.Slice(sorted, inOrder)
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

func before(a, b domain.Worker) bool {
	if a.Row != b.Row {
		return a.Row < b.Row
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// Node returns the node of a worker, or nil.
func (c *Cluster) Node(id domain.WorkerID) *Node {
	if i, ok := c.index[id]; ok {
		return &c.Nodes[i]
	}
	return nil
}

// Capacity returns the sum over schedulable workers.
func (c *Cluster) Capacity() domain.Resources {
	var sum domain.Resources
	for i := range c.Nodes {
		if c.Nodes[i].Schedulable {
			sum = sum.Add(c.Nodes[i].Worker.Capacity)
		}
	}
	return sum
}

// Hold books a gang's use of its workers. Workers that the cluster does not
// know are passed over.
func (c *Cluster) Hold(p domain.Placement, perTask domain.Resources) {
	for _, a := range p {
		if n := c.Node(a.Worker); n != nil {
			n.Used = n.Used.Add(perTask.Times(a.Tasks))
		}
	}
}
