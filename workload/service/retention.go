package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

const (
	// forgetEvery is how often the planner looks for jobs to forget.
	dropInterval = 5 * time.Second
	// forgetGap is the time between dropping a job's acceptance and its progress.
	// It is many times the age at which an instance stops acting on what it has
	// read, so that none sees the acceptance without the progress.
	dropGap = time.Minute
	// forgetMost bounds one look.
	maxDropBatch = 200
	// reduceEvery is how often ended jobs are reduced. One call then serves the
	// jobs of a second, and no more than those are read whole for nothing.
	reduceInterval = time.Second
)

// reduce replaces the acceptances of jobs that have ended by ones without spec
// and steps (see workload.Book.Reduce). The final state is in the log before, and
// whoever claims the planner's role has read the plans to their end, so that
// nobody plans a job of which only the reduced acceptance is left. An append that
// is carried out late, or by a planner that was succeeded, does no harm: a final
// state stands for good. It is done beside the rounds, which must not wait for
// the topic of acceptances.
func (p *planner) reduceEnded(ctx context.Context) {
	if p.s.clock.Since(p.lastReduce) < reduceInterval || !p.reducing.CompareAndSwap(false, true) {
		return
	}
	p.lastReduce = p.s.clock.Now()
	p.goroutines.Go(func() {
		defer p.reducing.Store(false)
		p.reduceBatch(ctx)
	})
}

func (p *planner) reduceBatch(ctx context.Context) {
	var records []control.Record
	for _, id := range p.s.book.Reducible(maxDropBatch) {
		if value, ok := p.s.book.Reduce(id); ok {
			records = append(records, control.Record{Key: workload.AcceptedKey(id), Value: value})
		}
	}
	if len(records) == 0 || p.rewriteAcceptances(ctx, records) != nil {
		return
	}
	for _, r := range records {
		p.s.applyJobRecord(Entry{Key: r.Key, Value: r.Value})
	}
}

// forget drops the records of jobs that ended long ago, so that the log and the
// instances' memory do not grow for ever.
func (p *planner) dropExpired(ctx context.Context) {
	keep := p.s.settings.Keep
	if keep <= 0 || p.s.clock.Since(p.lastDrop) < dropInterval {
		return
	}
	p.lastDrop = p.s.clock.Now()
	accepted, progress := p.s.book.Expired(time.Now().UnixMilli(), keep, dropGap, maxDropBatch)
	var first, rest []control.Record
	for _, id := range accepted {
		first = append(first, control.Record{Key: workload.AcceptedKey(id)}, control.Record{Key: workload.CancelledKey(id)})
	}
	for _, id := range progress {
		// Once more: one of the topics may have missed the first time, and an
		// acceptance that outlives its progress would be a new job.
		first = append(first, control.Record{Key: workload.AcceptedKey(id)}, control.Record{Key: workload.CancelledKey(id)})
		rest = append(rest, control.Record{Key: workload.ProgressKey(id)})
	}
	if len(first) > 0 && p.rewriteAcceptances(ctx, first) != nil {
		return
	}
	if len(rest) > 0 {
		if _, err := p.append(ctx, rest); err != nil {
			return
		}
		for _, r := range rest {
			p.s.applyJobRecord(Entry{Key: r.Key})
		}
		p.dropStates(progress)
	}
	if len(first)+len(rest) > 0 {
		p.s.events.Info(events.JobsForgotten, events.Fields{"accepted": len(accepted), "progress": len(progress), "keep_ms": keep.Milliseconds()})
	}
}

// rewriteAcceptances appends records to all topics that may have them.
func (p *planner) rewriteAcceptances(ctx context.Context, records []control.Record) error {
	for topic, part := range p.s.acceptances.groupByTopic(records) {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := p.s.log.Append(attempt, topic, part, nil)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
