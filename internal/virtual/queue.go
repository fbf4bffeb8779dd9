// Package virtual is a queue of events in virtual time, which the policy and
// routing benchmarks play.
package virtual

import (
	"container/heap"
	"time"
)

// event is something to do at an instant; serial keeps the order of events at
// the same one.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Queue holds what is to happen. The zero value is empty. Not safe for
// concurrent use.
type Queue struct {
	events events
	serial int
}

// At adds something to do at an instant.
func (q *Queue) At(at time.Duration, do func()) {
	q.serial++
	heap.Push(&q.events, event{at: at, serial: q.serial, do: do})
}

// Next returns the instant of the next event, if there is one.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes the next event and returns it; there must be one.
func (q *Queue) Pop() (at time.Duration, do func()) {
	e := heap.Pop(&q.events).(event)
	return e.at, e.do
}
