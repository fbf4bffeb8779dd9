package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

// arrival is a job with what the planner does not know of it.
type arrival struct {
	at    time.Duration
	job   *workload.Job
	class *Class
	// takes is how long each task runs on a sound worker near its data, by step.
	takes [][]time.Duration
	// fails is how many runs of a task or gang fail before one is done, by step
	// and task; a gang counts at its first task.
	fails [][]int
	// hopeless jobs fail whenever they run.
	hopeless bool
	// cancelAt is when its caller cancels it; 0 is never.
	cancelAt time.Duration
	// work is in core-seconds.
	work float64
}

// draw makes the load of a pattern from a seed.
func draw(p *Pattern, rng *rand.Rand) []*arrival {
	var out []*arrival
	for i := range p.Classes {
		c := &p.Classes[i]
		for at := gap(rng, p.rate(c, 0)); at < seconds(p.Seconds); at += gap(rng, p.rate(c, at)) {
			out = append(out, p.drawJob(c, at, rng))
		}
	}
	for _, r := range p.Jobs {
		out = append(out, p.recorded(r, rng))
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].at < out[b].at })
	for i, a := range out {
		a.job.ID = workload.JobID(fmt.Sprintf("%016x", i+1))
	}
	return out
}

// leastRate keeps gaps finite where a class has no load for now.
const leastRate = 1e-3

func gap(rng *rand.Rand, rate float64) time.Duration {
	return seconds(min(rng.ExpFloat64()/max(rate, leastRate), 1e6))
}

// rate is how many jobs of a class come in a second at a time.
func (p *Pattern) rate(c *Class, at time.Duration) float64 {
	rate := c.PerSecond
	for _, t := range p.Troubles {
		if t.Kind == Burst && t.Class == c.Name && at >= seconds(t.AtS) && at < seconds(t.AtS+t.ForS) {
			rate *= t.Factor
		}
	}
	return rate
}

// account draws whose job it is.
func (p *Pattern) account(at time.Duration, rng *rand.Rand) domain.AccountID {
	shares := make([]float64, len(p.Accounts))
	total := 0.0
	for i, a := range p.Accounts {
		shares[i] = a.Share
		for _, t := range p.Troubles {
			if t.Kind == Burst && t.Account == a.Name && at >= seconds(t.AtS) && at < seconds(t.AtS+t.ForS) {
				shares[i] *= t.Factor
			}
		}
		total += shares[i]
	}
	pick := rng.Float64() * total
	for i, share := range shares {
		if pick -= share; pick <= 0 {
			return domain.AccountID(p.Accounts[i].Name)
		}
	}
	return domain.AccountID(p.Accounts[len(p.Accounts)-1].Name)
}

// draw returns a value of the distribution.
func (s Spread) draw(rng *rand.Rand) float64 {
	if s.Spread <= 0 {
		return s.Mean
	}
	v := s.Mean * math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return v
}

func (p *Pattern) drawJob(c *Class, at time.Duration, rng *rand.Rand) *arrival {
	a := &arrival{at: at, class: c, hopeless: rng.Float64() < c.Hopeless}
	a.job = &workload.Job{Account: p.account(at, rng), Queue: c.Name, Terms: c.terms()}
	for step := range max(1, int(math.Round(c.Steps.draw(rng)))) {
		s := workload.Step{
			Count: max(1, int(math.Round(c.Width.draw(rng)))),
			Need:  workload.Resources{MilliCPU: c.CPU, MemoryMiB: c.MemoryMiB, Accelerators: c.Accelerators[rng.IntN(len(c.Accelerators))]},
			Gang:  rng.Float64() < c.Gang, Checkpoint: rng.Float64() < c.Checkpoint,
		}
		s.SameRack = s.Gang && rng.Float64() < c.SameRack
		if rng.Float64() < c.NearData {
			s.DataRack = rackName(rng.IntN(p.racks()))
		}
		if step > 0 {
			s.DependsOn = []int{step - 1}
		}
		p.fit(&s)
		takes := max(50, c.RunMS.draw(rng))
		off := 1 + c.EstimateOff*(2*rng.Float64()-1)
		s.EstimateMS = int64(max(1, takes*off))
		a.job.Steps = append(a.job.Steps, s)
		a.addStep(s, takes, c, rng)
	}
	if rng.Float64() < c.Cancelled {
		a.cancelAt = at + seconds(rng.Float64()*10)
	}
	return a
}

// fit narrows a gang to what the pool could run at all: one rack where it wants
// one, all of them elsewhere.
func (p *Pattern) fit(s *workload.Step) {
	if !s.Gang {
		return
	}
	each := workload.Resources{MilliCPU: p.Workers.CPU, MemoryMiB: p.Workers.MemoryMiB, Accelerators: p.Workers.Accelerators}.Count(s.Need, s.Count)
	workers := p.Workers.Count
	if s.SameRack {
		workers = min(workers, p.Workers.PerRack)
	}
	s.Count = max(1, min(s.Count, each*workers))
}

func (a *arrival) addStep(s workload.Step, takesMS float64, c *Class, rng *rand.Rand) {
	takes := make([]time.Duration, s.Count)
	fails := make([]int, s.Count)
	longest := time.Duration(0)
	for i := range takes {
		takes[i] = time.Duration(takesMS * (1 + c.Uneven*(2*rng.Float64()-1)) * float64(time.Millisecond))
		longest = max(longest, takes[i])
		if (!s.Gang || i == 0) && rng.Float64() < c.Failing {
			fails[i] = 1
		}
	}
	for i := range takes {
		if s.Gang {
			takes[i] = longest
		}
		a.work += takes[i].Seconds() * s.Need.CoreEquivalent()
	}
	a.takes = append(a.takes, takes)
	a.fails = append(a.fails, fails)
}

func (p *Pattern) recorded(r RecordedJob, rng *rand.Rand) *arrival {
	c := &p.Classes[0]
	for i := range p.Classes {
		if p.Classes[i].Name == r.Class {
			c = &p.Classes[i]
		}
	}
	a := &arrival{at: ms(r.AtMS), class: c}
	a.job = &workload.Job{Account: domain.AccountID(r.Account), Queue: c.Name, Terms: c.terms(), Steps: r.Steps}
	for i := range r.Steps {
		p.fit(&a.job.Steps[i])
		a.addStep(a.job.Steps[i], float64(max(r.Steps[i].EstimateMS, 50)), c, rng)
	}
	return a
}

func (c *Class) terms() workload.Terms {
	return workload.Terms{Service: pool, Priority: c.Priority, Attempts: c.Attempts, Stretch: c.Stretch, TargetMS: c.TargetMS}
}

// objective is how long the job may take: its longest chain on sound workers,
// with the runs that fail by its own fault, stretched.
func (a *arrival) objective() time.Duration {
	chain := make([]time.Duration, len(a.takes))
	best := time.Duration(0)
	for i, takes := range a.takes {
		for _, d := range a.job.Steps[i].DependsOn {
			chain[i] = max(chain[i], chain[d])
		}
		longest := time.Duration(0)
		for t, took := range takes {
			again := a.fails[i][t]
			if a.job.Steps[i].Gang {
				again = a.fails[i][0]
			}
			longest = max(longest, time.Duration(1+again)*took)
		}
		chain[i] += longest
		best = max(best, chain[i])
	}
	return time.Duration(a.class.Stretch*float64(best)) + ms(a.class.TargetMS)
}

const pool = "pool"

func (p *Pattern) racks() int { return (p.Workers.Count + p.Workers.PerRack - 1) / p.Workers.PerRack }

func rackName(i int) string { return fmt.Sprintf("r1-%d", i+1) }
