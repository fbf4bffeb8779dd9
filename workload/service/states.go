package service

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// The states: what every instance reads of the planner's work. The planner states a
// job once its acceptance or its progress is in the log, so that nothing is told
// that a successor would not know. Statements only add to what is known
// (workload.Book), so that one that is written late does no harm to a reader; the
// log's fence keeps an earlier planner from leaving an old one as the newest.

// headKey is the key of the planner's sign of life among the states.
const headKey = "head"

// head is the planner's sign among the states.
type head struct {
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	// Accepted are offsets of the topics of acceptances: whatever was accepted before
	// them is stated here, or was stated before.
	Accepted []int64 `json:"accepted"`
}

const (
	// stateEvery is the least time between two appends of statements, which follow the
	// planner's writes at once else. It bounds the planner's calls for them at 40 a second.
	stateEvery = 25 * time.Millisecond
	// stateIdle is how often it is looked whether a sign of life is due.
	stateIdle = 100 * time.Millisecond
	// statesMost bounds the statements of one append.
	statesMost = 500
	// statesPeriod is how often an instance reads the states. Callers who ask for a job
	// that has not ended make it read at once.
	statesPeriod = time.Second
	// shownWithin is the age of the states at which a job that has not ended is shown
	// without a look.
	shownWithin = 100 * time.Millisecond
	// lookTime is the longest that a look holds up a caller who can be told what
	// was read before.
	lookTime = 300 * time.Millisecond
)

func (s *Service) stateAll(entries []Entry) {
	for _, e := range entries {
		s.state(e)
	}
}

func (s *Service) state(e Entry) {
	if e.Key != headKey {
		s.fold(e)
		return
	}
	h := head{}
	if err := json.Unmarshal(e.Value, &h); err != nil {
		s.noteUnreadable(e, err)
		return
	}
	s.standby.heard(s.clock.Now())
	s.accepts.cover(h.Accepted)
}

// refresh reads the states if what was read is not quite new, so that the end of
// a job is shown as soon as it is stated. Where that fails the answer is what was
// read before.
func (s *Service) refresh(ctx context.Context) {
	if s.planning.Load() || !s.states.connected() || s.states.age(s.clock.Now()) < shownWithin {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	_ = s.states.look(ctx)
}

// endLooks are the pauses between looks while a caller waits for the end of a job. The
// sum is some times what an end takes on its way over the planner to the states under
// load: a decision, a pause, two writes.
var endLooks = []time.Duration{80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond}

// awaitEnd holds a caller up for a moment who asks for a job that runs. Callers often
// ask right after the last task has ended, when that is on its way to the states: told
// that the job still runs, they come back much later. It returns what is known then.
func (s *Service) awaitEnd(ctx context.Context, id workload.JobID, e workload.Entry) workload.Entry {
	for _, pause := range endLooks {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*pause {
			return e
		}
		sleep(ctx, pause)
		s.refresh(ctx)
		now, known := s.book.Get(id)
		if !known {
			return e
		}
		if e = now; e.State.Final() {
			return e
		}
	}
	return e
}

// publish states what has changed until ctx ends or a later planner states.
func (p *planner) publish(ctx context.Context) {
	writer := Writer{Epoch: p.token, Seq: p.s.succession.firstSeq() + 1, Expect: -1}
	said := time.Time{}
	covered := head{Holder: p.s.settings.Instance, Token: p.token}
	for ctx.Err() == nil {
		sleep(ctx, stateEvery)
		p.awaitWrite(ctx)
		// Read before the statements: what is folded later is not covered.
		places := p.s.accepts.places()
		statements, all := p.s.book.Unstated(statesMost)
		dropped := p.takeDropped()
		if len(statements)+len(dropped) == 0 && p.s.clock.Since(said) < p.s.settings.Patience/4 {
			continue
		}
		if all {
			covered.Accepted = places
		}
		records := append(dropped, statementRecords(statements, covered)...)
		if _, err := p.appendTo(ctx, States, &writer, records); err != nil {
			return
		}
		said = p.s.clock.Now()
		for _, r := range records[:len(records)-1] {
			p.s.fold(Entry{Key: r.Key, Value: r.Value})
		}
		p.s.standby.heard(said)
	}
}

// awaitWrite waits until the planner has written something, or a while.
func (p *planner) awaitWrite(ctx context.Context) {
	timer := time.NewTimer(stateIdle)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.stated:
	case <-timer.C:
	}
}

// drop has statements on jobs dropped that are to be forgotten.
func (p *planner) drop(ids []workload.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.dropped = append(p.dropped, control.Record{Key: workload.StatedKey(id)})
	}
}

func (p *planner) takeDropped() []control.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.dropped
	p.dropped = nil
	return out
}

// statementRecords writes statements, and the head behind them.
func statementRecords(statements map[workload.JobID][]byte, h head) []control.Record {
	records := make([]control.Record, 0, len(statements)+1)
	for id, value := range statements {
		records = append(records, control.Record{Key: workload.StatedKey(id), Value: value})
	}
	value, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	return append(records, control.Record{Key: headKey, Value: value})
}
