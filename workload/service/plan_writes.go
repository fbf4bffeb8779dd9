package service

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/events"
	"github.com/cobalttide/cobalttide/workload/control"
)

// The planner's writes to the log, from which its authority follows.

const (
	appendTimeout    = 2 * time.Second
	appendRetryPause = 50 * time.Millisecond
	maxBatchRecords  = 200
	maxBatchBytes    = 1 << 20
)

// write appends records to the log, in as many calls as the size limits require.
func (p *planner) write(ctx context.Context, records []control.Record) error {
	if len(records) == 0 {
		records = []control.Record{p.heartbeat()}
	}
	for len(records) > 0 {
		n := batchSize(records)
		first, err := p.append(ctx, records[:n])
		if err != nil {
			return err
		}
		for i, r := range records[:n] {
			p.s.storePlanRecord(Entry{Offset: first + int64(i), Key: r.Key, Value: r.Value})
		}
		records = records[n:]
	}
	return nil
}

func batchSize(records []control.Record) int {
	bytes := 0
	for i, r := range records {
		bytes += len(r.Key) + len(r.Value)
		if i > 0 && (bytes > maxBatchBytes || i >= maxBatchRecords) {
			return i
		}
	}
	return len(records)
}

// append writes to the plans topic. A successful append extends the planner's authority.
func (p *planner) append(ctx context.Context, records []control.Record) (int64, error) {
	first, err := p.appendTo(ctx, Plans, &p.writer, records)
	return first, errors.Wrap(err, "the planner's append failed")
}

// appendTo repeats an append until the log has answered it. The log recognises a repetition by
// the sequence number.
func (p *planner) appendTo(ctx context.Context, topic Topic, writer *Writer, records []control.Record) (int64, error) {
	began := time.Now()
	// firstSent is when the first attempt was sent that may have been carried out. A successor may
	// have read the records since then, although this planner repeats the append.
	firstSent := time.Time{}
	for {
		sent := p.s.clock.Now()
		if firstSent.IsZero() {
			firstSent = sent
		}
		attemptCtx, cancel := context.WithTimeout(ctx, p.attemptTimeout(topic, sent))
		attemptWriter := *writer
		first, err := p.s.log.Append(attemptCtx, topic, records, &attemptWriter)
		cancel()
		if err == nil {
			writer.Seq++
			p.recordAppend(topic, firstSent)
			return first, nil
		}
		if isFenced(err) || ctx.Err() != nil {
			return 0, err
		}
		if firstSent.Equal(sent) && errors.Is(err, ErrNotDone) {
			firstSent = time.Time{}
		}
		if _, held := p.s.succession.heldToken(); !held {
			return 0, errors.New("succeeded while the log did not answer")
		}
		if time.Since(began) > appendTimeout {
			p.s.events.Info(events.AppendRepeated, events.Fields{"token": p.token, "topic": string(topic), "cause": err.Error(), "for_ms": time.Since(began).Milliseconds()})
		}
		sleep(ctx, appendRetryPause)
	}
}

// lateAppendTimeout is that of attempts once the last write is older than a quarter of the authority.
// A write counts from its first attempt, so that only the one after it makes leases as long as before.
const lateAppendTimeout = 700 * time.Millisecond

// attemptTimeout returns how long an attempt that is sent now waits for its answer.
func (p *planner) attemptTimeout(topic Topic, now time.Time) time.Duration {
	bounds := p.s.settings.Bounds
	if topic != Plans || bounds.Horizon == 0 || now.Sub(p.lastWrite) <= bounds.AuthorityPeriod/4 {
		return appendTimeout
	}
	return lateAppendTimeout
}

// recordAppend records when a successful append was first sent.
func (p *planner) recordAppend(topic Topic, sent time.Time) {
	if topic != Plans {
		return
	}
	p.mu.Lock()
	p.lastWrite = sent
	p.core.RecordWrite(sent)
	p.mu.Unlock()
	p.s.lastPlanWrite.Store(&sent)
}

// renewAuthority writes a heartbeat if half of this planner's authority has passed since its last
// write was first sent. That write was repeated, and the start orders that wait for it would be
// sent late or with short leases.
func (p *planner) renewAuthority(ctx context.Context) error {
	if p.s.clock.Since(p.lastWrite) < p.s.settings.Bounds.AuthorityPeriod/2 {
		return nil
	}
	return p.write(ctx, nil)
}

// hasAuthority reports whether orders may be given: the last write is recent enough that no
// successor regards this planner's leases as expired.
func (p *planner) hasAuthority(now time.Time) bool {
	return now.Sub(p.lastWrite) < p.s.settings.Bounds.AuthorityPeriod
}
