package service

import (
	"context"
	"time"

	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// How a world's instances reach the log and the workers.

// await waits until ctx ends, or for a time.
func await(ctx context.Context, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(most):
	}
}

// worldLog is the log as one instance reaches it.
type worldLog struct {
	w                *world
	instance, centre string
}

// silence is how long a call without an answer is waited for.
const silence = 300 * time.Millisecond

// reached fails where the log does not serve the instance now.
func (l *worldLog) reached(ctx context.Context) error {
	switch {
	case l.w.is(l.w.cut, l.centre), l.w.is(l.w.deaf, l.instance):
		await(ctx, silence)
		return ErrUnknown
	case l.w.is(l.w.refused, l.instance), l.w.is(l.w.down, ""):
		sleep(ctx, answerTime)
		return ErrNotDone
	}
	return nil
}

// Append implements Log.
func (l *worldLog) Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error) {
	if err := l.reached(ctx); err != nil {
		return 0, err
	}
	lost, after := l.w.append()
	if !lost {
		first, err := l.w.log.Append(ctx, topic, records, writer)
		if again := l.reached(ctx); again != nil {
			// The answer does not come through.
			return 0, ErrUnknown
		}
		return first, err
	}
	var one *Writer
	if writer != nil {
		same := *writer
		one = &same
	}
	l.w.under.Go(func() {
		time.Sleep(after)
		_, _ = l.w.log.Append(context.Background(), topic, records, one)
	})
	await(ctx, silence)
	return 0, ErrUnknown
}

// Read implements Log.
func (l *worldLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	if err := l.reached(ctx); err != nil {
		return Page{}, err
	}
	page, err := l.w.log.Read(ctx, topic, from, wait)
	if l.reached(ctx) != nil {
		return Page{}, ErrUnknown
	}
	return page, err
}

// Probe implements Log.
func (l *worldLog) Probe(ctx context.Context, topic Topic) error {
	if err := l.reached(ctx); err != nil {
		return err
	}
	return l.w.log.Probe(ctx, topic)
}

// Newest implements Log.
func (l *worldLog) Newest(ctx context.Context, topic Topic, after string) (NewestPage, error) {
	if err := l.reached(ctx); err != nil {
		return NewestPage{}, err
	}
	page, err := l.w.log.Newest(ctx, topic, after)
	if l.reached(ctx) != nil {
		return NewestPage{}, ErrUnknown
	}
	return page, err
}

// worldWorkers are the workers as one instance reaches them.
type worldWorkers struct {
	w      *world
	centre string
}

// carry brings an order to a worker and tells whether its answer came back.
func (h *worldWorkers) carry(ctx context.Context, worker string, do func(*workertest.Worker)) bool {
	there, answered, after := h.w.order(h.centre, worker)
	if there {
		carry := func() {
			time.Sleep(after)
			h.w.workers.on(worker, do)
		}
		if answered {
			carry()
			return true
		}
		h.w.under.Go(carry)
	}
	<-ctx.Done()
	return false
}

// Start implements Workers.
func (h *worldWorkers) Start(ctx context.Context, o control.StartOrder) control.Answer {
	out := control.Answer{}
	if !h.carry(ctx, o.Worker, func(one *workertest.Worker) { out = one.Start(o, time.Now()) }) {
		return control.Answer{Verdict: control.Unanswered}
	}
	return out
}

// Stop implements Workers.
func (h *worldWorkers) Stop(ctx context.Context, o control.StopOrder) control.Answer {
	out := control.Answer{}
	if !h.carry(ctx, o.Worker, func(one *workertest.Worker) { out = one.Stop(o, time.Now()) }) {
		return control.Answer{Verdict: control.Unanswered}
	}
	return out
}

// Hold implements Workers.
func (h *worldWorkers) Hold(ctx context.Context, o control.HoldOrder) control.HoldAnswer {
	out := control.HoldAnswer{}
	for until := time.Now().Add(o.Wait); ; sleep(ctx, 50*time.Millisecond) {
		fresh := false
		came := h.carry(ctx, o.Worker, func(one *workertest.Worker) {
			before := one.Ended()
			out = one.Hold(o, time.Now())
			fresh = len(out.Ended) > 0
			h.w.noteEnds(one, before, o.Cursor)
		})
		if !came || ctx.Err() != nil {
			return control.HoldAnswer{Verdict: control.Unanswered}
		}
		if fresh || !time.Now().Before(until) {
			return out
		}
	}
}

// Pace implements Workers.
func (h *worldWorkers) Pace(context.Context, control.PaceOrder) control.Answer {
	return control.Answer{}
}

// Advise implements Workers.
func (h *worldWorkers) Advise(context.Context, control.AdviceOrder) control.AdviceAnswer {
	return control.AdviceAnswer{}
}
