package control_test

import (
	"fmt"
	"testing"

	"github.com/cobalttide/cobalttide/workload/control"
)

// restartAll has every worker answer as a new incarnation on which nothing runs.
func (p *loadedPool) restartAll(workers int) {
	for i := range workers {
		order := control.RenewalOrder{Worker: fmt.Sprintf("%016x", i*7919), Address: fmt.Sprint(i), Incarnation: 1, Token: poolToken << 20}
		p.core.HandleRenewal(order, control.RenewalAnswer{Result: control.Unanswered}, p.now, p.now)
		p.core.HandleRenewal(order, control.RenewalAnswer{Result: control.Accepted, ClockMS: 1, StartMS: p.now.UnixMilli()}, p.now, p.now)
	}
	p.runs = map[string][]control.RunningRow{}
}

// BenchmarkAllCrash measures the time that the planner spends when all workers of a full pool crash
// at once, including the next round.
func BenchmarkAllCrash(b *testing.B) {
	for _, workers := range []int{50, 350, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				p := newLoadedPool(workers)
				p.fill(workers, 0)
				for range 3 {
					p.round()
					p.renewAll()
				}
				b.StartTimer()
				p.restartAll(workers)
				p.round()
			}
		})
	}
}
