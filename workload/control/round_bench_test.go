package control_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/control"
)

// Benchmarks of one round by the number of workers, mostly over a full pool with waiting work. The
// load is that of a large pool: gangs of 26 tasks of 13 cores and 1 to 8 accelerators,
// first-priority gangs of 8 tasks, and steps of 78 single tasks.

// loadedPool is a planner's core over a pool with work.
type loadedPool struct {
	core *control.Core
	now  time.Time
	rng  *rand.Rand
	jobs int
	// ends is the number of each worker's last end.
	ends map[string]int64
	// runs are the runs on each worker, as it reports them.
	runs map[string][]control.RunningRow
}

const poolToken = 5

func newLoadedPool(workers int) *loadedPool {
	c := &loadedPool{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewSource(1)), ends: map[string]int64{}, runs: map[string][]control.RunningRow{}}
	c.core = control.New(control.Bounds{
		Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second,
		ReclaimWithin: 2900 * time.Millisecond, RemoteFactor: 3, RestoreCost: 600 * time.Millisecond, PollWait: 1500 * time.Millisecond,
	}, poolToken, c.now)
	config := control.Configuration{Version: 1, Queues: map[string]workload.QueueSettings{}, Guaranteed: map[domain.AccountID]int64{}}
	for i, queue := range []string{"quote", "forecast", "check"} {
		config.Queues[queue] = workload.QueueSettings{Service: "pool", Priority: i, MaxAttempts: 2, Stretch: []float64{1.5, 3, 3}[i], TargetMS: []int64{250, 1000, 3000}[i]}
	}
	for i := range 24 {
		config.Guaranteed[domain.AccountID(fmt.Sprint(i))] = 200
	}
	c.core.Configure(config)
	var list []control.Listing
	for i := range workers {
		list = append(list, control.Listing{
			ID: fmt.Sprintf("%016x", i*7919), Address: fmt.Sprint(i), Service: "pool", DataCentre: fmt.Sprint(i / 20 % 5), Rack: fmt.Sprint(i / 20),
			Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 65536, Accelerators: 8}, ClockMS: 1,
		})
	}
	c.core.SetWorkers(list, c.now)
	c.renewAll()
	return c
}

// renewAll answers all due lease renewals with the runs on the workers.
func (c *loadedPool) renewAll() {
	for _, id := range c.core.WorkersToRenew(c.now) {
		if o, ok := c.core.NextRenewal(id, c.now); ok {
			c.core.HandleRenewal(o, control.RenewalAnswer{Result: control.Accepted, ClockMS: c.now.UnixMilli() % 1_000_000, Running: c.runs[id]}, c.now, c.now)
		}
	}
}

// submit submits a job of a class, 0 to 2, which is also its priority.
func (c *loadedPool) submit(class int) {
	c.jobs++
	id := workload.JobID(fmt.Sprintf("%016x", c.jobs))
	gpu := []int64{1, 2, 4, 8, 8}[c.rng.Intn(5)]
	step := workload.Step{EstimateMS: 2500, Gang: true, SameRack: true, Count: 8, Need: workload.Resources{MilliCPU: 3700, MemoryMiB: 9800, Accelerators: gpu}}
	switch class {
	case 1:
		step = workload.Step{EstimateMS: 8500, Gang: true, SameRack: c.rng.Intn(10) < 6, Checkpoint: c.rng.Intn(10) < 4, Count: 26, Need: workload.Resources{MilliCPU: 13000, MemoryMiB: 26000, Accelerators: gpu}}
	case 2:
		step = workload.Step{EstimateMS: 6100, Checkpoint: c.rng.Intn(10) < 4, Count: 78, Need: workload.Resources{MilliCPU: 2800, MemoryMiB: 4100, Accelerators: 1}}
	}
	job := &workload.Job{ID: id, Account: domain.AccountID(fmt.Sprint(c.jobs % 24)), Queue: []string{"quote", "forecast", "check"}[class], Spec: "spec", Steps: []workload.Step{step}, AcceptedMS: c.now.UnixMilli()}
	c.core.Adopt(id, workload.Entry{Job: job, State: workload.Queued})
}

// round runs a round and has the workers accept all start orders.
func (c *loadedPool) round() {
	c.core.Round(c.now, c.now.UnixMilli())
	c.core.Changes()
	c.core.Events()
	for _, o := range c.core.Persisted(c.now) {
		c.core.HandleStartAnswer(o, control.Answer{Result: control.Accepted, ClockMS: c.now.UnixMilli() % 1_000_000}, c.now)
		c.runs[o.Worker] = append(c.runs[o.Worker], control.RunningRow{Task: o.Task, Run: o.Run, Percent: 1})
	}
	c.now = c.now.Add(10 * time.Millisecond)
}

// fill submits jobs of the lower priorities that fill the pool, then some jobs of all priorities.
func (c *loadedPool) fill(workers, waiting int) {
	for i := range workers / 4 {
		c.submit(1 + i%2)
		if i%20 == 0 {
			c.round()
			c.renewAll()
		}
	}
	for i := range waiting {
		c.submit(i % 3)
	}
}

func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{350, 1100, 3000} {
		for _, waiting := range []int{0, 500} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				c := newLoadedPool(workers)
				c.fill(workers, waiting)
				for range 3 {
					c.round()
				}
				for b.Loop() {
					c.round()
				}
			})
		}
	}
}

// idlePoolRuns is the number of runs per worker in a mostly idle pool, in which three of four
// workers are idle.
const idlePoolRuns = 0.37

// newIdlePool returns a mostly idle pool without waiting work.
func newIdlePool(workers int) *loadedPool {
	c := newLoadedPool(workers)
	for tasks := 0.0; tasks < idlePoolRuns*float64(workers); tasks += 26 {
		c.submit(1)
		c.round()
		c.renewAll()
	}
	c.round()
	c.renewAll()
	return c
}

// BenchmarkCalmRound measures a round over a mostly idle pool without waiting work.
func BenchmarkCalmRound(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newIdlePool(workers)
			for b.Loop() {
				c.round()
			}
		})
	}
}

// BenchmarkNeedsHold measures the search for due lease renewals when none is due.
func BenchmarkNeedsHold(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newIdlePool(workers)
			for b.Loop() {
				c.core.WorkersToRenew(c.now)
			}
		})
	}
}

// BenchmarkRoundWithOneNewJob measures a round over a mostly idle pool with one new job.
func BenchmarkRoundWithOneNewJob(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := newIdlePool(workers)
			for b.Loop() {
				c.submit(0)
				c.round()
			}
		})
	}
}
