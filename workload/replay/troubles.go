package replay

import (
	"math/rand/v2"
	"time"
)

// strike begins a trouble. Bursts are part of the load and strike nobody.
func (w *world) strike(t Trouble) {
	until := w.at + seconds(t.ForS)
	switch t.Kind {
	case StoreAway:
		w.storeAway = until
	case PlannerGone:
		w.plannerAway = until
		w.core = nil
		w.queue.At(until, w.begin)
	case DataCentreCut:
		centre := w.workers[w.names[w.rng.IntN(len(w.names))]].centre
		w.each(func(h *host) bool { return h.centre == centre }, func(h *host) { h.cutUntil = until })
	case RackGone:
		rack := rackName(w.rng.IntN(w.p.racks()))
		w.each(func(h *host) bool { return h.rack == rack }, func(h *host) { w.gone(h, until) })
	case Notices:
		w.some(t, func(h *host) { h.draining, h.leavesAt = true, until })
	case Slow:
		w.some(t, func(h *host) {
			h.slow = max(t.Factor, 1)
			w.queue.At(until, func() { h.slow = 1 })
		})
	case Grey:
		w.some(t, func(h *host) { h.greyUntil = until })
	case Hang:
		w.some(t, func(h *host) { h.hangUntil = until })
	case Cancel:
		for _, a := range w.arrivals {
			if a.at < w.at && w.rng.Float64() < t.Share {
				w.cancel(a.job.ID)
			}
		}
	}
}

// gone ends a worker's life; another begins at the same place after a while.
func (w *world) gone(h *host, until time.Duration) {
	h.gone = true
	w.fleet.Kill(h.id, w.now())
	w.queue.At(until, func() {
		next := &host{id: h.id + "'", rack: h.rack, centre: h.centre, speed: h.speed, slow: 1}
		w.workers[next.id] = next
		w.names = append(w.names, next.id)
		w.fleet.Add(next.id, w.capacity(), 1, w.now())
	})
}

func (w *world) each(picks func(*host) bool, do func(*host)) {
	for _, id := range w.names {
		if h := w.workers[id]; !h.gone && picks(h) {
			do(h)
		}
	}
}

// some strikes a share of the workers, the same ones for a seed whatever the
// policy does.
func (w *world) some(t Trouble, do func(*host)) {
	rng := rand.New(rand.NewPCG(uint64(t.AtS*1000), uint64(len(w.names))))
	w.each(func(*host) bool { return rng.Float64() < t.Share }, do)
}
