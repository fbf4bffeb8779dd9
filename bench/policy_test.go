// Package bench holds the load experiments: scheduling policies and routing policies in virtual
// time, and the resource use of the daemons.
package bench

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/bench/policy"
)

var seed = flag.Uint64("seed", 1, "seed of the workloads")

const week = 7 * 24 * time.Hour

func BenchmarkPolicy(b *testing.B) {
	for _, d := range policy.Deployments {
		for _, load := range []float64{0.7, 0.9, 1.1} {
			trace := policy.Generate(d, load, week, *seed)
			for _, p := range policy.Policies() {
				b.Run(fmt.Sprintf("%s/%s/load=%.0f", d.Name, p.Name, 100*load), func(b *testing.B) {
					for range b.N {
						reportPolicy(b, policy.Run(trace, p))
					}
				})
			}
		}
	}
}

func reportPolicy(b *testing.B, r policy.Result) {
	b.ReportMetric(0, "ns/op") // wall-clock time is meaningless for a run in virtual time
	b.ReportMetric(r.MeanCompletion, "mean-completion-s")
	b.ReportMetric(r.P99Completion, "p99-completion-s")
	b.ReportMetric(r.MeanSlowdown, "mean-slowdown")
	b.ReportMetric(r.LargeP99Wait, "large-p99-wait-s")
	b.ReportMetric(r.FragPct, "frag-pct")
	b.ReportMetric(r.UtilPct, "util-pct")
	b.ReportMetric(r.ReclaimP99, "reclaim-p99-s")
	b.ReportMetric(r.PreemptedAccelH, "preempted-accel-h")
	b.ReportMetric(float64(r.Violations), "violations")
	b.ReportMetric(float64(r.Total-r.Completed), "not-done")
}
