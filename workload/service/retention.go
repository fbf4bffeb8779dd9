package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

const (
	// dropInterval is how often the planner checks for expired jobs.
	dropInterval = 5 * time.Second
	// dropGap is the time between dropping a job's acceptance and dropping its progress. It is
	// many times the age at which an instance stops acting on what it has read, so that no
	// instance sees the acceptance without the progress.
	dropGap = time.Minute
	// maxDropBatch limits the number of jobs that are dropped or reduced at once.
	maxRetentionBatch = 200
	// reduceInterval is how often records of ended jobs are reduced. One call then covers the
	// jobs that ended within a second, and only those are still read in full.
	reduceInterval = time.Second
)

// reduceEnded replaces the acceptances of ended jobs by ones without spec and steps (see
// workload.Book.Reduce). The final state is already in the log, and any instance that claims
// the planner's role has read the plans to their end, so no planner ever plans a job of which
// only the reduced acceptance is left. An append that is carried out late, or by a planner that
// has been succeeded, does no harm, since a final state never changes. This runs independently
// of the rounds, which must not wait for the topics of acceptances.
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
	for _, id := range p.s.book.Reducible(maxRetentionBatch) {
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

// dropExpired drops the records of jobs that ended long ago, which bounds the size of the log
// and the memory of the instances.
func (p *planner) dropExpired(ctx context.Context) {
	keep := p.s.settings.Retention
	if keep <= 0 || p.s.clock.Since(p.lastDrop) < dropInterval {
		return
	}
	p.lastDrop = p.s.clock.Now()
	accepted, progress := p.s.book.Expired(time.Now().UnixMilli(), keep, dropGap, maxRetentionBatch)
	var acceptanceRecords, progressRecords []control.Record
	for _, id := range accepted {
		acceptanceRecords = append(acceptanceRecords, control.Record{Key: workload.AcceptedKey(id)}, control.Record{Key: workload.CancelledKey(id)})
	}
	for _, id := range progress {
		// Dropped a second time: the first drop may have missed one of the topics, and an
		// acceptance that outlives its progress would be taken for a new job.
		acceptanceRecords = append(acceptanceRecords, control.Record{Key: workload.AcceptedKey(id)}, control.Record{Key: workload.CancelledKey(id)})
		progressRecords = append(progressRecords, control.Record{Key: workload.ProgressKey(id)})
	}
	if len(acceptanceRecords) > 0 && p.rewriteAcceptances(ctx, acceptanceRecords) != nil {
		return
	}
	if len(progressRecords) > 0 {
		if _, err := p.append(ctx, progressRecords); err != nil {
			return
		}
		for _, r := range progressRecords {
			p.s.applyJobRecord(Entry{Key: r.Key})
		}
		p.dropStates(progress)
	}
	if len(acceptanceRecords)+len(progressRecords) > 0 {
		p.s.events.Info(events.JobsForgotten, events.Fields{"accepted": len(accepted), "progress": len(progress), "keep_ms": keep.Milliseconds()})
	}
}

// rewriteAcceptances appends records to all topics that may hold the jobs' records.
func (p *planner) rewriteAcceptances(ctx context.Context, records []control.Record) error {
	for topic, part := range p.s.acceptances.groupByTopic(records) {
		attemptCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := p.s.log.Append(attemptCtx, topic, part, nil)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
