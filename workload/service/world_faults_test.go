package service

import (
	"fmt"
	"time"

	"github.com/cobalttide/cobalttide/events"
)

// The faults that are injected into a world.

// kill kills an instance after a delay. Later it is restarted, or one with a new name replaces
// it.
func (w *world) kill(instance *poolInstance, after time.Duration) {
	downtime := time.Duration(w.rng.Intn(4000)) * time.Millisecond
	replace := w.rng.Intn(4) == 0
	w.background.Go(func() {
		time.Sleep(after)
		w.mu.Lock()
		alreadyKilled := instance.killed
		instance.killed = true
		w.mu.Unlock()
		if alreadyKilled {
			return
		}
		instance.stop()
		time.Sleep(downtime)
		if replace {
			w.startNew()
			return
		}
		w.startNamed(instance.name, instance.settings.DataCentre)
	})
}

// trace writes a line of the test itself to the collected log output.
func (w *world) trace(format string, args ...any) {
	fmt.Fprintf(w, "{\"time\":%q,\"msg\":%q}\n", time.Now().Format(events.TimeFormat), fmt.Sprintf(format, args...))
}

// plannerOrAny returns an instance that plans, or a random one if none does.
func (w *world) plannerOrAny() *poolInstance {
	for _, instance := range w.liveInstances() {
		if instance.planning.Load() {
			return instance
		}
	}
	return w.randomInstance()
}

func (w *world) randomInstance() *poolInstance {
	live := w.liveInstances()
	return live[w.rng.Intn(len(live))]
}

func (w *world) randomDuration(limitMS int) time.Duration {
	return time.Duration(200+w.rng.Intn(limitMS)) * time.Millisecond
}

// injectFault injects a random fault.
func (w *world) injectFault() {
	if len(w.liveInstances()) == 0 {
		return
	}
	switch kind := w.rng.Intn(17); kind {
	case 0, 1:
		instance := w.plannerOrAny()
		w.trace("kill planner %s", instance.name)
		w.kill(instance, 0)
	case 2:
		instance := w.randomInstance()
		w.trace("kill %s", instance.name)
		w.kill(instance, 0)
	case 3, 4:
		centre, d := worldCentre(w.rng.Intn(worldCentres)), w.randomDuration(8000)
		w.trace("data centre %s cut off for %v", centre, d)
		w.setFault(w.cutOff, centre, d)
	case 5, 6:
		instance, d := w.plannerOrAny(), w.randomDuration(8000)
		w.trace("log does not answer %s for %v", instance.name, d)
		w.setFault(w.unanswered, instance.name, d)
	case 7:
		instance, d := w.randomInstance(), w.randomDuration(8000)
		w.trace("log refuses %s for %v", instance.name, d)
		w.setFault(w.refused, instance.name, d)
	case 8:
		d := w.randomDuration(4000)
		w.trace("log down for %v", d)
		w.setFault(w.down, "", d)
	case 9:
		slow, d := w.randomDuration(400), w.randomDuration(5000)
		w.trace("log slower by %v for %v", slow, d)
		w.log.setDelay(slow)
		w.background.Go(func() { time.Sleep(d); w.log.setDelay(0) })
	case 10, 11:
		w.mu.Lock()
		w.appendsLostUntil = time.Now().Add(w.randomDuration(5000))
		w.maxAppendDelay = time.Duration(w.rng.Intn(2)) * 6 * time.Second
		w.mu.Unlock()
		w.trace("answers to appends lost, carried out up to %v late", w.maxAppendDelay)
	case 12:
		topics := []Topic{Plans, Jobs, SpareJobs, States, Members, Declarations}
		topic := topics[w.rng.Intn(len(topics))]
		w.trace("history of %s dropped", topic)
		w.log.compact(topic)
	case 13:
		if w.namesUsed() < worldInstances+3 {
			w.trace("instance added")
			w.startNew()
		}
	case 14:
		w.trace("orders late or lost")
		w.mu.Lock()
		w.ordersLateUntil = time.Now().Add(w.randomDuration(6000))
		w.mu.Unlock()
	case 15:
		d := w.randomDuration(8000)
		for i := range worldWorkerCount {
			if w.rng.Intn(4) == 0 {
				w.trace("answers of w%02d lost for %v", i, d)
				w.setFault(w.answersLost, fmt.Sprintf("w%02d", i), d)
			}
		}
	case 16:
		instance := w.randomInstance()
		w.trace("%s leaves", instance.name)
		instance.Leave()
		w.kill(instance, 3*time.Second)
	}
}

// clearFaults ends all faults.
func (w *world) clearFaults() {
	w.log.setDelay(0)
	w.mu.Lock()
	for _, fault := range []map[string]time.Time{w.cutOff, w.unanswered, w.refused, w.down, w.answersLost} {
		clear(fault)
	}
	w.appendsLostUntil, w.ordersLateUntil = time.Time{}, time.Time{}
	w.mu.Unlock()
	w.trace("all faults cleared")
}
