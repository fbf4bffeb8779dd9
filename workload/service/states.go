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
const statesHeartbeatKey = "head"

// head is the planner's sign among the states.
type statesHeartbeat struct {
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	// Accepted are offsets of the topics of acceptances: whatever was accepted before
	// them is stated here, or was stated before.
	Accepted []int64 `json:"accepted"`
}

const (
	// stateEvery is the least time between two appends of statements, which follow the
	// planner's writes at once else. It bounds the planner's calls for them at 40 a second.
	statesInterval = 25 * time.Millisecond
	// stateIdle is how often it is looked whether a sign of life is due.
	statesIdleInterval = 100 * time.Millisecond
	// statesMost bounds the statements of one append.
	maxStatesBatch = 500
	// statesPeriod is how often an instance reads the states. Callers who ask for a job
	// that has not ended make it read at once.
	statesReadInterval = time.Second
	// shownWithin is the age of the states at which a job that has not ended is shown
	// without a look.
	freshStatesAge = 100 * time.Millisecond
	// lookTime is the longest that a look holds up a caller who can be told what
	// was read before.
	catchUpTimeout = 300 * time.Millisecond
)

func (s *Service) applyStates(entries []Entry) {
	for _, e := range entries {
		s.applyState(e)
	}
}

func (s *Service) applyState(e Entry) {
	if e.Key != statesHeartbeatKey {
		s.applyJobRecord(e)
		return
	}
	h := statesHeartbeat{}
	if err := json.Unmarshal(e.Value, &h); err != nil {
		s.logUnreadable(e, err)
		return
	}
	s.standby.recordHeard(s.clock.Now())
	s.acceptances.skipTo(h.Accepted)
}

// refresh reads the states if what was read is not quite new, so that the end of
// a job is shown as soon as it is stated. Where that fails the answer is what was
// read before.
func (s *Service) refreshStates(ctx context.Context) {
	if s.planning.Load() || !s.states.connected() || s.states.age(s.clock.Now()) < freshStatesAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	_ = s.states.catchUp(ctx)
}

// endLooks are the pauses between looks while a caller waits for the end of a job. The
// sum is some times what an end takes on its way over the planner to the states under
// load: a decision, a pause, two writes.
var endPollPauses = []time.Duration{80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond}

// awaitEnd holds a caller up for a moment who asks for a job that runs. Callers often
// ask right after the last task has ended, when that is on its way to the states: told
// that the job still runs, they come back much later. It returns what is known then.
func (s *Service) awaitEnd(ctx context.Context, id workload.JobID, e workload.Entry) workload.Entry {
	for _, pause := range endPollPauses {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*pause {
			return e
		}
		sleep(ctx, pause)
		s.refreshStates(ctx)
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
func (p *planner) publishStates(ctx context.Context) {
	writer := Writer{Epoch: p.token, Seq: p.s.succession.firstSeq() + 1, Expect: -1}
	said := time.Time{}
	covered := statesHeartbeat{Holder: p.s.settings.Instance, Token: p.token}
	for ctx.Err() == nil {
		sleep(ctx, statesInterval)
		p.awaitWrite(ctx)
		// Read before the statements: what is folded later is not covered.
		places := p.s.acceptances.offsets()
		statements, all := p.s.book.Unstated(maxStatesBatch)
		dropped := p.takeDroppedStates()
		if len(statements)+len(dropped) == 0 && p.s.clock.Since(said) < p.s.settings.Patience/4 {
			continue
		}
		if all {
			covered.Accepted = places
		}
		records := append(dropped, stateRecords(statements, covered)...)
		if _, err := p.appendTo(ctx, States, &writer, records); err != nil {
			return
		}
		said = p.s.clock.Now()
		for _, r := range records[:len(records)-1] {
			p.s.applyJobRecord(Entry{Key: r.Key, Value: r.Value})
		}
		p.s.standby.recordHeard(said)
	}
}

// awaitWrite waits until the planner has written something, or a while.
func (p *planner) awaitWrite(ctx context.Context) {
	timer := time.NewTimer(statesIdleInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.statesChanged:
	case <-timer.C:
	}
}

// drop has statements on jobs dropped that are to be forgotten.
func (p *planner) dropStates(ids []workload.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.droppedStates = append(p.droppedStates, control.Record{Key: workload.StatedKey(id)})
	}
}

func (p *planner) takeDroppedStates() []control.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.droppedStates
	p.droppedStates = nil
	return out
}

// statementRecords writes statements, and the head behind them.
func stateRecords(statements map[workload.JobID][]byte, h statesHeartbeat) []control.Record {
	records := make([]control.Record, 0, len(statements)+1)
	for id, value := range statements {
		records = append(records, control.Record{Key: workload.StatedKey(id), Value: value})
	}
	value, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	return append(records, control.Record{Key: statesHeartbeatKey, Value: value})
}
