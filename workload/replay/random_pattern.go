package replay

import (
	"fmt"
	"math/rand/v2"
)

// RandomPattern generates a random deployment, so that policies are tested on ones that they were
// not tuned for: its size, racks, speeds, times, accounts with guarantees, classes and faults. It
// is small, so that many can be simulated.
func RandomPattern(seed uint64) *Pattern {
	rng := rand.New(rand.NewPCG(seed, 3))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	p := &Pattern{
		Name: fmt.Sprintf("random-%d", seed), Seconds: 16,
		Workers: Workers{
			Count: 12 + rng.IntN(20), PerRack: 3 + rng.IntN(6), DataCentres: 1 + rng.IntN(3), CPU: 32000, MemoryMiB: 131072,
			Accelerators: []int64{2, 4, 8}[rng.IntN(3)], SpeedSpread: between(0, 0.3),
		},
		Bounds: Bounds{
			LeaseMS: 4000 + 1000*rng.Int64N(7), StopMS: 100 + 100*rng.Int64N(10), GangMS: 3000, ReclaimMS: 3400, CheckpointMS: 500,
			RestoreMS: 100 + 100*rng.Int64N(6), WriteMS: 5 + rng.Int64N(20), OrderMS: 1 + rng.Int64N(5), RemoteFactor: between(1.5, 4),
		},
	}
	accelerators := float64(int64(p.Workers.Count) * p.Workers.Accelerators)
	for i := range 2 + rng.IntN(4) {
		p.Accounts = append(p.Accounts, Account{Name: fmt.Sprintf("account-%d", i), Share: between(0.2, 1), Guaranteed: int64(accelerators * between(0, 0.15))})
	}
	load := between(0.6, 1)
	for priority, share := range []float64{between(0.15, 0.35), between(0.3, 0.5), 0} {
		if priority == 2 {
			share = 1 - p.Classes[0].PerSecond - p.Classes[1].PerSecond
		}
		// PerSecond holds the class's share of the load until its rate is computed below.
		p.Classes = append(p.Classes, randomClass(rng, priority, p.Workers.Accelerators))
		p.Classes[priority].PerSecond = share
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		needed := 0.0
		for _, n := range c.Accelerators {
			needed += float64(n) / float64(len(c.Accelerators))
		}
		c.PerSecond *= load * accelerators / (needed * c.Width.Mean * c.RunMS.Mean / 1000)
	}
	p.Faults = []Fault{
		{Kind: Burst, Class: p.Classes[rng.IntN(3)].Name, AtS: between(1, 5), ForS: between(2, 5), Factor: between(1.5, 3)},
		{Kind: []string{DataCentreUnreachable, LogDown, DrainNotices, Slow, Grey, PlannerDown}[rng.IntN(6)], AtS: between(6, 12), ForS: between(1, 5), Share: between(0.05, 0.2), Factor: between(2, 7)},
	}
	return p
}

func randomClass(rng *rand.Rand, priority int, maxAccelerators int64) Class {
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	runMS := between(4000, 9000)
	if priority == 0 {
		runMS = between(1000, 4000)
	}
	c := Class{
		Name: fmt.Sprintf("class-%d", priority), Priority: priority, Value: []float64{4, 3, 1}[priority], LateValue: []float64{0.8, 0.9, 0.3}[priority],
		Stretch: []float64{1.5, 3, 3}[priority], TargetMS: []int64{250, 1000, 3000}[priority], Attempts: 3,
		Steps: Distribution{Mean: 1}, Width: Distribution{Mean: between(2, 6), Sigma: 0.8, Max: 20}, RunMS: Distribution{Mean: runMS, Sigma: 0.4, Max: 3 * runMS},
		TaskVariation: between(0, 0.3), EstimateError: between(0, 0.9), CPU: int64(between(1000, 4000)), MemoryMiB: 8000,
		Gang: between(0.3, 1), SameRack: between(0, 0.8), Checkpoint: between(0, 0.6), NearData: between(0, 0.2), Failing: between(0, 0.05),
	}
	if priority == 2 {
		c.Gang = 0
	}
	for n := int64(1); n <= maxAccelerators; n *= 2 {
		c.Accelerators = append(c.Accelerators, n)
	}
	return c
}
