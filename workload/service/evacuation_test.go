package service

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// evacuateWithin is the bound of the deployments, soon the aim while the log is sound.
const (
	evacuateWithin = 5 * time.Second
	soon           = 500 * time.Millisecond
	lastsElse      = 8 * time.Second
)

// declare writes a declaration as operators do; "" takes it back.
func (p *pool) declare(key, value string) {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	t := p.log.topic(Declarations)
	t.records = append(t.records, Entry{Offset: int64(len(t.records)), Key: key, Value: []byte(value)})
	close(t.changed)
	t.changed = make(chan struct{})
}

// began returns how many tasks began in a data centre after a time.
func (p *pool) began(centre int, after time.Time) (n int, last time.Time) {
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

// handIn submits jobs for a while, also where they are refused.
func (p *pool) handIn(from int, lasts time.Duration) int {
	n := from
	for until := time.Now().Add(lasts); time.Now().Before(until); n++ {
		if at := p.instances[n%len(p.instances)]; !at.killed {
			go p.submitAnyhow(n, at)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return n
}

// Whatever happens to the log or to the planner around the request, nothing begins in
// an evacuated data centre later than its bound, and on a sound log after half a second.
// What is taken back gets work at once.
func TestAnEvacuationHoldsUnderEachTrouble(t *testing.T) {
	for name, c := range map[string]struct {
		// before and after act on the pool around the request.
		before, after func(*pool)
		within        time.Duration
		// lasts is how long work is handed in after the request; 0 is lastsElse.
		lasts time.Duration
	}{
		"nothing else":            {within: soon},
		"the log forgets at once": {after: func(p *pool) { p.log.forget(Declarations) }, within: soon},
		"the log is slow":         {before: func(p *pool) { p.log.setSlow(400 * time.Millisecond) }, within: evacuateWithin},
		"the planner is killed":   {after: func(p *pool) { p.killPlanner() }, within: soon},
		"the planner was killed":  {before: func(p *pool) { p.killPlanner() }, within: soon},
		"declarations can't be read for a while": {
			before: func(p *pool) { p.log.setDeaf(Declarations, true) },
			after: func(p *pool) {
				time.AfterFunc(3*time.Second, func() { p.log.setDeaf(Declarations, false) })
			},
			within: evacuateWithin,
		},
		"declarations can't be read for long": {
			before: func(p *pool) { p.log.setDeaf(Declarations, true) },
			after: func(p *pool) {
				time.AfterFunc(20*time.Second, func() { p.log.setDeaf(Declarations, false) })
			},
			// A part of the log that is down stretches the bound.
			within: evacuateWithin + poolStretch, lasts: 22 * time.Second,
		},
		"another data centre as well": {before: func(p *pool) { p.declare("evacuate/2", "{}") }, within: soon},
		"taken back and asked again": {
			before: func(p *pool) {
				p.declare("evacuate/1", "{}")
				p.declare("evacuate/1", "")
			},
			within: soon,
		},
		"bytes that can't be read": {within: soon},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(t, 6, 40)
				defer p.stopAll()
				time.Sleep(poolWarm)
				n := p.handIn(0, 2*time.Second)
				if began, _ := p.began(1, time.Time{}); began == 0 {
					t.Fatal("nothing ran in the data centre before")
				}
				if c.before != nil {
					c.before(p)
				}
				value := "{}"
				if name == "bytes that can't be read" {
					value = "\xff{"
				}
				p.declare("evacuate/1", value)
				asked := time.Now()
				if c.after != nil {
					c.after(p)
				}
				n = p.handIn(n, cmp.Or(c.lasts, lastsElse))
				if began, last := p.began(1, asked.Add(c.within)); began > 0 {
					t.Errorf("%d tasks began later than %v, the last after %v", began, c.within, last.Sub(asked))
				}
				p.log.setSlow(0)
				if elsewhere, _ := p.began(0, asked.Add(c.within)); elsewhere == 0 {
					t.Error("nothing began elsewhere")
				}
				p.declare("evacuate/1", "")
				back := time.Now()
				p.handIn(n, 4*time.Second)
				if began, _ := p.began(1, back); began == 0 {
					t.Error("nothing began after it was taken back")
				}
				if len(p.workers.twice) > 0 {
					t.Errorf("ran twice: %v", p.workers.twice)
				}
			})
		})
	}
}
