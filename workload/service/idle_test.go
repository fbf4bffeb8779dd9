package service

import (
	"testing"
	"testing/synctest"
	"time"
)

// An instance that is asked nothing reads the states once a second and the declarations once
// in half of the age at which it would answer nothing any more; 30 of them make 30 times as
// many calls.
func TestAnIdleInstanceMakesFewCalls(t *testing.T) {
	const instances, lasts = 30, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, instances, 4)
		defer p.stopAll()
		time.Sleep(poolWarm)
		before := p.readsOf(Declarations)
		time.Sleep(lasts)
		made := p.readsOf(Declarations) - before
		stale := p.instances[0].settings.Stale
		// The planner reads on at once.
		most := int(instances*lasts/(stale/2)) + int(lasts/plannerWait) + instances
		if made > most {
			t.Errorf("%d reads of the declarations in %v, %d at the most", made, lasts, most)
		}
		for _, one := range p.instances {
			if age := one.declarations.age(one.clock.Now()); age > stale*3/4 {
				t.Errorf("%s read the declarations %v ago", one.name, age)
			}
		}
	})
}

func (p *pool) readsOf(topic Topic) int {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.reads[topic]
}
