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

// scheduledJob is a job of the load, with properties that the planner can't see.
type scheduledJob struct {
	at    time.Duration
	job   *workload.Job
	class *Class
	// runTimes is how long each task runs on a healthy worker near its data, by step.
	runTimes [][]time.Duration
	// failures is how many runs of a task or gang fail before one succeeds, by step and task; a
	// gang's count is that of its first task.
	failures [][]int
	// neverSucceeds marks jobs whose runs all fail.
	neverSucceeds bool
	// cancelAt is when the caller cancels the job; 0 means never.
	cancelAt time.Duration
	// coreSeconds is the total work of the job.
	coreSeconds float64
}

// generateLoad draws the jobs of a pattern with the given random source.
func generateLoad(p *Pattern, rng *rand.Rand) []*scheduledJob {
	var out []*scheduledJob
	for i := range p.Classes {
		c := &p.Classes[i]
		for at := interarrivalTime(rng, p.rate(c, 0)); at < seconds(p.Seconds); at += interarrivalTime(rng, p.rate(c, at)) {
			out = append(out, p.generateJob(c, at, rng))
		}
	}
	for _, r := range p.Jobs {
		out = append(out, p.newRecordedJob(r, rng))
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].at < out[b].at })
	for i, a := range out {
		a.job.ID = workload.JobID(fmt.Sprintf("%016x", i+1))
	}
	return out
}

// minRate keeps interarrival times finite for a class that has no load for some time.
const minRate = 1e-3

func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return seconds(min(rng.ExpFloat64()/max(rate, minRate), 1e6))
}

// rate returns the arrival rate of a class at the given time, in jobs per second.
func (p *Pattern) rate(c *Class, at time.Duration) float64 {
	rate := c.PerSecond
	for _, f := range p.Faults {
		if f.Kind == Burst && f.Class == c.Name && at >= seconds(f.AtS) && at < seconds(f.AtS+f.ForS) {
			rate *= f.Factor
		}
	}
	return rate
}

// drawAccount draws the client account of a job.
func (p *Pattern) drawAccount(at time.Duration, rng *rand.Rand) domain.AccountID {
	shares := make([]float64, len(p.Accounts))
	total := 0.0
	for i, a := range p.Accounts {
		shares[i] = a.Share
		for _, f := range p.Faults {
			if f.Kind == Burst && f.Account == a.Name && at >= seconds(f.AtS) && at < seconds(f.AtS+f.ForS) {
				shares[i] *= f.Factor
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

// sample draws a value from the distribution.
func (s Distribution) sample(rng *rand.Rand) float64 {
	if s.Sigma <= 0 {
		return s.Mean
	}
	v := s.Mean * math.Exp(s.Sigma*rng.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return v
}

func (p *Pattern) generateJob(c *Class, at time.Duration, rng *rand.Rand) *scheduledJob {
	a := &scheduledJob{at: at, class: c, neverSucceeds: rng.Float64() < c.NeverSucceeds}
	a.job = &workload.Job{Account: p.drawAccount(at, rng), Queue: c.Name, QueueSettings: c.queueSettings()}
	for step := range max(1, int(math.Round(c.Steps.sample(rng)))) {
		s := workload.Step{
			Count: max(1, int(math.Round(c.Width.sample(rng)))),
			Need:  workload.Resources{MilliCPU: c.CPU, MemoryMiB: c.MemoryMiB, Accelerators: c.Accelerators[rng.IntN(len(c.Accelerators))]},
			Gang:  rng.Float64() < c.Gang, Checkpoint: rng.Float64() < c.Checkpoint,
		}
		s.SameRack = s.Gang && rng.Float64() < c.SameRack
		if rng.Float64() < c.NearData {
			s.DataRack = rackName(rng.IntN(p.rackCount()))
		}
		if step > 0 {
			s.DependsOn = []int{step - 1}
		}
		p.shrinkGang(&s)
		runMS := max(50, c.RunMS.sample(rng))
		estimateFactor := 1 + c.EstimateError*(2*rng.Float64()-1)
		s.EstimateMS = int64(max(1, runMS*estimateFactor))
		a.job.Steps = append(a.job.Steps, s)
		a.addStep(s, runMS, c, rng)
	}
	if rng.Float64() < c.Cancelled {
		a.cancelAt = at + seconds(rng.Float64()*10)
	}
	return a
}

// shrinkGang limits a gang to the number of tasks that fits into the pool, or into one rack if the
// gang asks for one rack.
func (p *Pattern) shrinkGang(s *workload.Step) {
	if !s.Gang {
		return
	}
	perWorker := workload.Resources{MilliCPU: p.Workers.CPU, MemoryMiB: p.Workers.MemoryMiB, Accelerators: p.Workers.Accelerators}.Count(s.Need, s.Count)
	workers := p.Workers.Count
	if s.SameRack {
		workers = min(workers, p.Workers.PerRack)
	}
	s.Count = max(1, min(s.Count, perWorker*workers))
}

func (a *scheduledJob) addStep(s workload.Step, meanMS float64, c *Class, rng *rand.Rand) {
	runTimes := make([]time.Duration, s.Count)
	failures := make([]int, s.Count)
	longest := time.Duration(0)
	for i := range runTimes {
		runTimes[i] = time.Duration(meanMS * (1 + c.TaskVariation*(2*rng.Float64()-1)) * float64(time.Millisecond))
		longest = max(longest, runTimes[i])
		if (!s.Gang || i == 0) && rng.Float64() < c.Failing {
			failures[i] = 1
		}
	}
	for i := range runTimes {
		if s.Gang {
			runTimes[i] = longest
		}
		a.coreSeconds += runTimes[i].Seconds() * s.Need.CoreEquivalent()
	}
	a.runTimes = append(a.runTimes, runTimes)
	a.failures = append(a.failures, failures)
}

// newRecordedJob returns a recorded job with drawn run times. An unknown class counts as the first
// one.
func (p *Pattern) newRecordedJob(r RecordedJob, rng *rand.Rand) *scheduledJob {
	c := &p.Classes[0]
	for i := range p.Classes {
		if p.Classes[i].Name == r.Class {
			c = &p.Classes[i]
		}
	}
	a := &scheduledJob{at: ms(r.AtMS), class: c}
	a.job = &workload.Job{Account: domain.AccountID(r.Account), Queue: c.Name, QueueSettings: c.queueSettings(), Steps: r.Steps}
	for i := range r.Steps {
		p.shrinkGang(&a.job.Steps[i])
		a.addStep(a.job.Steps[i], float64(max(r.Steps[i].EstimateMS, 50)), c, rng)
	}
	return a
}

func (c *Class) queueSettings() workload.QueueSettings {
	return workload.QueueSettings{Service: poolService, Priority: c.Priority, MaxAttempts: c.Attempts, Stretch: c.Stretch, TargetMS: c.TargetMS}
}

// objective returns the time in which the job should complete: the duration of its critical path
// on healthy workers, including the failed runs that the job itself causes, times the class's
// stretch, plus the class's target.
func (a *scheduledJob) objective() time.Duration {
	chain := make([]time.Duration, len(a.runTimes))
	criticalPath := time.Duration(0)
	for i, runTimes := range a.runTimes {
		for _, d := range a.job.Steps[i].DependsOn {
			chain[i] = max(chain[i], chain[d])
		}
		longest := time.Duration(0)
		for t, runTime := range runTimes {
			retries := a.failures[i][t]
			if a.job.Steps[i].Gang {
				retries = a.failures[i][0]
			}
			longest = max(longest, time.Duration(1+retries)*runTime)
		}
		chain[i] += longest
		criticalPath = max(criticalPath, chain[i])
	}
	return time.Duration(a.class.Stretch*float64(criticalPath)) + ms(a.class.TargetMS)
}

const poolService = "pool"

func (p *Pattern) rackCount() int {
	return (p.Workers.Count + p.Workers.PerRack - 1) / p.Workers.PerRack
}

func rackName(i int) string { return fmt.Sprintf("r1-%d", i+1) }
