package bench

import (
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/bench/policy"
	"github.com/cobalttide/cobalttide/bench/route"
	"github.com/cobalttide/cobalttide/requests/routing"
	"github.com/cobalttide/cobalttide/scheduler"
)

// The bounds below apply to deterministic figures: allocations, counts, virtual time and ratios
// within one run. They detect regressions and are not the targets; docs/MEASUREMENTS.md lists the
// targets and how far they are met.

func TestRouteDecisionAllocatesNothing(t *testing.T) {
	table := newTable(500)
	now := time.Unix(1_000_000, 0)
	if n := testing.AllocsPerRun(1000, func() { table.Release(table.Pick(now, routing.DefaultRandom, nil)) }); n > 0 {
		t.Errorf("%v allocations per routing decision, want 0", n)
	}
}

func TestPlanAllocationsGrowNoWorseThanLinearly(t *testing.T) {
	allocs := func(workers int) float64 {
		s := planSnapshot(workers, 1)
		return testing.AllocsPerRun(3, func() { scheduler.MakePlan(s, scheduler.DefaultPolicy()) })
	}
	small, large := allocs(200), allocs(2000)
	if large > 12*small {
		t.Errorf("%v allocations at 200 workers, %v at 2,000", small, large)
	}
	if large > 4000 {
		t.Errorf("%v allocations at 2,000 workers, want at most 4,000", large)
	}
}

func TestPolicyOutperformsBackfillingBaseline(t *testing.T) {
	trace := policy.Generate(policy.Deployments[0], 0.7, 2*24*time.Hour, 1)
	policies := policy.Policies()
	easy, ours := policy.Run(trace, policies[1]), policy.Run(trace, policies[2])
	if ours.MeanSlowdown > 0.6*easy.MeanSlowdown {
		t.Errorf("mean slowdown %.2f, easy-bestfit %.2f; want at most 60 %% of it", ours.MeanSlowdown, easy.MeanSlowdown)
	}
	if ours.MeanCompletion > 0.6*easy.MeanCompletion {
		t.Errorf("mean completion %.0f s, easy-bestfit %.0f s; want at most 60 %% of it", ours.MeanCompletion, easy.MeanCompletion)
	}
	if ours.ReclaimP99 > 5 || ours.Violations > 0 {
		t.Errorf("reclaim p99 %.0f s, %d violations", ours.ReclaimP99, ours.Violations)
	}
}

func TestRoutingMeetsItsTargets(t *testing.T) {
	results := map[string]route.Result{}
	for _, s := range route.Scenarios {
		results[s.Name] = route.Run(s, "cobalttide", 1)
	}
	ideal := route.Run(route.Scenarios[0], "ideal-central-queue", 1)
	if got := results["steady-70"].P99; got > ideal.P99*13/10 {
		t.Errorf("p99 %v at 70 %% load, ideal-central-queue has %v; want at most 1.3 times that", got, ideal.P99)
	}
	if got := results["overload-200"].GoodputPct; got < 95 {
		t.Errorf("goodput %.1f %% at 200 %% load, want at least 95 %%", got)
	}
	for _, name := range []string{"slow-backend", "black-hole", "rolling-restart"} {
		if got := results[name]; got.LostPct > 1 || got.AttemptsPerReq > 1.2 {
			t.Errorf("%s: %.2f %% lost, %.2f attempts per request", name, got.LostPct, got.AttemptsPerReq)
		}
	}
}
