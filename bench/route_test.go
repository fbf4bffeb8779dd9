package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/bench/route"
	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/requests/routing"
)

func BenchmarkRoute(b *testing.B) {
	for _, s := range route.Scenarios {
		for _, policy := range route.Policies {
			b.Run(s.Name+"/"+policy, func(b *testing.B) {
				for range b.N {
					r := route.Run(s, policy, *seed)
					b.ReportMetric(0, "ns/op") // wall-clock time is meaningless for a run in virtual time
					b.ReportMetric(float64(r.P50.Microseconds())/1000, "p50-ms")
					b.ReportMetric(float64(r.P99.Microseconds())/1000, "p99-ms")
					b.ReportMetric(r.GoodputPct, "goodput-pct")
					b.ReportMetric(r.AttemptsPerReq, "attempts-per-req")
					b.ReportMetric(r.LostPct, "lost-pct")
				}
			})
		}
	}
}

func newTable(backends int) *routing.Table {
	table := routing.NewTable("dc", routing.DefaultOptions())
	var specs []domain.BackendServer
	for i := range backends {
		specs = append(specs, domain.BackendServer{ID: fmt.Sprint(i), Address: fmt.Sprint(i), DataCentre: "dc", Slots: 8})
	}
	table.Update(specs)
	return table
}

// BenchmarkRouteDecision measures the choice of a backend server.
func BenchmarkRouteDecision(b *testing.B) {
	for _, backends := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			table := newTable(backends)
			now := time.Unix(1_000_000, 0)
			b.ReportAllocs()
			for range b.N {
				table.Release(table.Pick(now, routing.DefaultRandom, nil))
			}
		})
	}
}
