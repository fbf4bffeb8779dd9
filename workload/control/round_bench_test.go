package control_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
	"github.com/cobalttide/cobalttide/workload/admission"
	"github.com/cobalttide/cobalttide/workload/control"
	"github.com/cobalttide/cobalttide/workload/decide"
)

// Benchmarks of one round by the number of workers, mostly over a full pool with waiting work. The
// load is that of a large pool: gangs of 26 tasks of 13 cores and 1 to 8 accelerators,
// first-priority gangs of 8 tasks, and steps of 78 single tasks.

// loadedPool is a planner core with a pool of simulated workers.
type loadedPool struct {
	core *control.Core
	now  time.Time
	rng  *rand.Rand
	jobs int
	// accounts is the number of client accounts, which submit jobs in turns.
	accounts int
	// ends is the number of each worker's last end.
	ends map[string]int64
	// runs are the runs on each worker, as it reports them.
	runs map[string][]control.RunningRow
}

const poolToken = 5

func newLoadedPool(workers int) *loadedPool {
	equal := make([]int64, 24)
	for i := range equal {
		equal[i] = 200
	}
	return newPoolOfAccounts(workers, equal, nil)
}

// newPoolOfAccounts returns a pool whose accounts "0", "1" and so on have these guarantees.
func newPoolOfAccounts(workers int, guaranteed []int64, disabled decide.DisabledMechanisms) *loadedPool {
	p := &loadedPool{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewSource(1)), accounts: len(guaranteed), ends: map[string]int64{}, runs: map[string][]control.RunningRow{}}
	p.core = control.New(control.Bounds{
		Lease: 6 * time.Second, AuthorityPeriod: 6 * time.Second, StopTimeout: 400 * time.Millisecond, GangTimeout: 5 * time.Second,
		ReclaimWithin: 2900 * time.Millisecond, RemoteFactor: 3, RestoreCost: 600 * time.Millisecond, PollWait: 1500 * time.Millisecond, Notice: 5500 * time.Millisecond,
		Disabled: disabled,
	}, poolToken, p.now)
	config := control.Configuration{Version: 1, Queues: map[string]workload.QueueSettings{}, Guaranteed: map[domain.AccountID]int64{}}
	for i, queue := range []string{"quote", "forecast", "check"} {
		config.Queues[queue] = workload.QueueSettings{Service: "pool", Priority: i, MaxAttempts: 2, Stretch: []float64{1.5, 3, 3}[i], TargetMS: []int64{250, 1000, 3000}[i]}
	}
	for i, n := range guaranteed {
		config.Guaranteed[domain.AccountID(fmt.Sprint(i))] = n
	}
	p.core.Configure(config)
	var list []control.Listing
	for i := range workers {
		list = append(list, control.Listing{
			ID: fmt.Sprintf("%016x", i*7919), Address: fmt.Sprint(i), Service: "pool", DataCentre: fmt.Sprint(i / 20 % 5), Rack: fmt.Sprint(i / 20),
			Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 65536, Accelerators: 8}, ClockMS: 1,
		})
	}
	p.core.SetWorkers(list, p.now)
	p.renewAll()
	return p
}

// renewAll answers all due lease renewals with the runs on the workers.
func (p *loadedPool) renewAll() {
	for _, id := range p.core.WorkersToRenew(p.now) {
		if o, ok := p.core.NextRenewal(id, p.now); ok {
			p.core.HandleRenewal(o, control.RenewalAnswer{Result: control.Accepted, ClockMS: p.now.UnixMilli() % 1_000_000, Running: p.runs[id]}, p.now, p.now)
		}
	}
}

// submit submits a job of a class, 0 to 2, which is also its priority.
func (p *loadedPool) submit(class int) {
	p.jobs++
	id := workload.JobID(fmt.Sprintf("%016x", p.jobs))
	gpu := []int64{1, 2, 4, 8, 8}[p.rng.Intn(5)]
	step := workload.Step{EstimateMS: 2500, Gang: true, SameRack: true, Count: 8, Need: workload.Resources{MilliCPU: 3700, MemoryMiB: 9800, Accelerators: gpu}}
	switch class {
	case 1:
		step = workload.Step{EstimateMS: 8500, Gang: true, SameRack: p.rng.Intn(10) < 6, Checkpoint: p.rng.Intn(10) < 4, Count: 26, Need: workload.Resources{MilliCPU: 13000, MemoryMiB: 26000, Accelerators: gpu}}
	case 2:
		step = workload.Step{EstimateMS: 6100, Checkpoint: p.rng.Intn(10) < 4, Count: 78, Need: workload.Resources{MilliCPU: 2800, MemoryMiB: 4100, Accelerators: 1}}
	}
	job := &workload.Job{ID: id, Account: domain.AccountID(fmt.Sprint(p.jobs % p.accounts)), Queue: []string{"quote", "forecast", "check"}[class], Spec: "spec", Steps: []workload.Step{step}, AcceptedMS: p.now.UnixMilli()}
	p.core.Adopt(id, workload.Entry{Job: job, State: workload.Queued})
}

// round runs a round and has the workers accept all start orders.
func (p *loadedPool) round() {
	p.core.Round(p.now, p.now.UnixMilli())
	p.core.Changes()
	p.core.Events()
	for _, o := range p.core.Persisted(p.now) {
		p.core.HandleStartAnswer(o, control.Answer{Result: control.Accepted, ClockMS: p.now.UnixMilli() % 1_000_000}, p.now)
		p.runs[o.Worker] = append(p.runs[o.Worker], control.RunningRow{Task: o.Task, Run: o.Run, Percent: 1})
	}
	p.now = p.now.Add(10 * time.Millisecond)
}

// fill submits jobs of the lower priorities that fill the pool, then some jobs of all priorities.
func (p *loadedPool) fill(workers, waiting int) {
	for i := range workers / 4 {
		p.submit(1 + i%2)
		if i%20 == 0 {
			p.round()
			p.renewAll()
		}
	}
	for i := range waiting {
		p.submit(i % 3)
	}
}

func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{350, 1100, 3000} {
		for _, waiting := range []int{0, 500} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				p := newLoadedPool(workers)
				p.fill(workers, waiting)
				for range 3 {
					p.round()
				}
				for b.Loop() {
					p.round()
				}
			})
		}
	}
}

// unequalGuarantees differ by a factor of 16.
var unequalGuarantees = []int64{696, 320, 200, 150, 100, 80, 60, 50, 44, 43}

// BenchmarkRoundOfUnequalAccounts measures a round whose capacity is divided among accounts, and the
// same without the mechanism.
func BenchmarkRoundOfUnequalAccounts(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{350, 1000}, {1100, 3000}} {
		for _, disabled := range []bool{true, false} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d/shares=%t", size.workers, size.waiting, !disabled), func(b *testing.B) {
				p := newPoolOfAccounts(size.workers, unequalGuarantees, decide.DisabledMechanisms{decide.FairShares: disabled})
				p.fill(size.workers, size.waiting)
				for range 3 {
					p.round()
				}
				for b.Loop() {
					p.round()
				}
			})
		}
	}
}

// idlePoolRuns is the number of runs per worker in a mostly idle pool, in which three of four
// workers are idle.
const idlePoolRuns = 0.37

// newIdlePool returns a mostly idle pool without waiting work.
func newIdlePool(workers int) *loadedPool { return newLoadedPool(workers).idle(workers) }

// idle loads a new pool so that it is mostly idle.
func (p *loadedPool) idle(workers int) *loadedPool {
	for tasks := 0.0; tasks < idlePoolRuns*float64(workers); tasks += 26 {
		p.submit(1)
		p.round()
		p.renewAll()
	}
	p.round()
	p.renewAll()
	return p
}

// BenchmarkRoundOfIdlePool measures a round over a mostly idle pool without waiting work.
func BenchmarkRoundOfIdlePool(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newIdlePool(workers)
			for b.Loop() {
				p.round()
			}
		})
	}
}

// BenchmarkRoundOfIdlePoolOfUnequalAccounts is the same where capacity is divided among accounts, and
// without the mechanism.
func BenchmarkRoundOfIdlePoolOfUnequalAccounts(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		for _, disabled := range []bool{true, false} {
			b.Run(fmt.Sprintf("workers=%d/shares=%t", workers, !disabled), func(b *testing.B) {
				p := newPoolOfAccounts(workers, unequalGuarantees, decide.DisabledMechanisms{decide.FairShares: disabled}).idle(workers)
				for b.Loop() {
					p.round()
				}
			})
		}
	}
}

// BenchmarkWorkersToRenew measures the search for due lease renewals when none is due.
func BenchmarkWorkersToRenew(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newIdlePool(workers)
			for b.Loop() {
				p.core.WorkersToRenew(p.now)
			}
		})
	}
}

// BenchmarkRoundWithOneNewJob measures a round over a mostly idle pool with one new job.
func BenchmarkRoundWithOneNewJob(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newIdlePool(workers)
			for b.Loop() {
				p.submit(0)
				p.round()
			}
		})
	}
}

// BenchmarkSummarizePool measures the summary that the planner makes once a second, with what it
// remembers of the pool.
func BenchmarkSummarizePool(b *testing.B) {
	for _, workers := range []int{350, 18_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newLoadedPool(workers)
			memory := admission.NewMemory(nil, p.now)
			for b.Loop() {
				services, readable := p.core.SummarizePool(p.now)
				pool := memory.Observe(services, readable, p.now)
				pool.Encode()
			}
		})
	}
}

// BenchmarkRoundWhileWorkersLeave measures rounds of a full pool of which a tenth of the workers
// drains, with 0.8 s left, so that their units are stopped and capacity is reserved for the next
// runs. The clock stands still, so that each round has these reservations.
func BenchmarkRoundWhileWorkersLeave(b *testing.B) {
	for _, workers := range []int{350, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newLoadedPool(workers)
			// Single tasks that are running before the pool is full are not preempted at once.
			for range workers / 5 {
				p.submit(2)
			}
			for range 6 {
				p.round()
			}
			p.fill(workers, 500)
			for range 3 {
				p.round()
			}
			p.renewAll()
			for i := 0; i < workers; i += 10 {
				p.core.UpdateWorker(control.Listing{
					ID: fmt.Sprintf("%016x", i*7919), Address: fmt.Sprint(i), Service: "pool", DataCentre: fmt.Sprint(i / 20 % 5), Rack: fmt.Sprint(i / 20),
					Capacity: workload.Resources{MilliCPU: 32000, MemoryMiB: 65536, Accelerators: 8}, ClockMS: 1, Draining: true, RemainingMS: 800,
				}, p.now)
			}
			p.core.Round(p.now, p.now.UnixMilli())
			stopsForDeparture := func(e control.Event) bool { return e.Name == control.EventRunStopping && e.Reason == "worker-leaves" }
			if !slices.ContainsFunc(p.core.Events(), stopsForDeparture) {
				b.Fatal("nothing was stopped, so nothing is reserved")
			}
			for b.Loop() {
				p.core.Round(p.now, p.now.UnixMilli())
				p.core.Events()
			}
		})
	}
}
