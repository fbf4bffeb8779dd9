package decide

import "sort"

// keepRacks chooses the racks that are kept clear of firm work: those that have
// the least of it, until they could hold what the first priority is expected to
// need. A stop throws firm work away, so that where it has no place nothing is
// lost when the first priority comes.
func (p *planner) keepRacks() map[string]bool {
	firm := map[string]int64{}
	size := map[string]int64{}
	for _, w := range p.workers {
		firm[w.Rack] += w.Firm
		size[w.Rack] += w.Capacity.Accelerators
	}
	racks := append([]string(nil), p.rackList...)
	sort.SliceStable(racks, func(a, b int) bool { return firm[racks[a]] < firm[racks[b]] })
	kept := map[string]bool{}
	if p.s.Without[ClearRacks] {
		return kept
	}
	room := int64(0)
	for _, rack := range racks {
		if room >= p.s.Headroom {
			break
		}
		kept[rack] = true
		room += size[rack] - firm[rack]
	}
	return kept
}

// keptFrom tells whether the worker's rack is kept from the unit: from firm work
// behind the first priority that still has time.
func (p *planner) keptFrom(u *Unit, w *slot) bool {
	if u.Step.Checkpoint && p.s.Without[KeepIdle] {
		return false
	}
	return p.kept[w.Rack] && u.Priority > 0 && p.mayWait(u) && p.inTime(u)
}
