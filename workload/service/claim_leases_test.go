package service

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/workertest"
)

// leaseBounds are those of a deployment with leases of 10 s that recovers within 15 s.
var leaseBounds = control.Bounds{
	Lease: 10 * time.Second, AuthorityPeriod: 10 * time.Second, Horizon: 13 * time.Second, StopTimeout: 400 * time.Millisecond,
	GangTimeout: 5 * time.Second, ReclaimWithin: 3 * time.Second, RemoteFactor: 3, PollWait: time.Second,
}

// startWithLeases starts an instance with leaseBounds.
func (p *pool) startWithLeases(name string, bounds control.Bounds, log Log, workers Workers) *poolInstance {
	settings := poolSettings(name, 0.1, "0")
	settings.Bounds = bounds
	return p.startInstance(settings, log, workers, nil)
}

// awaitPlanner waits until an instance plans.
func (p *pool) awaitPlanner() {
	for range 1000 {
		if len(p.planners()) > 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.t.Fatal("no instance plans")
}

// Guards against work that waits for the authority and the lease of a lost planner one after the
// other: all instances are lost, and a worker leaves before there is a planner again.
func TestWorkOfAWorkerThatLeftWithoutAPlannerRestartsWithinTheHorizon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 0, 20)
		p.workers.fleet.Limits.MaxLease = leaseBounds.Lease
		for _, name := range []string{"edge-0", "edge-1", "edge-2"} {
			p.startWithLeases(name, leaseBounds, p.log, p.workers)
		}
		time.Sleep(poolWarmup)
		for i := range 5 {
			p.submit(i, p.instances[0])
		}
		time.Sleep(300 * time.Millisecond)
		p.stopAll()
		p.workers.mu.Lock()
		left := p.workers.starts[0].worker
		p.workers.fleet.Kill(left, time.Now())
		p.workers.mu.Unlock()
		p.unlist(left)
		time.Sleep(2 * time.Second)
		p.instances = nil
		for _, name := range []string{"edge-0", "edge-1", "edge-2"} {
			p.startWithLeases(name, leaseBounds, p.log, p.workers)
		}
		defer p.stopAll()
		p.awaitPlanner()
		began := time.Now()
		p.awaitCompleted(p.jobs, 30*time.Second)
		limit := time.Duration(float64(leaseBounds.Horizon)/0.98) + time.Second
		p.workers.mu.Lock()
		defer p.workers.mu.Unlock()
		if last := p.workers.starts[len(p.workers.starts)-1].at.Sub(began); last > limit {
			t.Errorf("the work restarted %v after the planner began, want at most %v", last, limit)
		}
	})
}

// deafLog is a log that carries out or ignores a planner's appends without an answer.
type deafLog struct {
	*claimLog
	// mode is guarded by claimMu.
	mode appendMode
}

type appendMode int

const (
	// appendsAnswered is the normal operation. appendsUnanswered are carried out, but only the
	// attempts are answered that are made after the mode has ended. appendsLost are not carried out.
	appendsAnswered appendMode = iota
	appendsUnanswered
	appendsLost
)

func (l *deafLog) setMode(mode appendMode) {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	l.mode = mode
}

func (l *deafLog) Append(ctx context.Context, topic Topic, records []control.Record, writer *Writer) (int64, error) {
	l.claimMu.Lock()
	mode := l.mode
	l.claimMu.Unlock()
	if topic != Plans || writer == nil || writer.ExpectedEnd >= 0 || mode == appendsAnswered {
		return l.claimLog.Append(ctx, topic, records, writer)
	}
	if mode == appendsUnanswered {
		_, _ = l.sharedLog.Append(ctx, topic, records, writer)
	}
	await(ctx, unansweredTimeout)
	return 0, ErrOutcomeUnknown
}

// Read is not answered while appends are lost, so that the planner does not learn of its successor.
func (l *deafLog) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error) {
	l.claimMu.Lock()
	mode := l.mode
	l.claimMu.Unlock()
	page, err := l.claimLog.Read(ctx, topic, from, wait)
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	if mode == appendsLost || l.mode == appendsLost {
		return Page{}, ErrOutcomeUnknown
	}
	return page, err
}

// partitionedWorkers drops the orders to some workers.
type partitionedWorkers struct {
	*poolWorkers
	unreachable func(worker string) bool
}

func (w *partitionedWorkers) Start(ctx context.Context, o control.StartOrder) control.Answer {
	if w.unreachable(o.Worker) {
		return control.Answer{Result: control.Unreachable}
	}
	return w.poolWorkers.Start(ctx, o)
}

func (w *partitionedWorkers) Stop(ctx context.Context, o control.StopOrder) control.Answer {
	if w.unreachable(o.Worker) {
		return control.Answer{Result: control.Unreachable}
	}
	return w.poolWorkers.Stop(ctx, o)
}

func (w *partitionedWorkers) Renew(ctx context.Context, o control.RenewalOrder) control.RenewalAnswer {
	if w.unreachable(o.Worker) {
		return control.RenewalAnswer{Result: control.Unreachable}
	}
	return w.poolWorkers.Renew(ctx, o)
}

// runCutOffPlanner runs a planner that loses the log, first for a while in which its appends are
// carried out without an answer, and its successor, which can't reach half of the workers. It
// returns how many tasks ran twice at the same time, and how many were restarted.
func runCutOffPlanner(t *testing.T, unansweredFor time.Duration, granted control.Bounds, claimed time.Duration) (duplicates, restarted int) {
	p := newPool(t, 0, 0)
	p.workers.fleet.Limits.MaxLease = leaseBounds.Lease
	p.workers.fleet.Work = longWork
	p.addSlowWorkers(20)
	log := &deafLog{claimLog: &claimLog{sharedLog: p.log}}
	first := p.startWithLeases("edge-0", granted, log, p.workers)
	first.succession.mu.Lock()
	first.succession.leases.horizon = claimed
	first.succession.mu.Unlock()
	p.awaitPlanner()
	cutOff := func(worker string) bool { return worker < "w0010" }
	second := p.startWithLeases("edge-1", leaseBounds, p.log, &partitionedWorkers{p.workers, cutOff})
	defer p.stopAll()
	time.Sleep(2 * time.Second)
	p.submit(0, p.instances[0])
	time.Sleep(time.Second)
	log.setMode(appendsUnanswered)
	time.Sleep(unansweredFor)
	// The attempts that are made now are answered, since they repeat what was carried out.
	log.setMode(appendsAnswered)
	time.Sleep(60 * time.Millisecond)
	log.setMode(appendsLost)
	for range 100 {
		if second.planning.Load() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	return len(p.workers.duplicates), len(p.workers.starts) - poolTasksPerJob
}

// longWork is the work of tasks that outlast all leases.
func longWork(workload.TaskID, int64, string) workertest.Work {
	return workertest.Work{Takes: 5 * time.Minute}
}

// addSlowWorkers adds workers whose clocks are as slow as allowed.
func (p *pool) addSlowWorkers(n int) {
	capacity := workload.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 8}
	for i := range n {
		id := fmt.Sprintf("w%04d", i)
		p.workers.fleet.Add(id, capacity, 0.98, time.Now())
		value, err := json.Marshal(control.Listing{ID: id, Address: id, Service: "pool", DataCentre: "0", Rack: fmt.Sprint(i / 20), Capacity: capacity})
		if err != nil {
			p.t.Fatal(err)
		}
		p.put(WorkerList, id, value)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, 20*time.Millisecond)
			p.workers.mu.Lock()
			p.workers.fleet.Advance(time.Now())
			p.workers.mu.Unlock()
		}
	}()
}

// Guards against tasks that run twice while a cut-off planner renews leases and its successor takes
// them for ended. Appends that were carried out without an answer must not count from the time of
// their repetition: the successor counts from when it read them.
func TestNoTaskRunsTwiceWhileACutOffPlannerRenewsLeases(t *testing.T) {
	t.Parallel()
	for _, unansweredFor := range []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(unansweredFor), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				duplicates, restarted := runCutOffPlanner(t, unansweredFor, leaseBounds, leaseBounds.Horizon)
				if duplicates > 0 {
					t.Errorf("%d tasks ran twice", duplicates)
				}
				if restarted == 0 {
					t.Error("no task was restarted")
				}
			})
		})
	}
}

// Shows that the test above detects leases beyond the horizon that the claim states.
func TestLeasesBeyondTheClaimedHorizonAreDetected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		granted := leaseBounds
		granted.Horizon += 3 * time.Second
		if duplicates, _ := runCutOffPlanner(t, 0, granted, leaseBounds.Horizon); duplicates == 0 {
			t.Error("no task ran twice")
		}
	})
}

// Guards against work that waits for leases which the lost planner has not granted: a worker was
// silent when all instances were lost, and has left. Its work restarts once its lease is over.
func TestWorkOfASilentWorkerRestartsWithinItsLeaseAfterTheLossOfAllInstances(t *testing.T) {
	t.Parallel()
	for _, silentFor := range []time.Duration{3 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(silentFor), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newPool(t, 0, 0)
				p.workers.fleet.Limits.MaxLease = leaseBounds.Lease
				p.workers.fleet.Work = longWork
				p.addSlowWorkers(20)
				var silent atomic.Pointer[string]
				workers := &partitionedWorkers{p.workers, func(worker string) bool { id := silent.Load(); return id != nil && worker == *id }}
				names := []string{"edge-0", "edge-1", "edge-2"}
				for _, name := range names {
					p.startWithLeases(name, leaseBounds, p.log, workers)
				}
				time.Sleep(poolWarmup)
				p.submit(0, p.instances[0])
				time.Sleep(time.Second)
				p.workers.mu.Lock()
				id := p.workers.starts[0].worker
				p.workers.mu.Unlock()
				silent.Store(&id)
				time.Sleep(silentFor)
				p.stopAll()
				time.Sleep(2 * time.Second)
				p.instances = nil
				for _, name := range names {
					p.startWithLeases(name, leaseBounds, p.log, workers)
				}
				defer p.stopAll()
				p.awaitPlanner()
				began := time.Now()
				// The last renewal may have been sent at the end of the poll that was not answered. What
				// passed while there was no instance is known to none.
				left := control.LeaseTime(leaseBounds.Lease) + leaseBounds.PollWait - silentFor
				limit := began.Add(left + time.Second)
				time.Sleep(20 * time.Second)
				p.workers.mu.Lock()
				defer p.workers.mu.Unlock()
				last := p.workers.starts[len(p.workers.starts)-1].at
				if len(p.workers.starts) <= poolTasksPerJob || last.After(limit) {
					t.Errorf("%d starts, the last %v after the planner began, want at most %v", len(p.workers.starts), last.Sub(began), limit.Sub(began))
				}
				if n := len(p.workers.duplicates); n > 0 {
					t.Errorf("%d tasks ran twice", n)
				}
			})
		})
	}
}
