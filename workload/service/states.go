package service

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// The states: the part of the planner's work that every instance reads. The planner publishes
// the state of a job once its acceptance or progress is in the log, so that nothing is shown to
// callers that a successor would not know. State records only add to what is known (see
// workload.Book), so one that is written late does readers no harm; the log's fencing prevents
// an earlier planner from leaving an old state as the newest record.

// statesHeartbeatKey is the key of the planner's heartbeat in the states.
const statesHeartbeatKey = "head"

// poolKey is the key of the summary of the pool in the states.
const poolKey = "pool"

// statesHeartbeat is the planner's heartbeat in the states.
type statesHeartbeat struct {
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	// Accepted are offsets of the topics of acceptances: the state of every job that was
	// accepted before them has been published by the time of this record.
	Accepted []int64 `json:"accepted"`
}

const (
	// statesInterval is the minimum time between two appends of states, which otherwise follow
	// the planner's writes at once. It limits them to 40 calls a second.
	statesInterval = 25 * time.Millisecond
	// statesIdleInterval is how often the planner checks whether a heartbeat is due.
	statesIdleInterval = 100 * time.Millisecond
	// maxStatesBatch limits the state records of one append.
	maxStatesBatch = 500
	// statesReadInterval is how often an instance reads the states. A caller that queries a job
	// that has not ended triggers a read at once.
	statesReadInterval = time.Second
	// freshStatesAge is the age of the states up to which the state of a job that has not ended
	// is returned without another read.
	freshStatesAge = 100 * time.Millisecond
	// catchUpTimeout is how long a catch-up may delay a caller that can be given the state read
	// before.
	catchUpTimeout = 300 * time.Millisecond
)

// applyStates applies a snapshot. A summary of the pool in it may have any age.
func (s *Service) applyStates(entries []Entry) {
	for _, e := range entries {
		if e.Key == poolKey {
			s.applyPool(e, time.Time{})
			continue
		}
		s.applyState(e)
	}
}

func (s *Service) applyState(e Entry) {
	switch e.Key {
	case poolKey:
		// The record was not there at the last read to the end.
		s.applyPool(e, s.states.lastReadToEnd())
		return
	case statesHeartbeatKey:
	default:
		s.applyJobRecord(e)
		return
	}
	heartbeat := statesHeartbeat{}
	if err := json.Unmarshal(e.Value, &heartbeat); err != nil {
		s.logUnreadable(e, err)
		return
	}
	s.standby.resetSilence(s.clock.Now())
	s.acceptances.skipTo(heartbeat.Accepted)
}

// refreshStates reads the states unless they were read very recently, so that the end of a job
// is shown as soon as it is published. If the read fails, the state read before is used.
func (s *Service) refreshStates(ctx context.Context) {
	if s.planning.Load() || !s.states.connected() || s.states.age(s.clock.Now()) < freshStatesAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	_ = s.states.catchUp(ctx)
}

// endPollPauses are the pauses between reads while a caller waits for the end of a job. Their
// sum is several times what the end of a job takes under load to reach the states: a decision,
// a pause and two writes.
var endPollPauses = []time.Duration{80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond}

// awaitEnd delays the answer about a running job for a moment and returns the newest entry.
// Callers often ask right after the last task has ended, before the end is published; if the
// answer is that the job still runs, they ask again only much later.
func (s *Service) awaitEnd(ctx context.Context, id workload.JobID, e workload.Entry) workload.Entry {
	for _, pause := range endPollPauses {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*pause {
			return e
		}
		sleep(ctx, pause)
		s.refreshStates(ctx)
		latest, known := s.book.Get(id)
		if !known {
			return e
		}
		if e = latest; e.State.IsFinal() {
			return e
		}
	}
	return e
}

// publishStates publishes changed states until ctx ends or a later planner has written.
func (p *planner) publishStates(ctx context.Context) {
	writer := Writer{Epoch: p.token, Seq: p.s.succession.firstSeq() + 1, ExpectedEnd: -1}
	published := time.Time{}
	heartbeat := statesHeartbeat{Holder: p.s.settings.Instance, Token: p.token}
	for ctx.Err() == nil {
		sleep(ctx, statesInterval)
		p.awaitWrite(ctx)
		// Read before the states are collected: acceptances that are applied later are not
		// covered.
		offsets := p.s.acceptances.offsets()
		states, all := p.s.book.UnpublishedStatuses(maxStatesBatch)
		dropped := p.takeDroppedStates()
		pool := p.summarizePool()
		if len(states)+len(dropped)+len(pool) == 0 && p.s.clock.Since(published) < p.s.settings.PlannerTimeout/4 {
			continue
		}
		if all {
			heartbeat.Accepted = offsets
		}
		records := append(append(dropped, pool...), stateRecords(states, heartbeat)...)
		summarized := p.s.clock.Now()
		first, err := p.appendTo(ctx, States, &writer, records)
		if err != nil {
			return
		}
		published = p.s.clock.Now()
		for i, r := range records[:len(records)-1] {
			if r.Key == poolKey {
				p.s.applyPool(Entry{Offset: first + int64(i), Key: r.Key, Value: r.Value}, summarized)
				continue
			}
			p.s.applyJobRecord(Entry{Key: r.Key, Value: r.Value})
		}
		p.s.standby.resetSilence(published)
	}
}

// awaitWrite waits until the planner has written something, at most for statesIdleInterval.
func (p *planner) awaitWrite(ctx context.Context) {
	timer := time.NewTimer(statesIdleInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.statesChanged:
	case <-timer.C:
	}
}

// dropStates queues the removal of the states of expired jobs.
func (p *planner) dropStates(ids []workload.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.droppedStates = append(p.droppedStates, control.Record{Key: workload.StatusKey(id)})
	}
}

func (p *planner) takeDroppedStates() []control.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.droppedStates
	p.droppedStates = nil
	return out
}

// stateRecords returns the records of the states, followed by the heartbeat.
func stateRecords(states map[workload.JobID][]byte, heartbeat statesHeartbeat) []control.Record {
	records := make([]control.Record, 0, len(states)+1)
	for id, value := range states {
		records = append(records, control.Record{Key: workload.StatusKey(id), Value: value})
	}
	value, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err)
	}
	return append(records, control.Record{Key: statesHeartbeatKey, Value: value})
}
