package decide

import (
	"slices"
	"sort"

	"github.com/cobalttide/cobalttide/workload"
)

// search looks for groups to stop so that a unit fits on some workers. It frees
// room worker by worker, each time where one more task costs the least work:
// freeing the cheapest groups wherever they are would leave parts of many
// workers free and none whole.
type search struct {
	p       *planner
	u       *Unit
	workers []*slot
	// on lists the groups that may be stopped on each worker.
	on     map[string][]int
	freed  map[string]workload.Resources
	chosen []int
}

// victims returns the groups whose stop makes room for the unit on the workers;
// nil if no stops do.
func (p *planner) victims(u *Unit, workers []*slot, may victim) *choice {
	n := len(u.Indexes)
	s := &search{p: p, u: u, workers: workers, on: p.stoppable(u, workers, may), freed: map[string]workload.Resources{}}
	for have := p.count(u, workers, s.room, n); have < n; {
		step := s.cheapest(n - have)
		if step == nil {
			return nil
		}
		for _, g := range step {
			p.shift(s.freed, g, 1)
			s.chosen = append(s.chosen, g)
		}
		have = p.count(u, workers, s.room, n)
	}
	kept := s.prune(n)
	out := &choice{victims: kept, members: p.gather(u, workers, n, s.room)}
	for _, g := range kept {
		out.lost += p.s.Running[g].Lost
	}
	return out
}

// room is what is free on a worker, is being freed, and would be freed.
func (s *search) room(w *slot) workload.Resources { return w.free.Add(w.coming).Add(s.freed[w.ID]) }

// stoppable lists the groups on each worker that the unit may stop, those that
// lose the least work for what they hold there first.
func (p *planner) stoppable(u *Unit, workers []*slot, may victim) map[string][]int {
	here := map[string]bool{}
	for _, w := range workers {
		if u.accepts(w) {
			here[w.ID] = true
		}
	}
	out := map[string][]int{}
	for i := range p.s.Running {
		g := &p.s.Running[i]
		if g.Stopping || p.stopped[i] || g.Fixed || !may(u, g) {
			continue
		}
		for id := range g.Held {
			if here[id] {
				out[id] = append(out[id], i)
			}
		}
	}
	for id, list := range out {
		sort.SliceStable(list, func(a, b int) bool { return p.lostFor(list[a], id) < p.lostFor(list[b], id) })
	}
	return out
}

// lostFor is the work that a group's stop throws away for each accelerator that
// it frees on a worker.
func (p *planner) lostFor(group int, worker string) float64 {
	g := &p.s.Running[group]
	return g.Lost / (0.01 + float64(g.Held[worker].Accelerators))
}

// cheapest returns the groups on one worker whose stop costs the least for each
// task that fits then; most is how many more tasks are of use.
func (s *search) cheapest(most int) []int {
	var best []int
	bestCost := 0.0
	for _, w := range s.workers {
		step, gain := s.oneMore(w, most)
		if step == nil {
			continue
		}
		cost := 0.0
		for _, g := range step {
			cost += s.p.s.Running[g].Lost
		}
		if cost /= float64(gain); best == nil || cost < bestCost {
			best, bestCost = step, cost
		}
	}
	return best
}

// oneMore returns the groups on a worker whose stop lets at least one more task
// fit there, and how many more do.
func (s *search) oneMore(w *slot, most int) ([]int, int) {
	room := s.room(w)
	base := s.p.fit(s.u, w, room, len(s.u.Indexes))
	var step []int
	for _, g := range s.on[w.ID] {
		if slices.Contains(s.chosen, g) {
			continue
		}
		room = room.Add(s.p.s.Running[g].Held[w.ID])
		step = append(step, g)
		if s.p.fit(s.u, w, room, len(s.u.Indexes)) > base {
			break
		}
	}
	step = s.needed(w, step, room, base)
	gain := 0
	if step != nil {
		gain = min(most, s.p.fit(s.u, w, s.with(w, step), len(s.u.Indexes))-base)
	}
	return step, gain
}

// with is the room on a worker once some groups have been stopped.
func (s *search) with(w *slot, step []int) workload.Resources {
	room := s.room(w)
	for _, g := range step {
		room = room.Add(s.p.s.Running[g].Held[w.ID])
	}
	return room
}

// needed drops the groups without which one more task fits all the same, the
// dearest first; nil if none more fits.
func (s *search) needed(w *slot, step []int, room workload.Resources, base int) []int {
	if s.p.fit(s.u, w, room, len(s.u.Indexes)) <= base {
		return nil
	}
	var kept []int
	for i := len(step) - 1; i >= 0; i-- {
		without := room.Sub(s.p.s.Running[step[i]].Held[w.ID])
		if s.p.fit(s.u, w, without, len(s.u.Indexes)) > base {
			room = without
			continue
		}
		kept = append(kept, step[i])
	}
	return kept
}

// prune takes back the groups that are not needed, the dearest first.
func (s *search) prune(n int) []int {
	running := s.p.s.Running
	sort.SliceStable(s.chosen, func(a, b int) bool { return running[s.chosen[a]].Lost > running[s.chosen[b]].Lost })
	var kept []int
	for _, g := range s.chosen {
		s.p.shift(s.freed, g, -1)
		if s.p.count(s.u, s.workers, s.room, n) < n {
			s.p.shift(s.freed, g, 1)
			kept = append(kept, g)
		}
	}
	return kept
}

// shift adds what a group holds to what would be freed, or takes it off again.
func (p *planner) shift(freed map[string]workload.Resources, group int, sign int) {
	for id, held := range p.s.Running[group].Held {
		if sign > 0 {
			freed[id] = freed[id].Add(held)
		} else {
			freed[id] = freed[id].Sub(held)
		}
	}
}
