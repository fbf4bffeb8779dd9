package service

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// The troubles that a world brings about.

// lose kills an instance after a while; it comes back, or another one takes its place.
func (w *world) lose(one *poolInstance, after time.Duration) {
	back := time.Duration(w.rng.Intn(4000)) * time.Millisecond
	anew := w.rng.Intn(4) == 0
	w.under.Go(func() {
		time.Sleep(after)
		w.mu.Lock()
		gone := one.killed
		one.killed = true
		w.mu.Unlock()
		if gone {
			return
		}
		one.stop()
		time.Sleep(back)
		if anew {
			w.add()
			return
		}
		w.revive(one.name, one.settings.DataCentre)
	})
}

func (w *world) trace(format string, args ...any) {
	fmt.Fprintf(w, "{\"time\":%q,\"msg\":%q}\n", time.Now().Format(events.TimeFormat), fmt.Sprintf(format, args...))
}

// aPlanner is an instance that plans, or any.
func (w *world) aPlanner() *poolInstance {
	for _, one := range w.living() {
		if one.planning.Load() {
			return one
		}
	}
	return w.anyone()
}

func (w *world) anyone() *poolInstance {
	living := w.living()
	return living[w.rng.Intn(len(living))]
}

func (w *world) span(most int) time.Duration {
	return time.Duration(200+w.rng.Intn(most)) * time.Millisecond
}

// disturb brings one of the troubles about.
func (w *world) disturb() {
	if len(w.living()) == 0 {
		return
	}
	switch kind := w.rng.Intn(17); kind {
	case 0, 1:
		one := w.aPlanner()
		w.trace("lose planner %s", one.name)
		w.lose(one, 0)
	case 2:
		one := w.anyone()
		w.trace("lose %s", one.name)
		w.lose(one, 0)
	case 3, 4:
		centre, d := worldCentre(w.rng.Intn(worldCentres)), w.span(8000)
		w.trace("cut %s %v", centre, d)
		w.last(w.cut, centre, d)
	case 5, 6:
		one, d := w.aPlanner(), w.span(8000)
		w.trace("deaf %s %v", one.name, d)
		w.last(w.deaf, one.name, d)
	case 7:
		one, d := w.anyone(), w.span(8000)
		w.trace("refused %s %v", one.name, d)
		w.last(w.refused, one.name, d)
	case 8:
		d := w.span(4000)
		w.trace("down %v", d)
		w.last(w.down, "", d)
	case 9:
		slow, d := w.span(400), w.span(5000)
		w.trace("slow %v %v", slow, d)
		w.log.setSlow(slow)
		w.under.Go(func() { time.Sleep(d); w.log.setSlow(0) })
	case 10, 11:
		w.mu.Lock()
		w.loses = time.Now().Add(w.span(5000))
		w.late = time.Duration(w.rng.Intn(2)) * 6 * time.Second
		w.mu.Unlock()
		w.trace("appends lost, late %v", w.late)
	case 12:
		topics := []Topic{Plans, Jobs, SpareJobs, States, Members, Declarations}
		topic := topics[w.rng.Intn(len(topics))]
		w.trace("forget %s", topic)
		w.log.forget(topic)
	case 13:
		if w.named() < worldInstances+3 {
			w.trace("add")
			w.add()
		}
	case 14:
		w.trace("orders late")
		w.mu.Lock()
		w.slowOrders = time.Now().Add(w.span(6000))
		w.mu.Unlock()
	case 15:
		d := w.span(8000)
		for i := range worldWorkerN {
			if w.rng.Intn(4) == 0 {
				w.trace("mute w%02d %v", i, d)
				w.last(w.mute, fmt.Sprintf("w%02d", i), d)
			}
		}
	case 16:
		one := w.anyone()
		w.trace("leave %s", one.name)
		one.Leave()
		w.lose(one, 3*time.Second)
	}
}

// heal ends all troubles.
func (w *world) heal() {
	w.log.setSlow(0)
	w.mu.Lock()
	for _, trouble := range []map[string]time.Time{w.cut, w.deaf, w.refused, w.down, w.mute} {
		clear(trouble)
	}
	w.loses, w.slowOrders = time.Time{}, time.Time{}
	w.mu.Unlock()
	w.trace("heal")
}
