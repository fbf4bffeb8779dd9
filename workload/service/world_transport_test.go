package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// The connections of a world's instances to the log and the workers.

// await waits until ctx ends, but at most for limit.
func await(ctx context.Context, limit time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(limit):
	}
}

// worldLog is one instance's connection to the log.
type worldLog struct {
	w                *world
	instance, centre string
}

// unansweredTimeout is how long a caller waits for a call that is not answered.
const unansweredTimeout = 300 * time.Millisecond

// checkReachable returns an error if the log does not serve the instance now.
func (l *worldLog) checkReachable(ctx context.Context) error {
	switch {
	case l.w.isActive(l.w.cutOff, l.centre), l.w.isActive(l.w.unanswered, l.instance):
		await(ctx, unansweredTimeout)
		return ErrOutcomeUnknown
	case l.w.isActive(l.w.refused, l.instance), l.w.isActive(l.w.down, ""):
		sleep(ctx, callLatency)
		return ErrNotDone
	}
	return nil
}

// Append implements Log.
func (l *worldLog) Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error) {
	if err := l.checkReachable(ctx); err != nil {
		return 0, err
	}
	lost, after := l.w.drawAppend()
	if !lost {
		first, err := l.w.log.Append(ctx, topic, records, writer)
		if afterErr := l.checkReachable(ctx); afterErr != nil {
			// The answer is lost.
			return 0, ErrOutcomeUnknown
		}
		return first, err
	}
	var lateWriter *Writer
	if writer != nil {
		copied := *writer
		lateWriter = &copied
	}
	l.w.background.Go(func() {
		time.Sleep(after)
		_, _ = l.w.log.Append(context.Background(), topic, records, lateWriter)
	})
	await(ctx, unansweredTimeout)
	return 0, ErrOutcomeUnknown
}

// Read implements Log.
func (l *worldLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	if err := l.checkReachable(ctx); err != nil {
		return Page{}, err
	}
	page, err := l.w.log.Read(ctx, topic, from, wait)
	if l.checkReachable(ctx) != nil {
		return Page{}, ErrOutcomeUnknown
	}
	return page, err
}

// Probe implements Log.
func (l *worldLog) Probe(ctx context.Context, topic Topic) error {
	if err := l.checkReachable(ctx); err != nil {
		return err
	}
	return l.w.log.Probe(ctx, topic)
}

// Newest implements Log.
func (l *worldLog) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	if err := l.checkReachable(ctx); err != nil {
		return NewestPage{}, err
	}
	page, err := l.w.log.Newest(ctx, topic, after)
	if l.checkReachable(ctx) != nil {
		return NewestPage{}, ErrOutcomeUnknown
	}
	return page, err
}

// worldWorkers is one instance's connection to the workers.
type worldWorkers struct {
	w      *world
	centre string
}

// deliver sends an order to a worker and reports whether its answer was received.
func (h *worldWorkers) deliver(ctx context.Context, worker string, do func(*workertest.Worker)) bool {
	delivered, answered, after := h.w.drawOrder(h.centre, worker)
	if delivered {
		carryOut := func() {
			time.Sleep(after)
			h.w.workers.withWorker(worker, do)
		}
		if answered {
			carryOut()
			return true
		}
		h.w.background.Go(carryOut)
	}
	<-ctx.Done()
	return false
}

// Start implements Workers.
func (h *worldWorkers) Start(ctx context.Context, o control.StartOrder) control.Answer {
	out := control.Answer{}
	if !h.deliver(ctx, o.Worker, func(worker *workertest.Worker) { out = worker.Start(o, time.Now()) }) {
		return control.Answer{Result: control.Unanswered}
	}
	return out
}

// Stop implements Workers.
func (h *worldWorkers) Stop(ctx context.Context, o control.StopOrder) control.Answer {
	out := control.Answer{}
	if !h.deliver(ctx, o.Worker, func(worker *workertest.Worker) { out = worker.Stop(o, time.Now()) }) {
		return control.Answer{Result: control.Unanswered}
	}
	return out
}

// Renew implements Workers.
func (h *worldWorkers) Renew(ctx context.Context, o control.RenewalOrder) control.RenewalAnswer {
	out := control.RenewalAnswer{}
	for until := time.Now().Add(o.Wait); ; sleep(ctx, 50*time.Millisecond) {
		hasEnds := false
		answered := h.deliver(ctx, o.Worker, func(worker *workertest.Worker) {
			before := worker.Ended()
			out = worker.Renew(o, time.Now())
			hasEnds = len(out.Ended) > 0
			h.w.recordAcknowledged(worker, before, o.AcknowledgedEnd)
		})
		if !answered || ctx.Err() != nil {
			return control.RenewalAnswer{Result: control.Unanswered}
		}
		if hasEnds || !time.Now().Before(until) {
			return out
		}
	}
}

// Throttle implements Workers.
func (h *worldWorkers) Throttle(context.Context, control.ThrottleOrder) control.Answer {
	return control.Answer{}
}

// Advise implements Workers.
func (h *worldWorkers) Advise(context.Context, control.AdviceOrder) control.AdviceAnswer {
	return control.AdviceAnswer{}
}
