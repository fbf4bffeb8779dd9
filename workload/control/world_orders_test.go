package control_test

import (
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// How a world's orders and their answers get to and fro, and what is held against what must
// hold when ends are noted.

// delays of an order's way there, of the answer's way back, and of the time at
// which the caller gives up.
func (w *world) way(worker string) (there time.Duration, answered bool, lost bool) {
	there = time.Duration(1+w.rng.Intn(20)) * time.Millisecond
	if w.now.Before(w.cut[worker]) {
		return 0, false, true
	}
	if !w.faulty {
		return there, true, false
	}
	switch w.rng.Intn(25) {
	case 0:
		return time.Duration(2000+w.rng.Intn(10000)) * time.Millisecond, false, false
	case 1:
		return there, false, false
	case 2:
		return 0, false, true
	}
	return there, true, false
}

const worldTimeout = 600 * time.Millisecond

func (w *world) later(d time.Duration, f func()) {
	w.mail = append(w.mail, letter{w.now.Add(d), f})
}

// send carries an order there, and the answer back or the silence in its place. One that goes
// over a connection to a life reaches that life or none; life is nil for whoever is there.
func (w *world) send(worker string, s *seat, life *workertest.Worker, do func(*workertest.Worker) func(), fail func(control.Verdict)) {
	there, answered, lost := w.way(worker)
	silence := func() { fail(control.Unanswered) }
	if !lost {
		w.later(there, func() {
			target := w.fleet.Workers[worker]
			if target == nil || target.Dead || (life != nil && target != life) {
				if answered {
					verdict, after := w.lives.answer(worker)
					w.later(after, func() { w.deliver(s, func() { fail(verdict) }) })
				}
				return
			}
			reply := do(target)
			if answered {
				w.later(time.Duration(1+w.rng.Intn(20))*time.Millisecond, func() { w.deliver(s, reply) })
			}
		})
	}
	if lost || !answered {
		w.later(worldTimeout, func() { w.deliver(s, silence) })
	}
}

func (w *world) deliver(s *seat, reply func()) {
	if s.dead {
		return
	}
	if w.now.Before(s.frozen) {
		w.later(s.frozen.Sub(w.now), func() { w.deliver(s, reply) })
		return
	}
	reply()
}

func (w *world) sendStart(s *seat, o control.StartOrder) {
	sent := w.now
	s.ordered = o.Token
	o.Token = w.mutant.token(o.Token)
	o.DeadlineMS += w.mutant.longer.Milliseconds()
	if d := w.delays[o.Task.Job]; d > 0 {
		w.later(d, func() { w.fleet.Workers[o.Worker].Start(o, w.now) })
		w.later(worldTimeout, func() {
			w.deliver(s, func() { s.core.Started(o, control.Answer{Verdict: control.Unanswered}, w.now) })
		})
		return
	}
	var life *workertest.Worker
	reached := true
	if !w.mutant.unboundStarts {
		life, reached = w.lineTo(s, o.Worker, o.To)
	}
	if !reached {
		w.later(lineBreaks, func() { w.deliver(s, func() { s.core.Started(o, control.Answer{Verdict: control.Unreached}, w.now) }) })
		return
	}
	w.send(o.Worker, s, life, func(target *workertest.Worker) func() {
		w.late[o.Worker+o.Task.String()] = w.now.Sub(sent) > time.Second
		a := target.Start(o, w.now)
		if w.unanswered[o.Task.Job] {
			a.Verdict = control.Unanswered
		}
		return func() { s.core.Started(o, a, w.now) }
	}, func(v control.Verdict) {
		s.core.Started(o, control.Answer{Verdict: w.mutant.silence(v, control.Full)}, w.now)
	})
}

func (w *world) sendStop(s *seat, o control.StopOrder) {
	w.send(o.Worker, s, nil, func(target *workertest.Worker) func() {
		a := target.Stop(o, w.now)
		return func() { s.core.Stopped(o, a, w.now) }
	}, func(v control.Verdict) {
		s.core.Stopped(o, control.Answer{Verdict: w.mutant.silence(v, control.Accepted)}, w.now)
	})
}

func (w *world) sendPace(s *seat, o control.PaceOrder) {
	w.send(o.Worker, s, nil, func(target *workertest.Worker) func() {
		answer := target.Pace(o, w.now)
		return func() { s.core.Paced(o, answer, w.now) }
	}, func(v control.Verdict) { s.core.Paced(o, control.Answer{Verdict: v}, w.now) })
}

func (w *world) sendHold(s *seat, o control.HoldOrder) {
	sent := w.now
	if o.DeadlineMS > 0 {
		o.DeadlineMS += w.mutant.longer.Milliseconds()
	}
	o.Token = w.mutant.token(o.Token)
	if w.mutant.earlyAck {
		o.Cursor = 1 << 40
	}
	if w.mutant.cursors {
		w.cursors[o.Worker] = max(w.cursors[o.Worker], o.Cursor)
		o.Cursor = w.cursors[o.Worker]
	}
	var life *workertest.Worker
	if o.Cursor > 0 && !w.mutant.cursors && !w.mutant.earlyAck && !w.mutant.unboundCursors {
		reached := true
		if life, reached = w.lineTo(s, o.Worker, o.To); !reached {
			w.later(lineBreaks, func() {
				w.deliver(s, func() { s.core.Held(o, control.HoldAnswer{Verdict: control.Unreached}, sent, w.now) })
			})
			return
		}
	}
	w.send(o.Worker, s, life, func(target *workertest.Worker) func() {
		connections := s.lines.made(o.Worker, target)
		if w.waits && o.Wait > 0 && len(target.Ended()) == 0 {
			target.Keep(o, w.now)
			w.await(s, target, o, connections, sent, w.now.Add(o.Wait))
			return func() {}
		}
		before := target.Ended()
		if w.trace != nil {
			w.trace("worker hold %s deadline %d clock %d void %d cursor %d token %d", o.Worker, o.DeadlineMS, target.ClockMS(w.now), target.Void(), o.Cursor, o.Token)
		}
		a := w.mutant.life(target.Hold(o, w.now), w.now)
		a.Connections = connections
		w.noteEnds(target, before, o.Cursor)
		return func() { s.core.Held(o, a, sent, w.now) }
	}, func(v control.Verdict) { s.core.Held(o, control.HoldAnswer{Verdict: v}, sent, w.now) })
}

// await answers a hold that waits for news once there is an end, or its time is over; a worker
// that dies meanwhile breaks the call off.
func (w *world) await(s *seat, target *workertest.Worker, o control.HoldOrder, connections int64, sent, until time.Time) {
	w.later(10*time.Millisecond, func() {
		switch {
		case target.Dead:
			w.deliver(s, func() { s.core.Held(o, control.HoldAnswer{Verdict: control.Unanswered}, sent, w.now) })
		case len(target.Ended()) > 0 || !w.now.Before(until):
			before := target.Ended()
			a := target.Hold(o, w.now)
			a.Connections = connections
			w.noteEnds(target, before, o.Cursor)
			w.later(5*time.Millisecond, func() { w.deliver(s, func() { s.core.Held(o, a, sent, w.now) }) })
		default:
			w.await(s, target, o, connections, sent, until)
		}
	})
}

// noteEnds marks ends that the cursor has passed as taken note of for good.
func (w *world) noteEnds(target *workertest.Worker, rows []control.EndedRow, cursor int64) {
	for _, row := range rows {
		if row.Number > max(cursor, target.Acked()) || row.How != control.EndDone || row.Number <= target.Void() {
			continue
		}
		w.noteDone(row.Task)
		if w.again[runOf{row.Task, row.Run}] {
			w.problem("%v began again although its end was noted later", row.Task)
		}
	}
}

func (w *world) noteDone(id workload.TaskID) {
	step, ok := w.step(id)
	if !ok {
		return
	}
	w.notedEnd[id] = true
	if !step.Gang {
		return
	}
	for i := range step.Count {
		id.Index = i
		w.notedEnd[id] = true
	}
}
