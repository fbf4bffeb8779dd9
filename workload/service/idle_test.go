package service

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against idle instances that overload the log with calls. An instance without requests
// reads the states once a second and the declarations once in half of the age at which it would
// stop answering; 30 instances make 30 times as many calls.
func TestIdleInstancesMakeFewCalls(t *testing.T) {
	t.Parallel()
	const instances, duration = 30, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, instances, 4)
		defer p.stopAll()
		time.Sleep(poolWarmup)
		before := p.readCount(Declarations)
		time.Sleep(duration)
		made := p.readCount(Declarations) - before
		stale := p.instances[0].settings.StaleAfter
		// The planner reads again without a pause.
		limit := int(instances*duration/(stale/2)) + int(duration/plannerWait) + instances
		if made > limit {
			t.Errorf("%d reads of the declarations in %v, want at most %d", made, duration, limit)
		}
		for _, instance := range p.instances {
			if age := instance.declarations.age(instance.clock.Now()); age > stale*3/4 {
				t.Errorf("%s last read the declarations %v ago", instance.name, age)
			}
		}
	})
}

// readCount returns the number of reads of a topic.
func (p *pool) readCount(topic Topic) int {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.reads[topic]
}
