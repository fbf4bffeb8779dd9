// Package virtual implements an event queue in virtual time for the simulations of
// the policy and routing benchmarks.
package virtual

import (
	"container/heap"
	"time"
)

// scheduledEvent is a function to run at a virtual time. serial orders the events of
// the same time by insertion.
type scheduledEvent struct {
	at     time.Duration
	serial int
	run    func()
}

type events []scheduledEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Queue is a queue of events ordered by time. The zero value is an empty queue. It is
// not safe for concurrent use.
type Queue struct {
	events events
	serial int
}

// At adds a function to run at a virtual time.
func (q *Queue) At(at time.Duration, do func()) {
	q.serial++
	heap.Push(&q.events, scheduledEvent{at: at, serial: q.serial, run: do})
}

// Next returns the time of the next event, and whether there is one.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes and returns the next event. It panics if the queue is empty.
func (q *Queue) Pop() (at time.Duration, do func()) {
	e := heap.Pop(&q.events).(scheduledEvent)
	return e.at, e.run
}
