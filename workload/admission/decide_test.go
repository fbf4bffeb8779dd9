package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/workload"
)

var workerSize = workload.Resources{MilliCPU: 64_000, MemoryMiB: 256_000, Accelerators: 8}

// poolOf returns a settled summary of workers of one service.
func poolOf(workers int, labels ...string) *Pool {
	s := Service{}
	for range workers {
		s.Add(workerSize, labels)
	}
	return &Pool{Settled: true, Services: map[string]Service{"pool": s}}
}

func jobOf(priority int, step workload.Step) *workload.Job {
	return &workload.Job{
		ID: "00000000000000aa", Account: "shop", Steps: []workload.Step{step},
		QueueSettings: workload.QueueSettings{Service: "pool", Priority: priority, Stretch: 3, TargetMS: 1000},
	}
}

// Guards against work that is accepted and can never run, and above all against work that is
// refused for good although workers may come (back) that could run it.
func TestOnlyWhatNoWorkerCouldRunIsRefusedForGood(t *testing.T) {
	task := workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 1000}, EstimateMS: 1000}
	with := func(change func(*workload.Step)) workload.Step {
		s := task
		change(&s)
		return s
	}
	tooLarge := with(func(s *workload.Step) { s.Need.Accelerators = 9 })
	unsettled, empty := poolOf(4, "gpu"), poolOf(0)
	unsettled.Settled = false
	omitted := poolOf(4)
	omitted.LabelsOmitted = true
	for name, c := range map[string]struct {
		step  workload.Step
		pool  *Pool
		age   time.Duration
		field string
	}{
		"fits":                           {task, poolOf(4, "gpu"), 0, ""},
		"task too large":                 {tooLarge, poolOf(4, "gpu"), 0, "need"},
		"filler needs no counted CPU":    {with(func(s *workload.Step) { s.Need.MilliCPU, s.BestEffortCPU = 99_000, true }), poolOf(4), 0, ""},
		"unknown label":                  {with(func(s *workload.Step) { s.Label = "fpga" }), poolOf(4, "gpu"), 0, "label"},
		"known label":                    {with(func(s *workload.Step) { s.Label = "gpu" }), poolOf(4, "gpu"), 0, ""},
		"labels left out of the summary": {with(func(s *workload.Step) { s.Label = "fpga" }), omitted, 0, ""},
		"gang too large":                 {with(func(s *workload.Step) { s.Gang, s.Count, s.Need.Accelerators = true, 33, 1 }), poolOf(4), 0, "count"},
		"gang fits":                      {with(func(s *workload.Step) { s.Gang, s.Count, s.Need.Accelerators = true, 32, 1 }), poolOf(4), 0, ""},
		"spread gang too large":          {with(func(s *workload.Step) { s.Gang, s.Count, s.PerWorker = true, 9, 2 }), poolOf(4), 0, "count"},
		"many single tasks":              {with(func(s *workload.Step) { s.Count = 500 }), poolOf(4), 0, ""},
		"no summary":                     {tooLarge, nil, 0, ""},
		"old summary":                    {tooLarge, poolOf(4), MaxPoolAge + 1, ""},
		"pool that may be growing":       {tooLarge, unsettled, 0, ""},
		"no worker listed":               {tooLarge, empty, 0, ""},
		"service unknown":                {tooLarge, &Pool{Settled: true}, 0, ""},
	} {
		got := Decide(jobOf(1, c.step), Snapshot{Pool: c.pool, PoolAge: c.age}).Refusal
		if c.field == "" {
			if got != nil {
				t.Errorf("%s: refused: %v", name, got)
			}
			continue
		}
		if got == nil || got.Reason != domain.ReasonNeverRunnable || got.Outcome != domain.NotRun || got.Field != c.field || got.RetryAfter != 0 {
			t.Errorf("%s: %+v, want a refusal for good of %q", name, got, c.field)
		}
	}
}

// Guards against a refusal for good of any step that some placement in the empty pool could run,
// also after a part of the workers has left.
func TestNothingThatFitsIntoTheEmptyPoolIsRefusedForGood(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, name) }
		now, memory := time.Unix(0, 0), NewMemory(nil, time.Unix(0, 0))
		all, present := Service{}, Service{}
		step := workload.Step{Count: int(draw("count", 20)) + 1, Gang: rapid.Bool().Draw(t, "gang"), PerWorker: int(draw("per_worker", 3)), Need: workload.Resources{MilliCPU: draw("c", 9), MemoryMiB: draw("m", 9), Accelerators: draw("a", 5)}}
		step.Label = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "label")
		fits := 0
		for range rapid.IntRange(1, 8).Draw(t, "workers") {
			capacity := workload.Resources{MilliCPU: draw("cpu", 20), MemoryMiB: draw("mem", 20), Accelerators: draw("acc", 8)}
			label := rapid.SampledFrom([]string{"w", "x", "y"}).Draw(t, "worker_label")
			all.Add(capacity, []string{label})
			if rapid.Bool().Draw(t, "stays") {
				present.Add(capacity, []string{label})
			}
			if step.Label == "" || step.Label == label {
				n := capacity.Count(step.Need, step.Count)
				if step.PerWorker > 0 {
					n = min(n, step.PerWorker)
				}
				fits += n
			}
		}
		memory.Observe(map[string]Service{"pool": all}, true, now)
		pool := memory.Observe(map[string]Service{"pool": present}, true, now.Add(settleTime))
		refusal := Decide(jobOf(1, step), Snapshot{Pool: &pool}).Refusal
		if refusal != nil {
			refused++
		}
		if runnable := fits > 0 && (!step.Gang || fits >= step.Count); runnable && refusal != nil {
			t.Fatalf("%v, although %d tasks fit", refusal, fits)
		}
	})
	if refused == 0 {
		t.Error("no draw was refused")
	}
}

// Guards against a planner that forgets workers which are being replaced, moved or cut off, or
// that trusts a list which is just filling; and against one that remembers them for ever.
func TestThePoolIsRememberedAndMustHaveSettled(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	whole := poolOf(4, "gpu").Services
	m := NewMemory(nil, start)
	if pool := m.Observe(whole, true, at(0)); pool.Settled {
		t.Error("settled at once")
	}
	if pool := m.Observe(whole, true, at(settleTime)); !pool.Settled {
		t.Error("not settled")
	}
	if pool := m.Observe(whole, false, at(settleTime)); pool.Settled {
		t.Error("settled although an entry can't be decoded")
	}
	published := m.Observe(nil, true, at(settleTime+time.Minute))
	if refusal := Decide(jobOf(1, workload.Step{Need: workload.Resources{Accelerators: 9}}), Snapshot{Pool: &published}).Refusal; refusal != nil {
		t.Errorf("%v while no worker is listed", refusal)
	}
	if s := published.Services["pool"]; s.Workers != 4 || s.Labels["gpu"] != 4 || s.Largest != workerSize {
		t.Errorf("remembered %+v of workers that are not listed now", s)
	}
	grown := poolOf(5, "gpu", "fpga").Services
	if pool := m.Observe(grown, true, at(settleTime+time.Minute)); pool.Settled || pool.Services["pool"].Workers != 5 {
		t.Errorf("%+v with a new worker", pool)
	}
	successor := NewMemory(&published, at(settleTime+2*time.Minute))
	if pool := successor.Observe(nil, true, at(settleTime+2*time.Minute)); pool.Settled || pool.Services["pool"].Workers != 4 {
		t.Errorf("a successor has %+v", pool)
	}
	for d := settleTime + 2*time.Minute; d < settleTime+2*time.Minute+2*memoryTime; d += memoryTime / 2 {
		successor.Observe(nil, true, at(d))
	}
	if pool := successor.Observe(nil, true, at(settleTime+2*time.Minute+2*memoryTime)); len(pool.Services) != 0 {
		t.Errorf("still remembered: %+v", pool)
	}
}

// Guards against a record that costs every instance much to read, and against labels that look
// unknown because they did not fit.
func TestALargeSummaryLeavesOutWhatDoesNotFit(t *testing.T) {
	var labels []string
	for i := range 1500 {
		labels = append(labels, fmt.Sprintf("rack-%04d", i))
	}
	pool := poolOf(2, labels...)
	if value := pool.Encode(); len(value) > maxPoolBytes {
		t.Fatalf("%d bytes", len(value))
	}
	small := poolOf(350, labels[:30]...)
	if value := small.Encode(); len(value) > maxPoolBytes || len(value) < 400 {
		t.Fatalf("%d bytes for 30 racks", len(value))
	}
	for i := range 200 {
		pool.Services[fmt.Sprint(i)] = Service{Workers: 1}
	}
	if value := pool.Encode(); len(value) > maxPoolBytes {
		t.Fatalf("%d bytes with 200 services", len(value))
	}
}

// BenchmarkDecide measures a decision with a summary of the target size: 18,000 workers, the
// labels of 1,500 racks, and a job of 100 steps.
func BenchmarkDecide(b *testing.B) {
	pool := poolOf(18_000, "gpu")
	for i := range 1500 {
		pool.Services["pool"].Labels[fmt.Sprintf("rack-%04d", i)] = 12
	}
	service := pool.Services["pool"]
	service.StartMS = [Classes]int64{0, 100_000, 400_000, 900_000}
	pool.Services["pool"] = service
	job := jobOf(1, workload.Step{Count: 20, Need: workload.Resources{MilliCPU: 26_000, Accelerators: 2}, EstimateMS: 9000, Gang: true, Label: "gpu"})
	for i := 1; i < workload.MaxSteps; i++ {
		step := job.Steps[0]
		step.DependsOn = []int{i - 1}
		job.Steps = append(job.Steps, step)
	}
	snapshot := Snapshot{Pool: pool}
	for _, accepted := range []bool{true, false} {
		if !accepted {
			job.Steps = job.Steps[:1]
		}
		b.Run(fmt.Sprint("accepted=", accepted), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if (Decide(job, snapshot).Refusal == nil) != accepted {
					b.Fatal("wrong decision")
				}
			}
		})
	}
}

// Guards against a refusal for good while the pool is filled with pauses, one worker at a time, and
// soon after a change of planner; and against labels that look unknown under the next planner
// because the summary of the earlier one left them out.
func TestNothingIsRefusedForGoodWhileThePoolGrows(t *testing.T) {
	start := time.Unix(0, 0)
	memory, workers := NewMemory(nil, start), 0
	gang := jobOf(1, workload.Step{Count: 20, Gang: true, PerWorker: 1, Need: workload.Resources{MilliCPU: 1000}, EstimateMS: 1000})
	labelled := jobOf(1, workload.Step{Count: 1, Need: workload.Resources{MilliCPU: 1000}, Label: "rare", EstimateMS: 1000})
	decide := func(pool Pool, job *workload.Job) *domain.Refusal { return Decide(job, Snapshot{Pool: &pool}).Refusal }
	now := start
	for ; workers < 20; now = now.Add(time.Second) {
		if now.Sub(start)%(30*time.Second) == 0 {
			workers++
		}
		if refusal := decide(memory.Observe(poolOf(workers).Services, true, now), gang); refusal != nil {
			t.Fatalf("%v with %d workers, %v after the first", refusal, workers, now.Sub(start))
		}
	}
	omitted := poolOf(20)
	omitted.LabelsOmitted = true
	successor := NewMemory(omitted, now)
	for d := time.Duration(0); d <= memoryTime+time.Minute; d += time.Second {
		pool := successor.Observe(poolOf(19).Services, true, now.Add(d))
		if refusal := decide(pool, gang); refusal != nil {
			t.Fatalf("%v: %v", d, refusal)
		}
		if refusal := decide(pool, labelled); refusal != nil {
			t.Fatalf("%v after the change of planner: %v", d, refusal)
		}
	}
	if refusal := decide(memory.Observe(poolOf(20).Services, true, now.Add(memoryTime)), labelled); refusal == nil {
		t.Error("an unknown label is accepted in a pool that has not grown for long")
	}
}
