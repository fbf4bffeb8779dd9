// Package guarantee binds each account's guaranteed shapes to cells, which are parts of
// specific workers. It maintains this invariant for every worker:
//
//	sum of cells + pinned use <= capacity
//
// Pinned use is what can't be reclaimed. Other accounts use a cell only as preemptible
// borrowers. It follows that an account can always reclaim its cells: the unused part of
// them is either free or held by preemptible borrowers. This is the virtual private
// cluster of HiveD (OSDI 2020), with cells of any shape instead of buddy cells.
package guarantee

import (
	"cmp"
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// Cell is one guaranteed block and the workers that it is bound to.
type Cell struct {
	Account domain.AccountID `json:"account"`
	// Guarantee and Block are the indices of the guarantee in the account's declaration
	// and of the block within the guarantee.
	Guarantee int              `json:"guarantee"`
	Block     int              `json:"block"`
	Shape     domain.Shape     `json:"shape"`
	Placement domain.Placement `json:"placement"`
}

func (c Cell) key() cellKey { return cellKey{c.Account, c.Guarantee, c.Block} }

type cellKey struct {
	account          domain.AccountID
	guarantee, block int
}

// Unmet is a guaranteed block that is not bound to workers, because there are fewer
// workers than before or because pinned use has not ended yet.
type Unmet struct {
	Account domain.AccountID `json:"account"`
	Shape   domain.Shape     `json:"shape"`
	// Largest is how many of the shape's tasks would fit.
	Largest int `json:"largest"`
}

// Binding holds the cells of one data centre.
type Binding struct {
	Cells []Cell  `json:"cells"`
	Unmet []Unmet `json:"unmet,omitempty"`
}

// Bind binds every guaranteed block of the data centre to a cell. The cluster must hold
// pinned use only; Bind adds the cells to it.
func Bind(c *placement.Cluster, dc domain.DataCentre, accounts map[domain.AccountID]domain.ClientAccount, previous Binding) Binding {
	b := NewBinder(c, dc, accounts)
	b.Keep(previous, func(Cell) bool { return true })
	return b.Finish()
}

// Binder binds in two steps. Between them the caller assigns running guaranteed gangs to
// the cells that were kept, and pins what exceeds them, so that a block without a cell
// never takes capacity that a block with a cell uses.
type Binder struct {
	cluster *placement.Cluster
	finder  placement.Finder
	pending []Cell
	binding Binding
}

// NewBinder returns a binder for the blocks that are declared in the data centre.
func NewBinder(c *placement.Cluster, dc domain.DataCentre, accounts map[domain.AccountID]domain.ClientAccount) *Binder {
	return &Binder{cluster: c, pending: DeclaredBlocks(dc, accounts)}
}

// Keep keeps those cells of the previous binding that are in use and whose workers still
// have the capacity, so that running gangs keep their places. Unused cells are bound
// again: after workers were lost and have come back, the cells are packed again and leave
// the largest blocks outside them.
func (b *Binder) Keep(previous Binding, inUse func(Cell) bool) {
	old := make(map[cellKey]Cell, len(previous.Cells))
	for _, cell := range previous.Cells {
		old[cell.key()] = cell
	}
	var missing []Cell
	for _, cell := range b.pending {
		before, existed := old[cell.key()]
		if !existed || before.Shape != cell.Shape || !inUse(before) || !b.tryKeep(before) {
			missing = append(missing, cell)
		}
	}
	b.pending = missing
}

// Finish binds the blocks that have no cell yet, largest first.
func (b *Binder) Finish() Binding {
	for _, cell := range b.pending {
		b.bind(cell)
	}
	b.pending = nil
	slices.SortFunc(b.binding.Cells, compareCells)
	return b.binding
}

// DeclaredBlocks returns the declared blocks of one data centre as cells without a
// placement, largest first, which packs best.
func DeclaredBlocks(dc domain.DataCentre, accounts map[domain.AccountID]domain.ClientAccount) []Cell {
	var out []Cell
	for id, account := range accounts {
		for g, declared := range account.Guarantees {
			if declared.DataCentre != dc {
				continue
			}
			for block := range declared.Count {
				out = append(out, Cell{Account: id, Guarantee: g, Block: block, Shape: declared.Shape})
			}
		}
	}
	slices.SortFunc(out, compareCells)
	return out
}

func compareCells(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(b.Shape.Accelerators(), a.Shape.Accelerators()),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Guarantee, b.Guarantee),
		cmp.Compare(a.Block, b.Block))
}

// unassigned returns the capacity of a worker that is neither pinned nor in a cell.
func unassigned(n *placement.Node) domain.Resources {
	return n.Worker.Capacity.Sub(n.Pinned).Sub(n.CellTotal)
}

func (b *Binder) tryKeep(old Cell) bool {
	for _, a := range old.Placement {
		n := b.cluster.Node(a.Worker)
		if n == nil || !n.Schedulable || !old.Shape.PerTask.Times(a.Tasks).FitsIn(unassigned(n)) {
			return false
		}
	}
	b.add(old)
	return true
}

func (b *Binder) bind(cell Cell) {
	found, ok := b.finder.Find(b.cluster, cell.Shape, placement.BestFit, unassigned)
	if !ok {
		largest := b.finder.LargestBlock(b.cluster, cell.Shape, unassigned)
		b.binding.Unmet = append(b.binding.Unmet, Unmet{Account: cell.Account, Shape: cell.Shape, Largest: largest})
		return
	}
	cell.Placement = found
	b.add(cell)
}

func (b *Binder) add(cell Cell) {
	for _, a := range cell.Placement {
		b.cluster.Node(a.Worker).AddCell(cell.Account, cell.Shape.PerTask.Times(a.Tasks))
	}
	b.binding.Cells = append(b.binding.Cells, cell)
}

// Equal reports whether two bindings bind the same blocks to the same workers.
func (b Binding) Equal(o Binding) bool {
	return slices.EqualFunc(b.Cells, o.Cells, func(x, y Cell) bool {
		return x.key() == y.key() && x.Shape == y.Shape && slices.Equal(x.Placement, y.Placement)
	})
}

// Violation is a worker on which the invariant of the package does not hold.
type Violation struct {
	Worker domain.WorkerID
	// Shortfall is the missing amount; positive components are missing.
	Shortfall domain.Resources
}

// Violations checks the invariant of the package on every schedulable worker.
func Violations(c *placement.Cluster) []Violation {
	var out []Violation
	for i := range c.Nodes {
		n := &c.Nodes[i]
		if remaining := unassigned(n); n.Schedulable && remaining.HasNegative() {
			out = append(out, Violation{Worker: n.Worker.ID, Shortfall: domain.Resources{}.Sub(remaining)})
		}
	}
	return out
}
