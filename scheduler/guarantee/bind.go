// Package guarantee binds each account's guaranteed shapes to cells: concrete
// parts of concrete workers. The invariant that it keeps is, for every worker,
//
//	sum of cells + pinned use <= capacity
//
// where pinned use is what can't be taken back. Whoever else uses a cell is a
// preemptible borrower. It follows at once that an account can always reclaim:
// its unused cells hold nothing but free amounts and preemptible borrowers.
// This is the virtual private cluster of HiveD (OSDI 2020), with cells of any
// shape in place of buddy cells.
package guarantee

import (
	"cmp"
	"slices"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler/placement"
)

// Cell is one guaranteed block and the workers that back it.
type Cell struct {
	Account domain.AccountID `json:"account"`
	// Guarantee and Block are the position in the account's declaration.
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

// Unmet is a guaranteed block that no workers back at present, because the
// fleet has shrunk or because pinned use has yet to end.
type Unmet struct {
	Account domain.AccountID `json:"account"`
	Shape   domain.Shape     `json:"shape"`
	// Largest is how many of the shape's tasks would fit.
	Largest int `json:"largest"`
}

// Binding is the cells of one data centre.
type Binding struct {
	Cells []Cell  `json:"cells"`
	Unmet []Unmet `json:"unmet,omitempty"`
}

// Bind gives every guaranteed block of the data centre a cell. The cluster
// carries pinned use only; Bind adds the cells to it.
func Bind(c *placement.Cluster, dc domain.DataCentre, accounts map[domain.AccountID]domain.ClientAccount, previous Binding) Binding {
	b := NewBinder(c, dc, accounts)
	b.Keep(previous, func(Cell) bool { return true })
	return b.Finish()
}

// Binder binds in two steps. Between them the caller books running guaranteed
// gangs into the cells that were kept, and pins what exceeds them, so that a
// block which has no cell yet never takes the ground of one that has.
type Binder struct {
	cluster *placement.Cluster
	finder  placement.Finder
	wanted  []Cell
	out     Binding
}

// NewBinder returns a binder of the data centre's declared blocks.
func NewBinder(c *placement.Cluster, dc domain.DataCentre, accounts map[domain.AccountID]domain.ClientAccount) *Binder {
	return &Binder{cluster: c, wanted: Wanted(dc, accounts)}
}

// Keep leaves those cells of the previous binding where they are that are in
// use, as long as their workers last, so that running gangs keep their ground.
// Cells that nobody uses are bound afresh: after workers were lost and came
// back they pack together again, and leave the largest blocks beside them.
func (b *Binder) Keep(previous Binding, inUse func(Cell) bool) {
	old := make(map[cellKey]Cell, len(previous.Cells))
	for _, cell := range previous.Cells {
		old[cell.key()] = cell
	}
	var missing []Cell
	for _, cell := range b.wanted {
		before, had := old[cell.key()]
		if !had || before.Shape != cell.Shape || !inUse(before) || !b.keeps(before) {
			missing = append(missing, cell)
		}
	}
	b.wanted = missing
}

// Finish binds the blocks that have no cell yet, largest first.
func (b *Binder) Finish() Binding {
	for _, cell := range b.wanted {
		b.bind(cell)
	}
	b.wanted = nil
	slices.SortFunc(b.out.Cells, compareCells)
	return b.out
}

// Wanted lists the declared blocks of one data centre, largest first, which is
// the order that packs best.
func Wanted(dc domain.DataCentre, accounts map[domain.AccountID]domain.ClientAccount) []Cell {
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

// room is what a worker can still promise: neither pinned nor in a cell.
func room(n *placement.Node) domain.Resources {
	return n.Worker.Capacity.Sub(n.Pinned).Sub(n.CellTotal)
}

func (b *Binder) keeps(old Cell) bool {
	for _, a := range old.Placement {
		n := b.cluster.Node(a.Worker)
		if n == nil || !n.Schedulable || !old.Shape.PerTask.Times(a.Tasks).Fits(room(n)) {
			return false
		}
	}
	b.add(old)
	return true
}

func (b *Binder) bind(cell Cell) {
	found, ok := b.finder.Find(b.cluster, cell.Shape, placement.BestFit, room)
	if !ok {
		largest := b.finder.LargestBlock(b.cluster, cell.Shape, room)
		b.out.Unmet = append(b.out.Unmet, Unmet{Account: cell.Account, Shape: cell.Shape, Largest: largest})
		return
	}
	cell.Placement = found
	b.add(cell)
}

func (b *Binder) add(cell Cell) {
	for _, a := range cell.Placement {
		b.cluster.Node(a.Worker).AddCell(cell.Account, cell.Shape.PerTask.Times(a.Tasks))
	}
	b.out.Cells = append(b.out.Cells, cell)
}

// Same tells whether two bindings put the same blocks on the same workers.
func (b Binding) Same(o Binding) bool {
	return slices.EqualFunc(b.Cells, o.Cells, func(x, y Cell) bool {
		return x.key() == y.key() && x.Shape == y.Shape && slices.Equal(x.Placement, y.Placement)
	})
}

// Violation is a worker on which the reclaim invariant does not hold.
type Violation struct {
	Worker domain.WorkerID
	// Short is what is missing; positive components are short.
	Short domain.Resources
}

// Violations checks the reclaim invariant on every schedulable worker.
func Violations(c *placement.Cluster) []Violation {
	var out []Violation
	for i := range c.Nodes {
		n := &c.Nodes[i]
		if left := room(n); n.Schedulable && left.Negative() {
			out = append(out, Violation{Worker: n.Worker.ID, Short: domain.Resources{}.Sub(left)})
		}
	}
	return out
}
