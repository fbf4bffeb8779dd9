package service

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// evacuationBound is the deployments' limit on the time from a request to the last start,
// healthyEvacuationBound the target for that time while the log is healthy. defaultLoadTime is how
// long jobs are submitted after a request.
const (
	evacuationBound        = 5 * time.Second
	healthyEvacuationBound = 500 * time.Millisecond
	defaultLoadTime        = 8 * time.Second
)

// declare writes a declaration as operators do; an empty value withdraws it.
func (p *pool) declare(key, value string) {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	t := p.log.topic(Declarations)
	t.records = append(t.records, Entry{Offset: int64(len(t.records)), Key: key, Value: []byte(value)})
	close(t.changed)
	t.changed = make(chan struct{})
}

// startsIn returns the number of tasks that started in a data centre after a time, and the time
// of the last start.
func (p *pool) startsIn(centre int, after time.Time) (n int, last time.Time) {
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	for _, s := range p.workers.starts {
		var worker int
		_, _ = fmt.Sscanf(s.worker, "w%d", &worker)
		if worker%5 == centre && s.at.After(after) {
			n, last = n+1, s.at
		}
	}
	return n, last
}

// submitDuring submits jobs for a while, including ones that are refused. It returns the number
// of the next job.
func (p *pool) submitDuring(from int, duration time.Duration) int {
	n := from
	for until := time.Now().Add(duration); time.Now().Before(until); n++ {
		if at := p.instances[n%len(p.instances)]; !at.killed {
			go p.trySubmit(n, at)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return n
}

// Guards against starts in a data centre whose evacuation was requested longer ago than the
// bound (half a second if the log is healthy), whatever happens to the log or the planner
// around the request. Once the request is withdrawn, tasks start there again at once.
func TestNothingStartsInAnEvacuatedDataCentreUnderFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// before and after act on the pool around the request.
		before, after func(*pool)
		within        time.Duration
		// loadTime is how long jobs are submitted after the request; 0 is defaultLoadTime.
		loadTime time.Duration
	}{
		"no fault":               {within: healthyEvacuationBound},
		"the log drops history":  {after: func(p *pool) { p.log.compact(Declarations) }, within: healthyEvacuationBound},
		"the log is slow":        {before: func(p *pool) { p.log.setDelay(400 * time.Millisecond) }, within: evacuationBound},
		"the planner is killed":  {after: func(p *pool) { p.killPlanner() }, within: healthyEvacuationBound},
		"the planner was killed": {before: func(p *pool) { p.killPlanner() }, within: healthyEvacuationBound},
		"declarations are unreadable for 3 s": {
			before: func(p *pool) { p.log.setUnanswered(Declarations, true) },
			after: func(p *pool) {
				time.AfterFunc(3*time.Second, func() { p.log.setUnanswered(Declarations, false) })
			},
			within: evacuationBound,
		},
		"declarations are unreadable for 20 s": {
			before: func(p *pool) { p.log.setUnanswered(Declarations, true) },
			after: func(p *pool) {
				time.AfterFunc(20*time.Second, func() { p.log.setUnanswered(Declarations, false) })
			},
			// The bound is longer while a part of the log is down.
			within: evacuationBound + poolStretch, loadTime: 22 * time.Second,
		},
		"another data centre is evacuated as well": {before: func(p *pool) { p.declare("evacuate/2", "{}") }, within: healthyEvacuationBound},
		"withdrawn and requested again": {
			before: func(p *pool) {
				p.declare("evacuate/1", "{}")
				p.declare("evacuate/1", "")
			},
			within: healthyEvacuationBound,
		},
		"the declaration can't be decoded": {within: healthyEvacuationBound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newPool(t, 6, 40)
				defer p.stopAll()
				time.Sleep(poolWarmup)
				n := p.submitDuring(0, 2*time.Second)
				if starts, _ := p.startsIn(1, time.Time{}); starts == 0 {
					t.Fatal("no task started in the data centre before the request")
				}
				if c.before != nil {
					c.before(p)
				}
				value := "{}"
				if name == "the declaration can't be decoded" {
					value = "\xff{"
				}
				p.declare("evacuate/1", value)
				requestedAt := time.Now()
				if c.after != nil {
					c.after(p)
				}
				n = p.submitDuring(n, cmp.Or(c.loadTime, defaultLoadTime))
				if starts, last := p.startsIn(1, requestedAt.Add(c.within)); starts > 0 {
					t.Errorf("%d tasks started more than %v after the request, the last one after %v", starts, c.within, last.Sub(requestedAt))
				}
				p.log.setDelay(0)
				if otherStarts, _ := p.startsIn(0, requestedAt.Add(c.within)); otherStarts == 0 {
					t.Error("no task started in another data centre")
				}
				p.declare("evacuate/1", "")
				withdrawnAt := time.Now()
				p.submitDuring(n, 4*time.Second)
				if starts, _ := p.startsIn(1, withdrawnAt); starts == 0 {
					t.Error("no task started after the request was withdrawn")
				}
				if len(p.workers.duplicates) > 0 {
					t.Errorf("tasks that ran twice: %v", p.workers.duplicates)
				}
			})
		})
	}
}
