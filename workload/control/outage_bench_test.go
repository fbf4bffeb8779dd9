package control_test

import (
	"fmt"
	"testing"

	"github.com/cobalttide/cobalttide/workload/control"
)

// restartAll lets every worker answer as another life that runs nothing.
func (c *loadedPool) restartAll(workers int) {
	for i := range workers {
		order := control.HoldOrder{Worker: fmt.Sprintf("%016x", i*7919), Address: fmt.Sprint(i), Life: 1, Token: poolToken << 20}
		c.core.Held(order, control.HoldAnswer{Verdict: control.Unanswered}, c.now, c.now)
		c.core.Held(order, control.HoldAnswer{Verdict: control.Accepted, ClockMS: 1, Born: c.now.UnixMilli()}, c.now, c.now)
	}
	c.runs = map[string][]control.RunningRow{}
}

// BenchmarkAllCrash is what the planner spends on the crash of a full pool, all at once, and on
// the round after it.
func BenchmarkAllCrash(b *testing.B) {
	for _, workers := range []int{50, 350, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				c := newLoadedPool(workers)
				c.fill(workers, 0)
				for range 3 {
					c.round()
					c.renewAll()
				}
				b.StartTimer()
				c.restartAll(workers)
				c.round()
			}
		})
	}
}
