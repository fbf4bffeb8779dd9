package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/scheduler"
)

// planSnapshot returns a data centre in which each worker has one accelerator, the average of the
// target deployment. One worker in four runs a gang, and the given number of jobs is waiting.
func planSnapshot(workers, waiting int) scheduler.Snapshot {
	s := scheduler.Snapshot{Now: time.Unix(1_000_000, 0), DataCentre: "dc", Accounts: map[domain.AccountID]domain.ClientAccount{}}
	class := domain.Class{Kind: domain.JobClass, Idempotent: true}
	for i := range workers {
		s.Workers = append(s.Workers, domain.Worker{
			ID: domain.WorkerID(fmt.Sprintf("w%05d", i)), DataCentre: "dc", Rack: domain.RackID(fmt.Sprintf("r%04d", i/20)), Row: i / 20,
			Capacity: domain.Resources{Accelerators: 1, CPU: 30, MemoryMiB: 130_000},
		})
	}
	shape := domain.Shape{Tasks: max(1, workers/64), PerTask: domain.Resources{Accelerators: 1, CPU: 2, MemoryMiB: 4000}}
	for a := range 23 {
		s.Accounts[domain.AccountID(fmt.Sprint("a", a))] = domain.ClientAccount{Weight: 1, Guarantees: []domain.Guarantee{{DataCentre: "dc", Count: 1, Shape: shape}}}
	}
	for i := range workers / 4 {
		placement := domain.Placement{{Worker: s.Workers[2*i].ID, Tasks: 1}}
		job := domain.Job{ID: domain.JobID(fmt.Sprint("g", i)), Account: domain.AccountID(fmt.Sprint("a", i%23)), Shape: domain.Shape{Tasks: 1, PerTask: shape.PerTask}}
		s.Gangs = append(s.Gangs, scheduler.Gang{Job: job, Class: class, Placement: placement, Started: s.Now, LastCheckpoint: s.Now, Remaining: time.Duration(i+1) * time.Minute})
	}
	for i := range waiting {
		size := []int{1, 1, 2, 4, 8, 128}[i%6]
		job := domain.Job{ID: domain.JobID(fmt.Sprint("j", i)), Account: domain.AccountID(fmt.Sprint("a", i%23)), Submitted: s.Now,
			Shape: domain.Shape{Tasks: size, PerTask: shape.PerTask, Adjacency: domain.Anywhere}}
		s.Waiting = append(s.Waiting, scheduler.WaitingJob{Job: job, Class: class, Since: s.Now, Expected: time.Hour})
	}
	return s
}

var planSizes = []int{50, 200, 1000, 4000, 18000}

// BenchmarkPlan measures a complete planning run with one job waiting, and with 500.
func BenchmarkPlan(b *testing.B) {
	for _, waiting := range []int{1, 500} {
		for _, workers := range planSizes {
			b.Run(fmt.Sprintf("waiting=%d/workers=%d", waiting, workers), func(b *testing.B) {
				s := planSnapshot(workers, waiting)
				b.ReportAllocs()
				for range b.N {
					scheduler.MakePlan(s, scheduler.DefaultPolicy())
				}
			})
		}
	}
}
