package control_test

import (
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// lines are one planner's connections to workers. Each leads to the life that was there when
// it was made, and ends with it. Half of those that holds make are kept; where there is none
// an order to a recipient makes one of its own, on which the life answers first.
type lines struct {
	last int64
	kept map[string]line
}

type line struct {
	number int64
	life   *workertest.Worker
}

// lineBreaks is how soon a connection that can't be made, or that leads to another life than
// the order is meant for, is found out.
const lineBreaks = 5 * time.Millisecond

// made notes the connection of a hold that has arrived, and returns the newest that there is.
func (l *lines) made(worker string, life *workertest.Worker) int64 {
	l.last++
	if l.kept == nil {
		l.kept = map[string]line{}
	}
	if l.last%2 == 0 {
		l.kept[worker] = line{l.last, life}
	}
	return l.last
}

// lineTo finds the life that an order to a recipient reaches, if any; one that is dead, or cut
// off, is found out as such on the way.
func (w *world) lineTo(s *seat, worker string, to control.Recipient) (life *workertest.Worker, reached bool) {
	if kept, ok := s.lines.kept[worker]; ok && kept.number <= to.Connections {
		return kept.life, true
	}
	target := w.fleet.Workers[worker]
	if w.now.Before(w.cut[worker]) || target == nil || target.Dead {
		return target, true
	}
	s.lines.made(worker, target)
	answer := w.mutant.life(control.HoldAnswer{Born: target.Born, ClockMS: target.ClockMS(w.now)}, w.now)
	return target, to.Is(answer.Born, answer.ClockMS)
}
